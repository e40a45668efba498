"""Loses all router processes at the same moment, and starts them together.

Measures when the fleet serves again and what a start costs. The routers may be
confined to a few cores, which they then share as instances on small machines
share theirs.
"""

import asyncio
import os
import pathlib
import statistics
import tempfile

import msgspec

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import trial_routers
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import registration

REPLICAS = 6
RATE_PER_S = 40.0
# Of steady load before the loss.
BEFORE_S = 4.0
# From the start on, calls are judged that were sent later than this and before
# the end; the users' largest bound for a recovery is 15 s.
RECOVERY_S = 15.0
_JUDGED_S = 5.0
# Of the calls then, at least so many are to be served.
LEAST_SERVED = 0.25
_READY_EVENT = "process:ready"


class RestartReport(msgspec.Struct, frozen=True, kw_only=True):
    """A restart's outcome; times in seconds from the common start.

    Attributes:
        ready_s: When the first, the median and the last router was ready; fewer
            than `routers` may have been.
        processor_s: Median processor time of a router until it was ready.
        served_before: Share of the calls before the loss that were answered.
        served_after: The same of the calls sent after the time to recover.
        served_by_second: Answered calls and calls, by second of the start.
        violations: What broke a bound.
    """

    routers: int
    ready: int
    ready_s: list[float]
    processor_s: float
    served_before: float
    served_after: float
    served_by_second: list[tuple[int, int]]
    violations: list[str]


class _ReadyLine(msgspec.Struct, frozen=True):
    """A line of a router's log."""

    message_type: str
    timestamp: float = 0.0
    cpu_ms: float = 0.0


_LINE_DECODER = msgspec.json.Decoder(_ReadyLine)


async def run(
    *,
    folder: pathlib.Path,
    routers: int,
    cores: int = 0,
    down_s: float = 0.7,
    ended_peers: int = 0,
    is_restored: bool = False,
) -> RestartReport:
    """Runs one loss of all routers under load.

    Args:
        folder: For settings and logs.
        routers: Number of router processes.
        cores: Of this machine, that all routers share; 0 for all it has.
        down_s: From the loss until the processes are started.
        ended_peers: Rows of instances that are gone for good.
        is_restored: The store was restored from an older copy before.
    """
    trial = platform_trial.PlatformTrial(folder=folder, seed=1, routers=routers)
    for number in range(ended_peers):
        trial.store.put(
            registration.TABLE,
            f"at/ended-{number}",
            b'{"inner_address":"127.0.0.1:%d"}' % (1 + number),
        )
    if is_restored:
        trial.store.restore(trial.store.copy())
    try:
        await trial.start()
        for number in range(3, REPLICAS):
            await trial.add_replica(f"v1-{number}", "v1")
        return await _lose_all(trial, cores=cores, down_s=down_s)
    finally:
        await trial.end()


async def _lose_all(
    trial: platform_trial.PlatformTrial, *, cores: int, down_s: float
) -> RestartReport:
    loop = asyncio.get_running_loop()
    first_call = len(trial.calls)
    total_s = BEFORE_S + down_s + RECOVERY_S + _JUDGED_S
    load = asyncio.create_task(
        trial.load(seconds=total_s, rate_per_s=RATE_PER_S)
    )
    await asyncio.sleep(BEFORE_S)
    lost_s = loop.time()
    await asyncio.gather(*(router.kill() for router in trial.routers))
    await asyncio.sleep(down_s)
    started_s = loop.time()
    lines_before = [len(router.log_lines()) for router in trial.routers]
    started_at = clock_module.SystemClock().now()
    await asyncio.gather(
        *(_start(router, cores=cores) for router in trial.routers)
    )
    await load
    ready = [
        line
        for router, count in zip(trial.routers, lines_before, strict=True)
        for line in _ready_lines(router.log_lines()[count:])
    ]
    calls = trial.calls[first_call:]
    return _report(
        routers=len(trial.routers),
        ready_s=sorted(
            line.timestamp - started_at.timestamp() for line in ready
        ),
        processor_s=[line.cpu_ms / 1000 for line in ready],
        before=[call for call in calls if call.ended_s < lost_s],
        after=[call for call in calls if call.sent_s >= started_s],
        started_s=started_s,
    )


async def _start(router: trial_routers.RouterProcess, *, cores: int) -> None:
    await router.start()
    if cores:
        allowed = sorted(os.sched_getaffinity(0))[:cores]
        os.sched_setaffinity(router.process.pid, allowed)


def _ready_lines(lines: list[bytes]) -> list[_ReadyLine]:
    decoded = [
        _LINE_DECODER.decode(line) for line in lines if line.startswith(b"{")
    ]
    return [line for line in decoded if line.message_type == _READY_EVENT]


def _report(
    *,
    routers: int,
    ready_s: list[float],
    processor_s: list[float],
    before: list[platform_checks.ObservedCall],
    after: list[platform_checks.ObservedCall],
    started_s: float,
) -> RestartReport:
    recovered = [c for c in after if c.sent_s >= started_s + RECOVERY_S]
    by_second: dict[int, tuple[int, int]] = {}
    for call in after:
        second = int(call.sent_s - started_s)
        answered, calls = by_second.get(second, (0, 0))
        by_second[second] = (answered + _is_answered(call), calls + 1)
    served_after = _share(recovered)
    violations = []
    if served_after < LEAST_SERVED:
        violations.append(
            f"{served_after:.0%} of {len(recovered)} calls were answered later"
            f" than {RECOVERY_S:.0f} s after the start"
        )
    return RestartReport(
        routers=routers,
        ready=len(ready_s),
        ready_s=[
            round(ready_s[position], 2)
            for position in (0, len(ready_s) // 2, -1)
            if ready_s
        ],
        processor_s=round(statistics.median(processor_s or [0.0]), 2),
        served_before=round(_share(before), 3),
        served_after=round(served_after, 3),
        served_by_second=[by_second[second] for second in sorted(by_second)],
        violations=violations,
    )


def _is_answered(call: platform_checks.ObservedCall) -> bool:
    return call.status == 200 and call.complete


def _share(calls: list[platform_checks.ObservedCall]) -> float:
    return sum(map(_is_answered, calls)) / max(1, len(calls))


def main(
    *, routers: int, cores: int, ended_peers: int, is_restored: bool
) -> int:
    """Prints the report as JSON; returns 1 if a bound was broken."""
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(
            run(
                folder=pathlib.Path(folder),
                routers=routers,
                cores=cores,
                ended_peers=ended_peers,
                is_restored=is_restored,
            )
        )
    print(msgspec.json.encode(report).decode())
    return 1 if report.violations else 0
