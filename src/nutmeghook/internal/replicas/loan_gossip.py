"""Asks a limited replica's senders for loans, and answers those who ask."""

from collections.abc import Callable
from collections.abc import Mapping
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner import messages as messages_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_shares
from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.replicas import share_loans

# Loans are asked for again this often, so that two lost messages in a row don't
# end one.
_PERIOD = share_loans.LOAN_LIFETIME / 4
# A message of so many fits into one packet.
_MAX_REPLICAS = 64


class LoanGossip(gossip_senders.GossipSender):
    """Exchanges loans with the other senders of limited replicas.

    Args:
        addresses: Returns the inner addresses of peers by their ids.
    """

    __slots__ = (
        "_addresses",
        "_clock",
        "_directory",
        "_instance_id",
        "_loans",
        "_messages",
        "_random",
        "_senders",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        loans: share_loans.ShareLoans,
        senders: sender_election.SenderElection,
        directory: directory_module.ReplicaDirectory,
        addresses: Callable[[], Mapping[str, str]],
        messages: messages_module.Messages,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._instance_id = instance_id
        self._loans = loans
        self._senders = senders
        self._directory = directory
        self._addresses = addresses
        self._messages = messages
        self._clock = clock
        self._random = random_source
        messages.register(ttypes.ShareAsk, self._receive_ask)
        messages.register(ttypes.ShareGrant, self._receive_grant)

    async def run(self) -> None:
        """Asks for loans while this instance is short, until cancelled."""
        while True:
            await self._loans.asking.wait()
            self.ask()
            await self._clock.sleep(_PERIOD * self._random.uniform(0.75, 1.25))

    def ask(self) -> None:
        """Asks the senders of the replicas for which this instance is short."""
        asked: dict[str, list[int]] = {}
        for short_id in self._loans.short_replicas():
            replica = self._directory.by_short_id(short_id)
            share = _lent_share(replica)
            if share is None:
                continue
            entry = replica.entry
            for sender in self._senders.senders(
                entry.replica_id, entry.data_centre, share.max_senders
            ):
                asked.setdefault(sender, []).append(short_id)
        for sender, replica_hashes in asked.items():
            self._send(
                sender,
                ttypes.ShareAsk(
                    instance_id=self._instance_id,
                    replica_hashes=replica_hashes[:_MAX_REPLICAS],
                ),
            )

    def _receive_ask(self, message: ttypes.ShareAsk) -> None:
        lent: dict[int, int] = {}
        for short_id in message.replica_hashes[:_MAX_REPLICAS]:
            replica = self._directory.by_short_id(short_id)
            share = _lent_share(replica)
            if share is None:
                continue
            requests = self._loans.lend(
                replica, share, borrower=message.instance_id
            )
            if requests:
                lent[short_id] = requests
        if lent:
            self._send(
                message.instance_id,
                ttypes.ShareGrant(
                    instance_id=self._instance_id,
                    replica_hashes=list(lent),
                    requests=list(lent.values()),
                ),
            )

    def _receive_grant(self, message: ttypes.ShareGrant) -> None:
        for short_id, requests in zip(
            message.replica_hashes, message.requests, strict=False
        ):
            replica = self._directory.by_short_id(short_id)
            if replica is not None and requests > 0:
                self._loans.borrow(
                    replica,
                    lender=message.instance_id,
                    requests=requests,
                )

    def _send(
        self, instance_id: str, message: ttypes.ShareAsk | ttypes.ShareGrant
    ) -> None:
        address = self._addresses().get(instance_id)
        if address is not None:
            self._messages.send([address], message)


def _lent_share(
    replica: replica_module.Replica | None,
) -> send_shares.SendShare | None:
    """Returns the division of a replica's limit if senders lend their parts."""
    if replica is None or replica.rate_limit_per_s is None:
        return None
    share = send_shares.rate_limit_share(replica.rate_limit_per_s)
    return share if share.is_lent else None
