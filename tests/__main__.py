"""Runs each test module in its own process and prints a summary.

The modules of `tests.crowd` measure whole processes, so they run one at a time
after all others.

KNOWN-RED.txt lists what is known to fail (`tests.known_red`).
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

from tests import known_red

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_PARALLEL_MODULES = max(2, (os.cpu_count() or 2) // 2)
MODULE_TIMEOUT_S = 240
ALONE_PACKAGE = "tests.crowd."
ALONE_TIMEOUT_S = 900
_FAILED = re.compile(r"^(?:FAIL|ERROR): (\w+) \(([\w.]+)\)", re.MULTILINE)
_RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
_STARTED = re.compile(r"^\w+ \(([\w.]+)\)", re.MULTILINE)


class ModuleResult:
    """The output and the tests of one test module's run."""

    __slots__ = ("failed", "module", "output", "passed", "started")

    def __init__(
        self,
        *,
        module: str,
        output: str,
        passed: int,
        failed: set[str],
        started: frozenset[str] = frozenset(),
    ):
        self.started = started
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
    alone = [name for name in modules if name.startswith(ALONE_PACKAGE)]
    together = [name for name in modules if name not in alone]
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_MODULES) as pool:
        results = list(pool.map(_run_module, together))
    results.extend(_run_module(module) for module in alone)
    return _sum_up(results, complete=not wanted)


def _modules() -> list[str]:
    """Lists the test modules, the longest, in `tests.whole`, first."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(p.relative_to(ROOT).with_suffix("").parts) for p in paths]
    return sorted(names, key=lambda name: ".whole." not in name)


def _run_module(module: str) -> ModuleResult:
    command = [sys.executable, "-m", "unittest", "-v", module]
    is_alone = module.startswith(ALONE_PACKAGE)
    timeout_s = ALONE_TIMEOUT_S if is_alone else MODULE_TIMEOUT_S
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=timeout_s,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        output = f"no end after {timeout_s} s\n{error.stderr!r}"
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
        started=frozenset(m[1] for m in _STARTED.finditer(done.stderr)),
    )


def _sum_up(results: list[ModuleResult], *, complete: bool) -> int:
    failed = set().union(*(result.failed for result in results))
    for result in results:
        verdict = "FAILED" if result.failed else "ok"
        print(f"{verdict:6} {result.module}: {result.passed} passed")
        if result.failed:
            print(result.output)
    path = ROOT / "KNOWN-RED.txt"
    report = known_red.compare(
        known_red.parse(path.read_text() if path.exists() else ""),
        started=frozenset().union(*(result.started for result in results)),
        failed=failed,
        complete=complete,
    )
    for line in report.lines:
        print(line)
    passed = sum(result.passed for result in results)
    print(f"{passed} passed, {len(failed)} failed")
    return 0 if report.is_accepted else 1


if __name__ == "__main__":
    sys.exit(main())
