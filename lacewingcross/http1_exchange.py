"""One request and its response on a server connection."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from . import headers as hd


class CallerGoneError(Exception):
    """The other side closed the connection or stopped moving."""


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: str
    target: str
    headers: hd.HeaderList
    client: str


class ExchangeConnection(Protocol):
    """The connection that carries an exchange, as far as the exchange needs it."""

    exchange: "Exchange | None"
    lost: bool

    def process_events(self) -> None:
        """Handle what has arrived so far."""
        ...

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send its body."""
        ...

    def body_consumed(self, size: int) -> None:
        """Make room for more of the body."""
        ...

    def send(self, event: h11.Event) -> None:
        """Send one event of the response."""
        ...

    async def drained(self) -> None:
        """Wait until the caller has taken enough."""
        ...

    def exchange_done(self, exchange: "Exchange") -> None:
        """Go on to the next request."""
        ...

    def abort(self) -> None:
        """Drop the connection."""
        ...


class Exchange:
    """One request and its response on a server connection.

    An exchange belongs to one request for good. Once the connection is lost every
    call raises `CallerGoneError`, so a late answer cannot reach a later request.
    """

    __slots__ = (
        "_body",
        "_conn",
        "_ended",
        "_reader_waiter",
        "head",
        "on_gone",
        "started",
    )

    def __init__(self, conn: ExchangeConnection, head: RequestHead) -> None:
        self._conn = conn
        self._body: deque[bytes] = deque()
        self._ended = False
        self._reader_waiter: asyncio.Future[None] | None = None
        self.head = head
        self.started = False
        self.on_gone: Callable[[], None] | None = None

    @property
    def gone(self) -> bool:
        """Tell whether the caller can no longer be answered."""
        return self._conn.exchange is not self or self._conn.lost

    async def read(self) -> bytes:
        """Return the next part of the body, empty at its end.

        Raises
        ------
        CallerGoneError
            The caller left, or broke the protocol, before the body was whole.
        """
        while not self._body:
            if self._ended:
                return b""
            if self.gone:
                raise CallerGoneError
            self._conn.send_continue()
            self._conn.process_events()
            if self._body or self._ended:
                continue
            self._reader_waiter = asyncio.get_running_loop().create_future()
            await self._reader_waiter
        data = self._body.popleft()
        self._conn.body_consumed(len(data))
        return data

    def feed(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(data)
        self.wake_reader()

    def end_of_body(self) -> None:
        """Note that the body is whole."""
        self._ended = True
        self.wake_reader()

    @property
    def body_ended(self) -> bool:
        """Tell whether the whole body has arrived."""
        return self._ended

    def wake_reader(self) -> None:
        """Let a waiting reader look again."""
        if self._reader_waiter is not None and not self._reader_waiter.done():
            self._reader_waiter.set_result(None)

    async def send_head(self, status: int, headers: hd.HeaderList) -> None:
        """Send the head of the response."""
        self._require_caller()
        self.started = True
        reason = b""
        self._conn.send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    async def send_body(self, data: bytes) -> None:
        """Send a part of the response body, waiting while the caller is slow."""
        self._require_caller()
        self._conn.send(h11.Data(data=data))
        await self._conn.drained()
        self._require_caller()

    def finish(self) -> None:
        """End the response; the connection goes on to its next request."""
        self._require_caller()
        self._conn.send(h11.EndOfMessage())
        self._conn.exchange_done(self)

    async def respond(self, status: int, headers: hd.HeaderList, body: bytes) -> None:
        """Send a whole response."""
        length = (hd.CONTENT_LENGTH, str(len(body)).encode())
        await self.send_head(status, [*headers, length])
        if body:
            await self.send_body(body)
        self.finish()

    def abort(self) -> None:
        """Break the connection, so that the answer cannot pass as whole."""
        if not self.gone:
            self._conn.abort()

    def _require_caller(self) -> None:
        if self.gone:
            raise CallerGoneError
