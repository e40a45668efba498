"""Starts routers with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import tomllib

import http_messages

ROOT = pathlib.Path(__file__).resolve().parents[2]

_SETTINGS = """\
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "palermo-a"
region = "sicilia"
internalPorts = [{inner},{inner_end}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
palermo-a = "sicilia"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
stretchMaxMs = 5000
failClosed = false
revokeMs = 5000
retryRatio = 0.9
retryWindowS = 10
retryAllowance = 58
exposureShare = 0.15
exposureAllowance = 30
rollbackMs = 5000
coldOverrun = 1.5
coldAllowance = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 10
sessionS = 5
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txnMs = 3.0
partitionWritesS = 300
rowBytes = 65536
crossPartition = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"""  # noqa: E501


# Outside the range of outgoing connections, which would take them meanwhile.
_PORTS = range(15_000, 32_000)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            one = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                one.bind(("127.0.0.1", random.choice(_PORTS)))
                ports.append(one.getsockname()[1])
        return ports


class Router:
    """A router's process.

    Attributes:
        front: The port for callers.
        process: The process; None before the start.
    """

    def __init__(self, *, name: str, store: str, folder: pathlib.Path):
        self.front, self._ready, self._inner = free_ports(3)
        self.process: subprocess.Popen | None = None
        self._folder = folder
        self._name = name
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                inner=self._inner,
                inner_end=self._inner + 1,
                front=self.front,
                ready=self._ready,
                store=store,
            )
        )

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "NUTMEGHOOK_NODE_FILE": str(self._settings),
            "NUTMEGHOOK_METRICS_PORT": "0",
        }
        with (self._folder / f"{self._name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def log(self) -> str:
        """Returns what the process has written."""
        return (self._folder / f"{self._name}.log").read_text()

    async def until_ready(self, limit_s: float = 20.0) -> None:
        """Waits until the balancer would send callers here.

        Raises:
            TimeoutError: It was not ready in time.
        """
        end = time.monotonic() + limit_s
        while time.monotonic() < end and self.process.poll() is None:
            if await self._is_ready():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self._name} was not ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._ready
            )
        except ConnectionError:
            return False
        writer.write(
            http_messages.encode_request(
                "GET", "/v1/readiness", {"Host": "ready"}
            )
        )
        answer = await http_messages.read_answer(reader)
        writer.close()
        return answer is not None and answer.status == 200

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> None:
        """Ends the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
