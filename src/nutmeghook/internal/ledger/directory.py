"""This instance's view of which instance holds each partition."""

import datetime

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import preference
from nutmeghook.internal.leases import rows
from nutmeghook.internal.ledger import records
from nutmeghook.internal.ledger import service as service_module
from nutmeghook.internal.membership import members as members_module

_MIN_READ_INTERVAL = datetime.timedelta(milliseconds=500)


class HolderDirectory:
    """Finds holders by redirect, lease preference order or the lease's row."""

    __slots__ = (
        "_clock",
        "_holders",
        "_members",
        "_misses",
        "_partitions",
        "_read_at",
        "_table",
    )

    def __init__(
        self,
        *,
        members: members_module.MemberView,
        table: table_module.TableService,
        clock: clock_module.Clock,
        partitions: int,
    ):
        self._members = members
        self._table = table
        self._clock = clock
        self._partitions = partitions
        self._holders: dict[int, str] = {}
        self._read_at: dict[int, datetime.timedelta] = {}
        self._misses: dict[int, int] = {}

    def holder(self, partition: int) -> str:
        """Returns the inner address to try; empty if there is no member."""
        known = self._holders.get(partition)
        if known is not None:
            return known
        order = preference.candidates(
            service_module.lease_name(partition), self._members
        )
        if not order:
            return ""
        # Each miss moves to the next candidate: the preferred one may be
        # unreachable from here while another holds the lease.
        return order[self._misses.get(partition, 0) % len(order)].inner_address

    def record_holder(self, partition: int, inner_address: str) -> None:
        """Records that an instance answered as the holder."""
        self._holders[partition] = inner_address
        self._misses.pop(partition, None)

    async def record_miss(
        self, partition: int, inner_address: str, hint: str
    ) -> None:
        """Records that an instance is not the holder, or is unreachable.

        Args:
            partition: The partition that was asked for.
            inner_address: The instance that was asked.
            hint: The holder that it named; empty if it knows none.
        """
        if self._holders.get(partition) == inner_address:
            del self._holders[partition]
        self._misses[partition] = self._misses.get(partition, 0) + 1
        if hint and hint != inner_address:
            self._holders[partition] = hint
            return
        row = await self._read_row(partition)
        if row is not None and row.inner_address != inner_address:
            self._holders[partition] = row.inner_address

    def local_partition(self, key: str) -> int:
        """Returns a partition for a key that no other instance will use.

        Prefers partitions whose holder is known to be in this data centre.
        """
        here = self._members.myself.data_centre
        local_addresses = {
            member.inner_address
            for member in self._members.members()
            if member.data_centre == here
        }
        local_partitions = [
            partition
            for partition, address in sorted(self._holders.items())
            if address in local_addresses
        ]
        if not local_partitions:
            return records.partition_of(key, self._partitions)
        return local_partitions[
            records.partition_of(key, len(local_partitions))
        ]

    async def _read_row(self, partition: int) -> rows.LeaseRow | None:
        now = self._clock.monotonic()
        last = self._read_at.get(partition)
        if last is not None and now - last < _MIN_READ_INTERVAL:
            return None
        self._read_at[partition] = now
        key = rows.row_key(service_module.lease_name(partition))
        try:
            row = await self._table.read(key)
        except failures.PlatformError:
            return None
        if row is None:
            return None
        found = rows.decode(row.value)
        return None if found.released else found
