"""Which replicas this instance may send to at all, asked twice.

Once when a replica is chosen, and again as the request is written: between
the two a connection may be made, and what is known may change.
"""

import abc
from collections.abc import Callable
from collections.abc import Iterable

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import cold_limits
from nutmeghook.internal.replicas import cold_senders as cold_senders_module
from nutmeghook.internal.replicas import evacuations as evacuations_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_window
from nutmeghook.internal.routes import model


class SendGate(abc.ABC):
    """Tells which replicas may be sent to."""

    __slots__ = ()

    @abc.abstractmethod
    def is_open(self, replica: replica_module.Replica) -> bool:
        """Tells whether one more request may go to a replica."""

    @abc.abstractmethod
    def reserve(
        self, replica: replica_module.Replica
    ) -> send_window.SendSlot | None:
        """Takes a place at a replica; None where places are not counted."""

    @abc.abstractmethod
    def may_write(
        self,
        replica: replica_module.Replica,
        slot: send_window.SendSlot | None,
    ) -> bool:
        """Tells whether a request may be written now, and notes that it is."""


class OpenGate(SendGate):
    """Lets everything through; for emulations and tests."""

    __slots__ = ()

    def is_open(self, replica: replica_module.Replica) -> bool:
        """Lets it through."""
        return True

    def reserve(self, replica: replica_module.Replica) -> None:
        """Counts nothing."""

    def may_write(
        self,
        replica: replica_module.Replica,
        slot: send_window.SendSlot | None,
    ) -> bool:
        """Lets it through."""
        return True


class LimitingGate(SendGate):
    """Keeps requests from evacuated and from overloaded cold replicas.

    Args:
        evacuations: The data centres that are being emptied.
        senders: Tells whether this instance may send to a cold replica.
        service: Returns a service by its name; None if it is not known.
        share: Returns how a service's cold replicas are shared.
        clock: Measures time.
    """

    __slots__ = ("_clock", "_evacuations", "_senders", "_service", "_share")

    def __init__(
        self,
        *,
        evacuations: evacuations_module.EvacuationRegistry,
        senders: cold_senders_module.ColdSenders,
        service: Callable[[str], model.Service | None],
        share: Callable[[model.Service], cold_limits.ColdShare | None],
        clock: clock_module.Clock,
    ):
        self._evacuations = evacuations
        self._senders = senders
        self._service = service
        self._share = share
        self._clock = clock

    def is_open(self, replica: replica_module.Replica) -> bool:
        """Tells whether one more request may go to a replica."""
        return self._admits(replica, own_slots=0)

    def reserve(
        self, replica: replica_module.Replica
    ) -> send_window.SendSlot | None:
        """Takes a place at a replica; None where places are not counted.

        Warm replicas' places count too: one may turn cold at any moment, and
        what it got in the second before counts with what follows.
        """
        if self._share_at(replica) is None:
            return None
        return replica.sends.reserve(self._clock.monotonic())

    def may_write(
        self,
        replica: replica_module.Replica,
        slot: send_window.SendSlot | None,
    ) -> bool:
        """Tells whether a request may be written now, and notes that it is."""
        own_slots = 0 if slot is None else 1
        if not self._admits(replica, own_slots=own_slots):
            return False
        now = self._clock.monotonic()
        if slot is None or slot.try_use(now):
            return True
        # A busy process was late for its place, which only a cold one's request
        # depends on.
        if replica.is_cold(now):
            return False
        return replica.sends.reserve(now).try_use(now)

    def note_restored(self, replicas: Iterable[replica_module.Replica]) -> None:
        """Takes in that replicas are in use again after an evacuation.

        They may have turned cold shortly before, and their word of it comes
        with their next heartbeat.
        """
        now = self._clock.monotonic()
        for replica in replicas:
            service = self._service(replica.entry.service)
            if service is not None:
                replica.note_cold(now + service.cold_time)

    def _admits(
        self, replica: replica_module.Replica, *, own_slots: int
    ) -> bool:
        if self._evacuations.is_evacuated(replica.entry.data_centre):
            return False
        now = self._clock.monotonic()
        if not replica.is_cold(now):
            return True
        share = self._share_at(replica)
        if share is None:
            return True
        if not self._senders.includes_this(
            replica.entry.replica_id, share.senders
        ):
            return False
        return replica.sends.count(now) - own_slots < share.each_per_s

    def _share_at(
        self, replica: replica_module.Replica
    ) -> cold_limits.ColdShare | None:
        service = self._service(replica.entry.service)
        return None if service is None else self._share(service)
