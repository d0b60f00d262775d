"""The sums of one client account on one host, see `quota_keeper.Charge`."""

from collections import deque
from dataclasses import dataclass, field

from .quota import Quota


@dataclass(slots=True)
class AccountUsage:
    """What a host runs for an account; `waiting` of those charged are undecided.

    `told` is what the account's keeper was told last, charged and returned;
    `next_paid_at` is when it will pay the next open charge, as it said.
    """

    quota: Quota
    keeper: str | None = None
    charged: int = 0
    returned: int = 0
    paid: int = 0
    waiting: int = 0
    told: tuple[int, int] = (0, 0)
    # The most that any keeper was told; sums never go back behind it.
    told_most: int = 0
    told_at: float = float("-inf")
    heard_at: float = float("-inf")
    next_paid_at: float = float("-inf")
    next_turn: float = float("-inf")
    # When the requests were admitted that are not paid for, the oldest first.
    _unpaid: deque[float] = field(default_factory=deque)

    @property
    def open(self) -> int:
        """Return the requests that are charged and not paid for."""
        return self.charged - self.returned - self.paid

    @property
    def debt(self) -> int:
        """Return the requests that run and are not paid for.

        Below 0 for credit that waiting requests have, and that no other one may take.
        """
        return self.open - self.waiting

    def note_admitted(self, now: float) -> None:
        """Note that a request was admitted that is charged already."""
        if self.debt > 0:
            self._unpaid.append(now)

    def take_back(self) -> None:
        """Charge one request less, the newest."""
        if self.charged > self.told_most:
            # No keeper has heard of it.
            self.charged -= 1
        else:
            self.returned += 1
        self.paid = min(self.paid, self.charged - self.returned)
        while len(self._unpaid) > max(0, self.debt):
            self._unpaid.pop()

    def pay(self, paid: int) -> None:
        """Take over how many requests a keeper has paid, the oldest first."""
        self.paid = max(self.paid, min(paid, self.charged - self.returned))
        while len(self._unpaid) > max(0, self.debt):
            self._unpaid.popleft()

    def forgive(self, until: float) -> None:
        """Count as paid what was admitted before a time."""
        while self._unpaid and self._unpaid[0] < until:
            self._unpaid.popleft()
            self.paid += 1
