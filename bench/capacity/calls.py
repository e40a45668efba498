"""Processor time of one call over a socket."""

import contextlib
import datetime
import statistics
import time

import uvloop

from bench import config
from bench import report
from bench.capacity import streams
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.standin_http import http_exchange

ROUNDS = 9
CALLS = 200
_TIMEOUT = datetime.timedelta(seconds=5)


def lines() -> list[report.Line]:
    """Measures calls over HTTP and over the inner protocol."""
    with contextlib.ExitStack() as processes:
        _, source = streams.start(processes, "source")
        http_us = uvloop.run(_http(source))
    return [
        _line("http_call_us", http_us),
        _line("inner_call_both_sides_us", uvloop.run(_inner())),
    ]


def _line(name: str, rounds_us: list[float]) -> report.Line:
    return report.Line(
        name=f"footprint.{name}",
        value=round(statistics.median(rounds_us), 1),
        unit="us of processor",
    )


async def _http(address: str) -> list[float]:
    """Measures the caller's side of a short GET of a platform adapter."""
    async with http_exchange.open_session() as session:

        async def call() -> None:
            async with session.get(f"http://{address}/cpu") as response:
                await response.read()

        return await _rounds_us(call)


async def _inner() -> list[float]:
    """Measures both sides of a digest and its reply, together."""
    clock = clock_module.SystemClock()
    sides = [
        config.ConfigNode(clock=clock, number=number) for number in range(2)
    ]
    digest = ttypes.LoadDigest(
        addresses=[],
        address_hashes=list(range(700_000, 700_020)),
        in_flight=[number % 5 for number in range(20)],
        sender_address="10.0.0.7:8081",
    )

    async def receive(_: ttypes.LoadDigest) -> ttypes.Empty:
        return ttypes.Empty()

    sides[1].handlers.register(ttypes.LoadDigest, receive)
    address = await sides[1].server.start(host="127.0.0.1", port=0)

    async def call() -> None:
        await sides[0].caller.call(address, digest, timeout=_TIMEOUT)

    try:
        return await _rounds_us(call)
    finally:
        grace = datetime.timedelta(seconds=1)
        await sides[0].caller.close(grace=grace)
        await sides[1].server.close(grace=grace)


async def _rounds_us(call) -> list[float]:
    await call()
    rounds_us = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        for _ in range(CALLS):
            await call()
        rounds_us.append((time.process_time_ns() - started_ns) / 1000 / CALLS)
    return rounds_us
