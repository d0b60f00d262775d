"""Regions whose servers are left to the requests that may go nowhere else.

Answers this load: an account with a tenth of all requests is bound to a region with a
tenth of the slots. Its objects alone fill what servers there keep at hand; requests of
other accounts, which would be as warm elsewhere, made nearly all of them cold, and the
slots were full of cold work. So requests that may go anywhere leave a region in which
bound ones take a good part of the slots, as long as there is room elsewhere.

Only what a host is asked itself counts: callers come to all hosts alike.
"""

from collections import Counter
from collections.abc import Iterable

from .backend_state import Server
from .rendezvous import HASH_RANGE, hash64

# A region is reserved from this pressure on, and until it falls below the other: the
# part of a service's requests that are bound to the region, over its part of the slots.
RESERVE_FROM = 0.5
RESERVE_UNTIL = 0.25
# Requests count this much less with each review, so about the last five seconds count.
FADE = 0.9
# Fewer requests than this say nothing.
REQUESTS_LEAST = 20.0
# Part of a region's other requests that leave it, or come back, in a second: moved at
# once, they would land on cold servers elsewhere.
MOVED_PER_S = 0.1

Place = tuple[str, str]


class RegionReservations:
    """How far each region is reserved, for each service."""

    __slots__ = ("_asked", "_bound", "_parts", "_reviewed_at")

    def __init__(self) -> None:
        self._asked: Counter[str] = Counter()
        self._bound: Counter[tuple[str, frozenset[str]]] = Counter()
        # Part of the other requests that stay away, by service and region.
        self._parts: dict[str, dict[str, float]] = {}
        self._reviewed_at: float | None = None

    def asked(self, service: str, regions: frozenset[str]) -> None:
        """Count a request and the regions to which it is bound, empty for none."""
        self._asked[service] += 1
        if regions:
            self._bound[service, regions] += 1

    def any_for(self, service: str) -> bool:
        """Tell whether any region is reserved for a service."""
        return bool(self._parts.get(service))

    def off_limits(self, service: str, point: float) -> frozenset[str]:
        """Return the regions that a request which may go anywhere leaves to others.

        Parameters
        ----------
        service : str
            Where it goes.
        point : float
            From 0 to 1, the same for all requests of an object: objects move whole.
        """
        parts = self._parts.get(service, {})
        return frozenset(region for region, part in parts.items() if point < part)

    def review(self, servers: Iterable[Server], now: float) -> None:
        """Take over what was asked since the last review, and move on."""
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
        """Return the bound requests of each place, divided by slots."""
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
    """Return a number from 0 to 1 that is the same for all requests of an object."""
    return hash64("reserved", thing) / HASH_RANGE
