"""Encode and decode the frames that Lacewingcross processes exchange.

A frame is a 4-byte length followed by a msgpack array with a type code. The highest bit
of the length is set when the array is compressed: configuration pushes are JSON text
and shrink several times.
"""

import asyncio
import struct
import zlib

import msgspec

from .core import messages as msg
from .errors import FrameError

# Increment it whenever the layout of a message changes. A host refuses a stream whose
# protocol number differs from its own.
PROTOCOL = 11
# Limits in bytes: on the body of a received frame as it is sent, and on a decompressed
# body.
MAX_FRAME = 4 * 1024 * 1024
MAX_BODY = 16 * 1024 * 1024
MIN_COMPRESSED_BYTES = 600
COMPRESS_LEVEL = 1
# Flag in the length of a frame.
COMPRESSED = 1 << 31
_LENGTH = struct.Struct(">I")
_encoder = msgspec.msgpack.Encoder()
# Decodes and type-checks in one pass, many times as fast as checking each field in
# Python.
_decoder = msgspec.msgpack.Decoder(msg.Message)


def encode(message: msg.Message, *, compress: bool = True) -> bytes:
    """Return `message` as a frame, including its length prefix.

    With `compress` switched off, a large message is not compressed either: the bodies
    of requests and responses rarely shrink.
    """
    body = _encoder.encode(message)
    if not compress or len(body) < MIN_COMPRESSED_BYTES:
        return _LENGTH.pack(len(body)) + body
    packed = zlib.compress(body, COMPRESS_LEVEL)
    return _LENGTH.pack(len(packed) | COMPRESSED) + packed


def decode(body: bytes) -> msg.Message:
    """Return the message in the body of a frame, decompressed if it was compressed.

    Raises
    ------
    FrameError
        With code ``bad-frame`` when the body is not a message of this protocol.
    """
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise FrameError("bad-frame", str(exc)) from exc


async def read_message(reader: asyncio.StreamReader) -> msg.Message:
    """Read one frame and return its message.

    Raises
    ------
    FrameError
        With code ``frame-too-large`` or ``bad-frame``.
    asyncio.IncompleteReadError
        When the connection ends before the frame is complete.
    """
    length_prefix = await reader.readexactly(_LENGTH.size)
    (length_field,) = _LENGTH.unpack(length_prefix)
    size = length_field & ~COMPRESSED
    if size > MAX_FRAME:
        raise FrameError(
            "frame-too-large", f"{size} bytes exceed the limit of {MAX_FRAME}"
        )
    body = await reader.readexactly(size)
    return decode(inflate(body) if length_field & COMPRESSED else body)


def inflate(packed: bytes) -> bytes:
    """Return the decompressed body of a frame, at most `MAX_BODY` bytes.

    Raises
    ------
    FrameError
        With code ``bad-frame`` when the data is invalid or truncated, or
        ``frame-too-large`` when it would decompress to more than `MAX_BODY` bytes.
    """
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(packed, MAX_BODY)
    except zlib.error as exc:
        raise FrameError("bad-frame", f"invalid compressed data: {exc}") from exc
    if inflater.unconsumed_tail:
        raise FrameError(
            "frame-too-large", f"decompressed body exceeds {MAX_BODY} bytes"
        )
    if not inflater.eof:
        raise FrameError("bad-frame", "compressed data is truncated")
    return body


__all__ = ["MAX_FRAME", "PROTOCOL", "decode", "encode", "read_message"]
