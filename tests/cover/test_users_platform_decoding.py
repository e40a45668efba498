"""Settings, configuration, list entries and orders of the platform."""

import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from nutmeghook.internal.routes import model
from nutmeghook.platform import configuration
from nutmeghook.platform import headers
from nutmeghook.platform import replicas
from nutmeghook.platform import rollout_rows
from nutmeghook.platform import settings
from tests import platform_rows

GOOD_SETTINGS = """
nodeName = "edge-1"
ip = "10.1.0.40"
zone = "hall"
region = "centre"
internalPorts = [7340, 7355]
unknownField = { anything = 1 }
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
graceS = 8
exposureShare = 0.15
[platform]
address = "10.200.1.7:8223"
"""
ROUTE = {
    "name": "r",
    "host": "A.example",
    "prefix": "/a/",
    "routeKind": "streaming",
    "timeoutMs": 8000,
    "sloMs": 1500,
    "attempts": 3,
    "priority": 1,
    "sizes": ["small", "large"],
    "resumable": True,
    "gapTargetMs": 800,
    "split": [
        {"service": "one", "weight": 90},
        {"service": "two", "weight": 10},
    ],
}


class SettingsTest(unittest.TestCase):
    def test_good_settings_are_read_and_unknown_fields_ignored(self):
        loaded = settings.load(GOOD_SETTINGS)
        self.assertEqual(loaded.instance_id, "edge-1")
        self.assertEqual(loaded.caller_address, "10.1.0.40:8227")
        self.assertEqual(loaded.inner_address, "10.1.0.40:7340")
        self.assertEqual(loaded.stop_time.total_seconds(), 8)
        self.assertEqual(loaded.largest_bad_share, 0.15)

    def test_the_memory_limit_is_read(self):
        self.assertEqual(settings.load(GOOD_SETTINGS).memory_mb, 300)
        text = GOOD_SETTINGS + "[limits]\nmemoryMb = 160\n"
        self.assertEqual(settings.load(text).memory_mb, 160)

    def test_every_fault_is_named_at_once(self):
        """Several faults in a file are reported together.

        Otherwise each would take another start of the process to find.
        """
        text = GOOD_SETTINGS.replace('ip = "10.1.0.40"', "ip = 7")
        text = text.replace("10.200.1.7:8223", "somewhere")
        text = text.replace("graceS = 8", 'graceS = "long"')
        with self.assertRaises(ExceptionGroup) as caught:
            settings.load(text)
        faults = " ".join(str(f) for f in caught.exception.exceptions)
        for part in ("ip is 7", "platform.address", "bounds.graceS"):
            self.assertIn(part, faults)

    def test_what_is_not_toml_is_one_fault(self):
        with self.assertRaises(ExceptionGroup):
            settings.load("nodeName = ")


class ConfigurationTest(unittest.TestCase):
    def decode(self, **changes) -> model.Configuration:
        """Decodes a configuration of one route."""
        return configuration.decode(
            msgspec.json.encode(
                {
                    "version": 7,
                    "routes": [ROUTE | changes],
                    "services": [{"name": "one", "maxConns": 10}],
                    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"]}],
                    "unknown": 1,
                }
            )
        )

    def test_a_route_is_read(self):
        read = self.decode()
        route = read.find("a.example", "/a/b")
        self.assertEqual(route.kind, model.RouteKind.STREAM)
        self.assertEqual(route.models, ("small", "large"))
        self.assertTrue(route.repeatable)
        self.assertEqual([s.service for s in route.shares], ["one", "two"])
        self.assertEqual(read.teams_by_key["k2"].name, "t")

    def test_a_revoked_last_key_opens_no_route(self):
        """An index of keys alone can't tell teams without keys from no teams,
        and an empty key would be that of each request without one.
        """
        for teams in ([], [{"name": "t"}], [{"name": "t", "apiKeys": [""]}]):
            read = configuration.decode(
                msgspec.json.encode(
                    {"version": 8, "routes": [ROUTE], "tenants": teams}
                )
            )
            route = read.find("a.example", "/a/b")
            for key in (None, "", "k1"):
                with self.subTest(teams=teams, key=key):
                    self.assertFalse(read.admits_key(route, key))

    def test_without_teams_no_key_is_needed(self):
        read = configuration.decode(
            msgspec.json.encode({"version": 8, "routes": [ROUTE]})
        )
        route = read.find("a.example", "/a/b")
        self.assertTrue(read.admits_key(route, None))

    def test_teams_that_cannot_be_read_are_a_value_error(self):
        with self.assertRaises(ValueError):
            configuration.decode(b'{"version": 8, "tenants": null}')

    def test_the_longest_prefix_is_taken(self):
        longer = ROUTE | {"name": "longer", "prefix": "/a/b/"}
        read = configuration.decode(
            msgspec.json.encode({"version": 1, "routes": [ROUTE, longer]})
        )
        self.assertEqual(read.find("a.example", "/a/b/c").name, "longer")
        self.assertEqual(read.find("a.example", "/a/bc").name, "r")
        self.assertIsNone(read.find("b.example", "/a/b/c"))

    def test_a_malformed_configuration_is_a_value_error(self):
        for value in (b"{", b'{"version": "x"}', b'{"routes": []}'):
            with self.subTest(value=value), self.assertRaises(ValueError):
                configuration.decode(value)

    def test_an_unknown_kind_is_a_value_error(self):
        with self.assertRaises(ValueError):
            self.decode(routeKind="new")

    @given(strategies.binary(max_size=60))
    def test_no_bytes_raise_anything_but_value_errors(self, value):
        for decode in (
            configuration.decode,
            lambda v: replicas.decode("id", v),
            lambda v: rollout_rows.decode_order(v, 1),
        ):
            with contextlib.suppress(ValueError):
                decode(value)


class ReplicaEntryTest(unittest.TestCase):
    """Only a complete row of a known state is accepted."""

    def test_a_whole_row_is_read(self):
        entry = replicas.decode(
            "id", platform_rows.replica_row(born=1_700_000_000_123)
        )
        self.assertEqual(entry.address, "10.0.0.1:80")
        self.assertEqual(entry.data_centre, "here")
        self.assertEqual(entry.started_ms, 1_700_000_000_123)
        self.assertFalse(entry.leaving)

    def test_the_start_time_is_optional(self):
        entry = replicas.decode("id", platform_rows.replica_row())
        self.assertEqual(entry.started_ms, 0)

    def test_a_draining_replica_takes_no_new_work(self):
        row = platform_rows.replica_row(state="draining")
        self.assertTrue(replicas.decode("id", row).leaving)

    def test_an_unknown_state_is_rejected(self):
        for state in ("something new", "", "READY"):
            self.assert_refused(state=state)

    def test_a_row_without_one_of_its_fields_is_rejected(self):
        """Another writer left out a field.

        With a default its row would pass for a ready replica, and requests
        would be sent to the address that it names.
        """
        for name in platform_rows.REPLICA_FIELDS:
            self.assert_refused(**{name: None})

    def test_a_field_of_another_type_is_rejected(self):
        for name in platform_rows.REPLICA_FIELDS:
            for value in ([], {}, True, [1]):
                self.assert_refused(**{name: value})
        for born in ("1700000000123", 1.5, -1, True, [], 10**13, 2**64):
            self.assert_refused(born=born)

    def test_absurd_numbers_are_rejected(self):
        for slots in (0, -1, 10**30, 1.5):
            self.assert_refused(slots=slots)
        for cold_left_ms in (-1, 1e300):
            self.assert_refused(coldLeftMs=cold_left_ms)

    def test_an_address_is_an_ip_and_a_port(self):
        for address in ("a:1", "10.0.0.1", "10.0.0.1:0", "10.0.0.256:80"):
            self.assert_refused(address=address)
        for address in ("10.0.0.1:65536", "10.0.0.1:80\r\n", "1.2.3:4"):
            self.assert_refused(address=address)

    def assert_refused(self, **changes) -> None:
        """Asserts that a row with these changes is rejected."""
        row = platform_rows.replica_row(**changes)
        with self.subTest(changes=changes), self.assertRaises(ValueError):
            replicas.decode("id", row)


class HeadersTest(unittest.TestCase):
    def setUp(self):
        self.format = headers.PlatformHeaders()

    def test_a_prompt_is_read(self):
        facts = self.format.read_caller(
            [
                ("x-token-counts", "1460,80"),
                ("X-Prompt-Prefix", "5c:800, 91:410,junk"),
            ]
        )
        self.assertEqual(facts.prompt.input_tokens, 1460)
        self.assertEqual(
            [(p.part_id, p.tokens) for p in facts.prompt.parts],
            [("5c", 800), ("91", 410)],
        )

    def test_absurd_token_counts_are_bounded(self):
        """With 10**12 tokens, the prefill that an instance waits for did not
        fit its message to peers, and the instance's gossip ended. With 10**400,
        no float holds the cost of the request.
        """
        for tokens in (10**12, 10**400):
            facts = self.format.read_caller(
                [
                    ("X-Token-Counts", f"{tokens},{tokens}"),
                    ("X-Prompt-Prefix", f"5c:{tokens}"),
                ]
            )
            prompt = facts.prompt
            self.assertEqual(prompt.input_tokens, 10_000_000)
            self.assertEqual(prompt.max_output_tokens, 10_000_000)
            self.assertEqual(prompt.parts[0].tokens, 10_000_000)

    def test_only_a_replica_s_own_refusal_counts_as_not_run(self):
        for status, sent, not_run in (
            (503, [("X-Not-Executed", "1")], True),
            (421, [], True),
            (503, [], False),
            (429, [], False),
        ):
            facts = self.format.read_answer(status, sent)
            self.assertEqual(facts.not_run, not_run, (status, sent))

    @given(strategies.text(max_size=20))
    def test_no_load_header_raises(self, text):
        self.format.read_answer(200, [("X-Replica-Load", text)])


if __name__ == "__main__":
    unittest.main()
