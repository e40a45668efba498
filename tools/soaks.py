"""Runs a range of soak seeds, a few in parallel.

    python -m tools.soaks FIRST LAST [CONCURRENCY]

Prints each seed's report as a JSON line. Logs of failed seeds are kept under
out/soak; add each such seed to tests/whole/test_soak with a line on its cause.
The exit status is 1 if any seed failed.
"""

import concurrent.futures
import pathlib
import shutil
import subprocess
import sys

LOGS = pathlib.Path("out/soak")
DEFAULT_CONCURRENCY = 3
# A soak takes about 25 s; one that exceeds this hangs and counts as failed.
TIMEOUT_S = 180.0


def main(arguments: list[str]) -> int:
    """Runs the seeds and prints a summary."""
    if len(arguments) not in (2, 3):
        print(__doc__, file=sys.stderr)
        return 2
    first, last, *rest = (int(argument) for argument in arguments)
    concurrency = rest[0] if rest else DEFAULT_CONCURRENCY
    with concurrent.futures.ThreadPoolExecutor(concurrency) as pool:
        passed = list(pool.map(_run_seed, range(first, last + 1)))
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


def _run_seed(seed: int) -> bool:
    logs = LOGS / str(seed)
    command = [sys.executable, "-m", "nutmeghook", "soak"]
    command += ["--seed", str(seed), "--keep", str(logs)]
    try:
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        print(f"seed {seed} did not end within {TIMEOUT_S:.0f} s", flush=True)
        return False
    print(completed.stdout + completed.stderr, end="", flush=True)
    if completed.returncode == 0:
        shutil.rmtree(logs, ignore_errors=True)
    return completed.returncode == 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
