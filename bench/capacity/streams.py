"""Memory of an instance's request path by the number of open streams."""

import asyncio
import contextlib
import subprocess
import sys

import aiohttp
import psutil
import uvloop

from bench import _relay_process
from bench import report

STREAMS = (0, 20, 40, 80, 160, 320)
# Long enough for all streams of a size to be open at the same time.
TOKENS = 600
SETTLE_S = 2.0
_QUESTION = {
    "model": _relay_process.TEMPLATE,
    "stream": True,
    "max_tokens": TOKENS,
    "messages": [{"role": "user", "content": "Does the boiler hold? " * 20}],
}


def lines() -> list[report.Line]:
    """Measures with a source of tokens and the request path as processes."""
    with contextlib.ExitStack() as processes:
        _, source = start(processes, "source")
        process, path = start(processes, "path", source)
        return uvloop.run(_measure(psutil.Process(process.pid), path))


def start(
    processes: contextlib.ExitStack, *arguments: str
) -> tuple[subprocess.Popen, str]:
    """Starts a process of the relay benchmark; returns it and its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench._relay_process", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    processes.callback(_stop, process)
    return process, process.stdout.readline().strip()


def _stop(process: subprocess.Popen) -> None:
    process.terminate()
    process.wait()
    process.stdout.close()


async def _measure(process: psutil.Process, path: str) -> list[report.Line]:
    measured = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        # The first requests load and cache data that is not part of the slope.
        await _resident_bytes(session, process, path, streams=4)
        for streams in STREAMS:
            resident = await _resident_bytes(
                session, process, path, streams=streams
            )
            measured.append(
                report.Line(
                    name=f"footprint.stream_memory_bytes.{streams}",
                    value=resident,
                    unit="bytes resident",
                )
            )
    return measured


async def _resident_bytes(
    session: aiohttp.ClientSession,
    process: psutil.Process,
    path: str,
    *,
    streams: int,
) -> int:
    """Opens streams, waits for tokens on all, and reads the memory."""
    started = [asyncio.Event() for _ in range(streams)]
    tasks = [
        asyncio.create_task(_read(session, path, event)) for event in started
    ]
    await asyncio.gather(*(event.wait() for event in started))
    await asyncio.sleep(SETTLE_S)
    resident = process.memory_info().rss
    await asyncio.gather(*tasks)
    return resident


async def _read(
    session: aiohttp.ClientSession, path: str, started: asyncio.Event
) -> None:
    headers = {"Authorization": f"Bearer {_relay_process.TOKEN}"}
    url = f"http://{path}/v1/chat/completions"
    async with session.post(url, json=_QUESTION, headers=headers) as response:
        if response.status != 200:
            raise RuntimeError(f"a stream was refused: {response.status}")
        async for _ in response.content.iter_any():
            started.set()
