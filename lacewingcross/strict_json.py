"""Strict decoding of JSON that other programs have written, value by value.

A value that cannot be read must not hide the values beside it. So a text is first split
into the raw texts of its parts, which needs no recursion and looks at quotes, brackets
and commas only. Each part is then decoded by itself.

A decoded value can be encoded again: it contains no number that is infinite, no string
that is not Unicode, and at most `MAX_DEPTH` levels.
"""

import re
from collections.abc import Iterator

import msgspec

from .errors import UnreadableError

# Arrays and objects in each other that are decoded. Objects of the platform have at
# most six levels.
MAX_DEPTH = 64

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(_STRING + rb"|[\[\]{},]", re.DOTALL)
_MEMBER = re.compile(rb"\s*(" + _STRING + rb")\s*:(.*)", re.DOTALL)
_OPENING = (b"[", b"{")
_CLOSING = (b"]", b"}")


def decode(raw: bytes) -> object:
    """Return the value of a JSON text.

    Raises
    ------
    UnreadableError
        When the text is not valid JSON in UTF-8, has a number out of range, or is
        deeper than `MAX_DEPTH`.
    """
    if is_too_deep(raw):
        raise UnreadableError("too-deep", f"more than {MAX_DEPTH} levels")
    try:
        return msgspec.json.decode(raw)
    except Exception as exc:
        # Any failure of the decoder means that the text cannot be read.
        raise UnreadableError("bad-json", repr(exc)[:200]) from exc


def is_too_deep(raw: bytes) -> bool:
    """Return whether a JSON text has more than `MAX_DEPTH` levels."""
    if raw.count(b"[") + raw.count(b"{") <= MAX_DEPTH:
        return False
    depth = 0
    for match in _TOKEN.finditer(raw):
        depth = _depth_after(match.group(), depth)
        if depth > MAX_DEPTH:
            return True
    return False


def elements(raw: bytes) -> list[bytes]:
    """Return the raw texts of the elements of an array.

    Raises
    ------
    UnreadableError
        When the text is no array, or one that does not end.
    """
    return list(_split(raw, b"["))


def members(raw: bytes) -> dict[str, bytes]:
    """Return the raw texts of the members of an object by key.

    A member whose key cannot be read is left out. Of several members with one key, the
    last one counts.

    Raises
    ------
    UnreadableError
        When the text is no object, or one that does not end.
    """
    found = {}
    for part in _split(raw, b"{"):
        match = _MEMBER.fullmatch(part)
        if match is None:
            continue
        try:
            found[decode(match.group(1))] = match.group(2).strip()
        except UnreadableError:
            continue
    return found


def _split(raw: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield the texts between the outermost commas of an array or object."""
    if raw.lstrip()[:1] != opening:
        raise UnreadableError("bad-json", f"expected {opening.decode()}")
    depth = 0
    start = 0
    for match in _TOKEN.finditer(raw):
        token = match.group()
        before = depth
        depth = _depth_after(token, depth)
        if (before, depth) == (0, 1):
            start = match.end()
        elif depth == 0 or (depth == 1 and token == b","):
            part = raw[start : match.start()].strip()
            start = match.end()
            if part or depth:
                yield part
        if depth == 0:
            return
    raise UnreadableError("bad-json", f"{opening.decode()} without an end")


def _depth_after(token: bytes, depth: int) -> int:
    if token in _OPENING:
        return depth + 1
    return depth - 1 if token in _CLOSING else depth
