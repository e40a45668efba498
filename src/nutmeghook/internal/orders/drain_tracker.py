"""When a withdrawn or surplus replica may be unloaded."""

import datetime

from nutmeghook.internal.config import documents
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import planning

# A withdrawal is in force on all instances within 4 s, and queued requests are
# checked again at dispatch. The rest allows for clock differences and for late
# reports.
WITHDRAWAL_PROPAGATION = datetime.timedelta(seconds=10)
SURPLUS_RETENTION = datetime.timedelta(minutes=5)


class DrainTracker:
    """Records since when each replica has been withdrawn or surplus.

    Reports don't say which versions the running generations use. So a replica
    has drained when its engine was idle after the withdrawal came into force,
    or when twice the longest deadline has passed since then.
    """

    __slots__ = ("_since",)

    def __init__(self):
        self._since: dict[planning.Placement, datetime.timedelta] = {}

    def update(self, plan: planning.Plan, now: datetime.timedelta) -> None:
        """Records the plan's removals; known ones keep their start time."""
        current = {*plan.withdrawn, *plan.surplus}
        self._since = {
            placement: self._since.get(placement, now) for placement in current
        }

    def placements(self) -> list[planning.Placement]:
        """Returns the replicas to be removed as of the last update."""
        return list(self._since)

    def has_drained(
        self,
        placement: planning.Placement,
        view: fleet_reading.EngineView,
        snapshot: documents.Snapshot,
        now: datetime.timedelta,
    ) -> bool:
        """Tells whether no request can use a withdrawn version any more."""
        in_force_at = self._since[placement] + WITHDRAWAL_PROPAGATION
        if view.idle and view.measured_at > in_force_at:
            return True
        return now > in_force_at + 2 * _longest_deadline(snapshot)

    def has_stayed_surplus(
        self, placement: planning.Placement, now: datetime.timedelta
    ) -> bool:
        """Tells whether a replica was surplus for `SURPLUS_RETENTION`."""
        return now - self._since[placement] >= SURPLUS_RETENTION


def _longest_deadline(snapshot: documents.Snapshot) -> datetime.timedelta:
    longest_ms = max(
        (template.deadline_ms for template in snapshot.templates.values()),
        default=0,
    )
    return datetime.timedelta(milliseconds=longest_ms)
