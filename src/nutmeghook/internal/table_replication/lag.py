"""Measures for how long an instance has known that it is behind a peer."""

import datetime


class Lag:
    """How long a newer version than the own one has been known.

    Versions are whole numbers of any kind that grows. The time begins anew with
    each version that is received.
    """

    __slots__ = ("_newest", "_own", "_since")

    def __init__(self):
        self._own = -1
        self._newest = -1
        # Since when `_own` has been known to be behind.
        self._since = datetime.timedelta()

    def note_reported(
        self, newest: int, *, own: int, now: datetime.timedelta
    ) -> None:
        """Records a peer's version.

        Args:
            newest: The peer's.
            own: What this instance has.
            now: The monotonic time.
        """
        if newest <= own:
            return
        if self._newest <= own:
            self._own, self._since = own, now
        self._newest = max(self._newest, newest)

    def duration(
        self, *, own: int, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns for how long it has been behind; None if it is not known to.

        Args:
            own: What this instance has. The first call with another version
                begins its time.
            now: The monotonic time.
        """
        if self._newest <= own:
            return None
        if own != self._own:
            self._own, self._since = own, now
        return now - self._since
