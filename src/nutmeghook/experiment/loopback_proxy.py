"""A TCP proxy on loopback that injects faults into its connections."""

import asyncio
import enum
import socket
import struct

from nutmeghook.standins import loopback_host

_READ_BYTES = 64 * 1024
# Has the system reset a connection as it is closed.
_NO_LINGER = struct.pack("ii", 1, 0)


class LinkFault(enum.Enum):
    """The fault of all connections through a proxy.

    A silent direction delays its bytes until the fault ends, as a network
    partition does. New connections are still accepted.
    """

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    SILENT_TO_TARGET = "silent to target"
    SILENT_FROM_TARGET = "silent from target"
    REFUSING = "refusing"


_BLOCKS_TO_TARGET = (LinkFault.SILENT, LinkFault.SILENT_TO_TARGET)
_BLOCKS_FROM_TARGET = (LinkFault.SILENT, LinkFault.SILENT_FROM_TARGET)


class LoopbackProxy:
    """Forwards to one address.

    Attributes:
        address: Where it listens.
        delay_s: Of each read while the fault is `DELAYED`.
    """

    __slots__ = (
        "_changed",
        "_fault",
        "_server",
        "_target",
        "_tasks",
        "_writers",
        "address",
        "delay_s",
    )

    def __init__(self, *, target: str):
        self._target = target
        self._fault = LinkFault.NONE
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.delay_s = 0.0

    async def start(self) -> None:
        """Listens on a port that the system chooses."""
        self._server = await asyncio.start_server(
            self._serve, loopback_host.own_host(), 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops listening, as on a process exit.

        What the process had sent still arrives, then the end of its
        connections.
        """
        self._server.close()

    async def stop(self) -> None:
        """Stops listening and ends all connections and their tasks."""
        self.close()
        self.reset_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: LinkFault, *, delay_s: float = 0.0) -> None:
        """Sets the fault of all connections, open ones too."""
        self._fault = fault
        self.delay_s = delay_s
        self._changed.set()
        self._changed = asyncio.Event()

    def reset_all(self) -> None:
        """Resets all open connections."""
        for writer in self._writers:
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        upstream = None
        end_connection = _abort
        try:
            if self._fault is LinkFault.REFUSING:
                return
            host, _, port = self._target.rpartition(":")
            upstream_reader, upstream = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(upstream)
            async with asyncio.TaskGroup() as pumps:
                pumps.create_task(
                    self._pump(reader, upstream, _BLOCKS_TO_TARGET)
                )
                pumps.create_task(
                    self._pump(upstream_reader, writer, _BLOCKS_FROM_TARGET)
                )
        except* (OSError, asyncio.IncompleteReadError):
            # One side was reset, so the other one is reset below.
            end_connection = _reset
        finally:
            for end in (writer, upstream):
                if end is not None:
                    end_connection(end)
                    self._writers.discard(end)
            self._tasks.discard(task)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_faults: tuple[LinkFault, ...],
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self._fault is LinkFault.DELAYED:
                await asyncio.sleep(self.delay_s)
            while self._fault in blocking_faults:
                await self._changed.wait()
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def _abort(writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; an abort alone may close it like a clean end."""
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
