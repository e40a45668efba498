"""Distributes configuration changes between the store and the instances.

Three independent mechanisms: the readers of each data centre poll the store's
head; an instance that receives a change pushes it to a few random peers of its
data centre; and every instance exchanges digests, each second with its parent
in the distribution tree and each three seconds with a random instance.
"""

import asyncio
import datetime
import random as random_module

import eliot

from nutmeghook.internal.config import distribution_tree
from nutmeghook.internal.config import exchange as exchange_module
from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.config import store as store_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import events as events_module

_READ_PERIOD = datetime.timedelta(milliseconds=500)
_PARENT_EXCHANGE_PERIOD = datetime.timedelta(seconds=1)
_RANDOM_EXCHANGE_PERIOD = datetime.timedelta(seconds=3)
# An instance whose peers have not confirmed its configuration for this long
# reads the store itself. In normal operation the tree keeps all ages below it.
_FALLBACK_READ_AGE = datetime.timedelta(seconds=3)
# During a store outage the retries of 420 instances at this period are a tenth
# of the store's reads.
_FALLBACK_READ_PERIOD = datetime.timedelta(seconds=2)
_PUSH_FAN_OUT = 4
_PUSH_ROUNDS = 8
_BOOTSTRAP_PEERS = 3


class ConfigDistributor:
    """Runs the tasks that distribute the configuration."""

    __slots__ = (
        "_clock",
        "_events",
        "_exchange",
        "_members",
        "_random",
        "_read_at",
        "_replica",
        "_store",
        "_store_unreachable",
    )

    def __init__(
        self,
        *,
        store: store_module.ConfigStore,
        replica: replica_module.ConfigReplica,
        exchange: exchange_module.ConfigExchange,
        members: members_module.MemberView,
        clock: clock_module.Clock,
        events: events_module.EventRing,
        random: random_module.Random,
    ):
        self._store = store
        self._replica = replica
        self._exchange = exchange
        self._members = members
        self._clock = clock
        self._events = events
        self._random = random
        self._read_at: datetime.timedelta | None = None
        self._store_unreachable = False

    async def run(self) -> None:
        """Distributes the configuration until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._bootstrap())
            tasks.create_task(self._read_repeatedly())
            tasks.create_task(self._exchange_with_parent())
            tasks.create_task(self._exchange_with_random_peers())
            tasks.create_task(self._push_repeatedly(tasks))

    async def read_store(self) -> bool:
        """Reads the head and the missing changes; returns whether it worked."""
        self._read_at = self._clock.monotonic()
        try:
            head = await self._store.head()
            catch_up = await self._store.catch_up(
                self._replica.state, head.revision
            )
        except failures.PlatformError as error:
            self._record_store_state(unreachable=True, detail=str(error))
            return False
        self._record_store_state(unreachable=False, detail="")
        self._replica.apply_catch_up(catch_up)
        self._replica.confirm(head.revision, head.read_at)
        return True

    async def _bootstrap(self) -> None:
        """Fetches the configuration from peers, or else from the store.

        After a power cut 420 instances start together: only those that find
        no peer with a configuration read all documents from the store.
        """
        others = self._others()
        chosen = self._random.sample(others, min(_BOOTSTRAP_PEERS, len(others)))
        await asyncio.gather(*(self._try_exchange(peer) for peer in chosen))
        if self._replica.revision == 0:
            await self.read_store()

    async def _read_repeatedly(self) -> None:
        while True:
            await self._sleep(_READ_PERIOD)
            if (
                distribution_tree.is_reader(self._members)
                or self._needs_fallback_read()
            ):
                await self.read_store()

    def _needs_fallback_read(self) -> bool:
        age = self._replica.confirmed_age()
        if age is not None and age < _FALLBACK_READ_AGE:
            return False
        if self._read_at is None:
            return True
        return self._clock.monotonic() - self._read_at >= _FALLBACK_READ_PERIOD

    async def _exchange_with_parent(self) -> None:
        while True:
            await self._sleep(_PARENT_EXCHANGE_PERIOD)
            parent = (
                distribution_tree.parent(self._members) or self._remote_reader()
            )
            if parent is None or await self._try_exchange(parent):
                continue
            # The parent crashed or froze and membership has not noticed yet.
            # Any other instance of the data centre serves as well.
            local_peers = self._local_peers()
            if local_peers:
                await self._try_exchange(self._random.choice(local_peers))

    async def _exchange_with_random_peers(self) -> None:
        while True:
            await self._sleep(_RANDOM_EXCHANGE_PERIOD)
            others = self._others()
            if others:
                await self._try_exchange(self._random.choice(others))

    async def _push_repeatedly(self, tasks: asyncio.TaskGroup) -> None:
        # Rounds overlap, so that a frozen peer does not delay the next change;
        # their number is limited, so that a burst of changes is batched.
        rounds = asyncio.Semaphore(_PUSH_ROUNDS)
        pushed_revision = self._replica.revision
        while True:
            if self._replica.revision == pushed_revision:
                await self._replica.wait_for_new_revision()
            await rounds.acquire()
            after_revision = pushed_revision
            pushed_revision = self._replica.revision
            task = tasks.create_task(self._push_round(after_revision))
            task.add_done_callback(lambda _: rounds.release())

    async def _push_round(self, after_revision: int) -> None:
        local_peers = self._local_peers()
        count = min(_PUSH_FAN_OUT, len(local_peers))
        chosen = self._random.sample(local_peers, count)
        await asyncio.gather(
            *(self._push(peer, after_revision) for peer in chosen)
        )

    async def _push(
        self, peer: members_module.Member, after_revision: int
    ) -> None:
        try:
            await self._exchange.push(
                peer.inner_address, after_revision=after_revision
            )
        except (peers.PeerUnreachableError, peers.PeerRefusedError) as error:
            _log_failure(peer, error)

    async def _try_exchange(self, peer: members_module.Member) -> bool:
        try:
            await self._exchange.exchange(peer.inner_address)
        except (peers.PeerUnreachableError, peers.PeerRefusedError) as error:
            _log_failure(peer, error)
            return False
        return True

    def _remote_reader(self) -> members_module.Member | None:
        """Returns a reader of another data centre, else the other local one."""
        members = self._members.members()
        here = self._members.myself.data_centre
        elsewhere = [
            name
            for name in distribution_tree.data_centres(members)
            if name != here
        ]
        chosen = self._random.choice(elsewhere) if elsewhere else here
        mine = self._members.myself.inner_address
        found = [
            member
            for member in distribution_tree.readers(members, chosen)
            if member.inner_address != mine
        ]
        return self._random.choice(found) if found else None

    def _others(self) -> list[members_module.Member]:
        mine = self._members.myself.inner_address
        return [
            member
            for member in self._members.members()
            if member.inner_address != mine
        ]

    def _local_peers(self) -> list[members_module.Member]:
        here = self._members.myself.data_centre
        return [m for m in self._others() if m.data_centre == here]

    async def _sleep(self, duration: datetime.timedelta) -> None:
        # Jitter, since instances that start together would stay synchronised.
        await self._clock.sleep(duration * self._random.uniform(0.8, 1.2))

    def _record_store_state(self, *, unreachable: bool, detail: str) -> None:
        if unreachable == self._store_unreachable:
            return
        self._store_unreachable = unreachable
        kind = events_module.EventKind.STORE_BACK
        if unreachable:
            kind = events_module.EventKind.STORE_OUT
        self._events.record(kind, "configuration", detail=detail)


def _log_failure(peer: members_module.Member, error: Exception) -> None:
    eliot.log_message(
        "config:exchange_failed", peer=peer.inner_address, reason=str(error)
    )
