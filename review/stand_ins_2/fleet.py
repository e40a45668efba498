"""Starts replicas, keeps their entries in the store, and records a play."""

import asyncio
import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import http_messages
import router as router_module
import store as store_module

FOLDER = pathlib.Path(__file__).resolve().parent
HOST = "drafts.example"
SERVICE = "drafting"
PLAIN_SERVICE = "records"
KEY = "key-1"
_FAULT_NOTES = (
    "answer:end_unconfirmed",
    "attempt:failed",
    "attempt:lost",
    "process:part_failed",
    "process:started",
    "replica:cold",
    "request:fault",
    "request:quarantined",
    "store:away",
    "store:back",
    "suspect:on_trial",
)
_ROUTER_STARTS = 3
# Of the settings of a router.
CONTACT_S = 3.0


def stream_route(**fields: object) -> dict:
    """Returns a route of the service whose streams may be resumed."""
    return {
        "name": "r-draft",
        "host": HOST,
        "prefix": "/draft/",
        "routeKind": "streaming",
        "timeoutMs": 20000,
        "sloMs": 4000,
        "priority": 0,
        "service": SERVICE,
        "attempts": 3,
        "anonymous": False,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 1200,
    } | fields


def plain_route(**fields: object) -> dict:
    """Returns a route of the plain service whose requests may be repeated."""
    return {
        "name": "r-record",
        "host": HOST,
        "prefix": "/record/",
        "routeKind": "idempotent",
        "timeoutMs": 4000,
        "sloMs": 400,
        "priority": 0,
        "service": PLAIN_SERVICE,
        "attempts": 2,
        "anonymous": False,
    } | fields


def _service(name: str) -> dict:
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 370,
        "protocol": "h1",
        "tls": False,
    }


def configuration(
    *routes: dict, version: int = 7, cold: dict | None = None
) -> dict:
    """Returns a configuration with two services and one tenant.

    Args:
        routes: All routes.
        version: Of the configuration.
        cold: What the plain service says of its cold replicas.
    """
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            _service(SERVICE)
            | {"engine": {"models": [{"name": "small", "cost": 0.0074}]}},
            _service(PLAIN_SERVICE) | (cold or {}),
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "parish", "apiKeys": [KEY], "priority": 1}],
    }


def event_ids(answer: http_messages.Answer | None) -> list[int]:
    """Returns the ids of a stream's events, in the order of their arrival."""
    if answer is None:
        return []
    return [
        int(line.removeprefix("id: "))
        for line in answer.body.decode().split("\n")
        if line.startswith("id: ")
    ]


def _is_of_fault(line: str) -> bool:
    """Tells whether a router's log line belongs into a record."""
    return any(f'"message_type":"{name}"' in line for name in _FAULT_NOTES)


class Fleet:
    """The processes of a play and its record.

    Attributes:
        routers: Those started so far.
        store: The platform's store.
    """

    def __init__(self, folder: pathlib.Path):
        self.store = store_module.Store()
        self.routers: list[router_module.Router] = []
        self._folder = folder
        self._lines: list[str] = []
        self._replicas: dict[str, subprocess.Popen] = {}

    def note(self, event: str, **fields: object) -> None:
        """Adds a line to the record."""
        at = round(time.monotonic(), 3)
        self._lines.append(json.dumps({"at": at, "event": event, **fields}))

    def start_replica(
        self, name: str, port: int, *options: str, service: str = SERVICE
    ) -> None:
        """Starts a replica and writes its entry, as it does at its start."""
        with (self._folder / "replicas.log").open("ab") as log:
            self._replicas[name] = subprocess.Popen(
                [
                    sys.executable,
                    str(FOLDER / "replica.py"),
                    f"--port={port}",
                    f"--id={name}",
                    *options,
                ],
                stdout=log,
                stderr=log,
            )
        self.note("replica started", replica=name)
        self.list_replica(name, port, service=service)

    def list_replica(self, name: str, port: int, **fields: object) -> None:
        """Writes a replica's entry."""
        self.store.put(
            "servers",
            name,
            {
                "service": SERVICE,
                "address": f"127.0.0.1:{port}",
                "zone": "palermo-a",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": "unified",
                "models": [{"name": "small", "version": 1, "adapters": []}],
                "sequence": 1,
                "born": round(time.time() * 1000),
            }
            | fields,
        )

    def has_ended(self, name: str) -> bool:
        """Tells whether a replica's process has ended."""
        return self._replicas[name].poll() is not None

    def kill_replica(self, name: str) -> None:
        """Kills a replica's process."""
        self._replicas[name].kill()
        self._replicas[name].wait()
        self.note("replica killed", replica=name)

    async def start_router(self, name: str) -> router_module.Router:
        """Starts a router and waits until it is ready.

        If one of its ports was taken meanwhile, it is started on others.
        """
        for tries_left in range(_ROUTER_STARTS - 1, -1, -1):
            router = router_module.Router(
                name=name, store=self.store.address, folder=self._folder
            )
            router.start()
            try:
                await router.until_ready()
            except TimeoutError:
                router.stop()
                self.note("router did not start", router=name)
                if not tries_left:
                    raise
            else:
                break
        self.routers.append(router)
        self.note("router ready", router=name)
        return router

    async def ask(
        self,
        router: router_module.Router,
        request_id: str,
        path: str,
        *,
        method: str = "POST",
    ) -> http_messages.Answer | None:
        """Sends a request on a new connection; returns its answer."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", router.front
            )
        except ConnectionError:
            self.note("not connected", request=request_id)
            return None
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "20000",
            "Authorization": f"Token {KEY}",
        }
        body = b""
        if method == "POST":
            body = b"text"
            headers |= {
                "X-Model": "small",
                "X-Token-Counts": "200,80",
                "X-Prompt-Prefix": f"5c1e07a2:150,{request_id}:50",
            }
        writer.write(http_messages.encode_request(method, path, headers, body))
        self.note("sent", request=request_id, method=method, path=path)
        answer = await http_messages.read_answer(reader)
        writer.close()
        ids = event_ids(answer)
        self.note(
            "answer",
            request=request_id,
            status=answer and answer.status,
            complete=answer and answer.complete,
            retry_after=answer and answer.headers.get("retry-after"),
            events=len(ids),
            last=ids[-1] if ids else None,
        )
        return answer

    def lost_after(self, at: float, prefix: str) -> int:
        """Returns how many requests failed or were cut off since a moment.

        Args:
            at: Monotonic time.
            prefix: Of the ids of the requests that are counted.
        """
        noted = map(json.loads, self._lines)
        return sum(
            line["event"] == "answer"
            and line["at"] > at
            and line["request"].startswith(prefix)
            and (line["status"] != 200 or not line["complete"])
            for line in noted
        )

    def replica_events(self, event: str) -> list[dict]:
        """Returns what the replicas have noted under a name."""
        lines = (self._folder / "replicas.log").read_text().splitlines()
        noted = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in noted if line["event"] == event]

    def close(self, record: pathlib.Path, verdict: str) -> None:
        """Ends all processes and writes the record."""
        for router in self.routers:
            router.stop()
        for process in self._replicas.values():
            process.kill()
            process.wait()
        self.note(verdict)
        parts = ["# sent, answered and done", *self._lines, "# replicas"]
        replicas = self._folder / "replicas.log"
        if replicas.exists():
            parts.append(replicas.read_text())
        for number, router in enumerate(self.routers):
            parts.append(f"# router {number}, what it noted of faults")
            parts.extend(filter(_is_of_fault, router.log().splitlines()))
        record.write_text("\n".join(parts))


class Slot:
    """One address whose replica is started again, as a new one, when it ends.

    Args:
        fleet: Whose replica it is.
        number: Tells slots apart.
        down_s: How long it is down.
        options: Of the replica.
        service: Of the replica.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        number: int,
        down_s: float,
        options: tuple[str, ...],
        service: str = SERVICE,
    ):
        self._fleet = fleet
        self._number = number
        self._down_s = down_s
        self._options = options
        self._service = service
        self._start = 0
        self._port = router_module.free_ports(1)[0]

    @property
    def _name(self) -> str:
        return f"i-{self._number:04x}{self._start:04x}"

    def start(self) -> None:
        """Starts the next replica."""
        self._fleet.start_replica(
            self._name, self._port, *self._options, service=self._service
        )

    async def keep_up(self) -> None:
        """Starts a new replica some seconds after each end of one."""
        while True:
            await asyncio.sleep(0.05)
            if self._fleet.has_ended(self._name):
                await asyncio.sleep(self._down_s)
                gone, self._start = self._name, self._start + 1
                self.start()
                # The former entry expires without liveness reports.
                await asyncio.sleep(0.6)
                self._fleet.store.delete("servers", gone)


async def _run(run, fleet: Fleet, limit_s: float) -> bool:
    try:
        return await asyncio.wait_for(run(fleet), limit_s)
    finally:
        for router in fleet.routers:
            router.stop()
        await fleet.store.stop()


def play(run, record: pathlib.Path, limit_s: float = 110.0) -> int:
    """Plays a case.

    Args:
        run: Plays it with a fleet; returns whether the rule held.
        record: Where the record is written.
        limit_s: The longest that it may take.

    Returns:
        1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(pathlib.Path(name))
        status, verdict = 2, "could not run"
        with contextlib.suppress(OSError, TimeoutError):
            held = asyncio.run(_run(run, fleet, limit_s))
            status = 0 if held else 1
            verdict = "the rule held" if held else "the rule was broken"
        fleet.close(record, verdict)
        print(verdict)
        return status
