"""The results file with the latest run of each benchmark module."""

import datetime
import importlib
import os
import pathlib
import sys
import time

import msgspec

from bench import report

FILE = pathlib.Path("docs/capacity/results.json")
# Larger sizes than `make bench` uses: with 126 instances, a data centre of this
# benchmark is about as large as a planned one.
_SIZES = {"config": (7, 21, 63, 126)}


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One run of one benchmark module.

    Attributes:
        started: Wall time, UTC.
        load_average_start: One-minute load average at the start; the machine
            may have been busy with other work.
    """

    module: str
    command: str
    started: str
    duration_s: float
    load_average_start: float
    load_average_end: float
    processors: int
    python: str
    lines: list[report.Line]


class Results(msgspec.Struct, frozen=True, kw_only=True):
    """All runs, by module name."""

    runs: dict[str, Run]

    def value(self, module: str, name: str) -> float:
        """Returns one figure of a module's run.

        Raises:
            KeyError: There is no such run or line.
        """
        for line in self.runs[module].lines:
            if line.name == name:
                return line.value
        raise KeyError(f"{name} is not in the run of {module}")


def load(file: pathlib.Path = FILE) -> Results:
    """Reads the file; returns no runs if it does not exist."""
    if not file.exists():
        return Results(runs={})
    return msgspec.json.decode(file.read_bytes(), type=Results)


def save(results: Results, file: pathlib.Path = FILE) -> None:
    """Writes the file with its runs sorted by name."""
    file.parent.mkdir(parents=True, exist_ok=True)
    ordered = Results(runs=dict(sorted(results.runs.items())))
    data = msgspec.json.format(msgspec.json.encode(ordered), indent=1)
    file.write_bytes(data + b"\n")


def measure(module_name: str) -> Run:
    """Runs a benchmark module."""
    module = importlib.import_module(f"bench.{module_name}")
    started = datetime.datetime.now(datetime.UTC)
    started_s = time.monotonic()
    load_start = os.getloadavg()[0]
    sizes = _SIZES.get(module_name)
    lines = module.run() if sizes is None else module.run(sizes)
    return Run(
        module=module_name,
        command=f"python -m bench.capacity {module_name}",
        started=started.strftime("%Y-%m-%d %H:%M UTC"),
        duration_s=round(time.monotonic() - started_s, 1),
        load_average_start=round(load_start, 1),
        load_average_end=round(os.getloadavg()[0], 1),
        processors=os.cpu_count() or 1,
        python=sys.version.split()[0],
        lines=lines,
    )
