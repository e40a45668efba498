"""The replicas known: other writers' rows, starts under an old id, indexes."""

import datetime
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.table_replication import source
from nutmeghook.platform import tables
from tests import platform_rows

SERVICE = "service"
HERE = "here"
BORN_MS = 1_700_000_000_000
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=10),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=4,
)


class DirectoryCase(unittest.TestCase):
    """Feeds rows into a directory as the store's list brings them."""

    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.closed = []
        self.directory = directory_module.ReplicaDirectory(
            clock=self.clock, on_gone=self.closed.append
        )
        self.rows = tables.ReplicaRows(directory=self.directory)

    def put(self, replica_id: str = "r1", **changes) -> None:
        """Takes in a row; names are those of the wire."""
        self.put_bytes(replica_id, platform_rows.replica_row(**changes))

    def put_bytes(self, replica_id: str, value: bytes) -> None:
        """Takes in a row of any bytes."""
        self.rows.change((_row(replica_id, value),))

    def known(self, service: str = SERVICE) -> dict:
        """Returns a service's replicas by id."""
        return {
            replica.entry.replica_id: replica
            for replica in self.directory.of_service(service)
        }

    def affinity_order(self, service: str, data_centre: str) -> list[str]:
        """Returns the ids on a data centre's ring."""
        return [
            replica.entry.replica_id
            for replica in self.directory.affinity_order(
                service, data_centre, "key"
            )
        ]


class OtherWritersTest(DirectoryCase):
    @given(strategies.dictionaries(strategies.text(max_size=8), JSON_VALUES))
    def test_no_row_costs_another(self, fields):
        """Someone else writes rows of any content beside a good one.
        Whether the list is read whole or a change comes, the good one stays.
        """
        strange = msgspec.json.encode(fields)
        self._good_one_survives(strange)

    @given(
        strategies.sampled_from(sorted(platform_rows.REPLICA_FIELDS)),
        JSON_VALUES,
    )
    def test_one_strange_field_costs_no_other_row(self, name, value):
        strange = platform_rows.REPLICA_FIELDS | {name: value}
        self._good_one_survives(msgspec.json.encode(strange))

    @given(strategies.binary(max_size=80))
    def test_bytes_that_cannot_be_read_cost_no_other_row(self, value):
        self._good_one_survives(value)

    def _good_one_survives(self, strange: bytes) -> None:
        self.setUp()
        good = _row("good", platform_rows.replica_row())
        self.rows.replace((_row("strange", strange), good), 1)
        self.assertIn("good", self.known())
        self.rows.change((_row("strange", strange),))
        self.assertIn("good", self.known())
        for replica in self.known().values():
            self.assertGreaterEqual(replica.entry.slots, 1)

    def test_a_row_that_was_overwritten_names_no_replica(self):
        """Another writer overwrites a replica's row with something else.
        The replica is not used until it has written its own row again.
        """
        for strange in (b"", b"{}", b"\xff\xfe", b"null", b"[" * 2000):
            self.put()
            self.put_bytes("r1", strange)
            self.assertEqual(self.known(), {}, strange)
            self.put()
            self.assertEqual(list(self.known()), ["r1"])

    def test_a_row_that_was_overwritten_is_dropped_from_a_whole_list(self):
        """The store was away, and on its return the whole list is read.
        Missing rows are waited for; one that is there and names no replica
        is not.
        """
        self.put()
        self.directory.hold_deletions(datetime.timedelta(seconds=2))
        self.rows.replace((_row("r1", b"{}"),), 2)
        self.assertEqual(self.known(), {})


class RestartTest(DirectoryCase):
    """A replica crashes and starts again under the id that it had."""

    def test_what_was_known_of_the_former_start_is_gone(self):
        """The former start was full and failing, and then crashed.
        The new one is empty and sound: it gets work at once, on connections
        of its own.
        """
        self.put(born=BORN_MS)
        former = self.known()["r1"]
        self.directory.note_load(former, running=60, waiting=30)
        former.health.note_unreachable(self.clock.monotonic())
        self.put(born=BORN_MS + 1)
        now = self.known()["r1"]
        self.assertIsNone(now.report)
        self.assertEqual(now.in_flight, 0)
        self.assertFalse(now.health.is_ejected(self.clock.monotonic()))
        self.assertEqual(self.closed, ["10.0.0.1:80"])
        self.assertEqual(self.affinity_order(SERVICE, HERE), ["r1"])

    def test_the_former_start_s_late_answer_says_nothing_of_the_new_one(self):
        self.put(born=BORN_MS)
        former = self.known()["r1"]
        self.put(born=BORN_MS + 1)
        self.directory.note_load(former, running=60, waiting=30)
        self.assertIsNone(self.known()["r1"].report)
        self.assertEqual(self._reported(), [])

    def test_a_peer_s_word_of_the_former_start_says_nothing_of_the_new_one(
        self,
    ):
        """A peer has not heard of the restart and tells what it knows."""
        self.put(born=BORN_MS)
        former = self.known()["r1"]
        self.put(born=BORN_MS + 1)
        self.directory.note_peer_report(
            former.short_id,
            replica_module.LoadReport(
                running=60, waiting=30, at=self.clock.monotonic()
            ),
        )
        self.assertIsNone(self.known()["r1"].report)

    def test_the_former_start_s_late_row_changes_nothing(self):
        """The former start's last row, that it is leaving, comes late.
        The new start goes on to get work, now and after a whole list.
        """
        self.put(born=BORN_MS + 1)
        now = self.known()["r1"]
        late = platform_rows.replica_row(born=BORN_MS, state="draining")
        self.put_bytes("r1", late)
        self.assertIs(self.known()["r1"], now)
        self.rows.replace((_row("r1", late),), 5)
        self.assertIs(self.known()["r1"], now)
        self.assertFalse(now.entry.leaving)

    def test_a_late_row_does_not_bring_back_a_replica_that_is_gone(self):
        self.put(born=BORN_MS + 1)
        self.directory.remove("r1")
        self.put(born=BORN_MS)
        self.assertEqual(self.known(), {})
        self.put(born=BORN_MS + 1)
        self.assertEqual(list(self.known()), ["r1"])

    def test_a_row_that_lost_its_start_comes_from_another_writer(self):
        self.put(born=BORN_MS)
        self.put()
        self.assertEqual(self.known(), {})

    def test_a_row_of_the_same_start_keeps_what_is_known(self):
        self.put(born=BORN_MS)
        known = self.known()["r1"]
        self.directory.note_load(known, running=3, waiting=0)
        self.put(born=BORN_MS, state="draining", coldLeftMs=10, sequence=9)
        self.assertIs(self.known()["r1"], known)
        self.assertTrue(known.entry.leaving)
        self.assertEqual(known.report.running, 3)

    def _reported(self):
        return self.directory.recently_reported(
            10, age=datetime.timedelta(seconds=5)
        )


class SuccessorTest(DirectoryCase):
    """Several entries name one address; one process at most is there."""

    def rows_at(self, address: str, *ids: str) -> list[source.FollowedRow]:
        """Returns rows of one address, the later ones newer."""
        value = platform_rows.replica_row(address=address)
        return [_row(i, value, version) for version, i in enumerate(ids, 5)]

    def test_the_newest_at_an_address_takes_the_place_of_the_others(self):
        """A data centre loses power and its replicas return under new ids. The
        old entries stay for seconds; what was sent by them was refused, and
        the retry budget was spent on it.
        """
        old, new = self.rows_at("10.0.0.9:80", "old", "new")
        self.rows.change((old,))
        self.rows.change((new,))
        self.assertEqual(set(self.known()), {"new"})
        self.assertEqual(self.closed, ["10.0.0.9:80"])

    def test_a_whole_read_brings_no_former_one_back(self):
        old, new = self.rows_at("10.0.0.9:80", "old", "new")
        for listed in ((old, new), (new, old)):
            self.rows.replace(listed, 9)
            self.assertEqual(set(self.known()), {"new"})

    def test_another_service_s_replica_takes_an_address(self):
        (old,) = self.rows_at("10.0.0.9:80", "old")
        self.rows.change((old,))
        value = platform_rows.replica_row(
            address="10.0.0.9:80", service="other"
        )
        self.rows.change((_row("new", value, 8),))
        self.assertEqual(self.known(), {})
        self.assertEqual(set(self.known("other")), {"new"})

    def test_the_former_one_s_removal_leaves_the_successor(self):
        old, new = self.rows_at("10.0.0.9:80", "old", "new")
        self.rows.change((old, new))
        self.rows.change(
            (source.FollowedRow(key="old", value=b"", version=9, deleted=True),)
        )
        self.assertEqual(set(self.known()), {"new"})


class IndexTest(DirectoryCase):
    def test_a_replica_that_changes_leaves_nothing_behind(self):
        """A row of a known id names another service, data centre, address or
        version. Whatever listed it under the former one no longer does: a
        request of the former service must not be sent there.
        """
        changes = {
            "service": "other",
            "zone": "there",
            "address": "10.0.0.2:80",
            "version": "v2",
        }
        for name, value in changes.items():
            with self.subTest(name=name):
                self.setUp()
                self.put()
                self.put(**{name: value})
                fields = platform_rows.REPLICA_FIELDS | {name: value}
                self._is_only_in(fields["service"], fields["zone"])

    def _is_only_in(self, service: str, data_centre: str) -> None:
        for known_service in (SERVICE, "other"):
            expected = ["r1"] if known_service == service else []
            self.assertEqual(list(self.known(known_service)), expected)
            for centre in (HERE, "there"):
                is_there = bool(expected) and centre == data_centre
                self.assertEqual(
                    self.affinity_order(known_service, centre),
                    ["r1"] if is_there else [],
                )
        self.assertEqual(len(self.directory), 1)
        self.directory.remove("r1")
        self.assertEqual(self.affinity_order(service, data_centre), [])
        self.assertEqual(len(self.directory), 0)


def _row(replica_id: str, value: bytes, version: int = 1) -> source.FollowedRow:
    return source.FollowedRow(key=replica_id, value=value, version=version)
