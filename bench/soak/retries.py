"""Checks of the soak: hosts repeat no more requests than the deployment allows."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import TYPE_CHECKING

from .findings import Violation

if TYPE_CHECKING:
    from .ledger import Ledger

# Repeats allowed in a window, as a share of the requests and a number beyond that.
RETRY_RATIO = 0.2
RETRY_EXTRA = 64
# Length of the window, in seconds.
RETRY_WINDOW_S = 10.0


def retry_violations(ledger: "Ledger") -> list[Violation]:
    """Return the services that got more repeats than the deployment allows."""
    found = []
    sent_at_by_service: dict[str, list[float]] = defaultdict(list)
    for sent in ledger.sent.values():
        sent_at_by_service[sent.service].append(sent.at)
    repeats: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for at, service, request_id in sorted(ledger.arrivals):
        if request_id in seen:
            repeats[service].append(at)
        seen.add(request_id)
    for service, times in repeats.items():
        sent_at_by_service[service].sort()
        for index, end in enumerate(times):
            begin = end - RETRY_WINDOW_S
            count = index + 1 - bisect_left(times, begin)
            requests = bisect_right(sent_at_by_service[service], end)
            requests -= bisect_left(
                sent_at_by_service[service], begin - RETRY_WINDOW_S / 2
            )
            if count > RETRY_RATIO * requests + RETRY_EXTRA:
                text = f"{service}: {count} repeats of {requests} requests"
                found.append(Violation("BUDGET", end, text))
                break
    return found
