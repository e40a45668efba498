"""Which replicas are brittle, and what may be sent to them.

The replicas of a service are brittle together, and say so in all their answers.
An instance of a large fleet hears each of them seldom, so what one says holds
for those of its service that it has not heard lately.
"""

import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import own_traffic
from nutmeghook.internal.replicas import refusal_risk
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_shares
from nutmeghook.internal.replicas import sender_election

# A statement that was not repeated for so long has probably ended.
_STATEMENT_LIFETIME = datetime.timedelta(seconds=10)
# How often a service's traffic is measured, and over how long.
_TRAFFIC_LIFETIME = datetime.timedelta(milliseconds=100)
_TRAFFIC_WINDOW = datetime.timedelta(seconds=2)
# Weight of one measurement in the average of this instance's part.
_PART_WEIGHT = 0.2
# An instance with few requests counts at least this part of an equal one's, as
# its requests may come back at any moment.
_MIN_RELATIVE_PART = 0.25


class _Statement(msgspec.Struct, frozen=True, kw_only=True):
    """What a brittle replica said.

    Attributes:
        refusals_per_s: How many requests the replica may turn away in a second.
        heard_at: Monotonic time at which the answer arrived.
    """

    refusals_per_s: int
    heard_at: datetime.timedelta


class _MeasuredTraffic(msgspec.Struct, frozen=True, kw_only=True):
    traffic: refusal_risk.ServiceTraffic
    own_part: float
    at: datetime.timedelta


class BrittleReplicas:
    """Records statements, and keeps the risk of refusals within bounds.

    Attributes:
        fleet_size: Returns how many instances there are.
        senders: Elects those among which a replica's slots are divided; None
            for no division.
    """

    __slots__ = (
        "_budgets",
        "_by_replica",
        "_by_service",
        "_clock",
        "_directory",
        "_traffic",
        "fleet_size",
        "senders",
    )

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        clock: clock_module.Clock,
    ):
        self._directory = directory
        self._clock = clock
        self._by_replica: dict[int, _Statement] = {}
        self._by_service: dict[str, _Statement] = {}
        self._budgets: dict[int, refusal_risk.RefusalBudget] = {}
        self._traffic: dict[str, _MeasuredTraffic] = {}
        self.fleet_size = lambda: 1
        self.senders: sender_election.SenderElection | None = None

    def note_answer(
        self,
        replica: replica_module.Replica,
        refusals_per_s: int | None,
        *,
        sent_at: datetime.timedelta,
        refused: bool,
    ) -> None:
        """Records what an answer says of its replica.

        Args:
            replica: The replica that gave the answer.
            refusals_per_s: As the answer states; None if it states nothing.
            sent_at: When the request was sent.
            refused: The replica turned the request away.
        """
        known = self._by_replica.get(replica.short_id)
        if known is None or _counts(known, refusals_per_s, sent_at=sent_at):
            self._log_change(replica, known, refusals_per_s)
            if refusals_per_s is None:
                self._note_sound(replica, sent_at)
            else:
                self._note_brittle(replica, refusals_per_s)
        if refused and self.refusals_per_s(replica) is not None:
            self._budget(replica).note_refused(self._clock.monotonic())

    def refusals_per_s(self, replica: replica_module.Replica) -> int | None:
        """Returns how many requests a replica may turn away in a second.

        Returns:
            None if it is not brittle, as far as known.
        """
        if not self._by_service and not self._by_replica:
            return None
        oldest = self._clock.monotonic() - _STATEMENT_LIFETIME
        own = self._by_replica.get(replica.short_id)
        if own is not None and own.heard_at >= oldest:
            return own.refusals_per_s
        of_service = self._by_service.get(replica.entry.service)
        if of_service is not None and of_service.heard_at >= oldest:
            return of_service.refusals_per_s
        return None

    def has_room(
        self, replica: replica_module.Replica, *, own_requests: int
    ) -> bool:
        """Tells whether one more request may be sent to a replica.

        Args:
            replica: The replica.
            own_requests: How many of its attempts in flight are this request.
        """
        refusals_per_s = self.refusals_per_s(replica)
        if refusals_per_s is None:
            return True
        traffic = self._measured(replica.entry.service)
        now = self._clock.monotonic()
        if self._is_within_share(replica, own_requests):
            return not refusal_risk.is_full(
                replica, now, own_requests=own_requests
            )
        return self._budget(replica).allows(
            refusal_risk.refusal_risk(
                replica, traffic, now, own_requests=own_requests
            ),
            now,
            rate_per_s=refusal_risk.budget_per_s(refusals_per_s, traffic),
        )

    def spend(self, replica: replica_module.Replica) -> None:
        """Records that a request, counted in flight, is written now."""
        refusals_per_s = self.refusals_per_s(replica)
        if refusals_per_s is None or self._is_within_share(replica, 1):
            return
        traffic = self._measured(replica.entry.service)
        now = self._clock.monotonic()
        self._budget(replica).spend(
            refusal_risk.refusal_risk(replica, traffic, now, own_requests=1),
            now,
            rate_per_s=refusal_risk.budget_per_s(refusals_per_s, traffic),
        )

    def without_room(self, service: str) -> list[replica_module.Replica]:
        """Returns the brittle replicas that get no requests now."""
        if not self._by_service and not self._by_replica:
            return []
        return [
            replica
            for replica in self._directory.of_service(service)
            if not replica.is_leaving
            and not self.has_room(replica, own_requests=0)
        ]

    def count(self) -> int:
        """Returns the number of brittle replicas."""
        return sum(
            self.refusals_per_s(replica) is not None
            for replica in self._directory.all()
        )

    def _is_within_share(
        self, replica: replica_module.Replica, own_requests: int
    ) -> bool:
        """Tells whether a slot is this instance's own.

        The slots of a replica are divided among instances that are elected,
        so that together they never have more requests there.
        """
        if self.senders is None:
            return False
        entry = replica.entry
        share = send_shares.occupancy_share(entry.slots)
        place = self.senders.place(
            entry.replica_id, entry.data_centre, share.max_senders
        )
        if place is None:
            return False
        return replica.in_flight - own_requests < share.of_sender(place)

    def _note_brittle(
        self, replica: replica_module.Replica, refusals_per_s: int
    ) -> None:
        now = self._clock.monotonic()
        statement = _Statement(refusals_per_s=refusals_per_s, heard_at=now)
        self._drop_old(now)
        self._by_replica[replica.short_id] = statement
        self._by_service[replica.entry.service] = statement

    def _note_sound(
        self, replica: replica_module.Replica, sent_at: datetime.timedelta
    ) -> None:
        """Drops what was said by a replica, and for those that were not heard.

        Its service's others go by their own statements.
        """
        self._by_replica.pop(replica.short_id, None)
        known = self._by_service.get(replica.entry.service)
        if known is not None and sent_at >= known.heard_at:
            del self._by_service[replica.entry.service]

    def _log_change(
        self,
        replica: replica_module.Replica,
        known: _Statement | None,
        refusals_per_s: int | None,
    ) -> None:
        before = known.refusals_per_s if known else None
        if refusals_per_s != before:
            logs.note(
                "replica:brittle",
                replica=replica.entry.replica_id,
                refusals_per_s=refusals_per_s,
                before=before,
            )

    def _drop_old(self, now: datetime.timedelta) -> None:
        oldest = now - _STATEMENT_LIFETIME
        self._by_replica = {
            short_id: statement
            for short_id, statement in self._by_replica.items()
            if statement.heard_at >= oldest
        }
        self._budgets = {
            short_id: budget
            for short_id, budget in self._budgets.items()
            if self._directory.by_short_id(short_id) is not None
        }

    def _budget(
        self, replica: replica_module.Replica
    ) -> refusal_risk.RefusalBudget:
        return self._budgets.setdefault(
            replica.short_id, refusal_risk.RefusalBudget()
        )

    def _measured(self, service: str) -> refusal_risk.ServiceTraffic:
        """Returns the traffic of a service, measured a moment ago."""
        now = self._clock.monotonic()
        known = self._traffic.get(service)
        if known is not None and now - known.at < _TRAFFIC_LIFETIME:
            return known.traffic
        replicas = [
            replica
            for replica in self._directory.of_service(service)
            if not replica.is_leaving
        ]
        sent = sum(
            replica.sends.count(now, _TRAFFIC_WINDOW) for replica in replicas
        )
        sent_per_s = sent / _TRAFFIC_WINDOW.total_seconds()
        equal_part = 1 / max(1, self.fleet_size())
        own_part = own_traffic.measured_part(replicas, now)
        if own_part is None:
            own_part = equal_part
        elif known is not None:
            own_part = known.own_part + _PART_WEIGHT * (
                own_part - known.own_part
            )
        counted_part = max(own_part, equal_part * _MIN_RELATIVE_PART)
        load = self._directory.baseline_load(service)
        traffic = refusal_risk.ServiceTraffic(
            own_part=counted_part,
            per_s=sent_per_s / counted_part / max(1, len(replicas)),
            occupancy=load.running + load.waiting,
        )
        self._traffic[service] = _MeasuredTraffic(
            traffic=traffic, own_part=own_part, at=now
        )
        return traffic


def _counts(
    known: _Statement,
    refusals_per_s: int | None,
    *,
    sent_at: datetime.timedelta,
) -> bool:
    """Tells whether a statement takes the place of a known one.

    Answers overtake each other: a looser one counts only if it was made later
    for certain.
    """
    if sent_at >= known.heard_at:
        return True
    return refusals_per_s is not None and refusals_per_s <= known.refusals_per_s
