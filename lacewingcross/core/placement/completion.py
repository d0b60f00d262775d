"""Expected response time at a server: network round trip, waiting and service time.

Designed for a key whose warm server (one that has handled the object recently) is busy
while another server is free but cold. Waiting for the warm server is faster until its
queue is longer than a cold run, and a cold run also takes a slot from other requests.
"""

from dataclasses import dataclass

from ..backend_state import Server
from ..estimate import ServiceTimes
from .work_times import KindTimes

# Factor on the service time at a cold server (`Server.cold`), such as one that has just
# started. Both users state this factor for their servers.
COLD_SERVER_FACTOR = 2.0
# Mean service time assumed for a service before any response, in seconds.
INITIAL_SERVICE_TIME_S = 0.2
# Lower limit of a service time, in seconds: a response may return sooner than the
# measured network round trip, and no wait can be computed from a service time of zero.
MIN_SERVICE_TIME_S = 0.001


@dataclass(slots=True, frozen=True)
class Estimate:
    """Times that a request is expected to take at a server, in seconds.

    `network_s` is the network round trip, `wait_s` the wait for a slot, and `warm` is
    whether the server has handled the object recently. `pace` is the factor on the
    server's usual times, which the other times contain.
    """

    network_s: float
    wait_s: float
    service_time_s: float
    warm: bool
    pace: float = 1.0

    @property
    def total_s(self) -> float:
        """Return the time until the response has arrived."""
        return self.network_s + self.wait_s + self.service_time_s


class ExpectedTimes:
    """Service times of all kinds and services, as estimated by this host."""

    __slots__ = ("_by_kind", "_by_service", "rtt_s")

    def __init__(self) -> None:
        self._by_kind: dict[str, KindTimes] = {}
        self._by_service: dict[str, ServiceTimes] = {}
        # Network round trip to each region, in seconds.
        self.rtt_s: dict[str, float] = {}

    def kind(self, name: str, target_s: float) -> KindTimes:
        """Return the service times of a kind of request.

        `target_s` is used only when the kind is new; later targets are ignored.
        """
        times = self._by_kind.get(name)
        if times is None:
            times = KindTimes(target_s)
            self._by_kind[name] = times
        return times

    def mean_service_time_s(self, service: str) -> float:
        """Return the mean service time of a service, in seconds."""
        times = self._by_service.get(service)
        return (
            max(MIN_SERVICE_TIME_S, times.mean_s) if times else INITIAL_SERVICE_TIME_S
        )

    def network_s(self, server: Server) -> float:
        """Return the network round trip to a server, in seconds; 0 if unknown."""
        return self.rtt_s.get(server.region, 0.0)

    def estimate(
        self,
        server: Server,
        object_name: str,
        times: KindTimes,
        now: float,
        pace: float = 1.0,
    ) -> Estimate:
        """Return the times that a request is expected to take at a server.

        Parameters
        ----------
        server : Server
            Candidate.
        object_name : str
            Name of the request's object, empty for none: then no server is warm.
        times : KindTimes
            Times of the request's kind.
        now : float
            Monotonic time in seconds.
        pace : float, default=1.0
            Factor on the usual wait and service time of the server, see `ServerPaces`.
        """
        slots = server.entry.slots
        factor = pace * (COLD_SERVER_FACTOR if server.cold(now) else 1.0)
        waiting = max(0, server.request_count(now) - slots + 1)
        wait_s = (
            factor * waiting / slots * self.mean_service_time_s(server.entry.service)
        )
        warm = bool(object_name) and server.warm.holds(object_name)
        service_time_s = factor * times.expected_s(warm=warm)
        return Estimate(self.network_s(server), wait_s, service_time_s, warm, pace)

    def learn_service_time(
        self, server: Server, times: KindTimes, service_time_s: float, *, warm: bool
    ) -> None:
        """Record the service time of a request that did not wait.

        `service_time_s` is the time at the usual pace of the server, in seconds.
        """
        times.learn_service_time(service_time_s, warm=warm)
        known = self._by_service.get(server.entry.service)
        if known is None:
            known = ServiceTimes(INITIAL_SERVICE_TIME_S)
            self._by_service[server.entry.service] = known
        known.add(service_time_s)
