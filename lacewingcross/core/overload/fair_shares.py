"""Divides the capacity that a host admits among client accounts, by max-min fairness.

Designed for one account that sends several times its usual rate, at a service whose
other accounts would all be served by its slots. Quotas bound an account over time, and
an account below its quota may still take the capacity that others need. An account that
asks for less than an equal share gets all it asks for, and what it leaves is divided
among the others (max-min fairness). The measure is service time, as in start-time fair
queueing, and not the number of requests or of keys.
"""

from collections.abc import Iterable
from math import exp, inf

# Time constant with which the use of a service by an account is forgotten, in seconds:
# within two seconds after a surge, 6 % of it are left.
DECAY_S = 0.7
# Number of requests of average length by which an account may exceed its share before
# it yields: at a host that sees few of its requests, some arrive together by chance.
SLACK_REQUESTS = 2.0
# Accounts above their share leave free this part of what the other accounts use, and at
# most this part of their own share: requests are late where all slots are in use.
HEADROOM = 0.05
# Accounts that have used less than this service time recently are forgotten, in
# seconds.
MIN_USE_S = 0.001


class AccountUse:
    """Recent service time of one account at one service, in seconds, decaying.

    `admitted_s` is that of the requests sent to servers, and `refused_s` that of the
    requests that were refused while they could still be in time.
    """

    __slots__ = ("_updated_at", "admitted_s", "refused_s")

    def __init__(self, now: float) -> None:
        self.admitted_s = 0.0
        self.refused_s = 0.0
        self._updated_at = now

    @property
    def demand_s(self) -> float:
        """Return the service time that the account has asked for."""
        return self.admitted_s + self.refused_s

    def decay_until(self, now: float) -> None:
        """Let what is counted decay until the monotonic time `now`, in seconds."""
        factor = exp((self._updated_at - now) / DECAY_S)
        self.admitted_s *= factor
        self.refused_s *= factor
        self._updated_at = now


class FairShares:
    """The use of each service by account, and the fair share of this host's capacity.

    Memory holds one entry for each service and account with recent requests; idle ones
    are removed when shares are computed or reported.
    """

    __slots__ = ("_uses",)

    def __init__(self) -> None:
        self._uses: dict[str, dict[str, AccountUse]] = {}

    def admitted(
        self, service: str, account: str, service_time_s: float, now: float
    ) -> None:
        """Count a request that is sent to a server."""
        self._use(service, account, now).admitted_s += service_time_s

    def refused(
        self, service: str, account: str, service_time_s: float, now: float
    ) -> None:
        """Count a request that is refused and could still have been in time."""
        self._use(service, account, now).refused_s += service_time_s

    def _use(self, service: str, account: str, now: float) -> AccountUse:
        uses = self._uses.setdefault(service, {})
        use = uses.setdefault(account, AccountUse(now))
        use.decay_until(now)
        return use

    def exceeds(
        self, service: str, account: str, mean_service_time_s: float, now: float
    ) -> bool:
        """Return whether an account has used its fair share of a service.

        That is the max-min share less some room for the other accounts, see `HEADROOM`,
        and `SLACK_REQUESTS` more.

        `mean_service_time_s` is that of the service, in seconds.
        """
        use = self._uses.get(service, {}).get(account)
        if use is None:
            return False
        use.decay_until(now)
        slack_s = SLACK_REQUESTS * mean_service_time_s
        # The share of an account is computed only where it can be exceeded at all.
        if use.admitted_s <= slack_s:
            return False
        return use.admitted_s > self._share_s(service, now) + slack_s

    def _share_s(self, service: str, now: float) -> float:
        """Return the fair share of a service now, in seconds of service time.

        It is computed on each call: with a stored share, an account whose use has just
        begun to grow would exceed it although no other account uses the service.
        """
        self._forget_idle(service, now)
        uses = self._uses.get(service, {}).values()
        if sum(use.refused_s for use in uses) < MIN_USE_S:
            # All demands are met, which rounding must not hide.
            return inf
        demands = [use.demand_s for use in uses]
        share_s = max_min_share(demands, sum(use.admitted_s for use in uses))
        satisfied = [demand for demand in demands if demand <= share_s]
        if len(satisfied) == len(demands):
            return share_s
        others_s = sum(satisfied) / (len(demands) - len(satisfied))
        return share_s - HEADROOM * min(share_s, others_s)

    def _forget_idle(self, service: str, now: float) -> None:
        uses = self._uses.get(service, {})
        for name, use in list(uses.items()):
            use.decay_until(now)
            if use.demand_s < MIN_USE_S:
                del uses[name]

    def by_account(self, now: float) -> dict[str, float]:
        """Return each account's part of what is admitted of all services, 0 to 1."""
        admitted: dict[str, float] = {}
        for service, uses in self._uses.items():
            self._forget_idle(service, now)
            for name, use in uses.items():
                admitted[name] = admitted.get(name, 0.0) + use.admitted_s
        total_s = sum(admitted.values())
        if total_s < MIN_USE_S:
            return {}
        return {name: use_s / total_s for name, use_s in admitted.items() if name}


def max_min_share(demands: Iterable[float], capacity: float) -> float:
    """Return the largest share with which a capacity serves all demands.

    Each demand is served up to this share. It is infinite if the capacity covers all
    demands.
    """
    left = sorted(demands)
    for served, demand in enumerate(left):
        share = capacity / (len(left) - served)
        if demand > share:
            return share
        capacity -= demand
    return inf
