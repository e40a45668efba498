"""Memory that an instance needs for callers that stop reading.

All callers ask for streams of 64 MB and read nothing. A time limit far away and
a large bound keep them from being cut, so that all their buffers fill.
"""

import asyncio
import os
import pathlib
import sys

import uvloop

from bench import report
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.routes import model
from tests import relay_fixture

_CALLERS = 1000
# A read buffer, a write buffer with one event beyond it, and what the system
# booked for a socket, which the parser may hold back.
_MAX_BYTES_EACH = (32 + 16 + 4 + 64) * 1024


class _Relay(relay_fixture.RelayCase):
    """The relay alone, without replicas of its own."""

    replica_count = 0
    memory_mb = 4000.0


def run() -> list[report.Line]:
    """Measures all; takes some seconds."""
    return uvloop.run(_measure())


async def _measure() -> list[report.Line]:
    relay = _Relay(methodName="asyncSetUp")
    await relay.asyncSetUp()
    relay.configuration.offer(
        relay_fixture.configuration(
            relay_fixture.route(
                model.RouteKind.STREAM, time_limit=3600 * relay_fixture.SECOND
            ),
            version=2,
        ),
        source="bench",
    )
    peers = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench._slow_peers_process",
        str(_CALLERS),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    address = (await peers.stdout.readline()).decode().strip()
    relay.directory.put(
        entries.ReplicaEntry(
            replica_id="replica-0",
            service="service",
            address=address,
            data_centre="here",
            version="v1",
            slots=_CALLERS,
            leaving=False,
        )
    )
    before = _resident_bytes()
    peers.stdin.write(f"{relay.listener.address}\n".encode())
    await peers.stdout.readline()
    relay.held.sweep()
    resident = _resident_bytes() - before
    held = relay.held.total_bytes
    in_flight = relay.listener.in_flight
    peers.stdin.close()
    await peers.wait()
    await relay.asyncTearDown()
    return [
        report.Line(
            name="slow_callers.requests",
            value=in_flight,
            unit="requests",
            bound=_CALLERS,
            better=report.Better.HIGHER,
        ),
        report.Line(
            name="slow_callers.held_each",
            value=held / _CALLERS,
            unit="bytes",
            bound=_MAX_BYTES_EACH,
        ),
        report.Line(
            name="slow_callers.resident_each",
            value=resident / _CALLERS,
            unit="bytes",
        ),
    ]


def _resident_bytes() -> int:
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")
