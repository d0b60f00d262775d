"""Connections to backend servers, within the connection limit of each server."""

import ssl as ssl_module
from collections import defaultdict
from collections.abc import Callable

from ...http1_client import ClientConnection, HttpError

# Longest idle time of a connection that is used again: for a repeatable request, and
# for any other request.
MAX_IDLE_S = 30.0
MAX_IDLE_UNREPEATABLE_S = 2.0
DEFAULT_MAX_CONNECTIONS = 30
CONNECTION_LIMIT = "connection-limit"


class BackendPool:
    """Open connections, idle and in use, for each backend server's address.

    Parameters
    ----------
    now : callable
        Monotonic clock in seconds.
    ssl : ssl.SSLContext, optional
        For TLS to backend servers.

    Attributes
    ----------
    limits : dict of str to int
        Maximum number of connections that this host opens to each backend server's
        address; an address without an entry has `DEFAULT_MAX_CONNECTIONS`.
    """

    __slots__ = ("_idle", "_now", "_open", "_ssl", "limits")

    def __init__(
        self, now: Callable[[], float], ssl: ssl_module.SSLContext | None = None
    ) -> None:
        self._now = now
        self._ssl = ssl
        self._idle: dict[str, list[ClientConnection]] = defaultdict(list)
        self._open: dict[str, int] = defaultdict(int)
        self.limits: dict[str, int] = {}

    async def take(self, address: str, *, repeatable: bool) -> ClientConnection:
        """Return an idle connection, or open a new one.

        Guards against a server that closes an idle connection at the moment when this
        host writes a request to it. A repeatable request can be tried again; the
        outcome of any other request would be unknown. A request that is not repeatable
        therefore gets only a connection that was used in the last
        `MAX_IDLE_UNREPEATABLE_S` seconds, which a server is unlikely to close, or a new
        one.

        Parameters
        ----------
        address : str
            Address of the backend server.
        repeatable : bool
            Whether the request may run twice.

        Raises
        ------
        HttpError
            With ``sent=False``; with reason `CONNECTION_LIMIT` if this host already
            has as many connections to the server as `limits` allows, all in use.
        """
        idle = self._idle[address]
        min_used_at = self._now() - (
            MAX_IDLE_S if repeatable else MAX_IDLE_UNREPEATABLE_S
        )
        while idle:
            conn = idle.pop()
            if not conn.stale() and conn.used_at >= min_used_at:
                return conn
            self.drop(address, conn)
        if self._open[address] >= self.limits.get(address, DEFAULT_MAX_CONNECTIONS):
            raise HttpError(CONNECTION_LIMIT, sent=False)
        self._open[address] += 1
        try:
            return await ClientConnection.open(address, self._ssl)
        except BaseException:
            self._open[address] -= 1
            raise

    def give_back(self, address: str, conn: ClientConnection) -> None:
        """Keep a connection whose exchange is complete, and close any other."""
        if conn.prepare_for_reuse():
            conn.used_at = self._now()
            self._idle[address].append(conn)
        else:
            self.drop(address, conn)

    def drop(self, address: str, conn: ClientConnection) -> None:
        """Close a connection and stop counting it against the limit."""
        conn.close()
        self._open[address] -= 1

    def sweep(self) -> None:
        """Close connections that have been idle for longer than `MAX_IDLE_S`."""
        min_used_at = self._now() - MAX_IDLE_S
        for address, idle in self._idle.items():
            for conn in [conn for conn in idle if conn.used_at < min_used_at]:
                idle.remove(conn)
                self.drop(address, conn)

    def close(self) -> None:
        """Close all idle connections."""
        for address, idle in self._idle.items():
            for conn in idle:
                self.drop(address, conn)
            idle.clear()
