"""When a server would have answered a request: the way, the wait and the work.

Answers this load: a key's warm server is busy and another one is free but cold. Waiting
for the warm one is faster until its queue is longer than the cold work, and cold work
also takes slots from everybody else.
"""

from dataclasses import dataclass

from .backend_state import Server
from .estimate import ServiceTimes
from .work_times import WorkTimes

# Work takes this many times as long on a server that has just started. Both users
# state it of their servers.
COLD_SERVER_TIMES = 2.0
# Work assumed at a service before any answer, in seconds.
FIRST_WORK_S = 0.2
# No work is taken for shorter, in seconds: an answer may come back sooner than the way
# there was measured to take, and nobody can wait for work of no length.
LEAST_WORK_S = 0.001


@dataclass(slots=True, frozen=True)
class Estimate:
    """What a request would meet at a server; times in seconds."""

    network_s: float
    wait_s: float
    work_s: float
    warm: bool

    @property
    def total_s(self) -> float:
        """Return the time until the answer is here."""
        return self.network_s + self.wait_s + self.work_s


class Expectations:
    """Work times of all kinds and services, as this host has learnt them."""

    __slots__ = ("_by_kind", "_by_service", "rtt_s")

    def __init__(self) -> None:
        self._by_kind: dict[str, WorkTimes] = {}
        self._by_service: dict[str, ServiceTimes] = {}
        # Time there and back to each region, in seconds.
        self.rtt_s: dict[str, float] = {}

    def kind(self, name: str, target_s: float) -> WorkTimes:
        """Return the times of a kind of request."""
        times = self._by_kind.get(name)
        if times is None:
            times = WorkTimes(target_s)
            self._by_kind[name] = times
        return times

    def service_work_s(self, service: str) -> float:
        """Return the average work for one request of a service, in seconds."""
        times = self._by_service.get(service)
        return max(LEAST_WORK_S, times.mean_s) if times else FIRST_WORK_S

    def network_s(self, server: Server) -> float:
        """Return the time to a server and back, in seconds."""
        return self.rtt_s.get(server.region, 0.0)

    def estimate(
        self, server: Server, key: str, times: WorkTimes, now: float
    ) -> Estimate:
        """Return what a request with `key` would meet at a server.

        Parameters
        ----------
        server : Server
            Candidate.
        key : str
            Affinity key, empty for none: then nothing is warm.
        times : WorkTimes
            Times of the request's kind.
        now : float
            Monotonic time in seconds.
        """
        slots = server.entry.slots
        pace = COLD_SERVER_TIMES if server.cold(now) else 1.0
        waiting = max(0, server.busy(now) - slots + 1)
        wait_s = pace * waiting / slots * self.service_work_s(server.entry.service)
        warm = bool(key) and server.warm.holds(key)
        work_s = pace * times.expected_s(warm=warm)
        return Estimate(self.network_s(server), wait_s, work_s, warm)

    def learn_work(
        self, server: Server, times: WorkTimes, work_s: float, *, warm: bool
    ) -> None:
        """Take in how long a server worked on a request that did not wait."""
        times.learn_work(work_s, warm=warm)
        known = self._by_service.get(server.entry.service)
        if known is None:
            known = ServiceTimes(FIRST_WORK_S)
            self._by_service[server.entry.service] = known
        known.add(work_s)
