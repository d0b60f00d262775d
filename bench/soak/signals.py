"""What servers of the soak ask for in their answers, and whether hosts kept to it."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lacewingcross.core.rate_limits import RateBound

from .findings import Broken

if TYPE_CHECKING:
    from .ledger import Ledger

# The promises count from so long after a server first names a limit, in seconds.
STABLE_S = 3.0
# A host is bound from so long after it had such an answer, in seconds.
HEARD_S = 0.5
# A server that has told a host that it leaves gets nothing that is sent so much later.
DRAIN_S = 2.5
# Requests of one host that may reach a server in a rest that it has asked for.
REST_MOST = 2
BOUND = RateBound()


@dataclass(slots=True, frozen=True)
class Reached:
    """A request that reached a server, run or not, and the host that sent it.

    `sent_at` is when its caller sent it.
    """

    at: float
    host: int
    sent_at: float = 0.0


@dataclass(slots=True)
class Asked:
    """What one server has asked for, and what reached it."""

    reached: list[Reached] = field(default_factory=list)
    # Time, host and rate of each answer that named a limit.
    limits: list[tuple[float, int, float]] = field(default_factory=list)
    # When it stopped to name one.
    limit_ended: float = float("inf")
    # When it first told a host that it leaves, by host.
    left: dict[int, float] = field(default_factory=dict)
    # Time, host and seconds of each rest that it asked for.
    rests: list[tuple[float, int, float]] = field(default_factory=list)


@dataclass(slots=True)
class SignalLedger:
    """What all servers have asked for."""

    by_server: dict[str, Asked] = field(default_factory=lambda: defaultdict(Asked))


def broken_words(ledger: "Ledger") -> Iterator[Broken]:
    """Yield requests that reached a server long after it had said that it leaves."""
    for server_id, asked in ledger.signals.by_server.items():
        for item in asked.reached:
            told = asked.left.get(item.host)
            if told is None or item.sent_at <= told + DRAIN_S:
                continue
            if not ledger.hosts[item.host].near(told, item.at):
                late_s = item.sent_at - told
                text = f"{server_id} told host {item.host} {late_s:.2f} s before"
                yield Broken("DRAIN", item.at, text)


def broken_rests(ledger: "Ledger") -> Iterator[Broken]:
    """Yield the first rest of each server and host that the host did not keep."""
    for server_id, asked in ledger.signals.by_server.items():
        times: dict[int, list[float]] = defaultdict(list)
        for item in asked.reached:
            times[item.host].append(item.at)
        found: set[int] = set()
        for at, host, rest_s in asked.rests:
            begin = bisect_left(times[host], at + HEARD_S)
            count = bisect_left(times[host], at + rest_s) - begin
            calm = not ledger.hosts[host].near(at, at + rest_s)
            if count > REST_MOST and calm and host not in found:
                found.add(host)
                text = f"{server_id}: {count} requests of host {host} in its rest"
                yield Broken("REST", at + rest_s, text)


def broken_limits(ledger: "Ledger") -> Iterator[Broken]:
    """Yield the first window of each server in which it got more than its limit."""
    for server_id, asked in ledger.signals.by_server.items():
        if asked.limits:
            yield from _over_limit(ledger, server_id, asked)


def _over_limit(ledger: "Ledger", server_id: str, asked: Asked) -> Iterator[Broken]:
    first = asked.limits[0][0]
    told: dict[int, float] = {}
    for at, host, _ in asked.limits:
        told.setdefault(host, at)
    times = [
        item.at
        for item in asked.reached
        if first + STABLE_S <= item.at < asked.limit_ended
        and item.at - told.get(item.host, item.at) >= HEARD_S
        and not ledger.hosts[item.host].near(told[item.host], item.at)
    ]
    most = BOUND.most(max(rate for *_, rate in asked.limits))
    for index, at in enumerate(times):
        count = bisect_left(times, at + BOUND.window_s) - index
        if count > most:
            text = f"{server_id}: {count} requests within a window, allowed {most:.0f}"
            yield Broken("LIMIT", at, text)
            return
