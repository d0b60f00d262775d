"""A worker as the users' pages describe it."""

import asyncio
import hashlib
from collections.abc import Callable

from .http import EXPECTED, ID, NOT_EXECUTED, SIGNATURE, read_head
from .record import Record

# Bytes that a worker reads at a time. The reader holds twice as many at most, and the
# socket a small buffer, so a worker that reads slowly makes its sender wait.
READ_BYTES = 64 * 1024


class Worker:
    """One worker: `slots` requests at a time, `queue` more wait.

    Parameters
    ----------
    worker_id, service, zone : str
        What its entry in the store says.
    record : Record
        Gets a line for each request that arrives and each that has run.
    slots : int
        Requests at a time.
    queue : int
        Requests that may wait for a slot; more are rejected as not run.
    work_s : float
        How long one request takes.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        zone: str,
        record: Record,
        *,
        slots: int = 6,
        queue: int = 12,
        work_s: float = 0.05,
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.state = "ready"
        self.address = ""
        # Bytes a second that it reads of each body; 0 for as fast as they come.
        self.read_bytes_per_s = 0.0
        # Size of its answers; a shorter text is filled up.
        self.answer_bytes = 0
        # Ids of the requests that have reached it, with the time, and that it has run.
        self.arrived: dict[str, float] = {}
        self.ran: set[str] = set()
        self.on_arrival: Callable[[str], None] = lambda request_id: None
        self._record = record
        self._held = 0
        self._free_slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._seq = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_BYTES
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> dict:
        """Return the worker's entry in the store."""
        self._seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_s": 0,
            "seq": self._seq,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers = await read_head(reader)
        _method, path, _version = first.split(" ")
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            extra = {"X-Lacewingcross-Instance-Id": self.worker_id}
            self._answer(writer, status, {}, extra, b"")
            return True
        request_id = headers.get(ID, "")
        self.arrived[request_id] = self._record.now()
        self._record.note(f"arrived id={request_id} worker={self.worker_id} {path}")
        self.on_arrival(request_id)
        size, digest = await self._read_body(reader, headers)
        reject = headers.get(EXPECTED, self.worker_id) != self.worker_id and 421
        if not reject and self._held >= self.slots + self.queue:
            reject = 503
        if reject:
            self._record.note(f"rejected id={request_id} status={reject}")
            self._answer(writer, reject, headers, {NOT_EXECUTED: "1"}, b"")
            return True
        self._held += 1
        try:
            async with self._free_slots:
                self.ran.add(request_id)
                await asyncio.sleep(self.work_s)
        finally:
            self._held -= 1
        self._record.note(f"ran id={request_id} worker={self.worker_id}")
        content = f"{request_id} {size} {digest} ".ljust(self.answer_bytes, ".")
        self._answer(writer, 200, headers, {SIGNATURE: f"sig.{request_id}"}, content)
        await writer.drain()
        return True

    async def _read_body(
        self, reader: asyncio.StreamReader, headers: dict[str, str]
    ) -> tuple[int, str]:
        """Read a body; return its size and digest."""
        body = hashlib.sha256()
        size = 0
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                await self._read_exactly(reader, chunk, body)
                await reader.readexactly(2)
                size += chunk
            await reader.readuntil(b"\r\n")
        else:
            size = int(headers.get("content-length", "0"))
            await self._read_exactly(reader, size, body)
        return size, body.hexdigest()

    async def _read_exactly(
        self, reader: asyncio.StreamReader, size: int, body: "hashlib._Hash"
    ) -> None:
        """Read a part of a body, no faster than the worker reads now."""
        left = size
        while left:
            part = await reader.read(min(READ_BYTES, left))
            if not part:
                raise EOFError
            body.update(part)
            left -= len(part)
            if self.read_bytes_per_s:
                await asyncio.sleep(len(part) / self.read_bytes_per_s)

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        extra: dict[str, str],
        content: str | bytes,
    ) -> None:
        body = content if isinstance(content, bytes) else content.encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if ID in headers:
            lines.append(f"X-Lacewingcross-Request-Id: {headers[ID]}")
        waiting = max(0, self._held - self.slots)
        load = f"{self._held - waiting},{waiting},{self.slots}"
        lines += ["Keep-Alive: timeout=30", f"X-Lacewingcross-Server-Load: {load}"]
        lines += [f"{name}: {value}" for name, value in extra.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
