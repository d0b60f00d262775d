"""Clients that keep their connections, and what they have seen."""

import asyncio
import itertools
from dataclasses import dataclass

from .http import DEADLINE, ID, SIGNATURE, connect, read_answer, request_head
from .record import Record
from .world import HOST_NAME

CLOSED = 0
_numbers = itertools.count(1)


@dataclass(slots=True)
class Seen:
    """One request as its client saw it.

    Attributes
    ----------
    kept : bool
        Whether the connection had carried a request before.
    status : int
        Status of the answer, `CLOSED` if the connection ended without one.
    """

    request_id: str
    host: str
    sent_at: float
    kept: bool
    status: int = CLOSED
    ended_at: float = 0.0


def next_id() -> str:
    """Return a new request id."""
    return f"{next(_numbers):016x}"


class KeptClient:
    """A client that sends its requests one after the other on a kept connection.

    Parameters
    ----------
    record : Record
        The record of the run.
    host_name, address : str
        The entry host that it uses.
    method, path : str
        What it sends.
    deadline_ms : int
        How long it waits for an answer.
    pause_s : float
        Pause between an answer and the next request.
    """

    def __init__(
        self,
        record: Record,
        host_name: str,
        address: str,
        method: str,
        path: str,
        *,
        deadline_ms: int = 2500,
        pause_s: float = 0.05,
    ) -> None:
        self.seen: list[Seen] = []
        self._record = record
        self._host = host_name
        self._address = address
        self._method = method
        self._path = path
        self._deadline_ms = deadline_ms
        self._pause_s = pause_s

    async def run(self) -> None:
        """Send requests until cancelled; connect again whenever that is needed."""
        while True:
            try:
                reader, writer = await connect(self._address)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.3)
                continue
            try:
                kept = False
                while await self._ask(reader, writer, kept=kept):
                    kept = True
                    await asyncio.sleep(self._pause_s)
            finally:
                writer.transport.abort()
            await asyncio.sleep(self._pause_s)

    async def _ask(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        kept: bool,
    ) -> bool:
        """Send one request; return whether the connection can be used again."""
        seen = Seen(next_id(), self._host, self._record.now(), kept)
        self.seen.append(seen)
        body = b"x" * 300 if self._method == "POST" else b""
        headers = {
            ID: seen.request_id,
            DEADLINE: str(self._deadline_ms),
            "X-Lacewingcross-Affinity-Key": str(int(seen.request_id, 16) % 27),
        }
        if body:
            headers["Content-Length"] = str(len(body))
        self._record.note(f"sent id={seen.request_id} host={self._host} {self._path}")
        answer = None
        try:
            async with asyncio.timeout(self._deadline_ms / 1000 + 0.5):
                head = request_head(self._method, self._path, HOST_NAME, headers)
                writer.write(head + body)
                answer = await read_answer(reader)
        except (OSError, EOFError):
            pass
        except TimeoutError:
            seen.status = -1
        seen.ended_at = self._record.now()
        if answer is None:
            self._record.note(f"no-answer id={seen.request_id} host={self._host}")
            return False
        seen.status = answer.status
        signed = SIGNATURE in answer.headers
        self._record.note(
            f"answer id={seen.request_id} status={answer.status} signed={signed} "
            f"{answer.body[:60]!r}"
        )
        return answer.headers.get("connection", "").lower() != "close"


def closed_after_pass(clients: list[KeptClient], arrived: dict) -> list[Seen]:
    """Return the requests of kept connections that a worker got and nobody answered.

    Their connection was closed without an answer. Those at which the client itself
    stopped waiting aren't among them.
    """
    return [
        seen
        for client in clients
        for seen in client.seen
        if seen.kept
        and seen.ended_at
        and seen.status == CLOSED
        and seen.request_id in arrived
    ]
