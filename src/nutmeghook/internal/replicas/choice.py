"""Chooses the replica that a request goes to."""

from collections.abc import Callable
from collections.abc import Iterator
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
from nutmeghook.internal.replicas import running_requests
from nutmeghook.internal.replicas import send_gate

# Time constant with which a replica's load report decays to the baseline load
# of its service. Were an old report dropped, only this instance's own attempts
# would count, a small part of the replica's load.
REPORT_TIME_CONSTANT = datetime.timedelta(milliseconds=500)
# Number of running requests that one waiting request counts as.
WAITING_WEIGHT = 5.0
# Replicas compared for a request without a prompt, in the own data centre and
# in the others. Reports are half a second old and known to all instances, so
# with many candidates all instances would pick the same replica.
LOCAL_COMPARED = 2
REMOTE_COMPARED = 1
# Load per slot added for a replica in another data centre.
REMOTE_LOAD = 0.6
# Load per slot added for a failure rate of 1.
FAILURE_LOAD = 1.0

# Replicas compared for a prompt: the first in its key's affinity order over all
# data centres, and the first of the own data centre. All instances compute the
# same owner, so that each prompt prefix is processed there once.
OWNERS_COMPARED = 3
LOCAL_OWNERS_COMPARED = 1
# The same for a service whose replicas differ in speed and load. Loads are
# known a quarter of a second late, so an instance compares a part of the
# replicas only, a different one for each key.
UNEVEN_OWNERS_COMPARED = 8
UNEVEN_LOCAL_OWNERS_COMPARED = 4
# Assumed probability that the owner of a key has its prompt prefix cached.
OWNER_CACHE_PROBABILITY = 0.5
# Share of the normal backlog that an urgent prompt waits for. It goes first,
# but engines process prompts in chunks and take turns between them.
NORMAL_WAIT_SHARE = 0.5
# Share of a prompt's prefill time added for each request that runs at the
# replica, because the engine generates no tokens for them during prefill.
BLOCKING_SHARE = 0.3
# By how much sooner a replica in another data centre has to answer, for the
# cost of traffic between data centres.
REMOTE_DELAY = datetime.timedelta(milliseconds=100)

_ZERO = datetime.timedelta()
_Predicate = Callable[[replica_module.Replica], bool]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Prompt:
    """The prompt of a request, as prefill time.

    Attributes:
        prefix: Prefill time of the prefix shared with other requests, if it is
            not cached.
        suffix: Prefill time of the rest.
        urgent: Engines process it before prompts that are not urgent.
        target: An answer within this time has its full utility.
        delay_per_running: By how much each request that runs at a replica
            delays the first event.
        generation: From the first event to the end at an idle replica.
        generation_per_running: By how much each request that runs there
            delays the end.
    """

    prefix: datetime.timedelta
    suffix: datetime.timedelta
    urgent: bool
    target: datetime.timedelta
    delay_per_running: datetime.timedelta = _ZERO
    generation: datetime.timedelta = _ZERO
    generation_per_running: datetime.timedelta = _ZERO


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Forecast:
    """When a replica is expected to begin its answer.

    Attributes:
        waiting: Time spent on the backlog before the prompt.
        prefill: Prefill time of the prompt, less the expected cached part.
        cached: Probability that the prompt prefix is cached.
        running: Expected number of requests that run at the replica; 0 where
            the service is not uneven.
        slowness: Factor by which its work takes longer than an average
            replica's; 1 where the service is not uneven.
    """

    replica: replica_module.Replica
    waiting: datetime.timedelta
    prefill: datetime.timedelta
    cached: float
    running: float = 0.0
    slowness: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """Where a request goes.

    Attributes:
        forecast: None for a request that is not a generation.
    """

    replica: replica_module.Replica
    forecast: Forecast | None = None


class ReplicaCriteria:
    """What a request requires of a replica.

    Attributes:
        service: Name of the service.
        accepts: Returns whether the entry's version may run the request.
        key: Affinity key. Requests with the same key go to the same few
            replicas, which have their common prompt prefix cached.
        exclude: Ids of replicas that were tried.
        prompt: None for a request that is not a generation.
        confirms: Goes first to replicas whose limits are to be confirmed.
    """

    __slots__ = (
        "accepts",
        "confirms",
        "exclude",
        "key",
        "prompt",
        "service",
    )

    def __init__(
        self,
        *,
        service: str,
        accepts: Callable[[entries.ReplicaEntry], bool],
        key: str,
        exclude: frozenset[str],
        prompt: Prompt | None = None,
        confirms: bool = True,
    ):
        self.prompt = prompt
        self.confirms = confirms
        self.service = service
        self.accepts = accepts
        self.key = key
        self.exclude = exclude

    def allows(self, replica: replica_module.Replica) -> bool:
        """Returns whether a replica may run the request."""
        return (
            not replica.is_leaving
            and replica.entry.replica_id not in self.exclude
            and self.accepts(replica.entry)
        )


class ReplicaChooser:
    """Chooses by load, locality, cached prefixes and failure rate."""

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

        Ejected replicas are used if there is no other, so that requests to a
        service whose replicas all fail are still tried.
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
        """Returns the forecast of the replica with the lowest cost.

        Cached prefixes count as much as backlogs: the prefill of a long prefix
        takes a large model a second, as long as a common queue.
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

    def open_replicas(
        self, criteria: ReplicaCriteria
    ) -> Iterator[replica_module.Replica]:
        """Yields all replicas that a request may be sent to now."""
        now = self._clock.monotonic()
        for replica in self._directory.of_service(criteria.service):
            if (
                criteria.allows(replica)
                and self._gate.is_open(replica)
                and not replica.health.is_ejected(now)
            ):
                yield replica

    def note_prefilled(self, forecast: Forecast, key: str) -> None:
        """Records that a replica has processed a key's prompt prefix."""
        self._cached_prefixes.note(forecast.replica.short_id, key)

    def _candidates(
        self,
        criteria: ReplicaCriteria,
        select: Callable[
            [ReplicaCriteria, _Predicate], list[replica_module.Replica]
        ],
    ) -> list[replica_module.Replica]:
        """Returns the replicas to choose from, preferably none ejected."""
        now = self._clock.monotonic()

        def is_eligible(replica: replica_module.Replica) -> bool:
            return criteria.allows(replica) and self._gate.is_open(replica)

        def is_healthy(replica: replica_module.Replica) -> bool:
            return is_eligible(replica) and not replica.health.is_ejected(now)

        unconfirmed = []
        if criteria.confirms:
            unconfirmed = self._gate.unconfirmed(criteria.service)
        return (
            list(filter(is_healthy, unconfirmed))
            or select(criteria, is_healthy)
            or select(criteria, is_eligible)
            or list(
                filter(
                    is_eligible, self._directory.of_service(criteria.service)
                )
            )
        )

    def _first_owner(
        self, criteria: ReplicaCriteria
    ) -> replica_module.Replica | None:
        """Returns the owner of a key, which may have its prefix cached.

        Replicas of versions that may not run the request never processed its
        prefix and are skipped.
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
        """Returns the few replicas that may have a prompt's prefix cached."""
        owners = self._directory.global_affinity_order(
            criteria.service, criteria.key
        )
        local = self._directory.affinity_order(
            criteria.service, self._data_centre, criteria.key
        )
        compared, local_compared = OWNERS_COMPARED, LOCAL_OWNERS_COMPARED
        if self._directory.is_uneven(criteria.service):
            compared = UNEVEN_OWNERS_COMPARED
            local_compared = UNEVEN_LOCAL_OWNERS_COMPARED
        found = list(itertools.islice(filter(accepts, owners), compared))
        for replica in itertools.islice(filter(accepts, local), local_compared):
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
        running, slowness = self._condition(replica)
        return Forecast(
            replica=replica,
            waiting=backlog.urgent + share * backlog.normal,
            prefill=prompt.suffix + (1.0 - cached) * prompt.prefix,
            cached=cached,
            running=running,
            slowness=slowness,
        )

    def _condition(
        self, replica: replica_module.Replica
    ) -> tuple[float, float]:
        """Returns the requests at a replica and its slowness, if uneven."""
        service = replica.entry.service
        if not self._directory.is_uneven(service):
            return 0.0, 1.0
        now = self._clock.monotonic()
        running = running_requests.expected_running(
            replica, baseline=self._directory.baseline_load(service), now=now
        )
        return running, replica.speed.slowness(now)

    def _cost(
        self, criteria: ReplicaCriteria, forecast: Forecast
    ) -> datetime.timedelta:
        """Returns the expected time plus penalties.

        That is the time to the first token, and in an uneven service the time
        to the end: a loaded or slow replica is late with every event.
        """
        now = self._clock.monotonic()
        replica = forecast.replica
        prompt = criteria.prompt
        delay = forecast.waiting + forecast.prefill
        delay += forecast.running * prompt.delay_per_running
        delay += prompt.generation
        delay += forecast.running * prompt.generation_per_running
        delay += self._blocking_cost(forecast, now)
        delay *= forecast.slowness
        delay += criteria.prompt.target * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            delay += REMOTE_DELAY
        return delay

    def _blocking_cost(
        self, forecast: Forecast, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns what a prefill costs the requests running at the replica."""
        replica = forecast.replica
        running = self.load_per_slot(replica, now) * replica.entry.slots
        return BLOCKING_SHARE * running * forecast.prefill

    def load_per_slot(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> float:
        """Returns the estimated load; 1 if all slots are taken."""
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
        """Returns the first few replicas in a request's affinity order."""
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
        """Returns the other data centres, rotated by a hash of the key."""
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
        if self._directory.is_uneven(replica.entry.service):
            score *= replica.speed.slowness(now)
        score += FAILURE_LOAD * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            score += REMOTE_LOAD
        return score


def _weighted_load(
    load: replica_module.LoadReport | replica_module.BaselineLoad,
) -> float:
    return load.running + WAITING_WEIGHT * load.waiting
