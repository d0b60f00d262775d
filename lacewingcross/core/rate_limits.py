"""Keeps to the request rates that backend servers name, summed over all hosts.

Answers this load: a server in need takes a few requests a second from all hosts
together, while its keys ask for several times as many at each of them. Nothing is told
of single requests: a bounded number of hosts each have an equal share of the rate, also
those that hear nothing of each other, and all others pass the server over.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from .backend_state import Incarnation
from .rendezvous import ranked

# Credit that a request needs beside its own, in requests, unless it is urgent.
LEFT_TO_URGENT = 0.2
# Each host that shares may save up so much credit at least, in requests.
CREDIT_LEAST = 1.0 + LEFT_TO_URGENT
# Part of what the bound leaves over the rate itself that saved credit may take up. The
# rest is for hosts that do not agree yet on who shares, and for what is under way.
SPARE_PART = 0.6
# Server's rates below this are taken for it, in requests a second over all hosts: only
# an answer tells that a server takes requests again.
LEAST_RATE = 0.25
# Hosts without a share believe a named rate for so long, in seconds. Then they send one
# request each by turns, to see whether it still holds.
BELIEVED_S = 30.0
# Turn of a host that does not serve: it sends nothing to servers with a limit.
NEVER = -1
# What a server said is remembered for so long after it has changed its mind, or has
# gone, in seconds: another host may tell later of what was said before.
REMEMBERED_S = 60.0


@dataclass(slots=True, frozen=True)
class RateBound:
    """What all hosts keep to: in any `window_s` at most `most` requests.

    Parameters
    ----------
    window_s : float
        Length of the window, in seconds.
    excess : float
        Part of the rate that may come on top.
    slack : float
        Requests on top of that.
    """

    window_s: float = 4.0
    excess: float = 0.5
    slack: float = 5.0

    def most(self, rate: float) -> float:
        """Return how many requests a server may get in any window."""
        return rate * self.window_s * (1 + self.excess) + self.slack

    def sharers_most(self, rate: float) -> int:
        """Return how many hosts may save up credit for one server."""
        return max(1, int(self._savings(rate) / CREDIT_LEAST))

    def credit_each(self, rate: float, sharers: int) -> float:
        """Return the credit that each of some hosts may save up, in requests."""
        return max(CREDIT_LEAST, self._savings(rate) / sharers)

    def _savings(self, rate: float) -> float:
        spare = rate * self.window_s * self.excess + self.slack
        return spare * SPARE_PART


@dataclass(slots=True)
class RateLimit:
    """What one run of a server said last; `rate` is None when it names no limit.

    `at` is when it was known to hold, by this host's clock: when a naming answer came,
    or when the request was sent that was answered without a name. `own` tells that this
    host heard it itself, `tried_at` when it last sent a request without having a share;
    `turn` is its turn to do so, of `turns`. It saves up `credit_most` requests.
    """

    rate: float | None
    at: float
    own: bool
    share: float = 0.0
    credit: float = 0.0
    credit_most: float = CREDIT_LEAST
    credited_at: float = 0.0
    tried_at: float = float("-inf")
    turn: int = 0
    turns: int = 1

    def credit_now(self, now: float) -> float:
        """Return the credit of this host, in requests."""
        grown = self.credit + self.share * (now - self.credited_at)
        return min(self.credit_most, grown)

    def settle(self, now: float) -> None:
        """Add the credit that has grown since it was settled last."""
        self.credit = self.credit_now(now)
        self.credited_at = now


class RateLimits:
    """The rates that servers have named, and this host's shares of them.

    Parameters
    ----------
    own : str
        Id of this host.
    bound : RateBound, optional
        What all hosts keep to.

    Attributes
    ----------
    version : int
        Grows whenever this host has heard something new itself.
    passed_over : int
        How often a server was passed over for its rate.
    """

    __slots__ = ("_bound", "_by_server", "_hosts", "_own", "skipped", "version")

    def __init__(self, own: str, bound: RateBound | None = None) -> None:
        self._bound = bound or RateBound()
        self._by_server: dict[Incarnation, RateLimit] = {}
        # Until somebody says who else serves, this host has no share.
        self._hosts: frozenset[str] = frozenset()
        self._own = own
        self.skipped = 0
        self.version = 0

    # What servers say

    def observe(
        self, server: Incarnation, rate: float | None, asked_at: float, now: float
    ) -> bool:
        """Take in an answer of a server to a request that was sent at `asked_at`.

        Failure: an answer from before the server named its rate comes late, over a link
        that loses packets, and would end the limit. So one without a name counts only
        if it was asked for after the last one that named it.

        Returns
        -------
        changed : bool
            Whether that changes the rate.
        """
        at = now if rate is not None else asked_at
        known = self._by_server.get(server)
        # Turns go by what was known last, so all hosts are told of a new beginning.
        old = known is not None and now - known.at > BELIEVED_S
        changed = self._take(server, rate, at, now, own=True)
        if changed or old:
            self.version += 1
        return changed

    def learn_from_peer(
        self, server: Incarnation, rate: float | None, at: float, now: float
    ) -> bool:
        """Take in what another host has heard, see `RateLimit`.

        Returns
        -------
        changed : bool
            Whether that changes the rate.
        """
        return self._take(server, rate, at, now, own=False)

    def _take(
        self,
        server: Incarnation,
        rate: float | None,
        at: float,
        now: float,
        *,
        own: bool,
    ) -> bool:
        known = self._by_server.get(server)
        if known is None:
            if rate is None:
                return False
            # The bound counts from some seconds after the first word on.
            known = RateLimit(None, at, own, credit=CREDIT_LEAST, credited_at=now)
            self._by_server[server] = known
        elif at <= known.at:
            return False
        known.at = at
        known.own = own or (known.own and rate == known.rate)
        if rate == known.rate:
            return False
        known.rate = rate
        self._share_out(server, known, now)
        return True

    def own_observations(self) -> Iterator[tuple[Incarnation, RateLimit]]:
        """Yield what this host has heard itself and remembers."""
        return (item for item in self._by_server.items() if item[1].own)

    def share_of(self, server: Incarnation) -> float:
        """Return the requests a second that this host may send, infinity for any."""
        limit = self._by_server.get(server)
        return float("inf") if limit is None or limit.rate is None else limit.share

    def in_force(self) -> Iterator[tuple[Incarnation, RateLimit]]:
        """Yield the servers that name a rate."""
        return (item for item in self._by_server.items() if item[1].rate is not None)

    # Who shares

    def set_hosts(self, hosts: Collection[str], now: float) -> None:
        """Take over which hosts may send requests to servers."""
        if self._hosts == hosts:
            return
        self._hosts = frozenset(hosts)
        for server, limit in self._by_server.items():
            self._share_out(server, limit, now)

    def _share_out(self, server: Incarnation, limit: RateLimit, now: float) -> None:
        limit.settle(now)
        if limit.rate is None:
            limit.share = 0.0
            return
        rate = max(LEAST_RATE, limit.rate)
        order = ranked(server[0], self._hosts)
        most = self._bound.sharers_most(rate)
        serves = self._own in self._hosts
        place = order.index(self._own) if serves else len(order)
        shares = serves and place < most
        sharers = max(1, min(most, len(order)))
        limit.share = rate / sharers if shares else 0.0
        limit.credit_most = self._bound.credit_each(rate, sharers)
        limit.turn = place - most if serves else NEVER
        limit.turns = max(1, len(order) - most + 1)

    def forget_old(self, now: float, known: Collection[str]) -> None:
        """Drop what no longer matters; `known` are the ids of known servers."""
        old = [
            server
            for server, limit in self._by_server.items()
            if now - limit.at > REMEMBERED_S
            and (limit.rate is None or server[0] not in known)
        ]
        for server in old:
            del self._by_server[server]

    # What this host may send

    def may_send(self, server: Incarnation, now: float, *, urgent: bool) -> bool:
        """Tell whether a request may go to a server.

        Parameters
        ----------
        server : Incarnation
            Which run of it.
        now : float
            Monotonic time in seconds.
        urgent : bool
            Whether the request goes before those that are not.
        """
        if not self._by_server:
            return True
        limit = self._by_server.get(server)
        if limit is None or limit.rate is None:
            return True
        if limit.share > 0.0:
            allowed = limit.credit_now(now) >= (1.0 if urgent else CREDIT_LEAST)
        else:
            allowed = self._may_try(limit, now)
        self.skipped += not allowed
        return allowed

    def _may_try(self, limit: RateLimit, now: float) -> bool:
        """Tell whether this host, without a share, may see whether a rate still holds.

        Failure: nobody asks a server for long; then all hosts get a request for it at
        once, each takes what it believes for old, and together they send too many.
        """
        if now - max(limit.at, limit.tried_at) <= BELIEVED_S:
            return False
        turn = int((now - limit.at) / self._bound.window_s) % limit.turns
        return turn == limit.turn

    def sent(self, server: Incarnation, now: float) -> None:
        """Count a request of which the first byte is sent."""
        limit = self._by_server.get(server)
        if limit is None or limit.rate is None:
            return
        if limit.share > 0.0:
            limit.settle(now)
            limit.credit = max(0.0, limit.credit - 1.0)
        else:
            limit.tried_at = now

    def wait_s(self, server: Incarnation, now: float) -> float:
        """Return when this host may send to a limited server, in seconds.

        0 if the server names no limit, infinity if this host has no share.
        """
        limit = self._by_server.get(server)
        if limit is None or limit.rate is None:
            return 0.0
        if limit.share <= 0.0:
            return float("inf")
        return max(0.0, CREDIT_LEAST - limit.credit_now(now)) / limit.share
