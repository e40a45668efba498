"""Transfer of rows to a peer: deltas, pages, pieces."""

import asyncio
import contextlib
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.table_replication import bandwidth_limiter
from nutmeghook.internal.table_replication import deltas
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import page_fetcher
from nutmeghook.internal.table_replication import page_server
from nutmeghook.internal.table_replication import pages
from nutmeghook.internal.table_replication import shared_table
from nutmeghook.internal.table_replication import source
from nutmeghook.internal.table_replication import table_copy
from tests import configuration_rows

_SECOND = datetime.timedelta(seconds=1)
KEYS = ("config", "order")
_VALUES = strategies.lists(
    strategies.sampled_from((b'{"a":1}', b'{"b":2},', b"tail", b"}", b"")),
    max_size=12,
).map(b"".join)
_BIG_VALUES = _VALUES.map(lambda value: value * 400)


class NullListener(follower.TableListener):
    """Ignores all rows."""

    def replace(self, rows, revision) -> None:
        pass

    def change(self, rows) -> None:
        pass


class NoDeletionGrace(shared_table.DeletionGrace):
    """Deletions are never delayed."""

    def remaining(self) -> datetime.timedelta:
        return datetime.timedelta()

    def hold_deletions(self, until: datetime.timedelta) -> None:
        pass


def empty_table(clock) -> shared_table.SharedTable:
    """Returns an empty table without a store."""
    copy = table_copy.TableCopy(listener=NullListener(), clock=clock)
    return shared_table.SharedTable(
        copy=copy,
        table_follower=follower.TableFollower(
            table=None,
            listener=copy,
            store_monitor=follower.StoreMonitor(clock=clock),
            clock=clock,
            random_source=random.Random(1),
        ),
        clock=clock,
    )


def row(version: int, value: bytes, key: str = "config") -> source.FollowedRow:
    """Returns a row."""
    return source.FollowedRow(key=key, value=value, version=version)


class DeltasTest(unittest.TestCase):
    @hypothesis.given(former=_VALUES, value=_VALUES)
    def test_applied_to_the_former_value_yields_the_new_one(
        self, former, value
    ):
        delta = deltas.compute(former, value)
        self.assertEqual(deltas.apply(former, delta), value)

    @hypothesis.given(former=_VALUES, delta=strategies.binary(max_size=40))
    def test_any_bytes_give_a_value_or_are_refused(self, former, delta):
        with contextlib.suppress(deltas.InvalidDeltaError):
            deltas.apply(former, delta)

    def test_one_more_route_costs_its_own_size(self):
        former = configuration_rows.configuration(routes=1400)
        value = configuration_rows.configuration(routes=1401)
        self.assertLess(len(deltas.compute(former, value)), 600)


class PagesTest(unittest.TestCase):
    @hypothesis.given(
        changes=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(KEYS),
                strategies.one_of(strategies.none(), _VALUES, _BIG_VALUES),
                strategies.booleans(),
            ),
            max_size=30,
        )
    )
    def test_a_peer_that_asks_now_and_then_has_the_same_rows(self, changes):
        server = table_copy.TableCopy(
            listener=NullListener(), clock=clock_module.FakeClock()
        )
        fetcher = table_copy.TableCopy(
            listener=NullListener(), clock=clock_module.FakeClock()
        )
        asked_at = 0
        for version, (key, value, asks) in enumerate(changes, start=1):
            server.change(
                (
                    source.FollowedRow(
                        key=key,
                        value=value or b"",
                        version=version,
                        deleted=value is None,
                    ),
                )
            )
            if asks:
                self.pull(server, fetcher, asked_at)
                asked_at = version
        self.pull(server, fetcher, asked_at)
        self.assertEqual(server.rows(), fetcher.rows())

    def pull(self, server, fetcher, after: int) -> None:
        """Brings the fetcher up to date."""
        content = pages.encode(
            server.changes_after(after), table=server, known_revision=after
        )
        fetcher.change(pages.decode(content, table=fetcher))

    def test_of_a_series_only_the_newest_state_is_sent(self):
        table = table_copy.TableCopy(
            listener=NullListener(), clock=clock_module.FakeClock()
        )
        for version in range(1, 20):
            table.change((row(version, b"small"),))
        self.assertEqual(table.changes_after(0), (row(19, b"small"),))

    def test_more_deletions_than_are_kept_need_the_whole_table(self):
        table = table_copy.TableCopy(
            listener=NullListener(), clock=clock_module.FakeClock()
        )
        for version in range(1, table_copy.MAX_DELETIONS + 2):
            table.change(
                (
                    source.FollowedRow(
                        key=str(version),
                        value=b"",
                        version=version,
                        deleted=True,
                    ),
                )
            )
        self.assertIsNone(table.changes_after(0))
        self.assertIsNotNone(table.changes_after(1))

    @hypothesis.given(content=strategies.binary(max_size=60))
    def test_any_bytes_are_rows_or_are_refused(self, content):
        table = table_copy.TableCopy(
            listener=NullListener(), clock=clock_module.FakeClock()
        )
        with contextlib.suppress(pages.InvalidPageError):
            pages.decode(content, table=table)


class FakePeerCaller(peers.PeerCaller):
    """Calls to page servers by address.

    Attributes:
        calls_before_failure: Calls that an address answers before all further
            ones fail.
    """

    def __init__(self):
        self.servers: dict[str, page_server.PageServer] = {}
        self.calls_before_failure: dict[str, int] = {}
        self.received_bytes = 0

    async def call(self, inner_address, request, *, timeout):
        left = self.calls_before_failure.get(inner_address, 1000)
        if left <= 0:
            raise peers.PeerUnreachableError("no reply")
        self.calls_before_failure[inner_address] = left - 1
        try:
            piece = await self.servers[inner_address].serve(request)
        except errors.CodedError as error:
            raise peers.PeerRefusedError(
                code_number=error.code.number, detail=error.detail
            ) from error
        self.received_bytes += len(piece.data)
        return piece


class TransfersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.peer_caller = FakePeerCaller()
        self.table = empty_table(self.clock)
        self.fetcher = page_fetcher.PageFetcher(
            name="op",
            table=self.table,
            caller=self.peer_caller,
            deletion_grace=NoDeletionGrace(),
            clock=self.clock,
        )

    def server(self, address: str, *, link_mbit_per_s: float = 1000.0):
        """Adds a peer and returns its table."""
        table = empty_table(self.clock)
        self.peer_caller.servers[address] = page_server.PageServer(
            tables={"op": table},
            deletion_grace=NoDeletionGrace(),
            limiter=bandwidth_limiter.BandwidthLimiter(
                link_mbit_per_s=link_mbit_per_s, clock=self.clock
            ),
        )
        return table

    async def test_a_broken_transfer_is_resumed_from_another_peer(self):
        """A peer is killed after the first of four pieces. The rest comes from
        another one; nothing is sent twice.
        """
        # Random bytes can't be compressed, so that there are four pieces.
        value = random.Random(1).randbytes(3 * page_server.PIECE_BYTES + 100)
        for address in "ab":
            self.server(address).apply_update((row(5, value),), 5, whole=True)
        self.peer_caller.calls_before_failure["a"] = 1
        self.assertIs(
            await self.fetcher.catch_up("a"), page_fetcher.Outcome.FAILED
        )
        self.assertIs(
            await self.fetcher.catch_up("b"), page_fetcher.Outcome.CAUGHT_UP
        )
        self.assertEqual(self.table.copy.rows(), (row(5, value),))
        self.assertLess(self.peer_caller.received_bytes, len(value) + 300)

    async def test_a_peer_with_other_bytes_restarts_the_transfer(self):
        """The second peer has a later configuration than the one that broke
        off. Pieces of both joined would be a configuration that never was.
        """
        random_source = random.Random(2)
        first, second = (
            random_source.randbytes(2 * page_server.PIECE_BYTES) for _ in "ab"
        )
        self.server("a").apply_update((row(5, first),), 5, whole=True)
        self.server("b").apply_update((row(6, second),), 6, whole=True)
        self.peer_caller.calls_before_failure["a"] = 1
        await self.fetcher.catch_up("a")
        self.assertIs(
            await self.fetcher.catch_up("b"), page_fetcher.Outcome.CAUGHT_UP
        )
        self.assertEqual(self.table.copy.rows(), (row(6, second),))

    async def test_a_row_whose_delta_does_not_apply_is_fetched_whole(self):
        """The peer went from version 1 to 3, this instance to version 2 by a
        page that the peer never got. The peer's delta applies to no row here.
        """
        values = {
            v: configuration_rows.configuration(routes=20 + v) for v in range(4)
        }
        peer = self.server("a")
        peer.apply_update((row(1, values[1]),), 1, whole=True)
        peer.apply_update((row(3, values[3]),), 3, whole=False)
        self.table.apply_update((row(2, values[2]),), 2, whole=True)
        self.assertIs(
            await self.fetcher.catch_up("a"), page_fetcher.Outcome.TRY_AGAIN
        )
        self.assertIs(
            await self.fetcher.catch_up("a"), page_fetcher.Outcome.CAUGHT_UP
        )
        self.assertEqual(self.table.copy.rows(), (row(3, values[3]),))

    async def test_rows_that_both_have_are_not_sent(self):
        """Instances that started together sent each other whole tables."""
        rows = (row(5, random.Random(4).randbytes(5000)),)
        self.server("a").apply_update(rows, 90, whole=True)
        self.table.apply_update(rows, 80, whole=True)
        self.assertIs(
            await self.fetcher.catch_up("a"), page_fetcher.Outcome.CAUGHT_UP
        )
        self.assertEqual(self.table.revision, 90)
        self.assertEqual(self.table.copy.rows(), rows)
        self.assertLess(self.peer_caller.received_bytes, 100)

    async def test_a_row_that_came_and_went_meanwhile_stays_with_nobody(self):
        """This instance has no tombstone of it, and another one has the row."""
        rows = (row(5, b"kept"),)
        self.server("a").apply_update(rows, 90, whole=True)
        self.table.apply_update(rows, 80, whole=True)
        await self.fetcher.catch_up("a")
        self.assertIsNone(self.table.copy.changes_after(85))

    async def test_an_empty_table_arrives_where_none_was_read(self):
        """Its rows are those of a copy that knows nothing yet."""
        replaced = []
        listener = NullListener()
        listener.replace = lambda rows, revision: replaced.append(revision)
        self.table.copy._listener = listener
        self.server("a").apply_update((), 90, whole=True)
        await self.fetcher.catch_up("a")
        self.assertEqual(replaced, [90])

    async def test_transfers_leave_bandwidth_to_callers(self):
        """Many peers ask an instance with a link of 5 Mbit/s at once. It sends
        at most what the link carries in a tenth of a second and refuses the
        others as busy, so that they ask elsewhere.
        """
        value = random.Random(3).randbytes(page_server.PIECE_BYTES)
        self.server("a", link_mbit_per_s=5.0).apply_update(
            (row(5, value),), 5, whole=True
        )
        pull = ttypes.TablePull(table_name="op", after_revision=-1)
        outcomes = await asyncio.gather(
            *(self.peer_caller.servers["a"].serve(pull) for _ in range(50)),
            return_exceptions=True,
        )
        pieces = [o for o in outcomes if isinstance(o, ttypes.TablePiece)]
        self.assertLessEqual(len(pieces) * page_server.PIECE_BYTES, 62_500)
        await self.clock.advance(_SECOND / 10)
        await self.peer_caller.servers["a"].serve(pull)


if __name__ == "__main__":
    unittest.main()
