"""One attempt: forwards a request to a backend server and its answer to the caller."""

import asyncio
from dataclasses import dataclass

from ... import headers as hd
from ...core.actions import NOT_RUN, StartAttempt
from ...core.attempts import Ending
from ...core.events import AttemptEnded, FirstByteWritten, HeadForwarded
from ...http1_client import ClientConnection, HttpError, ResponseHead
from ...http1_exchange import CallerGoneError, Exchange
from ..backends.pool import CONNECTION_LIMIT, BackendPool
from ..runtime import Runtime

MAX_REPLAY_BYTES = 64 * 1024


@dataclass(slots=True)
class RequestBody:
    """The body of the caller's request.

    The part of the body that was read is kept for a further attempt, as long as it has
    at most `MAX_REPLAY_BYTES`.

    Attributes
    ----------
    exchange : Exchange
        The caller's exchange.
    chunks : list of bytes
        The part of the body that was read, in order; empty once it is too large.
    size : int
        Bytes read so far.
    replayable : bool
        Whether a further attempt can send the body again: true until more than
        `MAX_REPLAY_BYTES` of the body were read.
    """

    exchange: Exchange
    chunks: list[bytes]
    size: int = 0
    replayable: bool = True

    async def read_if_small(self) -> None:
        """Read the whole body if its declared length allows a replay.

        Guards against a caller that sends a few bytes and stalls. If its request were
        at a backend server by then, the caller could hold a slot for any time. The body
        is read before this host requests a slot, so a stalled caller holds none. A body
        that is chunked or longer than `MAX_REPLAY_BYTES` is not read here.
        """
        length = hd.find(self.exchange.head.headers, hd.CONTENT_LENGTH)
        if not length or int(length) > MAX_REPLAY_BYTES:
            return
        while data := await self.exchange.read():
            self._buffer(data)

    async def send_to(self, conn: ClientConnection) -> None:
        """Send the part that was read, then the rest as it arrives, and its end."""
        for data in self.chunks:
            await conn.send_body(data)
        while data := await self.exchange.read():
            self._buffer(data)
            await conn.send_body(data)
        await conn.finish()

    def _buffer(self, data: bytes) -> None:
        self.size += len(data)
        if self.size <= MAX_REPLAY_BYTES:
            self.chunks.append(data)
        else:
            self.chunks.clear()
            self.replayable = False


class AttemptRun:
    """One attempt of one request.

    Parameters
    ----------
    runtime : Runtime
        Where events go.
    pool : BackendPool
        Connections to backend servers.
    action : StartAttempt
        The core's decision: the server, and the times in which the attempt has to start
        and to end.
    body : RequestBody
        The body of the caller's request.
    headers : list of (bytes, bytes)
        Headers to forward, without the deadline, which the attempt adds.

    Attributes
    ----------
    cancel_ending : Ending
        Ending that is reported when the attempt's task is cancelled.
    """

    __slots__ = (
        "_action",
        "_body",
        "_conn",
        "_headers",
        "_pool",
        "_runtime",
        "_started_at",
        "cancel_ending",
    )

    def __init__(
        self,
        runtime: Runtime,
        pool: BackendPool,
        action: StartAttempt,
        body: RequestBody,
        headers: hd.HeaderList,
    ) -> None:
        self._runtime = runtime
        self._pool = pool
        self._action = action
        self._body = body
        self._headers = headers
        self._conn: ClientConnection | None = None
        self._started_at = runtime.now()
        self.cancel_ending = Ending.CANCELLED

    async def run(self) -> None:
        """Carry out the attempt and report its end to the core exactly once."""
        status = 0
        try:
            ending, status = await self._attempt()
        except asyncio.CancelledError:
            ending = self.cancel_ending
        except CallerGoneError:
            ending = Ending.CANCELLED
        except HttpError as exc:
            ending = self._ending_of(exc)
        self._release_connection(ending)
        self._runtime.dispatch(
            AttemptEnded(
                self._action.request_id,
                self._action.attempt,
                ending,
                self._runtime.now() - self._started_at,
                status,
                self._body.replayable,
            )
        )

    def _ending_of(self, exc: HttpError) -> Ending:
        if exc.reason == CONNECTION_LIMIT:
            return Ending.SERVER_NOT_RUN
        if self._body.exchange.started:
            return Ending.TRUNCATED
        return Ending.BROKEN if exc.sent else Ending.CONNECT_FAILED

    def _release_connection(self, ending: Ending) -> None:
        """Return the connection to the pool, or close it if the exchange broke off.

        The pool also closes a connection whose request or answer is not complete.
        """
        conn = self._conn
        self._conn = None
        if conn is None:
            return
        reusable_endings = (Ending.ANSWERED, Ending.SERVER_ERROR, Ending.SERVER_NOT_RUN)
        if ending in reusable_endings:
            self._pool.give_back(self._action.address, conn)
        else:
            self._pool.drop(self._action.address, conn)

    async def _attempt(self) -> tuple[Ending, int]:
        action = self._action
        self._conn = await self._pool.take(action.address, repeatable=action.repeatable)
        waited_s = self._runtime.now() - self._started_at
        if waited_s > action.start_within_s:
            # Guards against a pause of this process after the grant. The permit's lease
            # may be over, and an attempt that starts now would use a slot that the
            # keeper has meanwhile granted to another request. The clock is read after
            # the pause, so the attempt ends before anything is sent.
            raise HttpError("lease-over", sent=False)
        conn = self._conn
        self._runtime.dispatch(FirstByteWritten(action.request_id, action.attempt))
        head = self._body.exchange.head
        remaining_s = max(0.001, action.remaining_s - waited_s)
        deadline = (hd.DEADLINE_MS, str(max(1, int(remaining_s * 1000))).encode())
        await conn.send_head(head.method, head.target, [*self._headers, deadline])
        if self._body.exchange.body_ended:
            await self._body.send_to(conn)
            answer = await conn.read_head()
            return await self._handle_answer(conn, answer)
        return await self._stream_both(conn)

    async def _stream_both(self, conn: ClientConnection) -> tuple[Ending, int]:
        """Send the body and wait for the head of the answer at the same time.

        A backend server may refuse an upload long before its end. If this host read
        the answer only after the last byte, it would send the whole body for nothing.
        """
        loop = asyncio.get_running_loop()
        sender = loop.create_task(self._body.send_to(conn))
        reader = loop.create_task(conn.read_head())
        try:
            await asyncio.wait((sender, reader), return_when=asyncio.FIRST_COMPLETED)
            if sender.done() and not reader.done():
                self._raise_if_caller_left(sender)
            answer = await self._read_answer_head(reader, sender)
            return await self._handle_answer(conn, answer)
        finally:
            for task in (sender, reader):
                task.cancel()
            await asyncio.gather(sender, reader, return_exceptions=True)

    def _raise_if_caller_left(self, sender: asyncio.Task[None]) -> None:
        """Raise the exception of a finished sender, unless the server caused it.

        A server that reads no more of the body may still answer, so an `HttpError` of
        the sender is not raised.
        """
        exc = sender.exception()
        if exc is not None and not isinstance(exc, HttpError):
            raise exc

    async def _read_answer_head(
        self, reader: asyncio.Task[ResponseHead], sender: asyncio.Task[None]
    ) -> ResponseHead:
        """Return the head of the answer, also if the server stops reading the body.

        If the caller leaves before the head arrives, its error is raised.
        """
        tasks = {reader, sender} if not sender.done() else {reader}
        while not reader.done():
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if sender in done:
                self._raise_if_caller_left(sender)
                tasks.discard(sender)
        return reader.result()

    async def _handle_answer(
        self, conn: ClientConnection, head: ResponseHead
    ) -> tuple[Ending, int]:
        """Forward the answer, except a proof of the server that it ran nothing."""
        outcome = hd.find(head.headers, hd.OUTCOME)
        if head.status == 503 and outcome == NOT_RUN:
            async for _ in conn.read_body():
                pass
            return Ending.SERVER_NOT_RUN, head.status
        await self._forward_answer(conn, head)
        ending = Ending.SERVER_ERROR if head.status >= 500 else Ending.ANSWERED
        return ending, head.status

    async def _forward_answer(self, conn: ClientConnection, head: ResponseHead) -> None:
        action = self._action
        exchange = self._body.exchange
        self._runtime.dispatch(HeadForwarded(action.request_id, action.attempt))
        own_headers = (hd.OUTCOME, hd.REASON, hd.REQUEST_ID)
        headers = [
            item
            for item in hd.without_hop_by_hop(head.headers)
            if item[0] not in own_headers
        ]
        headers.append((hd.OUTCOME, b"answered"))
        headers.append((hd.REQUEST_ID, action.request_id.encode()))
        await exchange.send_head(head.status, headers)
        async for chunk in conn.read_body():
            await exchange.send_body(chunk)
        exchange.finish()
