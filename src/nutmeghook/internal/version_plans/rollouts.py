"""Carries out orders: shares by the clock, verdicts by pooled evidence.

Nobody is in charge. The first instance that sees an order writes the plan's
start, insert-if-absent; from then on each instance works out the share from
the store's steady clock. Each counts what it sees of the new version and
publishes it when there is something bad; whoever finds the proof writes the
verdict, conditional on the plan being open. An instance that was killed,
frozen or cut off therefore holds nothing up, and its late writes fail.
"""

from collections.abc import Callable
import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.version_plans import evidence as evidence_module
from nutmeghook.internal.version_plans import filters
from nutmeghook.internal.version_plans import (
    held_sessions as held_sessions_module,
)
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import progress as progress_module
from nutmeghook.internal.version_plans import schedule as schedule_module
from nutmeghook.internal.version_plans import sessions as sessions_module
from nutmeghook.internal.version_plans import usual as usual_module
from nutmeghook.internal.version_plans import view


class RollOuts(view.VersionView):
    """What this instance knows of all roll-outs.

    Attributes:
        progress: How far each order is.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_evidence",
        "_gate",
        "_held",
        "_judged",
        "_local_verdicts",
        "_orders",
        "_paces",
        "_plans",
        "_sessions",
        "_usual",
        "progress",
    )

    def __init__(
        self,
        *,
        orders: orders_module.OrderBook,
        directory: directory_module.ReplicaDirectory,
        gate: send_gate.SendGate,
        store_monitor: follower.StoreMonitor,
        schedule: schedule_module.Schedule,
        session_time: datetime.timedelta,
        clock: clock_module.Clock,
    ):
        self._orders = orders
        self._directory = directory
        self._gate = gate
        self.progress = progress_module.RollOutProgress(
            schedule=schedule,
            store_monitor=store_monitor,
            answers_seen=self._answers_seen,
            clock=clock,
        )
        self._sessions = sessions_module.SessionVersions(
            session_time=session_time
        )
        self._clock = clock
        self._plans: dict[str, plan_module.PlanRow] = {}
        self._evidence: dict[str, evidence_module.PooledEvidence] = {}
        # By service; of its newest order.
        self._held: dict[str, held_sessions_module.HeldSessions] = {}
        self._usual = usual_module.UsualAnswers()
        self._paces = usual_module.UsualPaces()
        # How many answers each order's evidence held when it was last judged.
        self._judged: dict[int, int] = {}
        # Proofs found here act here at once, before the verdict is written.
        self._local_verdicts: dict[str, str] = {}

    @property
    def is_ready(self) -> bool:
        """Tells whether every order's plan is known.

        An instance that does not know how far a roll-out is would move sessions
        back.
        """
        return all(
            self.plan_of(order) is not None for order in self._orders.all()
        )

    def plan_of(
        self, order: orders_module.RollOutOrder
    ) -> plan_module.PlanRow | None:
        """Returns the order's plan, if it is known here."""
        plan = self._plans.get(order.service)
        if plan is None or plan.order_id != order.order_id:
            return None
        return plan

    def take_plan(self, plan: plan_module.PlanRow) -> None:
        """Takes in a plan's row; a verdict is never taken back."""
        known = self._plans.get(plan.service)
        if known is not None and (
            known.order_id > plan.order_id
            or (
                known.order_id == plan.order_id
                and known.verdict is not plan_module.Verdict.OPEN
            )
        ):
            return
        self._plans[plan.service] = plan
        if known is None or known.order_id != plan.order_id:
            self._local_verdicts.pop(plan.service, None)
            self._hold_sessions(plan)

    def held_sessions(
        self, order: orders_module.RollOutOrder
    ) -> held_sessions_module.HeldSessions:
        """Returns the sessions that an order leaves where they are."""
        return self._held_by(order.service, order.order_id)

    def _held_by(
        self, service: str, order_id: int
    ) -> held_sessions_module.HeldSessions:
        held = self._held.get(service)
        if held is None or held.order_id != order_id:
            held = held_sessions_module.HeldSessions(order_id=order_id)
            self._held[service] = held
        return held

    def _hold_sessions(self, plan: plan_module.PlanRow) -> None:
        """Holds the sessions under way that the trial would take."""
        now = self._clock.monotonic()
        for session in self._sessions.under_way(plan.service, now):
            self._hold_session(plan, session)

    def _hold_session(self, plan: plan_module.PlanRow, session: str) -> None:
        digest = held_sessions_module.digest_of(plan.order_id, session)
        if self._is_of_trial(plan, digest):
            self._held_by(plan.service, plan.order_id).hold(digest)

    def _is_of_trial(self, plan: plan_module.PlanRow, digest: int) -> bool:
        """Tells whether the trial's share takes a session or request."""
        share = plan.trial_share or self.progress.schedule.trial_share(
            plan.within_s
        )
        return held_sessions_module.point_of(digest) < share

    def evidence_of(
        self, order: orders_module.RollOutOrder
    ) -> evidence_module.PooledEvidence:
        """Returns what is known of the order's version."""
        pooled = self._evidence.get(order.service)
        if pooled is None or pooled.order_id != order.order_id:
            pooled = evidence_module.PooledEvidence(order_id=order.order_id)
            self._evidence[order.service] = pooled
        return pooled

    def _answers_seen(self, plan: plan_module.PlanRow) -> int:
        seen = self._evidence.get(plan.service)
        if seen is None or seen.order_id != plan.order_id:
            return 0
        return seen.answers_seen

    def judge(self, order: orders_module.RollOutOrder) -> str | None:
        """Returns why the version is bad, or None while it isn't proven."""
        if order.service in self._local_verdicts:
            return self._local_verdicts[order.service]
        pooled = self.evidence_of(order)
        if self._judged.get(order.order_id) == pooled.answers:
            return None
        self._judged[order.order_id] = pooled.answers
        reason = pooled.proven_bad(self._new_replicas(order), self._usual)
        if reason is not None:
            self._local_verdicts[order.service] = reason
        return reason

    def suspect(self, order: orders_module.RollOutOrder) -> str | None:
        """Returns what speaks against the version without proving it bad.

        Asked once the trial is over: everything moves then, and completion
        can't be taken back.
        """
        return self.evidence_of(order).suspect(
            self._new_replicas(order), self._usual
        )

    def is_in_doubt(self, order: orders_module.RollOutOrder) -> bool:
        """Tells whether more of the version's answers are bad than may be.

        Too few for a suspicion, they are no ground for completion either.
        Everything moves meanwhile, so a few more answers settle it.
        """
        return self.evidence_of(order).has_more_bad(
            self._new_replicas(order), self._usual
        )

    def _new_replicas(self, order: orders_module.RollOutOrder) -> int:
        return sum(
            replica.entry.version == order.version
            for replica in self._directory.of_service(order.service)
        )

    def accepts(
        self, service: str, *, session: str | None, request_id: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a test for the replicas that may run a request."""
        order = self._orders.of_service(service)
        if order is None:
            return filters.any_version
        if self._uses_new(order, session, request_id):
            wanted = filters.is_version(order.version)
            if self._some(service, wanted, self._gate.is_open):
                return wanted
            if self._is_on(order, session) and self._some(service, wanted):
                return wanted
            return filters.any_version
        wanted = filters.is_not_version(order.version)
        if self._some(service, wanted) or self._is_withdrawn(order):
            return wanted
        return filters.any_version

    def in_full_use(
        self, service: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a test for replicas of a version that is not on trial."""
        order = self._orders.of_service(service)
        if order is None:
            return filters.any_version
        plan = self.plan_of(order)
        if plan is not None and plan.verdict is plan_module.Verdict.GOOD:
            return filters.any_version
        return filters.is_not_version(order.version)

    def note_sent(
        self,
        service: str,
        *,
        session: str,
        entry: entries.ReplicaEntry,
        deadline: datetime.timedelta,
    ) -> None:
        """Takes in which version a request goes to."""
        self._sessions.note(
            service,
            session,
            entry.version,
            self._clock.monotonic(),
            deadline,
        )
        order = self._orders.of_service(service)
        if order is None or entry.version == order.version:
            return
        plan = self.plan_of(order)
        if plan is None or not plan.is_open:
            return
        self._hold_session(plan, session)

    def note_answer(
        self,
        entry: entries.ReplicaEntry,
        answer: usual_module.AnswerSeen,
    ) -> None:
        """Takes in an answer of a replica."""
        order = self._orders.of_service(entry.service)
        if order is None or entry.version != order.version:
            self._usual.note(answer)
            return
        plan = self.plan_of(order)
        if plan is None or not plan.is_open:
            return
        self.evidence_of(order).note(
            answer.route, entry.replica_id, bad=self._usual.is_bad(answer)
        )

    def note_pace(
        self,
        entry: entries.ReplicaEntry,
        *,
        measure: usual_module.Measure,
        kind: str,
        pace_s: float,
    ) -> None:
        """Takes in how quickly an answer went on.

        Only the trial is compared: in the last stretch the new version alone
        carries the load, and nothing tells a busy minute from a slow version.
        """
        order = self._orders.of_service(entry.service)
        if order is None or entry.version != order.version:
            self._paces.note(f"{measure.value}/{kind}", pace_s)
            return
        plan = self.plan_of(order)
        if plan is None or not plan.is_open:
            return
        if self.progress.is_trial_over(plan):
            return
        deviation = self._paces.deviation(f"{measure.value}/{kind}", pace_s)
        if deviation is not None:
            self.evidence_of(order).note_pace(measure, deviation)

    def _uses_new(
        self,
        order: orders_module.RollOutOrder,
        session: str | None,
        request_id: str,
    ) -> bool:
        plan = self.plan_of(order)
        if plan is None or self._is_withdrawn(order):
            return False
        if plan.verdict is plan_module.Verdict.GOOD:
            return True
        if self.progress.is_trial_over(plan):
            return True
        if session is None:
            digest = held_sessions_module.digest_of(order.order_id, request_id)
            return self._is_of_trial(plan, digest)
        return self._is_on(order, session) or self._tries_session(plan, session)

    def _is_on(
        self, order: orders_module.RollOutOrder, session: str | None
    ) -> bool:
        """Tells whether a session's last request ran on the order's version."""
        if session is None:
            return False
        last = self._sessions.version_of(
            order.service, session, self._clock.monotonic()
        )
        return last == order.version

    def _tries_session(self, plan: plan_module.PlanRow, session: str) -> bool:
        """Tells whether the trial takes a session now."""
        digest = held_sessions_module.digest_of(plan.order_id, session)
        if not self._is_of_trial(plan, digest):
            return False
        part = self.progress.steady_part(plan)
        if part >= schedule_module.MAY_MOVE_SESSIONS_AT:
            return True
        passed = datetime.timedelta(seconds=part * plan.within_s)
        if passed < schedule_module.SESSIONS_FROM:
            return False
        held = self._held_by(plan.service, plan.order_id)
        return not held.holds(digest)

    def _is_withdrawn(self, order: orders_module.RollOutOrder) -> bool:
        plan = self.plan_of(order)
        if plan is not None and plan.verdict is plan_module.Verdict.BAD:
            return True
        return self.judge(order) is not None

    def _some(
        self,
        service: str,
        wanted: Callable[[entries.ReplicaEntry], bool],
        may_take: Callable[[replica_module.Replica], bool] = lambda _: True,
    ) -> bool:
        return any(
            wanted(replica.entry)
            and not replica.entry.leaving
            and may_take(replica)
            for replica in self._directory.of_service(service)
        )
