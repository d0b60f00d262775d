"""Gives the path on which a request may reach a backend server."""

from collections.abc import Iterable

from ..backend_state import Server
from ..membership import HostInfo
from ..roster import Roster
from .intermediaries import Intermediaries
from .path import Path
from .reachability import Reachability


class Paths:
    """The paths from this host to servers.

    Parameters
    ----------
    roster : Roster
        The entry hosts that this host knows.

    Attributes
    ----------
    reachability : Reachability
        The servers that this host reaches itself.
    intermediaries : Intermediaries
        The hosts that may carry requests.
    """

    __slots__ = ("_found", "_found_at", "intermediaries", "reachability")

    def __init__(self, roster: Roster) -> None:
        self.reachability = Reachability()
        self.intermediaries = Intermediaries(roster)
        # The intermediaries found at one time, by failure domain and regions: one
        # choice of a server asks for many servers of the same domain.
        self._found: dict[tuple[str, frozenset[str]], HostInfo | None] = {}
        self._found_at = float("-inf")

    def path_to(
        self,
        server: Server,
        regions: frozenset[str],
        now: float,
        *,
        last_resort: bool,
        indirect_only: bool,
    ) -> Path | None:
        """Return the path on which a server may be sent a request, or None.

        Parameters
        ----------
        server : Server
            The server.
        regions : frozenset of str
            Regions that may see the request; empty for all.
        now : float
            Monotonic time in seconds.
        last_resort : bool
            See `PassiveHealth.usable`.
        indirect_only : bool
            Whether the request could not connect to servers directly.
        """
        entry = server.entry
        is_lost = self.reachability.is_lost(entry)
        if not indirect_only and not is_lost:
            usable = server.passive_health.usable(now, last_resort=last_resort)
            return Path.DIRECT if usable else None
        if self.has_intermediary(entry.failure_domain, regions, now):
            usable = server.indirect_health.usable(now, last_resort=last_resort)
            return Path.INDIRECT if usable else None
        since = self.reachability.lost_since(entry)
        if is_lost and self.reachability.heard_since(entry, since):
            # New connections are refused, but an open one may still work.
            return Path.DIRECT
        return None

    def has_intermediary(
        self, failure_domain: str, regions: frozenset[str], now: float
    ) -> bool:
        """Return whether another host may carry a request to servers of a domain."""
        if now != self._found_at:
            self._found.clear()
            self._found_at = now
        key = (failure_domain, regions)
        if key not in self._found:
            self._found[key] = self.intermediaries.choose(failure_domain, regions, now)
        return self._found[key] is not None

    def no_path_to(
        self, servers: Iterable[Server], regions: frozenset[str], now: float
    ) -> bool:
        """Return whether no host that may see a request reaches any of these servers.

        Hosts without room for more requests count as reaching them.
        """
        domains = set()
        for server in servers:
            if not self.reachability.is_lost(server.entry):
                return False
            domains.add(server.entry.failure_domain)
        reaches = self.intermediaries.reaches
        return not any(reaches(domain, regions, now) for domain in domains)
