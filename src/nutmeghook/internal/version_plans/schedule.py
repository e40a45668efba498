"""Which share of a service's requests a new version gets, and when.

A version may turn bad late, or only under the full load, and completion can't
be undone, since the old version's replicas stop then. So a small canary lasts
nearly the whole time, and all requests move in a short final phase, just long
enough for requests on the old version to end.

A session that is under way may not change its version in the first half. So
the canary takes sessions that begin in it, once instances have told each other
which ones had begun before (`pinned_sessions`). Which of them it takes depends
on the session's digest alone, so all instances agree without communication. A
canary that took no sessions in the first half would have nine answers of the
new version after 15 s of a roll-out of 24 s, and a store outage could come
before the proof.
"""

import datetime

import msgspec

# Sessions may not move to the new version before half of the time. The margin
# covers the clock error of some 10 ms, as orders take 16 s or more.
MAY_MOVE_SESSIONS_AT = 0.52
# The final phase lasts this long, or this fraction of the time if that is more,
# unless the bound allows less: time for a request on the old version to end,
# the jitter of the instances' steps, a store call, and slack for a slow one.
_WANTED_FINAL_PHASE = datetime.timedelta(seconds=2.4)
_FINAL_PHASE_FRACTION = 0.1
# Largest part of the bound that the final phase may use; the canary needs the
# rest to prove a version bad. At a bound of 0.0975 and 8,500 requests in 24 s
# a final phase of 2.4 s exceeds the bound and leaves the canary 1.3 answers a
# second; 2 s leave it 6.
_FINAL_PHASE_PART_OF_BOUND = 0.85
# `COMPLETION_DELAY`, two steps of the instances, and a read and a write of a
# store that takes 0.1 s for each.
_MIN_FINAL_PHASE = datetime.timedelta(seconds=1.9)
# From the start of the final phase to completion. Streams that last longer are
# resumed on the new version.
COMPLETION_DELAY = datetime.timedelta(seconds=1.3)
# Final reports are due this long before the final phase, so that all evidence
# is pooled when it begins: two steps of the slowest instance, a write, and the
# other instances' read of it.
_FINAL_REPORT_LEAD = datetime.timedelta(seconds=1.5)
# From a roll-out's start until the canary takes sessions: instances learn of it
# within some 0.5 s, and send the sessions under way twice in 0.5 s.
SESSION_CANARY_DELAY = datetime.timedelta(seconds=1.5)
# Bounds of the canary's share. With less, a version that fails half of its
# requests takes over ten seconds to find at 50 requests a second. More gains
# little, and does harm if the request rate is much higher than estimated.
_MIN_CANARY_SHARE = 0.035
_MAX_CANARY_SHARE = 0.2
# A canary with this many answers over the order's time needs no larger share.
_ENOUGH_CANARY_ANSWERS = 30.0
# The new version's share of requests without a session while the canary is held
# beyond its planned time. The final phase would send it all of them, and a
# canary of a few requests may never show whether the version is slow.
HELD_SHARE = 0.5
# Part of `bad_allowance` that the canary uses. It is divided by the fleet's
# request rate, which is estimated as one instance's rate times their number and
# may be half or twice the true one.
_CANARY_PART_OF_ALLOWANCE = 0.45


class Schedule(msgspec.Struct, frozen=True, kw_only=True):
    """The new version's shares over the time of an order.

    Attributes:
        largest_bad_share: Largest share that a bad version may get of all
            requests from the order to the end of its time.
        bad_allowance: Number of requests that it may get beyond that share.
    """

    largest_bad_share: float
    bad_allowance: float = 0.0

    def canary_share(self, within_s: float, per_s: float = 0.0) -> float:
        """Returns the new version's share of requests before the final phase.

        It is all that the bound leaves beside the final phase: a proof needs
        a number of answers, and has to come before a store outage or another
        fault hides it. At 10 requests a second and 24 s the allowance permits
        more requests than the share.

        Args:
            within_s: The order's time in seconds.
            per_s: Requests a second to the service in the whole fleet; 0 if
                unknown.
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
        """Tells whether all requests go to the new version now."""
        return elapsed >= 1.0 - self._final_phase_fraction(within_s)

    def is_final_report_due_at(self, elapsed: float, within_s: float) -> bool:
        """Tells whether instances report all their answers, good and bad."""
        return elapsed >= (
            1.0
            - self._final_phase_fraction(within_s)
            - _FINAL_REPORT_LEAD.total_seconds() / max(within_s, 1.0)
        )

    def may_complete_at(self, elapsed: float, within_s: float) -> bool:
        """Tells whether requests on the old version have had time to end."""
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
