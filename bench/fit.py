"""Fits straight lines to measurements, and reports the error of the fit."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Slope:
    """The line cost = fixed + each * size, with the largest relative residual."""

    fixed: float
    each: float
    worst_residual: float

    def at(self, size: float) -> float:
        """Return the cost at `size`."""
        return self.fixed + self.each * size


def fit(points: list[tuple[float, float]]) -> Slope:
    """Fit a line by least squares to (size, cost) pairs."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    var = sum((x - mean_x) ** 2 for x, _ in points)
    each = sum((x - mean_x) * (y - mean_y) for x, y in points) / var
    fixed = mean_y - each * mean_x
    residuals = [abs(y - (fixed + each * x)) / max(abs(y), 1e-12) for x, y in points]
    return Slope(fixed, each, max(residuals))
