"""A caller on one connection to an entry host."""

import asyncio
import itertools
from dataclasses import dataclass

_ids = itertools.count(1)
PART_BYTES = 65536


@dataclass(slots=True)
class Answer:
    """What a caller got: status 0 if the connection ended first, and why."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    why: str = ""


class Caller:
    """A connection that is kept for many requests.

    Parameters
    ----------
    address : str
        The ``front`` address of a host.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        method: str,
        path: str,
        deadline_s: float,
        size: int = 0,
        rate: float = 0.0,
        request_id: str = "",
        key: str = "",
    ) -> Answer:
        """Send a request and wait for its answer until the deadline.

        `size` is the length of the body, and `rate` the bytes a second at which it is
        sent; 0 for as fast as the host reads. `key` is the affinity key, if any.
        """
        request_id = request_id or f"q{next(_ids):05d}"
        try:
            async with asyncio.timeout(deadline_s + 0.5):
                if self._writer is None or self._writer.is_closing():
                    host, _, port = self._address.rpartition(":")
                    self._reader, self._writer = await asyncio.open_connection(
                        host, int(port)
                    )
                self._write_head(method, path, deadline_s, size, request_id, key)
                await self._write_body(size, rate)
                return await self._read(request_id)
        except TimeoutError:
            self.close()
            return Answer(request_id, 0, {}, b"", "deadline")
        except (OSError, asyncio.IncompleteReadError) as exc:
            self.close()
            return Answer(request_id, 0, {}, b"", repr(exc))

    def _write_head(
        self,
        method: str,
        path: str,
        deadline_s: float,
        size: int,
        request_id: str,
        key: str,
    ) -> None:
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: a.example",
            f"X-Lacewingcross-Request-Id: {request_id}",
            f"X-Lacewingcross-Request-Deadline: {int(deadline_s * 1000)}",
        ]
        if key:
            lines.append(f"X-Lacewingcross-Affinity-Key: {key}")
        if size:
            lines.append(f"Content-Length: {size}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def _write_body(self, size: int, rate: float) -> None:
        began_at = asyncio.get_running_loop().time()
        sent = 0
        while sent < size:
            part = min(PART_BYTES, size - sent)
            self._writer.write(b"u" * part)
            await self._writer.drain()
            sent += part
            if rate:
                due_at = began_at + sent / rate
                await asyncio.sleep(due_at - asyncio.get_running_loop().time())

    async def _read(self, request_id: str) -> Answer:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        status = int(lines[0].split()[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await self._reader.readexactly(length)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(request_id, status, headers, body)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
