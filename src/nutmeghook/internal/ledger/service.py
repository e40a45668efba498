"""All partitions of one instance, and the handler of peers' requests."""

import asyncio
import contextlib
import datetime

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.ledger import partition as partition_module
from nutmeghook.internal.ledger import records

LEASE_PREFIX = "ledger/"
_ARCHIVE_INTERVAL = datetime.timedelta(seconds=5)


def lease_name(partition: int) -> str:
    """Returns the name of a partition's lease."""
    return f"{LEASE_PREFIX}{partition}"


class LedgerService:
    """Serves the partitions whose leases this instance holds."""

    __slots__ = ("_clock", "_writers")

    def __init__(
        self,
        *,
        writers: tuple[partition_module.PartitionWriter, ...],
        clock: clock_module.Clock,
    ):
        self._writers = writers
        self._clock = clock

    @property
    def writers(self) -> tuple[partition_module.PartitionWriter, ...]:
        """One writer for each partition, held or not."""
        return self._writers

    def held(self) -> int:
        """How many partitions this instance serves now."""
        return sum(writer.is_serving for writer in self._writers)

    def register(self, handlers: peers.PeerHandlers) -> None:
        """Registers the handler of requests from other instances."""
        handlers.register(ttypes.LedgerAppend, self.handle)

    async def handle(self, message: ttypes.LedgerAppend) -> peers.Message:
        """Decides the requests of one message."""
        requests = records.decode_requests(message.records)
        results = await self.append(message.partition, requests)
        return ttypes.LedgerResults(
            results=[records.encoder.encode(result) for result in results]
        )

    async def append(
        self, partition: int, requests: list[records.Request]
    ) -> list[records.Result]:
        """Decides requests of this instance or another."""
        if not 0 <= partition < len(self._writers):
            raise ValueError(
                f"partition is {partition}; this instance has "
                f"{len(self._writers)}: give all the same setting"
            )
        return await self._writers[partition].append(requests)

    async def run(self) -> None:
        """Serves until cancelled."""
        async with asyncio.TaskGroup() as group:
            for writer in self._writers:
                group.create_task(writer.run())
                group.create_task(writer.lease.run())
            group.create_task(self._archive_forever())

    async def drain(self, *, timeout: datetime.timedelta) -> None:
        """Answers queued requests, then releases all leases in parallel."""
        await asyncio.gather(
            *(self._stop(writer, timeout) for writer in self._writers)
        )

    async def _stop(
        self,
        writer: partition_module.PartitionWriter,
        timeout: datetime.timedelta,
    ) -> None:
        # If the store does not answer, the lease expires by itself.
        with contextlib.suppress(failures.PlatformError):
            await writer.stop(timeout=timeout)

    async def _archive_forever(self) -> None:
        while True:
            await self._clock.sleep(_ARCHIVE_INTERVAL)
            for writer in self._writers:
                await writer.archive_old_rows()
