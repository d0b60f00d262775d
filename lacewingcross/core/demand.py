"""How much callers ask in each region, as its hosts measure and tell it."""

from math import exp

# Time over which a rate is averaged, in seconds: a wave of callers takes about half a
# minute from region to region, single seconds mean little.
AVERAGE_S = 4.0


class Demand:
    """Requests a second from callers, at this host and at the others.

    Parameters
    ----------
    region : str
        Region of this host.
    """

    __slots__ = ("_asked", "_others", "_region", "_seen_at", "rate")

    def __init__(self, region: str) -> None:
        self._region = region
        self._asked = 0
        self._others: dict[str, tuple[str, float]] = {}
        self._seen_at: float | None = None
        self.rate = 0.0

    def asked(self) -> None:
        """Count one request of a caller."""
        self._asked += 1

    def tick(self, now: float) -> None:
        """Take what was counted since the last tick into the rate."""
        if self._seen_at is None:
            self._seen_at = now
            self._asked = 0
            return
        step_s = now - self._seen_at
        if step_s <= 0:
            return
        weight = 1.0 - exp(-step_s / AVERAGE_S)
        self.rate += weight * (self._asked / step_s - self.rate)
        self._asked = 0
        self._seen_at = now

    def told(self, host_id: str, region: str, rate: float) -> None:
        """Take over another host's rate; 0 for one that is silent."""
        if rate > 0:
            self._others[host_id] = (region, rate)
        else:
            self._others.pop(host_id, None)

    def part(self) -> float:
        """Return this region's part of all requests, 0 when nobody has asked."""
        total = self.rate + sum(rate for _, rate in self._others.values())
        here = self.rate + sum(
            rate for region, rate in self._others.values() if region == self._region
        )
        return here / total if total > 0 else 0.0
