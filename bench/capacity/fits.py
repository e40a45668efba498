"""Linear fits of measured series."""

import dataclasses
import re

import numpy

from bench.capacity import results as results_module


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Point:
    """One measured point."""

    size: float
    value: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Fit:
    """A series with its fitted line.

    Attributes:
        largest_error: The largest distance of a point from the line, as a
            share of the line's value at the largest size measured.
    """

    module: str
    series: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    largest_error: float

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.intercept + self.slope * size


def fit(results: results_module.Results, module: str, series: str) -> Fit:
    """Fits a series by least squares.

    Raises:
        KeyError: The run has fewer than two points of the series.
    """
    pattern = re.compile(rf"{re.escape(series)}\.(\d+)(?:_replicas)?")
    points = []
    for line in results.runs[module].lines:
        match = pattern.fullmatch(line.name)
        if match:
            points.append(Point(size=float(match[1]), value=line.value))
    if len(points) < 2:
        raise KeyError(f"{series} has {len(points)} points; a line needs two")
    points.sort(key=lambda point: point.size)
    sizes = numpy.array([point.size for point in points])
    values = numpy.array([point.value for point in points])
    slope, intercept = numpy.polyfit(sizes, values, 1)
    line = intercept + slope * sizes
    scale = abs(line[-1]) or 1.0
    return Fit(
        module=module,
        series=series,
        points=tuple(points),
        slope=float(slope),
        intercept=float(intercept),
        largest_error=float(numpy.max(numpy.abs(values - line)) / scale),
    )
