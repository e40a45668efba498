"""Acquires, renews and releases one lease on behalf of this instance.

No wall clocks are compared. An observer takes a lease over when the row's
version has not changed for longer than the lease's duration on the observer's
own monotonic clock; the take-over is conditional on that version, so a
renewal that comes first wins. The holder counts from the start of its last
renewal, so its lease expires before any observer may take over.
"""

import asyncio
from collections.abc import Callable
import contextlib
import datetime
import random

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import lease
from nutmeghook.internal.leases import rows
from nutmeghook.internal.observe import events as events_module

_ZERO = datetime.timedelta()
_JITTER_SHARE = 0.1
# Two instances that reach the store but not each other consider each other
# dead, and would take the lease from each other endlessly. So a take-over also
# requires that the holder missed this many renewals.
_MISSED_RENEWALS = 2


class LeaseKeeper(lease.Lease):
    """One instance's side of one lease; `run` contends for it and renews it.

    Args:
        name: The lease's name; the row's key follows from it.
        incarnation: This process.
        inner_address: Where others reach the holder.
        rank: Returns this instance's preference, 0 for the most preferred,
            None where it should not hold the lease. Called for each decision.
        is_dead: Tells whether an incarnation is known to be dead. To be given
            only where every action of the holder is conditional on the
            lease's row, so that a take-over before the expiry is safe.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_inner_address",
        "_is_dead",
        "_listeners",
        "_name",
        "_outranked_since",
        "_random",
        "_rank",
        "_row",
        "_row_changed_at",
        "_settings",
        "_stopped",
        "_table",
        "_valid_until",
        "_version",
        "_wake",
        "_write_number",
        "_write_started_at",
        "incarnation",
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        inner_address: str,
        table: table_module.TableService,
        clock: clock_module.Clock,
        rng: random.Random,
        events: events_module.EventRing,
        rank: Callable[[], int | None],
        settings: rows.LeaseSettings | None = None,
        is_dead: Callable[[str], bool] | None = None,
    ):
        self.incarnation = incarnation
        self._name = name
        self._inner_address = inner_address
        self._table = table
        self._clock = clock
        self._random = rng
        self._events = events
        self._rank = rank
        self._settings = settings or rows.LeaseSettings()
        self._is_dead = is_dead
        self._row: rows.LeaseRow | None = None
        self._version = table_module.ABSENT_VERSION
        self._row_changed_at = clock.monotonic()
        self._valid_until = _ZERO
        # Start of each write that the row may yet turn out to come from.
        self._write_started_at: dict[int, datetime.timedelta] = {}
        self._outranked_since: datetime.timedelta | None = None
        self._stopped = False
        self._write_number = 0
        self._listeners: list[Callable[[], None]] = []
        self._wake = asyncio.Event()

    @property
    def name(self) -> str:
        """The lease's name."""
        return self._name

    @property
    def row_key(self) -> str:
        """The key of the lease's row."""
        return rows.row_key(self._name)

    def row_version(self) -> int:
        """The row's version as last read."""
        return self._version

    def fencing_token(self) -> int | None:
        """Returns the token while the lease is certainly held, else None.

        The expiry is checked at each call, so that it is also noticed by a
        process which was paused and whose renewal task has not run yet.
        """
        if self._clock.monotonic() >= self._valid_until:
            return None
        return self.last_token()

    def last_token(self) -> int | None:
        """Returns the token unless the lease is known to be lost.

        It may have expired: use it only for commits that are conditional on
        the lease's row.
        """
        if self._is_mine(self._row):
            return self._row.token
        return None

    def known_holder(self) -> rows.LeaseRow | None:
        """Returns the row as last read, for referring others to the holder."""
        return self._row

    def wake(self) -> None:
        """Reads the row now instead of at the next poll."""
        self._wake.set()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a listener for the gain and the loss of the lease."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Contends for the lease and renews it until cancelled."""
        while not self._stopped:
            # If the store does not answer, the next step reads the row again.
            with contextlib.suppress(failures.PlatformError):
                await self.step()
            await self._pause()

    async def step(self) -> None:
        """Renews or hands over a held lease, else tries to acquire it."""
        if self.last_token() is not None:
            await self._renew_or_hand_over()
        elif self._rank() is not None:
            await self.read_row()
            if self._may_acquire():
                await self._acquire()

    async def read_row(self) -> None:
        """Reads the row."""
        row = await self._table.read(self.row_key)
        # Timed from after the read: the writer of this version began to count
        # before it, so its lease expires before this instance takes over.
        self._observe_row(row)

    async def release(self) -> None:
        """Releases the lease, so that another may acquire it immediately.

        Raises:
            failures.PlatformError: The store did not answer; the lease then
                expires by itself.
        """
        self._stopped = True
        await self._release()

    def apply_row(self, row: table_module.Row | None) -> bool:
        """Applies the row that a failed condition returned.

        Returns:
            Whether this instance still holds the lease.
        """
        self._observe_row(row)
        return self.last_token() is not None

    async def _renew_or_hand_over(self) -> None:
        if self._is_outranked():
            await self._release()
            return
        await self._write(self._own_row(token=self._row.token))

    async def _release(self) -> None:
        if self.last_token() is None:
            return
        self._valid_until = _ZERO
        # An earlier in-doubt renewal must not make the lease valid again.
        self._write_started_at.clear()
        released = msgspec.structs.replace(
            self._own_row(token=self._row.token), released=True
        )
        await self._write(released)

    def _is_outranked(self) -> bool:
        """Whether another was preferred throughout the settling time."""
        if self._rank() == 0:
            self._outranked_since = None
            return False
        now = self._clock.monotonic()
        if self._outranked_since is None:
            self._outranked_since = now
        return now - self._outranked_since >= self._settings.settle

    def _may_acquire(self) -> bool:
        rank = self._rank()
        if rank is None:
            return False
        # Lower-ranked instances wait longer, so the preferred one comes first.
        rank_delay = rank * self._settings.poll_every
        unchanged_for = self._clock.monotonic() - self._row_changed_at
        if self._row is None or self._row.released:
            return unchanged_for >= rank_delay
        if self._is_dead is not None and self._is_dead(self._row.holder):
            expiry = _MISSED_RENEWALS * self._settings.renew_every
        else:
            expiry = datetime.timedelta(milliseconds=self._row.duration_ms)
        return unchanged_for >= expiry + self._settings.margin + rank_delay

    async def _acquire(self) -> None:
        last = 0 if self._row is None else self._row.token
        await self._write(self._own_row(token=last + 1))

    async def _write(self, row: rows.LeaseRow) -> None:
        """Writes the row on condition that it is unchanged (compare-and-swap).

        An in-doubt write needs no resolution of its own: the next write has
        the same condition, so at most one of the two succeeds, and the row
        that a failed condition returns shows which.
        """
        self._write_started_at[row.write_number] = self._clock.monotonic()
        try:
            result = await self._table.commit(
                table_module.Transaction(
                    conditions=(
                        table_module.Condition(
                            key=self.row_key, version=self._version
                        ),
                    ),
                    puts=(
                        table_module.Put(
                            key=self.row_key, value=rows.encode(row)
                        ),
                    ),
                )
            )
        except failures.NotDoneError:
            self._write_started_at.pop(row.write_number, None)
            raise
        if result.committed:
            self._observe_row(
                table_module.Row(
                    key=self.row_key,
                    value=rows.encode(row),
                    version=result.versions[0],
                )
            )
        else:
            current = {found.key: found for found in result.current}
            self._observe_row(current.get(self.row_key))

    def _observe_row(self, found: table_module.Row | None) -> None:
        """Applies the row's current version."""
        version = found.version if found else table_module.ABSENT_VERSION
        if version == self._version:
            return
        before = self.last_token()
        self._version = version
        self._row = rows.decode(found.value) if found else None
        self._row_changed_at = self._clock.monotonic()
        self._extend_validity()
        self._drop_expired_writes()
        self._report_change(before)

    def _extend_validity(self) -> None:
        if not self._is_mine(self._row):
            self._valid_until = _ZERO
            return
        # The row names the write that it comes from, so that after a lost
        # answer the lease counts from the start of that write, not a later one.
        started = self._write_started_at.get(self._row.write_number)
        if started is not None:
            lasts = self._settings.duration - self._settings.margin
            self._valid_until = max(self._valid_until, started + lasts)

    def _drop_expired_writes(self) -> None:
        oldest = self._clock.monotonic() - self._settings.duration
        self._write_started_at = {
            number: started
            for number, started in self._write_started_at.items()
            if started > oldest
        }

    def _report_change(self, before: int | None) -> None:
        after = self.last_token()
        if before == after:
            return
        self._outranked_since = None
        kind = (
            events_module.EventKind.LEASE_LOST
            if after is None
            else events_module.EventKind.LEASE_ACQUIRED
        )
        self._events.record(kind, self._name, token=str(after or before))
        for listener in self._listeners:
            listener()

    def _is_mine(self, row: rows.LeaseRow | None) -> bool:
        return (
            row is not None
            and row.holder == self.incarnation
            and not row.released
        )

    def _own_row(self, *, token: int) -> rows.LeaseRow:
        self._write_number += 1
        return rows.LeaseRow(
            write_number=self._write_number,
            holder=self.incarnation,
            inner_address=self._inner_address,
            token=token,
            duration_ms=int(
                self._settings.duration / datetime.timedelta(milliseconds=1)
            ),
        )

    async def _pause(self) -> None:
        held = self.last_token() is not None
        period = (
            self._settings.renew_every if held else self._settings.poll_every
        )
        jitter = 1 + _JITTER_SHARE * (2 * self._random.random() - 1)
        try:
            await self._clock.wait_for(self._wake.wait(), period * jitter)
        except TimeoutError:
            return
        # Many callers may wake it at once; the pause limits the reads.
        self._wake.clear()
        await self._clock.sleep(self._settings.poll_every / 10)
