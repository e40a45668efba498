"""The speed of a replica relative to an average one of its service."""

import datetime


class ReplicaSpeed:
    """The believed speed of one start of a replica."""

    __slots__ = ()

    def slowness(self, now: datetime.timedelta) -> float:
        """Returns by which factor its work takes longer than an average one's.

        Args:
            now: Monotonic time.
        """
        del now
        return 1.0
