"""HTTP/1.1 server connections on h11, with backpressure and bounded waits."""

import asyncio
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from . import headers as hd
from . import logs

MAX_HEAD = 16 * 1024
HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
STALL_TIMEOUT_S = 30.0
DISCARD_S = 5.0
SWEEP_S = 1.0
HIGH_WATER = 64 * 1024
LOW_WATER = 16 * 1024


class CallerGoneError(Exception):
    """The other side closed the connection or stopped moving."""


class BadBodyError(Exception):
    """The request's body broke the protocol."""


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: str
    target: str
    headers: hd.HeaderList
    client: str


class FastPath(Protocol):
    """Answers for byte-identical requests, without parsing them again."""

    def reply(self, data: bytes) -> bytes | None:
        """Return the whole response for the bytes of a whole request, or None."""
        ...


class Exchange:
    """One request and its response on a server connection.

    An exchange belongs to one request for good. Once the connection is lost every
    call raises `CallerGoneError`, so a late answer cannot reach a later request.
    """

    __slots__ = ("_body", "_conn", "_ended", "_wake", "head", "on_gone", "started")

    def __init__(self, conn: "ServerConnection", head: RequestHead) -> None:
        self._conn = conn
        self._body: deque[bytes] = deque()
        self._ended = False
        self._wake: asyncio.Future[None] | None = None
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
            The caller left before the body was whole.
        BadBodyError
            The body's framing is broken.
        """
        while not self._body:
            if self._ended:
                return b""
            if self.gone:
                raise CallerGoneError
            self._conn.invite_body()
            self._conn.pull()
            if self._body or self._ended:
                continue
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
        data = self._body.popleft()
        self._conn.body_taken(len(data))
        return data

    def feed(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(data)
        self.wake()

    def end_of_body(self) -> None:
        """Note that the body is whole."""
        self._ended = True
        self.wake()

    @property
    def body_ended(self) -> bool:
        """Tell whether the whole body has arrived."""
        return self._ended

    def wake(self) -> None:
        """Let a waiting reader look again."""
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    async def send_head(self, status: int, headers: hd.HeaderList) -> None:
        """Send the head of the response."""
        self._check()
        self.started = True
        reason = b""
        self._conn.send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    async def send_body(self, data: bytes) -> None:
        """Send a part of the response body, waiting while the caller is slow."""
        self._check()
        self._conn.send(h11.Data(data=data))
        await self._conn.drained()
        self._check()

    def finish(self) -> None:
        """End the response; the connection goes on to its next request."""
        self._check()
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

    def _check(self) -> None:
        if self.gone:
            raise CallerGoneError


Handler = Callable[[Exchange], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """One connection from a caller.

    Parameters
    ----------
    server : HttpServer
        The listener that it belongs to.
    """

    __slots__ = (
        "_body_size",
        "_client",
        "_discard_until",
        "_drain",
        "_h11",
        "_held",
        "_reading_paused",
        "_server",
        "_task",
        "exchange",
        "last_progress",
        "lost",
        "transport",
    )

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self._client = ""
        self._drain: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._held = b""
        self._discard_until = 0.0
        self._body_size = 0
        self._task: asyncio.Task[None] | None = None
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.last_progress = 0.0
        self.lost = False

    # Transport events

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start on a new connection, unless there are too many."""
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER, low=LOW_WATER)
        peer = transport.get_extra_info("peername")
        self._client = peer[0] if peer else ""
        self._touch()
        reason = self._server.admit(self, self._client)
        if reason:
            self._refuse(503, reason)

    def data_received(self, data: bytes) -> None:
        """Answer a known look-up at once; give anything else to h11."""
        self._touch()
        fast = self._server.fast_path
        if fast is not None and self._is_idle():
            reply = fast.reply(data)
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
        """Treat a half-close as the caller's going away."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the exchange that its caller has gone."""
        self.lost = True
        self._server.forget(self, self._client)
        if self._drain is not None and not self._drain.done():
            self._drain.set_result(None)
        if self.exchange is not None:
            self.exchange.wake()
            if self.exchange.on_gone is not None:
                self.exchange.on_gone()

    def pause_writing(self) -> None:
        """Note that the caller reads more slowly than we write."""
        self._drain = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._touch()
        if self._drain is not None and not self._drain.done():
            self._drain.set_result(None)
        self._drain = None

    # Parsing

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._protocol_error(exc)
            return
        self.pull()

    def pull(self) -> None:
        """Handle what h11 has parsed so far."""
        while not self.lost:
            if self.exchange is not None and self._body_size >= HIGH_WATER:
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
                self._pause_reading()
                return
            self._on_event(event)
            if isinstance(event, h11.ConnectionClosed):
                return

    def _on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._begin(event)
        elif isinstance(event, h11.Data) and self.exchange is not None:
            self._body_size += len(event.data)
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
            # Two lengths for one body: whoever sits before or behind us may take
            # the other one, and the rest of the body would pass as a new request.
            self._refuse(400, "ambiguous-length")
            return
        self._body_size = 0
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
        """Answer with a coded error and close."""
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

    def invite_body(self) -> None:
        """Tell a caller that waits for it to send its body.

        Only when somebody is about to read it: a request that is refused at once is
        spared the upload.
        """
        if self._h11.they_are_waiting_for_100_continue and not self.lost:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._h11.send(proceed))

    # Sending

    def send(self, event: h11.Event) -> None:
        """Serialize one event of the response.

        A head waits for the end of the loop's turn, so that a body that is already
        there goes out with it in one write.
        """
        data = self._h11.send(event)
        if isinstance(event, h11.Response):
            self._held = data
            asyncio.get_running_loop().call_soon(self._flush)
        elif data or self._held:
            held = self._held
            self._held = b""
            self.transport.write(held + data)

    def _flush(self) -> None:
        if self._held and not self.lost:
            self.transport.write(self._held)
        self._held = b""

    async def drained(self) -> None:
        """Wait until the caller has taken enough of what was written."""
        if self._drain is not None:
            await self._drain

    def exchange_done(self, exchange: Exchange) -> None:
        """Go on to the next request, or close when that is not possible."""
        if self.exchange is not exchange:
            return
        self.exchange = None
        self._task = None
        self._body_size = 0
        self._touch()
        states = (self._h11.our_state, self._h11.their_state)
        if states == (h11.DONE, h11.SEND_BODY):
            # The caller still sends a body that nobody wants. Closing now would reset
            # the connection, and the caller would lose the answer that is on its way
            # to it, such as the proof that nothing ran. So the rest is read and
            # dropped for a while.
            self._discard_until = self._server.now() + DISCARD_S
            self._resume_reading()
            self.pull()
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
        self.pull()

    def body_taken(self, size: int) -> None:
        """Make room for more of the body."""
        self._body_size -= size
        if self._reading_paused and self._body_size < LOW_WATER:
            self._resume_reading()
            self.pull()

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self.lost:
            self._reading_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and not self.lost:
            self._reading_paused = False
            self.transport.resume_reading()

    def abort(self) -> None:
        """Drop the connection."""
        self.transport.abort()

    def close_if_idle(self) -> None:
        """Close a connection that carries no request."""
        if self.exchange is None and not self.lost:
            self.transport.close()

    # Time

    def _touch(self) -> None:
        self.last_progress = self._server.now()

    def sweep(self, now: float) -> None:
        """End connections that have stopped moving.

        A sender that trickles or stalls holds a connection for nothing; it shows
        as a head that never ends or a body without progress. A request that waits
        for its backend server is not a stall: then it is not the caller's turn.
        """
        quiet = now - self.last_progress
        if self._discard_until:
            if now > self._discard_until:
                self.transport.close()
            return
        if self.exchange is None:
            begun = bool(self._h11.trailing_data[0])
            limit = HEAD_TIMEOUT_S if begun else IDLE_TIMEOUT_S
            if quiet > limit:
                if begun:
                    self._refuse(408, "head-timeout")
                else:
                    self.transport.close()
            return
        waits_for_body = not self.exchange.body_ended and not self._reading_paused
        waits_for_reader = self._drain is not None
        if (waits_for_body or waits_for_reader) and quiet > STALL_TIMEOUT_S:
            self._server.on_bad_input("stalled")
            self.abort()


class HttpServer:
    """A listener and its connections.

    Parameters
    ----------
    handler : callable
        Coroutine function called with each `Exchange`.
    now : callable
        Monotonic clock in seconds.
    max_connections : int, default=4000
        Connections above this number are refused with 503.
    max_connections_each : int, default=4000
        The same for the connections of one client address.
    fast_path : FastPath, optional
        Answers for byte-identical requests.
    on_bad_input : callable, optional
        Called with a reason for each refused input.
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
        self._max = max_connections
        self._max_each = max_connections_each
        self._by_client: Counter[str] = Counter()
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self.now = now
        self.fast_path = fast_path
        self.on_bad_input = on_bad_input or (lambda reason: None)
        self.closing = False

    async def start(self, host: str, port: int, ssl: object = None) -> int:
        """Listen; return the port."""
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
        """Count a connection; return why it may not stay, or an empty string."""
        self._connections.add(conn)
        self._by_client[client] += 1
        if len(self._connections) > self._max:
            return "too-many-connections"
        if self._by_client[client] > self._max_each:
            return "too-many-from-caller"
        return ""

    def forget(self, conn: ServerConnection, client: str) -> None:
        """Stop counting a connection."""
        self._connections.discard(conn)
        self._by_client[client] -= 1
        if self._by_client[client] <= 0:
            del self._by_client[client]

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def run(self, exchange: Exchange) -> None:
        """Run the handler; an error in it ends that one exchange only."""
        try:
            await self._handler(exchange)
        except CallerGoneError:
            pass
        except BadBodyError:
            exchange.abort()
        except Exception as exc:
            exchange.abort()
            logs.event("request-failed", "ERROR", error=repr(exc))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now = self.now()
            for conn in list(self._connections):
                conn.sweep(now)

    async def stop_listening(self) -> None:
        """Accept no more connections and close the idle ones."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for conn in list(self._connections):
            conn.close_if_idle()

    async def close(self) -> None:
        """Stop, dropping what is open."""
        await self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn in list(self._connections):
            conn.abort()
