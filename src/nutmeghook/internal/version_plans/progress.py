"""How far an order is, by the store's clock and by what is known here."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import schedule as schedule_module

# A version that begins its answers six times later in 6 of 10 requests is found
# after 8 answers at the median and 18 in nine of ten (simulated).
ENOUGH_AFTER_ABSENCE = 16
# Shorter ones leave most of an order's time for a proof; it is 16 s or more.
LONG_ABSENCE = datetime.timedelta(seconds=3)
# A store that has answered nobody for so long is taken to be out. Feeds of its
# readers return every 2 s at least; one word of it in a thousand is 1.9 s old
# or more.
_STORE_SILENT = datetime.timedelta(seconds=2.5)


class RollOutProgress:
    """Tells in which phase an order is.

    Args:
        schedule: Which share a new version gets, and when.
        store_monitor: What is known of the store.
        answers_seen: How many answers of a plan's version are known here.
        clock: Measures time.

    Attributes:
        schedule: May be replaced when settings change.
    """

    __slots__ = (
        "_answers_seen",
        "_away_since",
        "_clock",
        "_had_absence",
        "_store_monitor",
        "_stretch_since",
        "schedule",
    )

    def __init__(
        self,
        *,
        schedule: schedule_module.Schedule,
        store_monitor: follower.StoreMonitor,
        answers_seen: Callable[[plan_module.PlanRow], int],
        clock: clock_module.Clock,
    ):
        self.schedule = schedule
        self._store_monitor = store_monitor
        self._answers_seen = answers_seen
        self._clock = clock
        # Since when an order's last stretch has gone on here, in touch with the
        # store all the while.
        self._stretch_since: dict[int, datetime.timedelta] = {}
        self._away_since: datetime.timedelta | None = None
        # Orders in the course of which the store was away for long.
        self._had_absence: set[int] = set()

    def part_of(self, plan: plan_module.PlanRow) -> float:
        """Returns which part of a plan's time has passed."""
        store_time = self._store_monitor.store_time()
        return 0.0 if store_time is None else plan.part_at(store_time)

    def steady_part(self, plan: plan_module.PlanRow) -> float:
        """Returns the time's part, held before the last stretch at need.

        Without the store nobody can complete the roll-out, and the others'
        evidence is unheard. An instance that reads nothing itself goes by what
        readers tell.
        """
        part = self.part_of(plan)
        silent = self._store_monitor.time_since_contact() > _STORE_SILENT
        if self._store_monitor.is_unreachable or silent or self._is_thin(plan):
            part = min(part, schedule_module.MAY_MOVE_SESSIONS_AT)
        return part

    def _is_thin(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether too little was seen of a version for its last stretch.

        After an absence of the store the order is late either way, and the
        trial goes on until enough answers are known. Without one the time
        decides, since some services get few requests in all.
        """
        if plan.order_id not in self._had_absence:
            return False
        return self._answers_seen(plan) < ENOUGH_AFTER_ABSENCE

    def is_trial_over(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether everything moves to the new version now."""
        return self.schedule.is_trial_over_at(
            self.steady_part(plan), plan.within_s
        )

    def is_final_report_due(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether all that was seen is to be told, good and bad."""
        return self.schedule.is_final_report_due_at(
            self.part_of(plan), plan.within_s
        )

    def may_complete(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether the old version's replicas may stop.

        The last stretch has to have gone on here, in touch with the store: the
        clock alone says nothing of evidence that was told meanwhile.
        """
        if not self.schedule.may_complete_at(self.part_of(plan), plan.within_s):
            return False
        since = self._stretch_since.get(plan.order_id)
        if since is None:
            return False
        return self._clock.monotonic() - since >= schedule_module.LAST_WAIT

    def note_in_touch(self, plan: plan_module.PlanRow) -> None:
        """Takes in that the store answers while a plan is open."""
        self._away_since = None
        if self.is_trial_over(plan):
            now = self._clock.monotonic()
            self._stretch_since.setdefault(plan.order_id, now)

    def note_out_of_touch(self, open_orders: Iterable[int]) -> None:
        """Takes in that the store does not answer, and orders it holds up."""
        self._stretch_since.clear()
        now = self._clock.monotonic()
        if self._away_since is None:
            self._away_since = now
        if now - self._away_since >= LONG_ABSENCE:
            self._had_absence = set(open_orders)
