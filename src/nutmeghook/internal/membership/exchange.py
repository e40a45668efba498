"""Anti-entropy: syncs whole tables between members that differ."""

import datetime
import random as random_module

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import gossip as gossip_module
from nutmeghook.internal.membership import table as table_module
from nutmeghook.internal.membership import timing as timing_module

_TIMEOUT = datetime.timedelta(seconds=3)
# Limit for the syncs that this instance begins, sent and received. 420 members
# are 30 KB each way, so one sync each 90 s then.
_BYTES_PER_S = 700
_BYTES_PER_MEMBER = 75


class TableExchange:
    """Syncs tables over TCP, at a bounded rate.

    Only running members are sent; deaths travel only as rumours. Otherwise a
    region that was cut off would receive the deaths of hundreds of its own
    members on its first contact after the cut, and apply them.
    """

    __slots__ = (
        "_caller",
        "_clock",
        "_gossip",
        "_introduce_until",
        "_learned",
        "_next_at",
        "_random",
        "_table",
        "_timing",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        caller: peers.PeerCaller,
        table: table_module.MemberTable,
        gossip: gossip_module.Gossip,
        timing: timing_module.Timing,
    ):
        self._clock = clock
        self._random = random
        self._caller = caller
        self._table = table
        self._gossip = gossip
        self._timing = timing
        self._next_at = clock.monotonic()
        self._introduce_until = clock.monotonic() + timing.introduction
        # Whether the last sync brought anything new; true until the first, as
        # this instance then knows hardly any member.
        self._learned = True

    def try_begin(self) -> bool:
        """Tells whether a difference from another member warrants a sync.

        If so, the caller must begin it at once; no other is due meanwhile.
        """
        now = self._clock.monotonic()
        if now < self._next_at:
            return False
        # Rumours of a recent change may still arrive, and are cheaper.
        settled = now - self._table.changed_at >= self._timing.settle
        if not settled and not self._learned:
            return False
        self._next_at = now + _TIMEOUT
        return True

    async def sync_with(self, inner_address: str) -> None:
        """Sends the table to a member and merges the one it returns."""
        try:
            reply = await self._caller.call(
                inner_address, self._message(), timeout=_TIMEOUT
            )
        except (peers.PeerUnreachableError, peers.PeerRefusedError):
            return
        self._learned = self._merge(reply)
        jitter = self._random.uniform(0.8, 1.2)
        self._next_at = self._clock.monotonic() + self._next_delay() * jitter

    def _next_delay(self) -> datetime.timedelta:
        members_count = len(self._table.running()) + 1
        size_bytes = 2 * _BYTES_PER_MEMBER * members_count
        affordable = datetime.timedelta(seconds=size_bytes / _BYTES_PER_S)
        fast = self._timing.fast_sync_period
        if self._learned:
            # A new instance may exceed the byte limit: a fleet that starts all
            # at once has little else to do.
            is_new = self._clock.monotonic() < self._introduce_until
            return fast if is_new else max(affordable, fast)
        return max(affordable, self._timing.sync_period)

    async def handle(self, request: ttypes.MemberTable) -> ttypes.MemberTable:
        """Answers another member's sync."""
        reply = self._message()
        self._merge(request)
        return reply

    def _message(self) -> ttypes.MemberTable:
        everyone = [record.claim for record in self._table.running()]
        everyone.append(self._table.own_claim)
        return ttypes.MemberTable(
            states=[claims.to_state(c, with_location=True) for c in everyone]
        )

    def _merge(self, table: ttypes.MemberTable) -> bool:
        """Merges a table; returns whether it contained anything new."""
        verdicts = [
            self._gossip.apply_claim(claim)
            for claim in claims.usable(table.states)
        ]
        return table_module.Verdict.ADOPTED in verdicts
