"""Detects members that no longer answer; confirms before declaring a death."""

import asyncio
import datetime
import enum
import random as random_module

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import gossip as gossip_module
from nutmeghook.internal.membership import listener as listener_module
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import table as table_module
from nutmeghook.internal.membership import timing as timing_module

_HELPERS = 3
# A region that is cut off makes hundreds of members suspect at once. This limit
# bounds the traffic for them; other instances confirm the rest.
_MAX_CONCURRENT_CONFIRMATIONS = 2
_PROBES_WHILE_UNCONFIRMED = 3
# A wait that took this much longer than requested means that this process
# stalled, so its timeouts prove nothing about other members.
_MAX_OVERSLEEP = datetime.timedelta(seconds=1)


class _Round(enum.Enum):
    ANSWERED = "answered"
    SILENT = "silent"
    VOID = "void"


class FailureDetector:
    """Probes the members in turn and confirms suspicions.

    Unlike in SWIM, a suspicion is not gossiped. Gossiped, it would start a
    timer on every instance, which only an equally fast refutation stops. Here
    the suspecting instance continues to probe, directly and through three
    helpers, and only its conclusion is gossiped.
    """

    __slots__ = (
        "_checked",
        "_clock",
        "_confirmation_slots",
        "_gossip",
        "_listener",
        "_queue",
        "_random",
        "_table",
        "_tasks",
        "_timing",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        table: table_module.MemberTable,
        gossip: gossip_module.Gossip,
        timing: timing_module.Timing,
        listener: listener_module.MembershipListener,
    ):
        self._clock = clock
        self._random = random
        self._table = table
        self._gossip = gossip
        self._timing = timing
        self._listener = listener
        self._queue: list[str] = []
        self._checked: set[str] = set()
        self._confirmation_slots = asyncio.Semaphore(
            _MAX_CONCURRENT_CONFIRMATIONS
        )
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Probes one member in each period, until cancelled."""
        while True:
            jitter = self._random.uniform(0.9, 1.1)
            await self._clock.sleep(self._timing.probe_period * jitter)
            count = 1
            if not self._gossip.is_confirmed():
                # At start, after a freeze, and while cut off.
                count = _PROBES_WHILE_UNCONFIRMED
            for _ in range(count):
                self._probe_next()

    def stop(self) -> None:
        """Cancels all checks."""
        for task in self._tasks:
            task.cancel()

    def _probe_next(self) -> None:
        """Probes in a shuffled order, reshuffled after each pass.

        So each member is probed within a bounded time, which independent
        random choices would not ensure.
        """
        if not self._queue:
            self._queue = [
                record.member.inner_address for record in self._table.running()
            ]
            self._random.shuffle(self._queue)
        while self._queue:
            record = self._table.record(self._queue.pop())
            if record is not None and record.claim.is_running:
                self._start_check(record)
                return

    def _start_check(self, record: table_module.Record) -> None:
        address = record.member.inner_address
        if address in self._checked:
            return
        self._checked.add(address)
        task = asyncio.create_task(self._check(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, record: table_module.Record) -> None:
        address = record.member.inner_address
        suspected = record.claim
        try:
            if await self._round(suspected.member) is not _Round.SILENT:
                return
            self._set_suspected(record, True)
            async with self._confirmation_slots:
                await self._confirm(record, suspected)
        finally:
            self._checked.discard(address)

    async def _confirm(
        self, record: table_module.Record, suspected: claims.Claim
    ) -> None:
        """Probes until the member answers, sends a new claim, or is dead."""
        silent_rounds = 0
        while silent_rounds < self._timing.confirmations:
            started = self._clock.monotonic()
            outcome = await self._round(suspected.member)
            if outcome is _Round.ANSWERED:
                self._set_suspected(record, False)
                return
            if record.claim.order[:2] != suspected.order[:2]:
                return
            if not record.claim.is_running:
                return
            if outcome is _Round.SILENT:
                silent_rounds += 1
            spent = self._clock.monotonic() - started
            await self._clock.sleep(self._timing.round_timeout - spent)
        self._declare_dead(suspected)

    def _declare_dead(self, suspected: claims.Claim) -> None:
        """Declares a member dead.

        An instance that nobody answers may itself be cut off, even if its
        messages still arrive. It would declare the whole fleet dead, so it
        does not gossip its conclusion.
        """
        claim = self._table.declare_dead(suspected)
        if claim is None:
            return
        if self._gossip.is_confirmed():
            self._gossip.spread(claim)
            # The rumour starts at several members: in a fleet of 100 it
            # reaches all of them seconds earlier.
            for helper in self._helpers(claim.member):
                self._gossip.announce_to(helper.inner_address)
        self._listener.on_verdict(claim, table_module.Verdict.ADOPTED)

    async def _round(self, member: members_module.Member) -> _Round:
        """Probes twice directly, then once through helpers.

        At 5% loss a tenth of the probes fail. The second direct probe costs
        two datagrams; probing through three helpers costs twelve.
        """
        started = self._clock.monotonic()
        if await self._probe(member) or await self._probe(member):
            return _Round.ANSWERED
        if await self._probe_via_helpers(member):
            return _Round.ANSWERED
        took = self._clock.monotonic() - started
        if took > self._timing.round_timeout + _MAX_OVERSLEEP:
            return _Round.VOID
        return _Round.SILENT

    async def _probe(self, member: members_module.Member) -> bool:
        return await self._gossip.probe(
            member.inner_address, timeout=self._timing.direct_timeout
        )

    async def _probe_via_helpers(self, member: members_module.Member) -> bool:
        answers = await asyncio.gather(
            *(
                self._gossip.probe(
                    helper.inner_address,
                    timeout=self._timing.indirect_timeout,
                    target_address=member.inner_address,
                )
                for helper in self._helpers(member)
            )
        )
        return any(answers)

    def _helpers(
        self, member: members_module.Member
    ) -> list[members_module.Member]:
        """Chooses random helpers, each of another region where possible.

        While two regions can't reach each other, a third may reach both.
        Helpers chosen without regard to regions would often all be on this
        side of the cut, and the two regions would declare each other's members
        dead.
        """
        others = [
            record.member
            for record in self._table.running()
            if record.member.inner_address != member.inner_address
            and not record.is_suspected
        ]
        self._random.shuffle(others)
        by_region: dict[str, members_module.Member] = {}
        for other in others:
            by_region.setdefault(other.region, other)
        first = list(by_region.values())
        chosen = first + [other for other in others if other not in first]
        return chosen[:_HELPERS]

    def _set_suspected(
        self, record: table_module.Record, suspected: bool
    ) -> None:
        if record.is_suspected != suspected and record.claim.is_running:
            record.is_suspected = suspected
            self._listener.on_suspicion(record.member)
