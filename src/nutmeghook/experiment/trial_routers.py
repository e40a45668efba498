"""Router processes: their settings, ports, signals and paths."""

import asyncio
import os
import pathlib
import signal
import socket
import sys

from nutmeghook.experiment import cut_paths
from nutmeghook.platform import settings
from nutmeghook.standins import loopback_host

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent
_SETTINGS = """
nodeName = "{name}"
ip = "{host}"
zone = "hall"
region = "centre"
internalPorts = [{inner}, {last_inner}]
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[bounds]
graceS = 8
{bounds}
[platform]
address = "{store}"
"""
_BOUNDS = """exposureShare = 0.15
coldOverrun = 1.5
coldAllowance = 5"""

# Obeys `RouterProcess.cut`.
CUTTABLE_PROGRAM = ("-m", cut_paths.__name__)
# What is deployed.
DEPLOYED_PROGRAM = (str(ROOT / "deploy" / "serve.py"),)

# Below the ephemeral ports of outgoing connections. In steps of two, since a
# router uses the next port as well.
_PORTS = iter(range(12_000, 32_000, 2))


class RouterProcess:
    """One router.

    Args:
        name: Its instance id.
        folder: For its settings and log.
        store: The store's address.
        program: What Python runs.

    Attributes:
        address: Where callers connect.
        ready_address: Where a balancer asks whether to send callers.
        starts: How often it was started.
        unexpected_exits: Statuses of starts that exited by themselves.
    """

    __slots__ = (
        "_cut_file",
        "_file",
        "_log",
        "_program",
        "address",
        "name",
        "process",
        "ready_address",
        "starts",
        "unexpected_exits",
    )

    def __init__(
        self,
        *,
        name: str,
        folder: pathlib.Path,
        store: str,
        program: tuple[str, ...] = CUTTABLE_PROGRAM,
    ):
        self.name = name
        self._program = program
        front_port = free_port()
        self.address = f"{loopback_host.own_host()}:{front_port}"
        ready_port = free_port()
        self.ready_address = f"{loopback_host.own_host()}:{ready_port}"
        self._file = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._cut_file = folder / f"{name}.cut"
        self.cut(cut_paths.PathCut.NONE)
        self._file.write_text(
            settings_text(
                name=name,
                front_port=front_port,
                ready_port=ready_port,
                store=store,
                bounds=_BOUNDS,
            )
        )
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.unexpected_exits: list[int] = []

    async def start(self) -> None:
        """Starts the process."""
        self.starts += 1
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._program,
                env=os.environ
                | {
                    cut_paths.CUT_FILE_VARIABLE: str(self._cut_file),
                    settings.FILE_VARIABLE: str(self._file),
                    settings.METRICS_PORT_VARIABLE: "0",
                },
                stdout=log,
                stderr=log,
            )

    def cut(self, cut: cut_paths.PathCut) -> None:
        """Cuts its paths to all replicas, or joins them again."""
        # The router never reads a half-written file.
        fresh = self._cut_file.with_suffix(".new")
        fresh.write_text(cut.value)
        fresh.rename(self._cut_file)

    def log_lines(self) -> list[bytes]:
        """Returns the log lines of all its starts."""
        return self._log.read_bytes().splitlines()

    def pause(self) -> None:
        """Sends SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Sends SIGCONT."""
        self._signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self._signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self) -> int:
        """Stops the process gracefully; returns its status."""
        self._signal(signal.SIGTERM)
        return await self.process.wait()

    def _signal(self, number: signal.Signals) -> None:
        """Sends a signal, or records that the process has already exited."""
        status = self.process.returncode
        if status is None:
            self.process.send_signal(number)
        elif len(self.unexpected_exits) < self.starts:
            self.unexpected_exits.append(status)


def free_port() -> int:
    """Returns a port that nobody listens on, below the ephemeral ports.

    With an ephemeral port, a restarted router could find its port taken by an
    outgoing connection. No port is returned twice.
    """
    while True:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((loopback_host.own_host(), port))
            except OSError:
                continue
            return port


def settings_text(
    *,
    name: str,
    front_port: int,
    store: str,
    ready_port: int = 0,
    bounds: str = "",
) -> str:
    """Returns a router's settings file.

    Args:
        name: The router's.
        store: The address of the store.
        front_port: Where callers connect; 0 lets the system choose.
        ready_port: Where a balancer asks; 0 lets the system choose.
        bounds: Further lines of the section `[bounds]`.
    """
    inner = free_port()
    return _SETTINGS.format(
        name=name,
        host=loopback_host.own_host(),
        front=front_port,
        ready=ready_port,
        inner=inner,
        last_inner=inner + 1,
        store=store,
        bounds=bounds,
    )
