"""Answers of a version in roll-out, counted and pooled over instances."""

import secrets

import msgspec

from nutmeghook.internal.rollout import evidence as rating_evidence
from nutmeghook.internal.version_plans import baseline as baseline_module
from nutmeghook.internal.version_plans import binomial_tail

# A good version is reverted this rarely, for each route that it serves.
FALSE_STOP_SHARE = 0.004
# Before completion, which can't be taken back, this much less proof counts.
SUSPICION_SHARE = 0.05
# A version is slow if its paces deviate by so many standard errors, over so
# many answers. Looked at after each of 60 answers, 3.0 calls 13 good versions
# in 1,000 slow and 3.5 none of 300; a version that begins six times later in
# 6 of 10 requests is found after 8 answers instead of 6 (medians, simulated).
_SLOW_DEVIATIONS = 3.5
_MIN_PACES = 4
# So many standard deviations of slowness are worth telling like a bad answer.
_DEVIATIONS_PER_BAD_ANSWER = 2.0
# Of one instance's few runs in the course of an order.
_RUN_ID_BYTES = 4
# As little as this is a suspicion: one good version in 160, by chance alone.
_SUSPECT_DEVIATIONS = 2.5


class RouteCount(msgspec.Struct, kw_only=True):
    """Answers of the new version on one route, as one instance saw them."""

    good: int = 0
    bad: int = 0
    # Replicas that gave a bad answer. One failing replica is a fault of its
    # own; a bad version fails on several.
    bad_replicas: set[str] = set()


class PaceCount(msgspec.Struct, kw_only=True):
    """Answers whose pace was compared with what is usual.

    Attributes:
        deviations: Theirs, in standard deviations, summed up.
    """

    answers: int = 0
    deviations: float = 0.0


class EvidenceRow(msgspec.Struct, kw_only=True):
    """What one instance saw in the course of one order.

    Attributes:
        paces: By what was measured.
        run_id: Tells rows of one instance's runs apart; each counts anew.
    """

    order_id: int
    routes: dict[str, RouteCount] = {}
    paces: dict[baseline_module.LatencyMeasure, PaceCount] = {}
    run_id: str = ""

    @property
    def weight(self) -> float:
        """How much of it speaks against the version, in bad answers."""
        bad = sum(count.bad for count in self.routes.values())
        slow = sum(max(0.0, p.deviations) for p in self.paces.values())
        return bad + slow / _DEVIATIONS_PER_BAD_ANSWER

    @property
    def pace_count(self) -> int:
        """How many paces were compared."""
        return sum(pace.answers for pace in self.paces.values())

    @property
    def size(self) -> int:
        """How much there is to tell of it; it only grows."""
        answers = sum(count.good + count.bad for count in self.routes.values())
        return answers + self.pace_count

    def covers(self, other: "EvidenceRow") -> bool:
        """Tells whether it counts no less than an earlier row."""
        return self.pace_count >= other.pace_count and all(
            route in self.routes
            and self.routes[route].good >= count.good
            and self.routes[route].bad >= count.bad
            for route, count in other.routes.items()
        )


class PooledEvidence:
    """Folds all instances' counts of one order into a verdict.

    Counts only grow, so a row that is read twice or out of order adds
    nothing; an instance that restarts begins with a row of its own again.
    Answers are kept in the order in which they were heard of, and folded
    anew when what is usual has changed.
    """

    __slots__ = ("_answers", "_own", "_peer_rows", "_replicas", "order_id")

    def __init__(self, *, order_id: int):
        self.order_id = order_id
        self._own = EvidenceRow(
            order_id=order_id, run_id=secrets.token_hex(_RUN_ID_BYTES)
        )
        # Whether each answer was bad, by route.
        self._answers: dict[str, list[bool]] = {}
        self._replicas: dict[str, set[str]] = {}
        # By instance and run.
        self._peer_rows: dict[tuple[str, str], EvidenceRow] = {}

    @property
    def own(self) -> EvidenceRow:
        """What this instance saw, to be published."""
        return self._own

    @property
    def answers(self) -> int:
        """How many answers and paces are known."""
        rows = [self._own, *self._peer_rows.values()]
        pace_count = sum(row.pace_count for row in rows)
        return self.answers_seen + pace_count

    @property
    def answers_seen(self) -> int:
        """How many answers of the version are known, of all instances."""
        return len(self._answers.get(baseline_module.ALL_ROUTES, ()))

    @property
    def bad_seen(self) -> int:
        """How many of them were bad."""
        return sum(self._answers.get(baseline_module.ALL_ROUTES, ()))

    def note(self, route: str, replica_id: str, *, bad: bool) -> None:
        """Takes in an answer of the new version seen here."""
        count = self._own.routes.setdefault(route, RouteCount())
        if bad:
            count.bad += 1
            count.bad_replicas.add(replica_id)
        else:
            count.good += 1
        failing = {replica_id} if bad else set()
        self._add(route, [bad], failing)

    def note_pace(
        self, measure: baseline_module.LatencyMeasure, deviation: float
    ) -> None:
        """Takes in how much slower than usual an answer was."""
        count = self._own.paces.setdefault(measure, PaceCount())
        count.answers += 1
        count.deviations += deviation

    def merge(self, instance_id: str, row: EvidenceRow) -> None:
        """Takes in what another instance saw."""
        if row.order_id != self.order_id:
            return
        key = (instance_id, row.run_id)
        before = self._peer_rows.get(key)
        if before is not None and not row.covers(before):
            # An older row that was overtaken on its way.
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
            failing = len(self._replicas[route])
            # One failing replica is a fault of its own.
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
        """Returns what speaks against the version at the end of its trial.

        A test that may be looked at after each answer pays for looking all the
        time. Here a good version has only the few looks of the last stretch to
        fail at.
        """
        found = self.proven_bad(
            replicas, baseline, false_stop_share=SUSPICION_SHARE
        )
        if found is not None:
            return found
        if not self.exceeds_tolerance(replicas, baseline):
            return None
        chance = binomial_tail.probability_of_at_least(
            self.bad_seen,
            of=self.answers_seen,
            share=baseline.tolerated_share(baseline_module.ALL_ROUTES),
        )
        if chance > SUSPICION_SHARE:
            return None
        return (
            f"{self.bad_seen} of {self.answers_seen} answers were bad at the"
            " end of the trial"
        )

    def exceeds_tolerance(
        self, replicas: int, baseline: baseline_module.BaselineAnswers
    ) -> bool:
        """Tells whether more is bad than a good version may have.

        One failing replica is a fault of its own, however often it fails.
        """
        failing = len(self._replicas.get(baseline_module.ALL_ROUTES, ()))
        if failing < min(2, replicas):
            return False
        tolerated = baseline.tolerated_share(baseline_module.ALL_ROUTES)
        return self.bad_seen > tolerated * self.answers_seen

    def _slowness(self, deviations: float) -> str | None:
        for measure in baseline_module.LatencyMeasure:
            found = self._slowness_by(measure, deviations)
            if found is not None:
                return found
        return None

    def _slowness_by(
        self, measure: baseline_module.LatencyMeasure, deviations: float
    ) -> str | None:
        """Returns how slow answers were if chance hardly explains it.

        What is usual is a mean of some answers itself, so that more answers
        of the new version do not make any difference from it a proof.
        """
        rows = [self._own, *self._peer_rows.values()]
        counts = [row.paces[measure] for row in rows if measure in row.paces]
        answers = sum(count.answers for count in counts)
        total = sum(count.deviations for count in counts)
        if answers < _MIN_PACES:
            return None
        baseline_ratio = answers / baseline_module.MEAN_PACE_ANSWERS
        if total < deviations * (answers * (1.0 + baseline_ratio)) ** 0.5:
            return None
        return (
            f"{answers} answers were slower than usual in {measure.value}, by"
            f" {total / answers:.1f} standard deviations"
        )

    def _add(self, route: str, answers: list[bool], failing: set[str]) -> None:
        for name in (route, baseline_module.ALL_ROUTES):
            self._answers.setdefault(name, []).extend(answers)
            self._replicas.setdefault(name, set()).update(failing)
