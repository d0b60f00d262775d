"""Reads responses from a connection, within limits that hold for all readers.

A peer in trouble may send bytes that are no answer, and may send them without end. Each
exchange may skip a limited amount of them. While events are at hand, the reader lets
other tasks run at intervals.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from . import headers as hd

# Limits on what one exchange may skip, interim responses (1xx) and responses to other
# requests: the heads and parts of bodies, and the bytes of these parts.
MAX_SKIPPED_EVENTS = 256
MAX_SKIPPED_BYTES = 256 * 1024
# Events that are handled before other tasks run.
EVENTS_PER_TURN = 64
# Reason code of an exchange that had to skip too much.
SURPLUS = "surplus-response"


class HttpError(Exception):
    """An HTTP exchange failed.

    Parameters
    ----------
    reason : str
        Stable code of the failure.
    sent : bool
        Whether some of the request may have been written to the connection, so that the
        server may have run it.
    detail : str, default=""
        Further description for the log.
    """

    def __init__(self, reason: str, *, sent: bool, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason
        self.sent = sent


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: hd.HeaderList


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response."""

    status: int
    headers: hd.HeaderList
    body: bytes


class ResponseReader:
    """Reads the responses on one connection.

    Parameters
    ----------
    parser : h11.Connection
        Parser of the connection, in the role of the client.
    receive : callable
        Coroutine function that returns the next bytes, empty at their end. It raises
        `HttpError` when nothing more can be received.
    describe : callable
        Returns the `HttpError` for a violation of the protocol.
    """

    __slots__ = (
        "_describe",
        "_events_in_turn",
        "_parser",
        "_receive",
        "_skipped_bytes",
        "_skipped_events",
    )

    def __init__(
        self,
        parser: h11.Connection,
        receive: Callable[[], Awaitable[bytes]],
        describe: Callable[[h11.RemoteProtocolError], HttpError],
    ) -> None:
        self._parser = parser
        self._receive = receive
        self._describe = describe
        self._events_in_turn = 0
        self._skipped_bytes = 0
        self._skipped_events = 0

    def begin(self) -> None:
        """Begin another exchange, with the full limits."""
        self._skipped_bytes = 0
        self._skipped_events = 0

    async def read_head(self) -> ResponseHead:
        """Read the head of the next final response, skipping interim ones (1xx).

        Raises
        ------
        HttpError
            With code ``closed-early`` or `SURPLUS`, or as the connection describes it.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise HttpError("closed-early", sent=True)
            self._count_skipped(0)

    async def read_part(self) -> bytes:
        """Return the next part of the body, empty at its end.

        Raises
        ------
        HttpError
            With code ``cut-short``, or as the connection describes it.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise HttpError("cut-short", sent=True)

    async def skip_body(self) -> None:
        """Read the rest of a response to another request and discard it.

        Raises
        ------
        HttpError
            With code `SURPLUS` when it is too long, or as `read_part` does.
        """
        while part := await self.read_part():
            self._count_skipped(len(part))

    def _count_skipped(self, size: int) -> None:
        """Count one skipped event with `size` bytes of a body."""
        self._skipped_events += 1
        self._skipped_bytes += size
        too_many = self._skipped_events > MAX_SKIPPED_EVENTS
        if too_many or self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise HttpError(SURPLUS, sent=True)

    async def _next_event(self) -> h11.Event:
        """Return the next event, and let other tasks run at intervals.

        Guards against a peer that sends many events at once: nothing is awaited while
        they are at hand, so the whole host would wait.
        """
        self._events_in_turn += 1
        if self._events_in_turn >= EVENTS_PER_TURN:
            self._events_in_turn = 0
            await asyncio.sleep(0)
        try:
            while (event := self._parser.next_event()) is h11.NEED_DATA:
                self._parser.receive_data(await self._receive())
        except h11.RemoteProtocolError as exc:
            raise self._describe(exc) from exc
        return event
