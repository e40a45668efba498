"""Instances with a ledger, under a steady load or losing one instance.

Everything runs in one process on virtual time, with a table service that
answers after 5 ms.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import datetime

from bench.models import virtual_loop
from tests import ledger_cluster

_PARTITIONS = 16
_WARM_UP_S = 1
_TICKS_PER_S = 200
_STORE_DELAY = datetime.timedelta(milliseconds=5)
_REQUEST_TIMEOUT = datetime.timedelta(seconds=10)
_MAX_TAKE_OVER_CHECKS = 2000


class Load:
    """Requests at a steady rate over all instances, and their durations."""

    def __init__(self, *, cluster: ledger_cluster.Cluster, per_s: int):
        self._cluster = cluster
        self._per_s = per_s
        self.finish_s: list[float] = []
        self.claim_s: list[float] = []
        self.refused = 0

    async def run(self, *, seconds: int, name: str) -> None:
        """Starts requests for `seconds` and waits for all of them."""
        instances = list(self._cluster.instances.values())
        tasks = []
        started = 0
        for tick in range(seconds * _TICKS_PER_S):
            due = (tick + 1) * self._per_s // _TICKS_PER_S
            while started < due:
                instance = instances[started % len(instances)]
                key = f"{name}-{started}"
                tasks.append(
                    asyncio.ensure_future(self._send_request(instance, key))
                )
                started += 1
            await asyncio.sleep(1 / _TICKS_PER_S)
        await asyncio.gather(*tasks)

    async def _send_request(
        self, instance: ledger_cluster.Instance, key: str
    ) -> None:
        clock = self._cluster.clock
        start = clock.monotonic()
        await instance.client.claim(
            ledger_cluster.identity(key),
            request_id=key,
            timeout=_REQUEST_TIMEOUT,
        )
        claimed = clock.monotonic()
        await instance.client.finish(
            bill=ledger_cluster.bill(key, request_id=key),
            answer=ledger_cluster.ANSWER,
            timeout=_REQUEST_TIMEOUT,
        )
        finished = clock.monotonic()
        self.claim_s.append((claimed - start).total_seconds())
        self.finish_s.append((finished - claimed).total_seconds())


class SteadyRun:
    """Measurements of one run at a steady rate."""

    __slots__ = ("load", "requests", "seconds", "writes")

    def __init__(
        self, *, load: Load, requests: int, writes: int, seconds: float
    ):
        self.load = load
        self.requests = requests
        self.writes = writes
        self.seconds = seconds


def run_in_virtual_time(
    scenario: Callable[[virtual_loop.LoopClock], Coroutine[object, None, None]],
) -> None:
    """Runs a scenario to its end on a new virtual time loop."""
    loop = virtual_loop.VirtualLoop()
    asyncio.set_event_loop(loop)
    virtual_loop.run(loop, scenario(virtual_loop.LoopClock(loop=loop)))


async def start_cluster(
    clock: virtual_loop.LoopClock,
    *,
    instances: int,
    partitions: int = _PARTITIONS,
) -> ledger_cluster.Cluster:
    """Starts instances with a slow table, and waits for their leases."""
    cluster = ledger_cluster.Cluster(
        partitions=partitions, clock=clock, max_entries=1_000_000
    )
    for number in range(instances):
        cluster.start(f"i{number}")
    cluster.table.faults.delay = _STORE_DELAY
    # At first, partitions are still handed over to their preferred holders.
    await asyncio.sleep(20)
    return cluster


def measure_steady_rate(
    *,
    per_s: int,
    instances: int,
    seconds: int,
    partitions: int = _PARTITIONS,
) -> SteadyRun:
    """Measures a steady rate after a warm-up at the same rate."""
    measured: list[SteadyRun] = []

    async def scenario(clock: virtual_loop.LoopClock) -> None:
        cluster = await start_cluster(
            clock, instances=instances, partitions=partitions
        )
        warm_up = Load(cluster=cluster, per_s=per_s)
        await warm_up.run(seconds=_WARM_UP_S, name="warm")
        load = Load(cluster=cluster, per_s=per_s)
        writes = cluster.table.writes
        start = clock.monotonic()
        await load.run(seconds=seconds, name="measured")
        measured.append(
            SteadyRun(
                load=load,
                requests=per_s * seconds,
                writes=cluster.table.writes - writes,
                seconds=(clock.monotonic() - start).total_seconds(),
            )
        )
        await cluster.stop()

    run_in_virtual_time(scenario)
    return measured[0]


def take_over_s(*, instances: int, noticed: bool) -> float:
    """Returns how long an idle partition has no holder after a crash."""
    take_over_times_s: list[float] = []

    async def scenario(clock: virtual_loop.LoopClock) -> None:
        cluster = await start_cluster(clock, instances=instances)
        holder = cluster.holder(0)
        cluster.kill(holder.address.partition(":")[0], noticed=noticed)
        start = clock.monotonic()
        for _ in range(_MAX_TAKE_OVER_CHECKS):
            if cluster.holder(0) is not None:
                break
            await asyncio.sleep(0.01)
        take_over_times_s.append((clock.monotonic() - start).total_seconds())
        await cluster.stop()

    run_in_virtual_time(scenario)
    return round(take_over_times_s[0], 2)
