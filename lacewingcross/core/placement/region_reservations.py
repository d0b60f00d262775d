"""Regions whose servers are reserved for the requests that may go nowhere else.

Designed for an account with a tenth of all requests that is bound to a region with a
tenth of the slots. Its objects alone fill what the servers there keep warm, that is,
have handled recently. Requests of other accounts, which would be as warm elsewhere,
made nearly all of these objects cold, and cold runs filled the slots. So requests that
may go anywhere avoid a region in which bound requests take a good share of the slots,
as long as there is room elsewhere.

A host counts only the requests that it gets itself, since callers use all hosts alike.
"""

from collections import Counter
from collections.abc import Iterable

from ..backend_state import Server
from ..rendezvous import HASH_RANGE, hash64

# A region is reserved once the pressure on it reaches `RESERVE_FROM`, until the
# pressure falls below `RESERVE_UNTIL`. Pressure is the share of a service's requests
# that are bound to the region, divided by the region's share of the service's slots.
RESERVE_FROM = 0.5
RESERVE_UNTIL = 0.25
# Factor on the counts of requests at each review. With a review every half second,
# about the last five seconds count.
DECAY = 0.9
# With fewer requests of a service than this (decayed count), its reservations stay as
# they are: no region becomes reserved or free, and no share of requests moves.
MIN_REQUESTS = 20.0
# Share of a region's unbound requests that leave it, or return to it, per second. Moved
# all at once, these requests would land on cold servers elsewhere.
MOVED_SHARE_PER_S = 0.1

ServiceRegion = tuple[str, str]


class RegionReservations:
    """For each service and region, the share of unbound requests that avoid the region.

    A request is bound if only some regions may serve it.
    """

    __slots__ = ("_avoiding", "_bound_requests", "_requests", "_reviewed_at")

    def __init__(self) -> None:
        # Requests by service, and bound requests by service and regions; older ones
        # count less.
        self._requests: Counter[str] = Counter()
        self._bound_requests: Counter[tuple[str, frozenset[str]]] = Counter()
        # Share of the unbound requests that avoid a region, by service and region.
        self._avoiding: dict[str, dict[str, float]] = {}
        self._reviewed_at: float | None = None

    def count_request(self, service: str, regions: frozenset[str]) -> None:
        """Count a request and the regions to which it is bound, empty for none."""
        self._requests[service] += 1
        if regions:
            self._bound_requests[service, regions] += 1

    def has_any(self, service: str) -> bool:
        """Return whether any unbound requests to a service have to avoid a region."""
        return bool(self._avoiding.get(service))

    def avoided_regions(self, service: str, position: float) -> frozenset[str]:
        """Return the regions that a request which may go anywhere has to avoid.

        Parameters
        ----------
        service : str
            Service of the request.
        position : float
            Position from 0 to 1, the same for all requests of an object, so that whole
            objects move.
        """
        shares = self._avoiding.get(service, {})
        return frozenset(region for region, share in shares.items() if position < share)

    def review(self, servers: Iterable[Server], now: float) -> None:
        """Update the reservations by the requests counted recently.

        `servers` are all known servers; draining ones add no slots to their regions.
        """
        elapsed_s = 0.0 if self._reviewed_at is None else now - self._reviewed_at
        self._reviewed_at = now
        for service_region, pressure in self._pressures(servers).items():
            self._adjust(service_region, pressure, elapsed_s)
        self._decay()

    def _pressures(self, servers: Iterable[Server]) -> dict[ServiceRegion, float]:
        """Return the pressure on each region of each service with enough requests."""
        slots: Counter[ServiceRegion] = Counter()
        service_slots: Counter[str] = Counter()
        for server in servers:
            if not server.entry.draining:
                slots[server.entry.service, server.region] += server.entry.slots
                service_slots[server.entry.service] += server.entry.slots
        bound = self._bound_by_region(slots)
        return {
            (service, region): bound[service, region]
            * service_slots[service]
            / (self._requests[service] * count)
            for (service, region), count in slots.items()
            if self._requests[service] >= MIN_REQUESTS
        }

    def _bound_by_region(self, slots: Counter[ServiceRegion]) -> Counter[ServiceRegion]:
        """Return how many requests of each service are bound to each region.

        Requests that are bound to several regions are divided among them by slots.
        """
        bound: Counter[ServiceRegion] = Counter()
        for (service, regions), count in self._bound_requests.items():
            slots_by_region = {
                r: slots[service, r] for r in regions if slots[service, r]
            }
            for region, region_slots in slots_by_region.items():
                bound[service, region] += (
                    count * region_slots / sum(slots_by_region.values())
                )
        return bound

    def _adjust(
        self, service_region: ServiceRegion, pressure: float, elapsed_s: float
    ) -> None:
        """Move the share of unbound requests that avoid a region by one step."""
        service, region = service_region
        shares = self._avoiding.get(service, {})
        share = shares.get(region, 0.0)
        limit = RESERVE_UNTIL if share else RESERVE_FROM
        step = MOVED_SHARE_PER_S * elapsed_s
        share = min(1.0, share + step) if pressure >= limit else max(0.0, share - step)
        if share:
            self._avoiding.setdefault(service, {})[region] = share
        elif region in shares:
            del shares[region]

    def _decay(self) -> None:
        for counts in (self._requests, self._bound_requests):
            for name in list(counts):
                counts[name] *= DECAY
                if counts[name] < 0.01:
                    del counts[name]


def position_of(object_name: str) -> float:
    """Return a position from 0 to 1 that is the same for all requests of an object."""
    return hash64("reserved", object_name) / HASH_RANGE
