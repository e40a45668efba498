"""A pool of replicas with some requests, or prompt parts, that crash them.

Instances send to the least loaded replica. A replica starts a request
START_DELAY_S after receiving it, and crashes CRASH_DELAY_S after starting a
crashing request, with all requests on it. These are retried as the route
allows, and a caller retries once after a failure.
"""

import dataclasses
import datetime
import random

from bench.models import simulation as simulation_module
from nutmeghook.internal.suspects import evidence
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
# Bounds on what may still be sent hold from this time after the last crash of
# those that identify a crashing request or part.
_LATE_AFTER_S = 3.0
_IDENTIFYING_REQUEST_CRASHES = 3
_IDENTIFYING_PART_CRASHES = 5
# Each prompt begins with the part that all have, then one of its team's, then
# one of its subject's.
_COMMON_PART = b"common"
_TEAM_PARTS = 10
_SUBJECT_PARTS = 200


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """The load and the failures.

    Attributes:
        crashing_requests: Number of distinct requests that crash replicas.
        copies: Number of copies of each that arrive together.
        rate_per_s: Rate of ordinary requests.
        max_duration_s: Ordinary requests run for a random time up to this.
        outages: How often three replicas crash together without a cause.
        crashing_parts: Number of prompt parts that crash replicas.
        part_rate_per_s: Rate of requests, all different, with each of them.
        parts_from_s: When these requests begin.
    """

    crashing_requests: int = 2
    copies: int = 2
    rate_per_s: float = 46.0
    max_duration_s: float = 3.0
    replicas: int = 6
    instances: int = 7
    duration_s: float = 60.0
    outages: int = 0
    crashing_parts: int = 0
    part_rate_per_s: float = 4.0
    parts_from_s: float = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What happened in a scenario.

    Attributes:
        crashes: Replicas that crashed.
        max_late_sends: Most sends of one crashing request later than 3 s after
            its third crash, or with one crashing part after its fifth.
        wrongly_quarantined: Ordinary requests refused as quarantined.
        unanswered: Ordinary requests that were not answered.
        ordinary_requests: All requests that crash no replica.
    """

    crashes: int = 0
    max_late_sends: int = 0
    wrongly_quarantined: int = 0
    unanswered: int = 0
    ordinary_requests: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Cause:
    """A request or prompt part that crashes replicas.

    Attributes:
        identifying_crashes: How many crashes suffice to identify it.
    """

    identity: bytes
    identifying_crashes: int
    crash_times_s: list[float] = dataclasses.field(default_factory=list)
    late_sends: int = 0

    def note_send(self, now_s: float) -> None:
        """Counts a send if it comes late."""
        known = self.crash_times_s[self.identifying_crashes - 1 :]
        if known and now_s > known[0] + _LATE_AFTER_S:
            self.late_sends += 1


class _Request:
    """One request, over all its attempts.

    Attributes:
        cause: What of it crashes replicas; None for an ordinary request.
    """

    __slots__ = (
        "attempts",
        "caller_attempts",
        "cause",
        "identity",
        "instance",
        "parts",
    )

    def __init__(
        self, *, identity: bytes, parts: tuple[bytes, ...], cause: _Cause | None
    ):
        self.identity = identity
        self.parts = parts
        self.cause = cause
        self.instance = 0
        self.attempts = 0
        self.caller_attempts = 0


class _Replica:
    """A replica from its start to its crash."""

    __slots__ = ("number", "requests", "running", "started_s")

    def __init__(self, *, number: int):
        self.number = number
        self.running = True
        self.requests: dict[int, _Request] = {}
        # When each request was started.
        self.started_s: dict[int, float] = {}


class Pool:
    """Simulates one scenario."""

    def __init__(self, *, scenario: Scenario, seed: int):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._simulation = simulation_module.Simulation()
        self._registries = [
            registry_module.SuspectRegistry(
                clock=self._simulation, probe_rank=self._rng.random()
            )
            for _ in range(scenario.instances)
        ]
        self._replicas_started = 0
        self._replicas = [self._new_replica() for _ in range(scenario.replicas)]
        self._causes: list[_Cause] = []
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Runs the scenario and returns its outcome."""
        at_s = 0.0
        while at_s < self._scenario.duration_s:
            at_s += self._rng.expovariate(self._scenario.rate_per_s)
            self._simulation.call_at(at_s, self._ordinary_arrives)
        for _ in range(self._scenario.crashing_requests):
            self._schedule_crashing(self._rng.uniform(1.0, 10.0))
        for number in range(self._scenario.crashing_parts):
            self._schedule_part(b"crashing part %d" % number)
        for _ in range(self._scenario.outages):
            self._simulation.call_at(
                self._rng.uniform(1.0, self._scenario.duration_s), self._outage
            )
        self._simulation.run_until(self._scenario.duration_s + 10.0)
        self.outcome.max_late_sends = max(
            (cause.late_sends for cause in self._causes), default=0
        )
        return self.outcome

    def _new_replica(self) -> _Replica:
        self._replicas_started += 1
        return _Replica(number=self._replicas_started)

    def _new_identity(self) -> bytes:
        return self._rng.randbytes(16)

    def _new_parts(self) -> tuple[bytes, ...]:
        return (
            _COMMON_PART,
            b"team %d" % self._rng.randrange(_TEAM_PARTS),
            b"subject %d" % self._rng.randrange(_SUBJECT_PARTS),
        )

    def _new_cause(
        self, identity: bytes, *, identifying_crashes: int
    ) -> _Cause:
        cause = _Cause(
            identity=identity, identifying_crashes=identifying_crashes
        )
        self._causes.append(cause)
        return cause

    def _ordinary_arrives(self) -> None:
        self.outcome.ordinary_requests += 1
        self._arrive(
            _Request(
                identity=self._new_identity(),
                parts=self._new_parts(),
                cause=None,
            )
        )

    def _schedule_crashing(self, first_s: float) -> None:
        """Schedules copies of a request that crashes replicas."""
        cause = self._new_cause(
            self._new_identity(),
            identifying_crashes=_IDENTIFYING_REQUEST_CRASHES,
        )
        parts = self._new_parts()
        at_s = first_s
        while at_s < self._scenario.duration_s:
            for _ in range(self._scenario.copies):
                copy = _Request(
                    identity=cause.identity, parts=parts, cause=cause
                )
                self._simulation.call_at(
                    at_s + self._rng.uniform(0.0, 0.5),
                    lambda copy=copy: self._arrive(copy),
                )
            at_s += CRASHING_PERIOD_S

    def _schedule_part(self, part: bytes) -> None:
        """Schedules different requests with a part that crashes replicas."""
        cause = self._new_cause(
            part, identifying_crashes=_IDENTIFYING_PART_CRASHES
        )
        at_s = self._scenario.parts_from_s
        while at_s < self._scenario.duration_s:
            request = _Request(
                identity=self._new_identity(),
                parts=(*self._new_parts()[:2], part),
                cause=cause,
            )
            self._simulation.call_at(
                at_s, lambda request=request: self._arrive(request)
            )
            at_s += self._rng.expovariate(self._scenario.part_rate_per_s)

    def _arrive(self, request: _Request) -> None:
        request.caller_attempts += 1
        request.attempts = 0
        request.instance = self._rng.randrange(self._scenario.instances)
        self._send(request)

    def _send(self, request: _Request) -> None:
        registry = self._registries[request.instance]
        if registry.is_quarantined(
            request.identity, request.parts
        ) and not self._try_probe(request):
            self.outcome.wrongly_quarantined += request.cause is None
            self._fail(request)
            return
        running = [replica for replica in self._replicas if replica.running]
        if request.attempts == MAX_ATTEMPTS or not running:
            self._fail(request)
            return
        request.attempts += 1
        if request.cause is not None:
            request.cause.note_send(self._simulation.now_s)
        replica = min(
            running, key=lambda r: (len(r.requests), self._rng.random())
        )
        key = self._rng.getrandbits(64)
        replica.requests[key] = request
        self._call_after(START_DELAY_S, lambda: self._start(replica, key))

    def _try_probe(self, request: _Request) -> bool:
        """Claims a probe of a quarantined request, if one is due."""
        registry = self._registries[request.instance]
        if request.attempts or not registry.try_probe(
            request.identity, request.parts
        ):
            return False
        self._gossip_from(request.instance)
        return True

    def _start(self, replica: _Replica, key: int) -> None:
        request = replica.requests.get(key)
        if not replica.running or request is None:
            return
        replica.started_s[key] = self._simulation.now_s
        if request.cause is not None:
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
        self._registries[request.instance].note_answered(
            request.identity, request.parts
        )
        self._gossip_from(request.instance)

    def _crash_on(self, replica: _Replica, key: int) -> None:
        if replica.running:
            cause = replica.requests[key].cause
            cause.crash_times_s.append(self._simulation.now_s)
            self._crash(replica)

    def _outage(self) -> None:
        running = [replica for replica in self._replicas if replica.running]
        crashed = self._rng.sample(running, min(3, len(running)))
        # None of them takes a retry of a request that another one has lost.
        for replica in crashed:
            replica.running = False
        for replica in crashed:
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
                begun=key in replica.started_s,
                begun_for=datetime.timedelta(
                    seconds=self._simulation.now_s
                    - replica.started_s.get(key, self._simulation.now_s)
                ),
                parts=request.parts,
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
        elif request.cause is None:
            self.outcome.unanswered += 1

    def _gossip_from(self, instance: int) -> None:
        updates = self._registries[instance].take_updates(
            registry_module.MAX_SUSPECTS
        )
        if updates:
            self._call_after(
                GOSSIP_DELAY_S, lambda: self._receive(instance, updates)
            )

    def _receive(self, sender: int, updates: list[evidence.Suspicion]) -> None:
        for instance, registry in enumerate(self._registries):
            if instance != sender:
                for suspicion in updates:
                    registry.merge(suspicion)
                # All instances receive these updates, so none is forwarded.
                registry.take_updates(registry_module.MAX_SUSPECTS)

    def _call_after(self, delay_s: float, callback) -> None:
        self._simulation.call_at(self._simulation.now_s + delay_s, callback)
