"""Compares ways to keep a server's rate limit over all hosts.

Run ``python -m bench.limit_ways``. All ways get the same callers. For each way, fleet,
rate and load it prints by how much the worst window exceeds the rate itself and the
bound of all hosts. It also prints how much was used of what the rate and the callers
allow, and the messages between hosts. The figures and the choice are in
``docs/design/server-signals.md``.
"""

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from lacewingcross.core.rate_limits import RateBound, RateLimits
from lacewingcross.core.rendezvous import owner

from .quota_fleet import host_info, poisson

STEP_S = 0.01
SERVER = ("i-1", 0)
SERVER_REGION = "a"
# Requests per second for a server's keys while the server names no limit.
DEMAND = 23.0
RATES = (0.5, 6.0, 7.6)
# Active hosts of fleets of 9, 87 and 195 hosts, see ``docs/design/scale.md``.
FLEETS = (9, 12, 18)
# Seconds until hosts discover a host that joined.
HEARD_S = 0.2
# Seconds after which a credit of the keeper expires if the host has not used it.
LEASE_S = 1.0
# One-way network delay in seconds, within a region (True) and between regions.
WAYS_S = {True: 0.001, False: 0.02}


@dataclass
class Fleet:
    """Hosts in virtual time, and the requests that reached the server.

    Attributes
    ----------
    cut : frozenset of str
        Hosts that are separated from all the others.
    arrivals : deque of float
        When requests reached the server.
    asked : int
        Requests of callers.
    messages : int
        Messages between hosts.
    """

    names: list[str]
    regions: dict[str, str]
    rate: float
    rng: random.Random
    now: float = 100.0
    cut: frozenset[str] = frozenset()
    arrivals: deque[float] = field(default_factory=deque)
    asked: int = 0
    messages: int = 0

    def reaches(self, a: str, b: str) -> bool:
        """Return whether two hosts are on the same side of a network partition."""
        return (a in self.cut) == (b in self.cut)

    def most(self, window_s: float) -> int:
        """Return the largest number of arrivals in any window."""
        times = list(self.arrivals)
        first = worst = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            worst = max(worst, last - first + 1)
        return worst


class Way(Protocol):
    """A way to decide which host may send a request, and when."""

    def join(self, name: str) -> None: ...

    def restart(self, name: str) -> None: ...

    def step(self) -> None: ...

    def may_send(self, name: str) -> bool: ...


class Shares:
    """Every host has an equal share of the rate; their number is bounded."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._limits = {name: self._limit_at(name) for name in fleet.names}
        self._news: list[tuple[float, str]] = []

    def _limit_at(self, name: str) -> RateLimits:
        fleet = self.fleet
        limits = RateLimits(name)
        limits.set_hosts(self._sharers(), fleet.now)
        limits.learn_from_peer(SERVER, fleet.rate, fleet.now, fleet.now)
        return limits

    def _sharers(self) -> frozenset[str]:
        return frozenset(self.fleet.names)

    def join(self, name: str) -> None:
        self._limits[name] = self._limit_at(name)
        self._news.append((self.fleet.now + HEARD_S, name))

    def restart(self, name: str) -> None:
        self._limits[name] = self._limit_at(name)

    def step(self) -> None:
        if self._news and self._news[0][0] <= self.fleet.now:
            self._news.pop(0)
            for limits in self._limits.values():
                limits.set_hosts(self._sharers(), self.fleet.now)

    def may_send(self, name: str) -> bool:
        limits = self._limits[name]
        now = self.fleet.now
        if not limits.may_send(SERVER, now, urgent=False):
            return False
        limits.sent(SERVER, now)
        return True


class RegionShares(Shares):
    """Only the hosts of the server's region have equal shares of the rate."""

    def _sharers(self) -> frozenset[str]:
        regions = self.fleet.regions
        return frozenset(n for n in self.fleet.names if regions[n] == SERVER_REGION)


@dataclass
class _Keeper:
    credit: float = 0.0
    at: float = 0.0
    waiting: deque[str] = field(default_factory=deque)


class Leases:
    """A keeper in the server's region grants credits of one request each.

    A host holds at most one credit and requests the next when that one is used or has
    expired. Two hosts that are partitioned may each act as the keeper.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._keepers: dict[str, _Keeper] = {}
        self._lent: dict[str, float] = {}
        self._asking: dict[str, float] = {}
        self._under_way: list[tuple[float, str, str, bool]] = []

    def _keeper_of(self, name: str) -> str:
        fleet = self.fleet
        near = [n for n in fleet.names if fleet.reaches(name, n)]
        home = [n for n in near if fleet.regions[n] == SERVER_REGION]
        return owner(SERVER[0], home or near)

    def join(self, name: str) -> None:
        self.restart(name)

    def restart(self, name: str) -> None:
        self._keepers.pop(name, None)
        self._lent.pop(name, None)
        self._asking.pop(name, None)

    def step(self) -> None:
        fleet = self.fleet
        for at, sender, receiver, grant in list(self._under_way):
            if at > fleet.now:
                continue
            self._under_way.remove((at, sender, receiver, grant))
            if not fleet.reaches(sender, receiver):
                continue
            if grant:
                self._lent[receiver] = fleet.now + LEASE_S
                self._asking.pop(receiver, None)
            else:
                fresh = _Keeper(at=fleet.now)
                self._keepers.setdefault(receiver, fresh).waiting.append(sender)
        for name, keeper in self._keepers.items():
            grown = keeper.credit + fleet.rate * (fleet.now - keeper.at)
            keeper.credit = min(1.0, grown)
            keeper.at = fleet.now
            if keeper.credit >= 1.0 and keeper.waiting:
                keeper.credit -= 1.0
                self._send(name, keeper.waiting.popleft(), grant=True)

    def _send(self, sender: str, receiver: str, *, grant: bool) -> None:
        fleet = self.fleet
        near = fleet.regions[sender] == fleet.regions[receiver]
        fleet.messages += sender != receiver
        way = (fleet.now + WAYS_S[near], sender, receiver, grant)
        self._under_way.append(way)

    def may_send(self, name: str) -> bool:
        now = self.fleet.now
        allowed = self._lent.pop(name, 0.0) > now
        if name not in self._asking or now - self._asking[name] > LEASE_S * 4:
            self._asking[name] = now
            self._send(name, self._keeper_of(name), grant=False)
        return allowed


def _play(fleet: Fleet, way: Way, seconds: float, demand: float, hosts: list[str]):
    for _ in range(round(seconds / STEP_S)):
        fleet.now += STEP_S
        way.step()
        for _ in range(poisson(fleet.rng, demand * STEP_S)):
            fleet.asked += 1
            if way.may_send(fleet.rng.choice(hosts)):
                fleet.arrivals.append(fleet.now)


def alike(fleet: Fleet, way: Way) -> None:
    """Send the same load to all hosts."""
    _play(fleet, way, 60.0, DEMAND, fleet.names)


def few(fleet: Fleet, way: Way) -> None:
    """Let callers send half of the rate."""
    _play(fleet, way, 60.0, fleet.rate / 2, fleet.names)


def bursts(fleet: Fleet, way: Way) -> None:
    """Send nothing for eight seconds, then a high load for four; five times."""
    for _ in range(5):
        _play(fleet, way, 8.0, 0.0, fleet.names)
        _play(fleet, way, 4.0, 4 * DEMAND, fleet.names)


def cut(fleet: Fleet, way: Way) -> None:
    """Separate half of the hosts from the others, not from the server, for 30 s."""
    _play(fleet, way, 10.0, DEMAND, fleet.names)
    fleet.cut = frozenset(fleet.names[: len(fleet.names) // 2])
    _play(fleet, way, 30.0, DEMAND, fleet.names)
    fleet.cut = frozenset()
    _play(fleet, way, 10.0, DEMAND, fleet.names)


def joins(fleet: Fleet, way: Way) -> None:
    """Let a host join every two seconds, and another restart in between."""
    for number in range(6):
        name, region = _host(100 + number)
        fleet.names.append(name)
        fleet.regions[name] = region
        way.join(name)
        _play(fleet, way, 1.0, DEMAND, fleet.names)
        way.restart(fleet.rng.choice(fleet.names))
        _play(fleet, way, 1.0, DEMAND, fleet.names)


LOADS: tuple[Callable[[Fleet, Way], None], ...] = (alike, few, bursts, cut, joins)
WAYS = (Shares, RegionShares, Leases)


def _host(number: int) -> tuple[str, str]:
    info = host_info(number)
    return info.host_id, info.region


def played(way: type, load, count: int, rate: float, seed: int = 7) -> Fleet:
    """Return a fleet of `count` active hosts after it has run a load."""
    hosts = dict(_host(number) for number in range(count))
    fleet = Fleet(list(hosts), hosts, rate, random.Random(seed))
    load(fleet, way(fleet))
    return fleet


def rows() -> Iterator[tuple[str, ...]]:
    """Yield the rows of the table, the header first."""
    bound = RateBound()
    yield (
        "way",
        "hosts",
        "rate",
        "load",
        "above rate",
        "above bound",
        "used",
        "told/s",
    )
    for way in WAYS:
        for count in FLEETS:
            for rate in RATES:
                for load in LOADS:
                    fleet = played(way, load, count, rate)
                    most = fleet.most(bound.window_s)
                    span = fleet.now - 100.0
                    could = min(fleet.asked, rate * span)
                    yield (
                        way.__name__,
                        str(count),
                        f"{rate:g}",
                        load.__name__,
                        f"{most - rate * bound.window_s:+.1f}",
                        f"{most - bound.most(rate):+.1f}",
                        f"{len(fleet.arrivals) / could:.2f}",
                        f"{fleet.messages / span:.1f}",
                    )


def main() -> None:
    """Print the comparison."""
    for row in rows():
        print("| " + " | ".join(row) + " |")


if __name__ == "__main__":
    main()
