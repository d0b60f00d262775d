"""Backend servers that have turned a request away and asked this host for rest.

Rest is between one server and one host: nobody else is told. After it one request goes
first, so that a server which is still in need gets no flood.
"""

from dataclasses import dataclass

from .backend_state import Incarnation

# A longer rest is cut to this, in seconds: a wrong figure must not cost a server.
REST_MOST_S = 60.0
# The first request after a rest is waited for so long, in seconds.
TRIAL_S = 1.0


@dataclass(slots=True)
class ServerBackoff:
    """The rest of one server: when it ends, and when it was tried after that."""

    until: float
    tried_at: float = float("-inf")


class ServerBackoffs:
    """Servers that rest from this host.

    Attributes
    ----------
    passed_over : int
        How often a server was passed over.
    """

    __slots__ = ("_by_server", "skipped")

    def __init__(self) -> None:
        self._by_server: dict[Incarnation, ServerBackoff] = {}
        self.skipped = 0

    def observe(self, server: Incarnation, rest_s: float, now: float) -> bool:
        """Take in an answer of a server; return whether it rests from now on.

        Parameters
        ----------
        server : Incarnation
            Which run of it.
        rest_s : float
            For how long it wants nothing, in seconds; 0 for an answer without it.
        now : float
            Monotonic time in seconds.
        """
        known = self._by_server.get(server)
        if rest_s <= 0.0:
            if known is not None and now >= known.until:
                del self._by_server[server]
            return False
        until = now + min(REST_MOST_S, rest_s)
        if known is not None and now < known.until:
            known.until = max(known.until, until)
            return False
        self._by_server[server] = ServerBackoff(until)
        return True

    def may_send(self, server: Incarnation, now: float) -> bool:
        """Tell whether a request may go to a server."""
        wait_s = self.wait_s(server, now)
        self.skipped += wait_s > 0.0
        return wait_s <= 0.0

    def sent(self, server: Incarnation, now: float) -> None:
        """Note that a request is sent."""
        known = self._by_server.get(server)
        if known is not None:
            known.tried_at = now

    def wait_s(self, server: Incarnation, now: float) -> float:
        """Return when a server allows a request, in seconds; 0 for now."""
        known = self._by_server.get(server)
        if known is None:
            return 0.0
        trial_over = known.tried_at + TRIAL_S if known.tried_at >= known.until else 0.0
        return max(0.0, known.until - now, trial_over - now)

    def in_force(self, now: float) -> dict[str, float]:
        """Return the ids of servers that rest, and for how long, in seconds."""
        return {
            server[0]: rest.until - now
            for server, rest in self._by_server.items()
            if rest.until > now
        }

    def forget_old(self, now: float) -> None:
        """Drop rests that ended long ago without a request since."""
        old = [
            server
            for server, rest in self._by_server.items()
            if now - rest.until > REST_MOST_S
        ]
        for server in old:
            del self._by_server[server]
