"""Chooses the replica that a request goes to."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import itertools

import msgspec
import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.replicas import send_gate

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

_Predicate = Callable[[replica_module.Replica], bool]


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request goes.

    Attributes:
        forecast: None for a request that is not a generation.
    """

    replica: replica_module.Replica
    forecast: replica_forecast.Forecast | None = None


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
        prompt: replica_forecast.Prompt | None = None,
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
        "_clock",
        "_data_centre",
        "_directory",
        "_forecaster",
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
        self._forecaster = replica_forecast.ReplicaForecaster(
            directory=directory, data_centre=data_centre, clock=clock
        )

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

    def forecast(
        self, criteria: ReplicaCriteria
    ) -> replica_forecast.Forecast | None:
        """Returns the forecast of the replica with the lowest cost.

        Cached prefixes count as much as backlogs: the prefill of a long prefix
        takes a large model a second, as long as a common queue.
        """
        candidates = self._candidates(criteria, self._prefix_owners)
        if not candidates:
            return None
        owner = self._first_owner(criteria)
        forecasts = [
            self._forecaster.forecast(
                criteria.prompt,
                replica,
                key=criteria.key,
                is_owner=replica is owner,
            )
            for replica in candidates
        ]
        return min(
            forecasts,
            key=lambda found: self._forecaster.cost(criteria.prompt, found),
        )

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

    def note_prefilled(
        self, forecast: replica_forecast.Forecast, key: str
    ) -> None:
        """Records that a replica has processed a key's prompt prefix."""
        self._forecaster.note_prefilled(forecast, key)

    def load_per_slot(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> float:
        """Returns the estimated load; 1 if all slots are taken."""
        return self._forecaster.load_per_slot(replica, now)

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
            # With the request itself, or an idle replica would never seem slow.
            score += 1.0 / replica.entry.slots
            score *= replica.speed.slowness(now)
        score += FAILURE_LOAD * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            score += REMOTE_LOAD
        return score
