"""A measured figure of a benchmark, and its output."""

import enum
import sys
from typing import TextIO

import msgspec


class Better(enum.Enum):
    """Which direction is an improvement."""

    LOWER = "lower"
    HIGHER = "higher"


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One measured figure.

    Attributes:
        bound: The worst value that passes; None if the figure is only
            reported, such as a time on this machine or a baseline.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    better: Better = Better.LOWER

    def is_within_bound(self) -> bool:
        """Returns whether the value is within its bound."""
        if self.bound is None:
            return True
        if self.better is Better.LOWER:
            return self.value <= self.bound
        return self.value >= self.bound


def print_lines(lines: list[Line], *, out: TextIO = sys.stdout) -> bool:
    """Prints one JSON object per line; returns whether all bounds hold."""
    for line in lines:
        out.write(msgspec.json.encode(line).decode() + "\n")
    out.flush()
    return all(line.is_within_bound() for line in lines)
