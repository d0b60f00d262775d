"""Keeps to the request rates that backend servers state, summed over all hosts.

Designed for an overloaded server that accepts a few requests per second from all hosts
together, while its keys attract several times as many at each of them. Hosts exchange
nothing about single requests: a bounded number of hosts each have an equal share of the
rate, including hosts that receive nothing from each other. The other hosts skip the
server, apart from single requests by which they check an outdated rate. Credit is the
number of requests that a host may send now.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from ..backend_state import Incarnation
from ..rendezvous import ranked

# Credit that a host must have left after a request that is not urgent, in requests. It
# is kept for urgent requests.
URGENT_RESERVE = 0.2
# Each sharing host may save up at least this credit, in requests. It is also the credit
# at the first statement of a server, and what a request that is not urgent needs.
MIN_CREDIT = 1.0 + URGENT_RESERVE
# The bound (`RateBound`) allows more requests in a window than the rate itself. Saved
# credit may use this fraction of the surplus. The rest is for hosts that do not agree
# yet on which hosts share the rate, and for requests that are under way.
SAVINGS_FRACTION = 0.6
# Lower limit of a server's rate, in requests per second from all hosts together. A
# lower rate counts as this one: only a response shows that a server accepts requests
# again.
MIN_RATE_PER_S = 0.25
# Hosts without a share of a server's rate rely on the rate for this long after it was
# last known to hold, in seconds. Then they send one request each in rotation, to see
# whether the rate still holds.
RATE_VALID_S = 30.0
# Position of a host that is not serving: it sends nothing to servers with a limit.
NO_POSITION = -1
# A statement that the server has withdrawn, or whose server is gone, is kept for this
# long after it was last known to hold (`RateLimit.at`), in seconds: another host may
# report an earlier statement later.
REMEMBERED_S = 60.0


@dataclass(slots=True, frozen=True)
class RateBound:
    """The bound on the requests that one server may get from all hosts together.

    In any window of `window_s`, a server gets at most `most(rate)` requests, where the
    rate is what the server states, in requests per second.

    Parameters
    ----------
    window_s : float
        Length of the window, in seconds.
    excess : float
        Fraction of the rate that is allowed on top of the rate.
    slack : float
        Number of requests that are allowed on top of both in a window.
    """

    window_s: float = 4.0
    excess: float = 0.5
    slack: float = 5.0

    def most(self, rate: float) -> float:
        """Return the maximum number of requests that a server may get in any window."""
        return rate * self.window_s * (1 + self.excess) + self.slack

    def max_sharers(self, rate: float) -> int:
        """Return the maximum number of hosts that may share the rate of one server."""
        return max(1, int(self._savings(rate) / MIN_CREDIT))

    def credit_each(self, rate: float, sharers: int) -> float:
        """Return the credit that each of `sharers` hosts may save up, in requests."""
        return max(MIN_CREDIT, self._savings(rate) / sharers)

    def _savings(self, rate: float) -> float:
        """Return the credit that all hosts together may save up, in requests."""
        spare = rate * self.window_s * self.excess + self.slack
        return spare * SAVINGS_FRACTION


@dataclass(slots=True)
class RateLimit:
    """The last statement of one run of a server, and this host's share of its rate.

    Attributes
    ----------
    rate : float or None
        Requests per second that the server accepts from all hosts together; None if it
        states no limit.
    at : float
        When the statement was last known to hold, by this host's clock: when a response
        with a rate arrived, or when the request was sent whose response stated no rate.
    own : bool
        Whether this host received the current statement in a response itself. It stays
        true when another host later reports the same rate.
    share_per_s : float
        Requests per second that this host may send; 0 for a host without a share.
    credit, max_credit : float
        Credit at `credited_at`, and its upper limit, in requests.
    tried_at : float
        When this host last sent a request without having a share.
    position, positions : int
        Hosts without a share probe in rotation: this host in position `position`, from
        0, of `positions`. The last position belongs to no host.
    """

    rate: float | None
    at: float
    own: bool
    share_per_s: float = 0.0
    credit: float = 0.0
    max_credit: float = MIN_CREDIT
    credited_at: float = 0.0
    tried_at: float = float("-inf")
    position: int = 0
    positions: int = 1

    def credit_now(self, now: float) -> float:
        """Return the credit of this host, in requests."""
        grown = self.credit + self.share_per_s * (now - self.credited_at)
        return min(self.max_credit, grown)

    def settle(self, now: float) -> None:
        """Add the credit that has grown since the last call."""
        self.credit = self.credit_now(now)
        self.credited_at = now


class RateLimits:
    """The rates that servers have stated, and this host's shares of them.

    Parameters
    ----------
    host_id : str
        Id of this host.
    bound : RateBound, optional
        Bound on the requests that one server may get from all hosts together.

    Attributes
    ----------
    version : int
        Grows whenever a response to this host changes the rate of a server, or confirms
        a statement that is older than `RATE_VALID_S`.
    skipped : int
        How often `may_send` did not allow a request.
    """

    __slots__ = (
        "_bound",
        "_by_server",
        "_host_id",
        "_serving_hosts",
        "skipped",
        "version",
    )

    def __init__(self, host_id: str, bound: RateBound | None = None) -> None:
        self._bound = bound or RateBound()
        self._by_server: dict[Incarnation, RateLimit] = {}
        # Hosts that may send requests to servers. While it is empty, this host has no
        # share of any rate.
        self._serving_hosts: frozenset[str] = frozenset()
        self._host_id = host_id
        self.skipped = 0
        self.version = 0

    def observe(
        self, server: Incarnation, rate: float | None, asked_at: float, now: float
    ) -> bool:
        """Process a response of a server to a request that was sent at `asked_at`.

        Guards against a late response: on a link that loses packets, a response from
        before the server stated its rate arrives after the statement and would end the
        limit. So a response without a rate counts only if its request was sent after
        the last response with a rate had arrived.

        Returns
        -------
        changed : bool
            Whether the response changes the known rate.
        """
        at = now if rate is not None else asked_at
        known = self._by_server.get(server)
        # The rotation of the probing hosts starts when the statement was last known to
        # hold, so all hosts need to learn that an outdated statement was confirmed.
        outdated = known is not None and now - known.at > RATE_VALID_S
        changed = self._apply(server, rate, at, now, own=True)
        if changed or outdated:
            self.version += 1
        return changed

    def learn_from_peer(
        self, server: Incarnation, rate: float | None, at: float, now: float
    ) -> bool:
        """Process a statement that another host reports.

        The statement was last known to hold `at` this time, by this host's clock.

        Returns
        -------
        changed : bool
            Whether the report changes the known rate.
        """
        return self._apply(server, rate, at, now, own=False)

    def _apply(
        self,
        server: Incarnation,
        rate: float | None,
        at: float,
        now: float,
        *,
        own: bool,
    ) -> bool:
        """Apply a statement that held `at` a time; return whether the rate changes.

        A statement is ignored if one at least as recent is known. So is a statement
        without a rate from a server that has stated none before.
        """
        known = self._by_server.get(server)
        if known is None:
            if rate is None:
                return False
            # Some credit may be given at once, since the bound applies only some
            # seconds after the first statement.
            known = RateLimit(None, at, own, credit=MIN_CREDIT, credited_at=now)
            self._by_server[server] = known
        elif at <= known.at:
            return False
        known.at = at
        known.own = own or (known.own and rate == known.rate)
        if rate == known.rate:
            return False
        known.rate = rate
        self._update_share(server, known, now)
        return True

    def own_observations(self) -> Iterator[tuple[Incarnation, RateLimit]]:
        """Yield the statements that this host received itself, see `RateLimit.own`."""
        return (item for item in self._by_server.items() if item[1].own)

    def share_per_s_of(self, server: Incarnation) -> float:
        """Return this host's share of a server's rate, in requests per second.

        Infinity if the server states no limit.
        """
        limit = self._by_server.get(server)
        return (
            float("inf") if limit is None or limit.rate is None else limit.share_per_s
        )

    def in_force(self) -> Iterator[tuple[Incarnation, RateLimit]]:
        """Yield the runs of servers that state a rate, and their limits."""
        return (item for item in self._by_server.items() if item[1].rate is not None)

    def set_hosts(self, hosts: Collection[str], now: float) -> None:
        """Set which hosts may send requests to servers, and update the shares."""
        if self._serving_hosts == hosts:
            return
        self._serving_hosts = frozenset(hosts)
        for server, limit in self._by_server.items():
            self._update_share(server, limit, now)

    def _update_share(self, server: Incarnation, limit: RateLimit, now: float) -> None:
        """Update this host's share of a server's rate, or its position in the rotation.

        The serving hosts are ranked by rendezvous hashing with the server's id. The
        first ones, up to `RateBound.max_sharers`, share the rate equally.
        """
        limit.settle(now)
        if limit.rate is None:
            limit.share_per_s = 0.0
            return
        rate = max(MIN_RATE_PER_S, limit.rate)
        order = ranked(server[0], self._serving_hosts)
        max_sharers = self._bound.max_sharers(rate)
        serving = self._host_id in self._serving_hosts
        rank = order.index(self._host_id) if serving else len(order)
        sharing = serving and rank < max_sharers
        sharers = max(1, min(max_sharers, len(order)))
        limit.share_per_s = rate / sharers if sharing else 0.0
        limit.max_credit = self._bound.credit_each(rate, sharers)
        limit.position = rank - max_sharers if serving else NO_POSITION
        limit.positions = max(1, len(order) - max_sharers + 1)

    def forget_old(self, now: float, known_ids: Collection[str]) -> None:
        """Drop outdated statements; `known_ids` are the ids of known servers.

        A rate that a known server states is kept however old it is.
        """
        outdated = [
            server
            for server, limit in self._by_server.items()
            if now - limit.at > REMEMBERED_S
            and (limit.rate is None or server[0] not in known_ids)
        ]
        for server in outdated:
            del self._by_server[server]

    def may_send(self, server: Incarnation, now: float, *, urgent: bool) -> bool:
        """Return whether a request may go to a server; count in `skipped` if not.

        Parameters
        ----------
        server : Incarnation
            Run of the server.
        now : float
            Monotonic time in seconds.
        urgent : bool
            Whether the request may use the credit that is reserved for urgent requests.
        """
        if not self._by_server:
            return True
        limit = self._by_server.get(server)
        if limit is None or limit.rate is None:
            return True
        if limit.share_per_s > 0.0:
            allowed = limit.credit_now(now) >= (1.0 if urgent else MIN_CREDIT)
        else:
            allowed = self._may_probe(limit, now)
        self.skipped += not allowed
        return allowed

    def _may_probe(self, limit: RateLimit, now: float) -> bool:
        """Return whether this host, without a share, may check if a rate still holds.

        Guards against a burst: after a long time without requests for a server, all
        hosts get one at once. Each considers the known rate outdated, and together they
        would send too many. The rotation leaves each window of the bound to one of
        them, or to none.
        """
        if now - max(limit.at, limit.tried_at) <= RATE_VALID_S:
            return False
        position = int((now - limit.at) / self._bound.window_s) % limit.positions
        return position == limit.position

    def sent(self, server: Incarnation, now: float) -> None:
        """Count a request whose first byte is sent.

        The request takes one credit from a host with a share of the server's rate. For
        a host without a share, the time is noted in `tried_at`.
        """
        limit = self._by_server.get(server)
        if limit is None or limit.rate is None:
            return
        if limit.share_per_s > 0.0:
            limit.settle(now)
            limit.credit = max(0.0, limit.credit - 1.0)
        else:
            limit.tried_at = now

    def wait_s(self, server: Incarnation, now: float) -> float:
        """Return after how many seconds a request that is not urgent may be sent.

        0 if the server states no limit, infinity if this host has no share of its rate.
        """
        limit = self._by_server.get(server)
        if limit is None or limit.rate is None:
            return 0.0
        if limit.share_per_s <= 0.0:
            return float("inf")
        return max(0.0, MIN_CREDIT - limit.credit_now(now)) / limit.share_per_s
