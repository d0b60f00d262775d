"""Decodes what a backend server says of itself in the head of an answer."""

import math
import re
from collections.abc import Iterable

from ..core.server_signals import NO_SIGNALS, ServerSignals
from . import headers as ph

# Longer numbers are errors of their sender.
DIGITS_MOST = 20
_DECIMAL = re.compile(rf"[0-9]{{1,{DIGITS_MOST}}}(\.[0-9]{{0,{DIGITS_MOST}}})?")


def read_signals(headers: Iterable[tuple[bytes, bytes]]) -> ServerSignals:
    """Return the signals in a head.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case, and values.
    """
    found = {name: value for name, value in headers if name in ph.SIGNALS}
    if not found:
        return NO_SIGNALS
    rate = None
    unreadable = []
    if ph.SERVER_LIMIT in found:
        rate = _decimal(found[ph.SERVER_LIMIT])
        if rate is None:
            unreadable.append("limit")
    leaving = found.get(ph.SERVER_LEAVING, b"0").strip() != b"0"
    return ServerSignals(rate, leaving, tuple(unreadable))


def _decimal(value: bytes) -> float | None:
    """Return a number of 0 or more, or None."""
    text = value.decode("latin-1").strip()
    if not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    return number if math.isfinite(number) else None
