"""Figures for the planned size, computed from the results."""

import dataclasses
import functools

from bench.capacity import fits
from bench.capacity import results as results_module


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Figure:
    """One figure of a role.

    Attributes:
        group: The table that contains it.
        basis: How it was computed, without the runs.
        runs: Modules whose runs it is computed from; empty if it follows from
            the plan and the settings.
        mechanism: The module that causes it, under
            `src/nutmeghook/internal/`.
        exceeds_budget: It exceeds a budget by itself.
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
    """Returns a figure; shorthand for the long tables."""
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
    """Gives access to the results by short names."""

    def __init__(self, results: results_module.Results):
        self._results = results
        self.fit = functools.cache(self._fit)

    def _fit(self, series: str) -> fits.Fit:
        """Fits a series; the first part of its name is the module."""
        module = series.partition(".")[0]
        return fits.fit(self._results, module, series)

    def value(self, name: str) -> float:
        """Returns one value; the first part of its name is the module."""
        return self._results.value(name.partition(".")[0], name)

    def at(self, series: str, size: float) -> float:
        """Returns the fitted value at a size."""
        return self.fit(series).at(size)

    def slope(self, series: str) -> float:
        """Returns the slope of the fit."""
        return self.fit(series).slope

    def largest(self, series: str) -> float:
        """Returns the measured value at the largest size."""
        return self.fit(series).points[-1].value
