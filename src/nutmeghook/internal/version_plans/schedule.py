"""Which share of a service's requests a new version gets, and when.

A version may turn bad late, or only once everything runs on it, and nothing
can be taken back after completion, when the old version's replicas stop. So a
small trial lasts nearly the whole time, and everything moves in a short last
stretch, just long enough for requests on the old version to end.

Sessions may not change their version in the first half. A session goes from
instance to instance, and none knows which sessions the others have under way:
in one trial a session went to and fro four times, since one instance
remembered that it was under way and the next did not. So requests of sessions
stay on the old version until then, and as many take part in the trial in the
time that is left. Which ones follows from the session alone, so all instances
agree without asking.
"""

import dataclasses
import datetime

# Sessions may not move to the new version before half of the time; instances
# tell the time to some 10 ms, and orders take 16 s or more.
MAY_MOVE_SESSIONS_AT = 0.52
# The last stretch: what a request on the old version needs to end, the spread
# of the instances' steps, a store's call, and slack for a slow one.
_LEAST_LAST_STRETCH = datetime.timedelta(seconds=2.4)
_LAST_STRETCH_PART = 0.1
# From the beginning of the last stretch to completion. Streams that last
# longer are resumed on the new version.
LAST_WAIT = datetime.timedelta(seconds=1.3)
# Before the last stretch, so that all evidence is pooled when it begins: two
# steps of the slowest instance, a write, and word of it.
_FINAL_REPORT = datetime.timedelta(seconds=1.5)
# The trial's share is what the bound leaves beside the last stretch, within
# these: with less, a version that fails half of its requests takes over ten
# seconds to find at 50 requests a second; more finds nothing sooner that
# matters.
_LEAST_TRIAL_SHARE = 0.035
_LARGEST_TRIAL_PART = 0.5
# Sessions that take part at most, however little time their trial has left.
_LARGEST_SESSION_SHARE = 0.25


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Schedule:
    """The shares over the time of an order.

    Attributes:
        largest_bad_share: The most that a bad version may get of all requests
            from the order to the end of its time.
    """

    largest_bad_share: float

    def share_at(self, part: float, within_s: float) -> float:
        """Returns the new version's share at a part of the time, from 0.

        Of requests without a session; see `session_share_at`.
        """
        stretch = self._last_stretch_part(within_s)
        if self.is_trial_over_at(part, within_s):
            return 1.0
        left = (self.largest_bad_share - stretch) / (1.0 - stretch)
        most = _LARGEST_TRIAL_PART * self.largest_bad_share
        return max(_LEAST_TRIAL_SHARE, min(left, most))

    def session_share_at(self, part: float, within_s: float) -> float:
        """Returns the new version's share of sessions at a part of the time.

        It never falls, so a session that has moved does not move back.
        """
        if self.is_trial_over_at(part, within_s):
            return 1.0
        if part < MAY_MOVE_SESSIONS_AT:
            return 0.0
        trial_part = 1.0 - self._last_stretch_part(within_s)
        later_part = trial_part - MAY_MOVE_SESSIONS_AT
        share = self.share_at(part, within_s) * trial_part / later_part
        return min(share, _LARGEST_SESSION_SHARE)

    def is_trial_over_at(self, part: float, within_s: float) -> bool:
        """Tells whether everything moves to the new version now."""
        return part >= 1.0 - self._last_stretch_part(within_s)

    def is_final_report_due_at(self, part: float, within_s: float) -> bool:
        """Tells whether instances tell all they saw, good and bad."""
        return part >= (
            1.0
            - self._last_stretch_part(within_s)
            - _FINAL_REPORT.total_seconds() / max(within_s, 1.0)
        )

    def may_complete_at(self, part: float, within_s: float) -> bool:
        """Tells whether the old version's requests have had their time."""
        full_from = 1.0 - self._last_stretch_part(within_s)
        return (part - full_from) * within_s >= LAST_WAIT.total_seconds()

    def _last_stretch_part(self, within_s: float) -> float:
        least = _LEAST_LAST_STRETCH.total_seconds() / max(within_s, 1.0)
        return min(0.5, max(_LAST_STRETCH_PART, least))
