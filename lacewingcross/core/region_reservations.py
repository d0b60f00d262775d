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

from .backend_state import Server
from .rendezvous import HASH_RANGE, hash64

# A region is reserved from the first of these pressures on, until the pressure falls
# below the second. Pressure is the share of a service's requests that are bound to the
# region, divided by the region's share of the slots.
RESERVE_FROM = 0.5
RESERVE_UNTIL = 0.25
# Factor on the counts at each review, so that about the last five seconds count.
FADE = 0.9
# Fewer requests than this show no pressure.
REQUESTS_LEAST = 20.0
# Share of a region's other requests that leave it, or return to it, per second. Moved
# all at once, they would land on cold servers elsewhere.
MOVED_PER_S = 0.1

Place = tuple[str, str]


class RegionReservations:
    """The degree to which each region is reserved, for each service."""

    __slots__ = ("_asked", "_bound", "_parts", "_reviewed_at")

    def __init__(self) -> None:
        self._asked: Counter[str] = Counter()
        self._bound: Counter[tuple[str, frozenset[str]]] = Counter()
        # Share of the other requests that avoid the region, by service and region.
        self._parts: dict[str, dict[str, float]] = {}
        self._reviewed_at: float | None = None

    def asked(self, service: str, regions: frozenset[str]) -> None:
        """Count a request and the regions to which it is bound, empty for none."""
        self._asked[service] += 1
        if regions:
            self._bound[service, regions] += 1

    def any_for(self, service: str) -> bool:
        """Return whether any region is reserved for a service."""
        return bool(self._parts.get(service))

    def off_limits(self, service: str, point: float) -> frozenset[str]:
        """Return the regions that a request which may go anywhere has to avoid.

        Parameters
        ----------
        service : str
            Service of the request.
        point : float
            Position from 0 to 1, the same for all requests of an object, so that whole
            objects move.
        """
        parts = self._parts.get(service, {})
        return frozenset(region for region, part in parts.items() if point < part)

    def review(self, servers: Iterable[Server], now: float) -> None:
        """Update the reservations by the requests counted since the last review."""
        passed_s = 0.0 if self._reviewed_at is None else now - self._reviewed_at
        self._reviewed_at = now
        for place, pressure in self._pressures(servers).items():
            self._move(place, pressure, passed_s)
        self._fade()

    def _pressures(self, servers: Iterable[Server]) -> dict[Place, float]:
        slots: Counter[Place] = Counter()
        of_service: Counter[str] = Counter()
        for server in servers:
            if not server.entry.draining:
                slots[server.entry.service, server.region] += server.entry.slots
                of_service[server.entry.service] += server.entry.slots
        wanted = self._wanted(slots)
        return {
            (service, region): wanted[service, region]
            * of_service[service]
            / (self._asked[service] * count)
            for (service, region), count in slots.items()
            if self._asked[service] >= REQUESTS_LEAST
        }

    def _wanted(self, slots: Counter[Place]) -> Counter[Place]:
        """Return the requests bound to each service and region.

        Requests that are bound to several regions are divided among them by slots.
        """
        wanted: Counter[Place] = Counter()
        for (service, regions), count in self._bound.items():
            among = {r: slots[service, r] for r in regions if slots[service, r]}
            for region, number in among.items():
                wanted[service, region] += count * number / sum(among.values())
        return wanted

    def _move(self, place: Place, pressure: float, passed_s: float) -> None:
        service, region = place
        parts = self._parts.get(service, {})
        part = parts.get(region, 0.0)
        limit = RESERVE_UNTIL if part else RESERVE_FROM
        step = MOVED_PER_S * passed_s
        part = min(1.0, part + step) if pressure >= limit else max(0.0, part - step)
        if part:
            self._parts.setdefault(service, {})[region] = part
        elif region in parts:
            del parts[region]

    def _fade(self) -> None:
        for counts in (self._asked, self._bound):
            for name in list(counts):
                counts[name] *= FADE
                if counts[name] < 0.01:
                    del counts[name]


def point_of(thing: str) -> float:
    """Return a position from 0 to 1 that is the same for all requests of an object."""
    return hash64("reserved", thing) / HASH_RANGE
