"""One connection to a backend server, strict about what belongs to which request."""

import asyncio
from collections.abc import Iterable

import h11

from .. import headers as hd
from ..checks import split_address
from ..http1_client import HttpError, ResponseHead
from ..platform import headers as ph
from ..sockets import set_silence_timeout

MAX_HEAD = 64 * 1024
# Idle time that a server grants when it names none, in seconds; short, since a server
# that drops an idle connection ruins the request that is sent on it.
DEFAULT_KEEP_S = 5.0
# Part of the granted idle time that is used: a request must not cross the close.
KEEP_SHARE = 0.6
# Why no connection could be opened: nothing listens there, or nothing answers.
REFUSED = "connect-refused"
UNREACHABLE = "connect-failed"
# Late answers to earlier requests that are passed over on one connection.
MAX_STRAYS = 3


class BackendConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    Bytes that arrive between exchanges belong to no request and end the connection.
    An answer that names another request is passed over: it is the late second answer
    to an earlier one, and the right one follows.
    """

    __slots__ = (
        "_answered",
        "_busy",
        "_h11",
        "_request",
        "_waiter",
        "keep_s",
        "lost",
        "transport",
        "used_at",
    )

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD)
        # Whether any byte came since the request was sent.
        self._answered = False
        self._busy = False
        self._request: h11.Request | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.keep_s = DEFAULT_KEEP_S
        self.lost = ""
        self.transport: asyncio.Transport | None = None
        self.used_at = 0.0

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> "BackendConnection":
        """Connect; raise HttpError with ``sent=False`` when that fails."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(cls, host, port)
        except ConnectionRefusedError as exc:
            raise HttpError(REFUSED, sent=False, detail=repr(exc)) from exc
        except (OSError, TimeoutError) as exc:
            raise HttpError(UNREACHABLE, sent=False, detail=repr(exc)) from exc
        return conn

    # Transport events

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket's options."""
        self.transport = transport
        set_silence_timeout(transport)

    def data_received(self, data: bytes) -> None:
        """Take in a part of the answer."""
        if not self._busy:
            self.lost = "surplus-bytes"
            self.transport.abort()
            return
        self._answered = True
        self._feed(data)

    def eof_received(self) -> bool:
        """Note the end of the stream; an answer without a length ends with it."""
        if self._busy:
            self._feed(b"")
        self.lost = self.lost or "closed"
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that nothing more can come."""
        self.lost = self.lost or ("reset" if exc is not None else "closed")
        self._wake()

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            self.lost = "not-http"
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Exchange

    def send_request(
        self, request: h11.Request, parts: Iterable[bytes], *, end: bool
    ) -> None:
        """Write a request's head and body; `end` tells that the body is whole."""
        if self.lost or self.transport.is_closing():
            raise HttpError("stale", sent=False)
        self._answered = False
        self._busy = True
        self._request = request
        try:
            data = [self._h11.send(request) or b""]
            data += [self._h11.send(h11.Data(data=part)) or b"" for part in parts]
            if end:
                data.append(self._h11.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as exc:
            raise HttpError("bad-head", sent=False, detail=repr(exc)) from exc
        self.transport.write(b"".join(data))

    def send_more(self, data: bytes) -> None:
        """Write a further part of the body; an empty part ends it."""
        event = h11.Data(data=data) if data else h11.EndOfMessage()
        if self.lost or self._h11.our_state is not h11.SEND_BODY:
            raise HttpError("write-failed", sent=True)
        self.transport.write(self._h11.send(event) or b"")

    async def read_head(self, request_id: bytes) -> ResponseHead:
        """Read the head of the answer to `request_id`."""
        for _ in range(MAX_STRAYS):
            head = await self._read_any_head()
            named = hd.find(head.headers, ph.REQUEST_ID).encode("latin-1")
            if not named or named == request_id:
                self._learn_keep(head)
                return head
            await self._pass_over()
        raise HttpError("stray-answers", sent=True)

    async def _read_any_head(self) -> ResponseHead:
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise HttpError("closed-early", sent=True)

    async def _pass_over(self) -> None:
        """Drop the rest of an answer to another request and wait for the next one."""
        while not isinstance(await self._next(), h11.EndOfMessage):
            pass
        try:
            self._h11.start_next_cycle()
            # Only the parser is told: the request was sent already.
            self._h11.send(self._request)
            self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise HttpError("stray-answer", sent=True, detail=repr(exc)) from exc

    async def read_part(self) -> bytes:
        """Return the next part of the body, empty at its end."""
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise HttpError("cut-short", sent=True)

    async def _next(self) -> h11.Event:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise HttpError(self._fault(), sent=True, detail=repr(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            if self.lost:
                raise HttpError(self.lost, sent=True)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _fault(self) -> str:
        """Tell a connection that ended without a word from an answer that is none."""
        return "not-http" if self._answered else self.lost or "not-http"

    def _learn_keep(self, head: ResponseHead) -> None:
        granted = hd.find(head.headers, b"keep-alive").partition("timeout=")[2]
        digits = granted.partition(",")[0].strip()
        self.keep_s = float(digits) if digits.isdigit() else DEFAULT_KEEP_S

    # Reuse

    def reusable(self) -> bool:
        """Make ready for another exchange; return False when that is impossible."""
        done = (h11.DONE, h11.DONE)
        if self.lost or (self._h11.our_state, self._h11.their_state) != done:
            return False
        if self.transport.get_write_buffer_size() or self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self._busy = False
        return True

    def fresh(self, now: float, most_s: float) -> bool:
        """Tell whether a request may be sent on the connection after its idle time."""
        idle_s = now - self.used_at
        return not self.lost and idle_s < min(most_s, self.keep_s * KEEP_SHARE)

    def close(self) -> None:
        """Drop the connection."""
        if self.transport is not None:
            self.transport.abort()
