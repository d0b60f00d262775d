"""A slow frame decoder, written from the frame description, as a test reference."""

import typing

import msgpack

from lacewingcross.core import messages as msg
from lacewingcross.core.store_position import MAX_NUMBER, StorePosition
from lacewingcross.errors import FrameError

CLASSES = {cls.__struct_config__.tag: cls for cls in typing.get_args(msg.Message)}


def decode(body):
    """Return the message in a frame's body; each field is checked."""
    try:
        raw = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except (ValueError, msgpack.UnpackException, RecursionError) as exc:
        raise FrameError("bad-frame", f"not msgpack: {exc}") from exc
    if not isinstance(raw, list) or not raw or not _is_int(raw[0]):
        raise FrameError("bad-frame", "expected an array that starts with a tag")
    cls = CLASSES.get(raw[0])
    if cls is None:
        raise FrameError("bad-frame", f"unknown tag {raw[0]}")
    hints = typing.get_type_hints(cls)
    values = raw[1:]
    fields = cls.__struct_fields__
    min_fields = len(fields) - len(cls.__struct_defaults__)
    if not min_fields <= len(values) <= len(fields):
        raise FrameError("bad-frame", "another number of fields")
    if not all(map(_matches, values, (hints[name] for name in fields))):
        raise FrameError("bad-frame", f"fields do not fit {cls.__name__}")
    return cls(*values)


def _is_int(value):
    in_range = isinstance(value, int) and -(2**63) <= value < 2**64
    return in_range and not isinstance(value, bool)


def _matches(value, hint):
    origin = typing.get_origin(hint)
    if origin is list:
        inner = typing.get_args(hint)[0]
        return isinstance(value, list) and all(_matches(item, inner) for item in value)
    if origin is tuple:
        inner = typing.get_args(hint)
        has_all_items = isinstance(value, list) and len(value) == len(inner)
        return has_all_items and all(map(_matches, value, inner))
    if hint is StorePosition:
        is_pair = isinstance(value, list) and len(value) == 2
        return is_pair and all(
            _is_int(item) and 0 <= item <= MAX_NUMBER for item in value
        )
    if hint is float:
        is_number = isinstance(value, float) or _is_int(value)
        return is_number and abs(value) <= msg.MAX_FLOAT
    if hint is int:
        return _is_int(value)
    return isinstance(value, hint)
