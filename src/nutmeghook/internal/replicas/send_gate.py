"""Decides which replicas this instance may send to.

The gate is checked when a replica is chosen and again before the request is
written, since the decision may change while a connection is being opened.
"""

import abc
from collections.abc import Callable
from collections.abc import Iterable
import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import brittle_replicas
from nutmeghook.internal.replicas import evacuations as evacuations_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_shares
from nutmeghook.internal.replicas import send_window
from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.replicas import share_loans
from nutmeghook.internal.routes import model

# A limit that was not stated for so long is confirmed by a request, so that its
# end is known within a second or two.
_CONFIRMATION_PERIOD = datetime.timedelta(seconds=1)


class HeldBack(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that asked for fewer requests, and gets none now.

    Attributes:
        signal: What it asked for, as a short name for logs and counters.
        until: Monotonic time at which this instance may send to it again; None
            if that is not known.
    """

    replica_id: str
    signal: str
    until: datetime.timedelta | None


class SendGate(abc.ABC):
    """Decides which replicas may be sent to."""

    __slots__ = ()

    @abc.abstractmethod
    def is_open(self, replica: replica_module.Replica) -> bool:
        """Returns whether one more request may be sent to a replica."""

    @abc.abstractmethod
    def reserve(
        self, replica: replica_module.Replica
    ) -> send_window.SendSlot | None:
        """Reserves a slot at a replica; None if slots are not counted."""

    @abc.abstractmethod
    def may_write(
        self,
        replica: replica_module.Replica,
        slot: send_window.SendSlot | None,
    ) -> bool:
        """Returns whether a request may be written now; then it counts."""

    @abc.abstractmethod
    def unconfirmed(self, service: str) -> list[replica_module.Replica]:
        """Returns the open replicas that should get a request soon.

        Their limit was last heard a while ago, and only an answer tells whether
        it still holds.
        """

    @abc.abstractmethod
    def held_back(self, service: str) -> list[HeldBack]:
        """Returns the replicas that get no requests at their own wish."""


class OpenGate(SendGate):
    """Admits every request; for emulators and tests."""

    __slots__ = ()

    def is_open(self, replica: replica_module.Replica) -> bool:
        """Admits every request."""
        return True

    def reserve(self, replica: replica_module.Replica) -> None:
        """Counts no requests."""

    def may_write(
        self,
        replica: replica_module.Replica,
        slot: send_window.SendSlot | None,
    ) -> bool:
        """Admits every request."""
        return True

    def unconfirmed(self, service: str) -> list[replica_module.Replica]:
        """Knows of no limit."""
        return []

    def held_back(self, service: str) -> list[HeldBack]:
        """Holds nothing back."""
        return []


class LimitingGate(SendGate):
    """Keeps requests away from leaving, evacuated and limited replicas.

    Args:
        evacuations: The data centres under evacuation.
        senders: Tells whether this instance may send to a limited replica.
        service: Returns a service by its name; None if it is not known.
        asking: Returns the replicas that ask their senders for something.
        cold_share: Returns how the rate of a service's cold replicas is
            divided.
        clock: Measures time.
        brittle: The brittle replicas; None if there never are any.
        loans: Shares lent among senders; None for none.
    """

    __slots__ = (
        "_asking",
        "_brittle",
        "_clock",
        "_cold_share",
        "_evacuations",
        "_loans",
        "_senders",
        "_service",
    )

    def __init__(
        self,
        *,
        evacuations: evacuations_module.EvacuationRegistry,
        senders: sender_election.SenderElection,
        asking: Callable[[], Iterable[replica_module.Replica]],
        service: Callable[[str], model.Service | None],
        cold_share: Callable[[model.Service], send_shares.SendShare | None],
        clock: clock_module.Clock,
        brittle: brittle_replicas.BrittleReplicas | None = None,
        loans: share_loans.ShareLoans | None = None,
    ):
        self._loans = loans
        self._brittle = brittle
        self._evacuations = evacuations
        self._senders = senders
        self._asking = asking
        self._service = service
        self._cold_share = cold_share
        self._clock = clock

    def is_open(self, replica: replica_module.Replica) -> bool:
        """Returns whether one more request may be sent to a replica."""
        return self._admits(replica, own_slots=0)

    def reserve(self, replica: replica_module.Replica) -> send_window.SendSlot:
        """Reserves a slot at a replica.

        Slots at unlimited replicas count too: a replica may turn cold or state
        a limit at any moment, and what it got before counts towards it.
        """
        return replica.sends.reserve(self._clock.monotonic())

    def may_write(
        self,
        replica: replica_module.Replica,
        slot: send_window.SendSlot | None,
    ) -> bool:
        """Returns whether a request may be written now; then it counts."""
        own_slots = 0 if slot is None else 1
        if not self._admits(replica, own_slots=own_slots):
            return False
        if not self._try_use(replica, slot):
            return False
        if self._brittle is not None:
            self._brittle.spend(replica)
        return True

    def _try_use(
        self,
        replica: replica_module.Replica,
        slot: send_window.SendSlot | None,
    ) -> bool:
        now = self._clock.monotonic()
        if slot is not None and slot.try_use(now):
            return True
        # The slot expired because this process was busy. Only a limited
        # replica needs a valid one.
        if self._shares(replica, now):
            return False
        return replica.sends.reserve(now).try_use(now)

    def unconfirmed(self, service: str) -> list[replica_module.Replica]:
        """Returns the open replicas that should get a request soon."""
        now = self._clock.monotonic()
        oldest = now - _CONFIRMATION_PERIOD
        return [
            replica
            for replica in self._asking()
            if replica.entry.service == service
            and replica.rate_limit_per_s is not None
            and replica.rate_limit.heard_at <= oldest
            and not replica.sends.count(now, _CONFIRMATION_PERIOD)
            and self._admits(replica, own_slots=0)
        ]

    def held_back(self, service: str) -> list[HeldBack]:
        """Returns the replicas that get no requests at their own wish."""
        now = self._clock.monotonic()
        held = (
            self._reason_held(replica, now)
            for replica in self._asking()
            if replica.entry.service == service
        )
        found = [replica for replica in held if replica is not None]
        if self._brittle is not None:
            found += [
                _held_back(replica, "brittle", until=None)
                for replica in self._brittle.without_room(service)
            ]
        return found

    def _reason_held(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> HeldBack | None:
        """Returns why a replica gets no requests; None if it may get some."""
        if replica.is_leaving:
            return _held_back(replica, "leaving", until=None)
        if replica.is_resting(now):
            return _held_back(replica, "rest", until=replica.rest_until)
        if replica.rate_limit_per_s is None:
            return None
        share = send_shares.rate_limit_share(replica.rate_limit_per_s)
        if self._has_room(replica, share, now, own_slots=0):
            return None
        if self._loans is not None:
            self._loans.note_short(replica)
        return _held_back(
            replica, "rate_limit", until=self._room_at(replica, share, now)
        )

    def _room_at(
        self,
        replica: replica_module.Replica,
        share: send_shares.SendShare,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns when this instance may send one more within its share."""
        allowed = self._allowed(replica, share)
        if not allowed:
            return None
        return replica.sends.room_at(now, share.window, allowed)

    def note_restored(self, replicas: Iterable[replica_module.Replica]) -> None:
        """Treats replicas as cold when their evacuation has ended.

        They may have turned cold shortly before, which they report with their
        next heartbeat.
        """
        now = self._clock.monotonic()
        for replica in replicas:
            service = self._service(replica.entry.service)
            if service is not None:
                replica.note_cold(now + service.cold_time)

    def _admits(
        self, replica: replica_module.Replica, *, own_slots: int
    ) -> bool:
        if replica.is_leaving:
            return False
        if self._evacuations.is_evacuated(replica.entry.data_centre):
            return False
        now = self._clock.monotonic()
        if replica.is_resting(now):
            return False
        if self._brittle is not None and not self._brittle.has_room(
            replica, own_requests=own_slots
        ):
            return False
        return all(
            self._has_room(replica, share, now, own_slots=own_slots)
            for share in self._shares(replica, now)
        )

    def _has_room(
        self,
        replica: replica_module.Replica,
        share: send_shares.SendShare,
        now: datetime.timedelta,
        *,
        own_slots: int,
    ) -> bool:
        """Tells whether this instance may send one more within its share."""
        sent = replica.sends.count(now, share.window) - own_slots
        allowed = self._allowed(replica, share)
        own = self._own_share(replica, share)
        if own <= sent < allowed:
            self._loans.note_short(replica)
        return sent < allowed

    def _allowed(
        self, replica: replica_module.Replica, share: send_shares.SendShare
    ) -> int:
        """Returns what this instance may send within a share's window."""
        if self._loans is None or not share.is_lent:
            return self._own_share(replica, share)
        return self._loans.allowed(replica, share)

    def _own_share(
        self, replica: replica_module.Replica, share: send_shares.SendShare
    ) -> int:
        """Returns this instance's share, without loans."""
        place = self._place(replica, share)
        return 0 if place is None else share.of_sender(place)

    def _place(
        self,
        replica: replica_module.Replica,
        share: send_shares.SendShare,
    ) -> sender_election.SenderPlace | None:
        entry = replica.entry
        return self._senders.place(
            entry.replica_id, entry.data_centre, share.max_senders
        )

    def _shares(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> list[send_shares.SendShare]:
        """Returns the divisions of what the replica takes; none if unlimited.

        All of them bind.
        """
        shares = []
        if replica.is_cold(now):
            shares.append(self._cold_share_at(replica))
        if replica.rate_limit_per_s is not None:
            shares.append(
                send_shares.rate_limit_share(replica.rate_limit_per_s)
            )
        return [share for share in shares if share is not None]

    def _cold_share_at(
        self, replica: replica_module.Replica
    ) -> send_shares.SendShare | None:
        service = self._service(replica.entry.service)
        return None if service is None else self._cold_share(service)


def _held_back(
    replica: replica_module.Replica,
    signal: str,
    *,
    until: datetime.timedelta | None,
) -> HeldBack:
    return HeldBack(
        replica_id=replica.entry.replica_id, signal=signal, until=until
    )
