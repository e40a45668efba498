"""Follows a table in the store: a snapshot first, then its change feed."""

import abc
from collections.abc import Callable
import datetime
import random

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import source

# How long a call to the change feed waits for a change. Only this limit reveals
# a feed that has stalled on an open connection, so it must not exceed the time
# in which a change has to be in force (2 s and more). Each call costs, so it is
# no shorter.
FEED_WAIT = datetime.timedelta(seconds=2)
# After a failed call. The first retry comes quickly, since many failures are a
# single broken connection; a store that is out is called about once a second.
INITIAL_RETRY_DELAY = datetime.timedelta(milliseconds=100)
MAX_RETRY_DELAY = datetime.timedelta(seconds=1)
# Before the first read. Instances that lost power together with the store serve
# nobody until then. 88 of them that read three tables each in this time make
# some 500 calls a second.
MAX_FIRST_READ_RETRY_DELAY = datetime.timedelta(milliseconds=500)
# Number of a replica's heartbeat intervals that the shortest outage lasts in
# which its entry expires: that takes three, and the last heartbeat is up to one
# older than the outage.
INTERVALS_PER_EXPIRY_OUTAGE = 2
_MIN_OUTAGE = INTERVALS_PER_EXPIRY_OUTAGE * datetime.timedelta(
    milliseconds=1200
)


class TableListener(abc.ABC):
    """Receives the rows that a follower reads."""

    @abc.abstractmethod
    def replace(
        self, rows: tuple[source.FollowedRow, ...], revision: int
    ) -> None:
        """Replaces the whole table by its rows at a revision."""

    @abc.abstractmethod
    def change(self, rows: tuple[source.FollowedRow, ...]) -> None:
        """Applies changes, in order."""


class StoreMonitor:
    """The store's availability and clock, by own calls and peers' digests.

    Args:
        clock: Measures time.
        on_return: Called when a call succeeds again after a failure, and
            when an outage for the whole fleet has ended.
        min_outage: The store was out for the whole fleet if it answered no
            instance for so long.

    Attributes:
        epoch: The store's, which grows each time it is restored from an older
            copy; None before the first answer.
        is_unreachable: This instance's last call failed.
        outage_ended_at: When the store first answered an instance after its
            last outage for the whole fleet; None if there was none.
        time_offset: The store's monotonic clock minus this instance's.
    """

    __slots__ = (
        "_answered_at",
        "_clock",
        "_first_answered_at",
        "_is_offset_current",
        "_min_outage",
        "_on_return",
        "epoch",
        "is_unreachable",
        "outage_ended_at",
        "time_offset",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        on_return: Callable[[], None] = lambda: None,
        min_outage: datetime.timedelta = _MIN_OUTAGE,
    ):
        self._clock = clock
        self._on_return = on_return
        self._min_outage = min_outage
        self._is_offset_current = True
        self.epoch: int | None = None
        self.is_unreachable = False
        self.time_offset: datetime.timedelta | None = None
        self._answered_at: datetime.timedelta | None = None
        self._first_answered_at: datetime.timedelta | None = None
        self.outage_ended_at: datetime.timedelta | None = None

    def note_response(self, store_time: datetime.timedelta) -> None:
        """Records a successful call."""
        now = self._clock.monotonic()
        self.note_contact(now)
        if self.is_unreachable:
            self.is_unreachable = False
            logs.note("store:back")
            self._on_return()
        offset = store_time - now
        # A response may arrive late but not early, so the largest offset is the
        # most accurate. Smaller ones lower the estimate slowly, in case this
        # instance's clock runs faster than the store's.
        if (
            self.time_offset is None
            or not self._is_offset_current
            or offset > self.time_offset
        ):
            self.time_offset = offset
        else:
            self.time_offset += (offset - self.time_offset) * 0.02
        self._is_offset_current = True

    def note_epoch(self, epoch: int) -> None:
        """Records an epoch in which the store answered this one or a peer."""
        if self.epoch is not None and epoch <= self.epoch:
            return
        if self.epoch is not None:
            logs.note("store:restored", epoch=epoch, before=self.epoch)
            # The copy's clock may be behind.
            self._is_offset_current = False
        self.epoch = epoch

    def note_contact(self, at: datetime.timedelta) -> None:
        """Records that the store answered this instance or a peer."""
        before = self._answered_at
        if before is not None and at <= before:
            return
        self._answered_at = at
        if before is None:
            self._first_answered_at = at
        elif at - before >= self._min_outage:
            self.outage_ended_at = at
            logs.note(
                "store:outage_over", silence_s=(at - before).total_seconds()
            )
            self._on_return()

    def steady_time(self) -> datetime.timedelta:
        """Returns for how long the store is known to have had no outage."""
        since = self.outage_ended_at or self._first_answered_at
        if since is None:
            return datetime.timedelta()
        return self._clock.monotonic() - since

    def time_since_contact(self) -> datetime.timedelta:
        """Returns how long ago the store last answered this one or a peer.

        Most instances of a large fleet make no calls of their own; they notice
        an outage first by the age of the readers' confirmations.
        """
        if self._answered_at is None:
            return datetime.timedelta()
        return self._clock.monotonic() - self._answered_at

    def note_failure(self, error: Exception) -> None:
        """Records a failed call."""
        if not self.is_unreachable:
            self.is_unreachable = True
            logs.note("store:away", error=str(error))

    def store_time(self) -> datetime.timedelta | None:
        """Returns the store's monotonic time now, if known."""
        if self.time_offset is None:
            return None
        return self._clock.monotonic() + self.time_offset


class TableFollower:
    """Keeps a listener up to date with one table.

    The store has one counter for all tables, whose value comes with each
    response. As the table's revision it would make each caller look ahead of
    all peers, who would request changes that do not exist, and a confirmation
    that a revision is the newest would hold for no other instance. So the
    revision advances with the table's own rows, and the position in the feed is
    kept separately.

    Attributes:
        confirmed_at: When the store last confirmed that the revision is the
            newest.
        on_revision: Called after each change of the revision.
    """

    __slots__ = (
        "_clock",
        "_feed_position",
        "_listener",
        "_random",
        "_retry_delay",
        "_revision",
        "_store_monitor",
        "_table",
        "_wait",
        "confirmed_at",
        "on_revision",
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
        # The store's counter up to which its feed was read; -1: read all.
        self._feed_position = -1
        self._revision = -1
        self.confirmed_at: datetime.timedelta | None = None
        self.on_revision: Callable[[], None] = lambda: None

    @property
    def revision(self) -> int:
        """All changes up to here were applied; -1 before the first."""
        return self._revision

    def note_contact(self, at: datetime.timedelta) -> None:
        """Records that the store answered a peer."""
        self._store_monitor.note_contact(at)

    def steady_time(self) -> datetime.timedelta:
        """Returns for how long the store is known to have had no outage."""
        return self._store_monitor.steady_time()

    def store_time(self) -> datetime.timedelta | None:
        """Returns the store's monotonic time now, if known."""
        return self._store_monitor.store_time()

    @property
    def is_store_reachable(self) -> bool:
        """Tells whether the last call succeeded, or none was made."""
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
        """Reads once, or sleeps if the call fails.

        Args:
            wait: How long to wait for a change; the follower's own where it is
                None.
            retry_delay: After a failure, once the table was read; an
                exponential back-off where it is None.
        """
        try:
            await self._read(self._wait if wait is None else wait)
            self._retry_delay = INITIAL_RETRY_DELAY
        except source.HistoryGoneError:
            logs.note("store:history_gone", table=self._table.name)
            self._feed_position = -1
        except failures.PlatformError as error:
            self._store_monitor.note_failure(error)
            jitter = 0.75 + 0.5 * self._random.random()
            max_delay = MAX_RETRY_DELAY
            if self.revision < 0:
                max_delay = MAX_FIRST_READ_RETRY_DELAY
                retry_delay = None
            await self._clock.sleep((retry_delay or self._retry_delay) * jitter)
            self._retry_delay = min(self._retry_delay * 2, max_delay)

    def skip_to(self, revision: int) -> None:
        """Continues after a revision that the listener got from a peer."""
        self._store_monitor.note_epoch(revisions.epoch_of(revision))
        self._advance(revision)
        self._feed_position = max(self._feed_position, revision)

    def _advance(self, revision: int) -> None:
        if revision > self._revision:
            self._revision = revision
            self.on_revision()

    async def _read(self, wait: datetime.timedelta) -> None:
        start_position = self._feed_position
        start_revision = self.revision
        if start_position < 0:
            page = await self._table.read_all()
        else:
            page = await self._table.changes(start_position, wait)
        self._store_monitor.note_epoch(revisions.epoch_of(page.revision))
        self._store_monitor.note_response(page.store_time)
        # A peer's newer rows may have been applied meanwhile. An older page
        # would restore rows that they deleted.
        if page.revision < start_revision:
            raise failures.NotDoneError(
                f"the store's {self._table.name} is older than what is known,"
                f" {page.revision} to {start_revision}"
            )
        if page.revision < self.revision:
            return
        if start_position < 0:
            self._listener.replace(page.rows, page.revision)
            # A snapshot does not show recent deletions, so the newest row's
            # version is no safe revision: a peer at it may still have rows that
            # were deleted since.
            self._advance(page.revision)
        elif page.rows:
            self._listener.change(page.rows)
            self._advance(max(row.version for row in page.rows))
        self._feed_position = max(self._feed_position, page.revision)
        self.confirmed_at = self._clock.monotonic()
