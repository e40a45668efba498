"""Which replica a request goes to."""

from collections.abc import Callable
import dataclasses
import datetime
import itertools
import math

import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import kept_parts
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_gate

# Time constant with which a replica's own report gives way to the usual load of
# its service. Dropped at once, it would leave this instance's own attempts
# only, a small part of what runs there.
REPORT_LIFE = datetime.timedelta(milliseconds=500)
# Running requests that one waiting request counts as.
WAITING_WEIGHT = 5.0
# Replicas that are compared for a request without a prompt, in the own data
# centre and in the others. Comparing few spreads instances that know the same
# reports, which are half a second old.
NEAR_COMPARED = 2
FAR_COMPARED = 1
# Load per slot that is added for a replica in another data centre.
REMOTE_LOAD = 0.6
# Load per slot that a failure rate of 1 stands for.
FAILURE_LOAD = 1.0

# Replicas that are compared for a prompt: the first for its key of all, and of
# the own data centre. All instances agree on the first of all, so each shared
# part is read there once.
HOMES_COMPARED = 3
NEAR_HOMES_COMPARED = 1
# Probability that the first replica for a key keeps its shared parts.
HOME_KEPT = 0.5
# Part of the reading of large models that a small one's prompt waits for,
# although it goes first: engines read in chunks, those of all in turn.
SHARE_OF_LATER = 0.5
# Part of a prompt's reading time that counts for each request that runs at its
# replica, which generates nothing meanwhile.
OTHERS_SHARE = 0.3
# By how much sooner a replica of another data centre has to answer: the price
# of the bytes between data centres, which no message tells.
REMOTE_DELAY = datetime.timedelta(milliseconds=100)

_Test = Callable[[replica_module.Replica], bool]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Prompt:
    """What an engine has to read for a request.

    Attributes:
        shared: How long its parts that others share take, if none is kept.
        own: How long the rest takes.
        urgent: It is read before what is not.
        target: An answer within this time has its full worth.
    """

    shared: datetime.timedelta
    own: datetime.timedelta
    urgent: bool
    target: datetime.timedelta


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Forecast:
    """When a replica is expected to begin its answer.

    Attributes:
        waiting: For what it reads before.
        reading: Of the prompt itself, without what is kept.
        kept: How likely the shared parts of the prompt are kept.
    """

    replica: replica_module.Replica
    waiting: datetime.timedelta
    reading: datetime.timedelta
    kept: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """Where a request goes.

    Attributes:
        forecast: What speaks for it; None of a request that is no generation.
    """

    replica: replica_module.Replica
    forecast: Forecast | None = None


class Need:
    """What a request asks of a replica.

    Attributes:
        service: Its service.
        accepts: Tells whether a version may run it.
        key: Requests with the same one go to the same few replicas, where
            the parts of the prompt that they share are kept.
        exclude: Ids of replicas that were tried.
        prompt: What it has to read; None of a request that is no generation.
    """

    __slots__ = ("accepts", "exclude", "key", "prompt", "service")

    def __init__(
        self,
        *,
        service: str,
        accepts: Callable[[entries.ReplicaEntry], bool],
        key: str,
        exclude: frozenset[str],
        prompt: Prompt | None = None,
    ):
        self.prompt = prompt
        self.service = service
        self.accepts = accepts
        self.key = key
        self.exclude = exclude

    def allows(self, replica: replica_module.Replica) -> bool:
        """Tells whether a replica may run the request."""
        return (
            not replica.entry.leaving
            and replica.entry.replica_id not in self.exclude
            and self.accepts(replica.entry)
        )


class ReplicaChooser:
    """Chooses by load, distance, shared prompt parts and own evidence."""

    __slots__ = (
        "_clock",
        "_data_centre",
        "_directory",
        "_gate",
        "_kept_parts",
    )

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        gate: send_gate.SendGate,
        data_centre: str,
        clock: clock_module.Clock,
    ):
        self._directory = directory
        self._gate = gate
        self._data_centre = data_centre
        self._clock = clock
        self._kept_parts = kept_parts.KeptParts()

    def choose(self, need: Need) -> Choice | None:
        """Returns the best replica, or None if none may run the request.

        Replicas that are left alone for their failures are used if there is
        no other: a service that fails as a whole is better tried than given
        up.
        """
        if need.prompt is not None:
            forecast = self.forecast(need)
            if forecast is None:
                return None
            return Choice(replica=forecast.replica, forecast=forecast)
        now = self._clock.monotonic()
        replica = min(
            self._candidates(need, self._compared),
            key=lambda candidate: self._score(candidate, now),
            default=None,
        )
        return Choice(replica=replica) if replica else None

    def forecast(self, need: Need) -> Forecast | None:
        """Returns where a prompt's answer begins first, and when.

        What is kept counts as much as what waits: a large model reads a long
        shared part for a second, which is as long as a usual queue.
        """
        candidates = self._candidates(need, self._homes)
        if not candidates:
            return None
        home = self._home(need)
        forecasts = [
            self._forecast_at(need, replica, is_home=replica is home)
            for replica in candidates
        ]
        return min(forecasts, key=lambda found: self._delay(need, found))

    def note_read(self, forecast: Forecast, key: str) -> None:
        """Takes in that a replica has read a key's shared parts."""
        self._kept_parts.note(forecast.replica.short_id, key)

    def _candidates(
        self,
        need: Need,
        compared: Callable[[Need, _Test], list[replica_module.Replica]],
    ) -> list[replica_module.Replica]:
        """Returns the replicas to choose from, sound ones if there are any."""
        now = self._clock.monotonic()

        def may_take(replica: replica_module.Replica) -> bool:
            return need.allows(replica) and self._gate.is_open(replica)

        def is_sound(replica: replica_module.Replica) -> bool:
            return may_take(replica) and not replica.health.is_ejected(now)

        return (
            compared(need, is_sound)
            or compared(need, may_take)
            or list(filter(may_take, self._directory.of_service(need.service)))
        )

    def _home(self, need: Need) -> replica_module.Replica | None:
        """Returns the replica that has a key's shared parts, if any has.

        Replicas of versions that may not run the request keep none of its
        parts, and are passed over.
        """
        everywhere = self._directory.in_order_everywhere(need.service, need.key)
        return next(
            (
                replica
                for replica in everywhere
                if need.accepts(replica.entry) and self._gate.is_open(replica)
            ),
            None,
        )

    def _homes(
        self, need: Need, accepts: _Test
    ) -> list[replica_module.Replica]:
        """Returns the few replicas where a prompt's parts may be kept."""
        everywhere = self._directory.in_order_everywhere(need.service, need.key)
        near = self._directory.in_order(
            need.service, self._data_centre, need.key
        )
        found = list(
            itertools.islice(filter(accepts, everywhere), HOMES_COMPARED)
        )
        for replica in itertools.islice(
            filter(accepts, near), NEAR_HOMES_COMPARED
        ):
            if replica not in found:
                found.append(replica)
        return found

    def _forecast_at(
        self, need: Need, replica: replica_module.Replica, *, is_home: bool
    ) -> Forecast:
        prompt = need.prompt
        kept = HOME_KEPT if is_home else 0.0
        if self._kept_parts.holds(replica.short_id, need.key):
            kept = 1.0
        backlog = self._directory.backlog(replica)
        share = SHARE_OF_LATER if prompt.urgent else 1.0
        return Forecast(
            replica=replica,
            waiting=backlog.urgent + share * backlog.later,
            reading=prompt.own + (1.0 - kept) * prompt.shared,
            kept=kept,
        )

    def _delay(self, need: Need, forecast: Forecast) -> datetime.timedelta:
        """Returns the time to a first event, and what speaks against it."""
        now = self._clock.monotonic()
        replica = forecast.replica
        delay = forecast.waiting + forecast.reading
        delay += self._held_up(forecast, now)
        delay += need.prompt.target * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            delay += REMOTE_DELAY
        return delay

    def _held_up(
        self, forecast: Forecast, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns what a prompt's reading costs the requests that run there."""
        replica = forecast.replica
        running = self.load_per_slot(replica, now) * replica.entry.slots
        return OTHERS_SHARE * running * forecast.reading

    def load_per_slot(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> float:
        """Returns the estimated load, 1 where all slots are taken."""
        estimate = float(replica.in_flight)
        report = replica.report
        if report is not None:
            weight = math.exp((report.at - now) / REPORT_LIFE)
            usual = self._directory.usual_load(replica.entry.service)
            expected = weight * _work(report) + (1 - weight) * _work(usual)
            since = replica.in_flight - replica.in_flight_at_report
            estimate = max(estimate, expected + since)
        return estimate / replica.entry.slots

    def _compared(
        self, need: Need, accepts: _Test
    ) -> list[replica_module.Replica]:
        """Returns the few replicas that a request's key belongs to."""
        near = self._directory.in_order(
            need.service, self._data_centre, need.key
        )
        found = list(itertools.islice(filter(accepts, near), NEAR_COMPARED))
        for data_centre in self._others(need):
            if len(found) >= NEAR_COMPARED + FAR_COMPARED:
                break
            far = self._directory.in_order(need.service, data_centre, need.key)
            found.extend(itertools.islice(filter(accepts, far), FAR_COMPARED))
        return found

    def _others(self, need: Need) -> list[str]:
        """Returns the other data centres, in an order that the key decides."""
        others = sorted(self._directory.data_centres(need.service))
        if self._data_centre in others:
            others.remove(self._data_centre)
        if not others:
            return others
        first = xxhash.xxh32_intdigest(need.key.encode()) % len(others)
        return others[first:] + others[:first]

    def _score(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> float:
        score = self.load_per_slot(replica, now)
        score += FAILURE_LOAD * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            score += REMOTE_LOAD
        return score


def _work(
    load: replica_module.LoadReport | replica_module.UsualLoad,
) -> float:
    return load.running + WAITING_WEIGHT * load.waiting
