"""The reports of crashed servers that a host still has to send to each other host.

Each report has a sequence number. A stream to another host keeps the number up to which
all reports were sent on it. A new stream starts from the beginning, so a host that was
partitioned, has just started or lost messages receives all crashes that still count
against a request, and the answers that have ended a quarantine.
"""

from collections import deque
from collections.abc import Container, Iterator
from dataclasses import dataclass
from itertools import islice

from .backend_state import Incarnation
from .crashes import MAX_CRASHES_KEPT, QUARANTINE_CRASHES, CrashLedger

# Maximum number of reports that are kept; the oldest are dropped first. Each crash is
# reported once by each host that had requests at the server that crashed, usually one
# or two hosts.
MAX_ITEMS_KEPT = 2 * MAX_CRASHES_KEPT


@dataclass(slots=True, frozen=True)
class GossipItem:
    """One report: a server that crashed, or else a request that was answered.

    `sequence` is the report's sequence number on this host. `source` is the id of the
    host that sent the report, empty if this host observed the crash or answer itself.
    """

    sequence: int
    source: str
    crashed: Incarnation | None = None
    answered: str = ""


class CrashGossip:
    """The reports that this host has made or received, the oldest first.

    Parameters
    ----------
    ledger : CrashLedger
        The crashes that still count, and the requests that they count against.

    Attributes
    ----------
    newest : int
        Sequence number of the newest report, 0 if there is none.
    """

    __slots__ = ("_items", "_ledger", "newest")

    def __init__(self, ledger: CrashLedger) -> None:
        self._ledger = ledger
        self._items: deque[GossipItem] = deque(maxlen=MAX_ITEMS_KEPT)
        self.newest = 0

    def crashed(self, server: Incarnation, source: str = "") -> None:
        """Add a report of a crashed server, or of more requests that it was running."""
        self.newest += 1
        self._items.append(GossipItem(self.newest, source, crashed=server))

    def answered(self, request: str, source: str = "") -> None:
        """Add a report that a request with crashes against it was answered."""
        self.newest += 1
        self._items.append(GossipItem(self.newest, source, answered=request))

    def since(self, sequence: int | None) -> Iterator[GossipItem]:
        """Return the reports after a sequence number, the oldest first.

        Reports of crashes that the ledger has forgotten are left out. None stands for a
        new stream; for it the result is only the crashes that count against a request,
        and the requests that are cleared of enough crashes for a quarantine: the store
        may still hold it. Other crashes only made hosts skip a server for some seconds.
        """
        if sequence is None:
            return self._for_new_stream()
        # Sequence numbers have no gaps, so the newer reports are the last ones.
        newest_first = islice(reversed(self._items), self.newest - sequence)
        newer = reversed(list(newest_first))
        return (
            item
            for item in newer
            if item.answered or self._ledger.has_crashed(item.crashed)
        )

    def _for_new_stream(self) -> Iterator[GossipItem]:
        answered: set[str] = set()
        for item in self._items:
            if self._counts_against_request(item):
                yield item
            elif item.answered not in answered and self._may_be_stored(item.answered):
                answered.add(item.answered)
                yield item

    def _may_be_stored(self, request: str) -> bool:
        clearance = self._ledger.cleared.get(request)
        return clearance is not None and len(clearance.crashes) >= QUARANTINE_CRASHES

    def _counts_against_request(self, item: GossipItem) -> bool:
        return item.crashed is not None and bool(
            self._ledger.crash_requests(item.crashed)
        )


def should_pass_on(
    item: GossipItem, receiver: str, active: Container[str], *, fresh: bool
) -> bool:
    """Return whether a report should be sent to the host `receiver`.

    Active hosts send each other what they observe themselves, so they do not forward
    reports from one active host to another. In a fleet of `n` active hosts each crash
    costs ``n * n`` messages instead of ``n * n * n``. On a new stream (`fresh`), all
    reports are sent except those that came from the receiver.
    """
    if item.source == receiver:
        return False
    return fresh or not (item.source in active and receiver in active)
