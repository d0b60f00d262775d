"""How much one host tells the others about the paces of servers.

Designed for thousands of servers that change their pace every second. What a host tells
them must fit into its bandwidth for control work, so reports beyond it are left out and
the hosts concerned use what servers report to them.
"""

from .token_bucket import TokenBucket

# Items that a host sends to others, in items a second, counted once for each receiver.
# With about 40 bytes each, these are 4 KB/s of the 7 KB/s for control work.
ITEMS_PER_S = 100.0
# Items that can be saved up: those of two seconds, for servers that change together.
MAX_SAVED_ITEMS = 200.0


class ReportBudget:
    """Items that this host may still send."""

    __slots__ = ("_bucket",)

    def __init__(self) -> None:
        self._bucket = TokenBucket(ITEMS_PER_S, MAX_SAVED_ITEMS)

    def room(self, receivers: int, now: float) -> int:
        """Return how many items may go to this number of receivers now.

        One item may be sent on credit, so that hosts with many receivers send at all.
        """
        saved = self._bucket.available(now)
        if saved <= 0.0 or receivers < 1:
            return 0
        return max(1, int(saved / receivers))

    def spend(self, receivers: int, items: int) -> None:
        """Pay for items that were sent to this number of receivers."""
        self._bucket.spend(receivers * items)
