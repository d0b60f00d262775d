"""A backend server that behaves as the pages describe, with switches for its faults."""

import asyncio
import itertools
from collections.abc import Callable

from .deployment import Record

PREFIX = "x-lacewingcross-"
# Time between two parts of a body that is sent in parts, in seconds.
PART_EVERY_S = 0.005
_ids = itertools.count(1)


class Worker:
    """One lifetime of a backend server.

    Parameters
    ----------
    record : Record
        Record of the run.
    service, zone : str
        Its service and its zone.
    work_s : float
        How long it works on a request, in seconds.
    answer_bytes : int
        Length of the body of an answer.

    Attributes
    ----------
    part_bytes : int
        Bytes of a body that it sends at a time, every `PART_EVERY_S`; 0 for all.
    queue : int or None
        How many requests may wait for a slot; further ones are rejected as not run.
    read_pause_s : float
        Pause before each further 64 KiB of a body are read, in seconds.
    runs : list of (float, str)
        Time and id of each request that it began to work on.
    on_run, on_reject : callable
        Called with the id of each request that it begins to work on, or rejects.
    """

    def __init__(
        self,
        record: Record,
        service: str,
        zone: str,
        work_s: float,
        answer_bytes: int = 300,
        slots: int = 6,
    ) -> None:
        self.server_id = f"i-{next(_ids):04x}"
        self.record = record
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.slots = slots
        self.part_bytes = 0
        self.queue: int | None = None
        self._waiting = 0
        self.read_pause_s = 0.0
        self.draining = False
        self.runs: list[tuple[float, str]] = []
        self.bodies: dict[str, int] = {}
        self.on_run: Callable[[str], None] = lambda request_id: None
        self.on_reject: Callable[[str], None] = lambda request_id: None
        self.address = ""
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_left_s": 0,
            "seq": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._exchange(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except asyncio.IncompleteReadError:
            return False
        fields = {}
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        request_id = fields.get(PREFIX + "request-id", "")
        if fields.get(PREFIX + "expected-instance") != self.server_id:
            writer.write(self._head(421, request_id, 0, not_run=True))
            return True
        size = await self._read_body(reader, fields)
        full = self.queue is not None and self._waiting >= self.queue
        if full and self._free.locked():
            self.on_reject(request_id)
            writer.write(self._head(503, request_id, 0, not_run=True))
            return True
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            self.runs.append((self.record.now(), request_id))
            self.bodies[request_id] = size
            self.on_run(request_id)
            self.record.add(f"{self.server_id} runs {request_id}, body {size} bytes")
            await asyncio.sleep(self.work_s)
        finally:
            self._free.release()
        body = (request_id.encode() + b" ") * (
            self.answer_bytes // (len(request_id) + 1) + 1
        )
        writer.write(self._head(200, request_id, len(body)))
        step = self.part_bytes or len(body)
        for start in range(0, len(body), step):
            writer.write(body[start : start + step])
            await writer.drain()
            if self.part_bytes:
                await asyncio.sleep(PART_EVERY_S)
        return True

    async def _read_body(self, reader: asyncio.StreamReader, fields: dict) -> int:
        size = 0
        if "content-length" in fields:
            left = int(fields["content-length"])
            while left:
                if self.read_pause_s:
                    await asyncio.sleep(self.read_pause_s)
                part = await reader.read(min(left, 65536))
                if not part:
                    raise asyncio.IncompleteReadError(b"", left)
                left -= len(part)
                size += len(part)
        elif fields.get("transfer-encoding") == "chunked":
            while True:
                length = int(await reader.readline(), 16)
                await reader.readexactly(length + 2)
                size += length
                if not length:
                    break
        return size

    def _head(
        self, status: int, request_id: str, length: int, *, not_run: bool = False
    ) -> bytes:
        lines = [
            f"HTTP/1.1 {status} OK",
            f"X-Lacewingcross-Request-Id: {request_id}",
            f"Content-Length: {length}",
        ]
        if not_run:
            lines.append("X-Lacewingcross-Not-Executed: 1")
        else:
            lines.append(
                f"X-Lacewingcross-Response-Signature: {self.server_id}.{length}"
            )
            lines.append(f"X-Lacewingcross-Server-Load: 0,0,{self.slots}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
