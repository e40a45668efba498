"""Runs each test module in its own process and prints a summary.

A failure listed in KNOWN-RED.txt is printed but does not fail the run. A
listed test that passes fails the run, so that its line is removed, unless the
first word of the line's cause is "sometimes".
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_PARALLEL_MODULES = max(2, (os.cpu_count() or 2) // 2)
MODULE_TIMEOUT_S = 240
_FAILED = re.compile(r"^(?:FAIL|ERROR): (\w+) \(([\w.]+)\)", re.MULTILINE)
_RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)


class ModuleResult:
    """The output and the counts of one test module's run."""

    __slots__ = ("failed", "module", "output", "passed")

    def __init__(
        self, *, module: str, output: str, passed: int, failed: set[str]
    ):
        self.module = module
        self.output = output
        self.passed = passed
        self.failed = failed


def main() -> int:
    """Runs all modules, or those whose name contains an argument."""
    wanted = sys.argv[1:]
    modules = [
        name
        for name in _modules()
        if not wanted or any(part in name for part in wanted)
    ]
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_MODULES) as pool:
        results = list(pool.map(_run_module, modules))
    return _sum_up(results, complete=not wanted)


def _modules() -> list[str]:
    """Lists the test modules, the longest, in `tests.whole`, first."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(p.relative_to(ROOT).with_suffix("").parts) for p in paths]
    return sorted(names, key=lambda name: ".whole." not in name)


def _run_module(module: str) -> ModuleResult:
    command = [sys.executable, "-m", "unittest", "-v", module]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        output = f"no end after {MODULE_TIMEOUT_S} s\n{error.stderr!r}"
        return ModuleResult(
            module=module, output=output, passed=0, failed={module}
        )
    failed = {f"{m[2]}" for m in _FAILED.finditer(done.stderr)}
    ran = sum(int(m[1]) for m in _RAN.finditer(done.stderr))
    if done.returncode != 0 and not failed:
        failed = {module}
    output = done.stdout + done.stderr
    return ModuleResult(
        module=module,
        output=output,
        passed=max(0, ran - len(failed)),
        failed=failed,
    )


def _known_red() -> dict[str, bool]:
    """Returns the tests that are known to fail.

    The value tells whether a test fails only sometimes.
    """
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return {}
    known = {}
    for line in path.read_text().splitlines():
        test, _, cause = line.partition(",")
        if test.strip():
            known[test.strip()] = cause.strip().startswith("sometimes")
    return known


def _sum_up(results: list[ModuleResult], *, complete: bool) -> int:
    known = _known_red()
    failed = set().union(*(result.failed for result in results))
    for result in results:
        verdict = "FAILED" if result.failed else "ok"
        print(f"{verdict:6} {result.module}: {result.passed} passed")
        if result.failed:
            print(result.output)
    for test in sorted(failed & known.keys()):
        print(f"known red: {test}")
    always = {test for test, sometimes in known.items() if not sometimes}
    mended = always - failed if complete else set()
    for test in sorted(known.keys() - always - failed) if complete else ():
        print(f"known red sometimes, passed now: {test}")
    for test in sorted(mended):
        print(f"listed in KNOWN-RED.txt but passes: {test}")
    passed = sum(result.passed for result in results)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if (failed - known.keys()) or mended else 0


if __name__ == "__main__":
    sys.exit(main())
