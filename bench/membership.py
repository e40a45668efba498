"""Membership: detection time, bytes and processor time per node, false deaths.

Runs in one process on virtual time, with the real codec and seals. Bytes are
sent plus received, with IP and UDP headers. Processor time includes the
network stand-in but not the kernel's part. Loss, freezes and the network
partition are run with 63 instances.
"""

import datetime
import random
import time

import numpy

from bench import _virtual_time
from bench import report
from nutmeghook.internal.membership import local_fleet
from nutmeghook.internal.membership import members as members_module

SIZES = (7, 21, 63, 126)
SEED = 20261202
SECOND = datetime.timedelta(seconds=1)
LINK_DELAY = datetime.timedelta(milliseconds=10)
LOST_PERCENT = 5
CRASHES = 3
STEADY_S = 60
CUT_S = 300
AGREEMENT_TIMEOUT_S = 300


class Trial:
    """A fleet of one size on its own virtual time."""

    def __init__(self, size: int):
        self.size = size
        self.clock = _virtual_time.LoopClock()
        self.fleet = local_fleet.LocalFleet(
            clock=self.clock, random=random.Random(SEED), delay=LINK_DELAY
        )
        self.deaths = 0
        self.suspicions = 0

    async def start(self) -> float:
        """Starts all at once; returns the time until they agree, in s."""
        self.fleet.list_all(self.size)
        for number in range(self.size):
            member = self.fleet.start(number)
            member.service.on_change(self._count)
        return await self.agreement_s()

    async def warm_up(self) -> None:
        """Waits until the updates of the start are no longer gossiped."""
        await self.clock.sleep((60 + 1.5 * self.size) * SECOND)

    async def agreement_s(self) -> float:
        """Returns the time until all agree on the running instances, in s."""
        start = self.clock.monotonic()
        while not self.fleet.agrees():
            if self.clock.monotonic() - start > AGREEMENT_TIMEOUT_S * SECOND:
                return float("inf")
            await self.clock.sleep(SECOND / 4)
        return (self.clock.monotonic() - start) / SECOND

    def total_bytes(self) -> int:
        """Returns the bytes that all have sent and received so far."""
        totals = [m.traffic.total() for m in self.fleet.running.values()]
        return sum(t.sent_bytes + t.received_bytes for t in totals)

    async def bytes_per_s(self, duration_s: int) -> float:
        """Returns the bytes per node and second, over a time."""
        before = self.total_bytes()
        await self.clock.sleep(duration_s * SECOND)
        return (self.total_bytes() - before) / duration_s / self.size

    def _count(self, member: members_module.Member) -> None:
        if member.health is members_module.MemberHealth.DEAD:
            self.deaths += 1
        if member.health is members_module.MemberHealth.SUSPECT:
            self.suspicions += 1


def run() -> list[report.Line]:
    """Measures everything; takes about three minutes."""
    lines = []
    for size in SIZES:
        lines += _virtual_time.run(_measure_size(size))
    bytes_per_s = _by_size(lines, "bytes_per_s")
    slope, _ = numpy.polyfit(SIZES, bytes_per_s, 1)
    lines += [
        _line("bytes_per_s", max(bytes_per_s), "B/s a node", bound=600),
        _line("bytes_per_s_slope", slope, "B/s for a node more", bound=0.5),
        _line("detect_s", max(_by_size(lines, "detect_s")), "s", bound=15),
        _line(
            "cpu_share",
            max(_by_size(lines, "cpu_share")),
            "of a core a node",
            bound=0.01,
        ),
    ]
    lines += _virtual_time.run(_measure_loss(63))
    return lines + _virtual_time.run(_measure_cut(63))


async def _measure_size(size: int) -> list[report.Line]:
    trial = Trial(size)
    join_s = await trial.start()
    await trial.warm_up()
    reads = trial.fleet.instance_list.reads
    processor_s = time.process_time()
    bytes_per_s = await trial.bytes_per_s(STEADY_S)
    processor_s = time.process_time() - processor_s
    reads = trial.fleet.instance_list.reads - reads
    detections_s = []
    for number in range(CRASHES):
        trial.fleet.crash(size // 2 + number)
        detections_s.append(await trial.agreement_s())
    trial.fleet.stop()
    return [
        _line("join_s", join_s, "s", size=size, bound=30),
        _line("bytes_per_s", bytes_per_s, "B/s a node", size=size),
        _line(
            "cpu_share",
            processor_s / STEADY_S / size,
            "of a core a node",
            size=size,
        ),
        _line("list_reads_per_s", reads / STEADY_S, "1/s", size=size, bound=5),
        _line("detect_s", max(detections_s), "s", size=size),
    ]


async def _measure_loss(size: int) -> list[report.Line]:
    """Drops datagrams while each instance in turn freezes for a second."""
    trial = Trial(size)
    await trial.start()
    await trial.warm_up()
    trial.fleet.datagrams.lost_percent = LOST_PERCENT
    trial.deaths = 0
    trial.suspicions = 0
    before = trial.total_bytes()
    start = trial.clock.monotonic()
    for address in list(trial.fleet.running):
        trial.fleet.network.freeze(address)
        await trial.clock.sleep(SECOND)
        trial.fleet.network.thaw(address)
        await trial.clock.sleep(SECOND * 2)
    took_s = (trial.clock.monotonic() - start) / SECOND
    bytes_per_s = (trial.total_bytes() - before) / took_s / size
    node_hours = took_s * size / 3600
    trial.fleet.stop()
    return [
        _line("false_deaths", trial.deaths, "deaths", bound=0),
        _line(
            "false_suspicions",
            trial.suspicions / node_hours,
            "a node and hour, all kept local",
        ),
        _line("bytes_per_s_lossy", bytes_per_s, "B/s a node", bound=1000),
    ]


async def _measure_cut(size: int) -> list[report.Line]:
    """Partitions a region off, heals it, and measures the recovery."""
    trial = Trial(size)
    await trial.start()
    await trial.warm_up()
    trial.fleet.cut_region("region-1", count=size)
    cut_bytes_per_s = await trial.bytes_per_s(60)
    await trial.clock.sleep(CUT_S * SECOND)
    trial.fleet.network.heal_all()
    before = trial.total_bytes()
    heal_s = await trial.agreement_s()
    heal_bytes_per_s = (trial.total_bytes() - before) / heal_s / size
    trial.fleet.stop()
    return [
        _line(
            "cut_bytes_per_s",
            cut_bytes_per_s,
            "B/s a node in the first minute",
            bound=3000,
        ),
        _line("heal_s", heal_s, "s", bound=90),
        _line(
            "heal_bytes_per_s",
            heal_bytes_per_s,
            "B/s a node until healed",
            bound=3000,
        ),
    ]


def _line(
    name: str,
    value: float,
    unit: str,
    *,
    size: int | None = None,
    bound: float | None = None,
) -> report.Line:
    suffix = "" if size is None else f".{size}"
    return report.Line(
        name=f"membership.{name}{suffix}",
        value=round(float(value), 5),
        unit=unit,
        bound=bound,
    )


def _by_size(lines: list[report.Line], name: str) -> list[float]:
    prefix = f"membership.{name}."
    return [line.value for line in lines if line.name.startswith(prefix)]
