"""A host's share of limits that apply to all hosts, and its rank as a store watcher."""

from .rendezvous import ranked
from .roster import FORGET_AFTER_S, Entry, Roster

# A host that becomes active divides limits among all known hosts for this time, in
# seconds, which makes its own share small. Until the other active hosts know of the new
# one, their shares add up to one without it.
SETTLE_S = 2.0
# Until the list of hosts has been read, a limit is assumed to be divided among at least
# this many hosts. It is about half as many again as the most hosts that either of the
# two known deployments has in a region of few hosts.
ASSUMED_HOSTS = 8


def region_share(roster: Roster, now: float) -> float:
    """Return this host's share of the active hosts' processor time in its region.

    The share is from 0 to 1; `_share` describes how it is computed.
    """
    return _share(roster, now, roster.own.region)


def fleet_share(roster: Roster, now: float) -> float:
    """Return this host's share of the processor time of all active hosts.

    The share is from 0 to 1; `_share` describes how it is computed.
    """
    return _share(roster, now, "")


def _share(roster: Roster, now: float, region: str) -> float:
    """Return this host's share among the active hosts of a region, alive or not.

    The shares are in proportion to processor cores. An empty `region` stands for all
    regions. Only active hosts serve callers, so a standby host has no share. Divided
    among all 195 hosts, the 13 requests per second that a cold server tolerates would
    give no host a whole request. Hosts that were active within the last minute keep
    their shares, since they may be partitioned and continue to serve. For `SETTLE_S`
    after this host has become active, all known hosts count as active.

    Guards against a restart of all hosts together: each knows only itself at first, and
    would use all the requests by itself that a cold server tolerates from its region.
    So the share is at most ``1 / ASSUMED_HOSTS`` until the list of hosts has been read.
    """
    if not roster.is_active:
        return 0.0
    settled = now - roster.active_since >= SETTLE_S
    other_cores = sum(
        entry.info.cores
        for host_id, entry in roster.entries.items()
        if region in ("", entry.info.region)
        and (not settled or _has_share(roster, host_id, entry, now))
    )
    share = roster.own.cores / (roster.own.cores + other_cores)
    return share if roster.listed else min(share, 1.0 / ASSUMED_HOSTS)


def serving_hosts(roster: Roster, now: float) -> frozenset[str]:
    """Return the hosts that may send requests to servers, alive or not.

    They are this host and the hosts that `_share` counts in all regions. The result is
    empty on a standby host, and until the list of hosts has been read.
    """
    if not roster.is_active or not roster.listed:
        return frozenset()
    settled = now - roster.active_since >= SETTLE_S
    return frozenset(
        host_id
        for host_id, entry in roster.entries.items()
        if not settled or _has_share(roster, host_id, entry, now)
    ) | {roster.own.host_id}


def _has_share(roster: Roster, host_id: str, entry: Entry, now: float) -> bool:
    """Return whether a host is active, or was within `FORGET_AFTER_S`."""
    return host_id in roster.active or now - entry.active_at < FORGET_AFTER_S


def rank(roster: Roster, now: float) -> int | None:
    """Return this host's rank among the hosts that may watch the store, 0 first.

    The rank is None for a host with a live relay, since the relay sends it everything.
    The active hosts, and hosts that are alive and shutting down, are ranked with this
    host. Hosts that are starting or shutting down, for which the store is unreachable,
    or that are not alive rank last; they watch the store only if no other host can.
    Otherwise hosts with more cores come first, because the watching host sends every
    change to all other hosts.
    """
    if roster.has_live_relay(now):
        return None
    rivals = {
        host_id: entry
        for host_id, entry in roster.entries.items()
        if host_id in roster.active or (entry.leaving and entry.live(now))
    }
    ranks_last = {host_id: _ranks_last(entry, now) for host_id, entry in rivals.items()}
    cores = {host_id: entry.info.cores for host_id, entry in rivals.items()}
    own = roster.own
    ranks_last[own.host_id] = roster.out_of_service or roster.store_unreachable
    cores[own.host_id] = own.cores
    ranking = sorted(
        ranked("store-follower", ranks_last),
        key=lambda host_id: (ranks_last[host_id], -cores[host_id]),
    )
    return ranking.index(own.host_id)


def _ranks_last(entry: Entry, now: float) -> bool:
    unavailable = entry.leaving or entry.starting or entry.store_unreachable
    return unavailable or not entry.live(now)
