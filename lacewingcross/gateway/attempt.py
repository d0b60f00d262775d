"""One attempt of a request at one backend server."""

from dataclasses import dataclass

import h11

from .. import headers as hd
from ..core.attempts import Attempt, Ending
from ..core.placement.placement_types import Choice
from ..http1_client import ResponseHead
from ..http1_exchange import Exchange
from ..platform import headers as ph
from ..platform.load_header import requests_reported
from .paths.connector import Connection, Connector

# A response up to this size is read completely before any of it goes to the caller, so
# that the request can be tried again if the response breaks off. A larger response is
# forwarded as it arrives.
MAX_BUFFERED_BYTES = 256 * 1024
# Status of a process that is not the incarnation to which the request was sent.
MISDIRECTED = 421
# Responses with this status or a higher one count as errors of the server, unless they
# report that the server did not run the request.
MIN_SERVER_ERROR = 500


@dataclass(slots=True)
class Answer:
    """A backend server's response.

    `complete` is False if `body` is only the beginning of the response body.
    """

    head: ResponseHead
    body: bytes
    complete: bool


@dataclass(slots=True)
class CallerBody:
    """The caller's body, as far as it was read.

    `parts` and `size`, in bytes, cover what `read_ahead` has read. `complete` says that
    the whole body was read, and `replayable` that `parts` has all that was read, so
    that the body can be sent again.
    """

    exchange: Exchange
    parts: list[bytes]
    size: int = 0
    complete: bool = False
    replayable: bool = True

    async def read_ahead(self, max_bytes: int) -> None:
        """Read the body until it is complete or longer than `max_bytes`."""
        while self.size <= max_bytes:
            part = await self.exchange.read()
            if not part:
                self.complete = True
                return
            self.parts.append(part)
            self.size += len(part)


class InvalidResponseError(Exception):
    """The response reports success, but nothing shows that the server has sent it.

    The message is the stable code of the reason.
    """


class AttemptRun:
    """Sends one request to one server and reads the response.

    Parameters
    ----------
    connector : Connector
        Connections to backend servers.
    choice : Choice
        The server to send the request to, and the path to it.
    attempt : Attempt
        State of the attempt; it records that the first byte is written.
    body : CallerBody
        The caller's body.
    repeatable : bool
        Whether the request may run twice. Only then is a connection used that has been
        idle for longer, see `Backends.acquire`.
    """

    __slots__ = (
        "_body",
        "_conn",
        "_connector",
        "_lost",
        "_repeatable",
        "attempt",
        "choice",
        "server",
    )

    def __init__(
        self,
        connector: Connector,
        choice: Choice,
        attempt: Attempt,
        body: CallerBody,
        *,
        repeatable: bool,
    ) -> None:
        self._connector = connector
        self._body = body
        self._conn: Connection | None = None
        self._lost = False
        self._repeatable = repeatable
        self.attempt = attempt
        self.choice = choice
        self.server = choice.server

    async def connect(self) -> None:
        """Acquire a connection.

        Raises
        ------
        HttpError
            With ``sent=False`` when there is no idle connection and none can be opened.
        """
        self._conn = await self._connector.acquire(
            self.server.entry,
            self.choice.path,
            self.choice.placement_request.regions,
            repeatable=self._repeatable,
        )

    def send(self, request: h11.Request) -> None:
        """Send the request and the part of its body that was read so far."""
        self.attempt.first_byte_written()
        self._conn.send_request(request, self._body.parts, end=self._body.complete)

    async def send_rest(self) -> None:
        """Read the rest of a large body from the caller and send it.

        A response that arrives earlier is read only after the whole body was sent.
        """
        await self._conn.wait_for_continue()
        self._body.replayable = False
        while not self._body.complete:
            part = await self._body.exchange.read()
            self._body.complete = not part
            self._conn.send_more(part)

    async def read_head(self, request_id: bytes) -> ResponseHead:
        """Wait for the head of the response."""
        return await self._conn.read_head(request_id)

    async def read_body(self, head: ResponseHead) -> Answer:
        """Read the response body, or only its beginning when it is large."""
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
        """Return the next part of a large response, empty at its end."""
        return await self._conn.read_part()

    @property
    def lost(self) -> bool:
        """Return whether the connection to the server was lost during the attempt."""
        return self._lost or (self._conn is not None and bool(self._conn.lost))

    @property
    def through(self) -> str:
        """Return the host that carries the request, empty on a direct connection."""
        return self._connector.host_of(self._conn)

    def failed(self, reason: str) -> None:
        """Record why the exchange failed, if another host carries it."""
        self._connector.failed(self._conn, reason)

    def release_unused(self) -> None:
        """Pool the connection again; nothing was sent on it."""
        self._connector.release_unused(self.server.entry, self._conn)
        self._conn = None

    def release_connection(self, *, complete: bool) -> None:
        """Pool the connection again after a complete exchange, else close it.

        Do nothing if that was done before.
        """
        conn = self._conn
        self._conn = None
        if conn is None:
            return
        self._lost = bool(conn.lost)
        if complete:
            self._connector.release(self.server.entry, conn)
        else:
            self._connector.discard(self.server.entry, conn)


def check_signature(head: ResponseHead) -> None:
    """Check that a success was sent by a backend server, before its body is read.

    Raises
    ------
    InvalidResponseError
        The response reports success but lacks the server's signature. It was damaged
        on its way, or did not come from a backend server.
    """
    if not 200 <= head.status < 300 or hd.find(head.headers, ph.NOT_RUN):
        return
    if not hd.find(head.headers, ph.SIGNATURE):
        raise InvalidResponseError("success-without-signature")


def classify(answer: Answer) -> Ending:
    """Return how an attempt ended, judged by the server's response."""
    head = answer.head
    if head.status == MISDIRECTED or hd.find(head.headers, ph.NOT_RUN):
        return Ending.SERVER_NOT_RUN
    if head.status >= MIN_SERVER_ERROR:
        return Ending.SERVER_ERROR
    return Ending.ANSWERED


def was_full(answer: Answer, slots: int) -> bool:
    """Return whether all slots were taken at a server that did not run a request.

    False if the response does not report the server's load.
    """
    return requests_reported(answer.head.headers) >= slots
