"""Decodes the signals of a backend server from the head of a response."""

import re
from collections.abc import Collection
from email.utils import parsedate_to_datetime

from ..core.server_signals import NO_SIGNALS, ServerSignals
from . import headers as ph

# Maximum number of digits before the decimal point of an accepted number. A longer
# number is an error of the server.
MAX_INTEGER_DIGITS = 9
# Maximum number of digits after the decimal point.
MAX_FRACTION_DIGITS = 20
_DECIMAL = re.compile(
    rf"[0-9]{{1,{MAX_INTEGER_DIGITS}}}(\.[0-9]{{0,{MAX_FRACTION_DIGITS}}})?"
)


def read_signals(
    status: int, headers: Collection[tuple[bytes, bytes]]
) -> ServerSignals:
    """Return the signals in the head of a response.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    headers : collection of (bytes, bytes)
        Header names in lower case, and values.
    """
    found = {name: value for name, value in headers if name in ph.SIGNAL_HEADERS}
    if not found:
        return NO_SIGNALS
    rate = None
    unreadable = []
    if ph.SERVER_LIMIT in found:
        rate = _decimal(found[ph.SERVER_LIMIT])
        if rate is None:
            unreadable.append("limit")
    leaving = found.get(ph.SERVER_LEAVING, b"0").strip() != b"0"
    retry_after_s = 0.0
    if ph.RETRY_AFTER in found and status in ph.BACKOFF_STATUSES:
        retry_after_s = _retry_after_s(
            found[ph.RETRY_AFTER], dict(headers).get(ph.DATE, b"")
        )
        if retry_after_s is None:
            unreadable.append("rest")
    return ServerSignals(rate, leaving, retry_after_s or 0.0, tuple(unreadable))


def _retry_after_s(value: bytes, response_date: bytes) -> float | None:
    """Return the time in a ``Retry-After`` header in seconds, or None if unreadable.

    A time that is given as a date is counted from the ``Date`` header of the response,
    since the clock of this host may be seconds off.
    """
    seconds = _decimal(value)
    if seconds is not None:
        return seconds
    try:
        until = parsedate_to_datetime(value.decode("latin-1"))
        remaining = until - parsedate_to_datetime(response_date.decode("latin-1"))
    except (TypeError, ValueError):
        return None
    return max(0.0, remaining.total_seconds())


def _decimal(value: bytes) -> float | None:
    """Return a number of 0 or more, or None if the value is not a plain decimal."""
    text = value.decode("latin-1").strip()
    if not _DECIMAL.fullmatch(text):
        return None
    return float(text)
