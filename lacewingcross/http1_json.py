"""Read bounded request bodies, and send JSON and coded errors, over `HttpServer`."""

import json

from . import headers as hd
from .errors import UserError
from .http1_exchange import Exchange

JSON_TYPE = [(b"content-type", b"application/json")]


async def read_body(exchange: Exchange, limit: int) -> bytes:
    """Return the whole request body.

    Raises
    ------
    UserError
        With code ``too-large`` when it is larger than `limit` bytes.
    """
    parts = []
    size = 0
    while data := await exchange.read():
        size += len(data)
        if size > limit:
            raise UserError("too-large", f"request body exceeds {limit} bytes")
        parts.append(data)
    return b"".join(parts)


async def send_json(
    exchange: Exchange, status: int, data: object, headers: hd.HeaderList | None = None
) -> None:
    """Send a response with `data` as JSON, and further headers."""
    body = json.dumps(data, separators=(",", ":")).encode() + b"\n"
    await exchange.respond(status, [*JSON_TYPE, *(headers or [])], body)


async def send_error(exchange: Exchange, status: int, code: str, message: str) -> None:
    """Send a JSON response with an error code and a message."""
    await send_json(exchange, status, {"error": code, "message": message})


__all__ = ["read_body", "send_error", "send_json"]
