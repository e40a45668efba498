"""Gossips what teams ask for and get, while a service is short of capacity.

Each message holds the sender's whole state: a lost message is repaired by the
next one, and the last message of an instance that died expires.
"""

import collections
from collections.abc import Callable
import datetime

from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.limits import demand_rates
from nutmeghook.internal.limits import team_shares

# An instance hears six messages a second, so 18 peers within the lifetime of
# a report. With 16 entries that is up to 1.9 KB a second of the 3 KB that
# control may use.
GOSSIP_PERIOD = datetime.timedelta(milliseconds=500)
LOCAL_FANOUT = 2
REMOTE_FANOUT = 1.0
MAX_ENTRIES = 16
# The rest of a message's entries are drawn from all smaller rates and stand
# for those left out. Without them, the fleet's sum would lack small teams.
_LARGEST_ENTRIES = 12
_MILLI = 1000
_MAX_I32 = 2**31 - 1


class ShareGossip(gossip_senders.MessageGossipSender):
    """Sends this instance's rates by team and receives those of its peers.

    Args:
        shares: Holds the rates.
        sample_peers: Returns the addresses of the next message's recipients.
        observe: Measures the occupancy of the services, so that an instance
            without requests knows of a shortage too.
    """

    __slots__ = ("_instance_id", "_observe", "_sample_peers", "_shares")

    def __init__(
        self,
        *,
        instance_id: str,
        shares: team_shares.TeamShares,
        sample_peers: Callable[[], list[str]],
        observe: Callable[[], None],
        **sender_arguments,
    ):
        super().__init__(
            period=GOSSIP_PERIOD,
            message_type=ttypes.TeamDemands,
            **sender_arguments,
        )
        self._instance_id = instance_id
        self._shares = shares
        self._sample_peers = sample_peers
        self._observe = observe

    def send_update(self) -> None:
        """Sends peers this instance's rates while a service is short.

        An instance without requests sends an empty message: receivers scale
        the sums by the number of instances that they hear.
        """
        self._observe()
        if not self._shares.is_any_short():
            return
        sent = self._rates_to_send()
        message = ttypes.TeamDemands(
            sender_id=self._instance_id,
            team_hashes=list(sent),
            asked_milli_per_s=[_milli(r.asked) for r in sent.values()],
            admitted_milli_per_s=[_milli(r.admitted) for r in sent.values()],
        )
        self._messages.send(self._sample_peers(), message)

    def _rates_to_send(self) -> dict[int, demand_rates.Rates]:
        """Returns the rates to send, by the hashes of their keys."""
        found = self._shares.rates.own()
        if len(found) <= MAX_ENTRIES:
            return {key.short_id: rates for key, rates in found.items()}
        # Costs of different services have no common unit.
        totals: dict[str, float] = collections.defaultdict(float)
        for key, rates in found.items():
            totals[key.service] += rates.asked
        own = sorted(
            found.items(),
            key=lambda item: item[1].asked / totals[item[0].service],
            reverse=True,
        )
        sent = {key.short_id: rates for key, rates in own[:_LARGEST_ENTRIES]}
        rest = own[_LARGEST_ENTRIES:]
        drawn = self._random.sample(rest, MAX_ENTRIES - _LARGEST_ENTRIES)
        for key, rates in drawn:
            sent[key.short_id] = rates.times(len(rest) / len(drawn))
        return sent

    def _receive(self, message: ttypes.TeamDemands) -> None:
        # A peer may omit any field, which is None then.
        if message.sender_id in (None, self._instance_id):
            return
        rates = {}
        for short_id, asked, admitted in zip(
            (message.team_hashes or ())[:MAX_ENTRIES],
            message.asked_milli_per_s or (),
            message.admitted_milli_per_s or (),
            strict=False,
        ):
            if min(asked, admitted) >= 0:
                # A request may be asked for just before what the window still
                # holds and admitted just after.
                rates[short_id] = demand_rates.Rates(
                    asked=asked / _MILLI,
                    admitted=min(asked, admitted) / _MILLI,
                )
        self._shares.rates.note_report(message.sender_id, rates)


def _milli(rate: float) -> int:
    return min(round(rate * _MILLI), _MAX_I32)
