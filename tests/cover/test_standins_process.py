"""The stand-ins as a separate process."""

import signal
import subprocess
import sys
import unittest

import msgspec

from nutmeghook.standins import fleet

TIMEOUT_S = 60


class ProcessTest(unittest.TestCase):
    """Start, printed addresses, errors in the spec, and stop."""

    def run_with(self, spec: bytes) -> subprocess.Popen:
        """Starts the process with a spec on its standard input."""
        process = subprocess.Popen(
            [sys.executable, "-m", "nutmeghook.standins", "--spec=-"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        process.stdin.write(spec)
        process.stdin.close()
        process.stdin = None
        return process

    def test_it_serves_what_the_spec_names_until_sigterm(self):
        spec = fleet.FleetSpec(
            table=fleet.StoreSpec(),
            engines=(fleet.EngineSpec(name="e", loaded=("small@1",)),),
        )
        process = self.run_with(msgspec.json.encode(spec))
        line = process.stdout.readline()
        addresses = msgspec.json.decode(line, type=fleet.FleetAddresses)
        self.assertEqual([s.name for s in addresses.stand_ins], ["table", "e"])
        self.assertEqual(addresses.named("e").role, "engine")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(TIMEOUT_S), 0)

    def test_a_misspelt_field_is_named(self):
        process = self.run_with(b'{"tabel": {}}')
        _, errors = process.communicate(timeout=TIMEOUT_S)
        self.assertNotEqual(process.returncode, 0)
        self.assertIn(b"tabel", errors)
