"""Answers of a version in roll-out, counted and pooled over instances."""

import collections
import secrets
from typing import Annotated

import msgspec

from nutmeghook.internal.foundation import stored_json
from nutmeghook.internal.rollout import evidence as rating_evidence
from nutmeghook.internal.version_plans import baseline as baseline_module
from nutmeghook.internal.version_plans import binomial_tail

# Largest probability that a good version is reverted, for each of its routes.
FALSE_STOP_SHARE = 0.004
# The same before completion, which can't be undone: weaker evidence suffices.
SUSPICION_SHARE = 0.05
# A version is slow if its paces deviate by this many standard errors over at
# least `_MIN_PACES` answers. When tested after each of 60 answers, 13 good
# versions in 1,000 exceed 3.0 and none of 300 exceeds 3.5, while a version
# whose first event comes six times later in 6 of 10 requests is found after a
# median of 8 answers instead of 6.
_SLOW_DEVIATIONS = 3.5
_MIN_PACES = 4
# This many standard deviations of slowness weigh as much as a bad answer.
_DEVIATIONS_PER_BAD_ANSWER = 2.0
# Enough to tell apart the few runs of an instance during one order.
_RUN_ID_BYTES = 4
# Threshold of a suspicion: one good version in 160 exceeds it by chance alone.
_SUSPECT_DEVIATIONS = 2.5
# A version may be slower than the stable one by this many standard deviations
# of one answer, a factor of about 1.3, and still be completed.
_TOLERATED_DEVIATIONS = 0.35
# One-sided 95% confidence that it is not slower than that.
_CONFIDENCE_DEVIATIONS = 1.64
# Weight of the prior variance of 1 in the variance of a version's deviations,
# in answers. A handful of answers that happen to agree would otherwise look
# like many.
_PRIOR_VARIANCE_ANSWERS = 4.0


# No instance counts more answers of one order, and none of these sums can
# exceed a float's range when they are squared.
_MAX_COUNT = 10**12
_MAX_SUM = 1e100
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Sum = Annotated[float, msgspec.Meta(ge=-_MAX_SUM, le=_MAX_SUM)]


class RouteCount(msgspec.Struct, kw_only=True):
    """One instance's counts of the new version's answers on one route."""

    good: _Count = 0
    bad: _Count = 0
    # Replicas that gave a bad answer. A bad version fails on several replicas;
    # a fault of one machine does not.
    bad_replicas: set[str] = set()


class PaceCount(msgspec.Struct, kw_only=True):
    """Answers whose pace was compared with the baseline.

    Attributes:
        deviations: Sum of their deviations, in standard deviations.
        squares: Sum of the squares of these; 0 if the row's writer did not set
            it.
        baseline_variance: Variance of the sum that is due to the baseline,
            which is itself a mean of a limited number of answers; 0 if the
            row's writer did not set it.
    """

    answers: _Count = 0
    deviations: _Sum = 0.0
    squares: Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_SUM)] = 0.0
    baseline_variance: Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_SUM)] = 0.0

    def add(self, other: "PaceCount") -> None:
        """Adds the paces of another instance."""
        if not other.answers:
            return
        self.answers += other.answers
        self.deviations += other.deviations
        # Without the squares, a variance of 1 is assumed.
        self.squares += other.squares or (
            other.answers + other.deviations**2 / other.answers
        )
        self.baseline_variance += other.baseline_variance or (
            other.answers**2 / baseline_module.MEAN_PACE_ANSWERS
        )

    @property
    def mean(self) -> float:
        """Mean deviation."""
        return self.deviations / self.answers

    @property
    def significance(self) -> float:
        """Sum of the deviations, in standard errors if the version is good.

        A good version's replicas are idle during the canary, so its paces vary
        less than the stable version's, and never more.
        """
        return self.deviations / self._sum_error(min(1.0, self._variance))

    @property
    def largest_mean(self) -> float:
        """Upper confidence bound of the mean deviation."""
        error = self._sum_error(self._variance) / self.answers
        return self.mean + _CONFIDENCE_DEVIATIONS * error

    @property
    def _variance(self) -> float:
        scatter = max(0.0, self.squares - self.answers * self.mean**2)
        return (scatter + _PRIOR_VARIANCE_ANSWERS) / (
            self.answers - 1.0 + _PRIOR_VARIANCE_ANSWERS
        )

    def _sum_error(self, variance: float) -> float:
        return (self.answers * variance + self.baseline_variance) ** 0.5


class EvidenceRow(msgspec.Struct, kw_only=True):
    """One instance's counts of the new version's answers during one order.

    Attributes:
        paces: Paces by latency measure.
        run_id: Identifies the instance's run; each run counts from 0.
    """

    order_id: int
    routes: dict[str, RouteCount] = {}
    paces: dict[baseline_module.LatencyMeasure, PaceCount] = {}
    run_id: str = ""

    @property
    def weight(self) -> float:
        """Strength of the evidence against the version, in bad answers."""
        bad = sum(count.bad for count in self.routes.values())
        slow = sum(max(0.0, p.deviations) for p in self.paces.values())
        return bad + slow / _DEVIATIONS_PER_BAD_ANSWER

    @property
    def pace_count(self) -> int:
        """How many paces were compared."""
        return sum(pace.answers for pace in self.paces.values())

    @property
    def size(self) -> int:
        """Number of answers and paces; it only grows."""
        answers = sum(count.good + count.bad for count in self.routes.values())
        return answers + self.pace_count

    def covers(self, other: "EvidenceRow") -> bool:
        """Tells whether no count is smaller than in an earlier row."""
        return self.pace_count >= other.pace_count and all(
            route in self.routes
            and self.routes[route].good >= count.good
            and self.routes[route].bad >= count.bad
            for route, count in other.routes.items()
        )


_DECODER = msgspec.json.Decoder(EvidenceRow)


def decode(value: bytes) -> EvidenceRow:
    """Returns the counts of a row or message.

    Raises:
        stored_json.UnreadableError: They are malformed.
    """
    return stored_json.decode(value, _DECODER)


class PooledEvidence:
    """Combines all instances' counts of one order into a verdict.

    Counts only grow, so a row that is read twice or out of order adds
    nothing; an instance that restarts begins a new row. Answers are kept in
    the order in which they were received, and all are evaluated at each
    judgement, since the baseline changes in between.
    """

    __slots__ = (
        "_answers",
        "_compared",
        "_own",
        "_peer_rows",
        "_replicas",
        "order_id",
    )

    def __init__(self, *, order_id: int):
        self.order_id = order_id
        self._own = EvidenceRow(
            order_id=order_id, run_id=secrets.token_hex(_RUN_ID_BYTES)
        )
        # How many of this instance's answers were compared with each baseline.
        self._compared: collections.Counter[str] = collections.Counter()
        # Whether each answer was bad, by route.
        self._answers: dict[str, list[bool]] = {}
        self._replicas: dict[str, set[str]] = {}
        # By instance and run.
        self._peer_rows: dict[tuple[str, str], EvidenceRow] = {}

    @property
    def own(self) -> EvidenceRow:
        """This instance's own evidence, to be published."""
        return self._own

    @property
    def observation_count(self) -> int:
        """How many answers and paces are known."""
        rows = [self._own, *self._peer_rows.values()]
        pace_count = sum(row.pace_count for row in rows)
        return self.answer_count + pace_count

    @property
    def answer_count(self) -> int:
        """How many answers of the version are known, of all instances."""
        return len(self._answers.get(baseline_module.ALL_ROUTES, ()))

    @property
    def bad_count(self) -> int:
        """How many of them were bad."""
        return sum(self._answers.get(baseline_module.ALL_ROUTES, ()))

    def note(self, route: str, replica_id: str, *, bad: bool) -> None:
        """Adds an answer of the new version to this instance's evidence."""
        count = self._own.routes.setdefault(route, RouteCount())
        if bad:
            count.bad += 1
            count.bad_replicas.add(replica_id)
        else:
            count.good += 1
        failing = {replica_id} if bad else set()
        self._add(route, [bad], failing)

    def note_pace(
        self,
        measure: baseline_module.LatencyMeasure,
        deviation: float,
        *,
        kind: str = "",
        baseline_answers: float = baseline_module.MEAN_PACE_ANSWERS,
    ) -> None:
        """Adds an answer's deviation from the baseline pace.

        Args:
            measure: What was measured.
            deviation: In standard deviations; above 0 if slower.
            kind: Answers of one kind have the same baseline.
            baseline_answers: How many answers' mean the baseline is.
        """
        count = self._own.paces.setdefault(measure, PaceCount())
        count.answers += 1
        count.deviations += deviation
        count.squares += deviation * deviation
        # The baseline's error is the same for all n answers of a kind, so its
        # part of the sum's variance is n squared over the baseline's answers.
        before = self._compared[kind]
        self._compared[kind] += 1
        count.baseline_variance += (2 * before + 1) / baseline_answers

    def merge(self, instance_id: str, row: EvidenceRow) -> None:
        """Adds the evidence of another instance."""
        if row.order_id != self.order_id:
            return
        key = (instance_id, row.run_id)
        before = self._peer_rows.get(key)
        if before is not None and not row.covers(before):
            # An older row that arrived after a newer one.
            return
        self._peer_rows[key] = row
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
        baseline: baseline_module.BaselineAnswers,
        *,
        false_stop_share: float = FALSE_STOP_SHARE,
    ) -> str | None:
        """Returns why the version is bad, or None.

        Args:
            replicas: How many of the version's replicas are known.
            baseline: What the stable version does.
            false_stop_share: Largest probability that a good version is
                found bad.
        """
        slowness = self._slowness(
            _SLOW_DEVIATIONS
            if false_stop_share < SUSPICION_SHARE
            else _SUSPECT_DEVIATIONS
        )
        if slowness is not None:
            return slowness
        for route, answers in self._answers.items():
            failing = len(self._replicas[route])
            # One failing replica does not prove the version bad.
            if failing < min(2, replicas):
                continue
            rule = rating_evidence.RollOutRule(
                tolerated_bad_share=baseline.tolerated_share(route),
                false_stop_share=false_stop_share,
            )
            folded = rating_evidence.Evidence()
            for bad in answers:
                folded = rule.with_rating(folded, bad=bad)
            if rule.proves_bad(folded):
                return (
                    f"{folded.bad} of {folded.ratings} answers on {route}"
                    f" were bad, of {failing} replicas"
                )
        return None

    def suspicion(
        self, replicas: int, baseline: baseline_module.BaselineAnswers
    ) -> str | None:
        """Returns the evidence against the version at the end of its canary.

        A sequential test, valid after each answer, needs more evidence than a
        test made once. This one is made only a few times in the final phase,
        so a plain binomial tail suffices beside it.
        """
        found = self.proven_bad(
            replicas, baseline, false_stop_share=SUSPICION_SHARE
        )
        if found is not None:
            return found
        if not self.exceeds_tolerance(replicas, baseline):
            return None
        chance = binomial_tail.probability_of_at_least(
            self.bad_count,
            of=self.answer_count,
            share=baseline.tolerated_share(baseline_module.ALL_ROUTES),
        )
        if chance > SUSPICION_SHARE:
            return None
        return (
            f"{self.bad_count} of {self.answer_count} answers were bad at the"
            " end of the trial"
        )

    def exceeds_tolerance(
        self, replicas: int, baseline: baseline_module.BaselineAnswers
    ) -> bool:
        """Tells whether more answers are bad than a good version may have.

        The bad answers have to come from more than one replica, since one
        failing replica does not prove the version bad.
        """
        failing = len(self._replicas.get(baseline_module.ALL_ROUTES, ()))
        if failing < min(2, replicas):
            return False
        tolerated = baseline.tolerated_share(baseline_module.ALL_ROUTES)
        return self.bad_count > tolerated * self.answer_count

    def _slowness(self, deviations: float) -> str | None:
        for measure in baseline_module.LatencyMeasure:
            found = self._slowness_by(measure, deviations)
            if found is not None:
                return found
        return None

    def _slowness_by(
        self, measure: baseline_module.LatencyMeasure, deviations: float
    ) -> str | None:
        """Returns how slow answers were if chance is an unlikely reason.

        The baseline is itself a mean of a limited number of answers. Its
        uncertainty is taken into account; otherwise enough answers of the new
        version would turn any small difference into a proof.
        """
        pace = self.paces().get(measure)
        if pace is None or pace.answers < _MIN_PACES:
            return None
        if pace.significance < deviations:
            return None
        return (
            f"{pace.answers} answers were slower than usual in"
            f" {measure.value}, by {pace.mean:.1f} standard deviations"
        )

    def paces(self) -> dict[baseline_module.LatencyMeasure, PaceCount]:
        """Returns the compared paces of all instances, by latency measure."""
        found: dict[baseline_module.LatencyMeasure, PaceCount] = {}
        for row in (self._own, *self._peer_rows.values()):
            for measure, count in row.paces.items():
                found.setdefault(measure, PaceCount()).add(count)
        return found

    def possible_slowness(self) -> str | None:
        """Returns why the version may still be slow, or None.

        That a version is not proven slow says little after a few answers. It
        may be completed once its paces show that it is at most a little slower
        than the stable version, which a slow one rarely does by chance.
        """
        for measure, pace in self.paces().items():
            if pace.largest_mean > _TOLERATED_DEVIATIONS:
                return (
                    f"{pace.answers} answers may be slower than usual in"
                    f" {measure.value}, by up to {pace.largest_mean:.1f}"
                    " standard deviations"
                )
        return None

    def _add(self, route: str, answers: list[bool], failing: set[str]) -> None:
        for name in (route, baseline_module.ALL_ROUTES):
            self._answers.setdefault(name, []).extend(answers)
            self._replicas.setdefault(name, set()).update(failing)
