"""Limits how many requests brittle replicas have to turn away.

A brittle replica falls over if it turns more than a stated number of requests
away in a second, of all instances together. What it has room for is known late:
its answers say how many requests it had, and those of other instances come
beside one's own. So each send has a risk of being turned away. An instance
spends its part of half of the number that the replica bears on such risks; a
send without risk costs nothing.
"""

import datetime
import functools
import math

import msgspec

from nutmeghook.internal.replicas import replica as replica_module

_SECOND = datetime.timedelta(seconds=1)
# The probability of a fall that is accepted for each second of a replica.
_ACCEPTED_FALLS_PER_S = 0.001
# Beyond this many refusals a second the bound makes no difference.
_MAX_REFUSALS_PER_S = 1000
# An unused part is saved up for so long.
_SAVED = 2 * _SECOND
_MIN_SAVED = 0.25
# A report that is older says no more of a replica than its service's average.
_REPORT_LIFETIME = _SECOND
# For so long a report of a full replica keeps an instance from its own places.
_FULL_LIFETIME = datetime.timedelta(milliseconds=100)
# Risks below this are too small to be told from none.
_NO_RISK = 0.005


class ServiceTraffic(msgspec.Struct, frozen=True, kw_only=True):
    """What all instances together send to one replica of a service.

    Attributes:
        own_part: The part of it that this instance sends; above 0.
        per_s: Requests a second to an average replica.
        occupancy: How many requests an average replica has.
    """

    own_part: float
    per_s: float
    occupancy: float


class RefusalBudget:
    """What an instance may still risk at one replica, in refusals."""

    __slots__ = ("_at", "_left")

    def __init__(self):
        self._left = 0.0
        self._at: datetime.timedelta | None = None

    def allows(
        self, risk: float, now: datetime.timedelta, *, rate_per_s: float
    ) -> bool:
        """Tells whether a send of this risk is within the budget."""
        return risk < _NO_RISK or risk <= self._refilled(now, rate_per_s)

    def spend(
        self, risk: float, now: datetime.timedelta, *, rate_per_s: float
    ) -> None:
        """Takes a risk from the budget."""
        if risk >= _NO_RISK:
            self._left = self._refilled(now, rate_per_s) - risk
            self._at = now

    def note_refused(self, now: datetime.timedelta) -> None:
        """Records that a replica turned a request away: a whole refusal.

        The budget is in debt then, and nothing is risked until it is repaid.
        """
        self._left = min(self._left, 0.0) - 1.0
        self._at = now

    def _refilled(self, now: datetime.timedelta, rate_per_s: float) -> float:
        most = max(_MIN_SAVED, rate_per_s * (_SAVED / _SECOND))
        if self._at is None:
            return most
        gained = rate_per_s * ((now - self._at) / _SECOND)
        return min(most, self._left + gained)


def budget_per_s(refusals_per_s: int, traffic: ServiceTraffic) -> float:
    """Returns the refusals a second that one instance may risk.

    Args:
        refusals_per_s: How many the replica bears from all instances.
        traffic: What is sent to its service.
    """
    return safe_mean(refusals_per_s) * traffic.own_part


@functools.lru_cache(maxsize=256)
def safe_mean(most: int) -> float:
    """Returns the largest mean at which more than `most` are very unlikely.

    Args:
        most: How many events of a Poisson process may come in a second.
    """
    most = min(most, _MAX_REFUSALS_PER_S)
    low, high = 0.0, float(most) + 1.0
    while high - low > 0.001 * high:
        mean = (low + high) / 2
        if _poisson_tail(most, mean) <= _ACCEPTED_FALLS_PER_S:
            low = mean
        else:
            high = mean
    return low


def _poisson_tail(most: int, mean: float) -> float:
    """Returns the probability of more than `most` events."""
    if mean <= 0:
        return 0.0
    return 1.0 - sum(
        math.exp(count * math.log(mean) - mean - math.lgamma(count + 1))
        for count in range(most + 1)
    )


def refusal_risk(
    replica: replica_module.Replica,
    traffic: ServiceTraffic,
    now: datetime.timedelta,
    *,
    own_requests: int,
) -> float:
    """Returns the probability that a replica turns a request away.

    Its occupancy is taken for normally distributed around what its last report
    leads to expect: others' requests come, from then until this one ends, and
    some end.

    Args:
        replica: The replica.
        traffic: What is sent to its service.
        now: Monotonic time.
        own_requests: How many of its attempts in flight are this request.
    """
    report = replica.report
    slots = replica.entry.slots
    if report is None or now - report.at > _REPORT_LIFETIME:
        mean = traffic.occupancy
        return _tail(slots - mean, variance=max(1.0, mean))
    age_s = (now - report.at) / _SECOND
    own = replica.in_flight - own_requests - replica.in_flight_at_report
    known = report.running + report.waiting + own
    if report.waiting or known >= slots:
        return 1.0
    others_share = 1 - traffic.own_part
    # A request takes a slot from others for as long as it runs.
    held_s = 0.0
    if traffic.per_s > 0:
        held_s = traffic.occupancy / traffic.per_s
    come = traffic.per_s * others_share * (age_s + held_s)
    gone = 0.0
    if held_s > 0:
        gone = min(known, known * (age_s + held_s) / held_s)
    return _tail(slots - known - come + gone, variance=come + gone)


def is_full(
    replica: replica_module.Replica,
    now: datetime.timedelta,
    *,
    own_requests: int,
) -> bool:
    """Tells whether a recent report and own attempts leave no place."""
    report = replica.report
    if report is None or now - report.at > _FULL_LIFETIME:
        return False
    own = replica.in_flight - own_requests - replica.in_flight_at_report
    return report.running + report.waiting + own >= replica.entry.slots


def _tail(room: float, *, variance: float) -> float:
    """Returns the probability that less than one place is left."""
    distance = room - 0.5
    if variance <= 0:
        return 0.0 if distance > 0 else 1.0
    return 0.5 * math.erfc(distance / math.sqrt(2 * variance))
