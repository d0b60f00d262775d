"""Reads the objects in a response of the object API, each one by itself.

Any program may have stored any value. A response is therefore split into the raw texts
of its objects first. What cannot be read of one object concerns this object only.
"""

from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec

from ..core.replica import UNREADABLE_SPEC
from ..errors import UnreadableError
from ..strict_json import decode, elements, is_too_deep, members

# A revision of the platform, which counts its changes from 1.
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Value = TypeVar("_Value")


class Page(msgspec.Struct):
    """One page of a listing; `items` are the raw texts of its objects."""

    as_of: Revision
    items: list[msgspec.Raw]
    has_more: bool = False


class Changes(msgspec.Struct):
    """The response to a watch; `events` are raw texts."""

    as_of: Revision
    events: list[msgspec.Raw]


class Event(msgspec.Struct):
    """One change; `object` is the raw text of an object."""

    object: msgspec.Raw
    deleted: bool = False


class _Metadata(msgspec.Struct):
    name: str
    revision: Revision


class _Item(msgspec.Struct):
    metadata: _Metadata
    spec: object = None


@dataclass(slots=True, frozen=True)
class StoredItem:
    """One object as the platform sends it.

    Attributes
    ----------
    name : str
        Name of the object.
    revision : int
        Revision of its last change.
    spec : object
        Decoded JSON, an empty dictionary for an object without a spec, or
        `UNREADABLE_SPEC`.
    """

    name: str
    revision: int
    spec: object


_decode_page = msgspec.json.Decoder(Page).decode
_decode_changes = msgspec.json.Decoder(Changes).decode
_decode_event = msgspec.json.Decoder(Event).decode
_decode_item = msgspec.json.Decoder(_Item).decode


def read_page(body: bytes) -> Page:
    """Return a page of a listing.

    Raises
    ------
    UnreadableError
        When the response is no object with the members of `Page`.
    """
    try:
        return _decode_page(body)
    except Exception:
        # One object in the page keeps the decoder from reading it as a whole.
        parts = members(body)
        items = [msgspec.Raw(raw) for raw in elements(_part(parts, "items"))]
        has_more = decode(parts.get("has_more", b"false"))
        return Page(_revision(_part(parts, "as_of")), items, bool(has_more))


def read_changes(body: bytes) -> Changes:
    """Return the response to a watch.

    Raises
    ------
    UnreadableError
        When the response is no object with the members of `Changes`.
    """
    try:
        return _decode_changes(body)
    except Exception:
        # One object in the response keeps the decoder from reading it as a whole.
        parts = members(body)
        events = [msgspec.Raw(raw) for raw in elements(_part(parts, "events"))]
        return Changes(_revision(_part(parts, "as_of")), events)


def read_event(raw: bytes) -> Event:
    """Return one event of a watch.

    Raises
    ------
    UnreadableError
        When the text is no object with the members of `Event`.
    """
    try:
        return _decode_event(raw)
    except Exception:
        # The object in the event keeps the decoder from reading it as a whole.
        parts = members(raw)
        deleted = decode(parts.get("deleted", b"false"))
        return Event(msgspec.Raw(_part(parts, "object")), bool(deleted))


def read_item(raw: bytes) -> StoredItem:
    """Return one object.

    If only its spec cannot be read, the object exists with `UNREADABLE_SPEC`.

    Raises
    ------
    UnreadableError
        When its name or revision cannot be read.
    """
    if is_too_deep(raw):
        return _read_item_by_parts(raw)
    try:
        item = _decode_item(raw)
    except Exception:
        # Some part of the object cannot be read; the others still can.
        return _read_item_by_parts(raw)
    spec = {} if item.spec is None else item.spec
    return StoredItem(item.metadata.name, item.metadata.revision, spec)


def _read_item_by_parts(raw: bytes) -> StoredItem:
    parts = members(raw)
    metadata = members(_part(parts, "metadata"))
    name = _convert(decode(_part(metadata, "name")), str)
    revision = _revision(_part(metadata, "revision"))
    try:
        spec = decode(parts.get("spec", b"null"))
    except UnreadableError:
        spec = UNREADABLE_SPEC
    return StoredItem(name, revision, {} if spec is None else spec)


def _part(parts: dict[str, bytes], name: str) -> bytes:
    if name not in parts:
        raise UnreadableError("bad-json", f"{name}: missing")
    return parts[name]


def _revision(raw: bytes) -> int:
    return _convert(decode(raw), Revision)


def _convert(value: object, kind: type[_Value]) -> _Value:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        raise UnreadableError("bad-json", str(exc)) from exc
