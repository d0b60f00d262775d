"""A pool of connections to backend servers, with a limit for each server."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable

from ..core.backend_state import Incarnation, ServerEntry
from ..http1_client import HttpError
from .backend_connection import BackendConnection

# Opening a connection to a reachable server takes one network round trip, at most
# 70 ms. A lost opening packet is sent again only after a second, which is too late.
CONNECT_TIMEOUT_S = 0.6
# Idle time after which a connection is only used for requests that may be repeated, in
# seconds.
UNREPEATABLE_IDLE_S = 2.0
# Idle time after which a connection is not used at all, in seconds.
REPEATABLE_IDLE_S = 60.0
# Maximum connections of this host to one server while `Backends.connection_limit` has
# its initial value.
DEFAULT_CONNECTION_LIMIT = 30
# Reason why no connection could be opened: this host has as many as it may have.
CONNECTION_LIMIT = "connection-limit"

Connect = Callable[[str, float], Awaitable[BackendConnection]]


class Backends:
    """Counts and pools connections, by the server's incarnation.

    Parameters
    ----------
    now : callable
        Monotonic clock in seconds.
    on_open : callable
        Called before each attempt to open a connection.

    Attributes
    ----------
    connection_limit : callable
        Returns how many connections this host may have to one server of a service.
    on_connected : callable
        Called with the entry of each server to which a connection was opened.
    connect : callable
        Coroutine function that opens a connection to an address within a timeout in
        seconds.
    """

    __slots__ = (
        "_idle",
        "_now",
        "_on_open",
        "_open_counts",
        "connect",
        "connection_limit",
        "on_connected",
    )

    def __init__(self, now: Callable[[], float], on_open: Callable[[], None]) -> None:
        self._now = now
        self._on_open = on_open
        self._idle: dict[Incarnation, list[BackendConnection]] = defaultdict(list)
        self._open_counts: dict[Incarnation, int] = defaultdict(int)
        self.connection_limit: Callable[[str], int] = lambda service: (
            DEFAULT_CONNECTION_LIMIT
        )
        self.connect: Connect = BackendConnection.open
        self.on_connected: Callable[[ServerEntry], None] = lambda server: None

    async def acquire(
        self, server: ServerEntry, *, repeatable: bool
    ) -> BackendConnection:
        """Return an idle connection or open a new one.

        Guards against a server that closes an idle connection just as a request is
        written on it, so that it is unknown whether the request has run. Only requests
        that may be repeated use connections idle for `UNREPEATABLE_IDLE_S` or longer.

        Raises
        ------
        HttpError
            With ``sent=False`` when the limit on connections to the server is reached,
            or when the server does not accept one.
        """
        idle = self._idle[server.incarnation]
        max_idle_s = REPEATABLE_IDLE_S if repeatable else UNREPEATABLE_IDLE_S
        while idle:
            conn = idle.pop()
            if conn.fresh(self._now(), max_idle_s):
                return conn
            self.discard(server, conn)
        return await self._open_new(server)

    async def open_spare(self, server: ServerEntry, settle_s: float) -> bool:
        """Open a connection for later use; return whether the server keeps it open.

        Parameters
        ----------
        server : ServerEntry
            The server to connect to.
        settle_s : float
            How long the connection must stay open to count as kept, in seconds.

        Raises
        ------
        HttpError
            With ``sent=False`` when no connection can be opened.
        """
        self._drop_lost(server)
        conn = await self._open_new(server)
        await asyncio.sleep(settle_s)
        if conn.lost:
            self.discard(server, conn)
            return False
        conn.used_at = self._now()
        self._idle[server.incarnation].append(conn)
        return True

    async def _open_new(self, server: ServerEntry) -> BackendConnection:
        if self._open_counts[server.incarnation] >= self.connection_limit(
            server.service
        ):
            raise HttpError(CONNECTION_LIMIT, sent=False)
        self._open_counts[server.incarnation] += 1
        self._on_open()
        try:
            conn = await self.connect(server.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._open_counts[server.incarnation] -= 1
            raise
        self.on_connected(server)
        return conn

    def has_open(self, server: Incarnation) -> bool:
        """Return whether a connection to a run of a server is open."""
        lost_count = sum(bool(conn.lost) for conn in self._idle.get(server, ()))
        return self._open_counts.get(server, 0) > lost_count

    def take_used_since(
        self, server: ServerEntry, since: float, *, repeatable: bool
    ) -> BackendConnection | None:
        """Return an idle connection with a response after a time, None for none.

        Parameters
        ----------
        server : ServerEntry
            The server.
        since : float
            Monotonic time in seconds.
        repeatable : bool
            Whether the request may run twice.
        """
        max_idle_s = REPEATABLE_IDLE_S if repeatable else UNREPEATABLE_IDLE_S
        idle = self._idle.get(server.incarnation, [])
        for conn in idle:
            if conn.used_at > since and conn.fresh(self._now(), max_idle_s):
                idle.remove(conn)
                return conn
        return None

    def drop_idle_before(self, server: ServerEntry, since: float) -> None:
        """Close the idle connections that have not been used after a time."""
        self._drop_idle(server, lambda conn: conn.used_at <= since)

    def _drop_lost(self, server: ServerEntry) -> None:
        """Stop counting idle connections that the server has closed.

        Guards against a server that crashes while this host holds as many connections
        to it as the limit allows. If closed connections still counted, the host could
        open no new one to check whether the server is alive, and would see only its own
        limit.
        """
        self._drop_idle(server, lambda conn: bool(conn.lost))

    def _drop_idle(
        self, server: ServerEntry, is_dropped: Callable[[BackendConnection], bool]
    ) -> None:
        idle = self._idle.get(server.incarnation, [])
        for conn in [conn for conn in idle if is_dropped(conn)]:
            idle.remove(conn)
            self.discard(server, conn)

    def release(self, server: ServerEntry, conn: BackendConnection) -> None:
        """Keep a connection whose exchange is complete, and close it otherwise."""
        if conn.prepare_for_reuse():
            conn.used_at = self._now()
            self._idle[server.incarnation].append(conn)
        else:
            self.discard(server, conn)

    def release_unused(self, server: ServerEntry, conn: BackendConnection) -> None:
        """Keep a connection on which nothing was sent, or close it if it is lost.

        The idle time of a connection that was used before runs on.
        """
        conn.used_at = conn.used_at or self._now()
        if conn.lost:
            self.discard(server, conn)
        else:
            self._idle[server.incarnation].append(conn)

    def discard(self, server: ServerEntry, conn: BackendConnection) -> None:
        """Close a connection and stop counting it."""
        conn.close()
        self._open_counts[server.incarnation] -= 1

    def sweep(self) -> None:
        """Close connections that are lost, or were idle for too long to be reused."""
        now = self._now()
        for incarnation, idle in list(self._idle.items()):
            for conn in list(idle):
                if not conn.fresh(now, REPEATABLE_IDLE_S):
                    idle.remove(conn)
                    conn.close()
                    self._open_counts[incarnation] -= 1
            if not idle:
                del self._idle[incarnation]
                if not self._open_counts[incarnation]:
                    del self._open_counts[incarnation]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
            idle.clear()
