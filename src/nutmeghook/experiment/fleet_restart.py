"""Loses all router processes at the same moment, and starts them together.

Measures when the fleet serves again and what a start costs. The routers may be
confined to a few cores, which they then share as instances on small machines
share theirs.
"""

import asyncio
import contextlib
import dataclasses
import datetime
import os
import pathlib
import statistics
import tempfile

import msgspec

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import restart_load
from nutmeghook.experiment import trial_routers
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import registration
from nutmeghook.standins import users_store

REPLICAS = 6
# Of steady load before the loss.
BEFORE_S = 4.0
# From the start on, calls are judged that were sent later than this and before
# the end; the users' largest bound for a recovery is 15 s.
RECOVERY_S = 15.0
_JUDGED_S = 5.0
# Of the calls then, at least so many are to be served.
LEAST_SERVED = 0.25
# From the store's return until the operator writes again what it had lost.
_WRITTEN_AGAIN_S = 1.0
_READY_EVENT = "process:ready"
_NANOSECONDS_PER_S = 1e9


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Loss:
    """What is lost, and what comes back when.

    Attributes:
        down_s: From the loss until the processes are started.
        store_away_s: The store is away from the loss until so long after the
            start; 0 if it is not lost.
        store_fault: How calls to it end meanwhile.
        is_store_older: The store comes back from a copy of the time before the
            last configuration, which the operator writes again a second later.
        are_replicas_lost: All replicas crash at the loss and are back at the
            start under new ids.
        second_loss_s: From the start until all routers are lost again; 0 for
            one loss. Times of the report then count from the second start.
    """

    down_s: float = 0.7
    store_away_s: float = 0.0
    store_fault: users_store.StoreFault = users_store.StoreFault.REFUSING
    is_store_older: bool = False
    are_replicas_lost: bool = False
    second_loss_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Start:
    """A common start of all routers.

    Attributes:
        at_s: In the event loop's time.
        time: The time of day.
        log_lines: How many lines each router had logged before.
    """

    at_s: float
    time: datetime.datetime
    log_lines: list[int]


class RestartReport(msgspec.Struct, frozen=True, kw_only=True):
    """A restart's outcome; times in seconds from the common start.

    Attributes:
        ready_s: When the first, the median and the last router was ready; fewer
            than `routers` may have been.
        processor_s: Median processor time of a router until it was ready.
        met_s: Condition of readiness to the longest time that a router waited
            for it after its listener had opened.
        store_calls_per_s: Calls to the store, by second of the start.
        processor_s_per_s: Processor time of all routers, by second of the
            start; the last ones are what a fleet that is back needs.
        half_served_s: The second from which on half of the calls were answered.
        most_served_s: The same for nine tenths.
        served_before: Share of the calls before the loss that were answered.
        served_after: The same of the calls sent after the time to recover.
        served_by_second: Answered calls and calls, by second of the start.
        violations: What broke a bound.
    """

    routers: int
    ready: int
    ready_s: list[float]
    processor_s: float
    met_s: dict[str, float]
    store_calls_per_s: list[int]
    processor_s_per_s: list[float]
    half_served_s: int
    most_served_s: int
    served_before: float
    served_after: float
    served_by_second: list[tuple[int, int]]
    violations: list[str]


class _ReadyLine(msgspec.Struct, frozen=True):
    """A line of a router's log."""

    message_type: str
    timestamp: float = 0.0
    cpu_ms: float = 0.0
    met_after_ms: dict[str, float] = {}


_LINE_DECODER = msgspec.json.Decoder(_ReadyLine)


async def run(
    *,
    folder: pathlib.Path,
    routers: int,
    cores: int = 0,
    ended_peers: int = 0,
    is_restored: bool = False,
    loss: Loss | None = None,
    load: restart_load.Load | None = None,
) -> RestartReport:
    """Runs one loss of all routers under load.

    Args:
        folder: For settings and logs.
        routers: Number of router processes.
        cores: Of this machine, that all routers share; 0 for all it has.
        ended_peers: Rows of instances that are gone for good.
        is_restored: The store was restored from an older copy before.
        loss: What is lost; only the routers if None.
        load: What callers ask for; a light load if None.
    """
    trial = platform_trial.PlatformTrial(
        folder=folder,
        seed=1,
        routers=routers,
        router_program=trial_routers.DEPLOYED_PROGRAM,
    )
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
        for number in range(len(trial.replicas), REPLICAS):
            await trial.add_replica(f"v1-{number}", "v1")
        return await _lose_all(
            trial,
            cores=cores,
            loss=loss or Loss(),
            load=load or restart_load.Load(),
        )
    finally:
        await trial.end()


async def _lose_all(
    trial: platform_trial.PlatformTrial,
    *,
    cores: int,
    loss: Loss,
    load: restart_load.Load,
) -> RestartReport:
    loop = asyncio.get_running_loop()
    first_call = len(trial.calls)
    total_s = BEFORE_S + loss.down_s + RECOVERY_S + _JUDGED_S
    if loss.second_loss_s:
        total_s += loss.second_loss_s + loss.down_s
    callers = asyncio.create_task(
        restart_load.run(trial, load, seconds=total_s)
    )
    older = trial.store.copy()
    await asyncio.sleep(BEFORE_S / 2)
    trial.operator.write_configuration(platform_trial.KEYS)
    await asyncio.sleep(BEFORE_S / 2)
    lost_s = loop.time()
    if loss.store_away_s:
        trial.store.fault = loss.store_fault
    start = await _restart_all(trial, cores=cores, loss=loss)
    if loss.second_loss_s:
        await asyncio.sleep(loss.second_loss_s)
        start = await _restart_all(trial, cores=cores, loss=loss)
    usage = _Usage(trial=trial)
    counting = asyncio.create_task(usage.count())
    if loss.store_away_s:
        await asyncio.sleep(loss.store_away_s)
        lost_rows = trial.store.restore(older) if loss.is_store_older else {}
        trial.store.fault = users_store.StoreFault.NONE
        await asyncio.sleep(_WRITTEN_AGAIN_S)
        trial.store.write_again(lost_rows)
    await callers
    counting.cancel()
    ready = [
        line
        for router, count in zip(trial.routers, start.log_lines, strict=True)
        for line in _ready_lines(router.log_lines()[count:])
    ]
    calls = trial.calls[first_call:]
    return _report(
        routers=len(trial.routers),
        ready_s=sorted(
            line.timestamp - start.time.timestamp() for line in ready
        ),
        ready=ready,
        usage=usage,
        before=[call for call in calls if call.ended_s < lost_s],
        after=[call for call in calls if call.sent_s >= start.at_s],
        started_s=start.at_s,
    )


async def _restart_all(
    trial: platform_trial.PlatformTrial, *, cores: int, loss: Loss
) -> _Start:
    await asyncio.gather(*(router.kill() for router in trial.routers))
    replica_count = len(trial.replicas)
    if loss.are_replicas_lost:
        for replica_id, replica in list(trial.replicas.items()):
            trial.mark_ended(replica_id)
            replica.crash()
            trial.operator.delist_replica(replica_id)
    await asyncio.sleep(loss.down_s)
    start = _Start(
        at_s=asyncio.get_running_loop().time(),
        time=clock_module.SystemClock().now(),
        log_lines=[len(router.log_lines()) for router in trial.routers],
    )
    await asyncio.gather(
        *(_start(router, cores=cores) for router in trial.routers)
    )
    for number in range(len(trial.replicas), replica_count):
        replica_id = f"v1-{number}-at-{start.at_s:.0f}"
        await trial.add_replica(replica_id, "v1")
    return start


class _Usage:
    """What the routers use, by second.

    Attributes:
        store_calls_per_s: Their calls to the store.
        processor_s_per_s: Their processor time.
    """

    __slots__ = ("_trial", "processor_s_per_s", "store_calls_per_s")

    def __init__(self, *, trial: platform_trial.PlatformTrial):
        self._trial = trial
        self.store_calls_per_s: list[int] = []
        self.processor_s_per_s: list[float] = []

    async def count(self) -> None:
        """Counts until cancelled."""
        calls = len(self._trial.store.calls)
        processor_s = self._processor_s()
        while True:
            await asyncio.sleep(1.0)
            calls_now = len(self._trial.store.calls)
            processor_s_now = self._processor_s()
            self.store_calls_per_s.append(calls_now - calls)
            self.processor_s_per_s.append(
                round(processor_s_now - processor_s, 2)
            )
            calls, processor_s = calls_now, processor_s_now

    def _processor_s(self) -> float:
        return sum(
            _thread_processor_s(router.process.pid)
            for router in self._trial.routers
        )


def _thread_processor_s(pid: int) -> float:
    """Returns the processor time of a process's first thread."""
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except FileNotFoundError:  # it has ended
        return 0.0
    return int(text.split()[0]) / _NANOSECONDS_PER_S


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
    ready: list[_ReadyLine],
    usage: _Usage,
    before: list[platform_checks.ObservedCall],
    after: list[platform_checks.ObservedCall],
    started_s: float,
) -> RestartReport:
    recovered = [c for c in after if c.sent_s >= started_s + RECOVERY_S]
    by_second: dict[int, tuple[int, int]] = {}
    for call in after:
        second = int(call.sent_s - started_s)
        answered, calls = by_second.get(second, (0, 0))
        by_second[second] = (
            answered + restart_load.is_answered(call),
            calls + 1,
        )
    served_after = _share(recovered)
    violations = []
    if served_after < LEAST_SERVED:
        violations.append(
            f"{served_after:.0%} of {len(recovered)} calls were answered later"
            f" than {RECOVERY_S:.0f} s after the start"
        )
    return RestartReport(
        routers=routers,
        ready=len(ready),
        ready_s=[
            round(ready_s[position], 2)
            for position in (0, len(ready_s) // 2, -1)
            if ready_s
        ],
        processor_s=round(
            statistics.median([line.cpu_ms / 1000 for line in ready] or [0.0]),
            2,
        ),
        met_s=_longest_waits(ready),
        store_calls_per_s=usage.store_calls_per_s,
        processor_s_per_s=usage.processor_s_per_s,
        half_served_s=_served_from(by_second, least_share=0.5),
        most_served_s=_served_from(by_second, least_share=0.9),
        served_before=round(_share(before), 3),
        served_after=round(served_after, 3),
        served_by_second=[by_second[second] for second in sorted(by_second)],
        violations=violations,
    )


def _served_from(
    by_second: dict[int, tuple[int, int]], *, least_share: float
) -> int:
    """Returns the second from which on such a share of the calls is answered.

    Args:
        by_second: Second to answered calls and calls.
        least_share: Of the calls of each second.
    """
    too_few = [
        second
        for second, (answered, calls) in by_second.items()
        if answered < least_share * calls
    ]
    return max(too_few, default=-1) + 1


def _longest_waits(ready: list[_ReadyLine]) -> dict[str, float]:
    longest: dict[str, float] = {}
    for line in ready:
        for condition, after_ms in line.met_after_ms.items():
            longest[condition] = max(
                longest.get(condition, 0.0), round(after_ms / 1000, 2)
            )
    return longest


def _share(calls: list[platform_checks.ObservedCall]) -> float:
    return sum(map(restart_load.is_answered, calls)) / max(1, len(calls))


def main(
    *,
    routers: int,
    cores: int,
    ended_peers: int,
    is_restored: bool,
    loss: Loss,
    load: restart_load.Load,
    keep: str,
) -> int:
    """Prints the report as JSON; returns 1 if a bound was broken."""
    with contextlib.ExitStack() as stack:
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
        else:
            keep = stack.enter_context(tempfile.TemporaryDirectory())
        report = asyncio.run(
            run(
                folder=pathlib.Path(keep),
                routers=routers,
                cores=cores,
                ended_peers=ended_peers,
                is_restored=is_restored,
                loss=loss,
                load=load,
            )
        )
    print(msgspec.json.encode(report).decode())
    return 1 if report.violations else 0
