"""Finds out why a server cannot be reached: it has crashed, or a path is lost."""

from ...core.backend_state import Server, ServerEntry
from ...core.paths.findings import Finding
from ..backend_connection import REFUSED, UNREACHABLE
from ..context import Gateway
from ..crashes import probe

# Maximum number of other servers that are tried to see whether this host reaches any.
MAX_CONTROLS = 4


class PathChecks:
    """Checks servers that refuse this host's connections.

    Guards against a host that alone is cut off from servers which answer all others.
    Its refused connections look like crashes, and reported as such they would make all
    hosts skip the servers. So a host believes its own refusals only while it reaches
    another server.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    """

    __slots__ = ("_connected_at", "_gateway")

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        # The server to which this host last opened a connection, and when.
        self._connected_at: tuple[str, float] = ("", float("-inf"))

    def note_connected(self, entry: ServerEntry) -> None:
        """Record that this host has opened a connection to a server."""
        self._connected_at = (entry.server_id, self._gateway.now())

    async def look(self, entry: ServerEntry) -> Finding:
        """Return what this host itself finds of a server."""
        if self._gateway.crashes.ledger.has_crashed(entry.incarnation):
            return Finding.REFUSED
        began_at = self._gateway.now()
        reason = await probe(self._gateway.backends, entry)
        if not reason:
            return Finding.REACHED
        if reason == REFUSED:
            is_sound = await self._reaches_another(entry, began_at)
            return Finding.REFUSED if is_sound else Finding.UNSURE
        return Finding.SILENT if reason == UNREACHABLE else Finding.UNSURE

    async def _reaches_another(self, entry: ServerEntry, since: float) -> bool:
        """Return whether this host can connect to a server other than one that refuses.

        A connection that was opened after `since` shows it. True also if no other
        server is known: nothing then speaks against a crash.
        """
        server_id, connected_at = self._connected_at
        if connected_at > since and server_id != entry.server_id:
            return True
        controls = self._controls(entry)
        for server in controls:
            if not await probe(self._gateway.backends, server.entry):
                return True
        return not controls

    def _controls(self, entry: ServerEntry) -> list[Server]:
        """Return other servers that should accept connections, the nearest first."""
        placement = self._gateway.steering.placement
        ledger = self._gateway.crashes.ledger
        others = [
            server
            for server in placement.known.servers.values()
            if server.entry.server_id != entry.server_id
            and not ledger.has_crashed(server.entry.incarnation)
        ]
        others.sort(key=placement.expectations.network_s)
        return others[:MAX_CONTROLS]
