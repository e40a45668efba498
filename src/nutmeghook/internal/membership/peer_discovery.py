"""Probes addresses at which an unknown or dead member may be running."""

import asyncio
import random as random_module

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.membership import gossip as gossip_module
from nutmeghook.internal.membership import listing
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import readers
from nutmeghook.internal.membership import table as table_module
from nutmeghook.internal.membership import timing as timing_module

LIST_READERS = 2
_LIST_PURPOSE = "instance list"
_PROBES_WHILE_ALONE = 3
_DISPUTES_PER_PERIOD = 10


class PeerDiscovery:
    """Finds members that gossip does not reach.

    Two readers in each data centre read the instance list and probe its
    addresses, as does an instance that knows no other member. A member that
    answers is spread by gossip, so the other instances need not probe.
    """

    __slots__ = (
        "_clock",
        "_disputed",
        "_gossip",
        "_hints",
        "_queue",
        "_random",
        "_table",
        "_tasks",
        "_timing",
        "_view",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        view: members_module.MemberView,
        table: table_module.MemberTable,
        gossip: gossip_module.Gossip,
        hints: listing.InstanceHints,
        timing: timing_module.Timing,
    ):
        self._clock = clock
        self._random = random
        self._view = view
        self._table = table
        self._gossip = gossip
        self._hints = hints
        self._timing = timing
        self._disputed: set[str] = set()
        self._queue: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    def dispute(self, inner_address: str) -> None:
        """Schedules a probe of a member that some consider dead, some alive.

        The probe tells the member that it was declared dead; it refutes that
        with a higher number.
        """
        self._disputed.add(inner_address)

    async def run_list_reads(self) -> None:
        """Reads the list at start, then while elected; until cancelled."""
        while True:
            if not self._hints.was_read or self._is_reader():
                await self._hints.read()
            jitter = self._random.uniform(0.8, 1.2)
            period = self._timing.list_period
            if not self._hints.was_read:
                period = self._timing.probe_period
            await self._clock.sleep(period * jitter)

    async def run_probes(self) -> None:
        """Probes addresses, until cancelled."""
        while True:
            self._probe_disputed()
            if self._is_alone():
                self._probe_missing(_PROBES_WHILE_ALONE)
                await self._clock.sleep(self._timing.probe_period)
                continue
            if self._is_reader():
                self._probe_missing(1)
            self._table.drop_dead(self._timing.dead_retention)
            jitter = self._random.uniform(0.8, 1.2)
            await self._clock.sleep(self._timing.discovery_period * jitter)

    def stop(self) -> None:
        """Cancels all probes."""
        for task in self._tasks:
            task.cancel()

    def missing_addresses(self) -> list[str]:
        """Returns listed, seed and dead addresses without a running member."""
        known = {
            record.member.inner_address for record in self._table.running()
        }
        known.add(self._table.own_claim.member.inner_address)
        wanted = self._hints.addresses() | set(self._table.dead_addresses())
        return sorted(wanted - known)

    def is_sole_instance(self) -> bool:
        """Tells whether, as far as is known, there is no other instance.

        A list that lacks this instance may be faulty, so the absence of others
        from it proves nothing.
        """
        myself = self._table.own_claim.member.inner_address
        return (
            self._is_alone()
            and self._hints.lists(myself)
            and not self.missing_addresses()
        )

    def _is_alone(self) -> bool:
        return not self._table.running()

    def _is_reader(self) -> bool:
        return readers.is_elected(
            self._view, count=LIST_READERS, purpose=_LIST_PURPOSE
        )

    def _probe_disputed(self) -> None:
        for _ in range(min(len(self._disputed), _DISPUTES_PER_PERIOD)):
            self._start_probe(self._disputed.pop())

    def _probe_missing(self, count: int) -> None:
        for _ in range(count):
            if not self._queue:
                self._queue = self.missing_addresses()
                self._random.shuffle(self._queue)
            if not self._queue:
                return
            self._start_probe(self._queue.pop())

    def _start_probe(self, inner_address: str) -> None:
        task = asyncio.create_task(
            self._gossip.probe(
                inner_address, timeout=self._timing.direct_timeout
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
