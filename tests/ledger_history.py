"""Random runs of three instances under faults, with checks of each run.

A run is determined by its seed: callers on random instances claim keys, run,
finish, release or lose the outcome, retry on other instances and request pins,
while instances are killed, frozen and partitioned and both stores have faults.
Then all faults end, and the history is checked against the invariants.
"""

import asyncio
import collections
import dataclasses
import datetime
import random

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import pins
from tests import ledger_cluster

_SECOND = ledger_cluster.SECOND
_MS = ledger_cluster.MS
_NAMES = "abc"
_KEYS = 12
_SESSIONS = 4
# Steps for which keys and sessions are used; they take less than the window.
_EPOCH_STEPS = 80


@dataclasses.dataclass(slots=True, kw_only=True)
class History:
    """What callers observed in one run, and the violations found.

    Attributes:
        runs: For each key, the tries that were sent to a backend server.
        finishing: Keys whose bill was passed to the ledger.
        finished: Keys whose bill was reported durable.
        pinned: For each session, the versions that callers received.
    """

    operations: int = 0
    faults: int = 0
    runs: dict[str, list[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    finishing: set[str] = dataclasses.field(default_factory=set)
    finished: set[str] = dataclasses.field(default_factory=set)
    pinned: dict[str, set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, billed: list[str]) -> None:
        """Adds the violations of the finished run."""
        counts = collections.Counter(billed)
        wrong = [
            *(f"{k} ran {len(t)} times" for k, t in self.runs.items() if t[1:]),
            *(f"{k} is billed {n} times" for k, n in counts.items() if n > 1),
            *(
                f"{key} is billed and did not finish"
                for key in sorted(set(counts) - self.finishing)
            ),
            *(
                f"{key} finished and is not billed"
                for key in sorted(self.finished - set(counts))
            ),
            *(
                f"{session} had {sorted(versions)}"
                for session, versions in self.pinned.items()
                if len(versions) > 1
            ),
        ]
        self.violations.extend(wrong)


class Run:
    """One random run."""

    def __init__(self, *, seed: int, cluster: ledger_cluster.Cluster):
        self.random = random.Random(seed)
        self.cluster = cluster
        self.history = History()
        self._tasks: dict[str, set[asyncio.Task]] = {}
        self._tries = 0
        self._epoch = 0

    async def play(self, *, steps: int) -> History:
        """Plays the run, ends all faults, and checks."""
        for name in _NAMES:
            self._start(name)
        for step in range(steps):
            self._epoch = step // _EPOCH_STEPS
            if self.random.random() < 0.25:
                self._inject_fault()
            else:
                self._start_operation()
            await self.cluster.pass_time(self.random.randint(1, 400) * _MS)
        await self._settle()
        self.history.check(await self.cluster.billed())
        await self.cluster.stop()
        return self.history

    def _start(self, name: str) -> None:
        self.cluster.start(name)
        self._tasks[name] = set()

    def _start_operation(self) -> None:
        names = sorted(self.cluster.instances)
        if not names:
            return
        name = self.random.choice(names)
        instance = self.cluster.instances[name]
        self._tries += 1
        if self.random.random() < 0.3:
            work = self._pin(instance)
        elif self.random.random() < 0.2:
            work = self._minted(instance, f"minted-{self._tries}")
        else:
            key = f"key-{self._epoch}-{self.random.randrange(_KEYS)}"
            work = self._keyed(instance, key, f"try-{self._tries}")
        self.history.operations += 1
        task = asyncio.ensure_future(work)
        self._tasks[name].add(task)
        task.add_done_callback(self._tasks[name].discard)
        if self.random.random() < 0.1:
            # A caller that disconnects at a random moment.
            asyncio.get_running_loop().call_soon(
                self._cancel_later, task, self.random.randint(0, 300)
            )

    def _cancel_later(self, task: asyncio.Task, after_ms: int) -> None:
        async def cancel():
            await self.cluster.clock.sleep(after_ms * _MS)
            task.cancel()

        canceller = asyncio.ensure_future(cancel())
        self._tasks.setdefault("", set()).add(canceller)

    async def _keyed(self, instance, key: str, request_id: str) -> None:
        identity = ledger_cluster.identity(key)
        try:
            result = await instance.client.claim(
                identity,
                request_id=request_id,
                timeout=self.random.randint(200, 6000) * _MS,
            )
        except errors.CodedError:
            return
        if result.state is ledger.ClaimState.ANSWERED:
            self._check_answer(key, result)
        if result.state is not ledger.ClaimState.WON:
            return
        outcome = self.random.random()
        if outcome < 0.2:
            await instance.client.release(identity, request_id=request_id)
            return
        self.history.runs[key].append(request_id)
        await self._run_request(instance)
        if outcome < 0.3:
            await instance.client.mark_unknown(identity, request_id=request_id)
            return
        await self._finish(instance, key, request_id, given=True)

    async def _minted(self, instance, key: str) -> None:
        await self._run_request(instance)
        await self._finish(instance, key, key, given=False)

    async def _finish(self, instance, key, request_id, *, given) -> None:
        self.history.finishing.add(key)
        try:
            await instance.client.finish(
                bill=ledger_cluster.bill(
                    key, request_id=request_id, given=given
                ),
                answer=ledger.KeptAnswer(
                    status=200, content_type="t", body=request_id.encode()
                ),
                timeout=self.random.randint(200, 8000) * _MS,
            )
        except errors.CodedError:
            return
        self.history.finished.add(key)

    async def _run_request(self, instance) -> None:
        clock = self.cluster.network.clock_of(instance.address)
        await clock.sleep(self.random.randint(1, 3000) * _MS)

    async def _pin(self, instance) -> None:
        session = f"session-{self._epoch}-{self.random.randrange(_SESSIONS)}"
        proposed = engine.ModelVersion(
            model="m", version=str(self.random.randrange(3))
        )
        try:
            pinned = await instance.ledger.pins.pin(
                pins.SessionKey(
                    team="t", template="x", stage_index=0, session=session
                ),
                proposed=proposed,
                unusable=frozenset(),
                revision=1,
                timeout=2 * _SECOND,
            )
        except errors.CodedError:
            return
        self.history.pinned[session].add(str(pinned.model_version))

    def _check_answer(self, key: str, result: ledger.ClaimResult) -> None:
        if key not in self.history.finishing:
            self.history.violations.append(f"{key} answered, not finished")
        body = result.answer.body if result.answer else b""
        if body.decode() not in self.history.runs[key]:
            self.history.violations.append(f"{key} got a foreign answer")

    def _inject_fault(self) -> None:
        self.history.faults += 1
        self.random.choice(
            [
                self._kill,
                self._freeze,
                self._thaw,
                self._cut,
                self._hide_member,
                self._heal,
                self._lose_messages,
                self._make_late,
                self._toggle_table,
                self._toggle_objects,
                self._slow_down,
                self._restart,
                self._end_faults,
                self._end_faults,
            ]
        )()

    def _kill(self) -> None:
        if len(self.cluster.instances) < 2:
            return
        name = self.random.choice(sorted(self.cluster.instances))
        member = self.cluster.instances[name].member
        self.cluster.network.thaw(member.inner_address)
        for task in self._tasks[name]:
            task.cancel()
        self.cluster.kill(name, noticed=False)
        noticed_after = self.random.randint(0, 4000) * _MS

        async def notice():
            await self.cluster.clock.sleep(noticed_after)
            self.cluster.members.remove(member)

        self._tasks.setdefault("", set()).add(asyncio.ensure_future(notice()))

    def _restart(self) -> None:
        missing = [n for n in _NAMES if n not in self.cluster.instances]
        if missing:
            self._start(self.random.choice(missing))

    def _freeze(self) -> None:
        self.cluster.network.freeze(self._some_address())

    def _thaw(self) -> None:
        self.cluster.network.thaw(self._some_address())

    def _cut(self) -> None:
        self.cluster.network.cut(self._some_address(), self._some_address())

    def _hide_member(self) -> None:
        viewer, viewed = self.random.sample(_NAMES, 2)
        self.cluster.hidden.add((f"{viewer}:1", f"{viewed}:1"))

    def _heal(self) -> None:
        self.cluster.hidden.clear()
        self.cluster.network.heal_all()

    def _lose_messages(self) -> None:
        faults = self._some_store().faults
        faults.lose_next_answers = self.random.randint(0, 3)
        faults.lose_next_requests = self.random.randint(0, 2)

    def _make_late(self) -> None:
        late = self.random.choice([None, None, 1, 5000])
        self._some_store().faults.late_effect = late and late * _MS

    def _toggle_table(self) -> None:
        faults = self.cluster.table.faults
        faults.down = not faults.down

    def _toggle_objects(self) -> None:
        faults = self.cluster.objects.faults
        faults.down = not faults.down

    def _slow_down(self) -> None:
        delay = self.random.choice([0, 0, 5, 300, 2500]) * _MS
        self._some_store().faults.delay = delay

    def _some_store(self):
        return self.random.choice([self.cluster.table, self.cluster.objects])

    def _some_address(self) -> str:
        return f"{self.random.choice(_NAMES)}:1"

    def _end_faults(self) -> None:
        self.cluster.hidden.clear()
        self.cluster.network.heal_all()
        for name in _NAMES:
            self.cluster.network.thaw(f"{name}:1")
            if name not in self.cluster.instances:
                self._start(name)
        for store in (self.cluster.table, self.cluster.objects):
            store.faults.down = False
            store.faults.delay = datetime.timedelta()
            store.faults.late_effect = None
            store.faults.lose_next_answers = 0
            store.faults.lose_next_requests = 0

    async def _settle(self) -> None:
        """Ends all faults and waits until everything has settled."""
        self._end_faults()
        await self.cluster.pass_time(40 * _SECOND)


async def play(
    *,
    seed: int,
    steps: int,
    window: datetime.timedelta = datetime.timedelta(hours=1),
) -> History:
    """Plays and checks one run."""
    cluster = ledger_cluster.Cluster(partitions=2, seed=seed, window=window)
    return await Run(seed=seed, cluster=cluster).play(steps=steps)
