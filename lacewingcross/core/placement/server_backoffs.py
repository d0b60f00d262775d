"""Backend servers that rejected a request and requested a back-off (Retry-After).

A back-off applies between one server and one host; no other host is informed. After a
back-off one request goes first, so that a server that is still overloaded is not
flooded.
"""

from dataclasses import dataclass

from ..backend_state import Incarnation

# Upper limit of a back-off, in seconds: a wrong value must not disable a server for
# good. Back-offs that ended longer ago than this are dropped.
MAX_BACKOFF_S = 60.0
# After a back-off, a second request may follow the first one after this time, in
# seconds, if the first one has had no response.
TRIAL_TIMEOUT_S = 1.0


@dataclass(slots=True)
class ServerBackoff:
    """The back-off of one run of a server.

    `until` is when the back-off ends, `tried_at` when this host last sent the server a
    request.
    """

    until: float
    tried_at: float = float("-inf")


class ServerBackoffs:
    """Servers that have requested a back-off from this host.

    Attributes
    ----------
    skipped : int
        How often `may_send` did not allow a request.
    """

    __slots__ = ("_by_server", "skipped")

    def __init__(self) -> None:
        self._by_server: dict[Incarnation, ServerBackoff] = {}
        self.skipped = 0

    def observe(self, server: Incarnation, backoff_s: float, now: float) -> bool:
        """Process a response of a server; return whether a back-off begins with it.

        Parameters
        ----------
        server : Incarnation
            Run of the server.
        backoff_s : float
            Requested back-off in seconds; 0 for a response without one.
        now : float
            Monotonic time in seconds.
        """
        known = self._by_server.get(server)
        if backoff_s <= 0.0:
            if known is not None and now >= known.until:
                del self._by_server[server]
            return False
        until = now + min(MAX_BACKOFF_S, backoff_s)
        if known is not None and now < known.until:
            known.until = max(known.until, until)
            return False
        self._by_server[server] = ServerBackoff(until)
        return True

    def may_send(self, server: Incarnation, now: float) -> bool:
        """Return whether a request may go to a server; count in `skipped` if not."""
        wait_s = self.wait_s(server, now)
        self.skipped += wait_s > 0.0
        return wait_s <= 0.0

    def sent(self, server: Incarnation, now: float) -> None:
        """Record that a request is sent."""
        known = self._by_server.get(server)
        if known is not None:
            known.tried_at = now

    def wait_s(self, server: Incarnation, now: float) -> float:
        """Return after how many seconds a server allows a request; 0 if it does now.

        After the first request after a back-off, this is the time until
        `TRIAL_TIMEOUT_S` has passed; a response ends it earlier, see `observe`.
        """
        known = self._by_server.get(server)
        if known is None:
            return 0.0
        trial_ends_at = (
            known.tried_at + TRIAL_TIMEOUT_S if known.tried_at >= known.until else 0.0
        )
        return max(0.0, known.until - now, trial_ends_at - now)

    def in_force(self, now: float) -> dict[str, float]:
        """Return the time that is left of each back-off, in seconds, by server id."""
        return {
            server[0]: backoff.until - now
            for server, backoff in self._by_server.items()
            if backoff.until > now
        }

    def forget_old(self, now: float) -> None:
        """Drop back-offs that ended more than `MAX_BACKOFF_S` ago.

        A response without a back-off that arrives after the end drops it earlier, see
        `observe`.
        """
        old = [
            server
            for server, backoff in self._by_server.items()
            if now - backoff.until > MAX_BACKOFF_S
        ]
        for server in old:
            del self._by_server[server]
