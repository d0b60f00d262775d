"""Estimates since when a caller has been waiting for an answer.

A caller that was refused sends its request again under a new id, with what is left of
its time. Nothing in the request says that it is not the first try, but less time is
left than callers of the route usually allow. A request that has used up its target
before it arrives cannot be answered in time any more, while a first try still can.
"""

from ..estimate import ServiceTimes

# Quantile of the recent time limits that counts as a first try's time limit. Callers of
# a route differ by some percent, so the highest limit would make other first tries look
# late. In a surge up to three requests of four may be later tries.
FIRST_TRY_QUANTILE = 0.75
# With fewer requests of a route than this, no request is taken for a later try.
MIN_SAMPLES = 20


# Accounts of routes whose time limits are remembered, the latest used; each takes up to
# 10 KB.
MAX_ACCOUNTS = 256


class TimeBudgets:
    """The time that callers of each route allow, learnt from their requests.

    An account that allows far more time than the others of a route would make their
    first tries look late. So an account is held to no longer time than its own callers
    usually allow, as soon as enough of its requests are known.
    """

    __slots__ = ("_by_account", "_by_route")

    def __init__(self) -> None:
        # Recent time limits, of which only quantiles are used.
        self._by_route: dict[str, ServiceTimes] = {}
        # By route and account, the latest used last.
        self._by_account: dict[tuple[str, str], ServiceTimes] = {}

    def elapsed_s(self, route: str, account: str, time_limit_s: float) -> float:
        """Return how long ago a caller has probably sent its first try, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        account : str
            Name of the caller's account, empty if there is none.
        time_limit_s : float
            How long the caller will wait from now on, in seconds; 0 if it does not say.
            It is counted among the recent time limits.
        """
        if time_limit_s <= 0.0:
            return 0.0
        known = [self._by_route.setdefault(route, ServiceTimes())]
        if account:
            known.append(self._of_account(route, account))
        for recent in known:
            recent.add(time_limit_s)
        usual_s = min(
            (
                recent.quantile(FIRST_TRY_QUANTILE)
                for recent in known
                if len(recent) >= MIN_SAMPLES
            ),
            default=0.0,
        )
        return max(0.0, usual_s - time_limit_s)

    def _of_account(self, route: str, account: str) -> ServiceTimes:
        recent = self._by_account.pop((route, account), None) or ServiceTimes()
        self._by_account[route, account] = recent
        if len(self._by_account) > MAX_ACCOUNTS:
            del self._by_account[next(iter(self._by_account))]
        return recent
