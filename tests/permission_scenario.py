"""A fleet under load whose instances are killed while permissions change.

A team's permission for a model and for a plain route is revoked. Its template
names another model from then on, since a template may not name a model that
its team is not allowed.

Distribution of the configuration, its rules, queues and dispatch are real.
Model engines and plain services are stand-ins, whose records of requests and
times are checked instead of the instances' own. All time is virtual.
"""

import asyncio
import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
import random

from nutmeghook.experiment import trial as trial_module
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import tokens
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.observe import events
from nutmeghook.internal.routing import version_choice
from nutmeghook.standins import answers
from nutmeghook.standins import engine_settings
from tests import config_fleet
from tests import fakes
from tests import recording_servers
from tests.cover import versions_fleet

SECOND = config_fleet.SECOND
RESTRICTED_TEAM = "loser"
OTHER_TEAM = "keeper"
SERVICE = "crew"
TEMPLATE = "review"
BOUND = trial_module.CONFIG_BOUND
# Per instance; fewer than the load needs, so that requests are queued during
# the change.
SLOTS = 2
ENGINES = 4
REQUEST_EVERY = SECOND / 60
DEADLINE = 8 * SECOND
CALL_TIME = 3 * SECOND / 2
# How long the faulty engine takes to refuse.
REFUSAL_TIME = 3 * SECOND / 10
_REVOKED_VERSION = engine.ModelVersion(model="small", version="1")
_ALLOWED_VERSION = engine.ModelVersion(model="other", version="1")
_ROUTE = documents.PlainRoute(service=SERVICE, path_prefix="/bookings")


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A caller's request.

    Attributes:
        start: The start of an instance that took it, as an index of the
            fleet's event rings.
        killed: Its instance was killed while it ran.
        error: The caller's error, if there is no answer.
    """

    request_id: str
    team: str
    start: int
    is_plain: bool
    arrived: datetime.timedelta
    killed: bool = False
    text: str | None = None
    error: errors.CodedError | None = None


class Instance:
    """One start of an instance, which dispatches by its own configuration.

    Attributes:
        calls: Requests under way, by the task that runs them.
    """

    def __init__(
        self, *, scenario: "PermissionScenario", start: int, address: str
    ):
        self.address = address
        self.start = start
        self.replica = scenario.fleet.parts[address].replica
        self.calls: dict[asyncio.Task, Call] = {}
        clock = scenario.fleet.clock
        fixture = fakes.Fixture(clock=clock)
        fixture.config = self.replica
        fixture.versions = version_choice.ConfiguredVersionChooser(
            view=self.replica,
            pins=versions_fleet.MemoryPins(),
            gate=versions_fleet.CountingGate(),
        )
        fixture.backends = recording_servers.AnyBackend(
            addresses=list(scenario.engines), draw=scenario.draw
        )
        fixture.engines = scenario.engines
        fixture.services = scenario.service
        fixture.cascade = fakes.FakeCascade(first_stage=0)
        fixture.admission, fixture.plain_admission = (
            fakes.fair_admission_with(
                clock, concurrency_limit.FixedLimit(slots=SLOTS)
            )
            for _ in range(2)
        )
        self.dispatcher = fixture.dispatcher()

    def kill(self) -> None:
        """Cancels all requests under way; nothing is reported to callers."""
        for task, call in self.calls.items():
            call.killed = True
            task.cancel()


class PermissionScenario:
    """A fleet, its callers, and the backend servers' records.

    Attributes:
        received: The requests that reached backend servers.
        revoked_at: When the change was accepted.
        revision: The revision of the change.
    """

    def __init__(self, *, seed: int):
        self.draw = random.Random(seed)
        self.fleet = config_fleet.ConfigFleet(per_data_centre=3)
        self.received: list[recording_servers.ReceivedRequest] = []
        self.calls: list[Call] = []
        self.revoked_at: datetime.timedelta | None = None
        self.revision = 0
        clock = self.fleet.clock
        self.engines = {
            f"10.0.9.{number}:80": recording_servers.RecordingEngine(
                received=self.received,
                restricted=_REVOKED_VERSION,
                clock=clock,
                loaded=(_REVOKED_VERSION, _ALLOWED_VERSION),
            )
            for number in range(ENGINES)
        }
        faulty_engine = next(iter(self.engines.values()))
        faulty_engine.settings = engine_settings.EngineSettings(
            refuses_work=True
        )
        faulty_engine.faults.delay = REFUSAL_TIME
        self.service = recording_servers.RecordingService(
            received=self.received, takes=CALL_TIME, clock=clock
        )
        self.instances: dict[str, Instance] = {}

    def start(self, *addresses: str) -> None:
        """Starts or restarts the named instances, or all."""
        for address in addresses or self.fleet.addresses:
            self.fleet.start(address)
            self.instances[address] = Instance(
                scenario=self, start=len(self.fleet.rings) - 1, address=address
            )

    def cut_off(self, address: str) -> None:
        """Partitions an instance from all its peers, but not from the store."""
        for other in self.fleet.addresses:
            self.fleet.network.cut_both_ways(address, other)

    async def kill(self, address: str) -> None:
        """Kills an instance as SIGKILL would."""
        self.instances.pop(address).kill()
        await self.fleet.crash(address)

    async def set_up(self) -> None:
        """Starts the fleet and applies the first configuration."""
        self.start()
        models = tuple(
            documents.ModelEntry(
                name=version.model,
                prompt_token_cost_micros=1,
                output_token_cost_micros=4,
            )
            for version in (_REVOKED_VERSION, _ALLOWED_VERSION)
        )
        teams = (RESTRICTED_TEAM, OTHER_TEAM)
        await self._accept(
            edits.ImportDocuments(
                expected_revision=0,
                fleet=documents.Fleet(models=models),
                teams=tuple(_team(name, allowed=True) for name in teams),
                templates=tuple(
                    _template(name, _REVOKED_VERSION) for name in teams
                ),
            ),
            through=self.fleet.addresses[0],
        )
        await self.fleet.clock.advance(BOUND)

    async def revoke(self, *, through: str) -> None:
        """Has an operator revoke the team's model and route."""
        record = await self._accept(
            edits.ImportDocuments(
                expected_revision=self.instances[through].replica.revision,
                teams=(_team(RESTRICTED_TEAM, allowed=False),),
                templates=(_template(RESTRICTED_TEAM, _ALLOWED_VERSION),),
            ),
            through=through,
        )
        self.revision = record.revision
        clock = self.fleet.clock
        self.revoked_at = clock.monotonic() - (clock.now() - record.settled_at)

    async def _accept(self, edit: edits.Edit, *, through: str):
        change = config_fleet.operation(f"op-{self.draw.random()}", edit)
        record = await self.fleet.accept(through, change)
        assert record.revision, record
        return record

    async def load(self, duration: datetime.timedelta) -> None:
        """Sends requests of both teams to running instances."""
        clock = self.fleet.clock
        end = clock.monotonic() + duration
        while clock.monotonic() < end:
            self._send()
            await clock.sleep(REQUEST_EVERY)

    def _send(self) -> None:
        instance = self.draw.choice(list(self.instances.values()))
        call = Call(
            request_id=f"r{len(self.calls)}",
            team=self.draw.choice((RESTRICTED_TEAM, OTHER_TEAM)),
            start=instance.start,
            is_plain=self.draw.random() < 0.3,
            arrived=self.fleet.clock.monotonic(),
        )
        self.calls.append(call)
        task = asyncio.ensure_future(self._run(instance, call))
        instance.calls[task] = call
        task.add_done_callback(instance.calls.pop)

    async def _run(self, instance: Instance, call: Call) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            try:
                if call.is_plain:
                    call.text = await self._call_plain(instance, call)
                else:
                    call.text = await self._generate(instance, call)
            except errors.CodedError as error:
                call.error = error

    async def _generate(self, instance: Instance, call: Call) -> str:
        snapshot = instance.replica.snapshot
        template = snapshot.template(call.team, TEMPLATE)
        if template is None:
            raise errors.CodedError(code=codes.Code.STALE_CONFIG)
        sink = fakes.RecordingSink()
        text = f"marker={call.request_id} Does it hold?"
        await instance.dispatcher.generate(
            requests.GenerationRequest(
                request_id=call.request_id,
                identity=_identity(call),
                team=snapshot.teams[call.team],
                token_sha256=_token_sha256(call.team),
                template=template,
                messages=(engine.Message(role="user", content=text),),
                prompt_chars=len(text),
                max_tokens=100,
                session="",
                priority=5,
                arrived=call.arrived,
                deadline=call.arrived + DEADLINE,
            ),
            sink,
        )
        return sink.text

    async def _call_plain(self, instance: Instance, call: Call) -> str:
        team = instance.replica.snapshot.teams.get(call.team)
        if team is None:
            raise errors.CodedError(code=codes.Code.STALE_CONFIG)
        if _ROUTE not in team.plain_routes:
            raise errors.CodedError(code=codes.Code.NOT_ALLOWED)
        answer = await instance.dispatcher.call_plain(
            requests.PlainRequest(
                identity=_identity(call),
                team=team,
                token_sha256=_token_sha256(call.team),
                route=_ROUTE,
                call=plain.PlainCall(
                    request_id=call.request_id, method="POST", path="/bookings"
                ),
                priority=5,
                arrived=call.arrived,
                deadline=call.arrived + DEADLINE,
            )
        )
        return answer.body.decode()

    def in_force(self) -> dict[int, datetime.timedelta]:
        """Returns when each start applied the change, by its events."""
        found = {}
        for start, (_, ring) in enumerate(self.fleet.rings):
            for event in ring.since(0):
                applied = event.kind is events.EventKind.CONFIG_APPLIED
                if applied and int(event.subject) >= self.revision:
                    at = datetime.timedelta(milliseconds=event.monotonic_ms)
                    found.setdefault(start, at)
        return found

    def waiting_at_change(self) -> list[Call]:
        """Returns the requests that waited at the change and were rechecked.

        They were answered by the other model, or refused as not allowed.
        """
        sent = self.sent()
        in_force = self.in_force()
        return [
            call
            for call in self.calls
            if call.team == RESTRICTED_TEAM
            and not call.killed
            and call.request_id not in sent
            and call.arrived < in_force.get(call.start, call.arrived)
            and (call.text or call.error.code is codes.Code.NOT_ALLOWED)
        ]

    def sent(self) -> dict[str, list[datetime.timedelta]]:
        """Returns when requests that need the permission reached servers."""
        sent = collections.defaultdict(list)
        for seen in self.received:
            if seen.needs_permission:
                sent[seen.request_id].append(seen.at)
        return sent

    def ran(self) -> set[str]:
        """Returns the requests that backend servers began to run."""
        generated = {
            run.attempt_id.partition("/")[0]
            for one in self.engines.values()
            for run in one.runs
        }
        return generated | self.service.called


def violations(scenario: PermissionScenario) -> list[str]:
    """Returns the violated rules, by the backend servers' records."""
    found = []
    sent = scenario.sent()
    in_force = scenario.in_force()
    ran = scenario.ran()
    for call in scenario.calls:
        times = sent.get(call.request_id, [])
        if call.team == RESTRICTED_TEAM:
            if any(at > scenario.revoked_at + BOUND for at in times):
                found.append(f"{call.request_id} was sent after the bound")
            known = in_force.get(call.start)
            if known is not None and any(at > known for at in times):
                found.append(f"{call.request_id} was sent against the rules")
        found.extend(_outcome_violations(call, has_run=call.request_id in ran))
    return found


def _outcome_violations(call: Call, *, has_run: bool) -> Iterator[str]:
    if call.killed:
        return
    if call.error is None and call.text is None:
        yield f"{call.request_id} has no end"
    elif call.error is None:
        if not _is_whole(call):
            yield f"{call.request_id} got {call.text!r}"
    elif call.error.run_state is not codes.RunState.NOT_RUN:
        yield f"{call.request_id} lost its answer: {call.error}"
    elif has_run:
        yield f"{call.request_id} ran and was called not run"


def _is_whole(call: Call) -> bool:
    if call.is_plain:
        return call.text == call.request_id
    answer = answers.parse_answer(call.text)
    return answer.whole and answer.marker == call.request_id


def _identity(call: Call) -> ledger.RequestIdentity:
    return ledger.RequestIdentity(
        team=call.team, key=call.request_id, given_by_caller=False
    )


def _team(name: str, *, allowed: bool) -> documents.Team:
    models = (_REVOKED_VERSION.model, _ALLOWED_VERSION.model)
    return documents.Team(
        name=name,
        allowed_models=models if allowed else models[1:],
        plain_routes=(_ROUTE,) if allowed else (),
        tokens=(
            documents.TokenEntry(
                name="calls",
                role=documents.Role.CALLER,
                sha256=_token_sha256(name),
            ),
        ),
    )


def _token_sha256(team: str) -> str:
    return tokens.digest(f"token of {team}")


def _template(team: str, version: engine.ModelVersion) -> documents.Template:
    stage = documents.Stage(
        model=version.model,
        versions=(documents.VersionEntry(version=version.version),),
    )
    return documents.Template(team=team, name=TEMPLATE, stages=(stage,))
