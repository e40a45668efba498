"""Runs all benchmark modules of this folder, or those named."""

import importlib
import pkgutil
import sys
import traceback

import bench
from bench import report

NOT_BENCHMARKS = {"__main__", "report", "capacity"}


def main() -> int:
    """Prints all lines; returns 1 if a bound or a module failed."""
    selected = sys.argv[1:]
    passed = True
    for module_info in pkgutil.iter_modules(bench.__path__):
        name = module_info.name
        if name in NOT_BENCHMARKS or name.startswith("_"):
            continue
        if selected and name not in selected:
            continue
        passed = _run_module(name) and passed
    return 0 if passed else 1


def _run_module(name: str) -> bool:
    module = importlib.import_module(f"bench.{name}")
    if not hasattr(module, "run"):
        return True
    try:
        lines = module.run()
    except Exception:
        traceback.print_exc()
        return False
    return report.print_lines(lines)


if __name__ == "__main__":
    sys.exit(main())
