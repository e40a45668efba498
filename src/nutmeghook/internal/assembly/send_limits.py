"""Builds the limits on sending requests to replicas."""

from collections.abc import Callable

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import evacuations
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import send_shares
from nutmeghook.internal.replicas import sender_election
from nutmeghook.internal.replicas import share_loans
from nutmeghook.internal.replicas import signal_registry
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.platform import settings as settings_module


class SendLimits:
    """The limits on what this instance may send, and their sources.

    Args:
        settings: Returns the settings in force.
        configuration: The configuration in force.
        directory: The known replicas.
        clock: Measures time.

    Attributes:
        evacuations: The data centres that are being evacuated.
        senders: Tells which limited replicas this instance may send to.
        signals: What replicas ask of their senders.
        loans: Shares lent among the senders of limited replicas.
        gate: Asked before each request is sent.
    """

    __slots__ = (
        "_configuration",
        "_directory",
        "_settings",
        "evacuations",
        "gate",
        "loans",
        "senders",
        "signals",
    )

    def __init__(
        self,
        *,
        settings: Callable[[], settings_module.InstanceSettings],
        configuration: in_force_module.ConfigurationInForce,
        directory: directory_module.ReplicaDirectory,
        clock: clock_module.Clock,
    ):
        self._settings = settings
        self._configuration = configuration
        self._directory = directory
        self.evacuations = evacuations.EvacuationRegistry(
            on_restored=self._note_restored
        )
        self.senders = sender_election.SenderElection(
            instance_id=settings().instance_id,
            data_centre=settings().data_centre,
            clock=clock,
        )
        self.signals = signal_registry.SignalRegistry(
            directory=directory, clock=clock
        )
        self.signals.brittle.senders = self.senders
        self.loans = share_loans.ShareLoans(senders=self.senders, clock=clock)
        self.gate = send_gate.LimitingGate(
            evacuations=self.evacuations,
            senders=self.senders,
            asking=self.signals.asking,
            service=self._service,
            cold_share=self._cold_share,
            clock=clock,
            brittle=self.signals.brittle,
            loans=self.loans,
        )

    def _service(self, name: str) -> model.Service | None:
        current = self._configuration.current
        return current.services.get(name) if current else None

    def _cold_share(
        self, service: model.Service
    ) -> send_shares.SendShare | None:
        settings = self._settings()
        return send_shares.cold_share(
            per_s=service.cold_per_s,
            overrun=settings.cold_overrun,
            allowance=settings.cold_allowance,
        )

    def _note_restored(self, data_centre: str) -> None:
        self.gate.note_restored(
            replica
            for replica in self._directory.all()
            if replica.entry.data_centre == data_centre
        )
