"""Checks of the soak: hosts repeat no more requests than the deployment allows."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .findings import Violation

if TYPE_CHECKING:
    from .ledger import Ledger

# Repeats allowed in a window, as a share of the requests and a number beyond that.
RETRY_RATIO = 0.2
RETRY_EXTRA = 64
# Length of the window, in seconds.
RETRY_WINDOW_S = 10.0
# The requests that count are the most of the window itself, the one before it and the
# one half a window before it.
REQUEST_WINDOWS_BEFORE_S = (0.0, RETRY_WINDOW_S, RETRY_WINDOW_S / 2)
# Less than the time between any two requests, in seconds.
JUST_S = 1e-9


@dataclass(slots=True, frozen=True)
class Window:
    """One window with its repeats, and the requests that count for it.

    Attributes
    ----------
    begin : float
        Its first moment, in seconds.
    repeats, requests : int
        How many there were.
    """

    begin: float
    repeats: int
    requests: int

    @property
    def allowed(self) -> float:
        """Return how many repeats are allowed."""
        return RETRY_RATIO * self.requests + RETRY_EXTRA

    def excess(self) -> float:
        """Return by how much the repeats exceed what is allowed, negative if not."""
        return self.repeats - self.allowed


def _count(times: Sequence[float], begin: float) -> int:
    return bisect_right(times, begin + RETRY_WINDOW_S) - bisect_left(times, begin)


def windows(requests: Sequence[float], repeats: Sequence[float]) -> Iterator[Window]:
    """Return the windows that begin or end with a repeat, or just beside a request.

    Any other window has no more repeats and no fewer requests than one of these.

    Parameters
    ----------
    requests, repeats : sequence of float, shape (n_requests,), (n_repeats,)
        When requests were sent and when repeats arrived, in seconds, sorted.
    """
    begins = {at - back for at in repeats for back in (0.0, RETRY_WINDOW_S)}
    for before_s in REQUEST_WINDOWS_BEFORE_S:
        begins.update(at + before_s + JUST_S for at in requests)
        begins.update(at + before_s - RETRY_WINDOW_S - JUST_S for at in requests)
    for begin in sorted(begins):
        counted = max(
            _count(requests, begin - before_s) for before_s in REQUEST_WINDOWS_BEFORE_S
        )
        yield Window(begin, _count(repeats, begin), counted)


def worst_window(requests: Sequence[float], repeats: Sequence[float]) -> Window | None:
    """Return the window whose repeats exceed the allowance most, or None without any.

    Parameters
    ----------
    requests, repeats : sequence of float, shape (n_requests,), (n_repeats,)
        As in `windows`.
    """
    found = windows(requests, repeats)
    return max(found, key=Window.excess, default=None)


def arrivals_of(
    ledger: "Ledger",
) -> tuple[dict[str, list[float]], dict[str, list[float]]]:
    """Return by service when requests were sent, and when repeats arrived, sorted."""
    requests: dict[str, list[float]] = defaultdict(list)
    for sent in ledger.sent.values():
        requests[sent.service].append(sent.at)
    for times in requests.values():
        times.sort()
    repeats: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for at, service, request_id in sorted(ledger.arrivals):
        if request_id in seen:
            repeats[service].append(at)
        seen.add(request_id)
    return requests, repeats


def retry_violations(ledger: "Ledger") -> list[Violation]:
    """Return the services that got more repeats than the deployment allows."""
    found = []
    requests, repeats = arrivals_of(ledger)
    for service, times in repeats.items():
        worst = worst_window(requests[service], times)
        if worst.excess() > 0:
            text = f"{service}: {worst.repeats} repeats of {worst.requests} requests"
            found.append(Violation("BUDGET", worst.begin, text))
    return found
