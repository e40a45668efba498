"""Sends steady load to running instances and reports the outcome."""

import asyncio
import os
import random
import statistics
import sys

import aiohttp
import msgspec

from nutmeghook.experiment import balancer as balancer_module
from nutmeghook.experiment import caller as caller_module
from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import history as history_module
from nutmeghook.experiment import report
from nutmeghook.experiment import workload
from nutmeghook.internal.administration import command_runner
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.settings import loading

EXIT_USAGE = 2
MAX_CONCURRENT = 2000


async def perform_random_work(
    *,
    addresses: list[str],
    tokens: dict[str, str],
    works: int,
    run_name: str,
    seed: int = 2,
) -> list[history_module.Work]:
    """Performs random work of both example users concurrently."""
    clock = clock_module.SystemClock()
    record = history_module.History()
    async with aiohttp.ClientSession() as http:
        balancer = balancer_module.Balancer(
            http=http, clock=clock, randomness=random.Random(seed)
        )
        for address in addresses:
            balancer.add(address)
        caller = caller_module.Caller(
            http=http,
            balancer=balancer,
            clock=clock,
            tokens=tokens,
            record=record,
        )
        drawn = workload.Workload(
            randomness=random.Random(seed),
            run_name=run_name,
            agency_teams=example_fleet.AGENCY_TEAMS,
            airline_teams=example_fleet.AIRLINE_TEAMS,
        )
        await asyncio.gather(
            *(caller.perform(drawn.draw()) for _ in range(works))
        )
    return record.works


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The load and where to send it.

    Attributes:
        addresses: `ip:port` of instances or of a load balancer.
        rate_per_s: Requests started a second, independent of responses.
    """

    addresses: list[str]
    token: str
    template: str
    rate_per_s: float
    duration_s: float
    streamed: bool
    prompt_words: int
    max_tokens: int


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes for the callers; times are those of answered requests."""

    sent: int
    answered: int
    not_run: int
    unknown: int
    cut: int
    p50_answer_ms: float
    p95_first_token_ms: float


def checked(settings: LoadSettings) -> LoadSettings:
    """Returns the settings if all of them are valid.

    Raises:
        ExceptionGroup: A ValueError for each fault.
    """
    faults: list[ValueError] = []
    for address in settings.addresses:
        try:
            loading.check_address(address)
        except ValueError as error:
            faults.append(ValueError(f"addresses has {address!r}: {error}"))
    for name in ("rate_per_s", "duration_s", "max_tokens"):
        value = getattr(settings, name)
        if value <= 0:
            faults.append(ValueError(f"{name} is {value}; give more than 0"))
    if not settings.token:
        faults.append(
            ValueError(f"token is empty; set {command_runner.TOKEN_VARIABLE}")
        )
    if not settings.addresses:
        faults.append(ValueError("addresses is empty; give ip:port"))
    if faults:
        raise ExceptionGroup("load settings are wrong", faults)
    return settings


async def run(settings: LoadSettings) -> LoadReport:
    """Sends the load and returns its report."""
    clock = clock_module.SystemClock()
    record = history_module.History()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        balancer = balancer_module.Balancer(
            http=http, clock=clock, randomness=random.Random()
        )
        for address in settings.addresses:
            balancer.add(address)
        caller = caller_module.Caller(
            http=http,
            balancer=balancer,
            clock=clock,
            tokens={"": settings.token},
            record=record,
        )
        await _send(settings, caller)
    return _report(record.works)


async def _send(settings: LoadSettings, caller: caller_module.Caller) -> None:
    loop = asyncio.get_running_loop()
    count = int(settings.rate_per_s * settings.duration_s)
    start_s = loop.time()
    slots = asyncio.Semaphore(MAX_CONCURRENT)

    async def one(number: int) -> None:
        async with slots:
            await caller.perform(_assignment(settings, number))

    async with asyncio.TaskGroup() as tasks:
        for number in range(count):
            due_s = start_s + number / settings.rate_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            tasks.create_task(one(number))


def _assignment(settings: LoadSettings, number: int) -> workload.Assignment:
    return workload.Assignment(
        marker=f"load{number:07d}",
        kind=history_module.WorkKind.LOOKUP,
        team="",
        target=settings.template,
        session="",
        key="",
        streamed=settings.streamed,
        once=False,
        prompt_words=settings.prompt_words,
        max_tokens=settings.max_tokens,
    )


def _report(works: list[history_module.Work]) -> LoadReport:
    last = [work.last.outcome for work in works]
    durations = [
        answer.ended_ms - answer.started_ms
        for work in works
        for answer in work.answers
    ]
    unknown = (
        history_module.TryOutcome.UNKNOWN,
        history_module.TryOutcome.RAN,
    )
    return LoadReport(
        sent=len(works),
        answered=last.count(history_module.TryOutcome.ANSWERED),
        not_run=last.count(history_module.TryOutcome.NOT_RUN),
        unknown=sum(outcome in unknown for outcome in last),
        cut=last.count(history_module.TryOutcome.CUT),
        p50_answer_ms=statistics.median(durations) if durations else 0.0,
        p95_first_token_ms=report.first_token_p95_ms(works),
    )


def main(settings: LoadSettings) -> None:
    """Checks the settings, sends the load and prints one JSON line."""
    if not settings.token:
        token = os.environ.get(command_runner.TOKEN_VARIABLE, "")
        settings = msgspec.structs.replace(settings, token=token)
    try:
        checked(settings)
    except* ValueError as faults:
        for fault in faults.exceptions:
            print(f"wrong setting: {fault}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    result = asyncio.run(run(settings))
    print(msgspec.json.encode(result).decode())
    sys.exit(0 if result.answered == result.sent else 1)
