"""The keeper of client accounts' quotas: credit from the shares that are lent to it.

A keeper has one token bucket of credit for each account that it keeps. The bucket fills
at the share of the account's rate that holders have lent to the keeper, and its size is
the same share of the credit that an account without requests may accumulate. Hosts run
requests first and charge them here; a charge that the bucket cannot pay waits. Hosts
are served round robin, so a flood of charges from one host does not delay those of
other hosts.

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

from .bound import Quota, QuotaBound
from .holders import Holders

# Duration of a lease, in seconds. It is shorter than the silence after which a host is
# considered dead (2 s), so the shares lent to a keeper that falls silent are free again
# when the next keeper takes over. A shorter lease would end on its way between hosts
# that are too busy to answer each other soon.
LEASE_S = 1.8
# While no share of an account is lent to its keeper, receipts give this time as the
# wait for the next credit, in seconds.
UNLENT_WAIT_S = 0.5
# Number of views of the holders that are remembered. All hosts compute a new view at
# almost the same time, so leases refer to recent views only.
MAX_VIEWS_KEPT = 4
# The totals of a host that has sent no charge of an account for this time, in seconds,
# are forgotten, unless charges are open. There is one record for each account and host.
CHARGES_KEPT_S = 60.0
# Interval of the search for records to forget, in seconds.
CLEANUP_INTERVAL_S = 5.0

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
        Other charged requests that are paid, according to the receipts so far, or whose
        debt the host has forgiven because it is old.
    """

    account: str
    charged: int
    returned: int
    paid: int


@dataclass(slots=True, frozen=True)
class Receipt:
    """A keeper's response to a charge: the total of paid requests.

    `returned` repeats the total that the keeper has received. `wait_s` is the expected
    time in seconds until the host's next charge is paid, 0 if no charge is open.
    """

    account: str
    returned: int
    paid: int
    wait_s: float


@dataclass(slots=True)
class _HostCharges:
    """Charges of one host for one account; the totals are those of `Charge`.

    `used_at` is the time of the host's last charge. Open charges are not paid yet.
    """

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

    `level` is the credit at the time `filled_at`. `pending_hosts` holds the hosts with
    open charges in round-robin order, the next one first.
    """

    quota: Quota
    filled_at: float
    lent_share: float = 0.0
    level: float = 0.0
    charges_by_host: dict[Incarnation, _HostCharges] = field(default_factory=dict)
    pending_hosts: deque[Incarnation] = field(default_factory=deque)


@dataclass(slots=True, frozen=True)
class _Lease:
    """Shares of quotas that one holder lends until `ends_at`.

    `live_mask` is the mask of the holders that the lender considers alive.
    """

    holders: Holders
    live_mask: int
    ends_at: float


class QuotaKeeper:
    """Keeps accounts on one host.

    All times are in seconds, on a clock that goes on while the machine is suspended.

    Parameters
    ----------
    own_id : str
        Id of this host.
    bound : QuotaBound
        The bound on the requests of all hosts together.
    """

    __slots__ = (
        "_bound",
        "_buckets",
        "_cleaned_up_at",
        "_leases",
        "_own_id",
        "_views",
    )

    def __init__(self, own_id: str, bound: QuotaBound) -> None:
        self._own_id = own_id
        self._bound = bound
        self._buckets: dict[str, _Bucket] = {}
        self._cleaned_up_at = float("-inf")
        self._leases: dict[str, _Lease] = {}
        self._views: dict[str, Holders] = {}

    def configure(self, quotas: dict[str, Quota], now: float) -> None:
        """Apply the quotas of all accounts.

        If a quota is lowered, credit above the new maximum is dropped.
        """
        self._expire_leases(now)
        for account in self._buckets.keys() - quotas.keys():
            del self._buckets[account]
        for account, quota in quotas.items():
            bucket = self._buckets.get(account)
            if bucket is None:
                bucket = _Bucket(quota, now)
                bucket.lent_share = self._compute_lent_share(account)
                self._buckets[account] = bucket
            elif bucket.quota != quota:
                self._fill(bucket, now)
                bucket.quota = quota
                self._cap(bucket)

    def set_bound(self, bound: QuotaBound, now: float) -> None:
        """Change the bound on the requests of all hosts together."""
        for bucket in self._buckets.values():
            self._fill(bucket, now)
        self._bound = bound

    def remember_view(self, holders: Holders) -> None:
        """Remember a view of the holders, so that leases under its key are accepted."""
        self._views[holders.key] = holders
        while len(self._views) > MAX_VIEWS_KEPT:
            del self._views[next(iter(self._views))]

    def set_lease(
        self, host_id: str, key: str, live_mask: int, ends_at: float, now: float
    ) -> None:
        """Replace the lease from one lender to this host.

        The new lease covers the lender's shares of the accounts that this host keeps in
        the lender's view of the holders.

        Parameters
        ----------
        host_id : str
            The lender.
        key : str
            `Holders.key` of the lender's view; a view that is unknown here lends
            nothing.
        live_mask : int
            Mask of the holders that the lender considers alive; 0 lends nothing.
        ends_at : float
            When the lease ends, by this keeper's clock; a lease that has ended lends
            nothing.
        now : float
            Time in seconds.
        """
        self._expire_leases(now)
        old = self._leases.get(host_id)
        holders = self._views.get(key)
        if holders is None or not live_mask or host_id not in holders or ends_at <= now:
            if old is not None:
                del self._leases[host_id]
                self._update_lent_shares(now)
            return
        self._leases[host_id] = _Lease(holders, live_mask, ends_at)
        if old is None or old.live_mask != live_mask or old.holders is not holders:
            self._update_lent_shares(now)

    def end_leases(self, now: float) -> None:
        """End all leases to this host.

        It is called before the lenders learn that they can lend to another keeper.
        """
        self._expire_leases(now)
        self._leases.clear()
        self._update_lent_shares(now)

    def _expire_leases(self, now: float) -> None:
        """End expired leases; each bucket fills up to the moment of their expiry."""
        while self._leases:
            host_id, lease = min(self._leases.items(), key=lambda item: item[1].ends_at)
            if lease.ends_at > now:
                return
            del self._leases[host_id]
            self._update_lent_shares(lease.ends_at)

    def _update_lent_shares(self, now: float) -> None:
        for account, bucket in self._buckets.items():
            self._fill(bucket, now)
            bucket.lent_share = self._compute_lent_share(account)
            self._cap(bucket)

    def _compute_lent_share(self, account: str) -> float:
        return sum(
            1.0 / len(lease.holders)
            for lease in self._leases.values()
            if lease.holders.keeper(account, lease.live_mask) == self._own_id
        )

    def _fill(self, bucket: _Bucket, now: float) -> None:
        if now > bucket.filled_at:
            bucket.level += (
                bucket.quota.rate * bucket.lent_share * (now - bucket.filled_at)
            )
            bucket.filled_at = now
            self._cap(bucket)

    def _cap(self, bucket: _Bucket) -> None:
        max_level = self._bound.max_credit(bucket.quota) * bucket.lent_share
        bucket.level = min(bucket.level, max_level)

    def charge(self, host: Incarnation, totals: Charge, now: float) -> Receipt | None:
        """Process a host's charge; return the receipt.

        The result is None for an account without a quota here, and for a charge with a
        lower total than the last one from the host, since such a charge is outdated.
        """
        bucket = self._buckets.get(totals.account)
        if bucket is None:
            return None
        self._expire_leases(now)
        self._fill(bucket, now)
        charges = bucket.charges_by_host.get(host)
        if charges is None:
            charges = _HostCharges()
            bucket.charges_by_host[host] = charges
        elif totals.charged < charges.charged or totals.returned < charges.returned:
            return None
        charges.charged = totals.charged
        charges.returned = totals.returned
        # Another keeper may have paid charges in the meantime.
        charges.paid = max(charges.paid, totals.paid)
        charges.used_at = now
        self._refund(bucket, charges)
        if charges.open > 0 and host not in bucket.pending_hosts:
            bucket.pending_hosts.append(host)
        self._pay(bucket)
        return self._receipt(totals.account, bucket, host)

    def _refund(self, bucket: _Bucket, charges: _HostCharges) -> None:
        """Return the credit of requests that were paid and never ran."""
        if charges.open < 0:
            bucket.level -= charges.open
            charges.paid += charges.open
            self._cap(bucket)

    def _pay(self, bucket: _Bucket) -> set[Incarnation]:
        """Pay open charges while the credit lasts, round robin, one per host and round.

        Return the hosts of which a charge was paid.
        """
        paid = set()
        while bucket.pending_hosts:
            host = bucket.pending_hosts[0]
            charges = bucket.charges_by_host[host]
            if charges.open > 0:
                if bucket.level < 1.0:
                    break
                bucket.level -= 1.0
                charges.paid += 1
                paid.add(host)
            bucket.pending_hosts.popleft()
            if charges.open > 0:
                bucket.pending_hosts.append(host)
        return paid

    def _receipt(self, account: str, bucket: _Bucket, host: Incarnation) -> Receipt:
        charges = bucket.charges_by_host[host]
        wait_s = self._wait_s(bucket, host) if charges.open > 0 else 0.0
        return Receipt(account, charges.returned, charges.paid, wait_s)

    def _wait_s(self, bucket: _Bucket, host: Incarnation) -> float:
        """Return the time until a host's next open charge is paid, in seconds."""
        rate = bucket.quota.rate * bucket.lent_share
        if rate <= 0:
            return UNLENT_WAIT_S
        place_in_queue = bucket.pending_hosts.index(host) + 1
        return max(0.0, place_in_queue - bucket.level) / rate

    def review(self, now: float) -> Iterator[tuple[str, Receipt]]:
        """Pay the charges that credit covers; yield receipts with their host ids.

        Records of hosts that have sent no charges for long are forgotten.
        """
        self._expire_leases(now)
        for account, bucket in self._buckets.items():
            if bucket.pending_hosts:
                self._fill(bucket, now)
                for host in sorted(self._pay(bucket)):
                    yield host[0], self._receipt(account, bucket, host)
        if now - self._cleaned_up_at >= CLEANUP_INTERVAL_S:
            self._cleaned_up_at = now
            self._forget_idle_hosts(now)

    def _forget_idle_hosts(self, now: float) -> None:
        for bucket in self._buckets.values():
            bucket.charges_by_host = {
                host: charges
                for host, charges in bucket.charges_by_host.items()
                if now - charges.used_at <= CHARGES_KEPT_S
                or host in bucket.pending_hosts
            }

    def lent_share(self, account: str) -> float:
        """Return the share of an account's quota that is lent to this host, 0 to 1."""
        bucket = self._buckets.get(account)
        return bucket.lent_share if bucket else 0.0

    def credit(self, account: str, now: float) -> float:
        """Return the credit of an account minus its open charges.

        The result is infinity for an account without a quota here.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return inf
        self._fill(bucket, now)
        return bucket.level - sum(
            bucket.charges_by_host[host].open for host in bucket.pending_hosts
        )
