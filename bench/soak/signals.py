"""Signals that the soak's servers send in responses, and whether hosts obeyed them.

The signals are rate limits, announcements of draining and back-offs (Retry-After).
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lacewingcross.core.rate_limits import RateBound

from .findings import Broken

if TYPE_CHECKING:
    from .ledger import Ledger

# Seconds after a server first names a limit at which the limit must be kept.
STABLE_S = 3.0
# Seconds after such a response at which a host must obey it.
HEARD_S = 0.5
# Seconds after a server announced to a host that it is draining. The host must forward
# to it no request that callers send later than that.
DRAIN_S = 2.5
# Requests of one host that may reach a server during a back-off that it requested.
REST_MOST = 2
BOUND = RateBound()


@dataclass(slots=True, frozen=True)
class Reached:
    """A request that reached a server, whether or not the server ran it.

    Attributes
    ----------
    at : float
        When it reached the server, in seconds from the start of the run.
    host : int
        Index of the host that forwarded it.
    sent_at : float
        When its caller sent it.
    """

    at: float
    host: int
    sent_at: float = 0.0


@dataclass(slots=True)
class Asked:
    """The signals of one server, and the requests that reached it.

    Attributes
    ----------
    limits : list of tuple
        Time, host and rate of each response that named a limit.
    limit_ended : float
        When the server stopped to name a limit.
    left : dict of int to float
        For each host, when the server first announced to it that it is draining.
    rests : list of tuple
        Time, host and duration in seconds of each back-off that it requested.
    """

    reached: list[Reached] = field(default_factory=list)
    limits: list[tuple[float, int, float]] = field(default_factory=list)
    limit_ended: float = float("inf")
    left: dict[int, float] = field(default_factory=dict)
    rests: list[tuple[float, int, float]] = field(default_factory=list)


@dataclass(slots=True)
class SignalLedger:
    """The signals of all servers."""

    by_server: dict[str, Asked] = field(default_factory=lambda: defaultdict(Asked))


def broken_words(ledger: "Ledger") -> Iterator[Broken]:
    """Yield requests that reached a server too long after it announced draining."""
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
    """Yield for each server and host the first back-off that the host violated."""
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
    """Yield for each server the first window that received more than its limit."""
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
