"""The keeper of client accounts' quotas: credit from the shares that are lent to it.

A keeper has one token bucket of credit for each account that it keeps. The bucket fills
at the share of the account's rate that holders have lent, and its size is the same
share of the credit that an account without requests may accumulate. Hosts run requests
first and charge them here; a charge that the bucket cannot pay waits. Hosts are served
round robin, so a flood of charges from one host does not delay the others.

A share is lent by a lease. The lease ends by the keeper's own clock, and is counted
from the newest reading of that clock that the lender had received, which is before the
lender sent the lease. So a share never counts here at a time when its lender may have
lent it to another keeper. Buckets start empty, so a keeper that restarts or takes over
an account grants no credit twice.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from .quota import Quota, QuotaBound
from .quota_holders import Holders

# Duration of a lease, in seconds. It is shorter than the silence after which a host is
# considered dead (2 s), so its shares are free again when the next keeper takes over.
LEASE_S = 1.2
# While no share is lent, hosts are sent this time until the next credit, in seconds.
UNLENT_PAUSE_S = 0.5
# Number of views of the holders that are remembered. All hosts compute a new view at
# almost the same time, so leases refer to recent views only.
VIEWS_KEPT = 4
# Charges of a host that has sent none for this time are forgotten, in seconds. There is
# one record for each account and host.
BOOK_KEPT_S = 60.0
# Interval of the search for such records, in seconds.
CLOSE_EVERY_S = 5.0

Incarnation = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Charge:
    """Running totals of one account on one host, since that host started.

    Attributes
    ----------
    account : str
        Name of the account.
    charged : int
        Requests that the host has run, or will run when they are paid.
    returned : int
        Charged requests that never ran.
    paid : int
        Other charged requests that are paid, according to the receipts so far.
    """

    account: str
    charged: int
    returned: int
    paid: int


@dataclass(slots=True, frozen=True)
class Receipt:
    """A keeper's response to a charge: the total of paid requests.

    `returned` repeats the total that the keeper has received. `wait_s` is the time in
    seconds until the host's next charge is paid, 0 if no charge is open.
    """

    account: str
    returned: int
    paid: int
    wait_s: float


@dataclass(slots=True)
class _Book:
    """Charges of one host for one account; the totals are those of `Charge`."""

    charged: int = 0
    returned: int = 0
    paid: int = 0
    used_at: float = 0.0

    @property
    def open(self) -> int:
        return self.charged - self.returned - self.paid


@dataclass(slots=True)
class _Bucket:
    """Credit of one account; `part` of its quota is lent to this keeper.

    `level` is the credit at the time `at`. `turns` holds the hosts with open charges in
    round-robin order, the next one first.
    """

    quota: Quota
    at: float
    part: float = 0.0
    level: float = 0.0
    books: dict[Incarnation, _Book] = field(default_factory=dict)
    turns: deque[Incarnation] = field(default_factory=deque)


@dataclass(slots=True, frozen=True)
class _Lease:
    """Shares lent until a time; `live` is the mask of holders the lender sees alive."""

    holders: Holders
    live: int
    until: float


class QuotaKeeper:
    """Keeps accounts on one host.

    All times are in seconds, on a clock that goes on while the machine is suspended.

    Parameters
    ----------
    own_id : str
        Id of this host.
    bound : QuotaBound
        The bound that all hosts together keep to.
    """

    __slots__ = (
        "_bound",
        "_buckets",
        "_closed_at",
        "_leases",
        "_own_id",
        "_views",
    )

    def __init__(self, own_id: str, bound: QuotaBound) -> None:
        self._own_id = own_id
        self._bound = bound
        self._buckets: dict[str, _Bucket] = {}
        self._closed_at = float("-inf")
        self._leases: dict[str, _Lease] = {}
        self._views: dict[str, Holders] = {}

    def configure(self, quotas: dict[str, Quota], now: float) -> None:
        """Apply the quotas of all accounts.

        If a quota is lowered, credit above the new maximum is dropped.
        """
        self._pass_time(now)
        for account in self._buckets.keys() - quotas.keys():
            del self._buckets[account]
        for account, quota in quotas.items():
            bucket = self._buckets.get(account)
            if bucket is None:
                bucket = _Bucket(quota, now)
                bucket.part = self._part(account)
                self._buckets[account] = bucket
            elif bucket.quota != quota:
                self._fill(bucket, now)
                bucket.quota = quota
                self._cap(bucket)

    def set_bound(self, bound: QuotaBound, now: float) -> None:
        """Change the bound that all hosts together keep to."""
        for bucket in self._buckets.values():
            self._fill(bucket, now)
        self._bound = bound

    def know(self, holders: Holders) -> None:
        """Remember a view of the holders, so that leases under its key are accepted."""
        self._views[holders.key] = holders
        while len(self._views) > VIEWS_KEPT:
            del self._views[next(iter(self._views))]

    def lend(self, host_id: str, key: str, live: int, until: float, now: float) -> None:
        """Replace the lease of one lender.

        It covers the lender's shares of the accounts that this host keeps.

        Parameters
        ----------
        host_id : str
            The lender.
        key : str
            Key of its view of the holders; a view that is unknown here lends nothing.
        live : int
            Mask of the holders that it sees alive; 0 lends nothing.
        until : float
            When the lease ends.
        now : float
            Time in seconds.
        """
        self._pass_time(now)
        old = self._leases.get(host_id)
        holders = self._views.get(key)
        if holders is None or not live or host_id not in holders or until <= now:
            if old is not None:
                del self._leases[host_id]
                self._update_parts(now)
            return
        self._leases[host_id] = _Lease(holders, live, until)
        if old is None or old.live != live or old.holders is not holders:
            self._update_parts(now)

    def give_up(self, now: float) -> None:
        """End all leases, before the lenders learn that they can lend elsewhere."""
        self._pass_time(now)
        self._leases.clear()
        self._update_parts(now)

    def _pass_time(self, now: float) -> None:
        """End expired leases, crediting each bucket up to the moment of expiry."""
        while self._leases:
            host_id, lease = min(self._leases.items(), key=lambda item: item[1].until)
            if lease.until > now:
                return
            del self._leases[host_id]
            self._update_parts(lease.until)

    def _update_parts(self, now: float) -> None:
        for account, bucket in self._buckets.items():
            self._fill(bucket, now)
            bucket.part = self._part(account)
            self._cap(bucket)

    def _part(self, account: str) -> float:
        return sum(
            1.0 / len(lease.holders)
            for lease in self._leases.values()
            if lease.holders.keeper(account, lease.live) == self._own_id
        )

    def _fill(self, bucket: _Bucket, now: float) -> None:
        if now > bucket.at:
            bucket.level += bucket.quota.rate * bucket.part * (now - bucket.at)
            bucket.at = now
            self._cap(bucket)

    def _cap(self, bucket: _Bucket) -> None:
        most = self._bound.credit_most(bucket.quota) * bucket.part
        bucket.level = min(bucket.level, most)

    def charge(self, host: Incarnation, item: Charge, now: float) -> Receipt | None:
        """Process a host's charge; return the receipt.

        Returns None for an account without a quota here, and for a charge that is older
        than the last one from the host.
        """
        bucket = self._buckets.get(item.account)
        if bucket is None:
            return None
        self._pass_time(now)
        self._fill(bucket, now)
        book = bucket.books.get(host)
        if book is None:
            book = _Book()
            bucket.books[host] = book
        elif item.charged < book.charged or item.returned < book.returned:
            return None
        book.charged = item.charged
        book.returned = item.returned
        # Another keeper may have been paid in the meantime.
        book.paid = max(book.paid, item.paid)
        book.used_at = now
        self._refund(bucket, book)
        if book.open > 0 and host not in bucket.turns:
            bucket.turns.append(host)
        self._pay(bucket)
        return self._receipt(item.account, bucket, host)

    def _refund(self, bucket: _Bucket, book: _Book) -> None:
        """Return the credit of requests that were paid and never ran."""
        if book.open < 0:
            bucket.level -= book.open
            book.paid += book.open
            self._cap(bucket)

    def _pay(self, bucket: _Bucket) -> set[Incarnation]:
        """Pay charges round robin, one per host; return the hosts that were paid."""
        paid = set()
        while bucket.turns:
            host = bucket.turns[0]
            book = bucket.books[host]
            if book.open > 0:
                if bucket.level < 1.0:
                    break
                bucket.level -= 1.0
                book.paid += 1
                paid.add(host)
            bucket.turns.popleft()
            if book.open > 0:
                bucket.turns.append(host)
        return paid

    def _receipt(self, account: str, bucket: _Bucket, host: Incarnation) -> Receipt:
        book = bucket.books[host]
        wait_s = self._wait_s(bucket, host) if book.open > 0 else 0.0
        return Receipt(account, book.returned, book.paid, wait_s)

    def _wait_s(self, bucket: _Bucket, host: Incarnation) -> float:
        rate = bucket.quota.rate * bucket.part
        if rate <= 0:
            return UNLENT_PAUSE_S
        ahead = bucket.turns.index(host) + 1
        return max(0.0, ahead - bucket.level) / rate

    def review(self, now: float) -> Iterator[tuple[str, Receipt]]:
        """Pay the charges that credit covers; yield receipts with their host ids."""
        self._pass_time(now)
        for account, bucket in self._buckets.items():
            if bucket.turns:
                self._fill(bucket, now)
                for host in sorted(self._pay(bucket)):
                    yield host[0], self._receipt(account, bucket, host)
        if now - self._closed_at >= CLOSE_EVERY_S:
            self._closed_at = now
            self._close_books(now)

    def _close_books(self, now: float) -> None:
        for bucket in self._buckets.values():
            bucket.books = {
                host: book
                for host, book in bucket.books.items()
                if now - book.used_at <= BOOK_KEPT_S or host in bucket.turns
            }

    def part(self, account: str) -> float:
        """Return the share of an account's quota that is lent to this host, 0 to 1."""
        bucket = self._buckets.get(account)
        return bucket.part if bucket else 0.0

    def credit(self, account: str, now: float) -> float:
        """Return the credit of an account minus its open charges."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return inf
        self._fill(bucket, now)
        return bucket.level - sum(bucket.books[host].open for host in bucket.turns)
