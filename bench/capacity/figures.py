"""Figures of the planned size, worked out from the results."""

import dataclasses
import functools

from bench.capacity import fits
from bench.capacity import results as results_module


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Figure:
    """One figure of a role.

    Attributes:
        group: The table that it stands in.
        basis: How it was worked out; `run` in it would say nothing new.
        runs: Modules whose runs it rests on; empty for a setting's limit.
        mechanism: The module that carries it, under
            `src/nutmeghook/internal/`.
        exceeds_budget: It breaks a budget by itself.
    """

    group: str
    name: str
    value: float
    unit: str
    basis: str
    runs: tuple[str, ...]
    mechanism: str
    exceeds_budget: bool = False


def row(
    group: str,
    name: str,
    value: float,
    unit: str,
    basis: str,
    mechanism: str,
    runs: tuple[str, ...] = (),
    exceeds_budget: bool = False,
) -> Figure:
    """Returns a figure; short, because the tables are long."""
    return Figure(
        group=group,
        name=name,
        value=value,
        unit=unit,
        basis=basis,
        runs=runs,
        mechanism=mechanism,
        exceeds_budget=exceeds_budget,
    )


class Facts:
    """The results, read by short names."""

    def __init__(self, results: results_module.Results):
        self._results = results
        self.fit = functools.cache(self._fit)

    def _fit(self, series: str) -> fits.Fit:
        """Fits a series; its module is the first part of the name."""
        module = series.partition(".")[0]
        return fits.fit(self._results, module, series)

    def value(self, name: str) -> float:
        """Returns one measured figure; its module is the first part."""
        return self._results.value(name.partition(".")[0], name)

    def at(self, series: str, size: float) -> float:
        """Returns a fit's value at a size."""
        return self.fit(series).at(size)

    def slope(self, series: str) -> float:
        """Returns a fit's slope."""
        return self.fit(series).slope

    def largest(self, series: str) -> float:
        """Returns the value of the point with the largest size."""
        return self.fit(series).points[-1].value
