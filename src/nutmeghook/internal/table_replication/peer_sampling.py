"""Chooses the peers that an instance gossips with, mostly local ones.

Traffic between data centres is expensive, and the links between them are the
first to fail. An update that has reached one instance of a data centre spreads
inside it; so few digests need to cross, as long as every instance sends some.
"""

import math
import random

from nutmeghook.internal.table_replication import reader_election


class PeerSampler:
    """Samples peer addresses by locality.

    Args:
        data_centre: This instance's.
        random_source: Draws among peers of the same locality.
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
            local: How many of the same data centre. Where there are fewer,
                others take their place, first those whose data centre is
                unknown.
            remote: How many of other data centres, or of unknown ones, besides,
                on average.
        """
        if not reader_election.is_large(len(peers) + 1):
            # Digests reach a small fleet within one or two rounds. A data
            # centre has few instances here, so with rare remote digests an
            # update would depend on a single datagram; locality is ignored.
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
        # A peer whose data centre is unknown does not know this instance's
        # either. Only a digest makes the two known to each other.
        _, unknown, distant = by_locality
        chosen += self._sample(unknown + distant, self._round_randomly(remote))
        return list(dict.fromkeys(chosen))

    def _locality_rank(self, data_centre: str | None) -> int:
        if data_centre is None:
            return 1
        return 0 if data_centre == self._data_centre else 2

    def _sample(self, addresses: list[str], most: int) -> list[str]:
        count = max(0, min(most, len(addresses)))
        return self._random.sample(addresses, count)

    def _round_randomly(self, number: float) -> int:
        """Rounds up or down at random, so that the mean is `number`."""
        return int(number + self._random.random())
