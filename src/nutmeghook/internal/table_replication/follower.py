"""Follows a table: reads it whole once, then takes in its changes."""

import abc
from collections.abc import Callable
import datetime
import random

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import source

# A feed that falls silent for good on an open connection shows only by this
# limit. It has to be well under the time in which a change must be in force
# (2 s and more), and each call costs, so it is no shorter.
FEED_WAIT = datetime.timedelta(seconds=2)
# After a failed call. The first returns quickly, since many failures are one
# broken connection; then a store that is out is asked about once a second.
INITIAL_RETRY_DELAY = datetime.timedelta(milliseconds=100)
MAX_RETRY_DELAY = datetime.timedelta(seconds=1)


class TableListener(abc.ABC):
    """Takes in what a follower reads."""

    @abc.abstractmethod
    def replace(
        self, rows: tuple[source.FollowedRow, ...], revision: int
    ) -> None:
        """Takes in the whole table as of a revision; all else is gone."""

    @abc.abstractmethod
    def change(self, rows: tuple[source.FollowedRow, ...]) -> None:
        """Takes in changes, in order."""


class StoreMonitor:
    """What is known of the store by own calls and by peers' word.

    Args:
        clock: Measures time.
        on_return: Called when the store answers again after a failure.

    Attributes:
        away: The newest call failed.
        time_offset: The store's steady clock less ours.
    """

    __slots__ = (
        "_answered_at",
        "_clock",
        "_on_return",
        "is_unreachable",
        "time_offset",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        on_return: Callable[[], None] = lambda: None,
    ):
        self._clock = clock
        self._on_return = on_return
        self.is_unreachable = False
        self.time_offset: datetime.timedelta | None = None
        self._answered_at: datetime.timedelta | None = None

    def record_response(self, store_time: datetime.timedelta) -> None:
        """Takes in an answer."""
        now = self._clock.monotonic()
        self.record_contact(now)
        if self.is_unreachable:
            self.is_unreachable = False
            logs.note("store:back")
            self._on_return()
        offset = store_time - now
        # Answers arrive late, never early: the largest offset is the truest.
        # It is let down slowly, in case this clock runs ahead.
        if self.time_offset is None or offset > self.time_offset:
            self.time_offset = offset
        else:
            self.time_offset += (offset - self.time_offset) * 0.02

    def record_contact(self, at: datetime.timedelta) -> None:
        """Takes in that the store answered this instance or a peer."""
        if self._answered_at is None or at > self._answered_at:
            self._answered_at = at

    def time_since_contact(self) -> datetime.timedelta:
        """Returns how long ago the store last answered anyone known here.

        Most instances of a large fleet make no calls of their own, so a store
        that is out shows first in the age of what readers tell.
        """
        if self._answered_at is None:
            return datetime.timedelta()
        return self._clock.monotonic() - self._answered_at

    def record_failure(self, error: Exception) -> None:
        """Takes in a failed call."""
        if not self.is_unreachable:
            self.is_unreachable = True
            logs.note("store:away", error=str(error))

    def store_time(self) -> datetime.timedelta | None:
        """Returns the store's steady time now, if it was ever heard."""
        if self.time_offset is None:
            return None
        return self._clock.monotonic() + self.time_offset


class TableFollower:
    """Keeps a reader up to date with one table.

    The store has one counter for all tables, and says with each answer how far
    it has gone. If that were told as the table's revision, each call would
    make its caller look ahead of all others, who would ask it for nothing,
    and no proof that a revision is the newest would hold for anybody else. So
    the revision moves with the table's own rows, and where to go on in the
    feed is kept beside it.

    Attributes:
        revision: All changes up to here were taken in; -1 before the first.
        confirmed_at: When the store last said that there are no others.
    """

    __slots__ = (
        "_clock",
        "_feed_position",
        "_listener",
        "_random",
        "_retry_delay",
        "_store_monitor",
        "_table",
        "_wait",
        "confirmed_at",
        "revision",
    )

    def __init__(
        self,
        *,
        table: source.FollowedTable,
        listener: TableListener,
        store_monitor: StoreMonitor,
        clock: clock_module.Clock,
        random_source: random.Random,
        wait: datetime.timedelta = FEED_WAIT,
    ):
        self._table = table
        self._listener = listener
        self._store_monitor = store_monitor
        self._clock = clock
        self._random = random_source
        self._wait = wait
        self._retry_delay = INITIAL_RETRY_DELAY
        # Up to where the store's answers are taken in; -1: read all first.
        self._feed_position = -1
        self.revision = -1
        self.confirmed_at: datetime.timedelta | None = None

    def record_contact(self, at: datetime.timedelta) -> None:
        """Takes in that the store answered a peer."""
        self._store_monitor.record_contact(at)

    @property
    def is_store_reachable(self) -> bool:
        """Tells whether the store answered the last call, or none was made."""
        return not self._store_monitor.is_unreachable

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            await self.step()

    async def step(
        self,
        wait: datetime.timedelta | None = None,
        *,
        retry_delay: datetime.timedelta | None = None,
    ) -> None:
        """Reads once; after a failure it waits a little instead.

        Args:
            wait: For a change; the follower's own where it is None.
            retry_delay: After a failure; the follower's own back-off where it
                is None.
        """
        try:
            await self._read(self._wait if wait is None else wait)
            self._retry_delay = INITIAL_RETRY_DELAY
        except source.HistoryGoneError:
            logs.note("store:history_gone", table=self._table.name)
            self._feed_position = -1
        except failures.PlatformError as error:
            self._store_monitor.record_failure(error)
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep((retry_delay or self._retry_delay) * jitter)
            self._retry_delay = min(self._retry_delay * 2, MAX_RETRY_DELAY)

    def skip_to(self, revision: int) -> None:
        """Goes on after a revision that the reader got from elsewhere."""
        self.revision = max(self.revision, revision)
        self._feed_position = max(self._feed_position, revision)

    async def _read(self, wait: datetime.timedelta) -> None:
        start_position = self._feed_position
        if start_position < 0:
            page = await self._table.read_all()
        else:
            page = await self._table.changes(start_position, wait)
        self._store_monitor.record_response(page.store_time)
        # A peer's rows may have been taken in meanwhile. What is older would
        # bring back rows that those said are deleted.
        if page.revision < self.revision:
            return
        if start_position < 0:
            self._listener.replace(page.rows, page.revision)
            # Which rows were deleted last is not known, so no lower number is
            # safe: whoever has it may still have those.
            self.revision = page.revision
        elif page.rows:
            self._listener.change(page.rows)
            newest = max(row.version for row in page.rows)
            self.revision = max(self.revision, newest)
        self._feed_position = max(self._feed_position, page.revision)
        self.confirmed_at = self._clock.monotonic()
