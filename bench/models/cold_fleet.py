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

PER_S = 18.0
BOUND = 1.5 * PER_S + 5.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Scene:
    """Who knows whom.

    Attributes:
        instances: How many send.
        replicas: How many are cold.
        islands: Instances of one island know only each other.
        unknown: Share of the others that an instance has not heard of.
        dead: Share of the members that have just died, still counted.
    """

    instances: int
    replicas: int = 10
    islands: int = 1
    unknown: float = 0.0
    dead: float = 0.0


class Sharing(abc.ABC):
    """How a cold replica's requests are shared."""

    @abc.abstractmethod
    def gap_s(
        self, name: str, believed: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the time between two sends; None where none may be."""


class EachItsPart(Sharing):
    """Each instance has its part of the rate, by the members it believes in."""

    def gap_s(
        self, name: str, believed: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the time in which all believed in send once each."""
        return len(believed) / PER_S


class FewSenders(Sharing):
    """A few instances may send, those that a hash puts first."""

    def __init__(self, *, senders: int = cold_limits.SENDERS):
        self._senders = senders

    def gap_s(
        self, name: str, believed: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns a sender's time between sends."""
        first = cold_senders.elect_senders(believed, replica_id, self._senders)
        if name not in first:
            return None
        return self._senders / min(PER_S, BOUND / 2)


class OneHolder(Sharing):
    """Leave for each send is asked of the first member by a hash.

    The holder is modelled as if it sent everything that it grants itself.
    """

    def gap_s(
        self, name: str, believed: Sequence[str], replica_id: str
    ) -> float | None:
        """Returns the holder's time between grants."""
        first = cold_senders.elect_senders(believed, replica_id, 1)
        return 1 / PER_S if name in first else None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """What the cold replicas got.

    Attributes:
        worst_second: The most that one of them got in one second.
        used: The mean of what they got, as a share of what they bear.
    """

    worst_second: int
    used: float


def play(
    scene: Scene, sharing: Sharing, *, seed: int, length_s: float = 20.0
) -> Outcome:
    """Plays a scene in which everybody sends all that it may."""
    draw = random.Random(seed)
    members = [f"edge-{number}" for number in range(scene.instances)]
    dead = set(draw.sample(members, round(scene.dead * len(members))))
    sent: dict[str, list[float]] = collections.defaultdict(list)
    for number, name in enumerate(members):
        if name in dead:
            continue
        believed = _believed(scene, members, number, draw)
        for replica in range(scene.replicas):
            replica_id = f"i-{seed}-{replica}"
            gap_s = sharing.gap_s(name, believed, replica_id)
            if gap_s is not None:
                # Whoever heard of the replica at once begins at once.
                sent[replica_id] += _moments(gap_s, length_s)
    counts = [sent[f"i-{seed}-{replica}"] for replica in range(scene.replicas)]
    return Outcome(
        worst_second=max(_worst_second(moments) for moments in counts),
        used=sum(map(len, counts)) / len(counts) / length_s / PER_S,
    )


def _believed(
    scene: Scene, members: list[str], number: int, draw: random.Random
) -> list[str]:
    island = number % scene.islands
    others = [
        other
        for index, other in enumerate(members)
        if index != number and index % scene.islands == island
    ]
    kept = draw.sample(others, round((1 - scene.unknown) * len(others)))
    return [members[number], *kept]


def _moments(gap_s: float, length_s: float) -> list[float]:
    return [step * gap_s for step in range(int(length_s / gap_s) + 1)]


def _worst_second(moments: list[float]) -> int:
    moments = sorted(moments)
    worst = first = 0
    for last, moment in enumerate(moments):
        while moment - moments[first] >= 1.0 - 1e-9:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
