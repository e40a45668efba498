"""The membership service: failure detection, gossip and discovery."""

import asyncio
from collections.abc import Callable
import random as random_module

import eliot

from nutmeghook.internal.dependencies import instances
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams as datagrams_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import detector as detector_module
from nutmeghook.internal.membership import exchange as exchange_module
from nutmeghook.internal.membership import gossip as gossip_module
from nutmeghook.internal.membership import listener as listener_module
from nutmeghook.internal.membership import listing
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.membership import peer_discovery as discovery_module
from nutmeghook.internal.membership import table as table_module
from nutmeghook.internal.membership import timing as timing_module
from nutmeghook.internal.observe import events as events_module

ChangeCallback = Callable[[members_module.Member], None]

_END_NOTICES = 3
_EVENT_OF_HEALTH = {
    members_module.MemberHealth.SUSPECT: (
        events_module.EventKind.MEMBER_SUSPECTED
    ),
    members_module.MemberHealth.LEAVING: events_module.EventKind.MEMBER_LEFT,
    members_module.MemberHealth.DEAD: events_module.EventKind.MEMBER_LEFT,
}


class MembershipService(
    members_module.MemberView, listener_module.MembershipListener
):
    """The members as this instance knows them, kept up to date."""

    __slots__ = (
        "_callbacks",
        "_clock",
        "_detector",
        "_discovery",
        "_ended",
        "_events",
        "_exchange",
        "_gossip",
        "_random",
        "_reported",
        "_syncs",
        "_table",
    )

    def __init__(
        self,
        *,
        myself: members_module.Member,
        clock: clock_module.Clock,
        random: random_module.Random,
        instance_list: instances.InstanceList,
        seed_addresses: tuple[str, ...] = (),
        caller: peers.PeerCaller,
        handlers: peers.PeerHandlers,
        datagrams: datagrams_module.Datagrams,
        credential: str,
        traffic: traffic_module.Traffic,
        events: events_module.EventRing,
        timing: timing_module.Timing | None = None,
    ):
        """Registers the handler for table syncs; `run` does the rest.

        Args:
            myself: This instance; its incarnation must be new.
            clock: Drives all waits.
            random: For jitter, probe orders and helpers.
            instance_list: The source of new addresses.
            seed_addresses: Inner addresses to probe beside those listed.
            caller: Calls other instances over TCP.
            handlers: The handlers of the TCP side.
            datagrams: The UDP socket on the same address.
            credential: Shared by all instances.
            traffic: Counts what is sent and received.
            events: The ring of events.
            timing: All durations; the production values if None.
        """
        timing = timing or timing_module.Timing()
        # A restarted process needs a higher number than its predecessor at the
        # address. The wall clock nearly always gives one; where it went back,
        # the first ack contains the number to exceed.
        number = int(clock.now().timestamp() * 1000)
        self._clock = clock
        self._random = random
        self._events = events
        self._callbacks: list[ChangeCallback] = []
        self._syncs: set[asyncio.Task] = set()
        self._ended = False
        self._reported: dict[str, members_module.Member] = {}
        self._table = table_module.MemberTable(
            myself=claims.Claim(member=myself, number=number),
            clock=clock,
            max_ack_age=timing.probe_period * 3,
        )
        self._gossip = gossip_module.Gossip(
            clock=clock,
            table=self._table,
            datagrams=datagrams,
            seal=datagrams_module.Seal(credential=credential),
            traffic=traffic,
            timing=timing,
            listener=self,
        )
        self._detector = detector_module.FailureDetector(
            clock=clock,
            random=random,
            table=self._table,
            gossip=self._gossip,
            timing=timing,
            listener=self,
        )
        self._exchange = exchange_module.TableExchange(
            clock=clock,
            random=random,
            caller=caller,
            table=self._table,
            gossip=self._gossip,
            timing=timing,
        )
        self._discovery = discovery_module.PeerDiscovery(
            clock=clock,
            random=random,
            view=self,
            table=self._table,
            gossip=self._gossip,
            hints=listing.InstanceHints(
                instance_list=instance_list, seed_addresses=seed_addresses
            ),
            timing=timing,
        )
        handlers.register(ttypes.MemberTable, self._exchange.handle)

    @property
    def myself(self) -> members_module.Member:
        """This instance."""
        return self._table.own_claim.member

    def members(self) -> list[members_module.Member]:
        """All members except dead ones, including this instance."""
        others = [record.member for record in self._table.running()]
        return [self.myself, *others]

    def is_confirmed(self) -> bool:
        """Tells whether others recently considered this instance alive.

        False right after a long freeze and while cut off from all others, when
        others may have taken over this instance's work. Check it before acting
        as a member. An instance that knows of no other is confirmed.
        """
        return self._gossip.is_confirmed() or self._discovery.is_sole_instance()

    def on_change(self, callback: ChangeCallback) -> None:
        """Registers a callback for changes of other members' states.

        A new process at an address is reported as a member with another
        incarnation; the death of its predecessor is not reported.
        """
        self._callbacks.append(callback)

    def set_config_revision(self, revision: int) -> None:
        """Sets the revision in force here, sent with each message.

        Others receive it with the next probe between them and this instance:
        in seconds among 7 instances, in minutes among 420.
        """
        self._table.set_config_revision(revision)

    def announce_leaving(self) -> None:
        """Announces that this instance takes no new work."""
        self._announce(members_module.MemberHealth.LEAVING)

    def announce_end(self) -> None:
        """Announces that this process ends, so that no member suspects it."""
        self._ended = True
        self._announce(members_module.MemberHealth.DEAD)

    async def run(self) -> None:
        """Runs membership until cancelled."""
        self._gossip.start()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._discovery.run_list_reads())
                group.create_task(self._discovery.run_probes())
                group.create_task(self._detector.run())
        finally:
            self._gossip.stop()
            self._detector.stop()
            self._discovery.stop()
            for sync in self._syncs:
                sync.cancel()

    def on_verdict(
        self, claim: claims.Claim, verdict: table_module.Verdict
    ) -> None:
        """Handles a claim; called by gossip and the detector."""
        if verdict is table_module.Verdict.ADOPTED:
            self._notify(claim.member)
        elif verdict is table_module.Verdict.DISPUTED:
            self._discovery.dispute(claim.member.inner_address)
        elif verdict is table_module.Verdict.REFUTED:
            eliot.log_message(
                "membership:refuted", number=self._table.own_claim.number
            )

    def on_difference(self, inner_address: str) -> None:
        """Syncs tables with a member whose set of members differs."""
        if self._ended or not self._exchange.try_begin():
            return
        sync = asyncio.create_task(self._exchange.sync_with(inner_address))
        self._syncs.add(sync)
        sync.add_done_callback(self._syncs.discard)

    def on_suspicion(self, member: members_module.Member) -> None:
        """Notifies the callbacks; called by the detector."""
        self._notify(member)

    def _notify(self, member: members_module.Member) -> None:
        """Calls back if the member's state differs from the last reported."""
        address = member.inner_address
        before = self._reported.get(address)
        if member.health is members_module.MemberHealth.DEAD:
            self._reported.pop(address, None)
            if before is None:
                return
        elif before is not None and _same_state(before, member):
            return
        else:
            self._reported[address] = member
        self._record(before, member)
        for callback in self._callbacks:
            # An exception here would keep this instance from answering the
            # probe that contained the claim, and so make it look dead.
            try:
                callback(member)
            except Exception:
                eliot.write_traceback()

    def _record(
        self,
        before: members_module.Member | None,
        member: members_module.Member,
    ) -> None:
        kind = _EVENT_OF_HEALTH.get(member.health)
        if before is None or before.incarnation != member.incarnation:
            kind = events_module.EventKind.MEMBER_JOINED
        if kind is not None:
            self._events.record(
                kind,
                member.inner_address,
                health=member.health.name.lower(),
                incarnation=member.incarnation,
            )

    def _announce(self, health: members_module.MemberHealth) -> None:
        self._table.announce(health)
        self._gossip.spread(self._table.own_claim)
        others = self._table.running()
        chosen = self._random.sample(others, min(_END_NOTICES, len(others)))
        for record in chosen:
            self._gossip.announce_to(record.member.inner_address)


def _same_state(
    one: members_module.Member, other: members_module.Member
) -> bool:
    return one.incarnation == other.incarnation and one.health is other.health
