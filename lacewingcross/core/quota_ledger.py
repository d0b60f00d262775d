"""What one host runs for client accounts, and what of it is paid for.

Answers this load: each account's requests come to all hosts at once, a few a second or
some hundred, and each has to be admitted or refused at once. A host runs a few requests
of each account before its keeper has paid for them, its *debt*; all hosts' debts
together stay within what the bound leaves over the quota. So an ordinary request waits
for nobody, and while a keeper is being replaced requests go on.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from .account_usage import AccountUsage
from .quota import Quota, QuotaBound
from .quota_keeper import Charge, Receipt
from .randomness import RandomSource

# How long a request may wait for its keeper's word, in seconds: the farthest region's
# answer takes 70 ms, the first one over a new stream three times that.
MAX_WAIT_S = 0.25
# Requests of an account that may wait at a host for its keeper's word.
WAITERS_MOST = 64
# Open charges are told again after so long, in seconds: a stream may have lost them.
TELL_AGAIN_S = 0.25
# A debt counts for the bound's window and this much longer, in seconds: the requests
# were sent a little after they were admitted.
DEBT_MARGIN_S = 0.5


class Outcome(Enum):
    """What a host does with a request of an account."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    # The keeper has been asked and will say within moments.
    WAITING = "waiting"


@dataclass(slots=True, frozen=True)
class Admission:
    """The outcome, when to come back, and what it rests on.

    `debt` is how many requests are run and not paid for, of `debt_most`; `age_s` how
    long ago the keeper was last heard on this account.
    """

    outcome: Outcome
    retry_after_s: float = 0.0
    keeper: str = ""
    debt: int = 0
    debt_most: int = 0
    age_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Decided:
    """How many of the requests that wait are decided.

    The oldest ones are admitted, the newest ones refused.
    """

    admitted: int
    refused: int


class QuotaLedger:
    """Admits requests of accounts on one host.

    Parameters
    ----------
    bound : QuotaBound
        What all hosts keep to.
    rng : RandomSource
        Source of spreads.
    """

    __slots__ = (
        "_bound",
        "_dropped",
        "_open",
        "_rng",
        "_tabs",
        "callers_parts",
        "holders",
    )

    def __init__(self, bound: QuotaBound, rng: RandomSource) -> None:
        self._bound = bound
        self._rng = rng
        self._tabs: dict[str, AccountUsage] = {}
        # The highest sums, charged and returned, of accounts that are gone.
        self._dropped = (0, 0)
        # Accounts of which something is yet to be told or paid.
        self._open: set[str] = set()
        # Among how many hosts debts are divided; 0 allows this host none.
        self.holders = 0
        # Among how many hosts callers choose.
        self.callers_parts = 1

    def configure(self, quotas: dict[str, Quota]) -> None:
        """Take over the quotas of all accounts."""
        for account in self._tabs.keys() - quotas.keys():
            self._drop(account)
        for account, quota in quotas.items():
            if account in self._tabs:
                self._tabs[account].quota = quota
            else:
                self._tabs[account] = self._new_tab(quota)

    def _drop(self, account: str) -> None:
        tab = self._tabs.pop(account)
        self._open.discard(account)
        charged, returned = self._dropped
        self._dropped = (max(charged, tab.charged), max(returned, tab.returned))

    def _new_tab(self, quota: Quota) -> AccountUsage:
        """Return a tab whose sums are no lower than those of any that was dropped.

        Failure: an account loses its quota and gets it back, and its keeper has heard
        only of the last version. Lower sums look like old news to it.
        """
        charged, returned = self._dropped
        return AccountUsage(quota, None, charged, returned, paid=charged - returned)

    def set_bound(self, bound: QuotaBound) -> None:
        """Take over what all hosts keep to."""
        self._bound = bound

    def set_keeper(self, account: str, keeper: str | None) -> None:
        """Have another host keep an account; it is told all that is open."""
        tab = self._tabs[account]
        if tab.keeper != keeper:
            tab.keeper = keeper
            tab.told_at = float("-inf")
            tab.told = (-1, -1)
            tab.next_paid_at = float("-inf")

    @property
    def has_open(self) -> bool:
        """Tell whether anything is yet to be told or paid."""
        return bool(self._open)

    def accounts(self) -> Iterator[str]:
        """Return the accounts that have quotas."""
        return iter(self._tabs)

    def _debt_most(self, tab: AccountUsage) -> int:
        return self._bound.debt_each(tab.quota, self.holders) if self.holders else 0

    # Requests

    def ask(self, account: str, now: float) -> Admission:
        """Decide on a request.

        One that is admitted counts from now on; `cancel` takes it back. One that waits
        is decided by `decided`, or given up by `give_up`.
        """
        tab = self._tabs.get(account)
        if tab is None:
            return Admission(Outcome.ADMITTED)
        self._age(tab, now)
        if tab.debt < self._debt_most(tab):
            tab.charged += 1
            tab.note_admitted(now)
            self._open.add(account)
            return self._outcome(tab, Outcome.ADMITTED, now)
        if tab.keeper is None or not self._may_wait(tab, tab.waiting, now):
            return self._outcome(tab, Outcome.REFUSED, now)
        tab.charged += 1
        tab.waiting += 1
        self._open.add(account)
        return self._outcome(tab, Outcome.WAITING, now)

    def _may_wait(self, tab: AccountUsage, ahead: int, now: float) -> bool:
        """Tell whether a request behind some others will have its turn in moments."""
        if ahead >= WAITERS_MOST:
            return False
        soonest_s = tab.next_paid_at - now
        if soonest_s <= 0:
            return True
        return soonest_s + ahead * self._apart_s(tab) <= MAX_WAIT_S

    def _apart_s(self, tab: AccountUsage) -> float:
        """Return how far apart credit comes for this host's callers, in seconds."""
        return self.callers_parts / tab.quota.rate

    def decided(self, account: str, now: float) -> Decided:
        """Decide on requests that wait, as far as that is known."""
        tab = self._tabs.get(account)
        if tab is None:
            return Decided(0, 0)
        admitted = 0
        while tab.waiting and tab.debt < self._debt_most(tab):
            tab.waiting -= 1
            admitted += 1
            tab.note_admitted(now)
        refused = 0
        while tab.waiting and not self._may_wait(tab, tab.waiting - 1, now):
            self.give_up(account)
            refused += 1
        return Decided(admitted, refused)

    def give_up(self, account: str) -> None:
        """Wait no longer for the decision on a request."""
        tab = self._tabs.get(account)
        if tab is not None and tab.waiting:
            tab.waiting -= 1
            self._take_back(account, tab)

    def cancel(self, account: str) -> None:
        """Take back a request that was admitted and never ran."""
        tab = self._tabs.get(account)
        if tab is not None and tab.charged - tab.returned > tab.waiting:
            self._take_back(account, tab)

    def _take_back(self, account: str, tab: AccountUsage) -> None:
        tab.take_back()
        self._open.add(account)

    def refusal(self, account: str, now: float) -> Admission:
        """Return the refusal of a request that waited in vain."""
        tab = self._tabs.get(account)
        if tab is None:
            return Admission(Outcome.REFUSED, self._bound.window_s)
        return self._outcome(tab, Outcome.REFUSED, now)

    def _outcome(self, tab: AccountUsage, outcome: Outcome, now: float) -> Admission:
        pause_s = self._turn_s(tab, now) if outcome is Outcome.REFUSED else 0.0
        return Admission(
            outcome,
            pause_s,
            tab.keeper or "",
            tab.debt,
            self._debt_most(tab),
            now - tab.heard_at,
        )

    def _turn_s(self, tab: AccountUsage, now: float) -> float:
        """Return when a refused caller should come back, in seconds.

        Failure: all who are refused in a second are told the same time, come back
        together and are refused again. Each gets a turn of its own, as far apart as
        credit comes for this host's callers.
        """
        apart_s = self._apart_s(tab)
        soonest = max(now, tab.next_paid_at)
        turn = max(soonest, tab.next_turn) + apart_s
        if turn - now > self._bound.window_s:
            # Who is told more than a window has no better chance for it; the turns of
            # callers that never came back are dealt again.
            turn = soonest + apart_s * self._rng.uniform(0.0, 1.0)
        tab.next_turn = turn
        return turn - now

    def _age(self, tab: AccountUsage, now: float) -> None:
        """Forgive debts that no window counts any more.

        Failure: no keeper can be reached. Without this, a host would run its debt once
        and refuse the account from then on.
        """
        tab.forgive(now - self._bound.window_s - DEBT_MARGIN_S)

    # Keepers

    def to_tell(self, now: float) -> Iterator[tuple[str, Charge]]:
        """Yield what keepers are to be told now, and note it as told."""
        for account in sorted(self._open):
            tab = self._tabs[account]
            if tab.keeper is not None and self._due(tab, now):
                yield tab.keeper, self.next_charge(account, now)
            if not tab.open and tab.told == (tab.charged, tab.returned):
                self._open.discard(account)

    def next_charge(self, account: str, now: float) -> Charge:
        """Return what the account's keeper is told now, and note it as told."""
        tab = self._tabs[account]
        tab.told = (tab.charged, tab.returned)
        tab.told_most = max(tab.told_most, tab.charged)
        tab.told_at = now
        return Charge(account, tab.charged, tab.returned, tab.paid)

    def keeper(self, account: str) -> str | None:
        """Return the host that keeps an account, as far as it is known."""
        tab = self._tabs.get(account)
        return tab.keeper if tab else None

    def debt(self, account: str) -> int:
        """Return how many requests of an account are run and not paid for."""
        tab = self._tabs.get(account)
        return max(0, tab.debt) if tab else 0

    def _due(self, tab: AccountUsage, now: float) -> bool:
        if now - tab.told_at >= TELL_AGAIN_S:
            return True
        if tab.told == (tab.charged, tab.returned):
            return False
        # Many small debts are told together; a large one is told at once.
        return tab.waiting > 0 or 2 * tab.debt >= self._debt_most(tab)

    def paid(self, keeper: str, receipt: Receipt, now: float) -> bool:
        """Take in a keeper's receipt; return whether it is valid.

        One that does not know of all returns yet may count what was given back.
        """
        tab = self._tabs.get(receipt.account)
        if tab is None or tab.keeper != keeper or tab.returned != receipt.returned:
            return False
        tab.pay(receipt.paid)
        tab.heard_at = now
        tab.next_paid_at = now + receipt.wait_s if receipt.wait_s else float("-inf")
        return True
