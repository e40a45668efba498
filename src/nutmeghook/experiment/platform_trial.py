"""Runs router processes on a stand-in of the users' platform, with faults.

The store and the replicas are stand-ins in this process; the routers are the
real program. Callers' histories are compared with the replicas' logs.
"""

import asyncio
import dataclasses
import pathlib
import random
import socket
import tempfile

import aiohttp
import msgspec

from nutmeghook.experiment import configuration_steps
from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import trial_routers
from nutmeghook.platform import headers
from nutmeghook.standins import users_operator
from nutmeghook.standins import users_replica
from nutmeghook.standins import users_store

HOST = "callers.example"
SERVICE = "pool"
KEYS = ("key-that-stays", "key-to-be-removed")
ROLL_OUT_S = 12.0
# Shares of a replica's answers.
_RESETS = 0.03
_REFUSALS = 0.03
_WITHOUT_LENGTH = 0.03
_BAD_VERSION_FAILURES = 0.5
_CALL_TIMEOUT_S = 20.0
# Of a long answer, so that it takes half a second.
_LONG_PAUSE_S = 0.005
_READ_BYTES = 64 * 1024
# The receive buffer of a slow reader. One below the loopback's segments of
# 64 KiB stalls the connection: with 16 KiB, 3 MB were read in 8 s.
_SLOW_READ_BYTES = 256 * 1024
_PART_TOKENS = 100
# From a replica's crash until its replacement is listed.
RESTART_S = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReplicaCrash:
    """A crash of a replica while it ran a request.

    Attributes:
        body: The request's body.
        at_s: In the event loop's time.
    """

    replica_id: str
    body: bytes
    at_s: float


class PlatformTrial:
    """A platform, routers and callers.

    Args:
        folder: For settings and logs.
        seed: Of what is random.
        routers: Their number.
        router_program: What Python runs as a router.

    Attributes:
        calls: What callers observed.
        crashes: Replicas that crashed while they ran a request.
        abandoned: Ids of requests that were cancelled by their caller.
        routers: The router processes.
        listed_slots: The slots of replicas in their entries.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        seed: int,
        routers: int = 3,
        router_program: tuple[str, ...] = trial_routers.CUTTABLE_PROGRAM,
    ):
        self._folder = folder
        self._router_program = router_program
        self._random = random.Random(seed)
        self._call_count = 0
        self.store = users_store.StandInStore()
        self.operator = users_operator.StandInOperator(
            store=self.store, host=HOST, service=SERVICE
        )
        self.replicas: dict[str, users_replica.StandInReplica] = {}
        self.ended_replicas: dict[str, users_replica.StandInReplica] = {}
        self.listed_slots = 64
        self.router_count = routers
        self.routers: list[trial_routers.RouterProcess] = []
        self.calls: list[platform_checks.ObservedCall] = []
        self.abandoned: set[str] = set()
        self.crashes: list[ReplicaCrash] = []
        self._restarts: set[asyncio.Task[None]] = set()
        self.removed_at_s: float | None = None
        self.stop_statuses: list[int] = []
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Starts all parts and waits until each router serves."""
        await self.store.start()
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        )
        self.operator.write_configuration(KEYS)
        for number in range(3):
            await self.add_replica(f"v1-{number}", "v1")
        for number in range(self.router_count):
            name = f"router-{number}"
            router = trial_routers.RouterProcess(
                name=name,
                folder=self._folder,
                store=await self.store_address(name),
                program=self._router_program,
            )
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            await self.wait_until_serving(router)

    async def end(self) -> None:
        """Ends all parts."""
        for restart in self._restarts:
            restart.cancel()
        for router in self.routers:
            if router.process and router.process.returncode is None:
                await router.kill()
        for replica in self.all_replicas().values():
            await replica.stop()
        if self._session is not None:
            await self._session.close()
        await self.store.stop()

    async def store_address(self, router_name: str) -> str:
        """Returns the store's address for a router."""
        return self.store.address

    async def replica_address(
        self, replica: users_replica.StandInReplica
    ) -> str:
        """Returns a replica's address for routers."""
        return replica.address

    async def wait_until_serving(
        self, router: trial_routers.RouterProcess
    ) -> None:
        """Sends requests until the router answers one."""
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            while True:
                probe = await self.call("probe", router=router)
                if probe.status == 200:
                    return
                await asyncio.sleep(0.1)

    async def add_replica(
        self,
        replica_id: str,
        version: str,
        *,
        data_centre: str = "hall",
        cold_left_s: float = 0.0,
    ) -> None:
        """Starts a replica and lists it."""
        replica = users_replica.StandInReplica(
            replica_id=replica_id,
            decide=lambda request: self.reply(request, version),
        )
        await replica.start()
        address = await self.replica_address(replica)
        # Faults may choose it from now on.
        self.replicas[replica_id] = replica
        restart = asyncio.create_task(
            self._restart_after_crash(replica, version)
        )
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)
        self.operator.list_replica(
            replica_id,
            address=address,
            version=version,
            data_centre=data_centre,
            cold_left_s=cold_left_s,
            slots=self.listed_slots,
        )

    async def _restart_after_crash(
        self, replica: users_replica.StandInReplica, version: str
    ) -> None:
        """Replaces a replica once it has crashed under a request."""
        await replica.crashed.wait()
        while replica.falls and not replica.crashes:
            # It fell over, and stands up by itself.
            await asyncio.sleep(users_replica.FALL_S)
            await replica.crashed.wait()
        if not replica.crashes:
            return
        self.crashes.append(
            ReplicaCrash(
                replica_id=replica.replica_id,
                body=replica.crashes[0],
                at_s=asyncio.get_running_loop().time(),
            )
        )
        number = len(self.crashes)
        self.close_replica_address(replica.replica_id)
        await asyncio.sleep(RESTART_S)
        self.mark_ended(replica.replica_id)
        self.operator.delist_replica(replica.replica_id)
        await self.add_replica(f"{version}-after-crash-{number}", version)

    def order_bad_version(self) -> None:
        """Orders a version that fails half of its requests."""
        self.operator.order_roll_out("v2", within_s=ROLL_OUT_S)

    def remove_key(self) -> None:
        """Removes the second API key."""
        self.operator.write_configuration(KEYS[:1])
        self.removed_at_s = asyncio.get_running_loop().time()

    async def load(self, *, seconds: float, rate_per_s: float) -> None:
        """Sends steady load of all kinds to all routers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end_s:
                tasks.create_task(self.call_any())
                await asyncio.sleep(1 / rate_per_s)

    async def call_any(
        self, *, router: trial_routers.RouterProcess | None = None
    ) -> platform_checks.ObservedCall:
        """Sends a request of any kind to a router, any if None."""
        kind = self._random.choice(("stream", "stream", "once"))
        key = self._random.choice(KEYS)
        return await self.call(kind, key=key, router=router)

    async def call(
        self,
        kind: str,
        *,
        key: str = KEYS[0],
        router: trial_routers.RouterProcess | None = None,
        body: bytes = platform_checks.REQUEST_BODY,
        parts: tuple[str, ...] = (),
        read_pause_s: float = 0.0,
        request_id: str = "",
    ) -> platform_checks.ObservedCall:
        """Sends one request and records its outcome.

        Args:
            kind: The route.
            key: The API key.
            router: Any if None.
            body: The request's body.
            parts: Ids of the parts that its prompt shares with others.
            read_pause_s: Pause after each 64 KiB of the answer, which are
                read with a small receive buffer.
            request_id: Of a request that was refused before; a new one if
                empty.
        """
        self._call_count += 1
        request_id = request_id or f"{kind}-{self._call_count}"
        router = router or self._random.choice(self.routers)
        sent_s = asyncio.get_running_loop().time()
        status, received, complete, sealed = 0, b"", False, False
        try:
            async with self._session.post(
                f"http://{router.address}/{kind}/x",
                data=body,
                headers={
                    "Host": HOST,
                    headers.REQUEST_ID: request_id,
                    headers.TIME_LEFT: "8000",
                    headers.SESSION: f"session-{self._call_count % 40}",
                    "Authorization": f"Token {key}",
                    **self._prompt_headers(parts),
                },
            ) as answer:
                status = answer.status
                sealed = headers.SEAL in answer.headers
                if read_pause_s:
                    _limit_receive_buffer(answer)
                async for piece in answer.content.iter_chunked(_READ_BYTES):
                    received += piece
                    await asyncio.sleep(read_pause_s * len(piece) / _READ_BYTES)
                complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The connection broke: complete stays False.
            pass
        except asyncio.CancelledError:
            # The caller gave up, but a replica may have the request.
            self.abandoned.add(request_id)
            raise
        observed = platform_checks.ObservedCall(
            request_id=request_id,
            kind=kind,
            key=key,
            sent_body=body,
            status=status,
            body=received,
            complete=complete,
            sealed=sealed,
            sent_s=sent_s,
            ended_s=asyncio.get_running_loop().time(),
            router=f"{router.name}#{router.starts}",
        )
        self.calls.append(observed)
        return observed

    def _prompt_headers(self, parts: tuple[str, ...]) -> dict[str, str]:
        """Returns the headers of a prompt with a last part of its own."""
        if not parts:
            return {}
        listed = (*parts, f"{self._call_count:x}")
        return {
            headers.TOKEN_COUNTS: f"{_PART_TOKENS * len(listed)},40",
            headers.PROMPT_PARTS: ",".join(
                f"{part}:{_PART_TOKENS}" for part in listed
            ),
        }

    def all_replicas(self) -> dict[str, users_replica.StandInReplica]:
        """Returns every replica that was started, ended ones too."""
        return self.replicas | self.ended_replicas

    def mark_ended(self, replica_id: str) -> None:
        """Moves a replica to those that have ended."""
        replica = self.replicas.pop(replica_id, None)
        if replica is not None:
            self.ended_replicas[replica_id] = replica

    def close_replica_address(self, replica_id: str) -> None:
        """Closes the address of a crashed replica, if it is proxied."""

    def runs(self) -> dict[str, int]:
        """Returns how often each request was run, from the replicas' logs."""
        counts: dict[str, int] = {}
        for replica in self.all_replicas().values():
            for request_id in replica.ran:
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    def reverts(self) -> list[str]:
        """Returns the configuration reversions in the routers' logs."""
        found = []
        for router in self.routers:
            steps = _configuration_steps(router)
            if not steps:
                found.append(f"{router.name} logged no configuration")
            for violation in configuration_steps.check_steps(steps):
                found.append(f"{violation.marker}: {violation.detail}")
        return found

    def behind(self) -> list[str]:
        """Returns the routers whose configuration is not the last written."""
        found = []
        for router in self.routers:
            steps = _configuration_steps(router)
            in_force = steps[-1].revision if steps else None
            if in_force != self.operator.version:
                found.append(
                    f"{router.name} has configuration {in_force}, the last"
                    f" written is {self.operator.version}"
                )
        return found

    def reply(
        self, request: users_replica.ReceivedRequest, version: str
    ) -> users_replica.Reply:
        """Returns a replica's response to a request, faults included."""
        drawn = self._random.random()
        if version == "v2" and drawn < _BAD_VERSION_FAILURES:
            return users_replica.Reply(status=500, body=b"bad version")
        is_stream = request.target.startswith("/stream/")
        events = platform_checks.STREAM_EVENTS if is_stream else ()
        if request.body == platform_checks.LONG_BODY:
            return users_replica.Reply(
                events=platform_checks.LONG_EVENTS,
                padding=platform_checks.LONG_PADDING,
                pause_s=_LONG_PAUSE_S,
            )
        if (
            request.body == platform_checks.CRASHING_BODY
            or platform_checks.CRASHING_PART in request.prompt_part_ids
        ):
            return users_replica.Reply(events=events, send_bytes=0, crash=True)
        if drawn < _RESETS:
            return users_replica.Reply(
                events=events,
                send_bytes=self._random.randrange(0, 60),
                reset=self._random.random() < 0.5,
            )
        if drawn < _RESETS + _REFUSALS:
            return users_replica.Reply(status=503, not_run=True)
        if drawn < _RESETS + _REFUSALS + _WITHOUT_LENGTH:
            return users_replica.Reply(events=events, framed=False)
        return users_replica.Reply(events=events, pause_s=0.02)


def _limit_receive_buffer(answer: aiohttp.ClientResponse) -> None:
    """Limits what the socket reads ahead of a slow reader."""
    # A short answer has given its connection back already, and a broken
    # connection has no transport.
    transport = answer.connection and answer.connection.transport
    if transport is not None:
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_READ_BYTES
        )


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TrialReport:
    """A trial's outcome."""

    calls: int
    answered: int
    not_run: int
    unknown: int
    cut: int
    exposed: int
    roll_out: str
    violations: list[str]


async def run(*, folder: pathlib.Path, seed: int) -> TrialReport:
    """Runs one trial under load, with every fault once, overlapping."""
    trial = PlatformTrial(folder=folder, seed=seed)
    try:
        await trial.start()
        load = asyncio.create_task(trial.load(seconds=16.0, rate_per_s=40.0))
        await asyncio.sleep(1.0)
        trial.order_bad_version()
        for number in range(3):
            await trial.add_replica(f"v2-{number}", "v2")
        await _inject_faults(trial)
        await load
        return _report(trial)
    finally:
        await trial.end()


def _configuration_steps(
    router: trial_routers.RouterProcess,
) -> list[configuration_steps.Step]:
    """Returns the configurations that a router's log says were in force."""
    return configuration_steps.steps_of_log(router.name, router.log_lines())


async def _inject_faults(trial: PlatformTrial) -> None:
    """Injects overlapping faults."""
    await asyncio.sleep(1.0)
    killed = trial.routers[0]
    await killed.kill()
    await killed.start()
    trial.remove_key()
    await asyncio.sleep(2.5)
    trial.store.fault = users_store.StoreFault.REFUSING
    stopped = trial.routers[1]
    stopping = asyncio.create_task(stopped.stop())
    await asyncio.sleep(2.0)
    trial.store.fault = users_store.StoreFault.NONE
    crashed = trial.replicas["v1-0"]
    await crashed.stop()
    trial.operator.delist_replica("v1-0")
    trial.stop_statuses.append(await stopping)
    await stopped.start()
    await trial.wait_until_serving(stopped)


def _report(trial: PlatformTrial) -> TrialReport:
    calls = [call for call in trial.calls if call.kind != "probe"]
    exposed = sum(
        len(replica.ran)
        for replica_id, replica in trial.replicas.items()
        if replica_id.startswith("v2")
    )
    return TrialReport(
        calls=len(calls),
        answered=sum(c.status == 200 and c.complete for c in calls),
        not_run=sum(c.status in (429, 503) for c in calls),
        unknown=sum(c.status in (502, 504) for c in calls),
        cut=sum(not c.complete for c in calls),
        exposed=exposed,
        roll_out=trial.operator.roll_out_state(),
        violations=platform_checks.violations(
            calls=trial.calls,
            runs=trial.runs(),
            removed_key=KEYS[1],
            removed_at_s=trial.removed_at_s,
            stop_statuses=trial.stop_statuses,
        )
        + trial.reverts(),
    )


def main(*, seed: int) -> int:
    """Prints a trial's report as JSON; returns 1 if a check failed."""
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(run(folder=pathlib.Path(folder), seed=seed))
    print(msgspec.json.encode(report).decode())
    good = not report.violations and report.roll_out == "reverted"
    return 0 if good else 1
