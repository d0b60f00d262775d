"""Which entry hosts hold shares of the accounts' quotas, and keep which accounts.

The bound on a quota applies to the whole fleet, even while hosts cannot reach each
other. So each of a few hosts, the *holders*, owns an equal share of every quota,
whether the host is alive or not; all shares add up to one. Each account has one live
holder as its *keeper* (see `keeper`). A holder lends its shares of an account to
the keeper by leases, and lets a lease expire before it lends the same share to another
host. So no share counts twice, however the fleet is partitioned.

The holders are computed from the list of hosts and not from the hosts that are alive.
So all hosts with the same list compute the same holders, and no host takes over the
share of a holder that is only unreachable. Hosts that have been silent for
`FORGET_AFTER_S` are left out: they are gone, and may stay in the list for good.
"""

from collections.abc import Iterable

from ..active import active_hosts, in_order
from ..membership import HostInfo
from ..rendezvous import hash64
from ..roster import FORGET_AFTER_S, Roster

# Maximum number of holders. The margin for debts of an account is divided among them;
# for the smallest quotas the margin is little more than 12 requests (0.6 of a slack of
# 20), which allows each holder one request before it is paid for.
MAX_HOLDERS = 12
# When the whole system starts for the first time, a holder counts its own share this
# long after it has first read the list of hosts, in seconds. By then the holders have
# found each other, and no host can have lent a share before the first start.
FIRST_START_SETTLE_S = 2.0


class Holders:
    """The holders in one view of the fleet, and the keeper of each account.

    Two hosts have the same view if they compute the same holders.

    Parameters
    ----------
    names : iterable of str
        Host ids of the holders.

    Attributes
    ----------
    names : tuple of str
        Host ids of the holders, sorted.
    key : str
        Key of the view: a hash of `names`, equal on all hosts that have the same view.
    """

    __slots__ = ("_indexes", "_keeper_orders", "key", "names")

    def __init__(self, names: Iterable[str]) -> None:
        self.names = tuple(sorted(names))
        self.key = f"{hash64('quota-holders', *self.names):016x}"
        self._indexes = {name: index for index, name in enumerate(self.names)}
        self._keeper_orders: dict[str, tuple[int, ...]] = {}

    def __contains__(self, host_id: str) -> bool:
        """Return whether a host is one of the holders."""
        return host_id in self._indexes

    def __len__(self) -> int:
        """Return the number of holders."""
        return len(self.names)

    def mask(self, host_ids: Iterable[str]) -> int:
        """Return a mask of the holders in `host_ids`; bits are indexes in `names`."""
        bits = 0
        for name in host_ids:
            index = self._indexes.get(name)
            if index is not None:
                bits |= 1 << index
        return bits

    def keeper(self, account: str, live_mask: int) -> str | None:
        """Return the keeper of an account: the first live holder in its order.

        The result is None if no bit of a holder is set in `live_mask`.
        """
        for index in self._keeper_order(account):
            if live_mask >> index & 1:
                return self.names[index]
        return None

    def _keeper_order(self, account: str) -> tuple[int, ...]:
        """Return the indexes of the holders by preference as the account's keeper."""
        known = self._keeper_orders.get(account)
        if known is None:
            names = self.names
            indexes = range(len(names))
            known = tuple(
                sorted(
                    indexes,
                    key=lambda index: hash64(account, names[index]),
                    reverse=True,
                )
            )
            self._keeper_orders[account] = known
        return known


def choose_holders(hosts: Iterable[HostInfo]) -> list[str]:
    """Return the ids of the hosts that are holders, at most `MAX_HOLDERS`.

    They are the hosts that would be active without load (`needed_cores` is 0): the
    first large hosts of each failure domain, the largest first.
    """
    chosen = active_hosts(hosts, 0.0)
    return [info.host_id for info in in_order(chosen)][:MAX_HOLDERS]


class HolderWatch:
    """Computes the holders, and whether this host's own share counts.

    Guards against a host that joins and takes a share while other hosts, for instance
    behind a partition, still compute the holders without it: together they would hold
    more than the whole. So a newcomer's share counts only after every other holder, and
    every host that would be a holder without the newcomer, has reported a view with the
    same key as the newcomer's. A host whose process has ended need not report: it holds
    nothing, and reads the list with the newcomer when it starts again. A host that was
    killed and restarts under the same name has been included all the time.

    Parameters
    ----------
    roster : Roster
        The known hosts.
    first_start : bool
        Whether the whole system starts for the first time.

    Attributes
    ----------
    holders : Holders
        The holders in this host's view.
    own_share_counts : bool
        Whether this host's own share counts. Once true, it remains so for as long as
        this host is a holder.
    """

    __slots__ = (
        "_confirming_hosts",
        "_known_hosts",
        "_last_counted_at",
        "_listed_at",
        "_reported_views",
        "_roster",
        "first_start",
        "holders",
        "own_share_counts",
    )

    def __init__(self, roster: Roster, *, first_start: bool) -> None:
        self._roster = roster
        self.first_start = first_start
        self.holders = Holders(())
        self.own_share_counts = False
        # `Holders.key` that each other host has reported last, by host id.
        self._reported_views: dict[str, str] = {}
        # When this host's own share last counted.
        self._last_counted_at = float("-inf")
        # The other hosts from which the holders were computed last.
        self._known_hosts: list[HostInfo] = []
        # When this host first had the list of hosts.
        self._listed_at: float | None = None
        # Hosts that have to report this host's view before its own share counts.
        self._confirming_hosts: frozenset[str] = frozenset()

    def review(self, now: float) -> None:
        """Update `holders` and `own_share_counts` from the roster."""
        own = self._roster.own
        gone = self._roster.gone(now)
        others = [
            entry.info
            for host_id, entry in self._roster.entries.items()
            if host_id not in gone
        ]
        if others != self._known_hosts or not self.holders.names:
            self._known_hosts = others
            self._choose(others)
        if self._roster.listed and self._listed_at is None:
            self._listed_at = now
        if own.host_id not in self.holders:
            self.own_share_counts = False
            return
        self.own_share_counts = self.own_share_counts or self._may_hold(now)
        if self.own_share_counts:
            self._last_counted_at = now

    def _choose(self, others: list[HostInfo]) -> None:
        own = self._roster.own
        names = choose_holders([own, *others])
        if tuple(sorted(names)) != self.holders.names:
            self.holders = Holders(names)
        holders_without_own = choose_holders(others)
        self._confirming_hosts = frozenset((*names, *holders_without_own)) - {
            own.host_id
        }

    def _may_hold(self, now: float) -> bool:
        """Return whether this host may begin to count its own share."""
        if self._listed_at is None:
            return False
        if self._roster.was_listed:
            return True
        if self.first_start:
            return now - self._listed_at >= FIRST_START_SETTLE_S
        return not self.unconfirmed()

    def unconfirmed(self) -> list[str]:
        """Return the hosts that still have to report this host's view, sorted."""
        return sorted(
            host_id
            for host_id in self._confirming_hosts
            if self._reported_views.get(host_id) != self.holders.key
            and not self._has_ended(host_id)
        )

    def _has_ended(self, host_id: str) -> bool:
        entry = self._roster.entries.get(host_id)
        return entry is not None and entry.ended()

    def note_reported_view(self, host_id: str, key: str) -> None:
        """Note the hash of holder names (`Holders.key`) that another host computed."""
        self._reported_views[host_id] = key

    def sends_leases(self, now: float) -> bool:
        """Return whether to send leases to the live holders.

        This host sends them while it is a holder, and for `FORGET_AFTER_S` after its
        own share counted last: a lease with an empty mask ends the lease sent before.

        Guards against a host that knows no other host at its start, and so considers
        itself a holder: in a fleet of 91 hosts, 79 of them would send empty leases.
        """
        is_holder = self._roster.own.host_id in self.holders
        return is_holder or now - self._last_counted_at < FORGET_AFTER_S

    def live_mask(self, now: float) -> int:
        """Return the mask of the holders that are alive and in service.

        A host that is starting or shutting down, or whose process has ended, is left
        out. This host counts itself, unless it is out of service. A standby host that
        is no holder also accepts other hosts' reports that a holder is alive.
        """
        roster = self._roster
        if roster.is_active or roster.own.host_id in self.holders:
            live = {h for h, entry in roster.entries.items() if entry.live(now)}
        else:
            live = roster.live_ids(now)
        live = {h for h in live if h in self.holders and self._serves(h)}
        if not roster.out_of_service:
            live.add(roster.own.host_id)
        return self.holders.mask(live)

    def _serves(self, host_id: str) -> bool:
        entry = self._roster.entries[host_id]
        # A process that has ended holds no lease any more, so lenders need not wait for
        # one to expire before they lend the same shares to the next keeper.
        return not (entry.leaving or entry.starting or entry.ended())
