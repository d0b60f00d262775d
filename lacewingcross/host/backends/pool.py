"""Connections to backend servers, within each server's connection limit."""

import ssl as ssl_module
from collections import defaultdict
from collections.abc import Callable

from ...http1_client import ClientConnection, HttpError

MAX_IDLE_S = 30.0
MAX_IDLE_UNREPEATABLE_S = 2.0
DEFAULT_MAX_CONNECTIONS = 30
CONNECTION_LIMIT = "connection-limit"


class BackendPool:
    """Idle and open connections for each backend server's address.

    Parameters
    ----------
    now : callable
        Monotonic clock in seconds.
    ssl : ssl.SSLContext, optional
        For TLS to backend servers.
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
        """Return an idle connection or open a new one.

        Failure: a server closes a kept connection in the moment we write on it. A
        repeatable request can be tried again; any other would end as unknown. So
        one that may not be repeated only gets a connection used moments ago.

        Raises
        ------
        HttpError
            With ``sent=False``.
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
        """Keep a connection whose exchange is whole; close any other."""
        if conn.reusable():
            conn.used_at = self._now()
            self._idle[address].append(conn)
        else:
            self.drop(address, conn)

    def drop(self, address: str, conn: ClientConnection) -> None:
        """Close a connection."""
        conn.close()
        self._open[address] -= 1

    def sweep(self) -> None:
        """Close connections that have been idle for long."""
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
