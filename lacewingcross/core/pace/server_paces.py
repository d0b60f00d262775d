"""The present pace of each backend server: how long its work takes, against the usual.

Designed for servers of which 15 in 100 take 2.5 times as long as usual, and the set of
which changes every 0.6 s. Each host gets an answer of a server only every second or so,
so hosts tell each other what servers report. A pace that was reported is used less the
older it is, so that a wrong or old report neither empties nor overloads a server.

See docs/design/server-pace.md for what hosts tell each other and how much of it.
"""

from collections import OrderedDict
from dataclasses import dataclass
from math import exp, log

from ..backend_state import Incarnation
from .change_log import ChangeLog, PaceChange
from .report_budget import ReportBudget

# Limits of a factor. They bound the effect of a false report: a server seems to be at
# most twice as fast as usual, and at least one eighth as fast.
MIN_FACTOR = 0.5
MAX_FACTOR = 8.0
# The logarithm of a factor decays with this time constant, in seconds. Servers change
# their pace every 0.6 s. On a logarithmic scale the largest factor is below 2 after a
# second.
DECAY_S = 0.8
# A factor counts as another one if it differs from the earlier one by this ratio.
# Smaller differences do not change which of two servers answers first.
REPORTING_RATIO = 1.25
# Age after which a report is forgotten, in seconds. The largest factor differs from 1
# by less than a hundredth then.
KEPT_S = 5.0
# Maximum number of servers whose paces are kept; those heard of longest ago are dropped
# first. The largest deployment has 4,200 servers, some of them in two incarnations.
MAX_PACES_KEPT = 8192
# Paces that are closer to 1 than this are not shown to operators.
MIN_SHOWN_DIFFERENCE = 0.05

# What one host tells another: server id, `born_ms` of its incarnation, pace in percent,
# and the time since the server reported it, in seconds.
PaceItem = tuple[str, int, int, float]


def limited_factor(percent: int) -> float:
    """Return the factor for a pace in percent, within the limits of factors."""
    return min(MAX_FACTOR, max(MIN_FACTOR, percent / 100))


def decayed(factor: float, age_s: float) -> float:
    """Return what is left of a factor that was reported `age_s` seconds ago."""
    return factor ** exp(-max(0.0, age_s) / DECAY_S)


def _differs(factor: float, other: float) -> bool:
    return _distance(factor, other) > log(REPORTING_RATIO)


def _distance(factor: float, other: float) -> float:
    return abs(log(factor / other))


@dataclass(slots=True)
class _Report:
    """A factor that a server reported, and the monotonic time of it in seconds."""

    factor: float = 1.0
    at: float = float("-inf")

    def factor_at(self, now: float) -> float:
        return decayed(self.factor, now - self.at)


class _Pace:
    """The newest report of one server, and the newest one that all hosts were told.

    `logged_factor` is the factor after the last change, whether the line about it was
    written or skipped.
    """

    __slots__ = ("logged_factor", "newest", "told")

    def __init__(self) -> None:
        self.logged_factor = 1.0
        self.newest = _Report()
        self.told = _Report()

    def untold(self, now: float) -> float:
        """Return by how much the other hosts' factor is wrong, as a logarithm.

        0 if the difference is too small to tell them.
        """
        factor = self.newest.factor_at(now)
        told = self.told.factor_at(now)
        return _distance(factor, told) if _differs(factor, told) else 0.0


class ServerPaces:
    """The present factors on the times of all servers; 1.0 is a server's usual pace.

    Attributes
    ----------
    log : ChangeLog
        Limits how many changes are logged.
    """

    __slots__ = ("_budget", "_paces", "_untold", "log")

    def __init__(self) -> None:
        self._budget = ReportBudget()
        # In order of the last report, the oldest first.
        self._paces: OrderedDict[Incarnation, _Pace] = OrderedDict()
        # Servers that may have a factor of which the other hosts do not know.
        self._untold: set[Incarnation] = set()
        self.log = ChangeLog()

    def __len__(self) -> int:
        return len(self._paces)

    def factor(self, server: Incarnation, now: float) -> float:
        """Return the factor on the usual times of a server; 1.0 if it is unknown.

        Parameters
        ----------
        server : Incarnation
            One run of a server.
        now : float
            Monotonic time in seconds.
        """
        pace = self._paces.get(server)
        return 1.0 if pace is None else pace.newest.factor_at(now)

    def observe(
        self, server: Incarnation, percent: int, now: float
    ) -> PaceChange | None:
        """Record a pace that a server has just reported to this host.

        Parameters
        ----------
        server : Incarnation
            The run of the server that has answered.
        percent : int
            Time that work takes there, in percent of the usual time; 0 or more.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        change : PaceChange or None
            A change that is to be logged.
        """
        pace = self._keep(server, now)
        pace.newest = _Report(limited_factor(percent), now)
        if pace.untold(now):
            self._untold.add(server)
        return self._changed(pace, now)

    def learn_from_peer(
        self, server: Incarnation, percent: int, reported_at: float, now: float
    ) -> PaceChange | None:
        """Record a pace that a server has reported to another host.

        That host has told it to all hosts.

        Parameters
        ----------
        server : Incarnation
            The run of the server.
        percent : int
            Time that work takes there, in percent of the usual time; 0 or more.
        reported_at : float
            When the server reported it, as monotonic time in seconds.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        change : PaceChange or None
            A change that is to be logged.
        """
        at = min(reported_at, now)
        if now - at > KEPT_S:
            return None
        pace = self._keep(server, now)
        report = _Report(limited_factor(percent), at)
        if report.at >= pace.told.at:
            pace.told = report
        if report.at >= pace.newest.at:
            pace.newest = report
        return self._changed(pace, now)

    def _keep(self, server: Incarnation, now: float) -> _Pace:
        """Return the pace of a server, as the one that was heard of last."""
        pace = self._paces.get(server)
        if pace is None:
            self._drop_old(now)
            pace = self._paces[server] = _Pace()
        self._paces.move_to_end(server)
        return pace

    def _drop_old(self, now: float) -> None:
        while self._paces:
            server, pace = next(iter(self._paces.items()))
            full = len(self._paces) >= MAX_PACES_KEPT
            if not full and now - pace.newest.at <= KEPT_S:
                return
            del self._paces[server]
            self._untold.discard(server)

    def _changed(self, pace: _Pace, now: float) -> PaceChange | None:
        factor = pace.newest.factor
        before = pace.logged_factor
        if not _differs(factor, before):
            return None
        pace.logged_factor = factor
        return self.log.change(before, factor, now)

    def take_due(self, receivers: int, max_items: int, now: float) -> list[PaceItem]:
        """Return the paces to tell all active hosts now, and count them as told.

        These are the factors that differ by more than `REPORTING_RATIO` from what the
        other hosts still derive from the last one that they were told by any host. Of
        more factors than the budget allows, the most different are told first; the
        others stay due.

        Parameters
        ----------
        receivers : int
            Number of hosts that get the items.
        max_items : int
            Largest number of items to return.
        now : float
            Monotonic time in seconds.
        """
        room = min(max_items, self._budget.room(receivers, now)) if self._untold else 0
        if not room:
            return []
        due = {server: self._paces[server].untold(now) for server in self._untold}
        self._untold = {server for server, distance in due.items() if distance}
        first = sorted(self._untold, key=due.get, reverse=True)[:room]
        self._budget.spend(receivers, len(first))
        return [self._tell(server, now) for server in first]

    def _tell(self, server: Incarnation, now: float) -> PaceItem:
        self._untold.discard(server)
        pace = self._paces[server]
        pace.told = pace.newest
        age_s = max(0.0, now - pace.newest.at)
        return (*server, round(100 * pace.newest.factor), age_s)

    def in_force(self, now: float) -> dict[str, float]:
        """Return the factors that are not 1, by server id.

        Of several incarnations of a server, the one that was heard of last counts.
        """
        factors = {
            server_id: pace.newest.factor_at(now)
            for (server_id, _), pace in self._paces.items()
        }
        return {
            server_id: factor
            for server_id, factor in factors.items()
            if abs(factor - 1.0) >= MIN_SHOWN_DIFFERENCE
        }
