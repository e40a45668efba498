"""A router whose own paths to replicas can be cut, for trials.

Runs the real program with a dialer that obeys a file. Everything else of the
router, its callers, peers and store, stays connected.
"""

import asyncio
from collections.abc import Callable
import datetime
import enum
import os
import pathlib
import sys
from typing import TypeVar

from nutmeghook.internal.foundation import cheap_imports

with cheap_imports.cheap_imports():
    from nutmeghook.internal.assembly import router_process
    from nutmeghook.internal.foundation import event_loop
    from nutmeghook.internal.upstream import dialer as dialer_module
    from nutmeghook.platform import settings

_P = TypeVar("_P", bound=asyncio.BaseProtocol)

CUT_FILE_VARIABLE = "TRIAL_CUT_FILE"
_POLL_PERIOD = datetime.timedelta(milliseconds=20)


class PathCut(enum.Enum):
    """How a router is cut off from all replicas.

    Attributes:
        NONE: It is not.
        REFUSED: New connections are refused, and open ones live on.
        SILENT: New connections hang, and open ones carry nothing any more.
        RESET: Open connections are reset, and new ones hang.
    """

    NONE = "none"
    REFUSED = "refused"
    SILENT = "silent"
    RESET = "reset"


class CutDialer(dialer_module.TcpDialer):
    """Dials unless the cut file says that the paths are cut."""

    __slots__ = ("_cut", "_file", "_not_silent", "_opened")

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, cut_file: pathlib.Path
    ):
        super().__init__(loop=loop)
        self._file = cut_file
        self._cut = PathCut.NONE
        self._not_silent = asyncio.Event()
        self._not_silent.set()
        self._opened: list[asyncio.Transport] = []

    async def dial(
        self, address: str, factory: Callable[[], _P]
    ) -> tuple[asyncio.Transport, _P]:
        """Returns a connection, refuses it, or waits until the cut ends."""
        if self._cut is PathCut.REFUSED:
            raise ConnectionRefusedError("the path is cut")
        await self._not_silent.wait()
        transport, protocol = await super().dial(address, factory)
        self._opened = [t for t in self._opened if not t.is_closing()]
        self._opened.append(transport)
        return transport, protocol

    async def obey_forever(self) -> None:
        """Applies the file's changes until cancelled."""
        while True:
            await asyncio.sleep(_POLL_PERIOD.total_seconds())
            cut = PathCut(self._file.read_text().strip())
            if cut is not self._cut:
                self._cut = cut
                self._apply()

    def _apply(self) -> None:
        if self._cut in (PathCut.SILENT, PathCut.RESET):
            self._not_silent.clear()
        else:
            self._not_silent.set()
        for transport in self._opened:
            if transport.is_closing():
                continue
            if self._cut is PathCut.RESET:
                transport.abort()
            elif self._cut is PathCut.SILENT:
                transport.pause_reading()
            elif self._cut is PathCut.NONE:
                transport.resume_reading()


async def _serve() -> int:
    dialer = CutDialer(
        loop=asyncio.get_running_loop(),
        cut_file=pathlib.Path(os.environ[CUT_FILE_VARIABLE]),
    )
    obeying = asyncio.create_task(dialer.obey_forever())
    try:
        return await router_process.serve(
            lambda: settings.load_file(os.environ), dialer=dialer
        )
    finally:
        obeying.cancel()


if __name__ == "__main__":
    sys.exit(event_loop.run(_serve()))
