"""Answers of a version in roll-out, counted and pooled over instances."""

import dataclasses
import math

import msgspec

from nutmeghook.internal.rollout import evidence as proof

# A version may fail this share of its requests beyond what the version in full
# use fails, and still count as good: other faults hit its replicas too.
TOLERATED_BEYOND_USUAL = 0.05
# The usual share is an estimate of few answers; this much of it is allowed.
USUAL_FACTOR = 1.6
# What is taken for the usual share before there are answers, and how many
# answers that guess is worth.
_GUESSED_BAD = 0.6
_GUESSED_ANSWERS = 12.0
# Answers of the version in full use that count; older ones fade.
_USUAL_MEMORY_ANSWERS = 60.0
# A good version is reverted this rarely, for each route that it serves.
FALSE_STOP_SHARE = 0.004
# Before completion, which can't be taken back, this much less proof counts.
SUSPICION_SHARE = 0.05
# An answer is slow if it takes this many times as long as is usual on the same
# route and model: bad versions are several times slower, and prompts of one
# route differ by a factor of two to three in length.
SLOW_FACTOR = 4.0
# And if it uses up this part of the route's target: a fifth of it more or less
# harms no caller, whatever the factor.
SLOW_PART_OF_TARGET = 0.2
_DURATION_WEIGHT = 0.05
# The usual duration of a kind counts after so many answers.
_LEAST_USUAL_ANSWERS = 6
# The logarithm of paces of one kind is taken to vary by so much at least; with
# less, a few equal answers would make any other look like an exception.
_LEAST_PACE_SPREAD = 0.3
# One answer counts for at most so many standard deviations.
_MOST_DEVIATION = 3.0
# A version is slow if its paces deviate by so many standard errors, over so
# many answers. Chance alone does that to one good version in 700; in fact it
# is rarer, since replicas on trial carry less load than the others.
_SLOW_DEVIATIONS = 3.0
_LEAST_PACED = 6
# As little as this is a suspicion: one good version in 160, by chance alone.
_SUSPECT_DEVIATIONS = 2.5
# Evidence over all routes, beside that of each.
_ALL_ROUTES = "all routes"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AnswerSeen:
    """An answer, or a failure that the replica reported.

    Attributes:
        model: Answers of one route and model take about as long.
        duration_s: From sending to the first sign of the answer.
        target_s: Answers within it have their full worth.
    """

    route: str
    model: str
    failed: bool
    duration_s: float
    target_s: float

    @property
    def kind(self) -> str:
        """What tells answers apart that take about as long."""
        return f"{self.route}/{self.model}"


class RouteCount(msgspec.Struct, kw_only=True):
    """Answers of the new version on one route, as one instance saw them."""

    good: int = 0
    bad: int = 0
    # Replicas that gave a bad answer. One failing replica is a fault of its
    # own; a bad version fails on several.
    bad_replicas: set[str] = set()


class EvidenceRow(msgspec.Struct, kw_only=True):
    """What one instance saw in the course of one order.

    Attributes:
        paced: Answers whose pace was compared with what is usual.
        pace_sum: Their deviations, in standard deviations, summed up.
    """

    order_id: int
    routes: dict[str, RouteCount] = {}
    paced: int = 0
    pace_sum: float = 0.0


class UsualAnswers:
    """How long answers of the version in full use take, and how many fail."""

    __slots__ = ("_answers", "_bad", "_count", "_log")

    def __init__(self):
        self._log: dict[str, float] = {}
        self._count: dict[str, int] = {}
        self._answers: dict[str, float] = {}
        self._bad: dict[str, float] = {}

    def note(self, answer: AnswerSeen) -> None:
        """Takes in an answer of the version in full use."""
        bad = self.is_bad(answer)
        for route in (answer.route, _ALL_ROUTES):
            fade = 1.0 - 1.0 / _USUAL_MEMORY_ANSWERS
            self._answers[route] = self._answers.get(route, 0.0) * fade + 1.0
            self._bad[route] = self._bad.get(route, 0.0) * fade + bad
        if answer.failed:
            return
        value = math.log(max(answer.duration_s, 1e-3))
        count = self._count.get(answer.kind, 0)
        mean = self._log.get(answer.kind, value)
        weight = max(_DURATION_WEIGHT, 1.0 / (count + 1))
        self._log[answer.kind] = mean + weight * (value - mean)
        self._count[answer.kind] = count + 1

    def is_bad(self, answer: AnswerSeen) -> bool:
        """Tells whether an answer failed or took far longer than usual."""
        if answer.failed:
            return True
        if self._count.get(answer.kind, 0) < _LEAST_USUAL_ANSWERS:
            return False
        if answer.duration_s < SLOW_PART_OF_TARGET * answer.target_s:
            return False
        usual_s = math.exp(self._log[answer.kind])
        return answer.duration_s > SLOW_FACTOR * usual_s

    def tolerated_share(self, route: str) -> float:
        """Returns the share of bad answers that a good version may have."""
        answers = self._answers.get(route, 0.0) + _GUESSED_ANSWERS
        bad = self._bad.get(route, 0.0) + _GUESSED_BAD
        share = TOLERATED_BEYOND_USUAL + USUAL_FACTOR * bad / answers
        return min(0.6, share)


class UsualPaces:
    """How quickly answers of the version in full use go on, by kind.

    Paces vary by a factor of two to ten with the load, so one slow answer
    says little; but a version that is slow is slow in nearly all of them.
    """

    __slots__ = ("_count", "_mean", "_variance")

    def __init__(self):
        self._mean: dict[str, float] = {}
        self._variance: dict[str, float] = {}
        self._count: dict[str, int] = {}

    def note(self, kind: str, pace_s: float) -> None:
        """Takes in the pace of one answer."""
        value = math.log(max(pace_s, 1e-4))
        count = self._count.get(kind, 0)
        mean = self._mean.get(kind, value)
        weight = max(_DURATION_WEIGHT, 1.0 / (count + 1))
        deviation = value - mean
        self._mean[kind] = mean + weight * deviation
        variance = self._variance.get(kind, 0.0)
        self._variance[kind] = (1 - weight) * (
            variance + weight * deviation * deviation
        )
        self._count[kind] = count + 1

    def deviation(self, kind: str, pace_s: float) -> float | None:
        """Returns by how many standard deviations a pace is slower."""
        if self._count.get(kind, 0) < _LEAST_USUAL_ANSWERS:
            return None
        spread = max(_LEAST_PACE_SPREAD, math.sqrt(self._variance[kind]))
        value = math.log(max(pace_s, 1e-4))
        found = (value - self._mean[kind]) / spread
        return max(-_MOST_DEVIATION, min(_MOST_DEVIATION, found))


class PooledEvidence:
    """Folds all instances' counts of one order into a verdict.

    Counts only grow, so a row that is read twice or out of order adds
    nothing; an instance that restarts begins with a row of its own again.
    Answers are kept in the order in which they were heard of, and folded
    anew when what is usual has changed.
    """

    __slots__ = ("_answers", "_own", "_replicas", "_seen", "order_id")

    def __init__(self, *, order_id: int):
        self.order_id = order_id
        self._own = EvidenceRow(order_id=order_id)
        # Whether each answer was bad, by route.
        self._answers: dict[str, list[bool]] = {}
        self._replicas: dict[str, set[str]] = {}
        self._seen: dict[str, EvidenceRow] = {}

    @property
    def own(self) -> EvidenceRow:
        """What this instance saw, to be published."""
        return self._own

    @property
    def answers(self) -> int:
        """How many answers and paces are known."""
        rows = [self._own, *self._seen.values()]
        paced = sum(row.paced for row in rows)
        return len(self._answers.get(_ALL_ROUTES, ())) + paced

    def note(self, route: str, replica_id: str, *, bad: bool) -> None:
        """Takes in an answer of the new version seen here."""
        count = self._own.routes.setdefault(route, RouteCount())
        if bad:
            count.bad += 1
            count.bad_replicas.add(replica_id)
        else:
            count.good += 1
        culprits = {replica_id} if bad else set()
        self._add(route, [bad], culprits)

    def note_pace(self, deviation: float) -> None:
        """Takes in how much slower than usual an answer went on."""
        self._own.paced += 1
        self._own.pace_sum += deviation

    def merge(self, instance_id: str, row: EvidenceRow) -> None:
        """Takes in what another instance saw."""
        if row.order_id != self.order_id:
            return
        before = self._seen.get(instance_id)
        self._seen[instance_id] = row
        for route, count in row.routes.items():
            old = before.routes.get(route) if before else None
            old = old or RouteCount()
            good = max(0, count.good - old.good)
            bad = max(0, count.bad - old.bad)
            answers = [False] * good + [True] * bad
            self._add(route, answers, count.bad_replicas)

    def proven_bad(
        self,
        replicas: int,
        usual: UsualAnswers,
        *,
        false_stop_share: float = FALSE_STOP_SHARE,
    ) -> str | None:
        """Returns why the version is bad, or None.

        Args:
            replicas: How many of the version's replicas are known.
            usual: What the version in full use does.
            false_stop_share: How rarely a good version is called bad.
        """
        slowness = self._slowness(
            _SLOW_DEVIATIONS
            if false_stop_share < SUSPICION_SHARE
            else _SUSPECT_DEVIATIONS
        )
        if slowness is not None:
            return slowness
        for route, answers in self._answers.items():
            culprits = len(self._replicas[route])
            # One failing replica is a fault of its own.
            if culprits < min(2, replicas):
                continue
            rule = proof.RollOutRule(
                tolerated_bad_share=usual.tolerated_share(route),
                false_stop_share=false_stop_share,
            )
            folded = proof.Evidence()
            for bad in answers:
                folded = rule.with_rating(folded, bad=bad)
            if rule.proves_bad(folded):
                return (
                    f"{folded.bad} of {folded.ratings} answers on {route}"
                    f" were bad, of {culprits} replicas"
                )
        return None

    def _slowness(self, deviations: float) -> str | None:
        rows = [self._own, *self._seen.values()]
        paced = sum(row.paced for row in rows)
        total = sum(row.pace_sum for row in rows)
        if paced < _LEAST_PACED or total < deviations * paced**0.5:
            return None
        return (
            f"{paced} answers went on slower than usual, by"
            f" {total / paced:.1f} standard deviations"
        )

    def _add(self, route: str, answers: list[bool], culprits: set[str]) -> None:
        for name in (route, _ALL_ROUTES):
            self._answers.setdefault(name, []).extend(answers)
            self._replicas.setdefault(name, set()).update(culprits)
