"""The reports of crashed servers that a host still has to send to each other host.

Each report has a sequence number. A stream to another host keeps the number up to which
everything was sent on it. A new stream starts from the beginning, so a host that was
partitioned, has just started or lost messages receives all reports that are remembered.
"""

from collections import deque
from collections.abc import Container, Iterator
from dataclasses import dataclass
from itertools import islice

from .backend_state import Incarnation
from .crashes import MAX_CRASHES_KEPT, CrashLedger

# Maximum number of reports that are kept; the oldest are dropped first. Each crash is
# reported once by each host that had requests at the server, usually one or two hosts.
KEPT = 2 * MAX_CRASHES_KEPT


@dataclass(slots=True, frozen=True)
class GossipItem:
    """One report: a server that crashed, or else a request that was answered.

    `number` is its sequence number. `source` is the host that sent it, empty if this
    host observed it itself.
    """

    number: int
    source: str
    crashed: Incarnation | None = None
    answered: str = ""


class CrashGossip:
    """Reports in the order in which they arrived.

    Parameters
    ----------
    ledger : CrashLedger
        The crashes that still count, and the requests that they count against.

    Attributes
    ----------
    newest : int
        Sequence number of the newest report, 0 if there is none.
    """

    __slots__ = ("_ledger", "_pieces", "newest")

    def __init__(self, ledger: CrashLedger) -> None:
        self._ledger = ledger
        self._pieces: deque[GossipItem] = deque(maxlen=KEPT)
        self.newest = 0

    def crashed(self, server: Incarnation, source: str = "") -> None:
        """Add a report of a crashed server, or of more requests that it was running."""
        self.newest += 1
        self._pieces.append(GossipItem(self.newest, source, crashed=server))

    def answered(self, request: str, source: str = "") -> None:
        """Add a report that a request with crashes against it was answered."""
        self.newest += 1
        self._pieces.append(GossipItem(self.newest, source, answered=request))

    def since(self, number: int | None) -> Iterator[GossipItem]:
        """Return the reports after a sequence number that are still valid.

        None stands for a new stream and returns all crashes that count against a
        request. Other crashes only made hosts skip a server for some seconds.
        """
        if number is None:
            return (piece for piece in self._pieces if self._counts(piece))
        # Sequence numbers have no gaps, so the newer reports are the last ones.
        newest_first = islice(reversed(self._pieces), self.newest - number)
        newer = reversed(list(newest_first))
        return (p for p in newer if p.answered or self._ledger.has_crashed(p.crashed))

    def _counts(self, piece: GossipItem) -> bool:
        return piece.crashed is not None and bool(
            self._ledger.crash_requests(piece.crashed)
        )


def should_pass_on(
    piece: GossipItem, receiver: str, active: Container[str], *, fresh: bool
) -> bool:
    """Return whether a report should be sent to another host.

    Active hosts send each other what they observe themselves, so they do not forward
    reports from one active host to another. In a fleet of `n` active hosts each crash
    costs ``n * n`` messages instead of ``n * n * n``. A new stream (`fresh`) receives
    everything except the receiver's own reports.
    """
    if piece.source == receiver:
        return False
    return fresh or not (piece.source in active and receiver in active)
