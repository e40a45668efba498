"""Cost of reading the instance list per node, in bytes and processor time.

Bytes are counted exactly, on loopback between the real adapter and the
stand-in of the platform's service: headers and bodies of both directions. The
average is computed from them for one read a second and the planned changes.
"""

import asyncio
import contextlib
import dataclasses
import statistics
import time

from bench import report
from bench.capacity import planned
from bench.capacity import samples
from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import directory as directory_module
from nutmeghook.internal.routing import load_tracker
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_instances
from nutmeghook.standins import memory_instances
from nutmeghook.standins import platform_apps
from nutmeghook.standins import serving

_HOST = "127.0.0.1"
# Engines, and entry instances before them.
_SIZES = ((12, 7), (440, 42), (4400, 420))
_BOUND_BYTES_PER_S = 300
_DAY_S = 86_400
# A failure removes a line and adds its successor; a replacement first marks the
# line as leaving. Each is counted as a separate change.
_CHANGES_PER_DAY = (
    2 * planned.FAILURES_PER_DAY + 3 * planned.REPLACEMENTS_PER_DAY
)
# An upper bound: counts all of them as entry instances, which read the whole
# list at their start.
_STARTS_PER_DAY = planned.FAILURES_PER_DAY + planned.REPLACEMENTS_PER_DAY
_ROUNDS = 15
_CHUNK_BYTES = 65_536


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _ReadBytes:
    """Bytes of one read of each kind."""

    whole: int
    not_modified: int
    changed: int

    def average_per_s(self, *, changed: int, nodes: int) -> float:
        """Returns the average bytes per second at one read a second.

        Args:
            changed: Bytes of a read after one line has changed.
            nodes: Number of nodes among which starts are spread.
        """
        changes_per_s = _CHANGES_PER_DAY / _DAY_S
        starts_per_s = _STARTS_PER_DAY / _DAY_S / nodes
        return (
            (1 - changes_per_s) * self.not_modified
            + changes_per_s * changed
            + starts_per_s * self.whole
        )


class _CountingRelay:
    """Relays connections to a server and counts their bytes."""

    def __init__(self, *, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._tasks: set[asyncio.Task[None]] = set()
        self.relayed_bytes = 0

    async def start(self) -> asyncio.Server:
        """Starts listening and returns the server."""
        return await asyncio.start_server(self._accept, _HOST, 0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            *self._target
        )
        await asyncio.gather(
            self._copy(reader, target_writer), self._copy(target_reader, writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(_CHUNK_BYTES):
                self.relayed_bytes += len(chunk)
                writer.write(chunk)
        writer.close()


def run() -> list[report.Line]:
    """Measures all sizes; takes some seconds."""
    lines = []
    for engines, entries in _SIZES:
        rows = _rows(engines, entries)
        lines += _byte_lines(asyncio.run(_measure(rows)), engines, entries)
        lines.append(_apply_line(rows, engines))
    return lines


def _rows(engines: int, entries: int) -> list[instances.ListedInstance]:
    return [
        *(samples.listed_engine(number) for number in range(engines)),
        *(_listed_entry(number) for number in range(entries)),
    ]


def _listed_entry(number: int) -> instances.ListedInstance:
    region, data_centre = samples.location(number)
    host = f"10.{number // 250}.{number % 250}.7"
    return instances.ListedInstance(
        address=f"{host}:8080",
        role=instances.InstanceRole.ENTRY,
        state=instances.InstanceState.LIVE,
        region=region,
        data_centre=data_centre,
        inner_address=f"{host}:8081",
    )


async def _measure(rows: list[instances.ListedInstance]) -> _ReadBytes:
    memory = memory_instances.MemoryInstances(
        clock=clock_module.SystemClock(), listed=tuple(rows)
    )
    server = serving.StandInServer(
        name="list",
        stand_in=platform_apps.InstancesStandIn(memory=memory),
        host=_HOST,
    )
    await server.start()
    relay = _CountingRelay(target=server.address)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(server.stop)
        listener = await stack.enter_async_context(await relay.start())
        session = await stack.enter_async_context(http_exchange.open_session())
        port = listener.sockets[0].getsockname()[1]
        adapter = http_instances.HttpInstances(
            exchange=http_exchange.HttpExchange(
                session=session, address=f"{_HOST}:{port}"
            )
        )

        async def read() -> int:
            before = relay.relayed_bytes
            listed = await adapter.list_instances()
            # The bytes of a wrong list would be meaningless.
            if sorted(listed, key=_address) != sorted(
                await memory.list_instances(), key=_address
            ):
                raise RuntimeError("the adapter's list is not the service's")
            return relay.relayed_bytes - before

        whole = await read()
        not_modified = await read()
        memory.mark_leaving(rows[0].address)
        changed = await read()
    return _ReadBytes(whole=whole, not_modified=not_modified, changed=changed)


def _address(row: instances.ListedInstance) -> str:
    return row.address


def _byte_lines(
    read: _ReadBytes, engines: int, entries: int
) -> list[report.Line]:
    return [
        _bytes_line(f"whole_read.{engines}", read.whole),
        _bytes_line(
            f"not_modified_read.{engines}",
            read.not_modified,
            bound=_BOUND_BYTES_PER_S,
        ),
        _bytes_line(f"changed_read.{engines}", read.changed),
        _rate_line(
            f"node_average.{engines}",
            read.average_per_s(changed=read.changed, nodes=entries),
            bound=_BOUND_BYTES_PER_S,
        ),
        # For a service that supports "not modified" but not deltas.
        _rate_line(
            f"node_average_without_changes.{engines}",
            read.average_per_s(changed=read.whole, nodes=entries),
        ),
    ]


def _bytes_line(
    name: str, value: int, *, bound: float | None = None
) -> report.Line:
    return report.Line(
        name=f"instance_list.{name}", value=value, unit="bytes", bound=bound
    )


def _rate_line(
    name: str, value: float, *, bound: float | None = None
) -> report.Line:
    return report.Line(
        name=f"instance_list.{name}",
        value=round(value, 1),
        unit="bytes/s",
        bound=bound,
    )


def _apply_line(
    rows: list[instances.ListedInstance], engines: int
) -> report.Line:
    """Measures how long routing takes to apply an unchanged list."""
    clock = clock_module.SystemClock()
    directory = directory_module.BackendDirectory(
        clock=clock,
        events=events_module.EventRing(clock=clock),
        tracker=load_tracker.LoadTracker(clock=clock),
    )
    directory.apply_list(rows)
    rounds_ms = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        directory.apply_list(rows)
        rounds_ms.append((time.process_time() - started) * 1000)
    return report.Line(
        name=f"instance_list.apply.{engines}",
        value=round(statistics.median(rounds_ms), 3),
        unit="ms of processor",
    )
