"""Instances before cold replicas, each sending where it may.

Everybody turns to cold replicas, since these are empty; what is counted is
what reaches one of them in its worst second, and how much of what it bears.
"""

import abc
import collections
from collections.abc import Sequence
import dataclasses
import random

from nutmeghook.internal.replicas import cold_limits
from nutmeghook.internal.replicas import cold_senders

RATE_PER_S = 18.0
MAX_IN_ONE_SECOND = 1.5 * RATE_PER_S + 5.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    """Who knows whom.

    Attributes:
        instances: How many send.
        replicas: How many are cold.
        network_partitions: Instances of one island know only each other.
        unknown_share: Share of the others that an instance has not heard of.
        dead_share: Share of the members that have just died, still counted.
    """

    instances: int
    replicas: int = 10
    network_partitions: int = 1
    unknown_share: float = 0.0
    dead_share: float = 0.0


class RatePolicy(abc.ABC):
    """How a cold replica's requests are shared."""

    @abc.abstractmethod
    def send_interval_s(
        self, name: str, known_members: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the time between two sends; None where none may be."""


class EqualShares(RatePolicy):
    """Each instance has its part of the rate, by the members it believes in."""

    def send_interval_s(
        self, name: str, known_members: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the time in which all believed in send once each."""
        return len(known_members) / RATE_PER_S


class ElectedSenders(RatePolicy):
    """A few instances may send, those that a hash puts first."""

    def __init__(self, *, senders: int = cold_limits.SENDERS):
        self._senders = senders

    def send_interval_s(
        self, name: str, known_members: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns a sender's time between sends."""
        first = cold_senders.elect_senders(
            known_members, replica_id, self._senders
        )
        if name not in first:
            return None
        return self._senders / min(RATE_PER_S, MAX_IN_ONE_SECOND / 2)


class SingleGranter(RatePolicy):
    """Leave for each send is asked of the first member by a hash.

    The holder is modelled as if it sent everything that it grants itself.
    """

    def send_interval_s(
        self, name: str, known_members: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the holder's time between grants."""
        first = cold_senders.elect_senders(known_members, replica_id, 1)
        return 1 / RATE_PER_S if name in first else None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """What the cold replicas got.

    Attributes:
        max_in_one_second: The most that one of them got in one second.
        utilisation: The mean of what they got, as a share of what they bear.
    """

    max_in_one_second: int
    utilisation: float


def simulate(
    scenario: Scenario, policy: RatePolicy, *, seed: int, length_s: float = 20.0
) -> Outcome:
    """Plays a scene in which everybody sends all that it may."""
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
                # Whoever heard of the replica at once begins at once.
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
