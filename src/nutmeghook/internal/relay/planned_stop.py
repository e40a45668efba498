"""When this instance stops, and which attempts may still be made."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.relay import expected_times

# Other instances serve a refused request at once.
RETRY_AFTER = datetime.timedelta(milliseconds=100)
# Time left that an attempt needs, relative to the expected one.
_MARGIN = 1.5
# The same once new requests go to other instances, for those that have not run:
# a refusal costs little then, and one answer in a hundred takes this long.
_LATE_MARGIN = 5.0


class PlannedStop:
    """Tells which attempts may be made while this instance stops.

    Attributes:
        ends_at: Monotonic time at which requests under way are ended; None
            unless the instance is stopping.
        is_closed: New requests go to other instances.
        has_ended: The requests under way were ended.
    """

    __slots__ = ("_clock", "ends_at", "has_ended", "is_closed")

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self.ends_at: datetime.timedelta | None = None
        self.is_closed = False
        self.has_ended = False

    def allows(
        self,
        *,
        deadline: datetime.timedelta,
        expected: expected_times.ExpectedTimes | None,
        target: datetime.timedelta,
        may_have_run: bool,
    ) -> bool:
        """Tells whether an attempt is likely to end before the instance.

        Args:
            deadline: Monotonic time by which its request is answered.
            expected: How long it is expected to take; None if not known.
            target: Of its route.
            may_have_run: Its request can't be refused as "not run".
        """
        if self.ends_at is None or deadline <= self.ends_at:
            return True
        left = self.ends_at - self._clock.monotonic()
        if self.is_closed and not may_have_run:
            return (
                expected is not None and expected.whole * _LATE_MARGIN <= left
            )
        needed = target if expected is None else expected.whole
        return needed * _MARGIN <= left
