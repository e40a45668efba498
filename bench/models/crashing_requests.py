"""A pool of replicas, some requests that end them, and many that don't.

Instances send to the least loaded replica they know of. A replica begins what
it is sent a moment later, and ends, for everybody on it, a moment after it has
begun a crashing request. What it had is sent on, as the route allows, and its
caller tries once more after a failure.
"""

import dataclasses
import random

from bench.models import simulation as simulation_module
from nutmeghook.internal.suspects import registry as registry_module

ATTEMPTS = 3
CALLER_TRIES = 2
BEFORE_BEGIN_S = 0.1
BEGIN_TO_END_S = 0.065
BACK_AFTER_S = 2.7
CALLER_PAUSE_S = 0.3
# From one instance to all others.
TOLD_AFTER_S = 0.005
# From one coming of a crashing request to the next.
COMES_EVERY_S = 5.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Day:
    """What happens.

    Attributes:
        crashing: How many different requests end replicas.
        copies: How many copies of each come at a time.
        rate_per_s: Of other requests.
        lasts_s: Longest that another request runs, at random.
        outages: How often three replicas end by themselves at a time.
    """

    crashing: int = 2
    copies: int = 2
    rate_per_s: float = 46.0
    lasts_s: float = 3.0
    replicas: int = 6
    instances: int = 7
    length_s: float = 60.0
    outages: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What came of a day.

    Attributes:
        ended: Replicas that ended.
        late: Most sends of one crashing request from 3 s after its third end.
        condemned: Other requests that were refused as quarantined.
        lost: Other requests that were not answered.
        others: All other requests.
    """

    ended: int = 0
    late: int = 0
    condemned: int = 0
    lost: int = 0
    others: int = 0


class _Request:
    """One request, over all its attempts."""

    __slots__ = (
        "crashes",
        "ends",
        "identity",
        "instance",
        "late",
        "sent",
        "tries",
    )

    def __init__(self, *, identity: bytes, crashes: bool):
        self.identity = identity
        self.crashes = crashes
        self.ends: list[float] = []
        self.late = 0
        self.instance = 0
        self.sent = 0
        self.tries = 0


class _Copy(_Request):
    """Another caller's attempt of a crashing request; shares its history."""

    __slots__ = ()

    def __init__(self, *, of: _Request):
        super().__init__(identity=of.identity, crashes=True)
        self.ends = of.ends


class _Replica:
    """One start of a replica."""

    __slots__ = ("begun", "number", "up", "working")

    def __init__(self, *, number: int):
        self.number = number
        self.up = True
        self.working: dict[int, _Request] = {}
        self.begun: set[int] = set()


class Pool:
    """Plays one day."""

    def __init__(self, *, day: Day, seed: int):
        self._day = day
        self._draw = random.Random(seed)
        self._simulation = simulation_module.Simulation()
        self._registries = [
            registry_module.SuspectRegistry(clock=self._simulation)
            for _ in range(day.instances)
        ]
        self._numbers = 0
        self._replicas = [self._new_replica() for _ in range(day.replicas)]
        self._late: dict[bytes, int] = {}
        self.outcome = Outcome()

    def play(self) -> Outcome:
        """Returns what came of the day."""
        at_s = 0.0
        while at_s < self._day.length_s:
            at_s += self._draw.expovariate(self._day.rate_per_s)
            self._simulation.call_at(at_s, self._other_comes)
        for _ in range(self._day.crashing):
            self._crashing_comes(self._draw.uniform(1.0, 10.0))
        for _ in range(self._day.outages):
            self._simulation.call_at(
                self._draw.uniform(1.0, self._day.length_s), self._outage
            )
        self._simulation.run_until(self._day.length_s + 10.0)
        self.outcome.late = max(self._late.values(), default=0)
        return self.outcome

    def _new_replica(self) -> _Replica:
        self._numbers += 1
        return _Replica(number=self._numbers)

    def _identity(self) -> bytes:
        return self._draw.randbytes(16)

    def _other_comes(self) -> None:
        self.outcome.others += 1
        self._arrives(_Request(identity=self._identity(), crashes=False))

    def _crashing_comes(self, first_s: float) -> None:
        request = _Request(identity=self._identity(), crashes=True)
        at_s = first_s
        while at_s < self._day.length_s:
            for _ in range(self._day.copies):
                copy = _Copy(of=request)
                self._simulation.call_at(
                    at_s + self._draw.uniform(0.0, 0.5),
                    lambda copy=copy: self._arrives(copy),
                )
            at_s += COMES_EVERY_S

    def _arrives(self, request: _Request) -> None:
        request.tries += 1
        request.sent = 0
        request.instance = self._draw.randrange(self._day.instances)
        self._send(request)

    def _send(self, request: _Request) -> None:
        registry = self._registries[request.instance]
        if registry.is_quarantined(request.identity):
            self.outcome.condemned += not request.crashes
            self._fail(request)
            return
        up = [replica for replica in self._replicas if replica.up]
        if request.sent == ATTEMPTS or not up:
            self._fail(request)
            return
        request.sent += 1
        self._note_late(request)
        replica = min(up, key=lambda r: (len(r.working), self._draw.random()))
        key = self._draw.getrandbits(64)
        replica.working[key] = request
        self._after(BEFORE_BEGIN_S, lambda: self._begins(replica, key))

    def _note_late(self, request: _Request) -> None:
        if len(request.ends) < 3:
            return
        if self._simulation.now_s > request.ends[2] + 3.0:
            self._late[request.identity] = (
                self._late.get(request.identity, 0) + 1
            )

    def _begins(self, replica: _Replica, key: int) -> None:
        request = replica.working.get(key)
        if not replica.up or request is None:
            return
        replica.begun.add(key)
        if request.crashes:
            self._after(BEGIN_TO_END_S, lambda: self._ends_under(replica, key))
            return
        lasts_s = self._draw.uniform(0.1, self._day.lasts_s)
        self._after(lasts_s, lambda: self._answers(replica, key))

    def _answers(self, replica: _Replica, key: int) -> None:
        if not replica.up:
            return
        request = replica.working.pop(key)
        self._registries[request.instance].note_answered(request.identity)
        self._tell_from(request.instance)

    def _ends_under(self, replica: _Replica, key: int) -> None:
        if replica.up:
            replica.working[key].ends.append(self._simulation.now_s)
            self._end(replica)

    def _outage(self) -> None:
        up = [replica for replica in self._replicas if replica.up]
        for replica in self._draw.sample(up, min(3, len(up))):
            self._end(replica)

    def _end(self, replica: _Replica) -> None:
        """Ends a replica for everybody on it."""
        replica.up = False
        self.outcome.ended += 1
        position = self._replicas.index(replica)
        self._after(BACK_AFTER_S, lambda: self._return(position))
        for key, request in replica.working.items():
            self._registries[request.instance].note_crash(
                request.identity,
                replica_hash=replica.number,
                begun=key in replica.begun,
            )
        for instance in range(self._day.instances):
            self._tell_from(instance)
        for request in replica.working.values():
            self._send(request)

    def _return(self, position: int) -> None:
        self._replicas[position] = self._new_replica()

    def _fail(self, request: _Request) -> None:
        if request.tries < CALLER_TRIES:
            self._after(CALLER_PAUSE_S, lambda: self._arrives(request))
        elif not request.crashes:
            self.outcome.lost += 1

    def _tell_from(self, instance: int) -> None:
        news = self._registries[instance].take_updates(
            registry_module.MAX_SUSPECTS
        )
        if news:
            self._after(TOLD_AFTER_S, lambda: self._hear(instance, news))

    def _hear(
        self, told_by: int, news: list[registry_module.Suspicion]
    ) -> None:
        for instance, registry in enumerate(self._registries):
            if instance != told_by:
                for suspicion in news:
                    registry.merge(suspicion)
                # Everybody was told of it already.
                registry.take_updates(registry_module.MAX_SUSPECTS)

    def _after(self, delay_s: float, callback) -> None:
        self._simulation.call_at(self._simulation.now_s + delay_s, callback)
