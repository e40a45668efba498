"""What the imports of a starting instance cost."""

import json
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Imports the program as an instance does, and reports what that took.
_PROBE = """
import gc
import json
import ssl
import sys
loads = []
load = ssl.SSLContext.set_default_verify_paths
def watched(context):
    load(context)
    loads.append(context.cert_store_stats()["x509"])
ssl.SSLContext.set_default_verify_paths = watched
gc.collect()
before = sum(generation["collections"] for generation in gc.get_stats()[1:])
sys.path.insert(0, "deploy")
import serve
after = sum(generation["collections"] for generation in gc.get_stats()[1:])
print(json.dumps({
    "collections": after - before,
    "loaded": sum(loads),
    "frozen": gc.get_freeze_count(),
    "is_enabled": gc.isenabled(),
}))
"""


class StartCostTest(unittest.TestCase):
    def test_a_start_does_no_work_for_nothing(self):
        """88 instances that started together were back after 9 s or more."""
        done = subprocess.run(
            [sys.executable, "-c", _PROBE],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        cost = json.loads(done.stdout)
        self.assertEqual(cost["collections"], 0)
        self.assertEqual(cost["loaded"], 0)
        self.assertGreater(cost["frozen"], 0)
        self.assertTrue(cost["is_enabled"])
