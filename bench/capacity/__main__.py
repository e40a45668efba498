"""Measures the slopes, of all or the named modules, and writes the page.

python -m bench.capacity                  all modules
python -m bench.capacity config ledger    these; the rest stay as they are
python -m bench.capacity --page-only      no measuring
"""

import argparse
import sys
import traceback

from bench import report
from bench.capacity import page
from bench.capacity import results as results_module

MODULES = (
    "footprint",
    "decision",
    "instance_list",
    "relay",
    "node",
    "config",
    "ledger",
    "membership",
    "orders",
)


def main() -> int:
    """Measures and writes; returns 1 if a module or a bound failed."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity")
    parser.add_argument("modules", nargs="*", metavar="module")
    parser.add_argument("--page-only", action="store_true")
    arguments = parser.parse_args()
    passed = True
    if not arguments.page_only:
        for name in arguments.modules or MODULES:
            passed = _measure(name) and passed
    page.rewrite(results_module.load())
    return 0 if passed else 1


def _measure(name: str) -> bool:
    """Measures one module and saves its results at once."""
    try:
        run = results_module.measure(name)
    except Exception:
        traceback.print_exc()
        return False
    # Read again, since another run may have saved its module meanwhile.
    results = results_module.load()
    results_module.save(results_module.Results(runs=results.runs | {name: run}))
    return report.print_lines(run.lines)


if __name__ == "__main__":
    sys.exit(main())
