"""HTTP/1.1 listener: limits connections, runs handlers and closes stalled callers."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from . import logs
from .http1_connection import (
    HEAD_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_HEAD_BYTES,
    FastPath,
    ServerConnection,
)
from .http1_exchange import CallerGoneError, Exchange

SWEEP_INTERVAL_S = 1.0


Handler = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """A listener and its connections.

    Parameters
    ----------
    handler : callable
        Coroutine function called with each `Exchange`.
    now : callable
        Monotonic clock in seconds.
    max_connections : int, default=4000
        Limit on open connections; further ones are refused with status 503.
    max_connections_each : int, default=4000
        Limit on the open connections of one client address; further ones are refused in
        the same way.
    fast_path : FastPath, optional
        Responses to byte-identical requests.
    on_bad_input : callable, optional
        Called with the reason code of each refused connection, of each invalid request
        and of each caller that is disconnected because it stalls.

    Attributes
    ----------
    closing : bool
        The listener accepts no more connections.
    max_head : int
        Limit on the bytes of a request head.
    """

    def __init__(
        self,
        handler: Handler,
        now: Callable[[], float],
        *,
        max_connections: int = 4000,
        max_connections_each: int = 4000,
        fast_path: FastPath | None = None,
        on_bad_input: Callable[[str], None] | None = None,
    ) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self._max_per_client = max_connections_each
        self._by_client: Counter[str] = Counter()
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self.now = now
        self.fast_path = fast_path
        self.on_bad_input = on_bad_input or (lambda reason: None)
        self.closing = False
        self.max_head = MAX_HEAD_BYTES
        self.head_timeout_s = HEAD_TIMEOUT_S
        self.idle_timeout_s = IDLE_TIMEOUT_S

    async def start(self, host: str, port: int, ssl: object = None) -> int:
        """Start listening; return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            ssl=ssl,
            backlog=1024,
            ssl_handshake_timeout=HEAD_TIMEOUT_S if ssl else None,
        )
        self._sweeper = loop.create_task(self._sweep())
        return self._server.sockets[0].getsockname()[1]

    def admit(self, conn: ServerConnection, client: str) -> str:
        """Count a connection; return the reason to refuse it, or an empty string.

        A refused connection counts until it is unregistered.
        """
        self._connections.add(conn)
        self._by_client[client] += 1
        if len(self._connections) > self._max_connections:
            return "too-many-connections"
        if self._by_client[client] > self._max_per_client:
            return "too-many-from-caller"
        return ""

    def unregister(self, conn: ServerConnection, client: str) -> None:
        """Stop counting a connection."""
        self._connections.discard(conn)
        self._by_client[client] -= 1
        if self._by_client[client] <= 0:
            del self._by_client[client]

    @property
    def listening(self) -> bool:
        """Return whether new connections are accepted."""
        return self._server is not None and not self.closing

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def run(self, exchange: Exchange) -> None:
        """Run the handler; an error in it aborts only this connection."""
        try:
            await self._handler(exchange)
        except CallerGoneError:
            pass
        except Exception as exc:
            exchange.abort()
            logs.event("request-failed", "ERROR", error=repr(exc))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.now()
            for conn in list(self._connections):
                conn.sweep(now)

    async def stop_listening(self) -> None:
        """Accept no more connections and close the idle ones.

        Any other connection closes when its current request is answered.
        """
        self.closing = True
        if self._server is not None:
            self._server.close()
        for conn in list(self._connections):
            conn.close_if_idle()

    async def close(self) -> None:
        """Stop listening and abort all open connections."""
        await self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn in list(self._connections):
            conn.abort()
