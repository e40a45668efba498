"""The replica directory: invalid rows, restarts under an id, indexes."""

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
    """Feeds rows into a directory as the replicated table does."""

    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.closed = []
        self.directory = directory_module.ReplicaDirectory(
            clock=self.clock, on_gone=self.closed.append
        )
        self.rows = tables.ReplicaRows(
            directory=self.directory,
            unreadable=platform_rows.unreadable_values(),
        )

    def put(self, replica_id: str = "r1", **changes) -> None:
        """Feeds a row; field names are those of the stored row."""
        self.put_bytes(replica_id, platform_rows.replica_row(**changes))

    def put_bytes(self, replica_id: str, value: bytes) -> None:
        """Feeds a row of any bytes."""
        self.rows.change((_row(replica_id, value),))

    def known(self, service: str = SERVICE) -> dict:
        """Returns a service's replicas by id."""
        return {
            replica.entry.replica_id: replica
            for replica in self.directory.of_service(service)
        }

    def affinity_order(self, service: str, data_centre: str) -> list[str]:
        """Returns the ids in a data centre's affinity order."""
        return [
            replica.entry.replica_id
            for replica in self.directory.affinity_order(
                service, data_centre, "key"
            )
        ]


class OtherWritersTest(DirectoryCase):
    @given(strategies.dictionaries(strategies.text(max_size=8), JSON_VALUES))
    def test_no_row_affects_another(self, fields):
        """Another writer adds rows of any content beside a valid one. The valid
        replica stays, after a full read of the list and after a change.
        """
        strange = msgspec.json.encode(fields)
        self._good_one_survives(strange)

    @given(
        strategies.sampled_from(sorted(platform_rows.REPLICA_FIELDS)),
        JSON_VALUES,
    )
    def test_one_invalid_field_affects_no_other_row(self, name, value):
        strange = platform_rows.REPLICA_FIELDS | {name: value}
        self._good_one_survives(msgspec.json.encode(strange))

    @given(strategies.binary(max_size=80))
    def test_undecodable_bytes_affect_no_other_row(self, value):
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

    def test_an_overwritten_row_removes_its_replica(self):
        """Another writer overwrites a replica's row with something invalid.
        The replica is not used until it has written its own row again.
        """
        for strange in (b"", b"{}", b"\xff\xfe", b"null", b"[" * 2000):
            self.put()
            self.put_bytes("r1", strange)
            self.assertEqual(self.known(), {}, strange)
            self.put()
            self.assertEqual(list(self.known()), ["r1"])

    def test_an_overwritten_row_in_a_full_list_removes_its_replica(self):
        """After an outage of the store the whole list is read. Replicas whose
        rows are missing stay for a while, but not one whose row is invalid.
        """
        self.put()
        self.directory.hold_deletions(datetime.timedelta(seconds=2))
        self.rows.replace((_row("r1", b"{}"),), 2)
        self.assertEqual(self.known(), {})


class RestartTest(DirectoryCase):
    """A replica crashes and restarts under the same id."""

    def test_a_restart_discards_the_state_of_the_former_start(self):
        """The former start was overloaded and ejected, and then crashed. The
        new one is idle and must get work at once, on new connections.
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

    def test_a_late_answer_of_the_former_start_is_ignored(self):
        self.put(born=BORN_MS)
        former = self.known()["r1"]
        self.put(born=BORN_MS + 1)
        self.directory.note_load(former, running=60, waiting=30)
        self.assertIsNone(self.known()["r1"].report)
        self.assertEqual(self._reported(), [])

    def test_a_peer_s_report_of_the_former_start_is_ignored(
        self,
    ):
        """A peer that does not know of the restart sends its last report."""
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

    def test_a_late_row_of_the_former_start_changes_nothing(self):
        """The former start's last row, which says that it is leaving, arrives
        late. The new start keeps getting work, also after a full read.
        """
        self.put(born=BORN_MS + 1)
        now = self.known()["r1"]
        late = platform_rows.replica_row(born=BORN_MS, state="draining")
        self.put_bytes("r1", late)
        self.assertIs(self.known()["r1"], now)
        self.rows.replace((_row("r1", late),), 5)
        self.assertIs(self.known()["r1"], now)
        self.assertFalse(now.entry.leaving)

    def test_a_late_row_does_not_restore_a_removed_replica(self):
        self.put(born=BORN_MS + 1)
        self.directory.remove("r1")
        self.put(born=BORN_MS)
        self.assertEqual(self.known(), {})
        self.put(born=BORN_MS + 1)
        self.assertEqual(list(self.known()), ["r1"])

    def test_a_row_without_a_known_start_time_removes_its_replica(self):
        self.put(born=BORN_MS)
        self.put()
        self.assertEqual(self.known(), {})

    def test_a_row_of_the_same_start_keeps_the_state(self):
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
    """Several entries share an address; at most one process runs there."""

    def rows_at(self, address: str, *ids: str) -> list[source.FollowedRow]:
        """Returns rows with one address, with increasing versions."""
        value = platform_rows.replica_row(address=address)
        return [_row(i, value, version) for version, i in enumerate(ids, 5)]

    def test_the_newest_entry_at_an_address_replaces_the_others(self):
        """A data centre loses power and its replicas return under new ids. The
        old entries stay for seconds; requests sent by them would be refused
        and use up the retry budget.
        """
        old, new = self.rows_at("10.0.0.9:80", "old", "new")
        self.rows.change((old,))
        self.rows.change((new,))
        self.assertEqual(set(self.known()), {"new"})
        self.assertEqual(self.closed, ["10.0.0.9:80"])

    def test_a_full_read_restores_no_replaced_replica(self):
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

    def test_removing_the_replaced_entry_keeps_the_successor(self):
        old, new = self.rows_at("10.0.0.9:80", "old", "new")
        self.rows.change((old, new))
        self.rows.change(
            (source.FollowedRow(key="old", value=b"", version=9, deleted=True),)
        )
        self.assertEqual(set(self.known()), {"new"})


class IndexTest(DirectoryCase):
    def test_a_changed_entry_leaves_all_former_indexes(self):
        """A row of a known id has another service, data centre, address or
        version. No index keeps it under the former value: requests of the
        former service must not be sent there.
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
