"""All settings are validated together, and secrets are never shown."""

import pathlib
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.observe import logs
from nutmeghook.internal.settings import loading
from nutmeghook.internal.settings import page
from nutmeghook.internal.settings import specs

ROOT = pathlib.Path(__file__).resolve().parents[2]
GOOD = {
    "region": "hu-central",
    "data_centre": "hu-central-1",
    "table_url": "http://127.0.0.1:1",
    "objects_url": "http://127.0.0.1:2",
    "instances_url": "http://127.0.0.1:3",
    "ratings_url": "http://127.0.0.1:4",
    "weights_url": "http://127.0.0.1:5",
    "inner_credential": "s3cr3t-value",
}
BAD = {
    "listen_address": "localhost:80",
    "inner_address": "127.0.0.1",
    "table_url": "ftp://x",
    "drain_lag_ms": "-1",
    "ledger_partitions": "many",
}


class SettingsTest(unittest.TestCase):
    """Loading, validation and printing."""

    def test_flag_beats_variable_beats_default(self):
        settings = loading.load(
            flags={**GOOD, "drain_lag_ms": "1"},
            environment={
                "NUTMEGHOOK_DRAIN_LAG_MS": "2",
                "NUTMEGHOOK_QUEUED_REQUESTS": "3",
            },
        )
        self.assertEqual(settings.count("drain_lag_ms"), 1)
        self.assertEqual(settings.count("queued_requests"), 3)
        self.assertEqual(settings.count("concurrent_requests"), 512)

    @hypothesis.given(strategies.sets(strategies.sampled_from(sorted(BAD))))
    def test_every_fault_is_reported_at_once(self, wrong):
        flags = GOOD | {name: BAD[name] for name in wrong}
        if not wrong:
            loading.load(flags=flags, environment={})
            return
        with self.assertRaises(ExceptionGroup) as caught:
            loading.load(flags=flags, environment={})
        texts = [str(fault) for fault in caught.exception.exceptions]
        self.assertEqual(len(texts), len(wrong))
        for name in wrong:
            fault = next(t for t in texts if t.startswith(name))
            self.assertIn(repr(BAD[name]), fault)
            self.assertIn(f"NUTMEGHOOK_{name.upper()}", fault)

    def test_missing_and_unknown_settings_are_faults(self):
        with self.assertRaises(ExceptionGroup) as caught:
            loading.load(flags={"regoin": "x"}, environment={})
        missing = sum(s.default is None for s in specs.SERVE_SPECS)
        self.assertEqual(len(caught.exception.exceptions), missing + 1)

    def test_secrets_are_masked_in_print_and_in_faults(self):
        settings = loading.load(flags=GOOD, environment={})
        self.assertNotIn("s3cr3t", "\n".join(settings.printable_lines()))
        with self.assertRaises(ExceptionGroup) as caught:
            loading.load(
                flags=GOOD | {"inner_credential": "s3cr3t\n"}, environment={}
            )
        self.assertNotIn("s3cr3t", str(caught.exception.exceptions))

    def test_every_setting_is_read_by_something(self):
        """A listed setting that no code reads passes validation and has no
        effect.
        """
        package = ROOT / "src" / "nutmeghook"
        code = "".join(
            path.read_text()
            for path in package.rglob("*.py")
            if "settings" not in path.parts
        )
        for spec in specs.SERVE_SPECS:
            self.assertIn(f'"{spec.name}"', code)

    def test_the_page_matches_the_code(self):
        written = (ROOT / "docs" / "SETTINGS.md").read_text()
        self.assertEqual(written, page.page())

    def test_logs_hide_tokens(self):
        cleaned = logs._redact_fields(
            {"token": "abc", "detail": "Authorization: Bearer abc, more"}
        )
        self.assertNotIn("abc", str(cleaned))
