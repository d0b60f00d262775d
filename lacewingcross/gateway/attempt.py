"""Carries out one attempt of a request at one backend server."""

from dataclasses import dataclass

import h11

from .. import headers as hd
from ..core.attempts import Attempt, Ending
from ..core.backend_state import Server
from ..http1_client import ResponseHead
from ..http1_exchange import Exchange
from ..platform import headers as ph
from .backend_connection import BackendConnection
from .backends import Backends

# An answer up to this size is read whole before any of it goes to the caller, so that
# a spoilt one can be tried again; a larger one is passed on as it comes.
MAX_BUFFERED_BYTES = 256 * 1024
MISDIRECTED = 421
# Statuses from here on are the server's own failures.
MIN_SERVER_ERROR = 500


@dataclass(slots=True)
class Answer:
    """A backend server's answer; `complete` is False when more is still to come."""

    head: ResponseHead
    body: bytes
    complete: bool


@dataclass(slots=True)
class CallerBody:
    """The caller's body: what was read, and whether that is all of it."""

    exchange: Exchange
    parts: list[bytes]
    size: int = 0
    complete: bool = False

    async def read_ahead(self, max_bytes: int) -> None:
        """Read up to `max_bytes` bytes ahead."""
        while self.size <= max_bytes:
            part = await self.exchange.read()
            if not part:
                self.complete = True
                return
            self.parts.append(part)
            self.size += len(part)


class InvalidResponseError(Exception):
    """The answer cannot be the server's own whole answer to this request."""


class AttemptRun:
    """One attempt.

    Parameters
    ----------
    backends : Backends
        Connections.
    server : Server
        Where to send the request.
    attempt : Attempt
        What is known of it; the first byte written is noted here.
    body : CallerBody
        The caller's body.
    repeatable : bool
        Whether the request may run twice.
    """

    __slots__ = (
        "_backends",
        "_body",
        "_conn",
        "_lost",
        "_repeatable",
        "attempt",
        "server",
    )

    def __init__(
        self,
        backends: Backends,
        server: Server,
        attempt: Attempt,
        body: CallerBody,
        *,
        repeatable: bool,
    ) -> None:
        self._backends = backends
        self._body = body
        self._conn: BackendConnection | None = None
        self._lost = False
        self._repeatable = repeatable
        self.attempt = attempt
        self.server = server

    async def connect(self) -> None:
        """Take a connection; raise HttpError when there is none."""
        self._conn = await self._backends.acquire(
            self.server.entry, repeatable=self._repeatable
        )

    def send(self, request: h11.Request) -> None:
        """Send the request, and as much of its body as was read."""
        self.attempt.first_byte_written()
        self._conn.send_request(request, self._body.parts, end=self._body.complete)

    async def send_rest(self) -> None:
        """Send the part of a large body that is still with the caller.

        An answer that comes before the end waits until the body is through.
        """
        while not self._body.complete:
            part = await self._body.exchange.read()
            self._body.complete = not part
            self._conn.send_more(part)

    async def read_head(self, request_id: bytes) -> ResponseHead:
        """Wait for the head of the answer."""
        return await self._conn.read_head(request_id)

    async def read_body(self, head: ResponseHead) -> Answer:
        """Read the answer's body, or its beginning when it is large."""
        parts = []
        size = 0
        while size <= MAX_BUFFERED_BYTES:
            part = await self._conn.read_part()
            if not part:
                return Answer(head, b"".join(parts), complete=True)
            parts.append(part)
            size += len(part)
        return Answer(head, b"".join(parts), complete=False)

    async def read_more(self) -> bytes:
        """Return the next part of a large answer, empty at its end."""
        return await self._conn.read_part()

    @property
    def lost(self) -> bool:
        """Tell whether the server's connection has ended under the attempt."""
        return self._lost or (self._conn is not None and bool(self._conn.lost))

    def release_unused(self) -> None:
        """Keep the connection: nothing was sent on it."""
        self._backends.release_unused(self.server.entry, self._conn)
        self._conn = None

    def release_connection(self, *, complete: bool) -> None:
        """Keep the connection after a whole exchange, drop it after any other."""
        conn = self._conn
        self._conn = None
        if conn is None:
            return
        self._lost = bool(conn.lost)
        if complete:
            self._backends.release(self.server.entry, conn)
        else:
            self._backends.discard(self.server.entry, conn)


def classify(answer: Answer) -> Ending:
    """Return what a whole answer says about the attempt.

    Raises
    ------
    SpoiltAnswerError
        A success without the server's signature: garbled on the way out, or not from
        a server at all.
    """
    head = answer.head
    if head.status == MISDIRECTED or hd.find(head.headers, ph.NOT_RUN):
        return Ending.SERVER_NOT_RUN
    signed = bool(hd.find(head.headers, ph.SIGNATURE))
    if 200 <= head.status < 300 and not signed:
        raise InvalidResponseError("success-without-signature")
    if head.status >= MIN_SERVER_ERROR:
        return Ending.SERVER_ERROR
    return Ending.ANSWERED


def reported_load(head: ResponseHead) -> int | None:
    """Return what the server says runs and waits there, or None."""
    fields = hd.find(head.headers, ph.LOAD).split(",")
    if len(fields) < 2 or not all(text.strip().isdigit() for text in fields[:2]):
        return None
    return int(fields[0]) + int(fields[1])


def was_full(answer: Answer, slots: int) -> bool:
    """Tell whether a server that did not run a request had all its slots taken."""
    return (reported_load(answer.head) or 0) >= slots
