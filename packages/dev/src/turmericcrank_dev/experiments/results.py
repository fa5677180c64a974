"""Output lines of the benchmarks, and statistics over seeds."""

import json
import math
import statistics
from collections.abc import Iterable
from dataclasses import asdict, dataclass

__all__ = (
    'BenchLine',
    'find_percentile',
    'format_line',
    'make_line',
    'summarize',
)

_Z_95 = 1.96
_PERCENT = 100


@dataclass(slots=True, frozen=True)
class BenchLine:
    """One measurement.

    Attributes:
        name: Name of the measurement.
        value: Measured value.
        unit: Unit of the value.
        baseline: Value to compare with, or None.
        ratio: Value divided by the baseline, or None without a baseline.
        target: Bound for the value or the ratio, or None.
        met: Whether the target is met, or None without a target.
        spread: Half width of the 95 % confidence interval over seeds, or
            None.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    ratio: float | None = None
    target: float | None = None
    met: bool | None = None
    spread: float | None = None


@dataclass(slots=True, frozen=True)
class Summary:
    """Mean over seeds and half width of its 95 % confidence interval."""

    mean: float
    spread: float


def summarize(figures: Iterable[float]) -> Summary:
    """Summarize values of independent seeds by a normal interval."""
    known = list(figures)
    if len(known) < 2:
        return Summary(known[0], 0)
    error = statistics.stdev(known) / math.sqrt(len(known))
    return Summary(statistics.fmean(known), _Z_95 * error)


def find_percentile(figures: Iterable[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method."""
    ordered = sorted(figures)
    rank = math.ceil(len(ordered) * percent / _PERCENT)
    return ordered[max(0, rank - 1)]


def make_line(
    name: str,
    figure: float,
    unit: str,
    *,
    baseline: float | None = None,
    spread: float | None = None,
    at_most: float | None = None,
    ratio_at_most: float | None = None,
    at_least: float | None = None,
) -> BenchLine:
    """Create a line; at most one of the three targets is evaluated."""
    ratio = figure / baseline if baseline else None
    target, met = None, None
    if at_most is not None:
        target, met = at_most, figure <= at_most
    elif at_least is not None:
        target, met = at_least, figure >= at_least
    elif ratio_at_most is not None and ratio is not None:
        target, met = ratio_at_most, ratio <= ratio_at_most
    return BenchLine(name, figure, unit, baseline, ratio, target, met, spread)


def format_line(line: BenchLine) -> str:
    """Format a line as one JSON object."""
    rounded = {
        name: round(found, 6) if isinstance(found, float) else found
        for name, found in asdict(line).items()
    }
    return json.dumps(rounded)
