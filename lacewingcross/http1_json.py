"""JSON over our HTTP server: reading bodies with a bound, answering with codes."""

import json

from .errors import UserError
from .http1_exchange import Exchange

JSON_TYPE = [(b"content-type", b"application/json")]


async def read_body(exchange: Exchange, limit: int) -> bytes:
    """Return the whole body.

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
            raise UserError("too-large", f"body over {limit} bytes")
        parts.append(data)
    return b"".join(parts)


async def send_json(exchange: Exchange, status: int, data: object) -> None:
    """Answer with JSON."""
    body = json.dumps(data, separators=(",", ":")).encode() + b"\n"
    await exchange.respond(status, JSON_TYPE, body)


async def send_error(exchange: Exchange, status: int, code: str, message: str) -> None:
    """Answer with a coded error."""
    await send_json(exchange, status, {"error": code, "message": message})


__all__ = ["read_body", "send_error", "send_json"]
