"""Backend servers that have said in their answers that they leave.

The word of a server counts from its first answer and for good: the store may hear of it
many seconds later, and an older entry of it must not bring the server back. Another run
of the server is another one.
"""

from collections import OrderedDict
from collections.abc import Iterator

from .backend_state import Incarnation

# Words that are kept; the oldest go first. A store that is away for long brings entries
# back when it returns.
KEPT = 4096


class Departures:
    """Runs of servers that leave by their own word.

    Attributes
    ----------
    version : int
        Grows whenever this host has heard something new itself.
    passed_over : int
        How often a server was passed over.
    """

    __slots__ = ("_leaving", "skipped", "version")

    def __init__(self) -> None:
        # Whether this host has heard it itself, by the run of the server.
        self._leaving: OrderedDict[Incarnation, bool] = OrderedDict()
        self.skipped = 0
        self.version = 0

    def observe(self, server: Incarnation) -> bool:
        """Note that a server has said so to this host; return whether that is new."""
        known = self._leaving.get(server)
        if known:
            return False
        self.version += 1
        self._keep(server, own=True)
        return known is None

    def learn_from_peer(self, server: Incarnation) -> bool:
        """Note that another host has heard it; return whether that is new."""
        if server in self._leaving:
            return False
        self._keep(server, own=False)
        return True

    def _keep(self, server: Incarnation, *, own: bool) -> None:
        self._leaving[server] = own
        if len(self._leaving) > KEPT:
            self._leaving.popitem(last=False)

    def own_observations(self) -> Iterator[Incarnation]:
        """Yield the servers that have said so to this host."""
        return (server for server, own in self._leaving.items() if own)

    def __iter__(self) -> Iterator[Incarnation]:
        return iter(self._leaving)

    def leaves(self, server: Incarnation) -> bool:
        """Tell whether a server leaves."""
        return server in self._leaving

    def may_send(self, server: Incarnation) -> bool:
        """Tell whether a request may go to a server."""
        leaves = server in self._leaving
        self.skipped += leaves
        return not leaves
