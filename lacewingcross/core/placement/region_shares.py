"""Limits how fast a host's requests move from one region to another.

Designed for surges on hosts that have seen several surges and restarts. By then,
objects are warm in several regions: servers there have handled them recently. While
load is low, the nearest of these servers answers first, and nearly all requests run in
their own region. In a surge its servers fill, and more requests than operators allow
would run in another region within two seconds.

A host lets its regions' shares of the requests follow the load at a limited rate. While
a region has more than its share, requests that have another candidate go there. A
request whose candidates are all in one region, or full elsewhere, is not held back. A
host counts its own requests only, since callers use all hosts alike, so that no message
is needed. A host that has just started does not know where objects are warm, and takes
the shares of the other hosts of its region.
"""

from collections.abc import Mapping
from math import exp

# Share of the requests that may change their region per second. Operators allow 15 in
# 100 in two seconds; the rest is left for the tolerance and for requests that have no
# choice.
MAX_MOVED_PER_S = 0.03
# Time constant of the shares that are compared, in seconds: half of the span for which
# operators state their limit.
AVERAGED_S = 1.0
# How far a region may be above its share: about half a request of the fewest that are
# averaged. With less, chance alone would keep requests from a server that is faster
# now.
TOLERANCE = 0.03
# At least about this many requests are averaged, for longer than `AVERAGED_S` if need
# be. Shares of fewer requests are chance.
MIN_REQUESTS = 20.0
# Without other hosts in its region, a host that has just started takes the shares of
# its first requests, up to this decayed count. From then on the count stays above it,
# since it tends to `MIN_REQUESTS` or more.
NEW_REQUESTS = 0.8 * MIN_REQUESTS
# Largest distance of the shares that requests are held to from those that they have.
# Where servers of a region are lost, requests move at once; the shares must follow, or
# all requests would return at once as well.
MAX_DISTANCE = 0.06
# Time for which a host that joins others does not know which servers are warm, in
# seconds. Most objects in use are asked for once in it.
JOIN_S = 4.0

Shares = dict[str, float]


class ServiceShares:
    """Shares of regions in one host's requests to one service.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "_at",
        "_has_begun",
        "_held",
        "_joins_until",
        "_preferred",
        "_ran",
        "_requests",
    )

    def __init__(self, now: float) -> None:
        self._at = now
        self._has_begun = False
        self._joins_until = 0.0
        # Decayed count of requests.
        self._requests = 0.0
        # Shares that requests are held to, those that they would have by expected times
        # alone, and those that they have.
        self._held: Shares = {}
        self._preferred: Shares = {}
        self._ran: Shares = {}

    def is_unused(self) -> bool:
        """Return whether no request was counted yet."""
        return self._requests == 0.0

    def begin(self, in_flight: Mapping[str, int], now: float) -> None:
        """Take the shares of other hosts' requests in flight, by region.

        Nothing is taken from few requests, whose shares are chance. Where all hosts
        start together, no requests are in flight when the first one arrives.
        """
        total = sum(in_flight.values())
        if total >= MIN_REQUESTS:
            self._held = {region: n / total for region, n in in_flight.items()}
            self._has_begun = True
            self._joins_until = now + JOIN_S

    def joins(self, now: float) -> bool:
        """Return whether the host has joined others that know more of the servers."""
        return now < self._joins_until

    def over(self, region: str) -> bool:
        """Return whether a region has more than its share of the requests."""
        if self.is_new():
            return False
        return self._ran.get(region, 0.0) > self._held.get(region, 0.0) + TOLERANCE

    def is_new(self) -> bool:
        """Return whether it is not known yet what shares requests should have."""
        return not self._has_begun and self._requests < NEW_REQUESTS

    def count(self, preferred: str, ran: str, now: float) -> None:
        """Count a request by the regions that it preferred and got."""
        elapsed_s = now - self._at
        self._at = now
        decay = max(exp(-elapsed_s / AVERAGED_S), 1.0 - 1.0 / MIN_REQUESTS)
        self._requests = 1.0 + self._requests * decay
        weight = 1.0 / self._requests
        _add(self._preferred, preferred, weight)
        _add(self._ran, ran, weight)
        if self.is_new():
            self._held = dict(self._ran)
            return
        self._has_begun = True
        step = MAX_MOVED_PER_S * elapsed_s
        self._held = _moved(self._held, self._preferred, step)
        if self._requests < NEW_REQUESTS:
            return
        distance = _distance(self._held, self._ran)
        self._held = _moved(self._held, self._ran, distance - MAX_DISTANCE)


def _add(shares: Shares, region: str, weight: float) -> None:
    """Count one request with a weight, 0 to 1, against all earlier ones."""
    for known in shares:
        shares[known] *= 1.0 - weight
    shares[region] = shares.get(region, 0.0) + weight


def _distance(one: Shares, other: Shares) -> float:
    """Return the share of requests that have another region in `other`."""
    regions = {**one, **other}
    return sum(abs(one.get(r, 0.0) - other.get(r, 0.0)) for r in regions) / 2


def _moved(shares: Shares, to: Shares, step: float) -> Shares:
    """Return shares that are closer to `to` by `step`, if that is positive."""
    distance = _distance(shares, to)
    if step <= 0.0 or distance == 0.0:
        return shares
    part = min(1.0, step / distance)
    regions = {**shares, **to}
    return {r: (1 - part) * shares.get(r, 0.0) + part * to.get(r, 0.0) for r in regions}


class RegionShares:
    """Shares of regions in one host's requests, by service."""

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, ServiceShares] = {}

    def of(self, service: str, now: float) -> ServiceShares:
        """Return the shares of a service."""
        shares = self._by_service.get(service)
        if shares is None:
            shares = ServiceShares(now)
            self._by_service[service] = shares
        return shares
