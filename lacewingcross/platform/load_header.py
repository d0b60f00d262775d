"""Decodes the load that a backend server reports in the head of a response."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from . import headers as ph

# Maximum number of digits of a figure. A longer one is an error of the server.
MAX_DIGITS = 9
# Three or four figures, separated by commas. Spaces and tabs around a figure are part
# of the list syntax of HTTP and are skipped.
_FIGURE = rb"[ \t]*([0-9]{1,%d})[ \t]*" % MAX_DIGITS
_LOAD = re.compile(rb",".join([_FIGURE] * 3) + rb"(?:,%b)?" % _FIGURE)


class NoReport(Enum):
    """Why a response reports no load."""

    MISSING = "missing"
    UNREADABLE = "unreadable"


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load of a server by its own report.

    Attributes
    ----------
    running, waiting : int
        Requests that run there, and that wait for a slot.
    slots : int
        Requests that the server runs at a time.
    pace_percent : int or None
        Time that work takes at the server now, in percent of its usual time. None if
        the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None

    @property
    def requests(self) -> int:
        """Return how many requests run or wait at the server."""
        return self.running + self.waiting


def read_load(headers: Iterable[tuple[bytes, bytes]]) -> LoadReport | NoReport:
    """Return the load in the head of a response, or why there is none.

    A header that occurs twice is one list by the rules of HTTP, and then has too many
    figures.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Header names in lower case, and values.
    """
    values = [value for name, value in headers if name == ph.LOAD]
    if not values:
        return NoReport.MISSING
    found = _LOAD.fullmatch(b",".join(values))
    if found is None:
        return NoReport.UNREADABLE
    running, waiting, slots, percent = found.groups()
    pace_percent = None if percent is None else int(percent)
    return LoadReport(int(running), int(waiting), int(slots), pace_percent)


def requests_reported(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return how many requests a server reports as running or waiting there.

    0 if the response does not report it in a readable form.
    """
    report = read_load(headers)
    return report.requests if isinstance(report, LoadReport) else 0
