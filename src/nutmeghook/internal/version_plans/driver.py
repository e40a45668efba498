"""Writes plans, evidence and verdicts, and reads those of other instances."""

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import random

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import restored_rows
from nutmeghook.internal.table_replication import source
from nutmeghook.internal.version_plans import evidence as evidence_module
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.internal.version_plans import plan as plan_module
from nutmeghook.internal.version_plans import rollouts as rollouts_module

TABLE = "rollouts"
PLAN_PREFIX = "plan/"
EVIDENCE_PREFIX = "evidence/"
# Base interval between two steps. A proof acts on this instance at once; the
# step only bounds how soon the others learn of it.
_STEP = datetime.timedelta(milliseconds=200)
# Shortest interval between two writes of evidence. Before the final report,
# evidence is written only once it has grown by a bad answer, so a good version
# costs no writes.
_PUBLISH_INTERVAL = datetime.timedelta(milliseconds=600)


class StatusRows(abc.ABC):
    """Encodes the status of an order for the operator."""

    @abc.abstractmethod
    def put(
        self, order: orders_module.RollOutOrder, state: orders_module.OrderState
    ) -> table_module.Put:
        """Returns the write of the state."""


class PlanRowReader(follower.TableListener):
    """Applies plans and other instances' evidence from the store."""

    __slots__ = ("_instance_id", "_orders", "_rollouts")

    def __init__(
        self,
        *,
        rollouts: rollouts_module.RollOuts,
        orders: orders_module.OrderRegistry,
        instance_id: str,
    ):
        self._rollouts = rollouts
        self._orders = orders
        self._instance_id = instance_id

    def replace(
        self, rows: tuple[source.FollowedRow, ...], revision: int
    ) -> None:
        """Applies the whole table."""
        self.change(rows)

    def change(self, rows: tuple[source.FollowedRow, ...]) -> None:
        """Applies changed rows."""
        for row in rows:
            if row.deleted:
                continue
            try:
                self._apply(row)
            except ValueError as error:
                logs.note("roll_out:bad_row", key=row.key, error=str(error))

    def _apply(self, row: source.FollowedRow) -> None:
        if row.key.startswith(PLAN_PREFIX):
            plan = plan_module.decode(row.value)
            self._rollouts.apply_plan(plan)
            logs.note(
                "roll_out:plan",
                service=plan.service,
                order=plan.order_id,
                verdict=plan.verdict.value,
                reason=plan.reason,
            )
            return
        service, _, instance_id = row.key.removeprefix(
            EVIDENCE_PREFIX
        ).partition("/")
        order = self._orders.of_service(service)
        if order is None or instance_id == self._instance_id:
            return
        counted = evidence_module.decode(row.value)
        self._rollouts.evidence_of(order).merge(instance_id, counted)


class RollOutDriver(restored_rows.RestorableRows):
    """Advances every open order step by step."""

    __slots__ = (
        "_clock",
        "_final_reports_sent",
        "_fleet_rate_per_s",
        "_follower",
        "_instance_id",
        "_orders",
        "_published",
        "_published_at",
        "_random",
        "_read_plans",
        "_rollouts",
        "_status",
        "_store_monitor",
        "_table",
    )

    def __init__(
        self,
        *,
        table: table_module.TableService,
        plans: follower.TableFollower,
        read_plans: Callable[[], Awaitable[None]],
        rollouts: rollouts_module.RollOuts,
        orders: orders_module.OrderRegistry,
        status: StatusRows,
        fleet_rate_per_s: Callable[[str], float],
        store_monitor: follower.StoreMonitor,
        clock: clock_module.Clock,
        random_source: random.Random,
        instance_id: str,
    ):
        self._table = table
        self._follower = plans
        self._read_plans = read_plans
        self._rollouts = rollouts
        self._orders = orders
        self._status = status
        self._fleet_rate_per_s = fleet_rate_per_s
        self._store_monitor = store_monitor
        self._clock = clock
        self._random = random_source
        self._instance_id = instance_id
        self._published_at = datetime.timedelta()
        self._published: dict[int, float] = {}
        # Orders whose final report was written.
        self._final_reports_sent: set[int] = set()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_while_open())
            tasks.create_task(self._drive())

    async def _follow_while_open(self) -> None:
        """Reads plans and evidence only while an order is open."""
        while True:
            if self._open_orders():
                await self._read_plans()
            else:
                await self._clock.sleep(_STEP)

    async def _drive(self) -> None:
        while True:
            # Jitter lets one instance write first and the others read it.
            await self._clock.sleep(_STEP * self._random.uniform(0.5, 2.0))
            await self.step_all()

    async def step_all(self) -> None:
        """Advances every open order by one step."""
        if self._store_monitor.is_unreachable:
            self._note_store_unreachable()
            return
        for order in self._open_orders():
            try:
                await self._step(order)
            except failures.PlatformError as error:
                self._note_store_unreachable()
                logs.note("roll_out:store_failed", error=str(error))

    def _note_store_unreachable(self) -> None:
        self._rollouts.progress.note_store_unreachable(
            order.order_id for order in self._orders.all()
        )

    def _open_orders(self) -> list[orders_module.RollOutOrder]:
        return [
            order
            for order in self._orders.all()
            if (plan := self._rollouts.plan_of(order)) is None or plan.is_open
        ]

    async def _step(self, order: orders_module.RollOutOrder) -> None:
        plan = self._rollouts.plan_of(order)
        if plan is None:
            await self._begin(order)
            return
        await self._publish(order, plan)
        self._rollouts.progress.note_store_reachable(plan)
        reason = self._rollouts.judge(order)
        if reason is None and (
            self._rollouts.progress.is_canary_over(plan)
            or self._rollouts.progress.is_overdue(plan)
        ):
            reason = self._rollouts.suspicion(order)
        if reason is not None:
            await self._conclude(order, plan_module.Verdict.BAD, reason)
        elif self._rollouts.progress.may_complete(plan) and not (
            self._rollouts.is_in_doubt(order)
        ):
            known = self._rollouts.evidence_of(order)
            await self._conclude(
                order,
                plan_module.Verdict.GOOD,
                f"nothing speaks against it: {known.bad_count} of"
                f" {known.answer_count} answers known here were bad",
            )

    async def _begin(self, order: orders_module.RollOutOrder) -> None:
        """Writes the plan unless another instance has."""
        store_time = self._store_monitor.store_time()
        if store_time is None or self._follower.revision < 0:
            return
        withdrawn = self._rollouts.withdrawn_versions(order)
        old_version = self._rollouts.old_version(order)
        row = await self._table.read(_plan_key(order.service))
        known = _readable_plan(row)
        if known is not None:
            if known.order_id >= order.order_id or order.is_rewrite_of(
                known.order
            ):
                self._rollouts.apply_plan(known)
                return
            withdrawn = known.withdrawn_beside(order)
            old_version = known.old_version_beside(order)
        plan = plan_module.PlanRow(
            order_id=order.order_id,
            service=order.service,
            version=order.version,
            started_ms=store_time / datetime.timedelta(milliseconds=1),
            within_s=order.within_s,
            trial_share=self._rollouts.progress.schedule.canary_share(
                order.within_s, self._fleet_rate_per_s(order.service)
            ),
            withdrawn=withdrawn,
            old_version=old_version,
        )
        version = row.version if row else table_module.ABSENT_VERSION
        await self._write_plan(order, plan, version)

    async def _conclude(
        self,
        order: orders_module.RollOutOrder,
        verdict: plan_module.Verdict,
        reason: str,
    ) -> None:
        """Writes a verdict, unless another instance has.

        The write is a compare-and-swap on the row's version, so the first of
        two verdicts stands; the other instance reads it.
        """
        row = await self._table.read(_plan_key(order.service))
        if row is None:
            return
        plan = _readable_plan(row) or self._rollouts.plan_of(order)
        if plan is None or plan.order_id != order.order_id:
            return
        if not plan.is_open:
            self._rollouts.apply_plan(plan)
            return
        plan = msgspec.structs.replace(plan, verdict=verdict, reason=reason)
        await self._write_plan(order, plan, row.version)

    async def _write_plan(
        self,
        order: orders_module.RollOutOrder,
        plan: plan_module.PlanRow,
        version: int,
    ) -> None:
        """Writes the plan and the operator's status row.

        One transaction writes both, so that the operator sees each verdict.
        """
        key = _plan_key(plan.service)
        result = await self._table.commit(
            table_module.Transaction(
                conditions=(table_module.Condition(key=key, version=version),),
                puts=(
                    table_module.Put(key=key, value=msgspec.json.encode(plan)),
                    self._status.put(order, plan.state),
                ),
            )
        )
        if not result.committed:
            return
        self._rollouts.apply_plan(plan)
        known = self._rollouts.evidence_of(order)
        logs.note(
            "roll_out:decided",
            service=plan.service,
            order=plan.order_id,
            verdict=plan.verdict.value,
            reason=plan.reason,
            answers=known.answer_count,
            bad=known.bad_count,
            paces={
                measure.value: [
                    pace.answers,
                    round(pace.deviations, 2),
                    round(pace.significance, 2),
                    round(pace.largest_mean, 2),
                ]
                for measure, pace in known.paces().items()
            },
        )

    async def write_again(self) -> None:
        """Writes plans, verdicts and own evidence that the store has lost.

        The operator has acted on a verdict that it read, so a verdict known
        here goes before a plan that another instance began since.

        Raises:
            failures.PlatformError: The store failed.
        """
        self._published.clear()
        self._final_reports_sent.clear()
        for order in self._orders.all():
            plan = self._rollouts.plan_of(order)
            if plan is not None:
                await self._write_plan_again(order, plan)

    async def _write_plan_again(
        self, order: orders_module.RollOutOrder, plan: plan_module.PlanRow
    ) -> None:
        row = await self._table.read(_plan_key(order.service))
        stored = _readable_plan(row)
        if stored is None:
            version = row.version if row else table_module.ABSENT_VERSION
            await self._write_plan(order, plan, version)
            return
        if stored.order_id == plan.order_id:
            is_behind = stored.is_open and not plan.is_open
        else:
            is_behind = (
                stored.order_id < plan.order_id
                or stored.order.is_rewrite_of(plan.order)
            )
        if is_behind:
            await self._write_plan(order, plan, row.version)
        else:
            self._rollouts.apply_plan(stored)

    async def _publish(
        self,
        order: orders_module.RollOutOrder,
        plan: plan_module.PlanRow,
    ) -> None:
        own = self._rollouts.evidence_of(order).own
        weight = own.weight
        if weight < self._published.get(
            order.order_id, 0.0
        ) + 1.0 and not self._must_write_final_report(order, plan):
            return
        now = self._clock.monotonic()
        if now - self._published_at < _PUBLISH_INTERVAL:
            return
        self._published_at = now
        key = f"{TABLE}/{EVIDENCE_PREFIX}{order.service}/{self._instance_id}"
        await self._table.commit(
            table_module.Transaction(
                puts=(
                    table_module.Put(key=key, value=msgspec.json.encode(own)),
                )
            )
        )
        self._published[order.order_id] = weight
        if self._rollouts.progress.is_final_report_due(plan):
            self._final_reports_sent.add(order.order_id)

    def _must_write_final_report(
        self,
        order: orders_module.RollOutOrder,
        plan: plan_module.PlanRow,
    ) -> bool:
        """Tells whether the final report is due and was not written yet.

        It also holds evidence that was too weak to be written before: pooled
        over all instances it may be a proof.
        """
        own = self._rollouts.evidence_of(order).own
        return (
            self._rollouts.progress.is_final_report_due(plan)
            and order.order_id not in self._final_reports_sent
            and bool(own.pace_count or own.routes)
        )


def _readable_plan(row: table_module.Row | None) -> plan_module.PlanRow | None:
    """Returns a row's plan; None if there is none, which may be replaced."""
    if row is None:
        return None
    try:
        return plan_module.decode(row.value)
    except ValueError as error:
        logs.note("roll_out:bad_row", key=row.key, error=str(error))
        return None


def _plan_key(service: str) -> str:
    return f"{TABLE}/{PLAN_PREFIX}{service}"
