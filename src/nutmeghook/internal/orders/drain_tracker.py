"""When the work of a withdrawn version has ended."""

import datetime

from nutmeghook.internal.config import documents
from nutmeghook.internal.orders import fleet_reading
from nutmeghook.internal.orders import planning

# A withdrawal is in force everywhere within 4 s; queued work is checked
# again at dispatch. The rest is for clocks and for reports that are late.
WITHDRAWAL_PROPAGATION = datetime.timedelta(seconds=10)
SURPLUS_RETENTION = datetime.timedelta(minutes=5)


class DrainTracker:
    """Remembers since when each replica was found to be too much.

    Reports don't tell which versions the running work is of. So a replica's
    work has ended when its engine was idle after the withdrawal came into
    force, or when the longest deadline has passed twice since then.
    """

    __slots__ = ("_since",)

    def __init__(self):
        self._since: dict[planning.Placement, datetime.timedelta] = {}

    def update(self, plan: planning.Plan, now: datetime.timedelta) -> None:
        """Takes in what is too much now; what isn't any more starts anew."""
        current = {*plan.withdrawn, *plan.surplus}
        self._since = {
            placement: self._since.get(placement, now) for placement in current
        }

    def placements(self) -> list[planning.Placement]:
        """Returns the replicas that were too much when last noted."""
        return list(self._since)

    def has_drained(
        self,
        placement: planning.Placement,
        view: fleet_reading.EngineView,
        snapshot: documents.Snapshot,
        now: datetime.timedelta,
    ) -> bool:
        """Tells whether a withdrawn version's work on an engine has ended."""
        in_force_at = self._since[placement] + WITHDRAWAL_PROPAGATION
        if view.idle and view.measured_at > in_force_at:
            return True
        return now > in_force_at + 2 * _longest_deadline(snapshot)

    def stayed_surplus(
        self, placement: planning.Placement, now: datetime.timedelta
    ) -> bool:
        """Tells whether a replica has been surplus for long."""
        return now - self._since[placement] >= SURPLUS_RETENTION


def _longest_deadline(snapshot: documents.Snapshot) -> datetime.timedelta:
    longest_ms = max(
        (template.deadline_ms for template in snapshot.templates.values()),
        default=0,
    )
    return datetime.timedelta(milliseconds=longest_ms)
