"""Processor time, on this machine, and memory per record of the ledger."""

import asyncio
from collections.abc import Awaitable
import time
import tracemalloc

from bench.models import ledger_load
from bench.models import virtual_loop
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.ledger import index
from nutmeghook.internal.ledger import log
from nutmeghook.internal.ledger import records
from tests import ledger_cluster

_CPU_RECORDS = 6000
_MEMORY_ENTRIES = 20_000


def holder_cpu_us(*, records_per_message: int) -> float:
    """Returns the holder's processor time per record.

    Includes the thrift codec but not the socket.

    Args:
        records_per_message: 1 is the planned size's case, where a node has few
            records a second for any one partition.
    """
    elapsed_s: list[float] = []

    async def scenario(clock: virtual_loop.LoopClock) -> None:
        cluster = await ledger_load.start_cluster(clock, instances=1)
        [instance] = cluster.instances.values()
        messages = [
            _message(range(first, first + records_per_message))
            for first in range(0, _CPU_RECORDS, records_per_message)
        ]
        start = time.process_time()
        for first_message in range(0, len(messages), 50):
            await asyncio.gather(
                *(
                    _serve(instance, data)
                    for data in messages[first_message : first_message + 50]
                )
            )
        elapsed_s.append(time.process_time() - start)
        await cluster.stop()

    ledger_load.run_in_virtual_time(scenario)
    return round(elapsed_s[0] * 1e6 / _CPU_RECORDS, 1)


def replay_cpu_us() -> float:
    """Returns a take-over's processor time per record, at 50 records a row."""
    rows = [
        records.encoder.encode(
            records.Batch(
                token=1,
                sequence=number,
                written_ms=0,
                records=tuple(
                    records.finish_record(
                        ledger_cluster.bill(f"key-{number}-{position}"),
                        ledger_cluster.ANSWER,
                    )
                    for position in range(50)
                ),
            )
        )
        for number in range(_MEMORY_ENTRIES // 50)
    ]
    partition_index = _empty_index()
    start = time.process_time()
    for number, row in enumerate(rows):
        for record in records.decode_batch(row).records:
            partition_index.replay(record, row_key=str(number), written_ms=0)
    return round((time.process_time() - start) * 1e6 / len(partition_index), 1)


def _empty_index() -> index.PartitionIndex:
    return index.PartitionIndex(
        is_alive=lambda _: True,
        max_entries=_MEMORY_ENTRIES,
        window_ms=3_600_000,
        minted_window_ms=120_000,
    )


def _message(numbers: range) -> bytes:
    message = ttypes.LedgerAppend(
        partition=0,
        records=[
            records.encoder.encode(
                records.finish_record(
                    ledger_cluster.bill(f"key-{number}"), ledger_cluster.ANSWER
                )
            )
            for number in numbers
        ],
    )
    return codec.encode(message, sequence=1, wants_reply=True).data


def _serve(instance: ledger_cluster.Instance, data: bytes) -> Awaitable[object]:
    async def serve() -> None:
        message = codec.decode(data).message
        reply = await instance.ledger.service.handle(message)
        codec.encode(reply, sequence=1)

    return serve()


def memory_bytes_per_entry() -> float:
    """Returns the holder's memory per finished request with a key."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    partition_index = _empty_index()
    for number in range(_MEMORY_ENTRIES):
        record = records.finish_record(
            ledger_cluster.bill(f"key-{number:024d}"), None
        )
        partition_index.replay(
            record,
            row_key=f"{log.partition_prefix(0)}{number // 50:08d}",
            written_ms=number,
        )
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round((after - before) / len(partition_index))
