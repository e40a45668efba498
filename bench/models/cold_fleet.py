"""Instances that send to cold replicas under a rate policy.

All instances send to cold replicas as fast as they may, since these are idle.
Counted are the requests that reach one replica in its worst second, and the
share of its safe rate that is used.
"""

import abc
import collections
from collections.abc import Sequence
import dataclasses
import random

from nutmeghook.internal.replicas import send_shares
from nutmeghook.internal.replicas import sender_election

RATE_PER_S = 18.0
MAX_IN_ONE_SECOND = 1.5 * RATE_PER_S + 5.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """The fleet, and how complete each instance's membership view is.

    Attributes:
        instances: Number of sending instances.
        replicas: Number of cold replicas.
        network_partitions: Instances of one partition know only each other.
        unknown_share: Share of the other members that an instance does not
            know.
        dead_share: Share of the members that are dead but still listed.
    """

    instances: int
    replicas: int = 10
    network_partitions: int = 1
    unknown_share: float = 0.0
    dead_share: float = 0.0


class RatePolicy(abc.ABC):
    """How instances share the request rate of a cold replica."""

    @abc.abstractmethod
    def send_interval_s(
        self, name: str, known_members: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the time between two sends; None if it may not send."""


class EqualShares(RatePolicy):
    """Each instance has an equal share, by the members that it knows."""

    def send_interval_s(
        self, name: str, known_members: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the time in which each known member sends once."""
        return len(known_members) / RATE_PER_S


class ElectedSenders(RatePolicy):
    """Only a few instances send, elected by rendezvous hash."""

    def __init__(self, *, senders: int = send_shares.SENDERS):
        self._senders = senders

    def send_interval_s(
        self, name: str, known_members: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the time between sends of an elected sender."""
        first = sender_election.elect_senders(
            known_members, replica_id, self._senders
        )
        if name not in first:
            return None
        return len(first) / min(RATE_PER_S, MAX_IN_ONE_SECOND / 2)


class SingleGranter(RatePolicy):
    """The first member by a hash grants permission for each send.

    The granter is modelled as sending everything that it grants itself.
    """

    def send_interval_s(
        self, name: str, known_members: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the time between two grants."""
        first = sender_election.elect_senders(known_members, replica_id, 1)
        return 1 / RATE_PER_S if name in first else None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """The requests that the cold replicas received.

    Attributes:
        max_in_one_second: The most that one replica received in one second.
        utilisation: Mean share of the safe rate that was used.
    """

    max_in_one_second: int
    utilisation: float


def simulate(
    scenario: Scenario, policy: RatePolicy, *, seed: int, length_s: float = 20.0
) -> Outcome:
    """Simulates instances that all send as much as they may."""
    rng = random.Random(seed)
    members = [f"edge-{number}" for number in range(scenario.instances)]
    dead_share = set(
        rng.sample(members, round(scenario.dead_share * len(members)))
    )
    sent: dict[str, list[float]] = collections.defaultdict(list)
    for number, name in enumerate(members):
        if name in dead_share:
            continue
        known_members = _known_members(scenario, members, number, rng)
        for replica in range(scenario.replicas):
            replica_id = f"i-{seed}-{replica}"
            send_interval_s = policy.send_interval_s(
                name, known_members, replica_id
            )
            if send_interval_s is not None:
                # Instances that know of the replica all start at the same time.
                sent[replica_id] += _send_times(send_interval_s, length_s)
    counts = [
        sent[f"i-{seed}-{replica}"] for replica in range(scenario.replicas)
    ]
    return Outcome(
        max_in_one_second=max(
            _max_in_one_second(send_times) for send_times in counts
        ),
        utilisation=sum(map(len, counts)) / len(counts) / length_s / RATE_PER_S,
    )


def _known_members(
    scenario: Scenario, members: list[str], number: int, rng: random.Random
) -> list[str]:
    network_partition = number % scenario.network_partitions
    others = [
        other
        for index, other in enumerate(members)
        if index != number
        and index % scenario.network_partitions == network_partition
    ]
    kept = rng.sample(others, round((1 - scenario.unknown_share) * len(others)))
    return [members[number], *kept]


def _send_times(send_interval_s: float, length_s: float) -> list[float]:
    return [
        step * send_interval_s
        for step in range(int(length_s / send_interval_s) + 1)
    ]


def _max_in_one_second(send_times: list[float]) -> int:
    send_times = sorted(send_times)
    worst = first = 0
    for last, send_time in enumerate(send_times):
        while send_time - send_times[first] >= 1.0 - 1e-9:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
