"""Which replica a request goes to."""

from collections.abc import Callable
import dataclasses
import datetime
import itertools
import math

import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import cached_prefixes
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_gate

# Time constant with which a replica's own report gives way to the usual load of
# its service. Dropped at once, it would leave this instance's own attempts
# only, a small part of what runs there.
REPORT_TIME_CONSTANT = datetime.timedelta(milliseconds=500)
# Running requests that one waiting request counts as.
WAITING_WEIGHT = 5.0
# Replicas that are compared for a request without a prompt, in the own data
# centre and in the others. Comparing few spreads instances that know the same
# reports, which are half a second old.
LOCAL_COMPARED = 2
REMOTE_COMPARED = 1
# Load per slot that is added for a replica in another data centre.
REMOTE_LOAD = 0.6
# Load per slot that a failure rate of 1 stands for.
FAILURE_LOAD = 1.0

# Replicas that are compared for a prompt: the first for its key of all, and of
# the own data centre. All instances agree on the first of all, so each shared
# part is read there once.
OWNERS_COMPARED = 3
LOCAL_OWNERS_COMPARED = 1
# Probability that the first replica for a key keeps its shared parts.
OWNER_CACHE_PROBABILITY = 0.5
# Part of the reading of large models that a small one's prompt waits for,
# although it goes first: engines read in chunks, those of all in turn.
NORMAL_WAIT_SHARE = 0.5
# Part of a prompt's reading time that counts for each request that runs at its
# replica, which generates nothing meanwhile.
BLOCKING_SHARE = 0.3
# By how much sooner a replica of another data centre has to answer: the price
# of the bytes between data centres, which no message tells.
REMOTE_DELAY = datetime.timedelta(milliseconds=100)

_Predicate = Callable[[replica_module.Replica], bool]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Prompt:
    """What an engine has to read for a request.

    Attributes:
        shared: How long its parts that others share take, if none is kept.
        own: How long the rest takes.
        urgent: It is read before what is not.
        target: An answer within this time has its full worth.
    """

    prefix: datetime.timedelta
    suffix: datetime.timedelta
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
    prefill: datetime.timedelta
    cached: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """Where a request goes.

    Attributes:
        forecast: What speaks for it; None of a request that is no generation.
    """

    replica: replica_module.Replica
    forecast: Forecast | None = None


class ReplicaCriteria:
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
        "_cached_prefixes",
        "_clock",
        "_data_centre",
        "_directory",
        "_gate",
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
        self._cached_prefixes = cached_prefixes.CachedPrefixes()

    def choose(self, criteria: ReplicaCriteria) -> Choice | None:
        """Returns the best replica, or None if none may run the request.

        Replicas that are left alone for their failures are used if there is
        no other: a service that fails as a whole is better tried than given
        up.
        """
        if criteria.prompt is not None:
            forecast = self.forecast(criteria)
            if forecast is None:
                return None
            return Choice(replica=forecast.replica, forecast=forecast)
        now = self._clock.monotonic()
        replica = min(
            self._candidates(criteria, self._affinity_candidates),
            key=lambda candidate: self._score(candidate, now),
            default=None,
        )
        return Choice(replica=replica) if replica else None

    def forecast(self, criteria: ReplicaCriteria) -> Forecast | None:
        """Returns where a prompt's answer begins first, and when.

        What is kept counts as much as what waits: a large model reads a long
        shared part for a second, which is as long as a usual queue.
        """
        candidates = self._candidates(criteria, self._prefix_owners)
        if not candidates:
            return None
        owner = self._first_owner(criteria)
        forecasts = [
            self._forecast_at(criteria, replica, is_owner=replica is owner)
            for replica in candidates
        ]
        return min(forecasts, key=lambda found: self._cost(criteria, found))

    def note_prefilled(self, forecast: Forecast, key: str) -> None:
        """Takes in that a replica has read a key's shared parts."""
        self._cached_prefixes.note(forecast.replica.short_id, key)

    def _candidates(
        self,
        criteria: ReplicaCriteria,
        select: Callable[
            [ReplicaCriteria, _Predicate], list[replica_module.Replica]
        ],
    ) -> list[replica_module.Replica]:
        """Returns the replicas to choose from, sound ones if there are any."""
        now = self._clock.monotonic()

        def may_take(replica: replica_module.Replica) -> bool:
            return criteria.allows(replica) and self._gate.is_open(replica)

        def is_sound(replica: replica_module.Replica) -> bool:
            return may_take(replica) and not replica.health.is_ejected(now)

        return (
            select(criteria, is_sound)
            or select(criteria, may_take)
            or list(
                filter(may_take, self._directory.of_service(criteria.service))
            )
        )

    def _first_owner(
        self, criteria: ReplicaCriteria
    ) -> replica_module.Replica | None:
        """Returns the replica that has a key's shared parts, if any has.

        Replicas of versions that may not run the request keep none of its
        parts, and are passed over.
        """
        owners = self._directory.global_affinity_order(
            criteria.service, criteria.key
        )
        return next(
            (
                replica
                for replica in owners
                if criteria.accepts(replica.entry)
                and self._gate.is_open(replica)
            ),
            None,
        )

    def _prefix_owners(
        self, criteria: ReplicaCriteria, accepts: _Predicate
    ) -> list[replica_module.Replica]:
        """Returns the few replicas where a prompt's parts may be kept."""
        owners = self._directory.global_affinity_order(
            criteria.service, criteria.key
        )
        local = self._directory.affinity_order(
            criteria.service, self._data_centre, criteria.key
        )
        found = list(itertools.islice(filter(accepts, owners), OWNERS_COMPARED))
        for replica in itertools.islice(
            filter(accepts, local), LOCAL_OWNERS_COMPARED
        ):
            if replica not in found:
                found.append(replica)
        return found

    def _forecast_at(
        self,
        criteria: ReplicaCriteria,
        replica: replica_module.Replica,
        *,
        is_owner: bool,
    ) -> Forecast:
        prompt = criteria.prompt
        cached = OWNER_CACHE_PROBABILITY if is_owner else 0.0
        if self._cached_prefixes.holds(replica.short_id, criteria.key):
            cached = 1.0
        backlog = self._directory.backlog(replica)
        share = NORMAL_WAIT_SHARE if prompt.urgent else 1.0
        return Forecast(
            replica=replica,
            waiting=backlog.urgent + share * backlog.normal,
            prefill=prompt.suffix + (1.0 - cached) * prompt.prefix,
            cached=cached,
        )

    def _cost(
        self, criteria: ReplicaCriteria, forecast: Forecast
    ) -> datetime.timedelta:
        """Returns the time to a first event, and what speaks against it."""
        now = self._clock.monotonic()
        replica = forecast.replica
        delay = forecast.waiting + forecast.prefill
        delay += self._blocking_cost(forecast, now)
        delay += criteria.prompt.target * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            delay += REMOTE_DELAY
        return delay

    def _blocking_cost(
        self, forecast: Forecast, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns what a prompt's reading costs the requests that run there."""
        replica = forecast.replica
        running = self.load_per_slot(replica, now) * replica.entry.slots
        return BLOCKING_SHARE * running * forecast.prefill

    def load_per_slot(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> float:
        """Returns the estimated load, 1 where all slots are taken."""
        estimate = float(replica.in_flight)
        report = replica.report
        if report is not None:
            weight = math.exp((report.at - now) / REPORT_TIME_CONSTANT)
            baseline = self._directory.baseline_load(replica.entry.service)
            expected = weight * _weighted_load(report) + (
                1 - weight
            ) * _weighted_load(baseline)
            since = replica.in_flight - replica.in_flight_at_report
            estimate = max(estimate, expected + since)
        return estimate / replica.entry.slots

    def _affinity_candidates(
        self, criteria: ReplicaCriteria, accepts: _Predicate
    ) -> list[replica_module.Replica]:
        """Returns the few replicas that a request's key belongs to."""
        local = self._directory.affinity_order(
            criteria.service, self._data_centre, criteria.key
        )
        found = list(itertools.islice(filter(accepts, local), LOCAL_COMPARED))
        for data_centre in self._remote_data_centres(criteria):
            if len(found) >= LOCAL_COMPARED + REMOTE_COMPARED:
                break
            remote = self._directory.affinity_order(
                criteria.service, data_centre, criteria.key
            )
            found.extend(
                itertools.islice(filter(accepts, remote), REMOTE_COMPARED)
            )
        return found

    def _remote_data_centres(self, criteria: ReplicaCriteria) -> list[str]:
        """Returns the other data centres, in an order that the key decides."""
        others = sorted(self._directory.data_centres(criteria.service))
        if self._data_centre in others:
            others.remove(self._data_centre)
        if not others:
            return others
        first = xxhash.xxh32_intdigest(criteria.key.encode()) % len(others)
        return others[first:] + others[:first]

    def _score(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> float:
        score = self.load_per_slot(replica, now)
        score += FAILURE_LOAD * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            score += REMOTE_LOAD
        return score


def _weighted_load(
    load: replica_module.LoadReport | replica_module.BaselineLoad,
) -> float:
    return load.running + WAITING_WEIGHT * load.waiting
