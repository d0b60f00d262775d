"""Backend servers that announced in a response that they are shutting down.

An announcement applies from the first such response on and for good: the store may
receive the announcement many seconds later, and an older entry of the server must not
bring the server back. The announcement does not apply to another run of the server.
"""

from collections import OrderedDict
from collections.abc import Iterator

from ..backend_state import Incarnation

# Number of announcements that are kept; the oldest are dropped first. They are not
# dropped by age: after a long outage, the store may still list servers that announced
# their shutdown before it.
MAX_DEPARTURES_KEPT = 4096


class Departures:
    """Runs of servers that announced that they are shutting down.

    Attributes
    ----------
    version : int
        Grows whenever this host itself receives the first announcement of a run.
    skipped : int
        How often `may_send` did not allow a request.
    """

    __slots__ = ("_leaving", "skipped", "version")

    def __init__(self) -> None:
        # Whether this host received the announcement itself, by the run of the server.
        self._leaving: OrderedDict[Incarnation, bool] = OrderedDict()
        self.skipped = 0
        self.version = 0

    def observe(self, server: Incarnation) -> bool:
        """Record an announcement to this host; return whether it was unknown."""
        known = self._leaving.get(server)
        if known:
            return False
        self.version += 1
        self._keep(server, own=True)
        return known is None

    def learn_from_peer(self, server: Incarnation) -> bool:
        """Record an announcement to another host; return whether it was unknown."""
        if server in self._leaving:
            return False
        self._keep(server, own=False)
        return True

    def _keep(self, server: Incarnation, *, own: bool) -> None:
        self._leaving[server] = own
        if len(self._leaving) > MAX_DEPARTURES_KEPT:
            self._leaving.popitem(last=False)

    def own_observations(self) -> Iterator[Incarnation]:
        """Yield the servers that announced their shutdown to this host."""
        return (server for server, own in self._leaving.items() if own)

    def __iter__(self) -> Iterator[Incarnation]:
        return iter(self._leaving)

    def leaves(self, server: Incarnation) -> bool:
        """Return whether a run of a server has announced its shutdown."""
        return server in self._leaving

    def may_send(self, server: Incarnation) -> bool:
        """Return whether a request may go to a server; count in `skipped` if not."""
        leaves = server in self._leaving
        self.skipped += leaves
        return not leaves
