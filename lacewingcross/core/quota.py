"""How many requests a client account may run, and how the bound on all is divided."""

from dataclasses import dataclass

# Parts of what the bound leaves over the quota. One goes to debts: requests that hosts
# run before the keeper of the account has heard of them. One lets short bursts of small
# accounts pass at the keeper. The rest covers what nobody counts: requests on their way
# when a host is killed.
DEBT_PART = 0.6
BURST_PART = 0.3


@dataclass(slots=True, frozen=True)
class Quota:
    """What a client account may run over all hosts.

    Attributes
    ----------
    rate : float
        Requests a second; above 0.
    burst : float
        Requests on top.
    """

    rate: float
    burst: float


@dataclass(slots=True, frozen=True)
class QuotaBound:
    """What all hosts together keep to for each account, in touch or not.

    In any span of `window_s` seconds at most ``(rate * window_s + burst) * (1 + excess)
    + slack`` requests run.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def max_per_window(self, quota: Quota) -> float:
        """Return how many requests may run in any window."""
        return self._owed(quota) + self.spare(quota)

    def spare(self, quota: Quota) -> float:
        """Return how many requests of the bound lie over the quota itself."""
        return self._owed(quota) * self.excess + self.slack

    def _owed(self, quota: Quota) -> float:
        return quota.rate * self.window_s + quota.burst

    def debt_each(self, quota: Quota, holders: int) -> int:
        """Return the unpaid requests that each of some hosts may run."""
        return int(self.spare(quota) * DEBT_PART / max(1, holders))

    def credit_most(self, quota: Quota) -> float:
        """Return how much credit a quiet account saves up."""
        return quota.burst + self.spare(quota) * BURST_PART
