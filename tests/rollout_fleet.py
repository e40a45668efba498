"""A few instances with roll-outs, on fakes and a fake clock."""

import asyncio
import dataclasses
import datetime
import random

from nutmeghook.internal.config import acceptance
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import operations
from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import store as store_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.leases import lease as lease_module
from nutmeghook.internal.membership import members
from nutmeghook.internal.observe import events
from nutmeghook.internal.rollout import allowance
from nutmeghook.internal.rollout import config_editor
from nutmeghook.internal.rollout import controller
from nutmeghook.internal.rollout import gate
from nutmeghook.internal.rollout import pool
from nutmeghook.standins import memory_ratings
from nutmeghook.standins import memory_table

OLD = engine.ModelVersion(model="small", version="1")
NEW = engine.ModelVersion(model="small", version="2")
KEY = pool.VersionKey(team="agency", template="lookup", model_version=NEW)
SECOND = datetime.timedelta(seconds=1)
CAP = 40
POLICY = documents.RollOutPolicy(unrated_cap=CAP)
_AUTHOR = rows.Author(team="agency", name="operator")


class RowLease(lease_module.Lease):
    """A lease on a real row; it never expires, but can be taken over."""

    def __init__(self, store):
        self._store = store
        self._token = None
        self._version = 0

    name = "rollouts"
    row_key = "lease/rollouts"

    async def take(self):
        row = await self._store.read(self.row_key)
        token = int(row.value) + 1 if row else 1
        put = table.Put(key=self.row_key, value=str(token).encode())
        result = await self._store.commit(table.Transaction(puts=(put,)))
        self._token, self._version = token, result.versions[0]

    def fencing_token(self):
        return self._token

    def row_version(self):
        return self._version

    def lose(self):
        self._token = None


@dataclasses.dataclass(kw_only=True)
class Instance:
    """The parts of an entry instance that a roll-out needs."""

    address: str
    lease: RowLease
    replica: replica_module.ConfigReplica
    accepter: acceptance.Accepter
    editor: config_editor.AccepterEditor
    keeper: allowance.AllowanceKeeper
    controller: controller.RolloutController
    gate: gate.GrantedExposureGate
    events: events.EventRing

    def wants(self, version=NEW):
        """Asks the gate as a request does; returns whether it is sent."""
        template = self.replica.snapshot.template("agency", "lookup")
        return self.gate.try_take(template=template, model_version=version)


class RolloutFleet:
    """Instances over one store and one rating service.

    Attributes:
        is_bad: Tells whether the next answer of the new version is bad.
        sent: Answers of the new version given to callers.
        bad_sent: Bad ones among them.
    """

    def __init__(self, *, instances=3, policy=POLICY, rating_delay_s=5):
        self.clock = clock_module.FakeClock()
        self.table = memory_table.MemoryTable(clock=self.clock)
        self.network = local.LocalNetwork(clock=self.clock)
        self.ratings = memory_ratings.MemoryRatings(
            clock=self.clock,
            quality=lambda task: 0.0 if task.answer == "bad" else 1.0,
            delay=rating_delay_s * SECOND,
        )
        self.policy = policy
        self.random = random.Random(7)
        self.is_bad = lambda share: False
        self.hands_in = lambda bad: True
        self.sent = self.bad_sent = 0
        addresses = [f"10.0.0.{n}:9" for n in range(instances)]
        everyone = [
            members.Member(
                inner_address=address,
                incarnation=address,
                region="r",
                data_centre="r-1",
            )
            for address in addresses
        ]
        self.instances = [self._instance(m, everyone) for m in everyone]

    def _instance(self, myself, everyone):
        others = tuple(m for m in everyone if m is not myself)
        view = members.FixedMemberView(myself=myself, others=others)
        ring = events.EventRing(clock=self.clock)
        lease = RowLease(self.table)
        replica = replica_module.ConfigReplica(clock=self.clock, events=ring)
        store = store_module.ConfigStore(
            table=self.table, clock=self.clock, call_timeout=SECOND
        )
        accepter = acceptance.Accepter(
            store=store,
            replica=replica,
            clock=self.clock,
            events=ring,
            random=self.random,
        )
        editor = config_editor.AccepterEditor(accepter=accepter, lease=lease)
        keeper = allowance.AllowanceKeeper(lease=lease, members=view)
        handlers = peers.PeerHandlers()
        keeper.register(handlers)
        caller = self.network.attach(myself.inner_address, handlers)
        return Instance(
            address=myself.inner_address,
            lease=lease,
            replica=replica,
            accepter=accepter,
            editor=editor,
            keeper=keeper,
            controller=controller.RolloutController(
                view=replica,
                lease=lease,
                table=self.table,
                ratings=self.ratings,
                editor=editor,
                keeper=keeper,
                clock=self.clock,
                events=ring,
            ),
            gate=gate.GrantedExposureGate(
                caller=caller,
                members=view,
                clock=self.clock,
                random_source=self.random,
            ),
            events=ring,
        )

    async def start(self):
        """Accepts the configuration and begins the roll-out."""
        versions = (
            documents.VersionEntry(version="1", share_percent=100.0),
            documents.VersionEntry(
                version="2",
                state=documents.VersionState.WITHDRAWN,
                share_percent=0.0,
            ),
        )
        await self.edit(
            edits.ImportDocuments(
                expected_revision=0,
                fleet=documents.Fleet(
                    models=(
                        documents.ModelEntry(
                            name="small",
                            prompt_token_cost_micros=1,
                            output_token_cost_micros=1,
                        ),
                    )
                ),
                teams=(
                    documents.Team(name="agency", allowed_models=("small",)),
                ),
                templates=(
                    documents.Template(
                        team="agency",
                        name="lookup",
                        stages=(
                            documents.Stage(model="small", versions=versions),
                        ),
                        roll_out=self.policy,
                    ),
                ),
            )
        )
        await self.roll_out()

    async def roll_out(self):
        """Begins the roll-out as an operator does."""
        await self.edit(
            edits.RollOutVersion(
                team="agency", template="lookup", model_version=NEW
            )
        )

    async def edit(self, edit):
        """Accepts an operator's change on the first instance."""
        operation = operations.Operation(
            operation_id=f"op-{self.random.random()}",
            author=_AUTHOR,
            reason="test",
            edit=edit,
        )
        record = await self.instances[0].accepter.accept(
            operation, timeout=SECOND
        )
        assert record.outcome is rows.Outcome.ACCEPTED, record.detail
        self.spread()

    def spread(self):
        """Applies the newest configuration on each instance."""
        newest = max(
            (i.replica.state for i in self.instances), key=lambda s: s.revision
        )
        for instance in self.instances:
            instance.replica.apply_state(newest)

    def entry(self, version="2"):
        """Returns a version's entry as the configuration has it."""
        snapshot = max(
            (i.replica.snapshot for i in self.instances),
            key=lambda s: s.revision,
        )
        stage = snapshot.template("agency", "lookup").stages[0]
        return next(e for e in stage.versions if e.version == version)

    async def watch(self):
        """Returns the row's watch of the new version."""
        row = await self.table.read(pool.ROW_KEY)
        return pool.decode(row.value).watch(KEY)

    async def tick(self, requests=20):
        """Advances by a second with a number of requests."""
        share = self.entry().share_percent
        for number in range(requests):
            instance = self.instances[number % len(self.instances)]
            serving = self.entry().state is documents.VersionState.SERVING
            if serving or (share and instance.wants()):
                await self._answer(share)
        await self.clock.advance(SECOND)
        for instance in self.instances:
            await self.step(instance)
        self.spread()

    async def step(self, instance):
        """Runs one step of an instance's controller to its end."""
        task = asyncio.ensure_future(instance.controller.step())
        for _ in range(100):
            await asyncio.sleep(0)
        while not task.done():
            await self.clock.advance(SECOND / 10)
        await task

    async def ticks_until(self, reached, *, limit=2_000, requests=20):
        """Ticks until a condition holds; returns the seconds it took."""
        for second in range(limit):
            if reached():
                return second
            await self.tick(requests)
        raise AssertionError(f"not reached in {limit} s: {await self.watch()}")

    def unrated(self):
        """Returns the answers sent for which there is no rating yet."""
        return self.sent - len(self.ratings._ratings)

    async def _answer(self, share):
        self.sent += 1
        bad = self.is_bad(share)
        self.bad_sent += bad
        task = ratings.RatingTask(
            request_id=f"req-{self.sent}",
            team="agency",
            template="lookup",
            model_version=NEW,
            stage=0,
            prompt="",
            answer="bad" if bad else "good",
        )
        if self.hands_in(bad):
            await self.ratings.submit([task])

    async def close(self):
        """Ends the gates' tasks."""
        for instance in self.instances:
            await instance.gate.close()
