"""What a host has yet to tell each other one of servers that ended.

Each piece of news has a number. A stream to another host notes the number up to which
everything was told on it, and a new stream starts from the beginning: whoever was cut
off, has just started or lost messages gets all that is remembered.
"""

from collections import deque
from collections.abc import Container, Iterator
from dataclasses import dataclass
from itertools import islice

from .backend_state import Incarnation
from .crashes import MAX_CRASHES_KEPT, CrashLedger

# Pieces of news that are kept; the oldest go first. Each end is told once by each host
# that had requests there, mostly one or two.
KEPT = 2 * MAX_CRASHES_KEPT


@dataclass(slots=True, frozen=True)
class GossipItem:
    """One piece: a server that ended, or else a request that was answered.

    `source` is the host that told it, empty for what this host saw itself.
    """

    sequence: int
    source: str
    crashed: Incarnation | None = None
    answered: str = ""


class CrashGossip:
    """News in the order in which it came.

    Parameters
    ----------
    ledger : CrashLedger
        Knows what is still held against whom.
    """

    __slots__ = ("_ledger", "_pieces", "newest")

    def __init__(self, ledger: CrashLedger) -> None:
        self._ledger = ledger
        self._pieces: deque[GossipItem] = deque(maxlen=KEPT)
        self.newest = 0

    def crashed(self, server: Incarnation, source: str = "") -> None:
        """Note that a server has ended, or that more is known of its end."""
        self.newest += 1
        self._pieces.append(GossipItem(self.newest, source, crashed=server))

    def answered(self, request: str, source: str = "") -> None:
        """Note that a request under which servers had ended was answered."""
        self.newest += 1
        self._pieces.append(GossipItem(self.newest, source, answered=request))

    def since(self, sequence: int | None) -> Iterator[GossipItem]:
        """Return what is newer than a number and still true.

        With None, for a new stream: all ends that count against a request. The others
        only served to leave a server alone for some seconds.
        """
        if sequence is None:
            return (piece for piece in self._pieces if self._counts(piece))
        # Numbers have no gaps, so the newer pieces are the last ones.
        newest_first = islice(reversed(self._pieces), self.newest - sequence)
        newer = reversed(list(newest_first))
        return (p for p in newer if p.answered or self._ledger.has_crashed(p.crashed))

    def _counts(self, piece: GossipItem) -> bool:
        return piece.crashed is not None and bool(
            self._ledger.crash_requests(piece.crashed)
        )


def should_pass_on(
    piece: GossipItem, receiver: str, active: Container[str], *, fresh: bool
) -> bool:
    """Tell whether a piece of news is for another host.

    Active hosts tell each other what they saw, so among them nobody passes on what
    another one has said: in a fleet of `n` active hosts each end costs ``n * n``
    messages and not ``n * n * n``. A stream that is `fresh` gets everything.
    """
    if piece.source == receiver:
        return False
    return fresh or not (piece.source in active and receiver in active)
