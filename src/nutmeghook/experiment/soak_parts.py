"""Requests that share a crashing prompt part, in some seeds of a soak."""

import asyncio
from collections.abc import Iterator
import dataclasses
import random

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_trial
from nutmeghook.experiment import trial_routers

_PART_OF_SEEDS = 0.5
_RATES_PER_S = (0.7, 4.0, 12.0)
_UNTIL_FIRST_S = (0.5, 4.0)
# Sound requests have this part, too.
_COMMON_PART = "feed"
_REFUSED_STATUS = 503
# To each router, after all other faults.
_LAST_REQUESTS = 2
_LISTED_WITHIN_S = 0.3
_BODY = b"prompt with a crashing part "
# The users' bound: once so many replicas have crashed under requests with a
# part, so many more are sent.
_IDENTIFYING_CRASHES = 5
_MAX_LATE_SENDS = 3


def is_drawn(draw: random.Random) -> bool:
    """Returns whether a seed has requests with a crashing part."""
    return draw.random() < _PART_OF_SEEDS


async def play(
    trial: soak_trial.SoakTrial, draw: random.Random, *, seconds: float
) -> None:
    """Sends requests, all different, that share the part."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    await asyncio.sleep(draw.uniform(*_UNTIL_FIRST_S))
    rate_per_s = draw.choice(_RATES_PER_S)
    async with asyncio.TaskGroup() as tasks:
        while loop.time() < end_s:
            body = _BODY + str(draw.random()).encode()
            router = draw.choice(trial.routers)
            tasks.create_task(_send(trial, router, body))
            tasks.create_task(trial.call("stream", parts=(_COMMON_PART,)))
            await asyncio.sleep(draw.expovariate(rate_per_s))


async def send_last(trial: soak_trial.SoakTrial) -> None:
    """Sends further requests with the part to each router, in such a seed.

    All other faults have ended, so the bound applies to every router. Between
    two requests a crashed replica has time to be replaced.
    """
    if not any(call.sent_body.startswith(_BODY) for call in trial.calls):
        return
    for number, router in enumerate(trial.routers * _LAST_REQUESTS):
        await _send(trial, router, _BODY + b"last %d" % number)
        await asyncio.sleep(platform_trial.RESTART_S + _LISTED_WITHIN_S)


async def _send(
    trial: soak_trial.SoakTrial,
    router: trial_routers.RouterProcess,
    body: bytes,
) -> None:
    """Sends a request with the part; a fault unless it was refused."""
    call = await trial.call(
        "stream",
        router=router,
        body=body,
        parts=(_COMMON_PART, platform_checks.CRASHING_PART),
    )
    if call.status != _REFUSED_STATUS:
        trial.injected_faults.append(
            soak_checks.InjectedFault(
                kind=soak_checks.CRASHING_REQUEST,
                router=soak_checks.ALL_ROUTERS,
                from_s=call.sent_s,
                to_s=call.ended_s,
            )
        )


def violations(history: soak_checks.History) -> Iterator[str]:
    """Yields a violation if too many requests with the part were sent."""
    crashes = [c for c in history.crashes if c.body.startswith(_BODY)]
    if len(crashes) < _IDENTIFYING_CRASHES:
        return
    last_s = crashes[_IDENTIFYING_CRASHES - 1].at_s
    bound_s = last_s + soak_checks.UNDISTURBED_S
    sent = {call.request_id: call for call in history.calls}
    others = [
        fault
        for fault in history.injected_faults
        if fault.kind != soak_checks.CRASHING_REQUEST
    ]
    alone = dataclasses.replace(history, injected_faults=others)
    late = sum(
        request.body.startswith(_BODY)
        and request.arrived_s > bound_s
        and request.request_id in sent
        and alone.is_undisturbed(
            sent[request.request_id].router,
            request.arrived_s,
            request.arrived_s,
        )
        for requests in history.received.values()
        for request in requests
    )
    if late > _MAX_LATE_SENDS:
        yield f"{late} requests with a crashing part were sent late"
