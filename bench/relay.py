"""Cost of the request path per token, relative to a bare relay, and latency.

The source streams one token at a time at the planned rate of a node (4,286
tokens a second). The bare relay copies bytes from one aiohttp connection to
another; the request path checks, counts, re-encodes and bills. Their runs
alternate, so that other load on the machine affects both; the ratio is the
median over the pairs.
"""

import asyncio
import contextlib
import statistics
import subprocess
import sys
import time

import aiohttp
import msgspec
import numpy as np
import uvloop

from bench import _relay_process
from bench import report
from nutmeghook.internal.dependencies import engine

PAIRS = 7
STREAMS = 43
TOKENS_PER_STREAM = 200
FIRST_TOKENS = 400
MIN_SHARE = 0.7

_QUESTION = {
    "model": _relay_process.TEMPLATE,
    "stream": True,
    "messages": [{"role": "user", "content": "Does the boiler hold?"}],
}


def run() -> list[report.Line]:
    """Measures and returns the lines."""
    with contextlib.ExitStack() as processes:
        source = _start(processes, "source")
        bare = _start(processes, "bare", source)
        path = _start(processes, "path", source)
        return uvloop.run(_measure(source, bare, path))


def _start(processes: contextlib.ExitStack, *arguments: str) -> str:
    process = subprocess.Popen(
        [sys.executable, "-m", "bench._relay_process", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    processes.callback(_stop, process)
    return process.stdout.readline().strip()


def _stop(process: subprocess.Popen) -> None:
    process.terminate()
    process.wait()
    process.stdout.close()


async def _measure(source: str, bare: str, path: str) -> list[report.Line]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await _tokens_per_core_s(session, bare, _generate)
        await _tokens_per_core_s(session, path, _chat)
        pairs = [
            (
                await _tokens_per_core_s(session, bare, _generate),
                await _tokens_per_core_s(session, path, _chat),
            )
            for _ in range(PAIRS)
        ]
        added_ms = await _added_first_token_ms(session, source, path)
    share = statistics.median(
        path_rate / bare_rate for bare_rate, path_rate in pairs
    )
    return [
        report.Line(
            name="relay.tokens_per_core_vs_bare_relay",
            value=share,
            unit="ratio",
            bound=MIN_SHARE,
            better=report.Better.HIGHER,
        ),
        report.Line(
            name="relay.tokens_per_core_s",
            value=statistics.median(path_rate for _, path_rate in pairs),
            unit="tokens/s of processor time",
            better=report.Better.HIGHER,
        ),
        report.Line(
            name="relay.added_first_token_p95_ms", value=added_ms, unit="ms"
        ),
    ]


async def _tokens_per_core_s(session, address: str, send) -> float:
    """Returns tokens relayed per second of the process's processor time."""
    before_s = await _cpu_s(session, address)
    await asyncio.gather(
        *(send(session, address, TOKENS_PER_STREAM) for _ in range(STREAMS))
    )
    used_s = await _cpu_s(session, address) - before_s
    return STREAMS * TOKENS_PER_STREAM / used_s


async def _cpu_s(session, address: str) -> float:
    async with session.get(f"http://{address}/cpu") as response:
        return float(await response.text())


async def _added_first_token_ms(session, source: str, path: str) -> float:
    """Returns the 95th percentile through the path minus the direct one."""
    direct_ms = []
    through_ms = []
    for _ in range(FIRST_TOKENS):
        direct_ms.append(await _generate(session, source, 1))
        through_ms.append(await _chat(session, path, 1))
    return float(np.percentile(through_ms, 95) - np.percentile(direct_ms, 95))


async def _generate(session, address: str, tokens: int) -> float:
    body = msgspec.json.encode(
        engine.Generation(
            attempt_id="attempt",
            model_version=engine.ModelVersion(model="model", version="1"),
            messages=(engine.Message(role="user", content="Does it hold?"),),
            max_tokens=tokens,
        )
    )
    url = f"http://{address}{_relay_process.GENERATE}"
    return await _first_token_ms(session.post(url, data=body), tokens)


async def _chat(session, address: str, tokens: int) -> float:
    url = f"http://{address}/v1/chat/completions"
    headers = {"Authorization": f"Bearer {_relay_process.TOKEN}"}
    body = _QUESTION | {"max_tokens": tokens}
    return await _first_token_ms(
        session.post(url, json=body, headers=headers), tokens
    )


async def _first_token_ms(sending, tokens: int) -> float:
    """Reads a stream, verifies its tokens and returns the first one's time."""
    started_s = time.monotonic()
    first_s = 0.0
    received = 0
    token_bytes = _relay_process.TOKEN_TEXT.encode()
    async with sending as response:
        async for piece in response.content.iter_any():
            received += piece.count(token_bytes)
            if received and not first_s:
                first_s = time.monotonic()
    if received != tokens:
        raise RuntimeError(f"received {received} of {tokens} tokens")
    return (first_s - started_s) * 1000
