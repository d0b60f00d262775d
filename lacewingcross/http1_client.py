"""HTTP/1.1 client connections based on h11, and a small connection pool."""

import asyncio
import ssl as ssl_module
from collections.abc import AsyncIterator

import h11

from . import headers as hd
from .checks import split_address
from .http1_response import HttpError, Response, ResponseHead, ResponseReader
from .sockets import open_in_time

# Limit on the bytes of one read.
READ_SIZE = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
# Limit on the body of a complete response, in bytes. Answers of the platform's store
# have about 1 MB at most.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class ClientConnection:
    """One connection to a server, for one exchange at a time.

    Attributes
    ----------
    used_at : float
        Time of the last exchange, set and read by a pool that closes idle connections.
    """

    __slots__ = (
        "_h11",
        "_reader",
        "_responses",
        "_unsent_head",
        "_writer",
        "used_at",
    )

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._h11 = h11.Connection(h11.CLIENT)
        self._responses = ResponseReader(self._h11, self._receive, _read_failed)
        self._unsent_head = b""
        self.used_at = 0.0

    @classmethod
    async def open(
        cls,
        address: str,
        ssl: ssl_module.SSLContext | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> "ClientConnection":
        """Open a connection; raise `HttpError` with ``sent=False`` when that fails."""
        host, port = split_address(address)
        try:
            opening = asyncio.open_connection(host, port, ssl=ssl)
            reader, writer = await open_in_time(opening, timeout_s)
        except (OSError, TimeoutError) as exc:
            raise HttpError("connect-failed", sent=False, detail=repr(exc)) from exc
        return cls(reader, writer)

    def stale(self) -> bool:
        """Return whether either side has closed or is closing the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    async def send_head(self, method: str, target: str, headers: hd.HeaderList) -> None:
        """Serialize the head of a request; it is written together with what follows."""
        try:
            event = h11.Request(method=method, target=target, headers=headers)
            self._unsent_head = self._h11.send(event) or b""
        except h11.LocalProtocolError as exc:
            raise HttpError("bad-head", sent=False, detail=repr(exc)) from exc

    async def send_body(self, data: bytes) -> None:
        """Write a part of the body, and wait until more data can be written."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end of the request."""
        await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Event) -> None:
        try:
            data = self._unsent_head + (self._h11.send(event) or b"")
            self._unsent_head = b""
            if data:
                self._writer.write(data)
                await self._writer.drain()
        except (OSError, h11.LocalProtocolError) as exc:
            raise HttpError("write-failed", sent=True, detail=repr(exc)) from exc

    async def _receive(self) -> bytes:
        try:
            return await self._reader.read(READ_SIZE)
        except OSError as exc:
            raise _read_failed(exc) from exc

    async def read_head(self) -> ResponseHead:
        """Read the head of the final response, skipping informational ones (1xx)."""
        return await self._responses.read_head()

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; raise `HttpError` when the body is truncated."""
        while part := await self._responses.read_part():
            yield part

    def prepare_for_reuse(self) -> bool:
        """Prepare for another exchange; return whether that is possible.

        Only a connection whose request and response are both complete is reused. After
        an abandoned exchange, the rest of its response would be read as the response to
        the next request.
        """
        done = (h11.DONE, h11.DONE)
        if (self._h11.our_state, self._h11.their_state) != done:
            return False
        self._h11.start_next_cycle()
        self._responses.begin()
        return not self.stale()

    def close(self) -> None:
        """Close the connection at once, discarding unsent data."""
        transport = self._writer.transport
        if transport is not None:
            transport.abort()


def _read_failed(exc: Exception) -> HttpError:
    return HttpError("read-failed", sent=True, detail=repr(exc))


class HttpClient:
    """Complete exchanges with one server over a few pooled connections.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    ssl : ssl.SSLContext, optional
        Context for TLS; plain TCP by default.
    """

    __slots__ = ("_idle", "_ssl", "address")

    def __init__(self, address: str, ssl: ssl_module.SSLContext | None = None) -> None:
        self.address = address
        self._ssl = ssl
        self._idle: list[ClientConnection] = []

    async def request(
        self,
        method: str,
        target: str,
        headers: hd.HeaderList | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Response:
        """Send a request and read the complete response.

        `timeout_s` limits the exchange, but not the opening of a connection, which has
        the limit `CONNECT_TIMEOUT_S`.

        Raises
        ------
        HttpError
            Its `sent` says whether the request may have reached the server.
        """
        conn = await self._acquire()
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._exchange(conn, method, target, headers, body)
        except TimeoutError as exc:
            conn.close()
            raise HttpError("timeout", sent=True) from exc
        except BaseException:
            conn.close()
            raise
        if conn.prepare_for_reuse() and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            conn.close()
        return response

    async def _acquire(self) -> ClientConnection:
        while self._idle:
            conn = self._idle.pop()
            if not conn.stale():
                return conn
            conn.close()
        return await ClientConnection.open(self.address, self._ssl)

    async def _exchange(
        self,
        conn: ClientConnection,
        method: str,
        target: str,
        headers: hd.HeaderList | None,
        body: bytes,
    ) -> Response:
        fields = [(b"host", self.address.encode()), *(headers or [])]
        if body or method in ("POST", "PUT"):
            fields.append((hd.CONTENT_LENGTH, str(len(body)).encode()))
        await conn.send_head(method, target, fields)
        if body:
            await conn.send_body(body)
        await conn.finish()
        head = await conn.read_head()
        parts = []
        size = 0
        async for part in conn.read_body():
            parts.append(part)
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                raise HttpError("response-too-large", sent=True)
        return Response(head.status, head.headers, b"".join(parts))

    def close(self) -> None:
        """Close the pooled connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()
