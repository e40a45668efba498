"""Which share of a service's requests a new version gets, and when."""

import dataclasses

# Largest share in the first half, as part of what a bad version may get over
# the whole time: the rest is kept for versions that turn bad only under the
# loads of the second half.
_TRIAL_PART = 0.5
# Parts of the order's time at which the share grows, and to what. Sessions
# may not move to the new version before the half.
_STEPS = ((0.5, 0.2), (0.56, 0.45), (0.62, 1.0))
# All requests have been on the new version for long enough that those on the
# old one, which stops at once, have ended or may be resumed.
COMPLETE_AT = 0.82
MAY_MOVE_SESSIONS_AT = 0.5


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Schedule:
    """The shares over the time of one order.

    Attributes:
        largest_bad_share: The most that a bad version may get.
    """

    largest_bad_share: float

    def share_at(self, part: float) -> float:
        """Returns the new version's share at a part of the time, from 0."""
        share = self.largest_bad_share * _TRIAL_PART
        for start, larger in _STEPS:
            if part >= start:
                share = larger
        return share
