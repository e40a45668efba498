"""How long an attempt is expected to take."""

import datetime

import msgspec


class ExpectedTimes(msgspec.Struct, frozen=True, kw_only=True):
    """How long an attempt is expected to take.

    Attributes:
        first: From sending to the first event, or to a whole answer.
        rest: From there to the end.
        slowness: Of the replica; both times include it.
    """

    first: datetime.timedelta
    rest: datetime.timedelta
    slowness: float = 1.0

    @property
    def whole(self) -> datetime.timedelta:
        """From sending to the end."""
        return self.first + self.rest

    @property
    def elsewhere(self) -> datetime.timedelta:
        """From sending to the end, at an average replica."""
        return self.whole / self.slowness
