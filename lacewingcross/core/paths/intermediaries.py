"""Chooses the entry host through which a request reaches a backend server.

Designed for a part of the hosts that reach no servers, up to most hosts of a region.
Their requests go through hosts nearby until these are busy, and then through hosts
farther away, so that the callers of a few hosts nearby are not crowded out.
"""

from collections import Counter
from collections.abc import Collection, Iterator

from ..membership import HostInfo
from ..rendezvous import hash64
from ..roster import ALIVE_INTERVAL_S, Entry, Roster

# Requests in flight through one host, per core of that host, from which hosts that are
# farther away are used as well.
NEAR_REQUESTS_PER_CORE = 12.0
# Maximum requests in flight from this host through one other host, per core of it.
MAX_REQUESTS_PER_CORE = 48.0
# Time for which a host that could not be reached, or had no room, is not chosen, in
# seconds.
UNREACHABLE_PAUSE_S = 1.0
BUSY_PAUSE_S = 0.1
# Time for which a host that could not connect to a server is chosen only if no other
# host can be, in seconds. It may be cut off as well, and not know it yet.
CONNECT_FAILURE_S = 1.0


class Intermediaries:
    """The hosts that may carry requests of this host to servers.

    Parameters
    ----------
    roster : Roster
        The entry hosts that this host knows.
    """

    __slots__ = (
        "_avoided_until",
        "_in_flight",
        "_lost_domains",
        "_paused_until",
        "_roster",
    )

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._in_flight: Counter[str] = Counter()
        # Failure domains that a host does not reach itself, as it reports.
        self._lost_domains: dict[str, frozenset[str]] = {}
        self._paused_until: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight through other hosts."""
        return self._in_flight.total()

    def set_lost_domains(self, host_id: str, domains: Collection[str]) -> None:
        """Replace the failure domains that a host reports as lost."""
        if domains:
            self._lost_domains[host_id] = frozenset(domains)
        else:
            self._lost_domains.pop(host_id, None)

    def lost_domains_of(self, host_id: str) -> frozenset[str]:
        """Return the failure domains that a host reports as lost."""
        return self._lost_domains.get(host_id, frozenset())

    def began(self, host_id: str) -> None:
        """Count a request that is sent through a host."""
        self._in_flight[host_id] += 1

    def ended(self, host_id: str) -> None:
        """Stop counting a request."""
        self._in_flight[host_id] -= 1
        if self._in_flight[host_id] <= 0:
            del self._in_flight[host_id]

    def unreachable(self, host_id: str, now: float) -> None:
        """Record that a host could not be reached or did not answer."""
        self._paused_until[host_id] = now + UNREACHABLE_PAUSE_S

    def busy(self, host_id: str, now: float) -> None:
        """Record that a host has no room for more requests."""
        self._paused_until[host_id] = now + BUSY_PAUSE_S

    def could_not_connect(self, host_id: str, now: float) -> None:
        """Record that a host could not connect to a server for a request."""
        self._avoided_until[host_id] = now + CONNECT_FAILURE_S

    def heard_lately(self, host_id: str, now: float) -> bool:
        """Return whether a host has sent a message within two intervals of them."""
        entry = self._roster.entries.get(host_id)
        return entry is not None and now - entry.last_message_at < 2 * ALIVE_INTERVAL_S

    def choose(
        self,
        failure_domain: str,
        regions: Collection[str],
        now: float,
        exclude: Collection[str] = (),
    ) -> HostInfo | None:
        """Return the host through which to reach servers of a failure domain.

        Parameters
        ----------
        failure_domain : str
            Failure domain of the server.
        regions : collection of str
            Regions that may see the request; empty for all.
        now : float
            Monotonic time in seconds.
        exclude : collection of str
            Ids of hosts that are not wanted.
        """
        best = None
        best_cost = (False, 0.0, 0, 0.0, 0)
        for info in self._candidates(failure_domain, regions, now, exclude):
            cost = self._cost(info, now)
            if best is None or cost < best_cost:
                best, best_cost = info, cost
        return best

    def reaches(
        self, failure_domain: str, regions: Collection[str], now: float
    ) -> bool:
        """Return whether any host may reach a failure domain, with or without room."""
        return any(True for _ in self._reaching(failure_domain, regions, now))

    def _candidates(
        self,
        failure_domain: str,
        regions: Collection[str],
        now: float,
        exclude: Collection[str],
    ) -> Iterator[HostInfo]:
        for info in self._reaching(failure_domain, regions, now):
            if info.host_id in exclude or now < self._paused_until.get(info.host_id, 0):
                continue
            if self._in_flight[info.host_id] < MAX_REQUESTS_PER_CORE * info.cores:
                yield info

    def _reaching(
        self, failure_domain: str, regions: Collection[str], now: float
    ) -> Iterator[HostInfo]:
        for host_id, entry in self._roster.entries.items():
            if not _serves(entry, now):
                continue
            if regions and entry.info.region not in regions:
                continue
            if failure_domain not in self._lost_domains.get(host_id, ()):
                yield entry.info

    def _cost(self, info: HostInfo, now: float) -> tuple[bool, float, int, float, int]:
        """Return how costly a host is.

        A host that could not connect lately comes last; then crowding, distance, load
        and a fixed order decide.
        """
        avoided = now < self._avoided_until.get(info.host_id, float("-inf"))
        load = self._in_flight[info.host_id] / info.cores
        own = self._roster.own
        if info.failure_domain == own.failure_domain:
            distance = 0
        else:
            distance = 1 if info.region == own.region else 2
        crowding = load // NEAR_REQUESTS_PER_CORE
        order = hash64(own.host_id, info.host_id)
        return avoided, crowding, distance, load, order

    def forget_gone(self) -> None:
        """Drop what is known of hosts that the roster has forgotten."""
        known = self._roster.entries.keys()
        tables = (self._lost_domains, self._paused_until, self._avoided_until)
        for table in tables:
            for host_id in table.keys() - known:
                del table[host_id]


def _serves(entry: Entry, now: float) -> bool:
    if entry.leaving or entry.starting or entry.ended():
        return False
    return entry.live(now)
