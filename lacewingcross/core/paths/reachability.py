"""Which backend servers this host reaches itself.

A server that does not answer may be gone, or only the path from this host to it may be
lost. One host alone cannot tell these apart, so a path counts as lost only when this
host cannot open a connection while another host can.
"""

from dataclasses import dataclass

from ..backend_state import Incarnation, ServerEntry

# Number of servers of a failure domain whose paths are lost, after which the paths to
# all its servers count as lost: a partition rarely affects single servers.
LOST_SERVERS_PER_DOMAIN = 2
# Time without a response, as a multiple of the mean time between responses, after which
# this host checks its paths. Responses arrive at random, and the chance of such a gap
# while all paths work is about one in 3,000.
QUIET_RESPONSES = 8.0
# Lower limit of that time, in seconds.
MIN_QUIET_S = 0.4
# Upper limit of that time, in seconds.
MAX_QUIET_S = 2.0
# Weight of the newest gap between two responses in their mean.
GAP_WEIGHT = 0.1


@dataclass(slots=True, frozen=True)
class LostPath:
    """A server that another host reaches and this one does not.

    `since` is the monotonic time at which the first attempt failed, in seconds;
    `confirmed_by` is the host that reaches the server.
    """

    entry: ServerEntry
    since: float
    confirmed_by: str


class Reachability:
    """The lost paths from this host to servers, and what shows that paths work.

    Attributes
    ----------
    version : int
        Grows with each change of `lost_domains`.
    """

    __slots__ = (
        "_heard_at",
        "_last_response_at",
        "_lost",
        "_lost_domains",
        "_mean_gap_s",
        "_unreached",
        "version",
    )

    def __init__(self) -> None:
        self._lost: dict[Incarnation, LostPath] = {}
        # When all paths to a failure domain were lost, by domain.
        self._lost_domains: dict[str, float] = {}
        self._heard_at: dict[Incarnation, float] = {}
        self._last_response_at = float("-inf")
        self._mean_gap_s = MAX_QUIET_S / QUIET_RESPONSES
        # Failure domain of each server that no host has reached, and since when, as far
        # as no server has responded since.
        self._unreached: dict[Incarnation, tuple[str, float]] = {}
        self.version = 0

    @property
    def any_lost(self) -> bool:
        """Return whether any path is lost."""
        return bool(self._lost or self._lost_domains)

    @property
    def heard_count(self) -> int:
        """Return of how many servers the time of the last response is kept."""
        return len(self._heard_at)

    @property
    def lost_domains(self) -> frozenset[str]:
        """Return the failure domains whose servers this host does not reach itself."""
        return frozenset(self._lost_domains)

    @property
    def lost_paths(self) -> list[LostPath]:
        """Return the lost paths to single servers, the oldest first."""
        return list(self._lost.values())

    def is_lost(self, entry: ServerEntry) -> bool:
        """Return whether no new connection to a server can be opened from here."""
        # Asked for each server of each choice, nearly always while no path is lost.
        if not (self._lost or self._lost_domains):
            return False
        return (
            entry.failure_domain in self._lost_domains
            or entry.incarnation in self._lost
        )

    def lost_since(self, entry: ServerEntry) -> float:
        """Return since when the path to a server is lost, infinity if it is not."""
        times = [self._lost_domains.get(entry.failure_domain, float("inf"))]
        if entry.incarnation in self._lost:
            times.append(self._lost[entry.incarnation].since)
        return min(times)

    def heard(self, entry: ServerEntry, now: float) -> None:
        """Record a response that came directly from a server."""
        self._heard_at[entry.incarnation] = now
        gap_s = min(MAX_QUIET_S, now - self._last_response_at)
        self._mean_gap_s += GAP_WEIGHT * (gap_s - self._mean_gap_s)
        self._last_response_at = now
        self._unreached.clear()

    def heard_since(self, entry: ServerEntry, since: float) -> bool:
        """Return whether a server has responded directly after a time."""
        return self._heard_at.get(entry.incarnation, float("-inf")) > since

    def is_quiet(self, oldest_pending_at: float, now: float) -> bool:
        """Return whether responses are missing for longer than usual.

        Guards against a partition in which connections hang. No attempt fails before
        its timeout, so only missing responses show the partition early.

        Parameters
        ----------
        oldest_pending_at : float
            When the oldest pending direct attempt was sent.
        now : float
            Monotonic time in seconds.
        """
        return now - max(self._last_response_at, oldest_pending_at) > self._quiet_s()

    def may_be_quiet(self, now: float) -> bool:
        """Return whether `is_quiet` can be true for any pending attempt."""
        return now - self._last_response_at > self._quiet_s()

    def _quiet_s(self) -> float:
        usual_s = QUIET_RESPONSES * self._mean_gap_s
        return min(MAX_QUIET_S, max(MIN_QUIET_S, usual_s))

    def confirm_lost(
        self,
        entry: ServerEntry,
        since: float,
        confirmed_by: str,
        known_domains: set[str],
        now: float,
    ) -> list[str]:
        """Record that another host reaches a server and this one does not.

        If servers of several failure domains are lost and responses are missing for
        longer than usual, this host is cut off from all of `known_domains`.

        Returns
        -------
        domains : list of str
            The failure domains that count as lost from now on.
        """
        self._lost.setdefault(entry.incarnation, LostPath(entry, since, confirmed_by))
        if self._is_cut_off(known_domains, now):
            return self._add_domains(known_domains, since)
        domain = entry.failure_domain
        in_domain = [p for p in self._lost.values() if p.entry.failure_domain == domain]
        enough = len(in_domain) >= LOST_SERVERS_PER_DOMAIN
        return self._add_domains({domain} if enough else set(), since)

    def note_unreached(
        self, entry: ServerEntry, since: float, known_domains: set[str], now: float
    ) -> list[str]:
        """Record that neither this host nor another one reaches a server.

        The server may be gone. But if responses are missing as well, all hosts may be
        cut off, and this one counts as cut off until it can connect to a server:
        requests would only wait for the timeouts of connections.

        Returns
        -------
        domains : list of str
            The failure domains that count as lost from now on.
        """
        self._unreached[entry.incarnation] = (entry.failure_domain, since)
        if not self._is_cut_off(known_domains, now):
            return []
        return self._add_domains(known_domains, since)

    def _is_cut_off(self, known_domains: set[str], now: float) -> bool:
        """Return whether several domains do not respond, and no other one does."""
        if not self.may_be_quiet(now):
            return False
        failed = dict(self._unreached)
        for server, path in self._lost.items():
            failed[server] = (path.entry.failure_domain, path.since)
        domains = [
            domain
            for domain, since in failed.values()
            if since >= self._last_response_at
        ]
        return len(domains) > 1 and len(set(domains)) >= min(2, len(known_domains))

    def _add_domains(self, domains: set[str], since: float) -> list[str]:
        new = sorted(domains - self._lost_domains.keys())
        for domain in new:
            self._lost_domains[domain] = since
        self.version += bool(new)
        return new

    def connected(self, entry: ServerEntry) -> bool:
        """Record that this host has opened a connection to a server.

        The path to that server works again. The other servers of its failure domain
        may be tried again too, except those whose own paths are known to be lost.

        Returns
        -------
        restored : bool
            Whether a path counted as lost.
        """
        self._unreached.clear()
        domain = entry.failure_domain
        was_lost = self._lost.pop(entry.incarnation, None) is not None
        if self._lost_domains.pop(domain, None) is not None:
            self.version += 1
            return True
        return was_lost

    def forget_gone(self, known: set[Incarnation], domains: set[str]) -> None:
        """Drop servers and failure domains that are no longer known."""
        for server in self._lost.keys() - known:
            del self._lost[server]
        for server in self._heard_at.keys() - known:
            del self._heard_at[server]
        for domain in self._lost_domains.keys() - domains:
            del self._lost_domains[domain]
            self.version += 1
