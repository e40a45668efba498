"""What the imports of a starting instance cost."""

import json
import os
import pathlib
import py_compile
import subprocess
import sys
import tempfile
import tomllib
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
slow_classes = sorted(
    f"{module}.{name}"
    for module, loaded in sys.modules.items()
    for name, value in vars(loaded).items()
    if isinstance(value, type)
    and value.__module__ == module
    and module.startswith("nutmeghook.")
    and "__dataclass_fields__" in vars(value)
    and value.__dataclass_params__.frozen
)
print(json.dumps({
    "unused": sorted(set(sys.modules) & {"aiohttp.web_app", "aiohttp.web"}),
    "slow_classes": slow_classes,
    "collections": after - before,
    "loaded": sum(loads),
    "frozen": gc.get_freeze_count(),
    "is_enabled": gc.isenabled(),
}))
"""

# Each frozen dataclass compiles six functions as it is created; structs of
# msgspec compile none. Settings are printed by field.
_READ_BY_FIELD = [
    "nutmeghook.platform.settings.InstanceSettings",
    "nutmeghook.platform.settings.RetryBounds",
]
# In a compiled file's head: its source is not looked at.
_UNCHECKED_HASH = 0b01


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
        self.assertEqual(cost["slow_classes"], _READ_BY_FIELD)
        self.assertEqual(cost["unused"], [])

    def test_a_build_compiles_packages_that_were_carried_over(self):
        """Each start compiled all packages, as a copy had changed times."""
        text = (ROOT / "deploy" / "system.toml").read_text()
        build = tomllib.loads(text)["build"]
        with tempfile.TemporaryDirectory() as folder:
            checkout = pathlib.Path(folder)
            for name in ("deploy", "src", "target/deps"):
                (checkout / name).mkdir(parents=True)
            requirements = checkout / "deploy" / "requirements.txt"
            requirements.touch()
            os.utime(requirements, (1, 1))
            module = checkout / "target" / "deps" / "package.py"
            module.write_text("")
            compiled = pathlib.Path(py_compile.compile(str(module)))
            os.utime(module, (2, 2))
            interpreters = pathlib.Path(sys.executable).parent
            subprocess.run(
                build,
                shell=True,
                cwd=checkout,
                env=os.environ | {"PATH": f"{interpreters}:{os.defpath}"},
                check=True,
            )
            flags = int.from_bytes(compiled.read_bytes()[4:8], "little")
        self.assertEqual(flags, _UNCHECKED_HASH)
