"""One request and its response on a server connection."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from . import headers as hd


class CallerGoneError(Exception):
    """The caller closed the connection, or it was closed because the caller stalled."""


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Method, target and headers of a request, and the address of its client."""

    method: str
    target: str
    headers: hd.HeaderList
    client: str


class ExchangeConnection(Protocol):
    """The part of a connection that its exchange uses."""

    exchange: "Exchange | None"
    lost: bool

    def process_events(self) -> None:
        """Handle the events that have been parsed so far."""
        ...

    def send_continue(self) -> None:
        """Send "100 Continue" to a caller that waits for it."""
        ...

    def body_consumed(self, size: int) -> None:
        """Count `size` bytes of the body as read by the handler; resume reading."""
        ...

    def send(self, event: h11.Event) -> None:
        """Send one event of the response."""
        ...

    async def drained(self) -> None:
        """Wait until the caller has read enough of the written data."""
        ...

    def exchange_done(self, exchange: "Exchange") -> None:
        """Continue with the next request."""
        ...

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        ...


class Exchange:
    """One request and its response on a server connection.

    An exchange belongs to one request only. After its response is complete or the
    connection is lost, sending raises `CallerGoneError`, so a late response cannot be
    sent to a later request.

    Attributes
    ----------
    head : RequestHead
        Head of the request.
    started : bool
        Whether the sending of the response has begun.
    on_gone : callable or None
        Called when the connection is lost before the response is complete.
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
        """Return whether this exchange can no longer send to the caller.

        The response is complete, or the connection is lost.
        """
        return self._conn.exchange is not self or self._conn.lost

    async def read(self) -> bytes:
        """Return the next part of the body, or empty bytes at its end.

        Raises
        ------
        CallerGoneError
            When the caller closed the connection, or violated the protocol, before the
            body was complete.
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
        """Add a received part of the body."""
        self._body.append(data)
        self.wake_reader()

    def end_of_body(self) -> None:
        """Mark the body as complete."""
        self._ended = True
        self.wake_reader()

    @property
    def body_ended(self) -> bool:
        """Return whether the whole body has been received."""
        return self._ended

    def wake_reader(self) -> None:
        """Let a waiting `read` check again for data."""
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
        """Send a part of the response body; wait until the caller accepts more."""
        self._require_caller()
        self._conn.send(h11.Data(data=data))
        await self._conn.drained()
        self._require_caller()

    def finish(self) -> None:
        """Complete the response; the connection continues with its next request."""
        self._require_caller()
        self._conn.send(h11.EndOfMessage())
        self._conn.exchange_done(self)

    async def respond(self, status: int, headers: hd.HeaderList, body: bytes) -> None:
        """Send a complete response."""
        length = (hd.CONTENT_LENGTH, str(len(body)).encode())
        await self.send_head(status, [*headers, length])
        if body:
            await self.send_body(body)
        self.finish()

    def abort(self) -> None:
        """Abort the connection, so that a partial response is not accepted."""
        if not self.gone:
            self._conn.abort()

    def _require_caller(self) -> None:
        if self.gone:
            raise CallerGoneError
