"""Which replica a request goes to."""

from collections.abc import Callable
import datetime
import math

import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries

# A replica's own count of its load comes with its answers. The older it is,
# the more the service's usual load is taken instead. Dropped at some age, it
# would leave what this instance has under way there, a seventh of the truth
# or less, and all instances would turn to the replica heard of least.
REPORT_LIFE = datetime.timedelta(seconds=1)
# Load per slot that is added for a replica in another data centre: bytes
# between data centres are dear for one user and cheap for the other, and this
# serves both. With 0.5 instead, a data centre's replicas had four times the
# load of another's, and over a tenth of the answers came late.
REMOTE_LOAD = 0.08
# A replica that holds the prompt's shared parts may be this much fuller per
# slot than the best one. Reading 6,000 tokens again takes 75 ms; five more
# running requests of 64 add that to every answer's first second.
AFFINITY_SLACK = 0.08
# Load per slot that a failure rate of 1 stands for. A failed attempt costs a
# repeat; replicas twice as full cost every request more than that.
FAILURE_LOAD = 1.0


class Need:
    """What a request asks of a replica.

    Attributes:
        service: Its service.
        accepts: Tells whether a version may run it.
        affinity: Requests of the same text share prompt parts.
        exclude: Ids of replicas that were tried.
    """

    __slots__ = ("accepts", "affinity", "exclude", "service")

    def __init__(
        self,
        *,
        service: str,
        accepts: Callable[[entries.ReplicaEntry], bool],
        affinity: str | None,
        exclude: frozenset[str],
    ):
        self.service = service
        self.accepts = accepts
        self.affinity = affinity
        self.exclude = exclude


class ReplicaChooser:
    """Chooses by load, distance, shared prompt parts and own evidence."""

    __slots__ = ("_clock", "_data_centre", "_directory")

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        data_centre: str,
        clock: clock_module.Clock,
    ):
        self._directory = directory
        self._data_centre = data_centre
        self._clock = clock

    def choose(self, need: Need) -> directory_module.Replica | None:
        """Returns the best replica, or None if none may run the request.

        Replicas that are left alone for their failures are used if there is
        no other: a service that fails as a whole is better tried than given
        up.
        """
        now = self._clock.monotonic()
        allowed = [
            replica
            for replica in self._directory.of_service(need.service)
            if not replica.entry.leaving
            and replica.entry.replica_id not in need.exclude
            and need.accepts(replica.entry)
        ]
        sound = [r for r in allowed if not r.health.is_ejected(now)]
        candidates = sound or allowed
        if not candidates:
            return None
        return self._best(candidates, need.affinity, now)

    def load_per_slot(
        self, replica: directory_module.Replica, now: datetime.timedelta
    ) -> float:
        """Returns the estimated load, 1 where all slots are taken."""
        estimate = float(replica.in_flight)
        reported_at = replica.reported_at
        if reported_at is not None:
            weight = math.exp((reported_at - now) / REPORT_LIFE)
            usual = self._directory.usual_load(replica.entry.service)
            expected = weight * replica.reported_total + (1 - weight) * usual
            since = replica.in_flight - replica.in_flight_at_report
            estimate = max(estimate, expected + since)
        return estimate / replica.entry.slots

    def _best(
        self,
        candidates: list[directory_module.Replica],
        affinity: str | None,
        now: datetime.timedelta,
    ) -> directory_module.Replica:
        scores = {
            replica.entry.replica_id: self._score(replica, now)
            for replica in candidates
        }
        lowest = min(scores.values())
        if affinity is None:
            return min(candidates, key=lambda r: scores[r.entry.replica_id])
        near = [
            replica
            for replica in candidates
            if scores[replica.entry.replica_id] <= lowest + AFFINITY_SLACK
        ]
        return max(near, key=lambda replica: _weight(affinity, replica))

    def _score(
        self, replica: directory_module.Replica, now: datetime.timedelta
    ) -> float:
        score = self.load_per_slot(replica, now)
        score += FAILURE_LOAD * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            score += REMOTE_LOAD
        return score


def _weight(key: str, replica: directory_module.Replica) -> float:
    """Returns the replica's rank for a key by rendezvous hashing.

    All instances agree on it without talking, and a replica that goes gives
    only its own keys away.
    """
    text = f"{key}@{replica.entry.replica_id}"
    digest = xxhash.xxh64_intdigest(text.encode())
    return -math.log((digest + 1) / 2.0**64)
