"""Which share of a service's requests a new version gets, and when."""

import dataclasses
import datetime

# Sessions may not move to the new version before this part of the time.
MAY_MOVE_SESSIONS_AT = 0.5
# All new requests go to the new version from this part of the time on.
ALL_FROM = 0.68
# Shares before that, as parts of what a bad version may get over the whole
# time. They are small because the stretch with all requests counts too: what
# is left of the allowance by then covers about two seconds of everything.
_TRIAL_PARTS = ((0.0, 0.4), (MAY_MOVE_SESSIONS_AT, 0.8), (0.62, 2.0))
# Requests on the old version, whose replicas stop at completion without
# waiting for them, get this long to end. Streams that last longer are resumed.
_LEAST_LAST_WAIT = datetime.timedelta(seconds=1.4)
_LAST_WAIT_PART = 0.05


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Schedule:
    """The shares over the time of one order.

    Attributes:
        largest_bad_share: The most that a bad version may get.
    """

    largest_bad_share: float

    def share_at(self, part: float) -> float:
        """Returns the new version's share at a part of the time, from 0."""
        if part >= ALL_FROM:
            return 1.0
        share = 0.0
        for start, trial in _TRIAL_PARTS:
            if part >= start:
                share = trial * self.largest_bad_share
        return share

    def may_complete_at(self, part: float, within_s: float) -> bool:
        """Tells whether the old version's requests have had their time."""
        last_wait_s = max(
            _LEAST_LAST_WAIT.total_seconds(), _LAST_WAIT_PART * within_s
        )
        return (part - ALL_FROM) * within_s >= last_wait_s
