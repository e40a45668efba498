"""Loans of unused shares between the senders of a limited replica.

Callers' connections are not spread evenly, and may nearly all come to one
instance for a while. Its share of what a replica takes is then too small, while
those of the others stay unused. So an instance that is short asks the replica's
senders, and each lends what it does not use. The lender goes without until the
borrower's requests no longer count, also if the loan is lost on the way, so
that all together never send more than the replica takes.
"""

import asyncio
import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_shares
from nutmeghook.internal.replicas import sender_election

# How long a borrower may use a loan. Short, so that a lender whose callers
# return has its share back soon; a borrower that is still short asks again.
LOAN_LIFETIME = datetime.timedelta(seconds=1)
# A loan may take so long to its borrower, and clocks may drift.
_TRANSIT_TIME = datetime.timedelta(milliseconds=500)
# For so long after a request had no room its instance is short.
_SHORTAGE_LIFETIME = datetime.timedelta(seconds=1)
# A lender keeps so many requests beyond those that it sends.
_KEPT_REQUESTS = 1


class Loan(msgspec.Struct, frozen=True, kw_only=True):
    """Requests within a share's window that another instance may send.

    Attributes:
        requests: How many.
        until: Monotonic time. For the borrower: of the last send. For the
            lender: from when it may send them itself.
    """

    requests: int
    until: datetime.timedelta


# By the instance at the other end.
_Loans = dict[str, Loan]


class ShareLoans:
    """What this instance has lent and borrowed, by the replica's short id.

    Attributes:
        asking: Set while this instance is short.
    """

    __slots__ = ("_borrowed", "_clock", "_lent", "_senders", "_short", "asking")

    def __init__(
        self,
        *,
        senders: sender_election.SenderElection,
        clock: clock_module.Clock,
    ):
        self._senders = senders
        self._clock = clock
        self._borrowed: dict[int, _Loans] = {}
        self._lent: dict[int, _Loans] = {}
        # When a request last needed more than this instance's share.
        self._short: dict[int, datetime.timedelta] = {}
        self.asking = asyncio.Event()

    def allowed(
        self, replica: replica_module.Replica, share: send_shares.SendShare
    ) -> int:
        """Returns what this instance may send within a share's window."""
        own = self._own_share(replica, share)
        lent = self._sum(self._lent, replica)
        return max(0, own - lent) + self._sum(self._borrowed, replica)

    def note_short(self, replica: replica_module.Replica) -> None:
        """Records that a request needs more than this instance's own share."""
        self._short[replica.short_id] = self._clock.monotonic()
        self.asking.set()

    def short_replicas(self) -> list[int]:
        """Returns the replicas for which this instance asks for loans."""
        oldest = self._clock.monotonic() - _SHORTAGE_LIFETIME
        self._short = {
            short_id: at for short_id, at in self._short.items() if at > oldest
        }
        if not self._short:
            self.asking.clear()
        return list(self._short)

    def lend(
        self,
        replica: replica_module.Replica,
        share: send_shares.SendShare,
        *,
        borrower: str,
    ) -> int:
        """Lends another instance what this one does not use of its share.

        A loan to the same borrower is prolonged, and grows if more is unused.

        Returns:
            How many requests the borrower may send within the share's window;
            0 for no loan.
        """
        now = self._clock.monotonic()
        unused = (
            self._own_share(replica, share)
            - self._sum(self._lent, replica)
            - replica.sends.count(now, share.window)
            - _KEPT_REQUESTS
        )
        loans = self._lent.setdefault(replica.short_id, {})
        known = loans.get(borrower)
        requests = max(0, unused) + (known.requests if known else 0)
        if self._is_short(replica, now) or not requests:
            return 0
        loans[borrower] = Loan(
            requests=requests,
            until=now + LOAN_LIFETIME + _TRANSIT_TIME + share.window,
        )
        return requests

    def borrow(
        self,
        replica: replica_module.Replica,
        *,
        lender: str,
        requests: int,
    ) -> None:
        """Records a loan; it takes the place of the lender's former one."""
        self._borrowed.setdefault(replica.short_id, {})[lender] = Loan(
            requests=requests, until=self._clock.monotonic() + LOAN_LIFETIME
        )

    def _own_share(
        self, replica: replica_module.Replica, share: send_shares.SendShare
    ) -> int:
        entry = replica.entry
        place = self._senders.place(
            entry.replica_id, entry.data_centre, share.max_senders
        )
        return 0 if place is None else share.of_sender(place)

    def _is_short(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> bool:
        at = self._short.get(replica.short_id)
        return at is not None and now - at < _SHORTAGE_LIFETIME

    def _sum(
        self, by_replica: dict[int, _Loans], replica: replica_module.Replica
    ) -> int:
        """Returns the requests of all loans that still run, drops the rest."""
        loans = by_replica.get(replica.short_id)
        if loans is None:
            return 0
        now = self._clock.monotonic()
        running = {i: loan for i, loan in loans.items() if loan.until > now}
        if running:
            by_replica[replica.short_id] = running
        else:
            del by_replica[replica.short_id]
        return sum(loan.requests for loan in running.values())
