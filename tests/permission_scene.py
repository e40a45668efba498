"""A fleet under load whose instances are killed while a team loses a right.

The team loses a model, which its template then replaces by another one (a
template may not name a model that its team isn't allowed), and a plain route.

Real are the configuration's spread, the rules, the queues and the dispatch.
Model engines and plain services are stand-ins that note all that reaches
them, and when; they judge, not the instances. All time is virtual.
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
LOSER = "loser"
KEEPER = "keeper"
SERVICE = "crew"
TEMPLATE = "review"
BOUND = trial_module.CONFIG_BOUND
# Of each instance; less than the load needs, so that requests wait in queues
# across the change.
PLACES = 2
ENGINES = 4
REQUEST_EVERY = SECOND / 60
DEADLINE = 8 * SECOND
CALL_TIME = 3 * SECOND / 2
# An engine that is out of order takes so long to refuse.
REFUSAL_TIME = 3 * SECOND / 10
_TAKEN = engine.ModelVersion(model="small", version="1")
_LEFT = engine.ModelVersion(model="other", version="1")
_ROUTE = documents.PlainRoute(service=SERVICE, path_prefix="/bookings")


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A caller's request.

    Attributes:
        start: Which start of an instance took it, by its place among rings.
        killed: Its instance was killed with it.
        error: What the caller was told, if there is no answer.
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
    """One start of an instance: dispatch by its own configuration.

    Attributes:
        calls: Requests under way, by the task that runs them.
    """

    def __init__(self, *, scene: "Scene", start: int, address: str):
        self.address = address
        self.start = start
        self.replica = scene.fleet.parts[address].replica
        self.calls: dict[asyncio.Task, Call] = {}
        clock = scene.fleet.clock
        fixture = fakes.Fixture(clock=clock)
        fixture.config = self.replica
        fixture.versions = version_choice.ConfiguredVersionChooser(
            view=self.replica,
            pins=versions_fleet.MemoryPins(),
            gate=versions_fleet.CountingGate(),
        )
        fixture.backends = recording_servers.AnyBackend(
            addresses=list(scene.engines), draw=scene.draw
        )
        fixture.engines = scene.engines
        fixture.services = scene.service
        fixture.cascade = fakes.FakeCascade(first_stage=0)
        fixture.admission, fixture.plain_admission = (
            fakes.fair_admission_with(
                clock, concurrency_limit.FixedLimit(places=PLACES)
            )
            for _ in range(2)
        )
        self.dispatcher = fixture.dispatcher()

    def kill(self) -> None:
        """Ends all that it has in hand, without a word to anyone."""
        for task, call in self.calls.items():
            call.killed = True
            task.cancel()


class Scene:
    """A fleet, its callers, and the backend servers' notes.

    Attributes:
        seen: What reached backend servers.
        taken_away: When the change was accepted.
        revision: Of the change.
    """

    def __init__(self, *, seed: int):
        self.draw = random.Random(seed)
        self.fleet = config_fleet.ConfigFleet(per_data_centre=3)
        self.received: list[recording_servers.ReceivedRequest] = []
        self.calls: list[Call] = []
        self.taken_away: datetime.timedelta | None = None
        self.revision = 0
        clock = self.fleet.clock
        self.engines = {
            f"10.0.9.{number}:80": recording_servers.RecordingEngine(
                received=self.received,
                restricted=_TAKEN,
                clock=clock,
                loaded=(_TAKEN, _LEFT),
            )
            for number in range(ENGINES)
        }
        out_of_order = next(iter(self.engines.values()))
        out_of_order.settings = engine_settings.EngineSettings(
            refuses_work=True
        )
        out_of_order.faults.delay = REFUSAL_TIME
        self.service = recording_servers.RecordingService(
            received=self.received, takes=CALL_TIME, clock=clock
        )
        self.instances: dict[str, Instance] = {}

    def start(self, *addresses: str) -> None:
        """Starts instances, or starts them anew; all if not named."""
        for address in addresses or self.fleet.addresses:
            self.fleet.start(address)
            self.instances[address] = Instance(
                scene=self, start=len(self.fleet.rings) - 1, address=address
            )

    def cut_off(self, address: str) -> None:
        """Cuts an instance off from all its peers, not from the store."""
        for other in self.fleet.addresses:
            self.fleet.network.cut_both_ways(address, other)

    async def kill(self, address: str) -> None:
        """Ends an instance as SIGKILL would."""
        self.instances.pop(address).kill()
        await self.fleet.crash(address)

    async def set_up(self) -> None:
        """Starts the fleet and puts the first configuration in force."""
        self.start()
        models = tuple(
            documents.ModelEntry(
                name=version.model,
                prompt_token_cost_micros=1,
                output_token_cost_micros=4,
            )
            for version in (_TAKEN, _LEFT)
        )
        teams = (LOSER, KEEPER)
        await self._accept(
            edits.ImportDocuments(
                expected_revision=0,
                fleet=documents.Fleet(models=models),
                teams=tuple(_team(name, allowed=True) for name in teams),
                templates=tuple(_template(name, _TAKEN) for name in teams),
            ),
            through=self.fleet.addresses[0],
        )
        await self.fleet.clock.advance(BOUND)

    async def take_away(self, *, through: str) -> None:
        """Has an operator take the team's model and route away."""
        record = await self._accept(
            edits.ImportDocuments(
                expected_revision=self.instances[through].replica.revision,
                teams=(_team(LOSER, allowed=False),),
                templates=(_template(LOSER, _LEFT),),
            ),
            through=through,
        )
        self.revision = record.revision
        clock = self.fleet.clock
        self.taken_away = clock.monotonic() - (clock.now() - record.settled_at)

    async def _accept(self, edit: edits.Edit, *, through: str):
        change = config_fleet.operation(f"op-{self.draw.random()}", edit)
        record = await self.fleet.accept(through, change)
        assert record.revision, record
        return record

    async def load(self, duration: datetime.timedelta) -> None:
        """Sends requests of both teams to living instances."""
        clock = self.fleet.clock
        end = clock.monotonic() + duration
        while clock.monotonic() < end:
            self._send()
            await clock.sleep(REQUEST_EVERY)

    def _send(self) -> None:
        instance = self.draw.choice(list(self.instances.values()))
        call = Call(
            request_id=f"r{len(self.calls)}",
            team=self.draw.choice((LOSER, KEEPER)),
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
        """Returns when each start had the change in force, by its notes."""
        found = {}
        for start, (_, ring) in enumerate(self.fleet.rings):
            for event in ring.since(0):
                applied = event.kind is events.EventKind.CONFIG_APPLIED
                if applied and int(event.subject) >= self.revision:
                    at = datetime.timedelta(milliseconds=event.monotonic_ms)
                    found.setdefault(start, at)
        return found

    def held_back(self) -> list[Call]:
        """Returns what waited when the right went, and was judged anew.

        It went on with what the team has left, or was told so.
        """
        sent = self.sent()
        in_force = self.in_force()
        return [
            call
            for call in self.calls
            if call.team == LOSER
            and not call.killed
            and call.request_id not in sent
            and call.arrived < in_force.get(call.start, call.arrived)
            and (call.text or call.error.code is codes.Code.NOT_ALLOWED)
        ]

    def sent(self) -> dict[str, list[datetime.timedelta]]:
        """Returns when requests that need the right reached servers."""
        sent = collections.defaultdict(list)
        for seen in self.received:
            if seen.needs_permission:
                sent[seen.request_id].append(seen.at)
        return sent

    def ran(self) -> set[str]:
        """Returns the requests that backend servers began to work on."""
        generated = {
            run.attempt_id.partition("/")[0]
            for one in self.engines.values()
            for run in one.runs
        }
        return generated | self.service.called


def violations(scene: Scene) -> list[str]:
    """Returns what did not hold, by the backend servers' notes."""
    found = []
    sent = scene.sent()
    in_force = scene.in_force()
    ran = scene.ran()
    for call in scene.calls:
        times = sent.get(call.request_id, [])
        if call.team == LOSER:
            if any(at > scene.taken_away + BOUND for at in times):
                found.append(f"{call.request_id} was sent after the bound")
            known = in_force.get(call.start)
            if known is not None and any(at > known for at in times):
                found.append(f"{call.request_id} was sent against the rules")
        found.extend(_of_end(call, has_run=call.request_id in ran))
    return found


def _of_end(call: Call, *, has_run: bool) -> Iterator[str]:
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
    seen = answers.read_answer(call.text)
    return seen.whole and seen.marker == call.request_id


def _identity(call: Call) -> ledger.RequestIdentity:
    return ledger.RequestIdentity(
        team=call.team, key=call.request_id, given_by_caller=False
    )


def _team(name: str, *, allowed: bool) -> documents.Team:
    models = (_TAKEN.model, _LEFT.model)
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
