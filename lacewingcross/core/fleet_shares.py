"""A host's part of what all hosts share, and its turn to follow the store."""

from .rendezvous import ranked
from .roster import FORGET_AFTER_S, Entry, Roster

# A host that becomes active reckons with all known hosts for so long, in seconds: until
# the other active ones know of it, their parts add up without it.
SETTLE_S = 2.0
# Hosts of a region that are reckoned with before the list of hosts was read: the most
# that either user has in a region of few hosts, and half as many again.
ASSUMED_HOSTS = 8


def region_share(roster: Roster, now: float) -> float:
    """Return a host's part of its region's processor time, see `_part`."""
    return _part(roster, now, roster.own.region)


def fleet_share(roster: Roster, now: float) -> float:
    """Return a host's part of all hosts' processor time, see `_part`."""
    return _part(roster, now, "")


def _part(roster: Roster, now: float, region: str) -> float:
    """Return a host's part among the active hosts, living or not.

    Only those serve callers, so a standby host has none: by all 195 hosts, none would
    have a single whole request of the 13 that a cold server bears in a second. Hosts
    that were active within the last minute keep their parts: they may be cut off and
    serve on.

    Failure: all hosts are killed together and start again. Each knows only itself at
    first and would take the whole region's share of the requests that a cold server
    bears. Until the list of hosts was read there may be many.
    """
    if not roster.is_active:
        return 0.0
    settled = now - roster.active_since >= SETTLE_S
    others = sum(
        entry.info.cores
        for host_id, entry in roster.entries.items()
        if region in ("", entry.info.region)
        and (not settled or _shares(roster, host_id, entry, now))
    )
    part = roster.own.cores / (roster.own.cores + others)
    return part if roster.listed else min(part, 1.0 / ASSUMED_HOSTS)


def serving_hosts(roster: Roster, now: float) -> frozenset[str]:
    """Return the hosts that may send requests to servers, living or not.

    They are reckoned as in `_part`, and none before the list of hosts was read.
    """
    if not roster.is_active or not roster.listed:
        return frozenset()
    settled = now - roster.active_since >= SETTLE_S
    return frozenset(
        host_id
        for host_id, entry in roster.entries.items()
        if not settled or _shares(roster, host_id, entry, now)
    ) | {roster.own.host_id}


def _shares(roster: Roster, host_id: str, entry: Entry, now: float) -> bool:
    return host_id in roster.active or now - entry.active_at < FORGET_AFTER_S


def rank(roster: Roster, now: float) -> int | None:
    """Return a host's place among those that may follow the store, 0 first.

    None for a host that hears a relay: it is told all that there is. Hosts that start
    or leave, that the store turns away, or that were not heard yet, come last: they are
    able to follow it only if nobody else is. Of the others the largest come first,
    since the one that follows tells every change to all.
    """
    if roster.has_live_relay(now):
        return None
    rivals = {
        host_id: entry
        for host_id, entry in roster.entries.items()
        if host_id in roster.active or (entry.leaving and entry.live(now))
    }
    poor = {host_id: _poor(entry, now) for host_id, entry in rivals.items()}
    cores = {host_id: entry.info.cores for host_id, entry in rivals.items()}
    own = roster.own
    poor[own.host_id] = roster.out_of_service or roster.store_unreachable
    cores[own.host_id] = own.cores
    order = sorted(
        ranked("store-follower", poor),
        key=lambda host_id: (poor[host_id], -cores[host_id]),
    )
    return order.index(own.host_id)


def _poor(entry: Entry, now: float) -> bool:
    out = entry.leaving or entry.starting or entry.store_unreachable
    return out or not entry.live(now)
