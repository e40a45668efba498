"""An order's progress, by the store's clock and by what is known here."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import schedule as schedule_module

# A version whose first event comes six times later in 6 of 10 requests is found
# slow after 8 answers at the median, and after 18 in nine of ten roll-outs.
ENOUGH_ANSWERS_AFTER_OUTAGE = 16
# The same once the canary was held since the version may be slow.
ENOUGH_ANSWERS_AFTER_HOLD = ENOUGH_ANSWERS_AFTER_OUTAGE
# Shorter outages leave most of an order's time, 16 s or more, for a proof.
LONG_OUTAGE = datetime.timedelta(seconds=3)
# A store of which no answer is known for this long counts as out. Readers' feed
# requests return within 2 s, and one report of an answer in a thousand is 1.9 s
# old or more.
_STORE_SILENCE = datetime.timedelta(seconds=2.5)


class RollOutProgress:
    """Tells in which phase an order is.

    Args:
        schedule: Which share a new version gets, and when.
        store_monitor: The store's time and availability.
        answer_count: How many answers of a plan's version are known here.
        possible_slowness: Why a plan's version may still be slow, or None.
        is_asked: Returns whether a service gets requests here.
        clock: Measures time.

    Attributes:
        schedule: May be replaced when settings change.
    """

    __slots__ = (
        "_answer_count",
        "_clock",
        "_final_phase_since",
        "_had_long_outage",
        "_held",
        "_is_asked",
        "_possible_slowness",
        "_store_monitor",
        "_unreachable_since",
        "schedule",
    )

    def __init__(
        self,
        *,
        schedule: schedule_module.Schedule,
        store_monitor: follower.StoreMonitor,
        answer_count: Callable[[plan_module.PlanRow], int],
        possible_slowness: Callable[[plan_module.PlanRow], str | None],
        is_asked: Callable[[str], bool],
        clock: clock_module.Clock,
    ):
        self.schedule = schedule
        self._store_monitor = store_monitor
        self._answer_count = answer_count
        self._possible_slowness = possible_slowness
        self._is_asked = is_asked
        self._clock = clock
        # Since when an order's final phase has lasted here with the store
        # reachable throughout.
        self._final_phase_since: dict[int, datetime.timedelta] = {}
        self._unreachable_since: datetime.timedelta | None = None
        # Orders during which there was a long store outage.
        self._had_long_outage: set[int] = set()
        # Orders whose canary was once held since the version may be slow.
        self._held: set[int] = set()

    def elapsed_fraction(self, plan: plan_module.PlanRow) -> float:
        """Returns the elapsed fraction of a plan's time."""
        store_time = self._store_monitor.store_time()
        return (
            0.0 if store_time is None else plan.elapsed_fraction_at(store_time)
        )

    def steady_fraction(self, plan: plan_module.PlanRow) -> float:
        """Returns the elapsed fraction, capped while the canary has to last.

        The cap holds while the store is out, since then nobody can complete the
        roll-out and other instances' evidence does not arrive, and while too
        few answers are known after an outage. An instance that does not read
        the store itself relies on the readers' reports of its answers.
        """
        elapsed = self.elapsed_fraction(plan)
        silent = self._store_monitor.time_since_contact() > _STORE_SILENCE
        if (
            self._store_monitor.is_unreachable
            or silent
            or self._has_too_few_answers(plan)
            or self._is_held_for_slowness(plan, elapsed)
        ):
            elapsed = min(elapsed, schedule_module.MAY_MOVE_SESSIONS_AT)
        return elapsed

    def _is_held_for_slowness(
        self, plan: plan_module.PlanRow, elapsed: float
    ) -> bool:
        """Tells whether the canary lasts on since the version may be slow.

        An order that is completed can't be undone, while one that is late
        harms nobody. Once its final phase has begun it goes on, so that
        sessions don't move back.
        """
        if plan.order_id in self._final_phase_since:
            return False
        if not self.schedule.is_canary_over_at(elapsed, plan.within_s):
            return False
        reason = self._possible_slowness(plan)
        if reason is not None and plan.order_id not in self._held:
            self._held.add(plan.order_id)
            logs.note(
                "roll_out:held",
                service=plan.service,
                order=plan.order_id,
                reason=reason,
            )
        if plan.order_id not in self._held:
            return False
        # The evidence is looked at again after each answer, and would clear a
        # slow version by chance while there are few.
        return (
            reason is not None
            or self._answer_count(plan) < ENOUGH_ANSWERS_AFTER_HOLD
        )

    def is_held(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether the canary lasts on since the version may be slow."""
        return self._is_held_for_slowness(plan, self.elapsed_fraction(plan))

    def is_overdue(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether the canary lasts longer than planned."""
        return self.schedule.is_canary_over_at(
            self.elapsed_fraction(plan), plan.within_s
        ) and not self.is_canary_over(plan)

    def _has_too_few_answers(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether too few answers are known for the final phase.

        After a long store outage the order is late anyway, so the canary lasts
        until enough answers are known. Without an outage the time decides,
        since some services get few requests in all. Requests without a single
        answer say that nobody reaches the version.
        """
        count = self._answer_count(plan)
        if not count and self._is_asked(plan.service):
            return True
        if plan.order_id not in self._had_long_outage:
            return False
        return count < ENOUGH_ANSWERS_AFTER_OUTAGE

    def is_canary_over(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether all requests go to the new version now."""
        return self.schedule.is_canary_over_at(
            self.steady_fraction(plan), plan.within_s
        )

    def is_final_report_due(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether all answers are to be reported, good and bad."""
        return self.schedule.is_final_report_due_at(
            self.elapsed_fraction(plan), plan.within_s
        )

    def may_complete(self, plan: plan_module.PlanRow) -> bool:
        """Tells whether the old version's replicas may stop.

        The final phase has to have lasted here with the store reachable: the
        clock alone does not show that the others' evidence has been read.
        """
        if not self.schedule.may_complete_at(
            self.elapsed_fraction(plan), plan.within_s
        ):
            return False
        since = self._final_phase_since.get(plan.order_id)
        if since is None:
            return False
        return (
            self._clock.monotonic() - since >= schedule_module.COMPLETION_DELAY
        )

    def note_store_reachable(self, plan: plan_module.PlanRow) -> None:
        """Records that the store answers while a plan is open."""
        self._unreachable_since = None
        if self.is_canary_over(plan):
            now = self._clock.monotonic()
            self._final_phase_since.setdefault(plan.order_id, now)

    def note_store_unreachable(self, order_ids: Iterable[int]) -> None:
        """Records that the store does not answer.

        Args:
            order_ids: The orders that a long outage affects.
        """
        self._final_phase_since.clear()
        now = self._clock.monotonic()
        if self._unreachable_since is None:
            self._unreachable_since = now
        if now - self._unreachable_since >= LONG_OUTAGE:
            self._had_long_outage = set(order_ids)
