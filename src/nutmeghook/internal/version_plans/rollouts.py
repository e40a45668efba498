"""Carries out orders: shares by the clock, verdicts by pooled evidence.

There is no leader. The first instance that sees an order writes the plan,
insert-if-absent; from then on each instance computes the share from the
store's steady clock. Each counts the new version's answers that it receives and
publishes the counts when there are bad ones; the instance that finds a proof
writes the verdict, conditional on the plan being open. An instance that was
killed, stalled or partitioned therefore blocks nothing, and its late writes
fail.
"""

import collections
from collections.abc import Callable
import datetime

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.version_plans import baseline as baseline_module
from nutmeghook.internal.version_plans import evidence as evidence_module
from nutmeghook.internal.version_plans import filters
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.internal.version_plans import (
    pinned_sessions as pinned_sessions_module,
)
from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import progress as progress_module
from nutmeghook.internal.version_plans import schedule as schedule_module
from nutmeghook.internal.version_plans import sessions as sessions_module
from nutmeghook.internal.version_plans import view

# Paces of one kind that wait for a baseline: as many as some seconds of a
# canary bring.
_MAX_UNCOMPARED = 64


class _UncomparedPace(msgspec.Struct, frozen=True, kw_only=True):
    """The pace of an answer of a new version."""

    order: orders_module.RollOutOrder
    replica_id: str
    measure: baseline_module.LatencyMeasure
    pace_s: float


class RollOuts(view.VersionView):
    """This instance's state of all roll-outs.

    Args:
        orders: The operator's orders.
        directory: The known replicas.
        gate: Decides which replicas may be sent to.
        store_monitor: The store's time and availability.
        schedule: Which share a new version gets, and when.
        session_time: Requests further apart are of different sessions.
        clock: Measures time.
        is_asked: Returns whether a service gets requests here.

    Attributes:
        progress: Progress of each order.
    """

    __slots__ = (
        "_baseline",
        "_baseline_paces",
        "_clock",
        "_directory",
        "_evidence",
        "_gate",
        "_judged",
        "_local_verdicts",
        "_orders",
        "_pinned",
        "_plans",
        "_sessions",
        "_uncompared",
        "progress",
    )

    def __init__(
        self,
        *,
        orders: orders_module.OrderRegistry,
        directory: directory_module.ReplicaDirectory,
        gate: send_gate.SendGate,
        store_monitor: follower.StoreMonitor,
        schedule: schedule_module.Schedule,
        session_time: datetime.timedelta,
        clock: clock_module.Clock,
        is_asked: Callable[[str], bool] = lambda service: False,
    ):
        self._orders = orders
        self._directory = directory
        self._gate = gate
        self.progress = progress_module.RollOutProgress(
            schedule=schedule,
            store_monitor=store_monitor,
            answer_count=self._answer_count,
            possible_slowness=self._possible_slowness,
            is_asked=is_asked,
            clock=clock,
        )
        self._sessions = sessions_module.SessionVersions(
            session_time=session_time
        )
        self._clock = clock
        self._plans: dict[str, plan_module.PlanRow] = {}
        self._evidence: dict[str, evidence_module.PooledEvidence] = {}
        # Pinned sessions of each service's newest order.
        self._pinned: dict[str, pinned_sessions_module.PinnedSessions] = {}
        self._baseline = baseline_module.BaselineAnswers()
        self._baseline_paces = baseline_module.BaselinePaces()
        # By kind: paces that wait until there is a baseline.
        self._uncompared: dict[str, collections.deque[_UncomparedPace]] = {}
        # Number of answers in each order's evidence when it was last judged.
        self._judged: dict[int, int] = {}
        # Reasons of proofs found here; they act at once, before the verdict is
        # written.
        self._local_verdicts: dict[str, str] = {}

    @property
    def is_ready(self) -> bool:
        """Tells whether every order's plan is known.

        An instance without a plan would move sessions back.
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

    def withdrawn_versions(
        self, order: orders_module.RollOutOrder
    ) -> tuple[str, ...]:
        """Returns versions that earlier orders of the service found bad."""
        plan = self._plans.get(order.service)
        return () if plan is None else plan.withdrawn_beside(order)

    def old_version(self, order: orders_module.RollOutOrder) -> str:
        """Returns the version that an order moves the service from.

        Empty if it isn't known.
        """
        plan = self._plans.get(order.service)
        return "" if plan is None else plan.old_version_beside(order)

    def apply_plan(self, plan: plan_module.PlanRow) -> None:
        """Applies a plan's row; a verdict is never replaced."""
        self._orders.recognise(plan.order)
        known = self._plans.get(plan.service)
        if known is not None and known.is_after(plan):
            return
        self._plans[plan.service] = plan
        if known is None or known.order_id != plan.order_id:
            self._local_verdicts.pop(plan.service, None)
            self._pin_active_sessions(plan)

    def pinned_sessions(
        self, order: orders_module.RollOutOrder
    ) -> pinned_sessions_module.PinnedSessions:
        """Returns the sessions that stay on the old version during an order."""
        return self._pinned_of(order.service, order.order_id)

    def _pinned_of(
        self, service: str, order_id: int
    ) -> pinned_sessions_module.PinnedSessions:
        pinned = self._pinned.get(service)
        if pinned is None or pinned.order_id != order_id:
            pinned = pinned_sessions_module.PinnedSessions(order_id=order_id)
            self._pinned[service] = pinned
        return pinned

    def _pin_active_sessions(self, plan: plan_module.PlanRow) -> None:
        """Pins the sessions under way that the canary would take."""
        now = self._clock.monotonic()
        for session in self._sessions.active_sessions(plan.service, now):
            self._pin_session(plan, session)

    def _pin_session(self, plan: plan_module.PlanRow, session: str) -> None:
        digest = pinned_sessions_module.digest_of(plan.order_id, session)
        if self._is_in_canary(plan, digest):
            self._pinned_of(plan.service, plan.order_id).pin(digest)

    def _is_in_canary(self, plan: plan_module.PlanRow, digest: int) -> bool:
        """Tells whether a session or request falls into the canary's share."""
        return pinned_sessions_module.fraction_of(digest) < self._share(plan)

    def _share(self, plan: plan_module.PlanRow) -> float:
        return plan.trial_share or self.progress.schedule.canary_share(
            plan.within_s
        )

    def _canary_takes_request(
        self, plan: plan_module.PlanRow, request_id: str
    ) -> bool:
        """Tells whether the canary takes a request without a session.

        Sessions keep the share that they have: instances don't begin to hold
        the canary at one moment, and a session would change its version back.
        """
        share = self._share(plan)
        if self.progress.is_held(plan):
            share = max(share, schedule_module.HELD_SHARE)
        digest = pinned_sessions_module.digest_of(plan.order_id, request_id)
        return pinned_sessions_module.fraction_of(digest) < share

    def evidence_of(
        self, order: orders_module.RollOutOrder
    ) -> evidence_module.PooledEvidence:
        """Returns the evidence on the order's version."""
        pooled = self._evidence.get(order.service)
        if pooled is None or pooled.order_id != order.order_id:
            pooled = evidence_module.PooledEvidence(order_id=order.order_id)
            self._evidence[order.service] = pooled
        return pooled

    def _answer_count(self, plan: plan_module.PlanRow) -> int:
        seen = self._evidence.get(plan.service)
        if seen is None or seen.order_id != plan.order_id:
            return 0
        return seen.answer_count

    def _possible_slowness(self, plan: plan_module.PlanRow) -> str | None:
        seen = self._evidence.get(plan.service)
        if seen is None or seen.order_id != plan.order_id:
            return None
        return seen.possible_slowness()

    def judge(self, order: orders_module.RollOutOrder) -> str | None:
        """Returns why the version is bad, or None while it isn't proven."""
        if order.service in self._local_verdicts:
            return self._local_verdicts[order.service]
        pooled = self.evidence_of(order)
        if self._judged.get(order.order_id) == pooled.observation_count:
            return None
        self._judged[order.order_id] = pooled.observation_count
        reason = pooled.proven_bad(self._new_replicas(order), self._baseline)
        if reason is not None:
            self._local_verdicts[order.service] = reason
        return reason

    def suspicion(self, order: orders_module.RollOutOrder) -> str | None:
        """Returns evidence against the version that is weaker than a proof.

        It is used once the canary is over, since all requests move then and
        completion can't be undone.
        """
        return self.evidence_of(order).suspicion(
            self._new_replicas(order), self._baseline
        )

    def is_in_doubt(self, order: orders_module.RollOutOrder) -> bool:
        """Tells whether the version's bad answers exceed the tolerated share.

        They may be too few for a suspicion, but completion waits for more
        answers; those come soon, since all requests go to the version by then.
        """
        return self.evidence_of(order).exceeds_tolerance(
            self._new_replicas(order), self._baseline
        )

    def _new_replicas(self, order: orders_module.RollOutOrder) -> int:
        return sum(
            replica.entry.version == order.version
            for replica in self._directory.of_service(order.service)
        )

    def accepts(
        self, service: str, *, session: str | None, request_id: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a predicate for the replicas that may run a request."""
        order = self._orders.of_service(service)
        if order is None:
            return filters.any_version
        if self._uses_new(order, session, request_id):
            wanted = filters.is_version(order.version)
            if self._has_replica(service, wanted, self._gate.is_open):
                return wanted
            if self._is_session_on(order, session) and self._has_replica(
                service, wanted
            ):
                return wanted
            return self._is_usable(order)
        wanted = self._is_old(order)
        if self._has_replica(service, wanted) or self._is_withdrawn(order):
            return wanted
        return self._is_usable(order)

    def accepts_stable(
        self, service: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a predicate for replicas of a stable version."""
        order = self._orders.of_service(service)
        if order is None:
            return filters.any_version
        plan = self.plan_of(order)
        if plan is not None and plan.verdict is plan_module.Verdict.GOOD:
            return self._is_usable(order)
        return self._is_old(order)

    def _is_old(
        self, order: orders_module.RollOutOrder
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a predicate for the version that an order moves from."""
        old = self._listed_old_version(order)
        if old:
            return filters.is_version(old)
        return filters.is_none_of(
            order.version, *self.withdrawn_versions(order)
        )

    def _is_usable(
        self, order: orders_module.RollOutOrder
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a predicate for the versions that may run requests at all."""
        old = self._listed_old_version(order)
        if old:
            return filters.is_one_of(order.version, old)
        return filters.is_none_of(*self.withdrawn_versions(order))

    def _listed_old_version(self, order: orders_module.RollOutOrder) -> str:
        """Returns the old version if it is known and has a replica.

        Replicas of versions before it stopped when it was completed, and may
        still be listed.
        """
        old = self.old_version(order)
        if old and self._has_replica(order.service, filters.is_version(old)):
            return old
        return ""

    def note_sent(
        self,
        service: str,
        *,
        session: str,
        entry: entries.ReplicaEntry,
        deadline: datetime.timedelta,
    ) -> None:
        """Records which version a request goes to."""
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
        self._pin_session(plan, session)

    def note_answer(
        self,
        entry: entries.ReplicaEntry,
        answer: baseline_module.ObservedAnswer,
    ) -> None:
        """Records an answer of a replica."""
        order = self._orders.of_service(entry.service)
        if order is None or entry.version != order.version:
            if not self._was_withdrawn(order, entry):
                self._baseline.note(answer)
            return
        plan = self.plan_of(order)
        if plan is None or not plan.is_open:
            return
        self.evidence_of(order).note(
            answer.route, entry.replica_id, bad=self._baseline.is_bad(answer)
        )

    def note_pace(
        self,
        entry: entries.ReplicaEntry,
        *,
        measure: baseline_module.LatencyMeasure,
        kind: str,
        pace_s: float,
    ) -> None:
        """Records the pace of an answer.

        Paces are compared only during the canary: in the final phase the new
        version alone carries the load, and a burst of load can't be told from
        a slow version.
        """
        order = self._orders.of_service(entry.service)
        baseline = f"{measure.value}/{kind}"
        if order is None or entry.version != order.version:
            if not self._was_withdrawn(order, entry):
                self._baseline_paces.note(baseline, pace_s)
                self._compare_waiting(baseline)
            return
        plan = self.plan_of(order)
        if plan is None or not plan.is_open:
            return
        if self.progress.is_canary_over(plan):
            return
        pace = _UncomparedPace(
            order=order,
            replica_id=entry.replica_id,
            measure=measure,
            pace_s=pace_s,
        )
        if self._baseline_paces.weight(baseline):
            self._compare(baseline, pace)
        else:
            self._uncompared.setdefault(
                baseline, collections.deque(maxlen=_MAX_UNCOMPARED)
            ).append(pace)

    def _compare_waiting(self, baseline: str) -> None:
        """Compares the paces that waited for a baseline, once there is one."""
        if baseline not in self._uncompared:
            return
        if not self._baseline_paces.weight(baseline):
            return
        for pace in self._uncompared.pop(baseline):
            if self._orders.of_service(pace.order.service) == pace.order:
                self._compare(baseline, pace)

    def _compare(self, baseline: str, pace: "_UncomparedPace") -> None:
        deviation = self._baseline_paces.deviation(baseline, pace.pace_s)
        if deviation is None:
            return
        logs.note(
            "roll_out:pace",
            service=pace.order.service,
            order=pace.order.order_id,
            replica=pace.replica_id,
            kind=baseline,
            pace=round(pace.pace_s, 4),
            deviation=round(deviation, 2),
            **self._baseline_paces.state_of(baseline),
        )
        self.evidence_of(pace.order).note_pace(
            pace.measure,
            deviation,
            kind=baseline,
            baseline_answers=self._baseline_paces.weight(baseline),
        )

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
        if self.progress.is_canary_over(plan):
            return True
        if session is None:
            return self._canary_takes_request(plan, request_id)
        return self._is_session_on(
            order, session
        ) or self._canary_takes_session(plan, session)

    def _is_session_on(
        self, order: orders_module.RollOutOrder, session: str | None
    ) -> bool:
        """Tells whether a session's last request ran on the order's version."""
        if session is None:
            return False
        last = self._sessions.version_of(
            order.service, session, self._clock.monotonic()
        )
        return last == order.version

    def _canary_takes_session(
        self, plan: plan_module.PlanRow, session: str
    ) -> bool:
        """Tells whether the canary takes a session now."""
        digest = pinned_sessions_module.digest_of(plan.order_id, session)
        if not self._is_in_canary(plan, digest):
            return False
        elapsed = self.progress.steady_fraction(plan)
        if elapsed >= schedule_module.MAY_MOVE_SESSIONS_AT:
            return True
        passed = datetime.timedelta(seconds=elapsed * plan.within_s)
        if passed < schedule_module.SESSION_CANARY_DELAY:
            return False
        pinned = self._pinned_of(plan.service, plan.order_id)
        return not pinned.is_pinned(digest)

    def _is_withdrawn(self, order: orders_module.RollOutOrder) -> bool:
        plan = self.plan_of(order)
        if plan is not None and plan.verdict is plan_module.Verdict.BAD:
            return True
        return self.judge(order) is not None

    def _was_withdrawn(
        self,
        order: orders_module.RollOutOrder | None,
        entry: entries.ReplicaEntry,
    ) -> bool:
        """Tells whether a replica's version was found bad in an earlier order.

        The answers of one are no measure for the next version.
        """
        return order is not None and entry.version in self.withdrawn_versions(
            order
        )

    def _has_replica(
        self,
        service: str,
        wanted: Callable[[entries.ReplicaEntry], bool],
        may_take: Callable[[replica_module.Replica], bool] = lambda _: True,
    ) -> bool:
        return any(
            wanted(replica.entry)
            and not replica.is_leaving
            and may_take(replica)
            for replica in self._directory.of_service(service)
        )
