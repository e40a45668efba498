"""State machine: operations and replicas under faults.

Hypothesis chooses operators' calls, faults and the passing of time over three
instances. At the end all faults are healed and the rows checked: every returned
outcome is the recorded one, every change is recorded once and based on the
state after the change before it, and no instance's revision ever fell.
"""

import asyncio
import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from nutmeghook.internal.config import edits
from nutmeghook.internal.config import rows
from nutmeghook.internal.foundation import errors
from nutmeghook.standins import faults as faults_module
from tests import config_fleet

SECOND = config_fleet.SECOND
INSTANCES = 3
instances = strategies.integers(0, INSTANCES - 1)
operation_ids = strategies.integers(0, 5).map(lambda n: f"operation-{n}")
moments = strategies.integers(1, 80).map(lambda n: n * SECOND / 20)


class DelayedWrites(faults_module.Faults):
    """Delays the writes of a slow store also before their effect.

    So another instance can commit between a read of the head and the effect of
    the commit; with the whole delay after the effect none could.
    """

    __slots__ = ()

    async def write(self, effect):
        # Below a call's timeout, so that with a very slow store a write takes
        # effect although its caller has timed out.
        await self._clock.sleep(min(self.delay, SECOND / 4))
        return await super().write(effect)


class ConfigMachine(stateful.RuleBasedStateMachine):
    """Three instances, one table, and all faults of store and network."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.calls: list[asyncio.Task] = []
        # Returned outcome, time of the call, time of the answer.
        self.reported: list[tuple[rows.OperationRecord, float, float]] = []
        self.highest: dict[int, int] = {}
        self.fleet = self.run(self._set_up())

    def run(self, work):
        return self.runner.run(work)

    async def _set_up(self) -> config_fleet.ConfigFleet:
        fleet = config_fleet.ConfigFleet(data_centres=INSTANCES)
        fleet.table.faults = DelayedWrites(clock=fleet.clock)
        fleet.start()
        first = config_fleet.operation("first-op", config_fleet.first_import())
        await fleet.accept(fleet.addresses[0], first)
        return fleet

    def parts(self, index: int):
        return self.fleet.parts[self.fleet.addresses[index]]

    @stateful.rule(
        index=instances,
        operation_id=operation_ids,
        priority=strategies.integers(0, 9),
        blind=strategies.booleans(),
    )
    def submit(self, index, operation_id, priority, blind):
        """An operator replaces the template, or withdraws a version."""
        edit = edits.WithdrawVersion(
            model_version=config_fleet.NEXT,
            team=config_fleet.TEAM,
            template=config_fleet.TEMPLATE,
        )
        if not blind:
            state = self.parts(index).replica.state
            document = edits.template_document(
                config_fleet.TEAM, config_fleet.TEMPLATE
            )
            edit = edits.PutTemplate(
                template=config_fleet.template(priority=priority),
                expected_revision=state.revision_of(document),
            )
        operation = config_fleet.operation(operation_id, edit)
        accepter = self.parts(index).accepter
        self._call(lambda: accepter.accept(operation, timeout=4 * SECOND))

    @stateful.rule(
        one=instances,
        further=strategies.integers(1, INSTANCES - 1),
        repeats=strategies.booleans(),
        apart=strategies.integers(0, 3),
    )
    def race(self, one, further, repeats, apart):
        """Two instances replace the template at once while the store is slow.

        Either for two operators, or for one who repeats the operation.
        """
        faults = self.fleet.table.faults
        faults.delay = max(faults.delay, SECOND / 20)
        number = len(self.calls)
        self.submit(one, f"race-operation-{number}", 1, False)
        # At half a call's distance one reads what the other will change.
        self.run(self._advance(apart * faults.delay / 2))
        other = (one + further) % INSTANCES
        number += not repeats
        self.submit(other, f"race-operation-{number}", 1, False)
        self.run(self._advance(SECOND / 2))

    @stateful.rule(index=instances, operation_id=operation_ids)
    def settle(self, index, operation_id):
        """An operator asks for the final outcome of an operation."""
        accepter = self.parts(index).accepter
        self._call(
            lambda: accepter.settle(
                config_fleet.OPERATOR, operation_id, grace=SECOND
            )
        )

    @stateful.rule(duration=moments)
    def pass_time(self, duration):
        self.run(self._advance(duration))

    @stateful.rule(
        down=strategies.booleans(),
        delay_ms=strategies.sampled_from([0, 0, 300, 2500]),
        late_s=strategies.sampled_from([None, None, 1, 5]),
        lost_answers=strategies.integers(0, 2),
        lost_requests=strategies.integers(0, 2),
    )
    def break_store(self, down, delay_ms, late_s, lost_answers, lost_requests):
        faults = self.fleet.table.faults
        faults.down = down
        faults.delay = datetime.timedelta(milliseconds=delay_ms)
        faults.late_effect = late_s and late_s * SECOND
        faults.lose_next_answers = lost_answers
        faults.lose_next_requests = lost_requests

    @stateful.rule(index=instances)
    def restart(self, index):
        """An instance crashes; another process starts at its address."""

        async def restart():
            address = self.fleet.addresses[index]
            self.fleet.network.thaw(address)
            await self.fleet.crash(address)
            self.fleet.start(address)

        self.run(restart())
        self.highest[index] = 0

    @stateful.rule(index=instances, frozen=strategies.booleans())
    def freeze(self, index, frozen):
        network = self.fleet.network
        change = network.freeze if frozen else network.thaw
        change(self.fleet.addresses[index])

    @stateful.rule(one=instances, other=instances)
    def cut(self, one, other):
        addresses = self.fleet.addresses
        self.fleet.network.cut(addresses[one], addresses[other])

    @stateful.rule()
    def heal(self):
        self.run(self._heal())

    @stateful.invariant()
    def never_goes_back(self):
        for index in range(INSTANCES):
            revision = self.parts(index).replica.revision
            assert revision >= self.highest.get(index, 0), "went back"
            self.highest[index] = revision

    def teardown(self):
        try:
            self.run(self._heal())
            self.run(self._advance(10 * SECOND))
            self.never_goes_back()
            assert not self.fleet.violations(), "stepped back"
            self.run(self._check_history())
        finally:
            self.run(self.fleet.stop())
            self.runner.close()

    def _call(self, start) -> None:
        """Starts a call that goes on while other rules run."""

        async def call():
            begun = self.fleet.clock.monotonic()
            try:
                record = await start()
            except errors.CodedError:
                return
            self.reported.append((record, begun, self.fleet.clock.monotonic()))

        async def begin():
            self.calls.append(asyncio.ensure_future(call()))
            await asyncio.sleep(0)

        self.run(begin())

    async def _advance(self, duration: datetime.timedelta) -> None:
        await self.fleet.clock.advance(duration)

    async def _heal(self) -> None:
        faults = self.fleet.table.faults
        faults.down = False
        faults.delay = datetime.timedelta()
        faults.late_effect = None
        faults.lose_next_answers = faults.lose_next_requests = 0
        self.fleet.network.heal_all()
        for address in self.fleet.addresses:
            self.fleet.network.thaw(address)

    async def _check_history(self) -> None:
        head = await self.parts(0).store.head()
        changes = await self.parts(0).store.changes_after(0)
        numbers = [change.revision for change in changes]
        assert numbers == list(range(1, head.revision + 1)), "gap in the log"
        assert set(self.fleet.revisions()) == {head.revision}, "not in force"
        self._check_bases(changes)
        await self._check_outcomes(changes)
        self._check_order()

    def _check_bases(self, changes: list[rows.Change]) -> None:
        """Each change was based on the state just before it."""
        written: dict[str, int] = {}
        for change in changes:
            for base in change.bases:
                assert base.revision == written.get(base.document, 0), "lost"
            for document in change.replacement.documents():
                written[document] = change.revision

    async def _check_outcomes(self, changes: list[rows.Change]) -> None:
        """Each returned outcome is the recorded one and agrees with the log."""
        made = [change.operation_id for change in changes]
        assert len(made) == len(set(made)), "made twice"
        for reported, _, _ in self.reported:
            kept = await self.parts(0).store.operation(
                config_fleet.TEAM, reported.operation_id
            )
            assert kept == reported, "two outcomes"
            accepted = reported.outcome is rows.Outcome.ACCEPTED
            assert accepted == (reported.operation_id in made), "untrue outcome"

    def _check_order(self) -> None:
        """A change accepted before another was requested precedes it."""
        accepted = [
            reported
            for reported in self.reported
            if reported[0].outcome is rows.Outcome.ACCEPTED
        ]
        first_asked: dict[str, datetime.timedelta] = {}
        for record, begun, _ in accepted:
            known = first_asked.get(record.operation_id, begun)
            first_asked[record.operation_id] = min(begun, known)
        for earlier, _, answered in accepted:
            for later, _, _ in accepted:
                if answered < first_asked[later.operation_id]:
                    assert earlier.revision < later.revision, "out of order"


SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
