"""A small HTTP/1.1 client and what clients and workers share."""

import asyncio
from dataclasses import dataclass

ID = "x-lacewingcross-request-id"
DEADLINE = "x-lacewingcross-request-deadline"
EXPECTED = "x-lacewingcross-expected-instance"
SIGNATURE = "x-lacewingcross-response-signature"
NOT_EXECUTED = "x-lacewingcross-not-executed"
MAX_LINE_BYTES = 64 * 1024


@dataclass(slots=True)
class Answer:
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message.

    Raises
    ------
    EOFError
        When the connection ends before the head is complete.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        raise EOFError from exc
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer on a connection; its body must have a length.

    Raises
    ------
    EOFError
        When the connection ends before the answer is complete.
    """
    first, headers = await read_head(reader)
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as exc:
        raise EOFError from exc
    return Answer(int(first.split()[1]), headers, body)


def request_head(method: str, path: str, host: str, headers: dict[str, str]) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address, within the second that clients allow."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        return await asyncio.open_connection(host, int(port), limit=MAX_LINE_BYTES)


async def fetch_status(address: str, path: str) -> int:
    """Return the status of a GET request, 0 if there was no answer."""
    try:
        reader, writer = await connect(address)
    except (OSError, TimeoutError):
        return 0
    try:
        async with asyncio.timeout(1.0):
            writer.write(request_head("GET", path, address, {"Connection": "close"}))
            return (await read_answer(reader)).status
    except (OSError, EOFError, TimeoutError):
        return 0
    finally:
        writer.transport.abort()
