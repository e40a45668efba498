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
FIRST_PAUSE = datetime.timedelta(milliseconds=100)
LONGEST_PAUSE = datetime.timedelta(seconds=1)


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
        "away",
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
        self.away = False
        self.time_offset: datetime.timedelta | None = None
        self._answered_at: datetime.timedelta | None = None

    def note_answer(self, store_time: datetime.timedelta) -> None:
        """Takes in an answer."""
        now = self._clock.monotonic()
        self.note_answered(now)
        if self.away:
            self.away = False
            logs.note("store:back")
            self._on_return()
        offset = store_time - now
        # Answers arrive late, never early: the largest offset is the truest.
        # It is let down slowly, in case this clock runs ahead.
        if self.time_offset is None or offset > self.time_offset:
            self.time_offset = offset
        else:
            self.time_offset += (offset - self.time_offset) * 0.02

    def note_answered(self, at: datetime.timedelta) -> None:
        """Takes in that the store answered this instance or a peer."""
        if self._answered_at is None or at > self._answered_at:
            self._answered_at = at

    def silent_for(self) -> datetime.timedelta:
        """Returns how long ago the store last answered anyone known here.

        Most instances of a large fleet make no calls of their own, so a store
        that is out shows first in the age of what readers tell.
        """
        if self._answered_at is None:
            return datetime.timedelta()
        return self._clock.monotonic() - self._answered_at

    def note_failure(self, error: Exception) -> None:
        """Takes in a failed call."""
        if not self.away:
            self.away = True
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
        "_pause",
        "_random",
        "_reader",
        "_table",
        "_wait",
        "_watch",
        "confirmed_at",
        "revision",
    )

    def __init__(
        self,
        *,
        table: source.FollowedTable,
        reader: TableListener,
        watch: StoreMonitor,
        clock: clock_module.Clock,
        random_source: random.Random,
        wait: datetime.timedelta = FEED_WAIT,
    ):
        self._table = table
        self._reader = reader
        self._watch = watch
        self._clock = clock
        self._random = random_source
        self._wait = wait
        self._pause = FIRST_PAUSE
        # Up to where the store's answers are taken in; -1: read all first.
        self._feed_position = -1
        self.revision = -1
        self.confirmed_at: datetime.timedelta | None = None

    def note_answered(self, at: datetime.timedelta) -> None:
        """Takes in that the store answered a peer."""
        self._watch.note_answered(at)

    @property
    def is_in_touch(self) -> bool:
        """Tells whether the store answered the last call, or none was made."""
        return not self._watch.away

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            await self.step()

    async def step(
        self,
        wait: datetime.timedelta | None = None,
        *,
        pause: datetime.timedelta | None = None,
    ) -> None:
        """Reads once; after a failure it waits a little instead.

        Args:
            wait: For a change; the follower's own where it is None.
            pause: After a failure; one that grows with each where it is None.
        """
        try:
            await self._read(self._wait if wait is None else wait)
            self._pause = FIRST_PAUSE
        except source.HistoryGoneError:
            logs.note("store:history_gone", table=self._table.name)
            self._feed_position = -1
        except failures.PlatformError as error:
            self._watch.note_failure(error)
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep((pause or self._pause) * jitter)
            self._pause = min(self._pause * 2, LONGEST_PAUSE)

    def skip_to(self, revision: int) -> None:
        """Goes on after a revision that the reader got from elsewhere."""
        self.revision = max(self.revision, revision)
        self._feed_position = max(self._feed_position, revision)

    async def _read(self, wait: datetime.timedelta) -> None:
        began_at = self._feed_position
        if began_at < 0:
            page = await self._table.read_all()
        else:
            page = await self._table.changes(began_at, wait)
        self._watch.note_answer(page.store_time)
        # A peer's rows may have been taken in meanwhile. What is older would
        # bring back rows that those said are deleted.
        if page.revision < self.revision:
            return
        if began_at < 0:
            self._reader.replace(page.rows, page.revision)
            # Which rows were deleted last is not known, so no lower number is
            # safe: whoever has it may still have those.
            self.revision = page.revision
        elif page.rows:
            self._reader.change(page.rows)
            newest = max(row.version for row in page.rows)
            self.revision = max(self.revision, newest)
        self._feed_position = max(self._feed_position, page.revision)
        self.confirmed_at = self._clock.monotonic()
