"""Decides which replicas this instance may send to.

The gate is checked when a replica is chosen and again before the request is
written, since the decision may change while a connection is being opened.
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


class LimitingGate(SendGate):
    """Keeps requests away from evacuated and overloaded cold replicas.

    Args:
        evacuations: The data centres under evacuation.
        senders: Decides whether this instance may send to a cold replica.
        service: Returns a service by its name; None if it is not known.
        share: Returns how the rate of a service's cold replicas is divided.
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
        """Returns whether one more request may be sent to a replica."""
        return self._admits(replica, own_slots=0)

    def reserve(
        self, replica: replica_module.Replica
    ) -> send_window.SendSlot | None:
        """Reserves a slot at a replica; None if slots are not counted.

        Slots at warm replicas count too: a replica may turn cold at any moment,
        and what it got in the second before counts towards its limit.
        """
        if self._share_at(replica) is None:
            return None
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
        now = self._clock.monotonic()
        if slot is None or slot.try_use(now):
            return True
        # The slot expired because this process was busy. Only a cold replica
        # needs a valid one.
        if replica.is_cold(now):
            return False
        return replica.sends.reserve(now).try_use(now)

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
