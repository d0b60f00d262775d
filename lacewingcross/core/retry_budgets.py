"""Budgets of retries of one host, one for each service."""

from .attempts import RetryBudget

# Fraction of the common extra retries that the hosts use; the retries in proportion to
# requests are used in full. The rest covers hosts that restart with all of their extra
# retries.
RETRY_MARGIN = 0.75


class RetryBudgets:
    """Budgets of retries by service.

    Parameters
    ----------
    ratio, extra : float
        The retry allowance that all hosts share, for each service: retries as a
        fraction of requests, and a number of extra retries.
    """

    __slots__ = ("_budgets", "_extra", "_host_share", "_ratio")

    def __init__(self, ratio: float, extra: float) -> None:
        self._budgets: dict[str, RetryBudget] = {}
        self._extra = extra
        self._host_share = 1.0
        self._ratio = ratio

    def set_allowance(self, ratio: float, extra: float) -> None:
        """Set the retry allowance that all hosts share; a change resets the budgets."""
        if (ratio, extra) != (self._ratio, self._extra):
            self._ratio = ratio
            self._extra = extra
            self._budgets.clear()

    @property
    def host_share(self) -> float:
        """Share of the extra retries of all hosts that this host has, 0 to 1."""
        return self._host_share

    def set_host_share(self, share: float) -> None:
        """Set this host's share, 0 to 1, of the extra retries of all hosts.

        Guards against oversized budgets: all hosts start together, and each knows only
        itself when its first requests come. Each would keep the extra retries of all
        hosts. So existing budgets are resized when the share changes.
        """
        if share != self._host_share:
            self._host_share = share
            for budget in self._budgets.values():
                budget.resize(self._reserve())

    def _reserve(self) -> int:
        """Return this host's number of extra retries, at least 1."""
        return max(1, int(self._extra * RETRY_MARGIN * self._host_share))

    def of(self, service: str) -> RetryBudget:
        """Return this host's budget of retries for a service."""
        budget = self._budgets.get(service)
        if budget is None:
            requests_per_retry = max(1, round(1.0 / self._ratio))
            budget = RetryBudget(
                requests_per_retry=requests_per_retry, reserve=self._reserve()
            )
            self._budgets[service] = budget
        return budget
