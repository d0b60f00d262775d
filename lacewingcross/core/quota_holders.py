"""Which entry hosts hold shares of the client accounts' quotas, and who keeps which.

A quota is a promise of the whole fleet, kept by hosts in touch or not. So each of a few
hosts, the *holders*, owns an equal share of every quota, whether it lives or not; all
shares together are one whole. A holder lends its shares to the *keepers* of the
accounts, one living holder each (see `quota_keeper`), by leases that it lets lapse
before it lends them to anybody else. However a fleet is cut, no share counts twice.

Holders go by the list of hosts and not by who lives: all hosts reckon the same ones,
and none takes over the share of one that it merely cannot hear.
"""

from collections.abc import Iterable

from .active import active_hosts, in_order
from .membership import HostInfo
from .rendezvous import hash64
from .roster import FORGET_AFTER_S, Roster

# Each holder may run some requests of an account on trust. The smallest accounts bear
# one each for so many hosts.
HOLDERS_MOST = 12
# Holders that start for the first time, all together, find each other within so long,
# in seconds; nothing was lent before.
FIRST_SETTLE_S = 2.0


class Holders:
    """The holders in one view of the fleet, and whom they have keep each account.

    Parameters
    ----------
    names : iterable of str
        Host ids.

    Attributes
    ----------
    names : tuple of str
        Host ids in order.
    key : str
        The same for all hosts that have the same view.
    """

    __slots__ = ("_orders", "_places", "key", "names")

    def __init__(self, names: Iterable[str]) -> None:
        self.names = tuple(sorted(names))
        self.key = f"{hash64('quota-holders', *self.names):016x}"
        self._places = {name: place for place, name in enumerate(self.names)}
        self._orders: dict[str, tuple[int, ...]] = {}

    def __contains__(self, host_id: str) -> bool:
        """Tell whether a host is one of them."""
        return host_id in self._places

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self.names)

    def mask(self, live: Iterable[str]) -> int:
        """Return a number whose bits say which holders are among some hosts."""
        found = 0
        for name in live:
            place = self._places.get(name)
            if place is not None:
                found |= 1 << place
        return found

    def keeper(self, account: str, mask: int) -> str | None:
        """Return the holder that keeps an account if those of a mask live."""
        for place in self._order(account):
            if mask >> place & 1:
                return self.names[place]
        return None

    def _order(self, account: str) -> tuple[int, ...]:
        known = self._orders.get(account)
        if known is None:
            names = self.names
            places = range(len(names))
            known = tuple(
                sorted(places, key=lambda p: hash64(account, names[p]), reverse=True)
            )
            self._orders[account] = known
        return known


def choose_holders(hosts: Iterable[HostInfo]) -> list[str]:
    """Return the holders among hosts: large ones, of as many domains as there are."""
    chosen = active_hosts(hosts, 0.0)
    return [info.host_id for info in in_order(chosen)][:HOLDERS_MOST]


class HolderWatch:
    """Works out the holders, and whether this host's own share counts.

    Failure: a host that joins takes a share while others still count without it, for
    instance behind a cut; together they hold more than the whole. So a newcomer's share
    counts only once every other holder, and every one that it displaces, has said that
    it counts the newcomer. A host that was killed and is back under its name was
    counted all along.

    Parameters
    ----------
    roster : Roster
        The known hosts.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    __slots__ = (
        "_counted_by",
        "_held_at",
        "_known",
        "_listed_at",
        "_rivals",
        "_roster",
        "first_start",
        "good",
        "holders",
    )

    def __init__(self, roster: Roster, *, first_start: bool) -> None:
        self._roster = roster
        self.first_start = first_start
        self.holders = Holders(())
        self.good = False
        # The view that each other host has told last, by its key.
        self._counted_by: dict[str, str] = {}
        self._held_at = float("-inf")
        self._known: list[HostInfo] = []
        self._listed_at: float | None = None
        self._rivals: frozenset[str] = frozenset()

    def review(self, now: float) -> None:
        """Take over what the roster knows now."""
        own = self._roster.own
        others = [entry.info for entry in self._roster.entries.values()]
        if others != self._known or not self.holders.names:
            self._known = others
            self._choose(others)
        if self._roster.listed and self._listed_at is None:
            self._listed_at = now
        if own.host_id not in self.holders:
            self.good = False
            return
        self._held_at = now
        self.good = self.good or self._may_hold(now)

    def _choose(self, others: list[HostInfo]) -> None:
        own = self._roster.own
        names = choose_holders([own, *others])
        if tuple(sorted(names)) != self.holders.names:
            self.holders = Holders(names)
        displaced = choose_holders(others)
        self._rivals = frozenset((*names, *displaced)) - {own.host_id}

    def _may_hold(self, now: float) -> bool:
        if self._listed_at is None:
            return False
        if self._roster.was_listed:
            return True
        if self.first_start:
            return now - self._listed_at >= FIRST_SETTLE_S
        return all(
            self._counted_by.get(host_id) == self.holders.key
            for host_id in self._rivals
        )

    def counted(self, host_id: str, key: str) -> None:
        """Note which view another host has."""
        self._counted_by[host_id] = key

    def tells(self, now: float) -> bool:
        """Tell whether this host has to tell others its view."""
        return now - self._held_at < FORGET_AFTER_S

    def live(self, now: float) -> int:
        """Return the mask of the holders that this host can speak to."""
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
        # A process that has ended holds no lease: nobody waits for it to lapse.
        return not (entry.leaving or entry.starting or entry.ended())
