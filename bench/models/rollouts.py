"""A simulation of one roll-out with bad answers and delayed ratings.

Time advances in steps of one second. Uses the product's own pool and
decisions; the gates of all instances are simulated as a single one that uses
the whole allowance at once.
"""

import abc
import collections
import dataclasses
import heapq
import random

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.rollout import allowance
from nutmeghook.internal.rollout import decisions
from nutmeghook.internal.rollout import pool

_OLD = documents.VersionEntry(version="1")
_NEW = engine.ModelVersion(model="small", version="2")
_KEY = pool.VersionKey(team="team", template="lookup", model_version=_NEW)
FULL_PERCENT = 100.0
# Versions up to this count as good; their run ends at full share.
_MAX_GOOD_BAD_SHARE = 0.05


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """The template in which a version is rolled out.

    Attributes:
        requests_per_s: Requests of the template, over the whole fleet.
        rating_delay_s: Mean time from an answer to its rating: half of it
            constant, the rest exponentially distributed.
        propagation_s: Time from a decision until it is in force everywhere.
        full_rated_share: Share of answers rated at full share; during the
            roll-out all are.
    """

    name: str
    policy: documents.RollOutPolicy
    requests_per_s: int = 8
    rating_delay_s: float = 30.0
    propagation_s: int = 3
    full_rated_share: float = 0.05


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Version:
    """The quality of a version.

    Attributes:
        bad_share: Share of bad answers once it is bad; `good_share` before.
        bad_from_percent: Roll-out share from which it is bad.
    """

    bad_share: float
    bad_from_percent: float = 0.0
    good_share: float = 0.02

    def share_at(self, percent: float) -> float:
        """Returns the share of bad answers at a roll-out share."""
        if percent >= self.bad_from_percent:
            return self.bad_share
        return self.good_share


@dataclasses.dataclass(slots=True, kw_only=True)
class RunResult:
    """The result of a roll-out.

    Attributes:
        bad_answers: Bad answers given while the version was bad.
        stopped: It was withdrawn before it had its full share.
        seconds: Time until it was withdrawn or had its full share.
    """

    bad_answers: int = 0
    stopped: bool = False
    seconds: int | None = None


class Driver(abc.ABC):
    """Decides on shares and on the exposure allowance from ratings."""

    @abc.abstractmethod
    def may_send(self, requested: int) -> int:
        """Returns how many of the requested answers may be sent."""

    @abc.abstractmethod
    def decide(self, new_ratings: list[bool], percent: float) -> float | None:
        """Adds ratings (True for bad); returns a new share, if any."""


class ProductDriver(Driver):
    """The product's pool, decisions and exposure allowance."""

    def __init__(self, policy: documents.RollOutPolicy):
        self._template = documents.Template(
            team="team", name="lookup", stages=(), roll_out=policy
        )
        self._pool = pool.Pool()
        self._allowance = allowance.VersionAllowance(rollout_id=1)

    def counts(self, key: pool.VersionKey) -> allowance.VersionAllowance:
        """Returns the allowance's counts, as the product's keeper does."""
        return self._allowance

    def may_send(self, requested: int) -> int:
        """Grants what the allowance permits."""
        granted = min(requested, self._allowance.available)
        self._allowance.granted += granted
        return granted

    def decide(self, new_ratings: list[bool], percent: float) -> float | None:
        """Runs one step of the product's decisions."""
        snapshot = self._snapshot(percent)
        state = pool.with_versions_of(self._pool, snapshot)
        state = pool.with_ratings(
            state, [_rating(bad) for bad in new_ratings], snapshot
        )
        state = decisions.with_allowance(state, snapshot, self)
        self._pool = state
        self._allowance.reserved = state.watch(_KEY).reserved_by_holder
        steps = decisions.steps(state, snapshot)
        return steps[0].share_percent if steps else None

    def _snapshot(self, percent: float) -> documents.Snapshot:
        state = documents.VersionState.ROLLING_OUT
        if percent == FULL_PERCENT:
            state = documents.VersionState.SERVING
        new = documents.VersionEntry(
            version="2", state=state, share_percent=percent
        )
        stage = documents.Stage(model="small", versions=(_OLD, new))
        template = msgspec.structs.replace(self._template, stages=(stage,))
        return documents.Snapshot(
            revision=1,
            fleet=documents.Fleet(),
            teams={},
            templates={"team/lookup": template},
        )


def _rating(bad: bool) -> ratings_module.Rating:
    return ratings_module.Rating(
        cursor=0,
        request_id="",
        team="team",
        template="lookup",
        model_version=_NEW,
        stage=0,
        quality=0.0 if bad else 1.0,
    )


class FixedThresholdDriver(Driver):
    """Stops at an error share of recent ratings; exposure is not capped."""

    def __init__(
        self,
        policy: documents.RollOutPolicy,
        *,
        threshold: float,
        window: int = 100,
        min_ratings: int = 20,
    ):
        self._policy = policy
        self._threshold = threshold
        self._min_ratings = min_ratings
        self._recent: collections.deque[bool] = collections.deque(maxlen=window)
        self._ratings_at_share = 0
        self._percent = 0.0

    def may_send(self, requested: int) -> int:
        """Permits all."""
        return requested

    def decide(self, new_ratings: list[bool], percent: float) -> float | None:
        """Compares the error share with the threshold after each rating."""
        if percent != self._percent:
            self._percent, self._ratings_at_share = percent, 0
        for bad in new_ratings:
            self._recent.append(bad)
            self._ratings_at_share += 1
            enough = len(self._recent) >= self._min_ratings
            if (
                enough
                and sum(self._recent) / len(self._recent) > self._threshold
            ):
                return 0.0
        if self._ratings_at_share < self._policy.ratings_per_step:
            return None
        larger = [s for s in self._policy.steps_percent if s > percent]
        return min(larger, default=None)


class Run:
    """One version from its first answer to its withdrawal or full share.

    A bad version that reaches its full share runs until it is withdrawn.
    """

    def __init__(
        self,
        deployment: Deployment,
        version: Version,
        driver: Driver,
        source: random.Random,
    ):
        self._deployment = deployment
        self._version = version
        self._driver = driver
        self._source = source
        self._percent = deployment.policy.steps_percent[0]
        self._pending_ratings: list[tuple[float, bool]] = []
        self._pending_change: tuple[int, float] | None = None
        self._result = RunResult()

    def result(self, *, limit_s: int = 20_000) -> RunResult:
        """Runs to the end."""
        for second in range(limit_s):
            if self._is_over(second):
                break
            self._answer(second)
            self._decide(second)
        return self._result

    def _is_over(self, second: int) -> bool:
        if (
            self._pending_change is not None
            and second >= self._pending_change[0]
        ):
            self._percent, self._pending_change = self._pending_change[1], None
        if self._percent not in (0.0, FULL_PERCENT):
            return False
        if self._result.seconds is None:
            self._result.seconds = second
            self._result.stopped = self._percent == 0.0
        is_good = self._version.bad_share <= _MAX_GOOD_BAD_SHARE
        return self._percent == 0.0 or is_good

    def _answer(self, second: int) -> None:
        deployment, source = self._deployment, self._source
        requested = _binomial(
            deployment.requests_per_s, self._percent / 100, source
        )
        is_full = self._percent == FULL_PERCENT
        rated_share = deployment.full_rated_share if is_full else 1.0
        bad_share = self._version.share_at(self._percent)
        count = requested if is_full else self._driver.may_send(requested)
        for _ in range(count):
            bad = source.random() < bad_share
            if bad and bad_share == self._version.bad_share:
                self._result.bad_answers += 1
            if source.random() < rated_share:
                due_at = second + _delay(deployment, source)
                heapq.heappush(self._pending_ratings, (due_at, bad))

    def _decide(self, second: int) -> None:
        new_ratings = []
        while self._pending_ratings and self._pending_ratings[0][0] <= second:
            new_ratings.append(heapq.heappop(self._pending_ratings)[1])
        new_percent = self._driver.decide(new_ratings, self._percent)
        if new_percent is None:
            return
        # A withdrawal replaces a pending step.
        if (
            self._pending_change is None
            or new_percent == 0.0 < self._pending_change[1]
        ):
            self._pending_change = (
                second + self._deployment.propagation_s,
                new_percent,
            )


def _delay(deployment: Deployment, source: random.Random) -> float:
    half = deployment.rating_delay_s / 2
    return half + source.expovariate(1 / half)


def _binomial(count: int, share: float, source: random.Random) -> int:
    return sum(source.random() < share for _ in range(count))
