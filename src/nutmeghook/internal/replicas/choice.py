"""Which replica a request goes to."""

from collections.abc import Callable
import datetime
import itertools
import math

import xxhash

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries

# A replica's own count of its load comes with its answers, here or at a near
# instance. The older it is, the more the service's usual load is taken
# instead. Dropped at some age, it would leave what this instance has under way
# there, a seventh of the truth or less, and all instances would turn to the
# replica heard of least.
REPORT_LIFE = datetime.timedelta(milliseconds=500)
# A replica reads prompts one after the other and generates for all running
# requests at once. So one that waits stands for as much delay as several that
# run: some 50 ms, and one that runs slows each step by 1 in 50. Emulated with
# a quarter of the replicas gone, nine in ten waits end within 0.93 s; counted
# as one, 1.08 s.
WAITING_WEIGHT = 5.0
# Replicas that are compared for a request, in the own data centre and in the
# others: the first ones for its key on a ring of hashes. Counts are half a
# second old, and 73 instances send 200 requests in that time: when all of them
# compared all replicas they ran after the one that was emptiest, and the queues
# were longer than without knowing any count (a quiet day's work that came in
# time was 0.78 of its worth; 0.88 with few, which is as good as any spread,
# and their prompts' shared parts are kept there).
NEAR_COMPARED = 2
FAR_COMPARED = 1
# Load per slot that is added for a replica in another data centre, with a
# waiting request counted as `WAITING_WEIGHT`. Bytes between data centres are
# dear for one user and cheap for the other; new connections, dear for the
# other, are as many either way. With 0.6 and not 0.25, a quiet day's bytes
# between them fall by a quarter and as much comes in time.
REMOTE_LOAD = 0.6
# Load per slot that a failure rate of 1 stands for. A failed attempt costs a
# repeat; replicas twice as full cost every request more than that.
FAILURE_LOAD = 1.0

_Test = Callable[[directory_module.Replica], bool]


class Need:
    """What a request asks of a replica.

    Attributes:
        service: Its service.
        accepts: Tells whether a version may run it.
        key: Requests with the same one go to the same few replicas, where
            the parts of the prompt that they share are kept.
        exclude: Ids of replicas that were tried.
    """

    __slots__ = ("accepts", "exclude", "key", "service")

    def __init__(
        self,
        *,
        service: str,
        accepts: Callable[[entries.ReplicaEntry], bool],
        key: str,
        exclude: frozenset[str],
    ):
        self.service = service
        self.accepts = accepts
        self.key = key
        self.exclude = exclude

    def allows(self, replica: directory_module.Replica) -> bool:
        """Tells whether a replica may run the request."""
        return (
            not replica.entry.leaving
            and replica.entry.replica_id not in self.exclude
            and self.accepts(replica.entry)
        )


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

        def is_sound(replica: directory_module.Replica) -> bool:
            return need.allows(replica) and not replica.health.is_ejected(now)

        compared = self._compared(need, is_sound) or self._compared(
            need, need.allows
        )
        if not compared:
            compared = self._all(need)
        return min(
            compared,
            key=lambda replica: self._score(replica, now),
            default=None,
        )

    def usual_waiting(self, service: str) -> float:
        """Returns how many requests wait at a replica, on average."""
        return self._directory.usual_load(service).waiting

    def load_per_slot(
        self, replica: directory_module.Replica, now: datetime.timedelta
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
    ) -> list[directory_module.Replica]:
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

    def _all(self, need: Need) -> list[directory_module.Replica]:
        """Returns every replica that may run the request."""
        return list(
            filter(need.allows, self._directory.of_service(need.service))
        )

    def _score(
        self, replica: directory_module.Replica, now: datetime.timedelta
    ) -> float:
        score = self.load_per_slot(replica, now)
        score += FAILURE_LOAD * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            score += REMOTE_LOAD
        return score


def _work(
    load: directory_module.LoadReport | directory_module.UsualLoad,
) -> float:
    return load.running + WAITING_WEIGHT * load.waiting
