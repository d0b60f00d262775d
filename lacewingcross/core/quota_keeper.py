"""The keeper of client accounts' quotas: credit from the shares that are lent to it.

A keeper has one bucket of credit for each account that it keeps. It fills at the part
of the account's rate that holders have lent, and holds at most that part of what a
quiet account saves up. Hosts run requests first and charge them here; a charge that the
bucket cannot pay waits. Hosts take turns, so none waits for another one's flood.

A share is lent by a lease that ends by the keeper's own clock, which started before the
lender's did: it never counts here when its lender may have lent it to another keeper.
Buckets start empty, so a keeper that starts again, or takes over, gives nothing twice.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from .quota import Quota, QuotaBound
from .quota_holders import Holders

# How long a share is lent for, in seconds: shorter than the silence after which a host
# is taken for dead (2 s), so its shares are free again when the next keeper steps in.
LEASE_S = 1.2
# Told to hosts while nothing is lent, as the time until there is credit, in seconds.
UNLENT_PAUSE_S = 0.5
# Views of the holders that are remembered; all hosts have a new one within moments.
VIEWS_KEPT = 4
# Books of a host that charged nothing for so long are closed, in seconds, and how often
# they are looked through: there is one for each account and host.
BOOK_KEPT_S = 60.0
CLOSE_EVERY_S = 5.0

Incarnation = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Charge:
    """What a host says of one account: sums since it started.

    Attributes
    ----------
    account : str
        Name of the account.
    charged : int
        Requests that it has run or means to run.
    returned : int
        Those of them that never ran.
    paid : int
        Those of the others that are paid for, as far as it was told.
    """

    account: str
    charged: int
    returned: int
    paid: int


@dataclass(slots=True, frozen=True)
class Receipt:
    """What a keeper answers: how many are paid, after how many returns.

    `wait_s` is the time until the host's next charge is paid, 0 if none is open.
    """

    account: str
    returned: int
    paid: int
    wait_s: float


@dataclass(slots=True)
class _Book:
    """Charges of one host for one account."""

    charged: int = 0
    returned: int = 0
    paid: int = 0
    used_at: float = 0.0

    @property
    def open(self) -> int:
        return self.charged - self.returned - self.paid


@dataclass(slots=True)
class _Bucket:
    """Credit of one account; `lent_share` of its quota is lent to this keeper.

    `turns` holds the hosts with open charges, the next one first.
    """

    quota: Quota
    at: float
    lent_share: float = 0.0
    level: float = 0.0
    books: dict[Incarnation, _Book] = field(default_factory=dict)
    turns: deque[Incarnation] = field(default_factory=deque)


@dataclass(slots=True, frozen=True)
class _Lease:
    """Shares lent until a time by a host that sees some holders live."""

    holders: Holders
    live: int
    until: float


class QuotaKeeper:
    """Keeps accounts on one host; times are of a clock that does not stop in a suspend.

    Parameters
    ----------
    own_id : str
        This host.
    bound : QuotaBound
        What all hosts keep to.
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

    # What operators declare

    def configure(self, quotas: dict[str, Quota], now: float) -> None:
        """Take over the quotas of all accounts; credit beyond a lower one is lost."""
        self._pass_time(now)
        for account in self._buckets.keys() - quotas.keys():
            del self._buckets[account]
        for account, quota in quotas.items():
            bucket = self._buckets.get(account)
            if bucket is None:
                bucket = _Bucket(quota, now)
                bucket.lent_share = self._part(account)
                self._buckets[account] = bucket
            elif bucket.quota != quota:
                self._fill(bucket, now)
                bucket.quota = quota
                self._cap(bucket)

    def set_bound(self, bound: QuotaBound, now: float) -> None:
        """Take over what all hosts keep to."""
        for bucket in self._buckets.values():
            self._fill(bucket, now)
        self._bound = bound

    # Shares

    def know(self, holders: Holders) -> None:
        """Remember a view of the holders, so that leases that go by it can be read."""
        self._views[holders.key] = holders
        while len(self._views) > VIEWS_KEPT:
            del self._views[next(iter(self._views))]

    def lend(self, host_id: str, key: str, live: int, until: float, now: float) -> None:
        """Take over a host's shares, of the accounts that it has this host keep.

        Parameters
        ----------
        host_id : str
            The lender.
        key : str
            Its view of the holders; one that is not known here lends nothing.
        live : int
            Mask of the holders that it sees live; 0 lends nothing.
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
        """Keep nothing any more, before the lenders are told to lend elsewhere."""
        self._pass_time(now)
        self._leases.clear()
        self._update_parts(now)

    def _pass_time(self, now: float) -> None:
        """End leases whose time has come, each at its own moment."""
        while self._leases:
            host_id, lease = min(self._leases.items(), key=lambda item: item[1].until)
            if lease.until > now:
                return
            del self._leases[host_id]
            self._update_parts(lease.until)

    def _update_parts(self, now: float) -> None:
        for account, bucket in self._buckets.items():
            self._fill(bucket, now)
            bucket.lent_share = self._part(account)
            self._cap(bucket)

    def _part(self, account: str) -> float:
        return sum(
            1.0 / len(lease.holders)
            for lease in self._leases.values()
            if lease.holders.keeper(account, lease.live) == self._own_id
        )

    def _fill(self, bucket: _Bucket, now: float) -> None:
        if now > bucket.at:
            bucket.level += bucket.quota.rate * bucket.lent_share * (now - bucket.at)
            bucket.at = now
            self._cap(bucket)

    def _cap(self, bucket: _Bucket) -> None:
        most = self._bound.credit_most(bucket.quota) * bucket.lent_share
        bucket.level = min(bucket.level, most)

    # Charges

    def charge(self, host: Incarnation, item: Charge, now: float) -> Receipt | None:
        """Take in what a host says; return the receipt.

        None for an account without a quota here, and for what is older than what the
        host has said before.
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
        """Give credit back for what was paid and never ran."""
        if book.open < 0:
            bucket.level -= book.open
            book.paid += book.open
            self._cap(bucket)

    def _pay(self, bucket: _Bucket) -> set[Incarnation]:
        """Pay one charge of each host in turn; return those that any were paid for."""
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
        rate = bucket.quota.rate * bucket.lent_share
        if rate <= 0:
            return UNLENT_PAUSE_S
        ahead = bucket.turns.index(host) + 1
        return max(0.0, ahead - bucket.level) / rate

    def review(self, now: float) -> Iterator[tuple[str, Receipt]]:
        """Pay what can be paid by now; yield a receipt for each host that it is for."""
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

    # Questions

    def lent_share(self, account: str) -> float:
        """Return which part of an account's quota is lent to this host."""
        bucket = self._buckets.get(account)
        return bucket.lent_share if bucket else 0.0

    def credit(self, account: str, now: float) -> float:
        """Return the credit of an account, less what waits to be paid."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return inf
        self._fill(bucket, now)
        return bucket.level - sum(bucket.books[host].open for host in bucket.turns)
