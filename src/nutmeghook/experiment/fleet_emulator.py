"""Emulates a fleet of instances and engines in virtual time.

The choice of replica, the load gossip and the choice of model are the
production code. Emulated are the callers, who arrive at random, and the
engines, which prefill prompts one at a time. There is no network and there are
no tasks; the same seed gives the same result.
"""

from collections.abc import Callable
import dataclasses
import datetime
import heapq
import itertools
import random

from nutmeghook.experiment import emulated_fleet
from nutmeghook.experiment import emulated_outcome
from nutmeghook.internal.relay import model_choice
from nutmeghook.internal.replicas import backlog as backlog_module
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.replicas import load_gossip
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.routes import model

# One way between an instance and a replica.
_NETWORK_DELAY_S = 0.001
# From the end of the prefill to the first event.
_FIRST_STEP_S = 0.04
# From the first event to the last, without pauses for prefill.
_GENERATION_S = 0.8


@dataclasses.dataclass(slots=True, kw_only=True)
class _Request:
    arrived_s: float
    tokens: int
    key: str
    confidence: int
    poor: bool
    model_index: int = 0


class FleetEmulator:
    """Runs one load with one policy for models and one for replicas."""

    def __init__(
        self,
        *,
        load: emulated_fleet.Load,
        models: model_choice.ModelChoice,
        seed: int,
        chooser_type: type[
            choice_module.ReplicaChooser
        ] = choice_module.ReplicaChooser,
        shares_loads: bool = True,
    ):
        self._load = load
        self._models = models
        self._draw = random.Random(seed)
        self._clock = emulated_fleet.VirtualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._engines = [emulated_fleet.Engine() for _ in range(load.replicas)]
        self._shares_loads = shares_loads
        receivers: dict = {}
        self._instances = [
            emulated_fleet.Instance(
                number=number,
                load=load,
                clock=self._clock,
                receivers=receivers,
                draw=self._draw,
                chooser_type=chooser_type,
            )
            for number in range(load.instances)
        ]
        self._route = model.Route(
            name="route",
            host="h",
            prefix="/",
            kind=model.RouteKind.STREAM,
            shares=(
                model.ServiceShare(service=emulated_fleet.SERVICE, weight=1.0),
            ),
            time_limit=datetime.timedelta(seconds=8),
            target=datetime.timedelta(milliseconds=1500),
            attempts=3,
            priority=1,
            models=("small", "large"),
        )
        self.outcome = emulated_outcome.Outcome()

    def run(self) -> emulated_outcome.Outcome:
        """Runs the load to its end and returns the outcome."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.1, self._gossip)
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self._clock.at_s = at_s
            action()
        return self.outcome

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _gossip(self) -> None:
        if self._clock.at_s > self._load.duration_s:
            return
        self._update_replicas()
        self.outcome.queues.append(
            emulated_outcome.QueueSample(
                at_s=self._clock.at_s,
                waiting=sum(len(engine.queue) for engine in self._engines),
            )
        )
        if self._shares_loads:
            for instance in self._instances:
                instance.gossip.send_update()
                instance.backlogs.send_update()
        period_s = load_gossip.GOSSIP_PERIOD.total_seconds()
        self._schedule(self._clock.at_s + period_s, self._gossip)

    def _update_replicas(self) -> None:
        living = self._load.replicas_at(self._clock.at_s)
        for instance in self._instances:
            for number in range(self._load.replicas):
                if number < living:
                    instance.directory.put(emulated_fleet.replica_entry(number))
                else:
                    instance.directory.remove(
                        emulated_fleet.replica_entry(number).replica_id
                    )

    def _arrive(self) -> None:
        now_s = self._clock.at_s
        if now_s > self._load.duration_s:
            return
        confidence = self._draw.randrange(101)
        request = _Request(
            arrived_s=now_s,
            tokens=round(
                self._load.prompt_tokens * self._draw.gammavariate(2, 0.5)
            ),
            key=f"prompt {self._draw.randrange(400)}",
            confidence=confidence,
            poor=self._draw.random() < model_choice.poor_share(confidence),
        )
        self._send(self._draw.choice(self._instances), request)
        gap_s = self._draw.expovariate(self._load.per_s(now_s))
        self._schedule(now_s + gap_s, self._arrive)

    def _send(
        self, instance: emulated_fleet.Instance, request: _Request
    ) -> None:
        model_name = self._route.models[request.model_index]
        chosen = instance.chooser.choose(self._criteria(instance, request))
        replica = chosen.replica
        prefill = backlog_module.Prefill(
            time=chosen.forecast.prefill, urgent=request.model_index == 0
        )
        replica.in_flight += 1
        instance.directory.begin_prefill(replica, prefill)
        sent_s = self._clock.at_s
        engine = self._engines[int(replica.entry.replica_id)]

        def begin() -> None:
            engine.running += 1
            instance.directory.end_prefill(replica, prefill)
            began_s, prefill_s = self._clock.at_s, engine.prefill_s
            self._schedule(
                began_s + _GENERATION_S, lambda: end(began_s, prefill_s)
            )
            instance.directory.note_load(
                replica, running=engine.running, waiting=len(engine.queue)
            )
            instance.times.note_first_event(
                model_name,
                waiting=chosen.forecast.waiting,
                tokens=request.tokens,
                took=datetime.timedelta(seconds=self._clock.at_s - sent_s),
            )
            self._handle_first_event(instance, request)

        def end(began_s: float, prefill_s: float) -> None:
            stalled_s = engine.prefill_s - prefill_s
            if stalled_s > 0:
                again_s, now_prefill_s = (
                    self._clock.at_s + stalled_s,
                    engine.prefill_s,
                )
                self._schedule(again_s, lambda: end(began_s, now_prefill_s))
                return
            engine.running -= 1
            replica.in_flight -= 1
            self.outcome.generation_times_s.append(self._clock.at_s - began_s)

        urgency = 3 * request.model_index
        self._schedule(
            sent_s + _NETWORK_DELAY_S,
            lambda: self._enqueue(engine, urgency, request, begin),
        )

    def _criteria(
        self,
        instance: emulated_fleet.Instance,
        request: _Request,
        model_index: int | None = None,
    ) -> choice_module.ReplicaCriteria:
        index = request.model_index if model_index is None else model_index
        name = self._route.models[index]
        return choice_module.ReplicaCriteria(
            service=emulated_fleet.SERVICE,
            accepts=lambda entry: True,
            key=f"{index}/{request.key}",
            exclude=frozenset(),
            prompt=replica_forecast.Prompt(
                prefix=datetime.timedelta(),
                suffix=instance.times.prefill_time(name, request.tokens),
                urgent=index == 0,
                target=self._route.target,
            ),
        )

    def _enqueue(
        self,
        engine: emulated_fleet.Engine,
        urgency: int,
        request: _Request,
        begin: Callable[[], None],
    ) -> None:
        per_s = self._load.prefill_tokens_per_s[request.model_index]
        duration_s = request.tokens / per_s

        def prefill() -> None:
            now_s = self._clock.at_s
            engine.busy_until_s = now_s + duration_s
            engine.prefill_s += duration_s
            self._schedule(engine.busy_until_s + _FIRST_STEP_S, begin)
            self._schedule(
                engine.busy_until_s, lambda: self._start_next_prefill(engine)
            )

        heapq.heappush(engine.queue, (urgency, next(self._order), prefill))
        if engine.busy_until_s <= self._clock.at_s:
            self._start_next_prefill(engine)

    def _start_next_prefill(self, engine: emulated_fleet.Engine) -> None:
        if engine.queue and engine.busy_until_s <= self._clock.at_s:
            heapq.heappop(engine.queue)[2]()

    def _handle_first_event(
        self, instance: emulated_fleet.Instance, request: _Request
    ) -> None:
        if request.model_index == 0 and self._is_escalated(instance, request):
            request.model_index = 1
            request.poor = False
            self._send(instance, request)
            return
        self._record_answer(request)

    def _is_escalated(
        self, instance: emulated_fleet.Instance, request: _Request
    ) -> bool:
        larger = self._route.models[1]
        waiting = instance.directory.baseline_load(
            emulated_fleet.SERVICE
        ).waiting
        forecast = instance.chooser.forecast(
            self._criteria(instance, request, 1)
        )
        return self._models.prefers_larger(
            self._route,
            model_choice.EscalationContext(
                confidence=request.confidence,
                elapsed=datetime.timedelta(
                    seconds=self._clock.at_s - request.arrived_s
                ),
                relative_size=request.tokens / self._load.prompt_tokens,
                price=self._load.model_prices[1] * request.tokens / 1000 / 2,
                first_event=instance.times.time_to_first_event(
                    larger, waiting=forecast.waiting, tokens=request.tokens
                ),
                generation=datetime.timedelta(seconds=_GENERATION_S),
                time_left=self._route.time_limit,
                waiting=waiting,
            ),
        )

    def _record_answer(self, request: _Request) -> None:
        wait_s = self._clock.at_s - request.arrived_s
        size_utility = 0.3 + 0.7 * request.tokens / self._load.prompt_tokens
        utility = model_choice.Utility()
        share = utility.poor if request.poor else 1.0
        if wait_s > self._route.target.total_seconds():
            share *= utility.late
        self.outcome.answered.append(
            emulated_outcome.AnsweredRequest(
                arrived_s=request.arrived_s,
                wait_s=wait_s,
                max_utility=size_utility,
                utility=share * size_utility,
                model_index=request.model_index,
            )
        )
