"""Whom an instance tells what it knows: many near ones, few far ones.

Bytes between data centres are dear, and the links between them are what a
region loses first. A word that has come to one instance of a data centre goes
on inside; so it need cross seldom, as long as it crosses from everywhere.
"""

import math
import random

from nutmeghook.internal.table_replication import reader_election


class PeerSampler:
    """Chooses addresses to tell.

    Args:
        data_centre: The own one.
        random_source: Chooses among equals.
    """

    __slots__ = ("_data_centre", "_random")

    def __init__(self, *, data_centre: str, random_source: random.Random):
        self._data_centre = data_centre
        self._random = random_source

    def choose(
        self,
        peers: dict[str, str],
        data_centres: dict[str, str],
        *,
        local: int,
        remote: float,
    ) -> list[str]:
        """Returns addresses of some peers.

        Args:
            peers: Addresses by instance id.
            data_centres: By instance id, where known.
            local: How many of the own data centre. Where it has fewer, others
                take their place, first those of which it is not known.
            remote: How many others besides, on average.
        """
        if not reader_election.is_large(len(peers) + 1):
            # Everybody is told within a round or two, and a data centre has so
            # few instances that a word must not depend on one crossing.
            most = min(len(peers), local + math.ceil(remote))
            return self._random.sample(list(peers.values()), most)
        by_locality: tuple[list[str], list[str], list[str]] = ([], [], [])
        for peer_id, address in peers.items():
            by_locality[self._locality_rank(data_centres.get(peer_id))].append(
                address
            )
        chosen: list[str] = []
        for addresses in by_locality:
            chosen += self._sample(addresses, local - len(chosen))
        chosen += self._sample(by_locality[-1], self._round_randomly(remote))
        return list(dict.fromkeys(chosen))

    def _locality_rank(self, data_centre: str | None) -> int:
        if data_centre is None:
            return 1
        return 0 if data_centre == self._data_centre else 2

    def _sample(self, addresses: list[str], most: int) -> list[str]:
        count = max(0, min(most, len(addresses)))
        return self._random.sample(addresses, count)

    def _round_randomly(self, number: float) -> int:
        """Rounds up or down at random, so that the mean is the number."""
        return int(number + self._random.random())
