"""Asks whether a backend server itself allows one more request.

In the way of each request to a server: first tries, retries, tries after a server was
left alone, tries of quarantined requests. It is asked when a server is chosen and again
before the first byte is sent.
"""

from .backend_state import Incarnation
from .departures import Departures
from .rate_limits import RateLimits
from .server_backoffs import ServerBackoffs


class SendGate:
    """All that servers ask for in their answers, as one question.

    Parameters
    ----------
    host_id : str
        This host.
    """

    __slots__ = ("backoffs", "departures", "rates")

    def __init__(self, host_id: str) -> None:
        self.departures = Departures()
        self.rates = RateLimits(host_id)
        self.backoffs = ServerBackoffs()

    @property
    def version(self) -> int:
        """Return what grows whenever other hosts have to be told something."""
        return self.departures.version + self.rates.version

    def may_send(self, server: Incarnation, now: float, *, urgent: bool) -> bool:
        """Tell whether a request may go to a run of a server."""
        if not self.departures.may_send(server):
            return False
        if not self.backoffs.may_send(server, now):
            return False
        return self.rates.may_send(server, now, urgent=urgent)

    def sent(self, server: Incarnation, now: float) -> None:
        """Count a request of which the first byte is sent."""
        self.rates.sent(server, now)
        self.backoffs.sent(server, now)

    def wait_s(self, server: Incarnation, now: float) -> float:
        """Return when the server will allow a request, in seconds.

        Infinity if that is not known.
        """
        if self.departures.leaves(server):
            return float("inf")
        return max(self.backoffs.wait_s(server, now), self.rates.wait_s(server, now))
