"""The load of a whole service against its slots, as far as one host knows it.

Hosts tell each other how many requests they have in flight at each server, so each host
knows the load of all servers without further messages. A host that hears nothing from
the others counts its own requests only, and takes the load for lower than it is.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..backend_state import Server

# Time for which a load is used before it is counted again, in seconds. The numbers of
# requests in flight at other hosts are about as old.
REVIEW_INTERVAL_S = 0.05


@dataclass(slots=True, frozen=True)
class ServiceLoad:
    """Requests in flight at the servers of a service, and the slots of these servers.

    `requests` run or wait. `free_slots` are the slots that no request takes; a server
    with a queue has none, so the sum differs from ``slots - requests``.
    """

    requests: int
    slots: int
    free_slots: int

    @property
    def occupancy(self) -> float:
        """Return the requests in flight for each slot, infinite without slots."""
        return self.requests / self.slots if self.slots else float("inf")


class ServiceLoads:
    """The loads of all services, each counted at most once in `REVIEW_INTERVAL_S`.

    Parameters
    ----------
    servers_of : callable
        Returns the servers of a service that take requests.
    """

    __slots__ = ("_counted", "_servers_of")

    def __init__(self, servers_of: Callable[[str], Iterable[Server]]) -> None:
        self._servers_of = servers_of
        # Each service's load, and when it was counted.
        self._counted: dict[str, tuple[ServiceLoad, float]] = {}

    def of(self, service: str, now: float) -> ServiceLoad:
        """Return the load of a service, at most `REVIEW_INTERVAL_S` old."""
        load, counted_at = self._counted.get(service, (None, 0.0))
        if load is None or now - counted_at >= REVIEW_INTERVAL_S:
            return self.recount(service, now)
        return load

    def recount(self, service: str, now: float) -> ServiceLoad:
        """Count the load of a service now, with a walk over all its servers.

        A refused caller is told to come back soon only if slots are free. By an older
        load they would seem free to all callers who arrive together.
        """
        load = count_load(self._servers_of(service), now)
        self._counted[service] = (load, now)
        return load


def count_load(servers: Iterable[Server], now: float) -> ServiceLoad:
    """Return the load of some servers at the monotonic time `now`, in seconds."""
    requests = slots = free_slots = 0
    for server in servers:
        in_flight = server.request_count(now)
        requests += in_flight
        slots += server.entry.slots
        free_slots += max(0, server.entry.slots - in_flight)
    return ServiceLoad(requests, slots, free_slots)
