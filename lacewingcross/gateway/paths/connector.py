"""Opens a connection to a server on the path that was chosen for an attempt."""

from collections.abc import Callable

from ... import logs
from ...core.backend_state import ServerEntry
from ...core.membership import HostInfo
from ...core.paths.path import Path
from ...core.paths.selection import Paths
from ...http1_client import HttpError
from ..backend_connection import REFUSED, UNREACHABLE, BackendConnection
from ..backends import Backends
from .reasons import HOST_UNREACHABLE, NO_ROOM, SILENT_SERVER, SKIP_HOST_REASONS
from .streams import IndirectConnection, IndirectStreams

Connection = BackendConnection | IndirectConnection


class Connector:
    """Connections to servers, directly and through other hosts.

    Parameters
    ----------
    backends : Backends
        Direct connections.
    streams : IndirectStreams
        Streams to other hosts.
    paths : Paths
        Chooses the hosts in between.
    now : callable
        Monotonic clock in seconds.
    """

    __slots__ = ("_backends", "_hosts", "_now", "_paths", "_streams")

    def __init__(
        self,
        backends: Backends,
        streams: IndirectStreams,
        paths: Paths,
        now: Callable[[], float],
    ) -> None:
        self._backends = backends
        self._now = now
        self._paths = paths
        self._streams = streams
        # The hosts of the streams that carry an exchange.
        self._hosts: dict[IndirectConnection, HostInfo] = {}

    async def acquire(
        self,
        server: ServerEntry,
        path: Path,
        regions: frozenset[str],
        *,
        repeatable: bool,
    ) -> Connection:
        """Return a connection for one exchange with a server.

        Parameters
        ----------
        server : ServerEntry
            The server.
        path : Path
            How to reach it.
        regions : frozenset of str
            Regions that may see the request; empty for all.
        repeatable : bool
            Whether the request may run twice.

        Raises
        ------
        HttpError
            With ``sent=False`` when no connection can be opened.
        """
        if path is Path.DIRECT:
            return await self._backends.acquire(server, repeatable=repeatable)
        since = self._paths.reachability.lost_since(server)
        conn = self._backends.take_used_since(server, since, repeatable=repeatable)
        if conn is not None:
            return conn
        return await self._acquire_indirect(server, regions, repeatable=repeatable)

    async def _acquire_indirect(
        self, server: ServerEntry, regions: frozenset[str], *, repeatable: bool
    ) -> IndirectConnection:
        intermediaries = self._paths.intermediaries
        info = intermediaries.choose(server.failure_domain, regions, self._now())
        if info is None:
            raise HttpError(HOST_UNREACHABLE, sent=False)
        intermediaries.began(info.host_id)
        try:
            conn = await self._streams.acquire(info, server, repeatable=repeatable)
        except BaseException as exc:
            intermediaries.ended(info.host_id)
            if isinstance(exc, HttpError):
                intermediaries.unreachable(info.host_id, self._now())
            raise
        self._hosts[conn] = info
        return conn

    def host_of(self, conn: Connection | None) -> str:
        """Return the host that carries the exchange, empty on a direct connection."""
        info = self._hosts.get(conn)
        return info.host_id if info else ""

    def failed(self, conn: Connection | None, reason: str) -> None:
        """Record why an exchange failed, if it went through another host."""
        info = self._hosts.get(conn)
        if info is None:
            return
        intermediaries = self._paths.intermediaries
        is_silent = reason == SILENT_SERVER and not intermediaries.heard_lately(
            info.host_id, self._now()
        )
        if reason in SKIP_HOST_REASONS or is_silent:
            intermediaries.unreachable(info.host_id, self._now())
        elif reason == NO_ROOM:
            intermediaries.busy(info.host_id, self._now())
        elif reason in (REFUSED, UNREACHABLE):
            intermediaries.could_not_connect(info.host_id, self._now())
        else:
            return
        logs.event("path-host-skipped", host_id=info.host_id, why=reason)

    def release(self, server: ServerEntry, conn: Connection) -> None:
        """Keep a connection whose exchange is complete, and close it otherwise."""
        if isinstance(conn, IndirectConnection):
            self._release_stream(conn)
        else:
            self._backends.release(server, conn)

    def release_unused(self, server: ServerEntry, conn: Connection) -> None:
        """Keep a connection on which nothing was sent."""
        if isinstance(conn, IndirectConnection):
            self._release_stream(conn)
        else:
            self._backends.release_unused(server, conn)

    def discard(self, server: ServerEntry, conn: Connection) -> None:
        """Close a connection, but keep a stream that can carry another exchange."""
        if isinstance(conn, IndirectConnection):
            self._release_stream(conn)
        else:
            self._backends.discard(server, conn)

    def _release_stream(self, conn: IndirectConnection) -> None:
        info = self._hosts.pop(conn)
        self._paths.intermediaries.ended(info.host_id)
        self._streams.release(info, conn)
