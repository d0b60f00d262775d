"""Budgets of retries of one host, one for each service.

All hosts together may retry a fraction of the requests plus a number of extra retries
in a window of time. Each host keeps to its part of that without a message to the
others. It earns retries by requests and by time. Hosts remember nothing over a restart,
and whatever a process granted itself would be granted again at each restart. So a
process begins with no retries, unless the whole deployment starts for the first time.

See docs/design/retries.md for why the sum over all hosts stays within the allowance.
"""

from dataclasses import dataclass

from .randomness import RandomSource

# Fraction of the extra retries that can be saved up; the rest is earned by time.
SAVED_FRACTION = 2 / 3
# Largest fraction of the extra retries that is kept back because each host sends whole
# retries only.
MAX_KEPT_BACK_FRACTION = 0.4


@dataclass(slots=True, frozen=True)
class RetryAllowance:
    """Retries that all hosts together may send for a service in any window.

    Attributes
    ----------
    ratio : float
        Retries as a fraction of the requests.
    extra : float
        Number of further retries.
    window_s : float
        Length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float

    def kept_back(self, hosts: int) -> float:
        """Return the extra retries that nobody earns, because hosts round up.

        A host may have paid for almost a whole retry before a window begins, and send
        it in the window. So up to one retry for each host is kept back.
        """
        return min(float(hosts), MAX_KEPT_BACK_FRACTION * self.extra)


@dataclass(slots=True, frozen=True)
class HostAllowance:
    """The part of a `RetryAllowance` that one host has.

    Attributes
    ----------
    per_request, per_s : float
        Retries earned by a request, and by a second.
    max_saved : float
        Retries that can be saved up.
    """

    per_request: float
    per_s: float
    max_saved: float


class RetryBudget:
    """Retries of one host for one service.

    What is earned is saved up to a limit, which may be a small part of one retry. A
    retry is paid from it, in parts if need be: a request that cannot have a retry
    leaves what is saved as a part payment for the next one. So hosts whose limit is
    below one send retries too, and while nothing fails, no host saves more than its
    limit.

    Parameters
    ----------
    allowance : HostAllowance
        What the host earns.
    paid : float
        Part of the first retry that is paid for from the start, 0 or more and below 1.
    saved : float
        Number of retries that are saved from the start.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("_allowance", "_earned_until", "_paid", "_saved")

    def __init__(
        self, allowance: HostAllowance, paid: float, saved: float, now: float
    ) -> None:
        self._allowance = allowance
        self._earned_until = now
        self._paid = paid
        self._saved = saved

    @property
    def left(self) -> float:
        """Number of retries that are left, with the part of the next one."""
        return self._saved + self._paid

    def update(self, allowance: HostAllowance, now: float) -> None:
        """Change what the host earns; what is saved beyond the new limit is lost."""
        self.earn_until(now)
        self._allowance = allowance
        self._save(0.0)

    def earn_until(self, now: float) -> None:
        """Earn what the time since the last call gives."""
        self._save(self._allowance.per_s * (now - self._earned_until))
        self._earned_until = now

    def earn(self) -> None:
        """Earn what one request gives."""
        self._save(self._allowance.per_request)

    def _save(self, earned: float) -> None:
        self._saved = min(self._allowance.max_saved, self._saved + earned)

    def available(self) -> bool:
        """Return whether the budget allows a retry."""
        return self.left >= 1.0

    def spend(self) -> None:
        """Pay for one retry."""
        payment = min(1.0, self._saved)
        self._saved -= payment
        self._paid += payment - 1.0

    def refuse(self) -> None:
        """Put what is saved towards the next retry, since a request cannot have one."""
        self._paid += self._saved
        self._saved = 0.0


class RetryBudgets:
    """Budgets of retries by service.

    Parameters
    ----------
    allowance : RetryAllowance
        The retries that all hosts share, for each service.
    rng : RandomSource
        Source of the part payments with which budgets begin in large fleets.

    Attributes
    ----------
    allowance : RetryAllowance
        As given, or as set later.
    host_share : float
        Share of what all hosts earn that this host has, 0 to 1.
    begin_full : bool
        Whether budgets begin with all that can be saved up. Only a process that has
        shared in the retries since the first start of the whole deployment may do so.
    """

    __slots__ = (
        "_budgets",
        "_hosts",
        "_rng",
        "allowance",
        "begin_full",
        "host_share",
    )

    def __init__(self, allowance: RetryAllowance, rng: RandomSource) -> None:
        self.begin_full = False
        # The host has no share until it is known how many share in the retries.
        self.host_share = 0.0
        self.allowance = allowance
        self._budgets: dict[str, RetryBudget] = {}
        self._hosts = 1
        self._rng = rng

    def set_allowance(self, allowance: RetryAllowance, now: float) -> None:
        """Set the retries that all hosts share."""
        if allowance != self.allowance:
            self.allowance = allowance
            self._update_budgets(now)

    def set_host_share(self, share: float, hosts: int, now: float) -> None:
        """Set this host's share, 0 to 1, of what the hosts earn, and their number."""
        if (share, hosts) != (self.host_share, self._hosts):
            self.host_share = share
            self.begin_full = self.begin_full and share > 0
            self._hosts = hosts
            self._update_budgets(now)

    def _update_budgets(self, now: float) -> None:
        own = self._own_allowance()
        for budget in self._budgets.values():
            budget.update(own, now)

    def _own_allowance(self) -> HostAllowance:
        shared = self.allowance
        share = self.host_share
        extra = shared.extra - shared.kept_back(self._hosts)
        # What a request earns can be saved, if that is possible on all hosts together.
        saved = max(SAVED_FRACTION * extra, shared.ratio * self._hosts)
        saved = min(extra, saved)
        # A host that stands by or leaves has no share, but still has some requests.
        max_saved = saved * share if share else shared.ratio
        per_s = (extra - saved) * share / shared.window_s
        return HostAllowance(shared.ratio, per_s, max_saved)

    def of(self, service: str, now: float) -> RetryBudget:
        """Return this host's budget of retries for a service, with all it has earned.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Monotonic time in seconds.
        """
        budget = self._budgets.get(service)
        if budget is None:
            own = self._own_allowance()
            saved = own.max_saved if self.begin_full else 0.0
            budget = RetryBudget(own, self._first_payment(), saved, now)
            self._budgets[service] = budget
        budget.earn_until(now)
        return budget

    def _first_payment(self) -> float:
        """Return the part of the first retry that is paid for from the start.

        With more hosts than retries are kept back, hosts that earn alike would all send
        a retry at the same time. So their payments begin at random parts of a retry.
        """
        if self.allowance.kept_back(self._hosts) < self._hosts:
            return self._rng.uniform(0.0, 1.0)
        return 0.0
