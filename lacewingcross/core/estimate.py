"""Online estimates of service time: a decaying mean and a recent quantile."""

from bisect import bisect_left, insort
from collections import deque

# Number of most recent times from which quantiles are computed.
WINDOW = 256
# Lower limit of the weight of the newest time in the mean.
MEAN_GAIN = 0.05


class ServiceTimes:
    """Service times or response times: their mean, and the last `WINDOW` of them.

    The keeper's acceptance test compares the time left to a deadline with a quantile of
    these times; docs/design/slots.md names the source of this test and what the test is
    worth here.

    Parameters
    ----------
    prior_s : float, default=0.05
        Mean assumed before the first response.
    """

    __slots__ = ("_recent", "_sorted", "mean_s")

    def __init__(self, prior_s: float = 0.05) -> None:
        self.mean_s = prior_s
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, seconds: float) -> None:
        """Add one time."""
        gain = max(MEAN_GAIN, 1.0 / (len(self._recent) + 1))
        self.mean_s += gain * (seconds - self.mean_s)
        self._recent.append(seconds)
        insort(self._sorted, seconds)
        if len(self._recent) > WINDOW:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]

    def quantile(self, fraction: float) -> float:
        """Return the time that `fraction` of the recent times stay under.

        Before the first time is added, it is the assumed mean.
        """
        if not self._sorted:
            return self.mean_s
        index = min(len(self._sorted) - 1, int(fraction * len(self._sorted)))
        return self._sorted[index]
