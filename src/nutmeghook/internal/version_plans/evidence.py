"""Answers of a version in roll-out, counted and pooled over instances."""

import math

import msgspec

from nutmeghook.internal.rollout import evidence as proof

# A version may fail this share of its requests and still count as good:
# services have failures of their own, and other faults hit its replicas too.
TOLERATED_BAD_SHARE = 0.07
# A good version is reverted this rarely, for each route that it serves.
FALSE_STOP_SHARE = 0.004
# An answer is bad if it takes this many times as long as the old version's
# on the same route. Bad versions are said to be several times slower; prompts
# of one route differ by a factor of two to three in length.
SLOW_FACTOR = 4.5
_DURATION_WEIGHT = 0.05
# The old version's answers on a route before slowness is judged there.
_LEAST_OLD_ANSWERS = 12


class RouteCount(msgspec.Struct, kw_only=True):
    """Answers of the new version on one route, as one instance saw them."""

    good: int = 0
    bad: int = 0
    # Replicas that gave a bad answer. One failing replica is a fault of its
    # own; a bad version fails on several.
    bad_replicas: set[str] = set()


class EvidenceRow(msgspec.Struct, kw_only=True):
    """What one instance saw in the course of one order."""

    order_id: int
    routes: dict[str, RouteCount] = {}


class TypicalDurations:
    """How long answers take, by kind; the logarithm's moving mean."""

    __slots__ = ("_count", "_log")

    def __init__(self):
        self._log: dict[str, float] = {}
        self._count: dict[str, int] = {}

    def note(self, kind: str, duration_s: float) -> None:
        """Takes in an answer of a version in full use."""
        value = math.log(max(duration_s, 1e-3))
        count = self._count.get(kind, 0)
        mean = self._log.get(kind, value)
        weight = max(_DURATION_WEIGHT, 1.0 / (count + 1))
        self._log[kind] = mean + weight * (value - mean)
        self._count[kind] = count + 1

    def is_slow(self, kind: str, duration_s: float) -> bool:
        """Tells whether an answer took far longer than is usual."""
        if self._count.get(kind, 0) < _LEAST_OLD_ANSWERS:
            return False
        typical_s = math.exp(self._log[kind])
        return duration_s > SLOW_FACTOR * typical_s


class PooledEvidence:
    """Folds all instances' counts of one order into a verdict.

    Counts only grow, so a row that is read twice or out of order adds
    nothing; an instance that restarts begins with a row of its own again.
    """

    __slots__ = ("_by_route", "_own", "_replicas", "_rule", "_seen", "order_id")

    def __init__(self, *, order_id: int):
        self.order_id = order_id
        self._rule = proof.RollOutRule(
            tolerated_bad_share=TOLERATED_BAD_SHARE,
            false_stop_share=FALSE_STOP_SHARE,
        )
        self._own = EvidenceRow(order_id=order_id)
        self._by_route: dict[str, proof.Evidence] = {}
        self._replicas: dict[str, set[str]] = {}
        self._seen: dict[str, EvidenceRow] = {}

    @property
    def own(self) -> EvidenceRow:
        """What this instance saw, to be published."""
        return self._own

    def note(self, route: str, replica_id: str, *, bad: bool) -> None:
        """Takes in an answer of the new version seen here."""
        count = self._own.routes.setdefault(route, RouteCount())
        if bad:
            count.bad += 1
            count.bad_replicas.add(replica_id)
        else:
            count.good += 1
        self._fold(route, good=int(not bad), bad=int(bad))
        if bad:
            self._replicas.setdefault(route, set()).add(replica_id)

    def merge(self, instance_id: str, row: EvidenceRow) -> None:
        """Takes in what another instance saw."""
        if row.order_id != self.order_id:
            return
        before = self._seen.get(instance_id)
        self._seen[instance_id] = row
        for route, count in row.routes.items():
            old = before.routes.get(route) if before else None
            old = old or RouteCount()
            self._fold(
                route,
                good=max(0, count.good - old.good),
                bad=max(0, count.bad - old.bad),
            )
            self._replicas.setdefault(route, set()).update(count.bad_replicas)

    def proven_bad(self, replicas: int) -> str | None:
        """Returns why the version is bad, or None.

        Args:
            replicas: How many of the version's replicas are known.
        """
        for route, folded in self._by_route.items():
            culprits = len(self._replicas.get(route, ()))
            if replicas > 1 and culprits < 2:
                continue
            if self._rule.proves_bad(folded):
                return (
                    f"{folded.bad} of {folded.ratings} answers on {route}"
                    f" were bad, of {culprits} replicas"
                )
        return None

    def _fold(self, route: str, *, good: int, bad: int) -> None:
        folded = self._by_route.get(route, proof.Evidence())
        for _ in range(good):
            folded = self._rule.with_rating(folded, bad=False)
        for _ in range(bad):
            folded = self._rule.with_rating(folded, bad=True)
        self._by_route[route] = folded
