"""Connections on which this host sends requests through other entry hosts."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

import h11

from ...checks import split_address
from ...core import messages as msg
from ...core.backend_state import ServerEntry
from ...core.membership import HostInfo
from ...errors import FrameError
from ...http1_client import HttpError, ResponseHead
from ...sockets import open_in_time, set_silence_timeout
from ...wire import encode, read_message
from .reasons import BAD_STREAM, HOST_UNREACHABLE

# Timeout of opening a stream, in seconds. A reachable host accepts a connection within
# one network round trip, at most 70 ms.
CONNECT_TIMEOUT_S = 0.3
# Idle time after which a stream is closed, in seconds.
IDLE_S = 5.0
# Maximum number of idle streams to one host.
MAX_IDLE_PER_HOST = 32


class IndirectConnection:
    """A stream to another host, for one exchange with a server at a time.

    It has the methods of a `BackendConnection` that an attempt uses, so that an attempt
    is the same on both paths.

    Attributes
    ----------
    host_id : str
        The other host.
    lost : str
        Stable code of why the connection between the other host and the server broke
        during the exchange; empty if it did not, or if only this stream broke.
    used_at : float
        Monotonic time of the end of the last exchange, in seconds.
    """

    __slots__ = (
        "_complete",
        "_reader",
        "_repeatable",
        "_server",
        "_writer",
        "host_id",
        "lost",
        "used_at",
    )

    def __init__(
        self,
        host_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._server: ServerEntry | None = None
        self._repeatable = False
        # Whether the response of the last exchange was read to its end.
        self._complete = False
        self.host_id = host_id
        self.lost = ""
        self.used_at = 0.0

    @classmethod
    async def open(cls, info: HostInfo, hello: msg.Hello) -> "IndirectConnection":
        """Connect to a host; raise `HttpError` with ``sent=False`` if that fails."""
        host, port = split_address(info.peer)
        try:
            opening = asyncio.open_connection(host, port)
            reader, writer = await open_in_time(opening, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as exc:
            raise HttpError(HOST_UNREACHABLE, sent=False, detail=repr(exc)) from exc
        set_silence_timeout(writer.transport)
        writer.write(encode(hello))
        return cls(info.host_id, reader, writer)

    @property
    def closed(self) -> bool:
        """Return whether either side has closed the stream."""
        return self._reader.at_eof() or self._writer.is_closing()

    def begin(self, server: ServerEntry, *, repeatable: bool) -> None:
        """Prepare an exchange with a server."""
        self._server = server
        self._repeatable = repeatable
        self._complete = False
        self.lost = ""

    async def check(self, server: ServerEntry) -> str:
        """Let the host check a server; return the value of its finding."""
        self._write(msg.ServerCheck(*server.incarnation))
        message = await self._read()
        if not isinstance(message, msg.ServerCheckResult):
            raise HttpError(BAD_STREAM, sent=False)
        self._complete = True
        return message.finding

    def send_request(
        self, request: h11.Request, parts: Iterable[bytes], *, end: bool
    ) -> None:
        """Send a request's head and the parts of its body that are at hand.

        `end` says that these parts are the whole body; else `send_more` follows.
        """
        if self.closed:
            raise HttpError(HOST_UNREACHABLE, sent=False)
        self._write(
            msg.IndirectRequest(
                *self._server.incarnation,
                request.method.decode("ascii"),
                request.target.decode("latin-1"),
                [(bytes(name), bytes(value)) for name, value in request.headers],
                self._repeatable,
                b"".join(parts),
                end,
            )
        )

    async def wait_for_continue(self) -> None:
        """Wait until the other host asks for the rest of the body.

        Raises
        ------
        HttpError
            With ``sent=False`` if the other host has sent nothing to the server.
        """
        message = await self._read()
        if not isinstance(message, msg.IndirectContinue):
            raise self._error_of(message)

    def send_more(self, data: bytes) -> None:
        """Send a further part of the body; an empty part ends it."""
        if self.closed:
            raise HttpError(HOST_UNREACHABLE, sent=True)
        self._write(msg.IndirectBody(data, not data))

    async def read_head(self, _request_id: bytes) -> ResponseHead:
        """Read the head of the response; the other host has checked its request id.

        Raises
        ------
        HttpError
            With ``sent=False`` if the other host has sent nothing to the server.
        """
        message = await self._read()
        if not isinstance(message, msg.IndirectHead):
            raise self._error_of(message)
        return ResponseHead(message.status, message.headers)

    async def read_part(self) -> bytes:
        """Return the next part of the response body, empty at its end."""
        if self._complete:
            return b""
        message = await self._read()
        if not isinstance(message, msg.IndirectBody):
            raise self._error_of(message)
        self._complete = message.complete
        return message.data

    def _error_of(self, message: msg.Message) -> HttpError:
        if not isinstance(message, msg.IndirectFailure):
            return HttpError(BAD_STREAM, sent=True)
        if message.server_lost:
            self.lost = message.reason
        if not message.sent:
            # Nothing else follows, so the stream can carry another exchange.
            self._complete = True
        return HttpError(message.reason, sent=message.sent)

    async def _read(self) -> msg.Message:
        try:
            return await read_message(self._reader)
        except (OSError, asyncio.IncompleteReadError) as exc:
            raise HttpError(HOST_UNREACHABLE, sent=True, detail=repr(exc)) from exc
        except FrameError as exc:
            raise HttpError(BAD_STREAM, sent=True, detail=exc.message) from exc

    def _write(self, message: msg.Message) -> None:
        self._writer.write(encode(message, compress=False))

    def prepare_for_reuse(self) -> bool:
        """Return whether the stream can carry another exchange."""
        return self._complete and not self.closed

    def close(self) -> None:
        """Abort the stream; the other host then abandons what it carries."""
        self._writer.transport.abort()


class IndirectStreams:
    """The idle streams to other hosts.

    Parameters
    ----------
    now : callable
        Monotonic clock in seconds.
    hello : callable
        Returns the message that identifies this host.
    """

    __slots__ = ("_hello", "_idle", "_now")

    def __init__(
        self, now: Callable[[], float], hello: Callable[[], msg.Hello]
    ) -> None:
        self._now = now
        self._hello = hello
        self._idle: dict[HostInfo, list[IndirectConnection]] = defaultdict(list)

    async def acquire(
        self, info: HostInfo, server: ServerEntry, *, repeatable: bool
    ) -> IndirectConnection:
        """Return a stream to a host for one exchange with a server.

        Raises
        ------
        HttpError
            With ``sent=False`` when the host cannot be reached.
        """
        conn = self._take_idle(info)
        if conn is None:
            conn = await IndirectConnection.open(info, self._hello())
        conn.begin(server, repeatable=repeatable)
        return conn

    def _take_idle(self, info: HostInfo) -> IndirectConnection | None:
        idle = self._idle[info]
        while idle:
            conn = idle.pop()
            if not conn.closed and self._now() - conn.used_at < IDLE_S:
                return conn
            conn.close()
        return None

    def release(self, info: HostInfo, conn: IndirectConnection) -> None:
        """Keep a stream whose exchange is complete, and close it otherwise."""
        idle = self._idle[info]
        if conn.prepare_for_reuse() and len(idle) < MAX_IDLE_PER_HOST:
            conn.used_at = self._now()
            idle.append(conn)
        else:
            conn.close()

    def sweep(self) -> None:
        """Close streams that are closed by the other host, or idle for too long."""
        now = self._now()
        for info, idle in list(self._idle.items()):
            for conn in list(idle):
                if conn.closed or now - conn.used_at >= IDLE_S:
                    idle.remove(conn)
                    conn.close()
            if not idle:
                del self._idle[info]

    def close(self) -> None:
        """Close all idle streams."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
