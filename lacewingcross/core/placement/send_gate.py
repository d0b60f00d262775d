"""Checks whether a backend server itself allows one more request.

Each attempt passes this check: first attempts, retries, attempts after a server was
skipped, attempts of quarantined requests. The check is made when a server is chosen and
again before the first byte is sent.
"""

from ..backend_state import Incarnation
from .departures import Departures
from .rate_limits import RateLimits
from .server_backoffs import ServerBackoffs


class SendGate:
    """All limits that servers request in their responses, combined in one check.

    Parameters
    ----------
    host_id : str
        Id of this host.
    """

    __slots__ = ("backoffs", "departures", "rates")

    def __init__(self, host_id: str) -> None:
        self.departures = Departures()
        self.rates = RateLimits(host_id)
        self.backoffs = ServerBackoffs()

    @property
    def version(self) -> int:
        """Return a number that grows whenever there is an update for other hosts."""
        return self.departures.version + self.rates.version

    def may_send(self, server: Incarnation, now: float, *, urgent: bool) -> bool:
        """Return whether a request may go to a run of a server.

        A request that may not go is counted as skipped by the first limit that is in
        its way.
        """
        if not self.departures.may_send(server):
            return False
        if not self.backoffs.may_send(server, now):
            return False
        return self.rates.may_send(server, now, urgent=urgent)

    def sent(self, server: Incarnation, now: float) -> None:
        """Count a request whose first byte is sent."""
        self.rates.sent(server, now)
        self.backoffs.sent(server, now)

    def may_carry(self, server: Incarnation, now: float) -> bool:
        """Return whether a request of another host may go to a server from this one.

        That host has counted the request against its own share of the rate limit. The
        server's back-off and its departure apply to the host that sends.
        """
        may_send = self.departures.may_send(server)
        return may_send and self.backoffs.may_send(server, now)

    def carried(self, server: Incarnation, now: float) -> None:
        """Record a request of another host whose first byte is sent."""
        self.backoffs.sent(server, now)

    def wait_s(self, server: Incarnation, now: float) -> float:
        """Return after how many seconds the server allows a request.

        Infinity if the end is not known, as for a server that is shutting down.
        """
        if self.departures.leaves(server):
            return float("inf")
        return max(self.backoffs.wait_s(server, now), self.rates.wait_s(server, now))
