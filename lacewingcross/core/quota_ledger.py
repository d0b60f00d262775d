"""The requests that one host runs for client accounts, and which of them are paid.

Designed for accounts whose requests arrive at all hosts at the same time, from a few to
some hundred per second, and have to be admitted or refused without delay. A host runs a
few requests of each account before the account's keeper has paid for them; these are
its *debt*. The debts of all hosts together stay within the margin that the bound leaves
over the quota. So an ordinary request does not wait for another host, and requests
continue while a keeper is being replaced.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from .account_usage import AccountUsage
from .quota import Quota, QuotaBound
from .quota_keeper import Charge, Receipt
from .randomness import RandomSource

# How long a request may wait for its keeper's receipt, in seconds. A response from the
# farthest region takes 70 ms, and the first one over a new stream three times that.
MAX_WAIT_S = 0.25
# Maximum number of requests of one account that wait at a host for a receipt.
WAITERS_MOST = 64
# Open charges are sent again after this time, in seconds, since a stream that broke may
# have lost them.
TELL_AGAIN_S = 0.25
# A debt counts for the bound's window and this much longer, in seconds, because
# requests are sent a little after they were admitted.
DEBT_MARGIN_S = 0.5


class Outcome(Enum):
    """The decision on a request of an account."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    # The charge is open, and the keeper's receipt will decide.
    WAITING = "waiting"


@dataclass(slots=True, frozen=True)
class Admission:
    """The decision on a request, and the figures that it is based on.

    A refused caller should retry after `retry_after_s`. `debt` is the number of
    requests that were run and are not paid, `debt_most` its limit. `age_s` is the time
    since the last receipt for this account. Times are in seconds.
    """

    outcome: Outcome
    retry_after_s: float = 0.0
    keeper: str = ""
    debt: int = 0
    debt_most: int = 0
    age_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Decided:
    """How many waiting requests are decided.

    The oldest ones are admitted, the newest ones are refused.
    """

    admitted: int
    refused: int


class QuotaLedger:
    """Admits requests of accounts on one host.

    Each request is charged to the keeper of its account. The keeper's receipt says how
    many of the charges it has paid.

    Parameters
    ----------
    bound : QuotaBound
        The bound that all hosts together keep to.
    rng : RandomSource
        Source of jitter.
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
        # The highest totals (charged, returned) of accounts that were removed.
        self._dropped = (0, 0)
        # Accounts with charges that are not yet sent or not yet paid.
        self._open: set[str] = set()
        # Number of hosts among which debts are divided; 0 allows this host no debt.
        self.holders = 0
        # Number of hosts among which callers choose.
        self.callers_parts = 1

    def configure(self, quotas: dict[str, Quota]) -> None:
        """Apply the quotas of all accounts."""
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
        """Return usage whose totals are no lower than those of any removed account.

        Guards against an account that loses its quota and gets it back, while its
        keeper has seen only the last version of the configuration. The keeper would
        ignore lower totals as outdated.
        """
        charged, returned = self._dropped
        return AccountUsage(quota, None, charged, returned, paid=charged - returned)

    def set_bound(self, bound: QuotaBound) -> None:
        """Change the bound that all hosts together keep to."""
        self._bound = bound

    def set_keeper(self, account: str, keeper: str | None) -> None:
        """Change the keeper of an account; all open charges become due for it."""
        tab = self._tabs[account]
        if tab.keeper != keeper:
            tab.keeper = keeper
            tab.told_at = float("-inf")
            tab.told = (-1, -1)
            tab.next_paid_at = float("-inf")

    @property
    def has_open(self) -> bool:
        """Return whether any charges are not yet sent or not yet paid."""
        return bool(self._open)

    def accounts(self) -> Iterator[str]:
        """Return the accounts that have quotas."""
        return iter(self._tabs)

    def _debt_most(self, tab: AccountUsage) -> int:
        return self._bound.debt_each(tab.quota, self.holders) if self.holders else 0

    def ask(self, account: str, now: float) -> Admission:
        """Decide on a request.

        An admitted request is charged immediately; `cancel` takes the charge back. A
        waiting request is decided later by `decided`, or abandoned by `give_up`.
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
        """Return whether a request with `ahead` others before it is paid in time."""
        if ahead >= WAITERS_MOST:
            return False
        soonest_s = tab.next_paid_at - now
        if soonest_s <= 0:
            return True
        return soonest_s + ahead * self._apart_s(tab) <= MAX_WAIT_S

    def _apart_s(self, tab: AccountUsage) -> float:
        """Return the interval between credits for this host's callers, in seconds."""
        return self.callers_parts / tab.quota.rate

    def decided(self, account: str, now: float) -> Decided:
        """Decide on waiting requests as far as the receipts allow."""
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
        """Abandon one waiting request and take its charge back."""
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
        """Return the refusal of a request that was not paid while it waited."""
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
        """Return after how many seconds a refused caller should retry.

        Guards against callers that are refused together, get the same retry time, and
        are refused together again. Each caller gets a retry time of its own; these
        times are as far apart as the credits for this host's callers.
        """
        apart_s = self._apart_s(tab)
        soonest = max(now, tab.next_paid_at)
        turn = max(soonest, tab.next_turn) + apart_s
        if turn - now > self._bound.window_s:
            # A caller that waits longer than a window gains nothing by it. The retry
            # times start from the beginning, which reuses those of callers that never
            # retried.
            turn = soonest + apart_s * self._rng.uniform(0.0, 1.0)
        tab.next_turn = turn
        return turn - now

    def _age(self, tab: AccountUsage, now: float) -> None:
        """Forgive debts that are older than the bound's window.

        Guards against a time in which no keeper is reachable: without this, a host
        would run its debt once and then refuse the account from then on.
        """
        tab.forgive(now - self._bound.window_s - DEBT_MARGIN_S)

    def to_tell(self, now: float) -> Iterator[tuple[str, Charge]]:
        """Yield the charges that are due, with their keepers, and note them as sent."""
        for account in sorted(self._open):
            tab = self._tabs[account]
            if tab.keeper is not None and self._due(tab, now):
                yield tab.keeper, self.charge_of(account, now)
            if not tab.open and tab.told == (tab.charged, tab.returned):
                self._open.discard(account)

    def charge_of(self, account: str, now: float) -> Charge:
        """Return the current charge for the account's keeper, and note it as sent."""
        tab = self._tabs[account]
        tab.told = (tab.charged, tab.returned)
        tab.told_most = max(tab.told_most, tab.charged)
        tab.told_at = now
        return Charge(account, tab.charged, tab.returned, tab.paid)

    def keeper(self, account: str) -> str | None:
        """Return the keeper of an account, or None if it is unknown."""
        tab = self._tabs.get(account)
        return tab.keeper if tab else None

    def debt(self, account: str) -> int:
        """Return how many requests of an account were run and are not paid."""
        tab = self._tabs.get(account)
        return max(0, tab.debt) if tab else 0

    def _due(self, tab: AccountUsage, now: float) -> bool:
        if now - tab.told_at >= TELL_AGAIN_S:
            return True
        if tab.told == (tab.charged, tab.returned):
            return False
        # Small debts are collected into one message; a debt of half the limit or more,
        # or one with waiting requests, is sent at once.
        return tab.waiting > 0 or 2 * tab.debt >= self._debt_most(tab)

    def paid(self, keeper: str, receipt: Receipt, now: float) -> bool:
        """Process a keeper's receipt; return whether it is valid.

        A receipt that does not include all returns yet is ignored, since it may count
        returned requests as paid.
        """
        tab = self._tabs.get(receipt.account)
        if tab is None or tab.keeper != keeper or tab.returned != receipt.returned:
            return False
        tab.pay(receipt.paid)
        tab.heard_at = now
        tab.next_paid_at = now + receipt.wait_s if receipt.wait_s else float("-inf")
        return True
