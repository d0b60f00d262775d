"""Frames between our processes: a length, then a msgpack array with a type code.

The highest bit of the length says that the array is compressed: pushes of
configuration are JSON text and shrink several times.
"""

import asyncio
import struct
import typing
import zlib
from dataclasses import fields

import msgpack

from .core import messages as msg
from .errors import FrameError

# Raised when a message changes its shape; hosts refuse streams of another number.
PROTOCOL = 3
MAX_FRAME = 4 * 1024 * 1024
MAX_BODY = 16 * 1024 * 1024
COMPRESS_FROM = 600
COMPRESS_LEVEL = 1
COMPRESSED = 1 << 31
_LENGTH = struct.Struct(">I")
_TYPES = {
    1: msg.Hello,
    2: msg.Heartbeat,
    3: msg.ConfigPull,
    4: msg.ConfigPush,
    5: msg.Acquire,
    6: msg.Grant,
    7: msg.Denied,
    8: msg.Release,
    9: msg.Renew,
    10: msg.Withdraw,
    11: msg.HeldQuery,
    12: msg.HeldReport,
    13: msg.RegionLoad,
    14: msg.Members,
    15: msg.Reuse,
    16: msg.Claim,
    17: msg.ClaimEnded,
    18: msg.Unclaim,
    19: msg.Alive,
    20: msg.StoreChanges,
    21: msg.StorePull,
    22: msg.KnownHosts,
}
_CODES = {cls: code for code, cls in _TYPES.items()}


def _matches(value: object, hint: object) -> bool:
    origin = typing.get_origin(hint)
    if origin is list:
        inner = typing.get_args(hint)[0]
        return isinstance(value, list) and all(_matches(item, inner) for item in value)
    if origin is tuple:
        inner = typing.get_args(hint)
        return (
            isinstance(value, list | tuple)
            and len(value) == len(inner)
            and all(map(_matches, value, inner))
        )
    if hint is float:
        good = isinstance(value, float | int) and not isinstance(value, bool)
        return good and abs(value) < 1e15
    if hint is int:
        return isinstance(value, int) and not isinstance(value, bool)
    return isinstance(value, hint)


_HINTS = {
    cls: tuple(typing.get_type_hints(cls)[item.name] for item in fields(cls))
    for cls in _CODES
}
_NAMES = {cls: tuple(item.name for item in fields(cls)) for cls in _CODES}


def encode(message: msg.Message) -> bytes:
    """Return the frame of `message`, length first."""
    cls = type(message)
    values = [getattr(message, name) for name in _NAMES[cls]]
    body = msgpack.packb([_CODES[cls], *values], use_bin_type=True)
    if len(body) < COMPRESS_FROM:
        return _LENGTH.pack(len(body)) + body
    packed = zlib.compress(body, COMPRESS_LEVEL)
    return _LENGTH.pack(len(packed) | COMPRESSED) + packed


def decode(body: bytes) -> msg.Message:
    """Return the message in a frame's body.

    Raises
    ------
    FrameError
        With code ``bad-frame`` when the body is not a message of this protocol.
    """
    try:
        raw = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except (ValueError, msgpack.UnpackException, RecursionError) as exc:
        raise FrameError("bad-frame", f"not msgpack: {exc}") from exc
    if not isinstance(raw, list) or not raw or not isinstance(raw[0], int):
        raise FrameError("bad-frame", "expected an array that starts with a type code")
    cls = _TYPES.get(raw[0])
    if cls is None:
        raise FrameError("bad-frame", f"unknown type code {raw[0]}")
    hints = _HINTS[cls]
    values = raw[1:]
    if len(values) != len(hints) or not all(map(_matches, values, hints)):
        raise FrameError("bad-frame", f"fields do not fit {cls.__name__}")
    return cls(*values)


async def read_message(reader: asyncio.StreamReader) -> msg.Message:
    """Read one frame.

    Raises
    ------
    FrameError
        With code ``frame-too-large`` or ``bad-frame``.
    asyncio.IncompleteReadError
        The connection ended.
    """
    head = await reader.readexactly(_LENGTH.size)
    (word,) = _LENGTH.unpack(head)
    size = word & ~COMPRESSED
    if size > MAX_FRAME:
        raise FrameError("frame-too-large", f"{size} bytes, at most {MAX_FRAME}")
    body = await reader.readexactly(size)
    return decode(inflate(body) if word & COMPRESSED else body)


def inflate(packed: bytes) -> bytes:
    """Return the decompressed body of a frame, never more than `MAX_BODY` bytes.

    Raises
    ------
    FrameError
        With code ``bad-frame`` or, for what would become too large,
        ``frame-too-large``.
    """
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(packed, MAX_BODY)
    except zlib.error as exc:
        raise FrameError("bad-frame", f"not compressed: {exc}") from exc
    if inflater.unconsumed_tail:
        raise FrameError("frame-too-large", f"more than {MAX_BODY} bytes")
    if not inflater.eof:
        raise FrameError("bad-frame", "compressed data cut short")
    return body


__all__ = ["MAX_FRAME", "PROTOCOL", "decode", "encode", "read_message"]
