"""One HTTP/1.1 connection from a caller, parsed by h11, with timeouts."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import h11

from . import headers as hd
from .http1_exchange import Exchange, RequestHead

MAX_HEAD_BYTES = 16 * 1024
# Longest time without progress of the caller: while a request head is incomplete,
# between requests, and while a body or a response is transferred.
HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
STALL_TIMEOUT_S = 30.0
# Longest time for which the rest of an unneeded request body is read and discarded.
DISCARD_TIMEOUT_S = 5.0
# Above the high mark of buffered bytes, the source of the data has to wait, until the
# buffer is below the low mark. Both marks apply to the unread request body and to the
# response that the caller has not read yet.
HIGH_WATER_BYTES = 64 * 1024
LOW_WATER_BYTES = 16 * 1024
# Limit on pipelined data that is buffered while an earlier request is being handled:
# room for about fifty requests of 1.3 kB each.
MAX_READ_AHEAD_BYTES = 64 * 1024


class FastPath(Protocol):
    """Responses to requests whose bytes are known, without parsing them again."""

    def reply(self, data: bytes) -> bytes | None:
        """Return the whole response to one whole request, or None if unknown."""
        ...


class Listener(Protocol):
    """The part of the listener that its connections use.

    Attributes
    ----------
    closing : bool
        The listener accepts no more connections, and each open one closes when its
        current request is answered.
    max_head : int
        Limit on the bytes of a request head.
    head_timeout_s, idle_timeout_s : float
        Longest time without progress, in seconds, while a request head is incomplete
        and between requests.
    now : callable
        Monotonic clock in seconds.
    on_bad_input : callable
        Called with the reason code of each refused connection or request.
    """

    closing: bool
    max_head: int
    head_timeout_s: float
    idle_timeout_s: float
    fast_path: FastPath | None
    now: Callable[[], float]
    on_bad_input: Callable[[str], None]

    def admit(self, conn: "ServerConnection", client: str) -> str:
        """Count a connection; return the reason to refuse it, or an empty string.

        A refused connection counts until it is unregistered.
        """
        ...

    def unregister(self, conn: "ServerConnection", client: str) -> None:
        """Stop counting a connection."""
        ...

    async def run(self, exchange: Exchange) -> None:
        """Run the handler of a request."""
        ...


class ServerConnection(asyncio.Protocol):
    """One connection from a caller.

    Parameters
    ----------
    server : Listener
        The listener that it belongs to.
    """

    __slots__ = (
        "_unread_body_bytes",
        "_client",
        "_discard_until",
        "_drain_waiter",
        "_h11",
        "_reading_paused",
        "_server",
        "_task",
        "_unsent_head",
        "exchange",
        "last_progress_at",
        "lost",
        "transport",
    )

    def __init__(self, server: Listener) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.max_head
        )
        self._client = ""
        self._drain_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._unsent_head = b""
        self._discard_until = 0.0
        self._unread_body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.last_progress_at = 0.0
        self.lost = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register a new connection, or refuse it when there are too many."""
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES, low=LOW_WATER_BYTES)
        peer = transport.get_extra_info("peername")
        self._client = peer[0] if peer else ""
        self._record_progress()
        reason = self._server.admit(self, self._client)
        if reason:
            self._refuse(503, reason)

    def data_received(self, data: bytes) -> None:
        """Answer a request that the fast path knows; pass all other data to h11."""
        self._record_progress()
        fast_path = self._server.fast_path
        if fast_path is not None and self._is_idle():
            reply = fast_path.reply(data)
            if reply is not None:
                self.transport.write(reply)
                return
        self._feed(data)

    def _is_idle(self) -> bool:
        return (
            self.exchange is None
            and self._h11.their_state is h11.IDLE
            and not self._h11.trailing_data[0]
        )

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection, and wake all that wait for the caller."""
        self.lost = True
        self._server.unregister(self, self._client)
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)
        if self.exchange is not None:
            self.exchange.wake_reader()
            if self.exchange.on_gone is not None:
                self.exchange.on_gone()

    def pause_writing(self) -> None:
        """Make writers wait, since the caller reads too slowly."""
        self._drain_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers continue, since the caller has read most of the data."""
        self._record_progress()
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)
        self._drain_waiter = None

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._protocol_error(exc)
            return
        self.process_events()

    def process_events(self) -> None:
        """Handle the events that h11 has parsed so far."""
        while not self.lost:
            if (
                self.exchange is not None
                and self._unread_body_bytes >= HIGH_WATER_BYTES
            ):
                self._pause_reading()
                return
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._protocol_error(exc)
                return
            if event is h11.NEED_DATA:
                self._resume_reading()
                return
            if event is h11.PAUSED:
                self._read_ahead()
                return
            self._on_event(event)
            if isinstance(event, h11.ConnectionClosed):
                return

    def _read_ahead(self) -> None:
        """Keep reading while a request is being handled, up to a limit.

        Guards against a caller that pipelines a second request and then closes the
        connection. The close is noticed only while the server reads; with reading
        paused, the server would keep working on a response that has no receiver.
        Reading therefore goes on until `MAX_READ_AHEAD_BYTES` are buffered.
        """
        if len(self._h11.trailing_data[0]) >= MAX_READ_AHEAD_BYTES:
            self._pause_reading()

    def _on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._begin(event)
        elif isinstance(event, h11.Data) and self.exchange is not None:
            self._unread_body_bytes += len(event.data)
            self.exchange.feed(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and self.exchange is not None:
            self.exchange.end_of_body()
        elif isinstance(event, h11.EndOfMessage) and self._discard_until:
            self._next_cycle()

    def _begin(self, event: h11.Request) -> None:
        head = RequestHead(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            list(event.headers),
            self._client,
        )
        names = [name for name, _ in head.headers]
        if hd.CONTENT_LENGTH in names and hd.TRANSFER_ENCODING in names:
            # Guards against request smuggling: h11 uses one of the two headers, and a
            # proxy or server on the path may use the other one and take the rest of the
            # body for a new request. A refused request is not forwarded.
            self._refuse(400, "ambiguous-length")
            return
        self._unread_body_bytes = 0
        self.exchange = Exchange(self, head)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._server.run(self.exchange))

    def _protocol_error(self, exc: h11.RemoteProtocolError) -> None:
        if self.exchange is not None:
            self.abort()
            return
        status = exc.error_status_hint or 400
        self._refuse(status, "head-too-large" if status == 431 else "bad-request")

    def _refuse(self, status: int, reason: str) -> None:
        """Answer with an error code and close the connection."""
        self._server.on_bad_input(reason)
        body = f'{{"error":"{reason}"}}\n'.encode()
        headers = [
            (hd.CONTENT_LENGTH, str(len(body)).encode()),
            (b"content-type", b"application/json"),
            (b"connection", b"close"),
            (hd.OUTCOME, b"not-run"),
            (hd.REASON, reason.encode()),
        ]
        if status == 503:
            headers += hd.retry_after(1.0)
        try:
            response = h11.Response(status_code=status, headers=headers)
            self.transport.write(self._h11.send(response) or b"")
            self.transport.write(self._h11.send(h11.Data(data=body)) or b"")
        except h11.LocalProtocolError:
            pass
        self.transport.close()

    def send_continue(self) -> None:
        """Send "100 Continue" to a caller that waits for it before it sends its body.

        This is called only when the handler is about to read the body, so that the
        caller of a request that is refused at once need not upload it.
        """
        if self._h11.they_are_waiting_for_100_continue and not self.lost:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._h11.send(proceed))

    def send(self, event: h11.Event) -> None:
        """Serialize one event of the response.

        The head is held back until the event loop runs its next callbacks, so that a
        body that is already available is sent in the same write.
        """
        data = self._h11.send(event)
        if isinstance(event, h11.Response):
            self._unsent_head = data
            asyncio.get_running_loop().call_soon(self._flush_head)
        elif data or self._unsent_head:
            unsent_head = self._unsent_head
            self._unsent_head = b""
            self.transport.write(unsent_head + data)

    def _flush_head(self) -> None:
        if self._unsent_head and not self.lost:
            self.transport.write(self._unsent_head)
        self._unsent_head = b""

    async def drained(self) -> None:
        """Wait until the caller has read enough of the written data."""
        if self._drain_waiter is not None:
            await self._drain_waiter

    def exchange_done(self, exchange: Exchange) -> None:
        """Continue with the next request, or close when that is not possible.

        The unread rest of a request body is discarded first.
        """
        if self.exchange is not exchange:
            return
        self.exchange = None
        self._task = None
        self._unread_body_bytes = 0
        self._record_progress()
        states = (self._h11.our_state, self._h11.their_state)
        if states == (h11.DONE, h11.SEND_BODY):
            # The caller is still sending a body that is not needed. Closing now would
            # reset the connection, and the caller would lose the response that is on
            # its way, such as the proof that the request did not run. The rest of the
            # body is therefore read and discarded for up to `DISCARD_TIMEOUT_S`.
            self._discard_until = self._server.now() + DISCARD_TIMEOUT_S
            self._resume_reading()
            self.process_events()
            return
        if states != (h11.DONE, h11.DONE):
            self.transport.close()
            return
        self._next_cycle()

    def _next_cycle(self) -> None:
        self._discard_until = 0.0
        self._h11.start_next_cycle()
        if self._server.closing:
            self.transport.close()
            return
        self.process_events()

    def body_consumed(self, size: int) -> None:
        """Count `size` bytes of the body as read by the handler; resume reading."""
        self._unread_body_bytes -= size
        if self._reading_paused and self._unread_body_bytes < LOW_WATER_BYTES:
            self._resume_reading()
            self.process_events()

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self.lost:
            self._reading_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and not self.lost:
            self._reading_paused = False
            self.transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.exchange is None and not self.lost:
            self.transport.close()

    def _record_progress(self) -> None:
        self.last_progress_at = self._server.now()

    def sweep(self, now: float) -> None:
        """Close the connection when the caller has made no progress for too long.

        Without a request in progress, the limit is the idle timeout, or the head
        timeout once a part of a request head was received. With a request in progress,
        the caller stalls when it neither sends the body that is read nor reads the
        response for `STALL_TIMEOUT_S`. A request that waits for its backend server is
        not stalled, since the caller has nothing to send or read at that time. A body
        that is being discarded has the time limit `DISCARD_TIMEOUT_S` in all.
        """
        seconds_since_progress = now - self.last_progress_at
        if self._discard_until:
            if now > self._discard_until:
                self.transport.close()
            return
        if self.exchange is None:
            head_started = bool(self._h11.trailing_data[0])
            limit_s = (
                self._server.head_timeout_s
                if head_started
                else self._server.idle_timeout_s
            )
            if seconds_since_progress > limit_s:
                if head_started:
                    self._refuse(408, "head-timeout")
                else:
                    self.transport.close()
            return
        waits_for_body = not self.exchange.body_ended and not self._reading_paused
        waits_for_reader = self._drain_waiter is not None
        if (
            waits_for_body or waits_for_reader
        ) and seconds_since_progress > STALL_TIMEOUT_S:
            self._server.on_bad_input("stalled")
            self.abort()
