"""Which share of a service's requests a new version gets, and when.

A version may turn bad late, or only once everything runs on it, and nothing
can be taken back after completion, when the old version's replicas stop. So a
small trial lasts nearly the whole time, and everything moves in a short last
stretch, just long enough for requests on the old version to end.

A session that is under way may not change its version in the first half. So
the trial takes sessions that begin in it, once instances have told each other
which ones had begun before (`pinned_sessions`). Which ones follows from the
session alone, so all instances agree without asking. Left out of the first
half altogether, sessions gave nine answers of the new version in 15 s of a
roll-out of 24 s, and a store outage came before the proof.
"""

import dataclasses
import datetime

# Sessions may not move to the new version before half of the time; instances
# tell the time to some 10 ms, and orders take 16 s or more.
MAY_MOVE_SESSIONS_AT = 0.52
# The last stretch: what a request on the old version needs to end, the spread
# of the instances' steps, a store's call, and slack for a slow one.
_WANTED_FINAL_PHASE = datetime.timedelta(seconds=2.4)
_FINAL_PHASE_FRACTION = 0.1
# Of the share that a bad version may get: with the rest the trial proves it
# bad. At a bound of 0.0975 and 24 s, 2.4 s of everything are more than the
# bound, and the trial of 8,500 requests got 1.3 answers a second; 2 s leave it
# 6.
_FINAL_PHASE_PART_OF_BOUND = 0.85
# `LAST_WAIT`, two steps of the instances and a read and a write of a store
# that takes 0.1 s for each.
_MIN_FINAL_PHASE = datetime.timedelta(seconds=1.9)
# From the beginning of the last stretch to completion. Streams that last
# longer are resumed on the new version.
COMPLETION_DELAY = datetime.timedelta(seconds=1.3)
# Before the last stretch, so that all evidence is pooled when it begins: two
# steps of the slowest instance, a write, and word of it.
_FINAL_REPORT_LEAD = datetime.timedelta(seconds=1.5)
# From a roll-out's start until the trial takes sessions: instances hear of it
# within some 0.5 s, and tell which sessions are under way twice in 0.5 s.
SESSION_CANARY_DELAY = datetime.timedelta(seconds=1.5)
# Bounds of the trial's share: with less, a version that fails half of its
# requests takes over ten seconds to find at 50 requests a second; more finds
# nothing sooner that matters, should the rate be much higher than known.
_MIN_CANARY_SHARE = 0.035
_MAX_CANARY_SHARE = 0.2
# A trial that is so long in answers needs no larger share than that.
_ENOUGH_CANARY_ANSWERS = 30.0
# Part of the allowance beside the share that the trial uses. The rate that
# it is divided by is one instance's times their number, and may be half or
# twice the true one.
_CANARY_PART_OF_ALLOWANCE = 0.45


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Schedule:
    """The shares over the time of an order.

    Attributes:
        largest_bad_share: The most that a bad version may get of all requests
            from the order to the end of its time.
        bad_allowance: So many requests it may get beside that share.
    """

    largest_bad_share: float
    bad_allowance: float = 0.0

    def canary_share(self, within_s: float, per_s: float = 0.0) -> float:
        """Returns the new version's share until the last stretch.

        It is all that the bound leaves beside the last stretch: the proof has
        to come before some trouble hides it, and needs a number of answers.
        At 10 requests a second and 24 s the allowance is more than the share.

        Args:
            within_s: The order's time.
            per_s: Requests of the service in the whole fleet; 0 if unknown.
        """
        final_phase = self._final_phase_fraction(within_s)
        share = self.largest_bad_share - final_phase
        least = _MIN_CANARY_SHARE
        if per_s > 0:
            requests = per_s * max(within_s, 1.0)
            share += _CANARY_PART_OF_ALLOWANCE * self.bad_allowance / requests
            least = min(least, _ENOUGH_CANARY_ANSWERS / requests)
        share /= 1.0 - final_phase
        return max(least, min(share, _MAX_CANARY_SHARE))

    def is_canary_over_at(self, elapsed: float, within_s: float) -> bool:
        """Tells whether everything moves to the new version now."""
        return elapsed >= 1.0 - self._final_phase_fraction(within_s)

    def is_final_report_due_at(self, elapsed: float, within_s: float) -> bool:
        """Tells whether instances tell all they saw, good and bad."""
        return elapsed >= (
            1.0
            - self._final_phase_fraction(within_s)
            - _FINAL_REPORT_LEAD.total_seconds() / max(within_s, 1.0)
        )

    def may_complete_at(self, elapsed: float, within_s: float) -> bool:
        """Tells whether the old version's requests have had their time."""
        full_from = 1.0 - self._final_phase_fraction(within_s)
        return (
            elapsed - full_from
        ) * within_s >= COMPLETION_DELAY.total_seconds()

    def _final_phase_fraction(self, within_s: float) -> float:
        order_s = max(within_s, 1.0)
        wanted = max(
            _FINAL_PHASE_FRACTION, _WANTED_FINAL_PHASE.total_seconds() / order_s
        )
        affordable = max(
            _FINAL_PHASE_PART_OF_BOUND * self.largest_bad_share,
            _MIN_FINAL_PHASE.total_seconds() / order_s,
        )
        return min(0.5, wanted, affordable)
