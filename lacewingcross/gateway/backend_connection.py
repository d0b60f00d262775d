"""One connection to a backend server; it checks which request a response is for."""

import asyncio
from collections import deque
from collections.abc import Iterable

import h11

from .. import headers as hd
from ..checks import split_address
from ..http1_response import HttpError, ResponseHead, ResponseReader
from ..platform import headers as ph
from ..sockets import open_in_time, set_silence_timeout

MAX_HEAD_BYTES = 64 * 1024
# Idle time assumed if a server sends no Keep-Alive timeout that is a whole number, in
# seconds. It is short, since a request that is sent while the server closes the
# connection fails.
DEFAULT_KEEP_ALIVE_S = 5.0
# Share of the server's idle time (granted or assumed) during which the connection may
# be used again, so that no request is sent while the server closes the connection.
KEEP_ALIVE_SHARE = 0.6
# Reason why no connection could be opened: nothing listens at the address.
REFUSED = "connect-refused"
# Reason why no connection could be opened: a timeout, or any error but a refusal.
UNREACHABLE = "connect-failed"
# Received bytes that wait to be read. While there are more, nothing more is received:
# a server may send without end while its request is still being written, or after its
# response.
MAX_UNREAD_BYTES = 128 * 1024
# Responses read before an exchange fails because all of them were for other requests.
MAX_STRAY_RESPONSES = 3


class BackendConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    Bytes that arrive between exchanges belong to no request and close the connection.
    A response with the id of another request is skipped: it is a late second response
    to an earlier request, and the expected response follows.

    Attributes
    ----------
    keep_alive_s : float
        For how long the server keeps the connection open while it is idle, in seconds.
    lost : str
        Stable code of why nothing more can be received; empty while that is possible.
    transport : asyncio.Transport or None
        The transport, once connected.
    unread_bytes : int
        Number of received bytes that were not read yet.
    used_at : float
        Monotonic time from which the idle time counts, in seconds: the end of the last
        exchange, or for an unused connection the time when it was first pooled.
    """

    __slots__ = (
        "_busy",
        "_h11",
        "_paused",
        "_received_any",
        "_request",
        "_responses",
        "_unread",
        "_waiter",
        "keep_alive_s",
        "lost",
        "transport",
        "unread_bytes",
        "used_at",
    )

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._responses = ResponseReader(self._h11, self._receive, self._not_http)
        # Received bytes, empty ones for the end of the stream.
        self._unread: deque[bytes] = deque()
        self.unread_bytes = 0
        self._paused = False
        # Whether any byte was received since the request was sent.
        self._received_any = False
        self._busy = False
        self._request: h11.Request | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.lost = ""
        self.transport: asyncio.Transport | None = None
        self.used_at = 0.0

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> "BackendConnection":
        """Connect; raise HttpError with ``sent=False`` when that fails."""
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            opening = loop.create_connection(cls, host, port)
            _, conn = await open_in_time(opening, timeout_s)
        except ConnectionRefusedError as exc:
            raise HttpError(REFUSED, sent=False, detail=repr(exc)) from exc
        except Exception as exc:
            # Whatever keeps a connection from opening, the server cannot be reached.
            raise HttpError(UNREACHABLE, sent=False, detail=repr(exc)) from exc
        return conn

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket's options."""
        self.transport = transport
        set_silence_timeout(transport)

    def data_received(self, data: bytes) -> None:
        """Keep a part of the response until it is read."""
        if not self._busy:
            self.lost = "surplus-bytes"
            self.transport.abort()
            return
        self._received_any = True
        self._unread.append(data)
        self.unread_bytes += len(data)
        if self.unread_bytes > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of the stream; a response without a length ends with it."""
        if self._busy:
            self._unread.append(b"")
        self.lost = self.lost or "closed"
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that nothing more can be received."""
        self.lost = self.lost or ("reset" if exc is not None else "closed")
        self._wake()

    async def _receive(self) -> bytes:
        """Return the next received bytes, empty at the end of the stream."""
        while not self._unread:
            if self.lost:
                raise HttpError(self.lost, sent=True)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = self._unread.popleft()
        self.unread_bytes -= len(data)
        if self._paused and self.unread_bytes <= MAX_UNREAD_BYTES:
            self._paused = False
            self.transport.resume_reading()
        return data

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def send_request(
        self, request: h11.Request, parts: Iterable[bytes], *, end: bool
    ) -> None:
        """Write a request's head and the parts of its body that are at hand.

        `end` says that these parts are the whole body; else `send_more` follows.
        """
        if self.lost or self.transport.is_closing():
            raise HttpError("stale", sent=False)
        self._received_any = False
        self._busy = True
        self._request = request
        self._responses.begin()
        try:
            data = [self._h11.send(request) or b""]
            data += [self._h11.send(h11.Data(data=part)) or b"" for part in parts]
            if end:
                data.append(self._h11.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as exc:
            raise HttpError("bad-head", sent=False, detail=repr(exc)) from exc
        self.transport.write(b"".join(data))

    async def wait_for_continue(self) -> None:
        """Return at once: a server is sent the whole body without being asked."""

    def send_more(self, data: bytes) -> None:
        """Write a further part of the body; an empty part ends it."""
        event = h11.Data(data=data) if data else h11.EndOfMessage()
        if self.lost or self._h11.our_state is not h11.SEND_BODY:
            raise HttpError("write-failed", sent=True)
        self.transport.write(self._h11.send(event) or b"")

    async def read_head(self, request_id: bytes) -> ResponseHead:
        """Read the head of the response to `request_id`, skipping other responses."""
        for _ in range(MAX_STRAY_RESPONSES):
            head = await self._responses.read_head()
            response_id = hd.find(head.headers, ph.REQUEST_ID).encode("latin-1")
            if not response_id or response_id == request_id:
                self._read_keep_alive(head)
                return head
            await self._skip_response()
        raise HttpError("stray-answers", sent=True)

    async def _skip_response(self) -> None:
        """Discard the rest of a response to another request."""
        await self._responses.skip_body()
        try:
            self._h11.start_next_cycle()
            # This only sets the parser's state: the request was already written.
            self._h11.send(self._request)
            self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise HttpError("stray-answer", sent=True, detail=repr(exc)) from exc

    async def read_part(self) -> bytes:
        """Return the next part of the body, empty at its end."""
        return await self._responses.read_part()

    def _not_http(self, exc: h11.RemoteProtocolError) -> HttpError:
        """Return the error for a violation of the protocol.

        A connection that closed before any byte was received gives the reason in
        `lost`; received bytes that are no HTTP response give "not-http".
        """
        reason = "not-http" if self._received_any else self.lost or "not-http"
        return HttpError(reason, sent=True, detail=repr(exc))

    def _read_keep_alive(self, head: ResponseHead) -> None:
        granted = hd.find(head.headers, b"keep-alive").partition("timeout=")[2]
        digits = granted.partition(",")[0].strip()
        self.keep_alive_s = float(digits) if digits.isdigit() else DEFAULT_KEEP_ALIVE_S

    def prepare_for_reuse(self) -> bool:
        """Prepare for another exchange; return whether that is possible."""
        done = (h11.DONE, h11.DONE)
        if self.lost or (self._h11.our_state, self._h11.their_state) != done:
            return False
        if self._unread or self._h11.trailing_data[0]:
            return False
        if self.transport.get_write_buffer_size():
            return False
        self._h11.start_next_cycle()
        self._busy = False
        return True

    def fresh(self, now: float, max_idle_s: float) -> bool:
        """Return whether the connection is open and was not idle for too long.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        max_idle_s : float
            Limit on the idle time for the next request, in seconds. The server's own
            idle time may set a lower limit, see `KEEP_ALIVE_SHARE`.
        """
        idle_s = now - self.used_at
        return not self.lost and idle_s < min(
            max_idle_s, self.keep_alive_s * KEEP_ALIVE_SHARE
        )

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()
