"""Instances that estimate the speeds of replicas from answers and messages.

Replicas differ in speed by a factor of three; a quarter of them becomes four
times slower and recovers. The log ratio of an answer's time to the expected one
has an error of its own. Counted is how far the log slowness that instances
believe is from the true one, over the replicas of their own data centre.
"""

import abc
import collections
import dataclasses
import datetime
import enum
import heapq
import itertools
import math
import random
import statistics

from nutmeghook.internal.replicas import replica_speed
from nutmeghook.internal.replicas import speed_gossip
from nutmeghook.internal.replicas import speed_registry

_SPREAD_LOG = math.log(3.0) / 2.0
_SLOWED_LOG = math.log(4.0)
_SLOWED_SHARE = 0.25
_ANSWER_ERROR_LOG = 0.4
_LOCAL_SHARE = 0.9
_LOST_SHARE = 0.02
_STEP_S = 0.1
_PERIOD_STEPS = round(speed_gossip.GOSSIP_PERIOD.total_seconds() / _STEP_S)
_SLOWED_FROM_S, _SLOWED_UNTIL_S, _END_S = 10.0, 18.0, 25.0
# Before it, estimates are still beginning.
_FIRST_MEASURED_S = 6.0
_MEASURED_INSTANCES = 2
_SEARCHED = 32


class Phase(enum.Enum):
    """When an error is counted."""

    STEADY = "steady"
    SLOWED = "slowed"
    RECOVERED = "recovered"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """A fleet.

    Attributes:
        answers_per_s: Answers of one replica to all instances.
    """

    instances: int
    data_centres: int
    replicas: int
    answers_per_s: float = 1.9


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """Root mean square errors of the believed log slowness, by phase."""

    error_log: dict[Phase, float]


class LearningPolicy(abc.ABC):
    """What an instance makes of answers and of its peers' estimates."""

    learns = True
    sends = True

    @abc.abstractmethod
    def merged(
        self,
        own: replica_speed.ReplicaSpeed,
        told: replica_speed.SpeedEstimate,
        now: datetime.timedelta,
    ) -> replica_speed.ReplicaSpeed | None:
        """Returns the speed after a message; None if it changes nothing."""


class NoLearning(LearningPolicy):
    """Takes every replica for an average one."""

    learns = sends = False

    def merged(self, own, told, now):
        """Returns None."""


class OwnAnswers(LearningPolicy):
    """Learns from answers to the instance itself."""

    sends = False

    def merged(self, own, told, now):
        """Returns None."""


class HeavierEstimate(LearningPolicy):
    """Replaces an estimate by a peer's of greater weight."""

    def merged(self, own, told, now):
        """Returns the speed if the peer's estimate replaced it."""
        return own if own.note_peer(told, now) else None


class NewerEstimate(LearningPolicy):
    """Replaces an estimate by a peer's that has a later answer."""

    def merged(self, own, told, now):
        """Returns the peer's estimate if its latest answer is later."""
        # Ages are in whole milliseconds.
        known = own.estimate(now).answered_at + datetime.timedelta(
            milliseconds=5
        )
        return _speed_of(told, now) if told.answered_at > known else None


class AddedEstimates(LearningPolicy):
    """Adds a peer's estimate to the own one, weight by weight."""

    def merged(self, own, told, now):
        """Returns the weighted mean of both, with the sum of the weights."""
        held = own.estimate(now)
        weight = held.weight + told.weight
        mean = held.log_ratio * held.weight + told.log_ratio * told.weight
        return _speed_of(
            replica_speed.SpeedEstimate(
                log_ratio=mean / weight,
                weight=weight,
                answered_at=max(held.answered_at, told.answered_at),
            ),
            now,
        )


def _speed_of(
    estimate: replica_speed.SpeedEstimate, now: datetime.timedelta
) -> replica_speed.ReplicaSpeed:
    speed = replica_speed.ReplicaSpeed()
    speed.note_peer(estimate, now)
    return speed


class _Instance:
    """One instance's estimates, by replica; the latest updated at the end."""

    __slots__ = ("data_centre", "speeds")

    def __init__(self, data_centre: int):
        self.data_centre = data_centre
        self.speeds: collections.OrderedDict[
            int, replica_speed.ReplicaSpeed
        ] = collections.OrderedDict()

    def speed(self, replica: int) -> replica_speed.ReplicaSpeed:
        """Returns a replica's speed."""
        speed = self.speeds.get(replica)
        if speed is None:
            speed = self.speeds[replica] = replica_speed.ReplicaSpeed()
        return speed

    def latest(
        self, now: datetime.timedelta
    ) -> list[tuple[int, replica_speed.SpeedEstimate]]:
        """Returns the estimates that its next message has."""
        updated = itertools.islice(reversed(self.speeds.items()), _SEARCHED)
        estimates = (
            (replica, speed.estimate(now)) for replica, speed in updated
        )
        return heapq.nlargest(
            speed_gossip.MAX_REPLICAS,
            (e for e in estimates if e[1].weight >= speed_registry.MIN_WEIGHT),
            key=lambda e: e[1].answered_at,
        )


class _Fleet:
    def __init__(self, scenario: Scenario, policy: LearningPolicy, seed: int):
        self._scenario = scenario
        self._policy = policy
        self._random = random.Random(seed)
        # Answers are the same under all policies.
        self._answers_random = random.Random(seed + 1)
        count = scenario.data_centres
        self.instances = [
            _Instance(number % count) for number in range(scenario.instances)
        ]
        self._by_data_centre = [
            self.instances[dc::count] for dc in range(count)
        ]
        self._usual_log = [
            self._answers_random.uniform(-_SPREAD_LOG, _SPREAD_LOG)
            for _ in range(scenario.replicas)
        ]
        slowed = round(_SLOWED_SHARE * scenario.replicas)
        self._slowed = set(
            self._answers_random.sample(range(scenario.replicas), slowed)
        )

    def true_log(self, replica: int, at_s: float) -> float:
        """Returns a replica's log slowness."""
        is_slowed = _SLOWED_FROM_S <= at_s < _SLOWED_UNTIL_S
        if is_slowed and replica in self._slowed:
            return self._usual_log[replica] + _SLOWED_LOG
        return self._usual_log[replica]

    def step(self, number: int) -> None:
        """Plays one step of answers and messages."""
        at_s = number * _STEP_S
        now = datetime.timedelta(seconds=at_s)
        chance = self._scenario.answers_per_s * _STEP_S
        for replica in range(self._scenario.replicas):
            if self._answers_random.random() < chance:
                self._answer(replica, at_s, now)
        if not self._policy.sends:
            return
        first = number % _PERIOD_STEPS
        for sender in self.instances[first::_PERIOD_STEPS]:
            self._send(sender, now)

    def _answer(
        self, replica: int, at_s: float, now: datetime.timedelta
    ) -> None:
        source = self._answers_random
        pool = self.instances
        if source.random() < _LOCAL_SHARE:
            pool = self._by_data_centre[replica % self._scenario.data_centres]
        instance = source.choice(pool)
        error = source.gauss(0.0, _ANSWER_ERROR_LOG)
        if self._policy.learns:
            ratio = math.exp(self.true_log(replica, at_s) + error)
            instance.speed(replica).note(ratio, now)
            instance.speeds.move_to_end(replica)

    def _send(self, sender: _Instance, now: datetime.timedelta) -> None:
        told = sender.latest(now)
        near = self._by_data_centre[sender.data_centre]
        receivers = self._random.choices(near, k=speed_gossip.LOCAL_FANOUT)
        if self._random.random() < speed_gossip.REMOTE_FANOUT:
            receivers.append(self._random.choice(self.instances))
        for receiver in receivers:
            if receiver is sender or self._random.random() < _LOST_SHARE:
                continue
            for replica, estimate in told:
                speed = self._policy.merged(
                    receiver.speed(replica), estimate, now
                )
                if speed is not None:
                    receiver.speeds[replica] = speed
                    receiver.speeds.move_to_end(replica)

    def squared_errors(self, at_s: float) -> list[float]:
        """Returns those of a few instances of each data centre."""
        now = datetime.timedelta(seconds=at_s)
        count = self._scenario.data_centres
        found = []
        for near in self._by_data_centre:
            for instance in near[:_MEASURED_INSTANCES]:
                for replica in range(
                    instance.data_centre, self._scenario.replicas, count
                ):
                    speed = instance.speeds.get(replica)
                    log = math.log(speed.slowness(now)) if speed else 0.0
                    found.append((log - self.true_log(replica, at_s)) ** 2)
        return found


def simulate(
    scenario: Scenario, policy: LearningPolicy, *, seed: int
) -> Outcome:
    """Plays a fleet through all phases."""
    fleet = _Fleet(scenario, policy, seed)
    squares: dict[Phase, list[float]] = collections.defaultdict(list)
    for number in range(round(_END_S / _STEP_S)):
        fleet.step(number)
        at_s = number * _STEP_S
        if at_s >= _FIRST_MEASURED_S and number % _PERIOD_STEPS == 0:
            squares[_phase(at_s)] += fleet.squared_errors(at_s)
    return Outcome(
        error_log={
            phase: math.sqrt(statistics.fmean(found))
            for phase, found in squares.items()
        }
    )


def _phase(at_s: float) -> Phase:
    if at_s < _SLOWED_FROM_S:
        return Phase.STEADY
    return Phase.SLOWED if at_s < _SLOWED_UNTIL_S else Phase.RECOVERED
