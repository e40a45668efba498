"""Minimal fakes of what the request path uses, scripted by the test."""

import asyncio
import collections
import dataclasses
import datetime
import random

from nutmeghook.internal.config import tokens
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import dispatcher
from nutmeghook.internal.dispatch import meter
from nutmeghook.internal.dispatch import ratings
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.limits import admission
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.limits import fair_admission
from nutmeghook.internal.limits import token_budget
from nutmeghook.internal.membership import members
from nutmeghook.internal.observe import events
from nutmeghook.internal.routing import backends
from nutmeghook.internal.routing import cascade
from nutmeghook.internal.routing import versions
from nutmeghook.internal.suspects import registry as registry_module
from tests import fake_config
from tests import fake_platform

SMALL = engine.ModelVersion(model="small", version="1")
LARGE = engine.ModelVersion(model="large", version="1")


@dataclasses.dataclass(slots=True, kw_only=True)
class Script:
    """What an engine does with the next `generate`.

    Attributes:
        words: The answer, one token each.
        fails: Raised before the first chunk.
        cut_after: Number of chunks after which the stream breaks.
        order: Indexes of the chunks to send instead of those due; an index
            out of range stands for a chunk of another attempt.
        gate: Awaited before the first chunk.
        goes_silent: The connection stays open after the last chunk sent.
    """

    words: tuple[str, ...] = ("The ", "boiler ", "holds.")
    fails: Exception | None = None
    cut_after: int | None = None
    order: list[int] | None = None
    gate: asyncio.Event | None = None
    goes_silent: bool = False
    finish: engine.FinishReason = engine.FinishReason.STOP


class FakeEngine(engine.Engine):
    """Follows its scripts in order, then the default one."""

    def __init__(self):
        self.scripts: collections.deque[Script] = collections.deque()
        self.default = Script()
        self.texts: dict[str, tuple[str, ...]] = {}
        self.ran = False
        self.generations: list[engine.Generation] = []
        self.cancelled: list[str] = []

    async def generate(self, generation):
        self.generations.append(generation)
        script = self.scripts.popleft() if self.scripts else self.default
        if script.gate is not None:
            await script.gate.wait()
        if script.fails is not None:
            if not isinstance(script.fails, failures.NotDoneError):
                self.ran = True
            raise script.fails
        self.ran = True
        words = self.texts.setdefault(generation.attempt_id, script.words)
        order = script.order
        if order is None:
            order = range(generation.resume_at_token, len(words))
        for number, index in enumerate(order):
            if number == script.cut_after:
                raise failures.OutcomeUnknownError("connection reset")
            yield _chunk(generation.attempt_id, words, index, script.finish)
        if script.goes_silent:
            await asyncio.get_running_loop().create_future()

    async def cancel(self, attempt_id):
        self.cancelled.append(attempt_id)

    async def load_report(self):
        return engine.LoadReport(loaded=(), running=0, waiting=0, capacity=8)

    async def order(self, order):
        raise NotImplementedError

    async def cache_events(self, after_sequence):
        return []

    async def export_cache(self, prefix_hash):
        return None

    async def import_cache(self, prefix_hash, content):
        pass


def _chunk(
    attempt_id: str,
    words: tuple[str, ...],
    index: int,
    finish: engine.FinishReason,
) -> engine.Chunk:
    if not 0 <= index < len(words):
        return engine.Chunk(
            attempt_id="req-0/1",
            token_index=abs(index),
            tokens=1,
            text="crossed",
        )
    is_last = index == len(words) - 1
    return engine.Chunk(
        attempt_id=attempt_id,
        token_index=index,
        tokens=1,
        text=words[index],
        finish=finish if is_last else None,
        prompt_tokens=5 if is_last else 0,
    )


class FakeBackends(backends.BackendChooser):
    """Chooses the first backend server that is not excluded.

    Models in `model_addresses` have these backend servers only.
    """

    def __init__(self, addresses=("e1:1", "e2:1")):
        self.addresses = list(addresses)
        self.model_addresses: dict[str, tuple[str, ...]] = {}
        self.outcomes: list[tuple[str, backends.AttemptOutcome]] = []

    def choose(self, criteria):
        model = criteria.model_version.model if criteria.model_version else ""
        for address in self.model_addresses.get(model, self.addresses):
            if address not in criteria.exclude:
                return backends.Backend(
                    address=address, region="r", data_centre="r-1", service="s"
                )
        return None

    def started(self, backend):
        pass

    def finished(self, backend, *, outcome, duration, report=None):
        self.outcomes.append((backend.address, outcome))


class FakeVersions(versions.VersionChooser):
    """Chooses a stage's first version that is not in `withdrawn`.

    `refusal`, if set, is the code that every choice and check raises.
    """

    def __init__(self):
        self.refusal: codes.Code | None = None
        self.withdrawn: set[engine.ModelVersion] = set()
        self.rolling_out = False
        self.chosen: list[engine.ModelVersion] = []
        self.released: list[engine.ModelVersion] = []

    async def choose(self, *, template, stage_index, session, request_id):
        self._refuse()
        stage = template.stages[stage_index]
        for entry in stage.versions:
            version = engine.ModelVersion(
                model=stage.model, version=entry.version
            )
            if version not in self.withdrawn:
                self.chosen.append(version)
                return versions.VersionChoice(
                    model_version=version, rolling_out=self.rolling_out
                )
        raise errors.CodedError(code=codes.Code.NO_CANDIDATE)

    def check_dispatch(self, *, template, choice):
        self._refuse()
        if choice.model_version in self.withdrawn:
            raise errors.CodedError(code=codes.Code.NOT_ALLOWED)

    def release(self, *, template, choice):
        self.released.append(choice.model_version)

    def _refuse(self):
        if self.refusal is not None:
            raise errors.CodedError(code=self.refusal)


class FakeCascade(cascade.CascadePolicy):
    """Starts at a given stage; accepts and rates as configured."""

    def __init__(self, *, first_stage=1, may_escalate=False):
        self.cascade_plan = cascade.CascadePlan(
            first_stage=first_stage, may_escalate=may_escalate
        )
        self.accepted = True
        self.rated = False

    def plan(self, question):
        return self.cascade_plan

    def accepts(self, question, *, stage_index, answer):
        return self.accepted

    def wants_rating(self, question, *, stage_index):
        return self.rated

    def learn(self, *, team, template, stage_index, quality):
        pass


class FakeBudget(admission.RetryBudget, admission.RetryBudgets):
    """Permits a number of retries, whatever the dependency."""

    def __init__(self, permits=100):
        self.permits = permits

    def budget_for(self, dependency):
        return self

    def note_request(self):
        pass

    def try_spend(self):
        self.permits -= 1
        return self.permits >= 0


def fair_admission_with(
    clock: clock_module.Clock, limit: concurrency_limit.ConcurrencyLimit
) -> fair_admission.FairAdmission:
    """Returns the real admission of a fleet of one instance."""
    alone = members.Member(
        inner_address="i1:1", incarnation="1", region="r", data_centre="r-1"
    )
    return fair_admission.FairAdmission(
        clock=clock,
        randomness=random.Random(1),
        limit=limit,
        budgets=token_budget.TokenBudgets(
            clock=clock, members=members.FixedMemberView(myself=alone)
        ),
    )


class RecordingAdmission(admission.OpenAdmission):
    """Admits all requests and records their reconciled costs."""

    def __init__(self):
        self.used: list[int] = []

    def reconcile(self, request, *, used_tokens):
        self.used.append(used_tokens)


class CountingMeter(meter.NullMeter):
    """Counts some of the calls."""

    def __init__(self):
        self.counts: collections.Counter[str] = collections.Counter()

    def attempt_repeated(self, *, hedged):
        self.counts["hedge" if hedged else "retry"] += 1

    def stream_resumed(self):
        self.counts["resume"] += 1

    def chunk_dropped(self):
        self.counts["chunk dropped"] += 1

    def rating_dropped(self):
        self.counts["rating dropped"] += 1


class Fixture(engine.EngineConnector):
    """A dispatcher with all its dependencies."""

    def __init__(self, *, clock=None, **template_fields):
        self.clock = clock or clock_module.FakeClock()
        self.config = fake_config.MutableConfigView(
            fake_config.snapshot(**template_fields)
        )
        self.engines = collections.defaultdict(FakeEngine)
        self.services = fake_platform.FakeService()
        self.backends = FakeBackends()
        self.versions = FakeVersions()
        self.cascade = FakeCascade()
        self.budget = FakeBudget()
        self.ledger = fake_platform.FakeLedger()
        self.rating_service = fake_platform.FakeRatings()
        self.meter = CountingMeter()
        self.admission = RecordingAdmission()
        self.plain_admission = admission.OpenAdmission()
        self.events = events.EventRing(clock=self.clock)
        self.ratings = ratings.RatingQueue(
            service=self.rating_service,
            clock=self.clock,
            meter=self.meter,
            capacity_tasks=2,
        )

    def connect(self, address):
        return self.engines[address]

    def dispatcher(self) -> dispatcher.Dispatcher:
        return dispatcher.Dispatcher(
            clock=self.clock,
            config=self.config,
            versions=self.versions,
            backends=self.backends,
            engines=self,
            services=self.services,
            cascade=self.cascade,
            admission=self.admission,
            plain_admission=self.plain_admission,
            retry_budgets=self.budget,
            suspects=registry_module.SuspectRegistry(clock=self.clock),
            ledger=self.ledger,
            ratings=self.ratings,
            events=self.events,
            meter=self.meter,
            random_source=random.Random(1),
        )


class RecordingSink(answers.AnswerSink):
    """Records what a caller would have received so far."""

    def __init__(self):
        self.text = ""
        self.detached = False

    async def take(self, text, model_version):
        if not self.detached:
            self.text += text

    def detach(self):
        self.detached = True

    def encode_whole(self, answer):
        return ledger.KeptAnswer(
            status=200, content_type="text/plain", body=answer.text.encode()
        )


def generation_request(
    fixture: Fixture,
    *,
    key: str = "",
    session: str = "",
    deadline_s: float = 30,
) -> requests.GenerationRequest:
    """Returns a request to the template `review`."""
    template = fixture.config.snapshot.template("agency", "review")
    arrived = fixture.clock.monotonic()
    return requests.GenerationRequest(
        request_id="req-1",
        identity=ledger.RequestIdentity(
            team="agency", key=key or "req-1", given_by_caller=bool(key)
        ),
        team=fixture.config.snapshot.teams["agency"],
        token_sha256=tokens.digest(fake_config.TOKEN),
        template=template,
        messages=(engine.Message(role="user", content="Does it hold?"),),
        prompt_chars=13,
        max_tokens=100,
        session=session,
        priority=template.priority,
        arrived=arrived,
        deadline=arrived + datetime.timedelta(seconds=deadline_s),
    )


async def to_end(clock: clock_module.FakeClock, work):
    """Advances time until the work ends, and returns its result."""
    task = asyncio.ensure_future(work)
    for _ in range(2000):
        await asyncio.sleep(0)
        if task.done():
            break
        await clock.advance(datetime.timedelta(milliseconds=50))
    return await task


async def settle():
    """Lets tasks run until each waits for something external."""
    for _ in range(50):
        await asyncio.sleep(0)
