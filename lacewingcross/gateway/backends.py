"""Connections to backend servers: kept, reused, limited."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from ..core.backend_state import Incarnation, ServerEntry
from ..http1_client import HttpError
from .backend_connection import BackendConnection

# A connection to a server in touch takes two ways, at most 70 ms; an opening packet
# that is lost once is sent again after a second.
CONNECT_TIMEOUT_S = 0.6
# Idle time after which only a request that may be repeated goes on a connection.
UNREPEATABLE_IDLE_S = 2.0
REPEATABLE_IDLE_S = 60.0
# Connections to one server that this host may hold when nothing is declared.
DEFAULT_LIMIT = 30
CONNECTION_LIMIT = "connection-limit"


class Backends:
    """Idle and open connections, by the server's incarnation.

    Parameters
    ----------
    now : callable
        Monotonic clock in seconds.
    on_open : callable
        Called for each new connection.
    """

    __slots__ = ("_idle", "_now", "_on_open", "_open", "limit")

    def __init__(self, now: Callable[[], float], on_open: Callable[[], None]) -> None:
        self._now = now
        self._on_open = on_open
        self._idle: dict[Incarnation, list[BackendConnection]] = defaultdict(list)
        self._open: dict[Incarnation, int] = defaultdict(int)
        self.limit: Callable[[str], int] = lambda service: DEFAULT_LIMIT

    async def take(self, server: ServerEntry, *, repeatable: bool) -> BackendConnection:
        """Return an idle connection or open a new one.

        Failure: a server drops an idle connection in the moment we write on it; what
        was sent may have run. Only requests that may be repeated take that chance on
        connections that have been idle for longer.

        Raises
        ------
        HttpError
            With ``sent=False``.
        """
        idle = self._idle[server.incarnation]
        most_s = REPEATABLE_IDLE_S if repeatable else UNREPEATABLE_IDLE_S
        while idle:
            conn = idle.pop()
            if conn.fresh(self._now(), most_s):
                return conn
            self.drop(server, conn)
        return await self._open_new(server)

    async def open_spare(self, server: ServerEntry, settle_s: float) -> bool:
        """Open a connection ahead of need; return whether the server keeps it.

        Parameters
        ----------
        server : ServerEntry
            Where to.
        settle_s : float
            For how long it must stay open to count, in seconds.

        Raises
        ------
        HttpError
            With ``sent=False`` when none can be opened.
        """
        self._drop_lost(server)
        conn = await self._open_new(server)
        await asyncio.sleep(settle_s)
        if conn.lost:
            self.drop(server, conn)
            return False
        conn.used_at = self._now()
        self._idle[server.incarnation].append(conn)
        return True

    async def _open_new(self, server: ServerEntry) -> BackendConnection:
        if self._open[server.incarnation] >= self.limit(server.service):
            raise HttpError(CONNECTION_LIMIT, sent=False)
        self._open[server.incarnation] += 1
        self._on_open()
        try:
            return await BackendConnection.open(server.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._open[server.incarnation] -= 1
            raise

    def _drop_lost(self, server: ServerEntry) -> None:
        """Stop counting idle connections that the server has closed.

        Failure: a server ends with all connections that a host may hold to it. The host
        would take the limit for the reason that it cannot ask whether the server lives.
        """
        idle = self._idle[server.incarnation]
        for conn in [conn for conn in idle if conn.lost]:
            idle.remove(conn)
            self.drop(server, conn)

    def give_back(self, server: ServerEntry, conn: BackendConnection) -> None:
        """Keep a connection whose exchange is whole; close any other."""
        if conn.reusable():
            conn.used_at = self._now()
            self._idle[server.incarnation].append(conn)
        else:
            self.drop(server, conn)

    def put_back(self, server: ServerEntry, conn: BackendConnection) -> None:
        """Keep a connection on which nothing was sent; it stays as idle as it was."""
        conn.used_at = conn.used_at or self._now()
        if conn.lost:
            self.drop(server, conn)
        else:
            self._idle[server.incarnation].append(conn)

    def drop(self, server: ServerEntry, conn: BackendConnection) -> None:
        """Close a connection."""
        conn.close()
        self._open[server.incarnation] -= 1

    def sweep(self) -> None:
        """Close connections that have been idle for longer than they are good for."""
        now = self._now()
        for incarnation, idle in list(self._idle.items()):
            for conn in list(idle):
                if not conn.fresh(now, REPEATABLE_IDLE_S):
                    idle.remove(conn)
                    conn.close()
                    self._open[incarnation] -= 1
            if not idle:
                del self._idle[incarnation]
                if not self._open[incarnation]:
                    del self._open[incarnation]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
            idle.clear()
