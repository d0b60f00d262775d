"""Counters, gauges and latency histograms, rendered as text for operators."""

from collections import Counter
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """All metrics of one process.

    A name consists of parts joined by dots, such as ``<what>.<reason>``. Histograms
    record microseconds.
    """

    __slots__ = ("counters", "gauges", "histograms")

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.counters[name] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self.gauges[name] = value

    def replace_gauges(self, prefix: str, values: Mapping[str, float]) -> None:
        """Replace all gauges whose names begin with `prefix`."""
        for name in [name for name in self.gauges if name.startswith(prefix)]:
            del self.gauges[name]
        for name, value in values.items():
            self.gauges[prefix + name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram `name`.

        A duration outside `LOWEST_US` to `HIGHEST_US` is recorded as the nearer limit.
        """
        hist = self.histograms.get(name)
        if hist is None:
            hist = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[name] = hist
        hist.record_value(max(LOWEST_US, min(HIGHEST_US, int(seconds * 1e6))))

    def render(self) -> str:
        """Return one ``name value`` line per metric: counters, gauges, then histograms.

        Each of the three groups is sorted by name.
        """
        lines = [f"{name} {value}" for name, value in sorted(self.counters.items())]
        lines += [f"{name} {value:g}" for name, value in sorted(self.gauges.items())]
        for name, hist in sorted(self.histograms.items()):
            lines.append(f"{name}.count {hist.get_total_count()}")
            for pct in PERCENTILES:
                value = hist.get_value_at_percentile(pct)
                lines.append(f"{name}.p{pct:g}_us {value}")
        return "\n".join(lines) + "\n"
