"""Carries requests of other hosts to servers, and checks servers for these hosts.

A carried request goes to the server that the other host has chosen, on a direct path
only, so it makes one hop at most. Its attempts, its retry budget, its share of rate
limits and its quota are counted by the other host. This host adds what binds it as a
sender: evacuations, departures of servers, and back-offs that servers asked it for.
"""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from ... import headers as hd
from ... import logs
from ...core import messages as msg
from ...core.backend_state import Server, ServerEntry
from ...core.membership import HostInfo
from ...core.paths.findings import Finding
from ...errors import FrameError
from ...http1_client import HttpError, ResponseHead
from ...platform import headers as ph
from ...wire import encode, read_message
from ..backend_connection import REFUSED, UNREACHABLE, BackendConnection
from ..context import Gateway
from ..faults import INTERNAL_ERROR, note_fault
from ..signals import record_signals
from .reasons import LEAVING, NO_PATH, NO_ROOM, NOT_ALLOWED, UNKNOWN_SERVER

# Maximum number of requests that are carried at a time, per core of this host, so that
# the callers of this host keep most of its processor time.
MAX_CARRIED_PER_CORE = 96.0
# Time without a message after which a stream of another host is closed, in seconds.
IDLE_TIMEOUT_S = 30.0
# Number of messages of one stream that wait to be processed. While so many wait, no
# more are read.
MAX_WAITING_MESSAGES = 4
# A response is sent in parts of at least this size, in bytes, except the last one.
PART_BYTES = 32 * 1024

Check = Callable[[ServerEntry], Awaitable[Finding]]


class Carrier:
    """Serves the streams on which other hosts send requests to servers.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    check : callable
        Coroutine function that checks a server from this host.

    Attributes
    ----------
    running : int
        Number of requests that are being carried.
    """

    __slots__ = ("_check", "_gateway", "running")

    def __init__(self, gateway: Gateway, check: Check) -> None:
        self._gateway = gateway
        self._check = check
        self.running = 0

    async def serve(
        self,
        info: HostInfo,
        first: msg.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Process the messages of one stream until it ends.

        When the other host closes the stream, the request that it carries is abandoned
        at once: its caller may have left.

        Raises
        ------
        FrameError
            When a message does not belong on such a stream.
        """
        inbox: asyncio.Queue[msg.Message] = asyncio.Queue(MAX_WAITING_MESSAGES)
        inbox.put_nowait(first)
        answering = asyncio.ensure_future(self._answer(info, inbox, writer))
        receiving = asyncio.ensure_future(_receive(reader, inbox))
        tasks = (answering, receiving)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _answer(
        self,
        info: HostInfo,
        inbox: asyncio.Queue[msg.Message],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                message = await inbox.get()
            if isinstance(message, msg.ServerCheck):
                await self._answer_check(message, writer)
            elif isinstance(message, msg.IndirectRequest):
                self.running += 1
                try:
                    exchange = CarriedExchange(self._gateway, info, message, inbox)
                    await exchange.run(writer, self._refusal_of(message))
                finally:
                    self.running -= 1
            else:
                raise FrameError("bad-frame", "expected a request or a check")

    async def _answer_check(
        self, message: msg.ServerCheck, writer: asyncio.StreamWriter
    ) -> None:
        server = self._known_server(message.server_id, message.born_ms)
        finding = await self._check(server.entry) if server else Finding.UNSURE
        writer.write(encode(msg.ServerCheckResult(finding.value)))
        await writer.drain()

    def _known_server(self, server_id: str, born_ms: int) -> Server | None:
        server = self._gateway.steering.placement.known.servers.get(server_id)
        if server is None or server.entry.born_ms != born_ms:
            return None
        return server

    def _refusal_of(self, message: msg.IndirectRequest) -> str:
        """Return why a request is not carried, empty if it is."""
        gateway = self._gateway
        if gateway.roster.leaving:
            return LEAVING
        if self.running > MAX_CARRIED_PER_CORE * gateway.cfg.cores:
            return NO_ROOM
        server = self._known_server(message.server_id, message.born_ms)
        if server is None:
            return UNKNOWN_SERVER
        placement = gateway.steering.placement
        if gateway.paths.reachability.is_lost(server.entry):
            return NO_PATH
        now = gateway.now()
        if placement.eligibility.is_evacuated(server.entry.failure_domain):
            return NOT_ALLOWED
        if not placement.gate.may_carry(server.entry.incarnation, now):
            return NOT_ALLOWED
        return ""


async def _receive(
    reader: asyncio.StreamReader, inbox: asyncio.Queue[msg.Message]
) -> None:
    while True:
        await inbox.put(await read_message(reader))


class CarriedExchange:
    """One request of another host, and its response.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    info : HostInfo
        The other host.
    request : IndirectRequest
        The request.
    inbox : asyncio.Queue
        Gives the further parts of the request's body.
    """

    __slots__ = (
        "_conn",
        "_expects_body",
        "_gateway",
        "_inbox",
        "_info",
        "_request",
        "_sent",
        "_server",
    )

    def __init__(
        self,
        gateway: Gateway,
        info: HostInfo,
        request: msg.IndirectRequest,
        inbox: asyncio.Queue[msg.Message],
    ) -> None:
        self._gateway = gateway
        self._info = info
        self._inbox = inbox
        self._request = request
        servers = gateway.steering.placement.known.servers
        self._server = servers.get(request.server_id)
        self._conn: BackendConnection | None = None
        # Whether parts of the body follow that the other host was asked for.
        self._expects_body = False
        # Whether the server may have got a byte of the request.
        self._sent = False

    async def run(self, writer: asyncio.StreamWriter, refusal: str) -> None:
        """Send the request to the server and its response to the other host.

        Parameters
        ----------
        writer : asyncio.StreamWriter
            The stream of the other host.
        refusal : str
            Why the request is not carried, empty if it is.
        """
        outcome = "cancelled"
        try:
            if refusal:
                outcome = refusal
                self._fail(writer, refusal)
            else:
                outcome = await self._run(writer)
            await writer.drain()
            await self._skip_body()
        finally:
            self._release(complete=False)
            self._log(outcome)

    async def _run(self, writer: asyncio.StreamWriter) -> str:
        left_s = hd.milliseconds(self._request.headers, ph.REMAINING_MS) or 0.0
        try:
            async with asyncio.timeout(left_s):
                await self._exchange(writer, left_s)
        except HttpError as exc:
            self._fail(writer, exc.reason)
            self._note_connect_failure(exc)
            return exc.reason
        except TimeoutError:
            self._fail(writer, "timed-out")
            return "timed-out"
        except (OSError, FrameError):
            # The stream of the other host is broken.
            raise
        except Exception as exc:
            request_id = hd.find(self._request.headers, ph.REQUEST_ID)
            note_fault(self._gateway.metrics, request_id, exc)
            self._fail(writer, INTERNAL_ERROR)
            return INTERNAL_ERROR
        return "answered"

    def _fail(self, writer: asyncio.StreamWriter, reason: str) -> None:
        lost = self._conn is not None and bool(self._conn.lost)
        failure = msg.IndirectFailure(reason, self._sent, self._sent and lost)
        writer.write(encode(failure))

    def _note_connect_failure(self, exc: HttpError) -> None:
        """Let this host check its own path to a server that it could not connect to."""
        if not self._sent and exc.reason in (REFUSED, UNREACHABLE):
            self._gateway.on_path_failure(self._server.entry, self._gateway.now())

    async def _exchange(self, writer: asyncio.StreamWriter, left_s: float) -> None:
        gateway = self._gateway
        began_at = gateway.now()
        self._conn = await gateway.backends.acquire(
            self._server.entry, repeatable=self._request.repeatable
        )
        sent_at = gateway.now()
        gateway.steering.placement.gate.carried(self._server.entry.incarnation, sent_at)
        self._send_request(left_s - (sent_at - began_at))
        if not self._request.complete:
            writer.write(encode(msg.IndirectContinue()))
            self._expects_body = True
            await self._forward_body()
        request_id = hd.find(self._request.headers, ph.REQUEST_ID).encode("latin-1")
        head = await self._conn.read_head(request_id)
        gateway.paths.reachability.heard(self._server.entry, gateway.now())
        record_signals(gateway, self._server, head, sent_at)
        await self._forward_response(head, writer)
        self._release(complete=True)

    def _send_request(self, left_s: float) -> None:
        request = self._request
        left_ms = str(max(1, int(left_s * 1000))).encode()
        headers = [item for item in request.headers if item[0] != ph.REMAINING_MS]
        headers.append((ph.REMAINING_MS, left_ms))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [request.body] if request.body else []
        self._conn.send_request(head, parts, end=request.complete)
        self._sent = True

    async def _forward_body(self) -> None:
        """Forward the rest of the request's body as it arrives."""
        while self._expects_body:
            part = await self._next_part()
            if part.data:
                self._conn.send_more(part.data)
            if part.complete:
                self._conn.send_more(b"")

    async def _skip_body(self) -> None:
        """Read the rest of the body after a failure.

        The other host reads the failure only after it has sent the whole body.
        """
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            while self._expects_body:
                await self._next_part()

    async def _next_part(self) -> msg.IndirectBody:
        part = await self._inbox.get()
        if not isinstance(part, msg.IndirectBody):
            raise FrameError("bad-frame", "expected a part of the body")
        self._expects_body = not part.complete
        return part

    async def _forward_response(
        self, head: ResponseHead, writer: asyncio.StreamWriter
    ) -> None:
        """Forward the response in parts, and wait while the other host reads slowly."""
        frames = [encode(msg.IndirectHead(head.status, head.headers), compress=False)]
        data = bytearray()
        while part := await self._conn.read_part():
            data += part
            if len(data) >= PART_BYTES:
                frames.append(_body_frame(bytes(data), complete=False))
                writer.write(b"".join(frames))
                await writer.drain()
                frames.clear()
                data.clear()
        frames.append(_body_frame(bytes(data), complete=True))
        writer.write(b"".join(frames))

    def _release(self, *, complete: bool) -> None:
        conn = self._conn
        self._conn = None
        if conn is None:
            return
        if complete:
            self._gateway.backends.release(self._server.entry, conn)
        else:
            self._gateway.backends.discard(self._server.entry, conn)

    def _log(self, outcome: str) -> None:
        request_id = hd.find(self._request.headers, ph.REQUEST_ID)
        self._gateway.metrics.count(f"paths.carried.{outcome}")
        logs.event(
            "request-carried",
            id=request_id,
            source=self._info.host_id,
            server=self._request.server_id,
            outcome=outcome,
            sent=self._sent,
        )


def _body_frame(data: bytes, *, complete: bool) -> bytes:
    return encode(msg.IndirectBody(data, complete), compress=False)
