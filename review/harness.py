"""Runs router processes on a small stand-in platform for the review's scripts.

The routers are started with the command of `deploy/system.toml`. The store is
the project's own stand-in; replicas are in the scripts.
"""

import abc
import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
for folder in ("target/deps", "src"):
    sys.path.insert(0, str(ROOT / folder))

# It needs the paths that are set above.
from nutmeghook.standins import users_store  # noqa: E402

HOST = "callers.example"
KEY = "a-key"
TEAM = "team"
ZONES = ("hall-a", "hall-b", "hall-c")
PASSED, BROKEN, COULD_NOT_RUN = 0, 1, 2
_NO_LINGER = struct.pack("ii", 1, 0)
_SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "centre"
internalPorts = [7340, 7355]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = [
  "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
  "tenants", "platform", "rollout",
]
[zones]
hall-a = "centre"
hall-b = "centre"
hall-c = "centre"
[listen]
front = "{ip}:8227"
ready = "{ip}:8220"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
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
retryAllowance = 54
exposureShare = 0.15
exposureAllowance = 30
rollbackMs = 5000
recoveryS = 12
passMs = 120
sessionS = 5
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
crossPartition = true
historyS = 20
"""


class CouldNotRunError(Exception):
    """The case could not be brought about."""


def own_hosts() -> "itertools.count[int]":
    """Yields addresses of 127.0.0.0/8 that differ between processes."""
    pid = os.getpid()
    for number in range(1, 250):
        yield f"127.{80 + (pid >> 8) % 100}.{pid & 0xFF}.{number}"


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at_s = time.monotonic() - self._began_s
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass(kw_only=True)
class CallerAnswer:
    """What a caller saw of one request.

    Attributes:
        status: 0 if no answer began.
        is_complete: The answer's framing says that all of it has come.
    """

    request_id: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class Router:
    """One router process, started as the deploy file says."""

    def __init__(self, *, name: str, ip: str, zone: str, store: str):
        self.name = name
        self.ip = ip
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._settings = self._folder / "local.toml"
        self._settings.write_text(
            _SETTINGS.format(name=name, ip=ip, zone=zone, store=store)
        )
        self.log_path = self._folder / "log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment |= role.get("env", {})
        environment["NUTMEGHOOK_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def until_ready(self) -> None:
        """Waits until the platform would send callers here."""
        for _ in range(200):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.ip, 8220)
                writer.write(
                    b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n"
                    b"Connection: close\r\n\r\n"
                )
                head = await reader.read(64)
                writer.close()
                if b" 200 " in head:
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} was never ready")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process if it runs, and removes its files."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self._folder)


class Platform:
    """The store, the routers and the operator's and replicas' rows."""

    def __init__(self, record: Record):
        self.hosts = own_hosts()
        self.record = record
        self.store = users_store.StandInStore()
        self.routers: list[Router] = []

    async def start(self) -> None:
        """Starts the store."""
        await self.store.start()

    async def add_routers(self, count: int) -> None:
        """Starts routers and waits until they are ready and know each other."""
        for number in range(count):
            router = Router(
                name=f"edge-{number}",
                ip=next(self.hosts),
                zone=ZONES[number % len(ZONES)],
                store=self.store.address,
            )
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            await router.until_ready()
        # They have registered by now, and gossip with each other soon.
        await asyncio.sleep(3.0)

    async def end(self) -> None:
        """Ends all that was started."""
        for router in self.routers:
            await router.end()
        await self.store.stop()

    def put(self, table: str, key: str, value: dict[str, object]) -> None:
        """Writes a row as the operator or a replica does."""
        self.store.put(table, key, json.dumps(value).encode())

    def write_configuration(
        self,
        version: int,
        routes: list[dict],
        *,
        tenants: dict[str, list[str]] | None = None,
    ) -> None:
        """Writes the operator's configuration.

        Args:
            version: Its version.
            routes: The routes, but for their host.
            tenants: The API keys of each tenant; None for one with one key.
        """
        if tenants is None:
            tenants = {TEAM: [KEY]}
        services = sorted({route["service"] for route in routes})
        self.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [{"host": HOST} | route for route in routes],
                "services": [
                    {"name": name, "healthPath": "/health", "maxConns": 360}
                    for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [
                    {"name": name, "apiKeys": keys}
                    for name, keys in tenants.items()
                ],
            },
        )


async def call(
    router: Router,
    *,
    request_id: str,
    path: str,
    method: str = "POST",
    key: str | None = KEY,
    body: bytes = b"",
    deadline_ms: int = 8000,
    headers: dict[str, str] | None = None,
) -> CallerAnswer:
    """Sends one request on a new connection and reads its answer."""
    answer = CallerAnswer(request_id=request_id)
    credentials = {} if key is None else {"Authorization": f"Token {key}"}
    fields = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Content-Length": str(len(body)),
        **credentials,
        **(headers or {}),
    }
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields.items()
    )
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 2):
            reader, writer = await asyncio.open_connection(router.ip, 8227)
            writer.write(head.encode() + b"\r\n" + body)
            await _read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(
    reader: asyncio.StreamReader, answer: CallerAnswer
) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    answer.status = int(first.split(" ")[1])
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).strip() or b"0", 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(length)
    else:
        answer.body = await reader.read()
    answer.is_complete = True


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


@dataclasses.dataclass(kw_only=True)
class ReplicaRequest:
    """A request as a replica received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self.headers.get("x-attempt-id", "")


class Replica(abc.ABC):
    """A replica that can be cut off from new connections.

    Attributes:
        address: Where it listens, `ip:port`.
        ran: The ids of the requests that it began to run.
    """

    def __init__(self, *, replica_id: str, host: str, record: Record):
        self.replica_id = replica_id
        self.record = record
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, 8120))
        self._socket.setblocking(False)
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task] = set()
        self.address = f"{host}:8120"
        self.ran: list[str] = []
        self.join()

    @abc.abstractmethod
    async def run(
        self, request: ReplicaRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs and answers a request; tells whether to keep the connection."""

    def row(self, *, service: str, zone: str, state: str = "ready") -> dict:
        """Returns its row in the platform's store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
        }

    def join(self) -> None:
        """Accepts connections."""
        self._socket.listen(64)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._loop.add_reader(self._socket, self._accept)

    def cut(self) -> None:
        """Lets packets that open connections get lost, as a cut link does.

        The system drops them while the queue of a listener is full.
        """
        self._loop.remove_reader(self._socket)
        self._socket.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._socket.getsockname())
            self._fillers.append(filler)

    def _accept(self) -> None:
        try:
            connection, _ = self._socket.accept()
        except BlockingIOError:
            return
        task = self._loop.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await _read_request(reader)
        if request.headers.get("x-expect-replica") != self.replica_id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await writer.drain()
            return True
        self.ran.append(request.request_id)
        self.record.note(f"{self.replica_id} runs {request.request_id}")
        return await self.run(request, writer)


async def _read_request(reader: asyncio.StreamReader) -> ReplicaRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReplicaRequest(
        method=method, target=target, headers=headers, body=body
    )


def answer_head(request: ReplicaRequest, *fields: str) -> bytes:
    """Returns the head of a success with the replica's seal."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {request.request_id}",
        f"X-Replica-Seal: seal-of-{request.request_id}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def has_trouble() -> bool:
    """Tells whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(main) -> None:
    """Runs a case's coroutine function and exits with its verdict."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")

    async def guarded() -> int:
        platform = Platform(record)
        try:
            async with asyncio.timeout(115):
                await platform.start()
                return await main(platform)
        except (CouldNotRunError, TimeoutError) as error:
            record.note(f"the case could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await platform.end()

    verdict = asyncio.run(guarded())
    record.note(f"exit status {verdict}")
    sys.exit(verdict)
