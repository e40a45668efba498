"""What other components know of peers, from the gossip about tables."""

from collections.abc import Callable
from collections.abc import Mapping
import datetime
import random

from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.table_replication import gossip as gossip_module
from nutmeghook.internal.tunnels import client


class GossipMembers(sender_election.MemberView):
    """The instances that gossip about the store's tables."""

    __slots__ = ("_gossip",)

    def __init__(self, *, gossip: gossip_module.TableGossip):
        self._gossip = gossip

    def known_within(
        self, window: datetime.timedelta
    ) -> Mapping[str, str | None]:
        """Returns the data centres of other instances, by instance id."""
        return self._gossip.known_within(window)

    def is_partial(self) -> bool:
        """Tells whether instances of other data centres are seldom heard."""
        return self._gossip.is_large()


class GossipHelpers(client.HelperView):
    """The peers that open tunnels, the nearest first.

    Peers of other regions are never asked: a request's body may have to stay
    in its own.

    Args:
        gossip: Knows the peers.
        data_centre: This instance's.
        region_of: Returns a data centre's region, or None if it is unknown.
        random_source: Draws among peers of the same locality.
    """

    __slots__ = ("_data_centre", "_gossip", "_random", "_region_of")

    def __init__(
        self,
        *,
        gossip: gossip_module.TableGossip,
        data_centre: str,
        region_of: Callable[[str], str | None],
        random_source: random.Random,
    ):
        self._gossip = gossip
        self._data_centre = data_centre
        self._region_of = region_of
        self._random = random_source

    def helpers(self) -> list[str]:
        """Returns their inner addresses, the one to ask first at the front."""
        region = self._region_of(self._data_centre)
        found = [
            (data_centre != self._data_centre, self._random.random(), address)
            for address, data_centre in self._gossip.tunnel_openers().items()
            if data_centre is not None
            and self._region_of(data_centre) == region
        ]
        return [address for _, _, address in sorted(found)]
