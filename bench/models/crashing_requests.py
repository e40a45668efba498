"""A pool of replicas with some requests that crash them.

Instances send to the least loaded replica. A replica starts a request
START_DELAY_S after receiving it, and crashes CRASH_DELAY_S after starting a
crashing request, with all requests on it. These are retried as the route
allows, and a caller retries once after a failure.
"""

import dataclasses
import random

from bench.models import simulation as simulation_module
from nutmeghook.internal.suspects import registry as registry_module

MAX_ATTEMPTS = 3
MAX_CALLER_ATTEMPTS = 2
START_DELAY_S = 0.1
CRASH_DELAY_S = 0.065
RESTART_DELAY_S = 2.7
CALLER_RETRY_DELAY_S = 0.3
# Delay of an update from one instance to all others.
GOSSIP_DELAY_S = 0.005
# Time between two arrivals of a crashing request.
CRASHING_PERIOD_S = 5.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """The load and the failures.

    Attributes:
        crashing_requests: Number of distinct requests that crash replicas.
        copies: Number of copies of each that arrive together.
        rate_per_s: Rate of ordinary requests.
        max_duration_s: Ordinary requests run for a random time up to this.
        outages: How often three replicas crash together without a cause.
    """

    crashing_requests: int = 2
    copies: int = 2
    rate_per_s: float = 46.0
    max_duration_s: float = 3.0
    replicas: int = 6
    instances: int = 7
    duration_s: float = 60.0
    outages: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What happened in a scenario.

    Attributes:
        crashes: Replicas that crashed.
        max_late_sends: Most sends of one crashing request later than 3 s after
            its third crash.
        wrongly_quarantined: Ordinary requests refused as quarantined.
        unanswered: Ordinary requests that were not answered.
        ordinary_requests: All requests that crash no replica.
    """

    crashes: int = 0
    max_late_sends: int = 0
    wrongly_quarantined: int = 0
    unanswered: int = 0
    ordinary_requests: int = 0


class _Request:
    """One request, over all its attempts."""

    __slots__ = (
        "attempts",
        "caller_attempts",
        "crash_times_s",
        "crashes",
        "identity",
        "instance",
        "late_sends",
    )

    def __init__(self, *, identity: bytes, crashes: bool):
        self.identity = identity
        self.crashes = crashes
        self.crash_times_s: list[float] = []
        self.late_sends = 0
        self.instance = 0
        self.attempts = 0
        self.caller_attempts = 0


class _Copy(_Request):
    """A copy of a crashing request from another caller; shares its crashes."""

    __slots__ = ()

    def __init__(self, *, of: _Request):
        super().__init__(identity=of.identity, crashes=True)
        self.crash_times_s = of.crash_times_s


class _Replica:
    """A replica from its start to its crash."""

    __slots__ = ("number", "requests", "running", "started")

    def __init__(self, *, number: int):
        self.number = number
        self.running = True
        self.requests: dict[int, _Request] = {}
        self.started: set[int] = set()


class Pool:
    """Simulates one scenario."""

    def __init__(self, *, scenario: Scenario, seed: int):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._simulation = simulation_module.Simulation()
        self._registries = [
            registry_module.SuspectRegistry(clock=self._simulation)
            for _ in range(scenario.instances)
        ]
        self._replicas_started = 0
        self._replicas = [self._new_replica() for _ in range(scenario.replicas)]
        self._late_sends: dict[bytes, int] = {}
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Runs the scenario and returns its outcome."""
        at_s = 0.0
        while at_s < self._scenario.duration_s:
            at_s += self._rng.expovariate(self._scenario.rate_per_s)
            self._simulation.call_at(at_s, self._ordinary_arrives)
        for _ in range(self._scenario.crashing_requests):
            self._schedule_crashing(self._rng.uniform(1.0, 10.0))
        for _ in range(self._scenario.outages):
            self._simulation.call_at(
                self._rng.uniform(1.0, self._scenario.duration_s), self._outage
            )
        self._simulation.run_until(self._scenario.duration_s + 10.0)
        self.outcome.max_late_sends = max(self._late_sends.values(), default=0)
        return self.outcome

    def _new_replica(self) -> _Replica:
        self._replicas_started += 1
        return _Replica(number=self._replicas_started)

    def _new_identity(self) -> bytes:
        return self._rng.randbytes(16)

    def _ordinary_arrives(self) -> None:
        self.outcome.ordinary_requests += 1
        self._arrive(_Request(identity=self._new_identity(), crashes=False))

    def _schedule_crashing(self, first_s: float) -> None:
        request = _Request(identity=self._new_identity(), crashes=True)
        at_s = first_s
        while at_s < self._scenario.duration_s:
            for _ in range(self._scenario.copies):
                copy = _Copy(of=request)
                self._simulation.call_at(
                    at_s + self._rng.uniform(0.0, 0.5),
                    lambda copy=copy: self._arrive(copy),
                )
            at_s += CRASHING_PERIOD_S

    def _arrive(self, request: _Request) -> None:
        request.caller_attempts += 1
        request.attempts = 0
        request.instance = self._rng.randrange(self._scenario.instances)
        self._send(request)

    def _send(self, request: _Request) -> None:
        registry = self._registries[request.instance]
        if registry.is_quarantined(request.identity):
            self.outcome.wrongly_quarantined += not request.crashes
            self._fail(request)
            return
        running = [replica for replica in self._replicas if replica.running]
        if request.attempts == MAX_ATTEMPTS or not running:
            self._fail(request)
            return
        request.attempts += 1
        self._count_late_send(request)
        replica = min(
            running, key=lambda r: (len(r.requests), self._rng.random())
        )
        key = self._rng.getrandbits(64)
        replica.requests[key] = request
        self._call_after(START_DELAY_S, lambda: self._start(replica, key))

    def _count_late_send(self, request: _Request) -> None:
        if len(request.crash_times_s) < 3:
            return
        if self._simulation.now_s > request.crash_times_s[2] + 3.0:
            self._late_sends[request.identity] = (
                self._late_sends.get(request.identity, 0) + 1
            )

    def _start(self, replica: _Replica, key: int) -> None:
        request = replica.requests.get(key)
        if not replica.running or request is None:
            return
        replica.started.add(key)
        if request.crashes:
            self._call_after(
                CRASH_DELAY_S, lambda: self._crash_on(replica, key)
            )
            return
        request_s = self._rng.uniform(0.1, self._scenario.max_duration_s)
        self._call_after(request_s, lambda: self._answer(replica, key))

    def _answer(self, replica: _Replica, key: int) -> None:
        if not replica.running:
            return
        request = replica.requests.pop(key)
        self._registries[request.instance].note_answered(request.identity)
        self._gossip_from(request.instance)

    def _crash_on(self, replica: _Replica, key: int) -> None:
        if replica.running:
            replica.requests[key].crash_times_s.append(self._simulation.now_s)
            self._crash(replica)

    def _outage(self) -> None:
        running = [replica for replica in self._replicas if replica.running]
        for replica in self._rng.sample(running, min(3, len(running))):
            self._crash(replica)

    def _crash(self, replica: _Replica) -> None:
        """Crashes a replica with all requests on it."""
        replica.running = False
        self.outcome.crashes += 1
        position = self._replicas.index(replica)
        self._call_after(RESTART_DELAY_S, lambda: self._restart(position))
        for key, request in replica.requests.items():
            self._registries[request.instance].note_crash(
                request.identity,
                replica_hash=replica.number,
                begun=key in replica.started,
            )
        for instance in range(self._scenario.instances):
            self._gossip_from(instance)
        for request in replica.requests.values():
            self._send(request)

    def _restart(self, position: int) -> None:
        self._replicas[position] = self._new_replica()

    def _fail(self, request: _Request) -> None:
        if request.caller_attempts < MAX_CALLER_ATTEMPTS:
            self._call_after(
                CALLER_RETRY_DELAY_S, lambda: self._arrive(request)
            )
        elif not request.crashes:
            self.outcome.unanswered += 1

    def _gossip_from(self, instance: int) -> None:
        updates = self._registries[instance].take_updates(
            registry_module.MAX_SUSPECTS
        )
        if updates:
            self._call_after(
                GOSSIP_DELAY_S, lambda: self._receive(instance, updates)
            )

    def _receive(
        self, sender: int, updates: list[registry_module.Suspicion]
    ) -> None:
        for instance, registry in enumerate(self._registries):
            if instance != sender:
                for suspicion in updates:
                    registry.merge(suspicion)
                # All instances receive these updates, so none is forwarded.
                registry.take_updates(registry_module.MAX_SUSPECTS)

    def _call_after(self, delay_s: float, callback) -> None:
        self._simulation.call_at(self._simulation.now_s + delay_s, callback)
