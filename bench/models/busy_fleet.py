"""A fleet under load: callers, entry instances and model engines.

Engines are queues with batching. A caller without an answer by its deadline
retries at once; a refused one retries after the given Retry-After. Admission
and retry budgets are the product's own code or a baseline. The choice of an
engine is not measured here: attempts go to the less loaded of two engines, by
their actual loads.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import random

from bench.models import busy_engine
from bench.models import virtual_loop
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission

MAX_ATTEMPTS = 3
MAX_CALLER_RETRIES = 2
_SECOND = datetime.timedelta(seconds=1)


LOOKUP = busy_engine.RequestKind(
    name="lookup", priority=5, mean_tokens=80, deadline_s=8.0
)
REVIEW = busy_engine.RequestKind(
    name="review", priority=8, mean_tokens=300, deadline_s=32.0
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Demand:
    """The load that one team offers, as a share of the fleet's capacity."""

    team: str
    kind: busy_engine.RequestKind
    capacity_share: float
    from_s: float = 0.0
    until_s: float = float("inf")


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """What is simulated; the default fleet size is today's.

    Attributes:
        reported_slots: The batch size that engines report. They reach less
            than this when long prompts fill their memory.
    """

    demands: tuple[Demand, ...]
    duration_s: float
    brown_out: busy_engine.BrownOut | None = None
    instances: int = 7
    engines: int = 12
    engine_slots: int = 8
    reported_slots: int = 8

    @property
    def capacity_tokens_per_s(self) -> float:
        """The token rate of all engines with full batches."""
        token_interval_s = busy_engine.IDLE_TOKEN_INTERVAL_S * (
            1 + busy_engine.FULL_BATCH_SLOWDOWN
        )
        return self.engines * self.engine_slots / token_interval_s


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """One request as its caller sees it.

    Attributes:
        caller_retries: How often the caller had sent it before.
        answered_s: When the whole answer arrived; None if it did not.
        refused: The caller was told that the work was not run.
    """

    team: str
    kind: busy_engine.RequestKind
    tokens: int
    caller_retries: int
    sent_s: float
    answered_s: float | None = None
    refused: bool = False
    refusal_wait_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """What happened; `attempts_s` are the times at which attempts were sent."""

    scenario: Scenario
    caller_requests: list[CallerRequest] = dataclasses.field(
        default_factory=list
    )
    attempts_s: list[float] = dataclasses.field(default_factory=list)
    first_attempts_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """The limits of one instance."""

    admission: admission.Admission
    retries: admission.RetryBudget


LimitsFactory = Callable[
    [virtual_loop.LoopClock, random.Random, Scenario], Limits
]


class Fleet:
    """The instances' dispatchers and the callers."""

    def __init__(
        self, *, scenario: Scenario, factory: LimitsFactory, seed: int
    ):
        self._loop = virtual_loop.VirtualLoop()
        self._clock = virtual_loop.LoopClock(loop=self._loop)
        self._random = random.Random(seed)
        self._scenario = scenario
        self._engines = [
            busy_engine.Engine(
                clock=self._clock,
                randomness=self._random,
                slots=scenario.engine_slots,
                brown_out=scenario.brown_out,
            )
            for _ in range(scenario.engines)
        ]
        self._instances = [
            factory(self._clock, random.Random(seed + index), scenario)
            for index in range(scenario.instances)
        ]
        self._callers: set[asyncio.Task[None]] = set()
        self._result = Result(scenario=scenario)

    def run(self) -> Result:
        """Runs the scenario to its end."""
        virtual_loop.run(self._loop, self._run())
        return self._result

    async def _run(self) -> None:
        arrivals = [
            asyncio.ensure_future(self._generate_arrivals(demand))
            for demand in self._scenario.demands
        ]
        await asyncio.sleep(self._scenario.duration_s)
        for task in arrivals:
            task.cancel()

    async def _generate_arrivals(self, demand: Demand) -> None:
        tokens_per_s = (
            demand.capacity_share * self._scenario.capacity_tokens_per_s
        )
        per_s = tokens_per_s / demand.kind.mean_tokens
        await asyncio.sleep(demand.from_s)
        while self._loop.time() < demand.until_s:
            await asyncio.sleep(self._random.expovariate(per_s))
            caller = asyncio.ensure_future(self._run_caller(demand))
            self._callers.add(caller)
            caller.add_done_callback(self._callers.discard)

    async def _run_caller(self, demand: Demand) -> None:
        mean_tokens = demand.kind.mean_tokens
        size = self._random.gammavariate(4.0, mean_tokens / 4.0)
        tokens = max(1, round(min(size, 2.0 * mean_tokens)))
        for caller_retries in range(MAX_CALLER_RETRIES + 1):
            caller_request = CallerRequest(
                team=demand.team,
                kind=demand.kind,
                tokens=tokens,
                caller_retries=caller_retries,
                sent_s=self._loop.time(),
            )
            self._result.caller_requests.append(caller_request)
            retry_after_s = await self._send(caller_request)
            if retry_after_s is None:
                return
            await asyncio.sleep(retry_after_s)

    async def _send(self, caller_request: CallerRequest) -> float | None:
        """Sends it once; returns the retry delay, or None if answered."""
        limits = self._random.choice(self._instances)
        try:
            async with asyncio.timeout(caller_request.kind.deadline_s):
                await self._serve(caller_request, limits)
        except errors.CodedError as error:
            caller_request.refused = True
            caller_request.refusal_wait_s = (
                self._loop.time() - caller_request.sent_s
            )
            return (error.retry_after or _SECOND) / _SECOND
        except (TimeoutError, busy_engine.EngineFailedError):
            return 0.0
        except busy_engine.EngineRefusedError:
            caller_request.refused = True
            return 1.0
        caller_request.answered_s = self._loop.time()
        return None

    async def _serve(
        self, caller_request: CallerRequest, limits: Limits
    ) -> None:
        deadline_s = caller_request.sent_s + caller_request.kind.deadline_s
        request = admission.AdmissionRequest(
            team=caller_request.team,
            template=caller_request.kind.name,
            weight=1.0,
            priority=caller_request.kind.priority,
            deadline=deadline_s * _SECOND,
            cost_tokens=caller_request.kind.mean_tokens,
        )
        async with limits.admission.admitted(request):
            await self._run_attempts(caller_request, limits)

    async def _run_attempts(
        self, caller_request: CallerRequest, limits: Limits
    ) -> None:
        limits.retries.note_request()
        self._result.first_attempts_s.append(self._loop.time())
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                await self._run_attempt(caller_request, limits)
                return
            except (
                busy_engine.EngineRefusedError,
                busy_engine.EngineFailedError,
            ):
                may_retry = attempt < MAX_ATTEMPTS
                if not (may_retry and limits.retries.try_spend()):
                    raise

    async def _run_attempt(
        self, caller_request: CallerRequest, limits: Limits
    ) -> None:
        started_s = self._loop.time()
        self._result.attempts_s.append(started_s)
        engine = min(self._random.sample(self._engines, 2), key=_load)
        overloaded = False
        try:
            await engine.generate(caller_request.kind, caller_request.tokens)
        except busy_engine.EngineRefusedError:
            overloaded = True
            raise
        finally:
            limits.admission.note_service(
                duration=(self._loop.time() - started_s) * _SECOND,
                overloaded=overloaded,
                work_tokens=caller_request.tokens,
            )


def _load(engine: busy_engine.Engine) -> int:
    return engine.load
