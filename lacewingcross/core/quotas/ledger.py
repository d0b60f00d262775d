"""The requests that one host runs for client accounts, and which of them are paid.

Designed for accounts whose requests arrive at all hosts at the same time, from a few to
some hundred per second, and have to be admitted or refused without delay. A host runs a
few requests of each account before the account's keeper has paid for them; these are
the host's *debt*. The debts of all hosts together stay within the margin that the bound
leaves over the quota. So an ordinary request does not wait for another host, and
requests continue while a keeper is being replaced.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from ..overload.caller_times import UNKNOWN_TIMES, CallerTimes
from ..randomness import RandomSource
from .account_usage import AccountUsage
from .bound import Quota, QuotaBound
from .keeper import Charge, Receipt

# How long a request may wait for its keeper's receipt, in seconds. A response from the
# farthest region takes 70 ms, and the first one over a new stream three times that.
MAX_WAIT_S = 0.25
# A request waits for at most this part of its target, so that enough of the target is
# left to answer it in time: a warm run takes a bit less than half of it.
MAX_WAIT_TARGETS = 0.5
# A request waits at least this long if it waits at all, in seconds. Otherwise requests
# with a short target would be refused although the keeper's receipt is on its way.
MIN_MAX_WAIT_S = 0.1
# Part of the target that an answer usually takes: a warm run is a bit less than half.
ANSWER_TARGETS = 0.5
# Maximum number of requests of one account that wait at one host for a receipt.
MAX_WAITERS = 64
# Charges that are not paid yet, or returns, are sent again after this time, in seconds,
# since a stream that broke may have lost the last message.
RESEND_INTERVAL_S = 0.25
# A debt counts for the bound's window and this much longer, in seconds, because a
# request is sent to a backend server a little after it was admitted.
DEBT_MARGIN_S = 0.5


class Outcome(Enum):
    """The decision on a request of an account."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    # The request is charged and not decided; the keeper's receipt will decide.
    WAITING = "waiting"


@dataclass(slots=True, frozen=True)
class Admission:
    """The decision on a request, and the figures that it is based on.

    A refused caller should retry after `retry_after_s`. `keeper` is the host id of the
    account's keeper, empty if there is none. `debt` is the number of requests that this
    host has run and that are not paid, `max_debt` its limit. `receipt_age_s` is the
    time since the last receipt for this account, infinite before the first. Times are
    in seconds. A waiting request waits for at most `max_wait_s`. The keeper and the
    figures are left out for an account without a quota, and the figures for a request
    that was admitted after it had waited.
    """

    outcome: Outcome
    retry_after_s: float = 0.0
    keeper: str = ""
    debt: int = 0
    max_debt: int = 0
    receipt_age_s: float = 0.0
    max_wait_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Decided:
    """How many waiting requests of an account are decided.

    The oldest of them are admitted, the newest are refused; the requests between them
    continue to wait.
    """

    admitted: int
    refused: int


class QuotaLedger:
    """Admits requests of accounts on one host.

    Each request is charged to the keeper of its account, unless it is refused at once.
    The keeper's receipt says how many of the charges the keeper has paid.

    Parameters
    ----------
    bound : QuotaBound
        The bound on the requests of all hosts together.
    rng : RandomSource
        Source of jitter.
    """

    __slots__ = (
        "_bound",
        "_removed_totals",
        "_rng",
        "_unsettled_accounts",
        "_usage_by_account",
        "caller_host_count",
        "debt_host_count",
    )

    def __init__(self, bound: QuotaBound, rng: RandomSource) -> None:
        self._bound = bound
        self._rng = rng
        self._usage_by_account: dict[str, AccountUsage] = {}
        # The highest totals (charged, returned) of accounts that were removed.
        self._removed_totals = (0, 0)
        # Accounts with charges or returns not yet sent, or charges not yet paid.
        self._unsettled_accounts: set[str] = set()
        # Number of hosts that share the margin for debts equally; 0 allows this host no
        # debt.
        self.debt_host_count = 0
        # Number of active hosts, among which callers choose.
        self.caller_host_count = 1

    def configure(self, quotas: dict[str, Quota]) -> None:
        """Apply the quotas of all accounts; an account not in `quotas` has none."""
        for account in self._usage_by_account.keys() - quotas.keys():
            self._remove(account)
        for account, quota in quotas.items():
            if account in self._usage_by_account:
                self._usage_by_account[account].quota = quota
            else:
                self._usage_by_account[account] = self._new_usage(quota)

    def _remove(self, account: str) -> None:
        usage = self._usage_by_account.pop(account)
        self._unsettled_accounts.discard(account)
        charged, returned = self._removed_totals
        self._removed_totals = (
            max(charged, usage.charged),
            max(returned, usage.returned),
        )

    def _new_usage(self, quota: Quota) -> AccountUsage:
        """Return usage whose totals are no lower than those of any removed account.

        Guards against an account that loses its quota and gets it back, while its
        keeper missed the version without the quota and still holds the old totals. The
        keeper would ignore lower totals as outdated.
        """
        charged, returned = self._removed_totals
        return AccountUsage(quota, None, charged, returned, paid=charged - returned)

    def set_bound(self, bound: QuotaBound) -> None:
        """Change the bound on the requests of all hosts together."""
        self._bound = bound

    def set_keeper(self, account: str, keeper: str | None) -> None:
        """Change the keeper of an account; all its open charges become due there."""
        usage = self._usage_by_account[account]
        if usage.keeper != keeper:
            usage.keeper = keeper
            usage.sent_at = float("-inf")
            usage.sent_totals = (-1, -1)
            usage.next_paid_at = float("-inf")

    @property
    def has_unsettled_totals(self) -> bool:
        """Return whether a charge or return is not yet sent, or a charge not paid."""
        return bool(self._unsettled_accounts)

    def accounts(self) -> Iterator[str]:
        """Return the accounts that have quotas."""
        return iter(self._usage_by_account)

    def _max_debt(self, usage: AccountUsage) -> int:
        return (
            self._bound.max_debt_per_host(usage.quota, self.debt_host_count)
            if self.debt_host_count
            else 0
        )

    def ask(
        self, account: str, now: float, caller: CallerTimes = UNKNOWN_TIMES
    ) -> Admission:
        """Decide on a request.

        An admitted request is charged immediately; `cancel` takes the charge back. A
        waiting request is also charged; it is decided later by `decide_waiting`, or
        abandoned by `give_up`. A request of an account without a quota is admitted and
        not charged.
        """
        usage = self._usage_by_account.get(account)
        if usage is None:
            return Admission(Outcome.ADMITTED)
        self._forgive_old_debt(usage, now)
        if self._yields(usage, caller):
            return self._refusal(usage, caller, now)
        if not usage.waiting and usage.debt < self._max_debt(usage):
            usage.charged += 1
            usage.note_admitted(now)
            self._unsettled_accounts.add(account)
            return self._admission(usage, Outcome.ADMITTED, now)
        wait_s = max_wait_s(caller)
        may_wait = self._may_wait(usage, usage.waiting, wait_s, now)
        if usage.keeper is None or not may_wait:
            return self._refusal(usage, caller, now)
        usage.charged += 1
        usage.max_waits_s.append(wait_s)
        self._unsettled_accounts.add(account)
        pending = self._admission(usage, Outcome.WAITING, now)
        return replace(pending, max_wait_s=wait_s)

    def _yields(self, usage: AccountUsage, caller: CallerTimes) -> bool:
        """Return whether a request leaves the account's credit to other requests.

        A later try whose target has passed can be answered late only. It takes credit
        if that refuses no first try: little of the debt is used, nothing waits, and the
        keeper delays no payment. A caller on its last try does not yield, so that no
        caller is refused until it gives up.
        """
        if not caller.late or caller.at_last_try:
            return False
        max_debt = self._max_debt(usage)
        debt_is_low = 2 * usage.debt < max_debt or not max_debt
        no_payment_waits = usage.next_paid_at == float("-inf")
        return usage.waiting > 0 or not (debt_is_low and no_payment_waits)

    def _may_wait(
        self, usage: AccountUsage, ahead: int, max_wait_s: float, now: float
    ) -> bool:
        """Return whether a request behind `ahead` other waiting requests may wait.

        It may if it is expected to be paid within `max_wait_s` seconds. At most
        `MAX_WAITERS` requests wait.
        """
        if ahead >= MAX_WAITERS:
            return False
        earliest_s = usage.next_paid_at - now
        if earliest_s <= 0:
            return True
        return earliest_s + ahead * self._credit_interval_s(usage) <= max_wait_s

    def _credit_interval_s(self, usage: AccountUsage) -> float:
        """Return the average time between two requests that are paid here, in seconds.

        The quota's rate is divided evenly among the hosts that callers use.
        """
        return self.caller_host_count / usage.quota.rate

    def decide_waiting(self, account: str, now: float) -> Decided:
        """Admit waiting requests that are paid; refuse those not paid in time.

        A request is refused if it is not expected to be paid within the time that it
        may wait, or if `MAX_WAITERS` requests of the account wait before it.
        """
        usage = self._usage_by_account.get(account)
        if usage is None:
            return Decided(0, 0)
        admitted = 0
        while usage.waiting and usage.debt < self._max_debt(usage):
            usage.max_waits_s.popleft()
            admitted += 1
            usage.note_admitted(now)
        refused = 0
        while usage.waiting and not self._may_wait(
            usage, usage.waiting - 1, usage.max_waits_s[-1], now
        ):
            usage.max_waits_s.pop()
            self._take_back(account, usage)
            refused += 1
        return Decided(admitted, refused)

    def waiting(self, account: str) -> int:
        """Return how many requests of an account wait for a receipt."""
        usage = self._usage_by_account.get(account)
        return usage.waiting if usage else 0

    def give_up(self, account: str, index: int) -> None:
        """Abandon a waiting request and take its charge back.

        `index` is its place among the waiting requests of the account, 0 for the
        oldest. Nothing happens if there is no such request.
        """
        usage = self._usage_by_account.get(account)
        if usage is not None and index < usage.waiting:
            del usage.max_waits_s[index]
            self._take_back(account, usage)

    def cancel(self, account: str) -> None:
        """Take back the charge of an admitted request that never ran."""
        usage = self._usage_by_account.get(account)
        if usage is not None and usage.charged - usage.returned > usage.waiting:
            self._take_back(account, usage)

    def _take_back(self, account: str, usage: AccountUsage) -> None:
        usage.take_back()
        self._unsettled_accounts.add(account)

    def refusal(
        self, account: str, now: float, caller: CallerTimes = UNKNOWN_TIMES
    ) -> Admission:
        """Return the refusal of a request that was not paid while it waited.

        A retry time that still allows an answer in time is noted, so that the next
        refused caller gets another one. If the account has lost its quota meanwhile,
        the caller should retry after one window.
        """
        usage = self._usage_by_account.get(account)
        if usage is None:
            return Admission(Outcome.REFUSED, self._bound.window_s)
        return self._refusal(usage, caller, now)

    def _refusal(
        self, usage: AccountUsage, caller: CallerTimes, now: float
    ) -> Admission:
        delay_s = self._retry_delay_s(usage, caller, now)
        refused = self._admission(usage, Outcome.REFUSED, now)
        return replace(refused, retry_after_s=delay_s)

    def _admission(
        self, usage: AccountUsage, outcome: Outcome, now: float
    ) -> Admission:
        return Admission(
            outcome,
            0.0,
            usage.keeper or "",
            usage.debt,
            self._max_debt(usage),
            now - usage.receipt_at,
        )

    def _retry_delay_s(
        self, usage: AccountUsage, caller: CallerTimes, now: float
    ) -> float:
        """Return after how many seconds a refused caller should retry.

        A caller that can still be answered in time gets the next retry time of the
        account, if that is soon enough. Others gain nothing by an early retry, so they
        come back near the end of the delay that they honour.
        """
        retry_at = self._next_retry_at(usage, now)
        if caller.known:
            in_time_s = caller.in_time_s(ANSWER_TARGETS * caller.target_s)
            if retry_at - now > min(in_time_s, caller.longest_delay_s):
                return caller.late_delay_s(self._rng)
        usage.last_retry_at = retry_at
        return retry_at - now

    def _next_retry_at(self, usage: AccountUsage, now: float) -> float:
        """Return the next retry time of an account, in monotonic seconds.

        Guards against callers that are refused together, get the same retry time, and
        are refused together again. Each caller gets a retry time of its own. The
        interval between two retry times is the average time between two requests that
        this host may admit under its even part of the quota's rate.
        """
        interval_s = self._credit_interval_s(usage)
        earliest_at = max(now, usage.next_paid_at)
        retry_at = max(earliest_at, usage.last_retry_at) + interval_s
        if retry_at - now > self._bound.window_s:
            # Retry times do not reach beyond one window, since a caller that waits
            # longer gains nothing. They start again from the earliest one, at random,
            # and reuse the times of callers that never retried.
            retry_at = earliest_at + interval_s * self._rng.uniform(0.0, 1.0)
        return retry_at

    def _forgive_old_debt(self, usage: AccountUsage, now: float) -> None:
        """Forgive debts that are older than the bound's window.

        Guards against a time in which no keeper is reachable: if debts were kept, a
        host would run up to its limit of debt once and refuse the account's requests
        from then on. A debt older than the window no longer counts against the bound.
        """
        usage.forgive(now - self._bound.window_s - DEBT_MARGIN_S)

    def due_charges(self, now: float) -> Iterator[tuple[str, Charge]]:
        """Yield the charges that are due, with their keepers, and note them as sent.

        An account with nothing left to send or to be paid is then settled.
        """
        for account in sorted(self._unsettled_accounts):
            usage = self._usage_by_account[account]
            if usage.keeper is not None and self._is_due(usage, now):
                yield usage.keeper, self.next_charge(account, now)
            if not usage.open and usage.sent_totals == (usage.charged, usage.returned):
                self._unsettled_accounts.discard(account)

    def next_charge(self, account: str, now: float) -> Charge:
        """Return the account's current totals for its keeper, and note them as sent."""
        usage = self._usage_by_account[account]
        usage.sent_totals = (usage.charged, usage.returned)
        usage.max_sent_charged = max(usage.max_sent_charged, usage.charged)
        usage.sent_at = now
        return Charge(account, usage.charged, usage.returned, usage.paid)

    def keeper(self, account: str) -> str | None:
        """Return the keeper of an account, or None without a quota or a live keeper."""
        usage = self._usage_by_account.get(account)
        return usage.keeper if usage else None

    def debt(self, account: str) -> int:
        """Return how many requests of an account were run here and are not paid."""
        usage = self._usage_by_account.get(account)
        return max(0, usage.debt) if usage else 0

    def _is_due(self, usage: AccountUsage, now: float) -> bool:
        """Return whether an account's totals should be sent to its keeper now."""
        if now - usage.sent_at >= RESEND_INTERVAL_S:
            return True
        if usage.sent_totals == (usage.charged, usage.returned):
            return False
        # Small debts are collected into one message. The totals are sent at once if the
        # debt is half its limit or more, or if requests are waiting.
        return usage.waiting > 0 or 2 * usage.debt >= self._max_debt(usage)

    def take_receipt(self, keeper: str, receipt: Receipt, now: float) -> bool:
        """Process a keeper's receipt; return whether it is valid.

        A receipt from a host that is not the account's keeper is ignored. So is one
        that does not include all returns yet, since it may count returned requests as
        paid.
        """
        usage = self._usage_by_account.get(receipt.account)
        if (
            usage is None
            or usage.keeper != keeper
            or usage.returned != receipt.returned
        ):
            return False
        usage.pay(receipt.paid)
        usage.receipt_at = now
        usage.next_paid_at = now + receipt.wait_s if receipt.wait_s else float("-inf")
        return True


def max_wait_s(caller: CallerTimes) -> float:
    """Return how long a request may wait for credit, in seconds."""
    if not caller.known:
        return MAX_WAIT_S
    wait_s = max(MIN_MAX_WAIT_S, MAX_WAIT_TARGETS * caller.target_s)
    return min(MAX_WAIT_S, wait_s)
