"""The running totals of one client account on one host, see `keeper.Charge`."""

from collections import deque
from dataclasses import dataclass, field

from .bound import Quota


@dataclass(slots=True)
class AccountUsage:
    """Requests that a host runs for an account, and what is paid of them.

    `charged`, `returned` and `paid` are running totals. Of the charged requests,
    `waiting` are not decided yet; `max_waits_s` holds how long each of them may wait,
    in seconds, the oldest first. `sent_totals` holds the totals (charged, returned)
    that were last sent to the keeper, at `sent_at`. `receipt_at` is the time of the
    keeper's last receipt, which also says when the keeper will pay the next open
    charge: `next_paid_at`, or -infinity if no charge has to wait at the keeper.
    `last_retry_at` is the latest retry time given to a refused caller. Times are
    monotonic, in seconds.
    """

    quota: Quota
    keeper: str | None = None
    charged: int = 0
    returned: int = 0
    paid: int = 0
    max_waits_s: deque[float] = field(default_factory=deque)
    sent_totals: tuple[int, int] = (0, 0)
    # The highest total `charged` sent to any keeper; `charged` never falls below it.
    max_sent_charged: int = 0
    sent_at: float = float("-inf")
    receipt_at: float = float("-inf")
    next_paid_at: float = float("-inf")
    last_retry_at: float = float("-inf")
    # Admission times of the requests in debt, the oldest first.
    _unpaid_since: deque[float] = field(default_factory=deque)

    @property
    def waiting(self) -> int:
        """Return the number of charged requests that are not decided yet."""
        return len(self.max_waits_s)

    @property
    def open(self) -> int:
        """Return the number of requests that are charged, not returned and not paid."""
        return self.charged - self.returned - self.paid

    @property
    def debt(self) -> int:
        """Return the number of requests that were admitted and are not paid.

        It is below 0 if the keeper has paid for waiting requests that are not yet
        admitted or refused; no other request may use that credit.
        """
        return self.open - self.waiting

    def note_admitted(self, now: float) -> None:
        """Note when a charged request was admitted, unless it is paid already."""
        if self.debt > 0:
            self._unpaid_since.append(now)

    def take_back(self) -> None:
        """Take back the charge of the newest request."""
        if self.charged > self.max_sent_charged:
            # This charge was not sent to any keeper, so no return has to be reported.
            self.charged -= 1
        else:
            self.returned += 1
        self.paid = min(self.paid, self.charged - self.returned)
        while len(self._unpaid_since) > max(0, self.debt):
            self._unpaid_since.pop()

    def pay(self, paid: int) -> None:
        """Raise the total of paid requests to `paid`; the oldest are paid first.

        The total does not fall, and does not exceed the charges that are not returned.
        """
        self.paid = max(self.paid, min(paid, self.charged - self.returned))
        while len(self._unpaid_since) > max(0, self.debt):
            self._unpaid_since.popleft()

    def forgive(self, admitted_before: float) -> None:
        """Count requests in debt that were admitted before this time as paid."""
        while self._unpaid_since and self._unpaid_since[0] < admitted_before:
            self._unpaid_since.popleft()
            self.paid += 1
