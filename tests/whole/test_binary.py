"""The one-file build starts, serves in one process and uses no disk."""

import asyncio
import dataclasses
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

import psutil

from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import history
from nutmeghook.experiment import load
from nutmeghook.experiment import system as system_module
from nutmeghook.internal.foundation import clock as clock_module
from tools import binary

# Set by `make binary` to the file it has built. Otherwise the test builds its
# own, so that it does not run an outdated file in `dist`.
GIVEN_BINARY = os.environ.get("TESTED_BINARY")
WORKS = 20
# Files of the operating system: its C library and locales.
_SYSTEM_FILES = re.compile(
    r"/(ld-linux|libc\.|libm\.|libdl\.|librt\.|libpthread\.|libutil\.|"
    r"libresolv\.)|^/usr/(lib|share)/(locale|.*gconv)"
)


def setUpModule():
    global folder, program
    kept = tempfile.TemporaryDirectory()
    unittest.addModuleCleanup(kept.cleanup)
    folder = pathlib.Path(kept.name)
    program = pathlib.Path(GIVEN_BINARY or folder / "nutmeghook").resolve()
    if not GIVEN_BINARY:
        binary.build(program)


def run(*arguments):
    """Runs the file to its end, without settings and without a PATH."""
    return subprocess.run(
        [program, *arguments],
        capture_output=True,
        text=True,
        env={},
        cwd=folder,
        check=False,
    )


class CommandTest(unittest.TestCase):
    """Commands that end by themselves."""

    def test_help_equals_that_of_the_source_tree(self):
        for arguments in (["--help"], ["serve", "--help"]):
            source = subprocess.run(
                [sys.executable, "-m", "nutmeghook", *arguments],
                capture_output=True,
                text=True,
                check=True,
            )
            done = run(*arguments)
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("nutmeghook", done.stderr + done.stdout)
            self.assertEqual(
                (done.stdout, done.stderr), (source.stdout, source.stderr)
            )

    def test_wrong_settings_are_all_named(self):
        """An operator starts the file with one wrong and several missing
        settings. All faults are reported at once, with exit status 2.
        """
        done = run("check-settings", "--drain-lag-ms=soon")
        self.assertEqual(done.returncode, 2, done.stderr)
        for setting in ("drain_lag_ms", "table_url", "inner_credential"):
            self.assertIn(f"wrong setting: {setting}", done.stderr)

    def test_modules_in_the_working_directory_are_not_imported(self):
        """There is a `json.py` in the working directory. An interpreter with
        `-c` would import it, so whoever may write to that directory could run
        code as the instance.
        """
        (folder / "json.py").write_text("raise SystemExit('taken')")
        self.assertEqual(run("version").stdout.strip(), "0.1.0")

    def test_demo_refers_to_make_demo(self):
        done = run("demo")
        self.assertEqual(done.returncode, 2)
        self.assertIn("make demo", done.stderr)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Observed:
    """A packed instance's results and its process while it served."""

    works: list[history.Work]
    children: list[psutil.Process]
    name: str
    mapped: list[str]
    opened: set[str]
    status: int


class ServeTest(unittest.TestCase):
    """The packed instance with stand-ins from the source tree."""

    @classmethod
    def setUpClass(cls):
        cls.observed = asyncio.run(_observe_instance())

    def test_answers_and_drains(self):
        for work in self.observed.works:
            self.assertIs(work.last.outcome, history.TryOutcome.ANSWERED, work)
        self.assertEqual(len(self.observed.works), WORKS)
        self.assertEqual(self.observed.status, 0)

    def test_is_one_process(self):
        self.assertEqual(self.observed.children, [])
        self.assertEqual(self.observed.name, "nutmeghook")

    def test_extension_modules_are_loaded_from_memory(self):
        mapped = self.observed.mapped
        self.assertTrue(any("/memfd:uvloop" in path for path in mapped))
        foreign = [
            path
            for path in mapped
            if path.startswith("/")
            and "/memfd:" not in path
            and not _SYSTEM_FILES.search(path)
        ]
        self.assertEqual(foreign, [])
        self.assertLessEqual(
            self.observed.opened, {str(program), str(folder / "packed.log")}
        )

    def test_uses_no_io_uring(self):
        """Many hosts forbid io_uring, so an instance must not use it. A ring
        would show in the process's memory maps.
        """
        rings = [m for m in self.observed.mapped if "io_uring" in m]
        self.assertEqual(rings, [])


async def _observe_instance():
    clock = clock_module.SystemClock()
    system = system_module.System(
        folder=folder, clock=clock, drain_lag_ms=100, program=[program]
    )
    await system.start_stand_ins(example_fleet.stand_ins())
    try:
        instance = await system.start_instance(
            name="packed",
            region=example_fleet.AGENCY_REGION,
            data_centre=example_fleet.data_centre(
                example_fleet.AGENCY_REGION, 0
            ),
        )
        tokens = example_fleet.new_tokens()
        await system.import_example(tokens)
        works = await load.perform_random_work(
            addresses=[instance.listen_address],
            tokens=tokens,
            works=WORKS,
            run_name="packed",
        )
        process = psutil.Process(instance.process.pid)
        return Observed(
            works=works,
            children=process.children(recursive=True),
            name=process.name(),
            mapped=[area.path for area in process.memory_maps()],
            opened={file.path for file in process.open_files()},
            status=await instance.process.end(),
        )
    finally:
        await system.end()
