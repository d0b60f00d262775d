"""Quotas of client accounts, and the bound on the requests of all hosts together.

The bound allows somewhat more than the quota itself. `QuotaBound.spare` is that margin,
and the constants below divide it.
"""

from dataclasses import dataclass

# Shares of the margin between the quota and the bound. `DEBT_SHARE` goes to debts:
# requests that hosts run before the account's keeper has paid for them. `BURST_SHARE`
# lets short bursts of small accounts pass at the keeper. The rest (0.1) covers requests
# that no host counts, because they were in flight when a host was killed.
DEBT_SHARE = 0.6
BURST_SHARE = 0.3


@dataclass(slots=True, frozen=True)
class Quota:
    """The requests that a client account may run on all hosts together.

    Attributes
    ----------
    rate : float
        Requests per second; above 0.
    burst : float
        Requests that may run in addition to the rate.
    """

    rate: float
    burst: float


@dataclass(slots=True, frozen=True)
class QuotaBound:
    """The bound on each account's requests, which holds even between partitioned hosts.

    In any span of `window_s` seconds, all hosts together run at most ``(rate * window_s
    + burst) * (1 + excess) + slack`` requests of an account.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def max_per_window(self, quota: Quota) -> float:
        """Return the maximum number of requests in any window of `window_s` seconds."""
        return self._quota_per_window(quota) + self.spare(quota)

    def spare(self, quota: Quota) -> float:
        """Return how many more requests per window the bound allows than the quota."""
        return self._quota_per_window(quota) * self.excess + self.slack

    def _quota_per_window(self, quota: Quota) -> float:
        return quota.rate * self.window_s + quota.burst

    def max_debt_per_host(self, quota: Quota, host_count: int) -> int:
        """Return how many unpaid requests of an account each host may run.

        Parameters
        ----------
        quota : Quota
            The account's quota.
        host_count : int
            Number of hosts that share the margin for debts equally.
        """
        return int(self.spare(quota) * DEBT_SHARE / max(1, host_count))

    def max_credit(self, quota: Quota) -> float:
        """Return how much credit an account without requests may accumulate.

        One unit of credit pays one request.
        """
        return quota.burst + self.spare(quota) * BURST_SHARE
