"""Gossip about the revisions of the store's tables between instances.

Every instance needs the same few tables. If each read them from the store,
often enough to notice a stalled feed, the calls would grow with the fleet and
be most of the store's cost. So a few instances read the store. The others learn
from small digests which peers have a newer revision, and fetch the rows from
one of them; so does an instance whose calls the store refuses.

The readers, three in a fleet of any size, are elected without coordination; see
`reader_election`.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import itertools
import random

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers as peers_module
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.table_replication import bandwidth_limiter
from nutmeghook.internal.table_replication import fleet_counter
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import lag
from nutmeghook.internal.table_replication import page_fetcher
from nutmeghook.internal.table_replication import page_server
from nutmeghook.internal.table_replication import peer_sampling
from nutmeghook.internal.table_replication import reader_election
from nutmeghook.internal.table_replication import registration
from nutmeghook.internal.table_replication import shared_table

# A change has to be in force 2 s after it was accepted. If a push is lost, the
# next digest makes up for it. A reader that died is replaced within
# `reader_election.LIVENESS_WINDOW` plus a call; two others read meanwhile.
GOSSIP_PERIOD = datetime.timedelta(milliseconds=400)
# Peers that get each periodic digest. 180 bytes to 5.5 peers, 2.5 times a
# second, are 2.5 KB/s, a tenth of it to other data centres. With 73 to 420
# instances in three to nine data centres, one instance in a thousand has a
# confirmation older than 1.9 s. Six peers drawn without regard to locality
# would make that 1.5 to 1.9 s, at eight times the bytes between data centres.
LOCAL_FANOUT = 5
REMOTE_FANOUT = 0.5
# Peers to which an instance pushes a digest as soon as a change reaches it; the
# others learn of it from the next periodic digest. Each change costs the fleet
# so many digests per instance.
LOCAL_PUSH_FANOUT = 8
REMOTE_PUSH_FANOUT = 1.0
# An instance whose confirmation is older than the time in which a change has to
# be in force, less this, reads the store itself, so that a change that no
# reader receives is still in force in time. The reserve covers noticing the
# age, one call and a slow store. In a fleet of 7 to 420 instances, one in a
# thousand has a confirmation older than 1.8 s at a given moment, so such reads
# are rare.
_READ_RESERVE = datetime.timedelta(seconds=1)
# In a large fleet the readers' feeds may return together, once per wait. With a
# lower limit all instances would read whenever they do.
_LARGE_FLEET_MIN_UNCONFIRMED = follower.FEED_WAIT + datetime.timedelta(
    milliseconds=250
)
# In a small fleet they return in turn, and each confirmation reaches all within
# two digests. All readers may lose the store at once, and a change made then
# has to be in force within 2 s all the same.
_SMALL_FLEET_MIN_UNCONFIRMED = (
    follower.FEED_WAIT / reader_election.READER_COUNT + 2 * GOSSIP_PERIOD
)
# How long a feed waits in a large fleet. While nothing changes, three readers
# with this wait make as many calls and confirmations as five with
# `follower.FEED_WAIT`, and they make three calls for each change instead of
# five.
_LARGE_FLEET_FEED_WAIT = datetime.timedelta(milliseconds=1200)
# How long a reader waits after a change before its next call. Replicas start
# and leave in series; read one by one, each change would cost every reader a
# call. Well under the time in which a change has to be in force.
CHANGE_BATCH_DELAY = datetime.timedelta(milliseconds=100)
# How often an instance that does not read checks whether it has to.
_POLL_INTERVAL = datetime.timedelta(milliseconds=100)
# Changes within so long are pushed together.
_PUSH_INTERVAL = datetime.timedelta(milliseconds=25)
# A reader's own feed usually delivers a change within this time.
_READER_DELAY = datetime.timedelta(milliseconds=250)
# Wait after a failed call, in a large fleet, of an instance that is no reader.
# In a store outage all confirmations grow old and all instances call the store:
# with the readers' back-off, 200 of them make some 400 calls a second, which
# are billed and load the store on its return. The first instance with a
# response informs the others by gossip, and readers retry every second, so one
# call in four seconds from each suffices.
_NON_READER_RETRY_DELAY = datetime.timedelta(seconds=4)
# Wait before the next request to a peer whose link was busy. The token bucket
# of a slow link refills by a piece in this time.
_BUSY_RETRY_DELAY = datetime.timedelta(milliseconds=50)
_MAX_PEERS = 1000
# One periodic digest in so many carries the bitmap of known instances, 130 of
# its then 310 bytes.
_SLOTS_EVERY = 5
# At 73 instances a digest of a given peer arrives about every five seconds.
_PEER_TIMEOUT = datetime.timedelta(seconds=15)
# After this a report of a newer revision that could not be fetched is dropped:
# its sender is unreachable or was mistaken.
_REPORT_LIFETIME = datetime.timedelta(seconds=3)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class _RevisionReport(msgspec.Struct, frozen=True, kw_only=True):
    """A peer's revision of a table and when its digest arrived."""

    revision: int
    at: datetime.timedelta


class TableGossip:
    """Exchanges digests with peers and fetches newer rows from them.

    Args:
        change_time: Within it a change has to be in force everywhere.
        opens_tunnels: Returns whether peers may ask this instance for tunnels.

    Attributes:
        peers: Inner addresses of known instances, by id.
    """

    __slots__ = (
        "_caller",
        "_change_time",
        "_clock",
        "_counter",
        "_data_centre",
        "_data_centres",
        "_deletion_grace",
        "_election",
        "_inner_address",
        "_instance_id",
        "_lags",
        "_last_seen",
        "_messages",
        "_newest_report",
        "_opens_tunnels",
        "_peer_sampler",
        "_peers_ahead",
        "_random",
        "_registered",
        "_registered_at",
        "_reported",
        "_revision_changed",
        "_tables",
        "_tunnel_openers",
        "peers",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        inner_address: str,
        data_centre: str,
        tables: dict[str, shared_table.SharedTable],
        messages: sealed_messages.SealedMessages,
        caller: peers_module.PeerCaller,
        handlers: peers_module.PeerHandlers,
        deletion_grace: shared_table.DeletionGrace,
        limiter: bandwidth_limiter.BandwidthLimiter,
        change_time: datetime.timedelta,
        clock: clock_module.Clock,
        random_source: random.Random,
        opens_tunnels: Callable[[], bool] = lambda: False,
    ):
        self._opens_tunnels = opens_tunnels
        self._tunnel_openers: set[str] = set()
        self._instance_id = instance_id
        self._inner_address = inner_address
        self._data_centre = data_centre
        self._tables = tables
        self._messages = messages
        self._caller = caller
        self._deletion_grace = deletion_grace
        self._clock = clock
        self._random = random_source
        self._peer_sampler = peer_sampling.PeerSampler(
            data_centre=data_centre, random_source=random_source
        )
        self._change_time = change_time
        self._counter = fleet_counter.FleetCounter(
            instance_id=instance_id, clock=clock
        )
        self._last_seen: dict[str, datetime.timedelta] = {}
        # By table: newer revisions of peers, by the peers' address.
        self._peers_ahead: dict[str, dict[str, int]] = {n: {} for n in tables}
        # By table: set when a peer is ahead.
        self._reported = {name: asyncio.Event() for name in tables}
        self._revision_changed = asyncio.Event()
        for table in tables.values():
            table.follower.on_revision = self._revision_changed.set
        # By table: the last newer revision that a peer reported.
        self._newest_report: dict[str, _RevisionReport] = {}
        self._lags = {name: lag.Lag() for name in tables}
        self._election = reader_election.ReaderElection(
            instance_id=instance_id, clock=clock
        )
        self._data_centres: dict[str, str] = {}
        self._registered: frozenset[str] = frozenset()
        self._registered_at = datetime.timedelta()
        self.peers: dict[str, str] = {}
        server = page_server.PageServer(
            tables=tables, deletion_grace=deletion_grace, limiter=limiter
        )
        handlers.register(ttypes.TablePull, server.serve)
        messages.register(ttypes.TablesDigest, self._receive)

    def add_registered(
        self, registered: Mapping[str, registration.RegisteredPeer]
    ) -> None:
        """Adds the peers that are registered in the store."""
        for peer_id, peer in registered.items():
            self.peers[peer_id] = peer.inner_address
            if peer.data_centre is not None:
                self._data_centres[peer_id] = peer.data_centre
        self._registered = frozenset(registered)
        self._registered_at = self._clock.monotonic()

    async def run(self) -> None:
        """Sends digests and fetches changes until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_digests())
            tasks.create_task(self._push_changes())
            for name in self._tables:
                tasks.create_task(self._keep_caught_up(name))

    def should_read(self, table: shared_table.SharedTable) -> bool:
        """Tells whether this instance reads a table from the store."""
        return self._is_unconfirmed(table) or self._election.is_reader(
            fleet_size=self._fleet_size
        )

    def feed_wait(self, table: shared_table.SharedTable) -> datetime.timedelta:
        """Returns for how long a read of a table may wait for a change.

        Without a recent confirmation the store is to answer at once; that
        confirms the revision for the peers too.
        """
        if self._is_unconfirmed(table):
            return datetime.timedelta()
        if self.is_large():
            return _LARGE_FLEET_FEED_WAIT
        store_time = table.follower.store_time()
        if store_time is None:
            return follower.FEED_WAIT
        return self._election.time_until_turn(
            store_time, period=follower.FEED_WAIT, fleet_size=self._fleet_size
        )

    def retry_delay(self) -> datetime.timedelta | None:
        """Returns the wait after a failed call; None for the back-off."""
        is_reader = self._election.is_reader(fleet_size=self._fleet_size)
        if is_reader or not reader_election.is_large(self._fleet_size):
            return None
        return _NON_READER_RETRY_DELAY

    @property
    def _fleet_size(self) -> int:
        return len(self.peers) + 1

    def _is_unconfirmed(self, table: shared_table.SharedTable) -> bool:
        confirmed_at = table.confirmed_at()
        if confirmed_at is None:
            return True
        least = _SMALL_FLEET_MIN_UNCONFIRMED
        if self.is_large():
            least = _LARGE_FLEET_MIN_UNCONFIRMED
        age = self._clock.monotonic() - confirmed_at
        return age > max(self._change_time - _READ_RESERVE, least)

    def is_behind(self, name: str) -> bool:
        """Tells whether a peer recently reported a newer revision."""
        report = self._newest_report.get(name)
        if report is None or report.revision <= self._tables[name].revision:
            return False
        return self._clock.monotonic() - report.at <= _REPORT_LIFETIME

    def is_unconfirmed(self, name: str) -> bool:
        """Tells whether nothing young proves that a table is the newest."""
        return self._is_unconfirmed(self._tables[name])

    def behind_for(self, name: str) -> datetime.timedelta | None:
        """Returns for how long a newer revision has been known; None if not."""
        if not self.is_behind(name):
            return None
        return self._lags[name].duration(
            own=self._tables[name].revision, now=self._clock.monotonic()
        )

    def local_addresses(self) -> list[str]:
        """Returns the addresses of live instances of this data centre.

        Instances whose data centre is unknown are left out.
        """
        return [
            self.peers[peer_id]
            for peer_id in self._live_peer_ids()
            if self._data_centres.get(peer_id) == self._data_centre
        ]

    def sample_live_addresses(self, *, local: int, remote: float) -> list[str]:
        """Returns addresses of some live instances, mostly local ones."""
        living = {
            peer_id: self.peers[peer_id] for peer_id in self._live_peer_ids()
        }
        return self._peer_sampler.choose(
            living, self._data_centres, local=local, remote=remote
        )

    def tunnel_openers(self) -> dict[str, str | None]:
        """Returns live instances that open tunnels for their peers.

        Returns:
            Their data centres, where known, by inner address.
        """
        return {
            self.peers[peer_id]: self._data_centres.get(peer_id)
            for peer_id in self._live_peer_ids()
            if peer_id in self._tunnel_openers
        }

    def live_fleet_size(self) -> int:
        """Returns the number of live instances, this one included.

        In a small fleet each instance hears from all others within a second.
        In a large one they are counted together (`fleet_counter`).
        """
        heard = len(self._live_peer_ids()) + 1
        if not self.is_large():
            return heard
        return self._counter.size() or heard

    def _live_peer_ids(self) -> list[str]:
        return self.peers_seen_within(_PEER_TIMEOUT)

    def peers_seen_within(self, window: datetime.timedelta) -> list[str]:
        """Returns the ids of peers whose last digest is at most so old."""
        oldest = self._clock.monotonic() - window
        return [i for i, at in self._last_seen.items() if at >= oldest]

    def known_within(self, window: datetime.timedelta) -> dict[str, str | None]:
        """Returns the data centres, where known, of peers by id.

        Args:
            window: Peers that were registered before this instance, or that it
                has heard from, within so long.
        """
        known = set(self.peers_seen_within(window))
        if self._clock.monotonic() - self._registered_at < window:
            known |= self._registered
        return {peer_id: self._data_centres.get(peer_id) for peer_id in known}

    def is_large(self) -> bool:
        """Tells whether peers of other data centres are seldom heard from."""
        return reader_election.is_large(self._fleet_size)

    def _send_digest(
        self, *, local: int, remote: float, with_slots: bool = False
    ) -> None:
        now = self._clock.monotonic()
        priorities = self._election.live_priorities(fleet_size=self._fleet_size)
        digest = ttypes.TablesDigest(
            sender_address=self._inner_address,
            sender_id=self._instance_id,
            tables=list(self._tables),
            revisions=[t.revision for t in self._tables.values()],
            confirmed_age_ms=[
                t.confirmed_age_ms() for t in self._tables.values()
            ],
            data_centre=self._data_centre,
            opens_tunnels=self._opens_tunnels() or None,
            out_of_touch=not all(
                t.follower.is_store_reachable for t in self._tables.values()
            ),
            low_ranks=list(priorities),
            low_ages_ms=[
                round((now - at) / _MILLISECOND) for at in priorities.values()
            ],
        )
        if self.is_large():
            digest.count_epoch = self._counter.epoch
            digest.counted_instances = self._counter.own_count()
            digest.heard_slots = self._counter.slots() if with_slots else None
        receivers = self._peer_sampler.choose(
            self.peers, self._data_centres, local=local, remote=remote
        )
        self._messages.send(receivers, digest)

    def _receive(self, message: ttypes.TablesDigest) -> None:
        """Handles a peer's digest."""
        self._note_peer(message)
        for name, revision, age_ms in zip(
            message.tables,
            message.revisions,
            message.confirmed_age_ms,
            strict=False,
        ):
            table = self._tables.get(name)
            if table is None:
                continue
            table.note_peer(revision, age_ms)
            if revision > table.revision:
                self._lags[name].note_reported(
                    revision,
                    own=table.revision,
                    now=self._clock.monotonic(),
                )
                self._newest_report[name] = _RevisionReport(
                    revision=revision, at=self._clock.monotonic()
                )
                self._peers_ahead[name][message.sender_address] = revision
                self._reported[name].set()

    def _note_peer(self, digest: ttypes.TablesDigest) -> None:
        peer_id = digest.sender_id
        if peer_id == self._instance_id:
            return
        if peer_id not in self.peers and len(self.peers) >= _MAX_PEERS:
            return
        self.peers[peer_id] = digest.sender_address
        self._election.note_digest(
            None if digest.out_of_touch else digest.sender_id,
            digest.low_ranks or (),
            digest.low_ages_ms or (),
            fleet_size=self._fleet_size,
        )
        if digest.data_centre is not None:
            self._data_centres[peer_id] = digest.data_centre
        if digest.opens_tunnels:
            self._tunnel_openers.add(peer_id)
        else:
            self._tunnel_openers.discard(peer_id)
        self._last_seen[peer_id] = self._clock.monotonic()
        self._counter.note_digest(
            peer_id,
            epoch=digest.count_epoch,
            count=digest.counted_instances,
            slots=digest.heard_slots,
        )

    async def _send_digests(self) -> None:
        for number in itertools.count(self._random.randrange(_SLOTS_EVERY)):
            self._send_digest(
                local=LOCAL_FANOUT,
                remote=REMOTE_FANOUT,
                with_slots=number % _SLOTS_EVERY == 0,
            )
            await self._clock.sleep(
                GOSSIP_PERIOD * self._random.uniform(0.75, 1.25)
            )

    async def _push_changes(self) -> None:
        """Pushes a digest to many peers as soon as a revision changes."""
        while True:
            self._revision_changed.clear()
            self._send_digest(
                local=LOCAL_PUSH_FANOUT, remote=REMOTE_PUSH_FANOUT
            )
            await self._clock.sleep(_PUSH_INTERVAL)
            await self._revision_changed.wait()

    async def _keep_caught_up(self, name: str) -> None:
        """Fetches a table's changes from peers ahead, last reported first.

        Digests may arrive from a peer whose replies are lost. So a peer that
        fails is skipped until its next digest, and tables don't wait for each
        other.
        """
        ahead = self._peers_ahead[name]
        reported = self._reported[name]
        table = self._tables[name]
        fetcher = page_fetcher.PageFetcher(
            name=name,
            table=table,
            caller=self._caller,
            deletion_grace=self._deletion_grace,
            clock=self._clock,
        )
        while True:
            await reported.wait()
            reported.clear()
            busy: dict[str, int] = {}
            while ahead:
                address, revision = ahead.popitem()
                if not await self._catch_up(table, fetcher, address, revision):
                    busy[address] = revision
            if busy:
                await self._clock.sleep(
                    _BUSY_RETRY_DELAY * self._random.uniform(0.5, 1.5)
                )
                for address, revision in busy.items():
                    ahead.setdefault(address, revision)
                reported.set()

    async def _catch_up(
        self,
        table: shared_table.SharedTable,
        fetcher: page_fetcher.PageFetcher,
        address: str,
        revision: int,
    ) -> bool:
        """Fetches from a peer if it is still ahead; False to retry it."""
        if table.revision >= revision:
            return True
        if self.should_read(table) and not self._is_unconfirmed(table):
            await self._clock.sleep(_READER_DELAY)
            if table.revision >= revision:
                return True
        outcome = await fetcher.catch_up(address)
        return outcome is not page_fetcher.Outcome.TRY_AGAIN


async def follow_once(
    table: shared_table.SharedTable,
    gossip: TableGossip | None,
    clock: clock_module.Clock,
) -> None:
    """Reads a table once, or waits briefly if peers read it."""
    if gossip is not None and not gossip.should_read(table):
        await clock.sleep(_POLL_INTERVAL)
        return
    before = table.revision
    if gossip is None:
        await table.follower.step()
    else:
        await table.follower.step(
            gossip.feed_wait(table), retry_delay=gossip.retry_delay()
        )
    if table.revision != before:
        await clock.sleep(CHANGE_BATCH_DELAY)
