"""Selects the other entry hosts that a host exchanges messages with.

Designed for fleets of hundreds of hosts. If every host sent messages to every other
one, streams and messages would grow with the square of the fleet, and nearly all of
them would go to hosts that serve no callers. An active host sends messages to the other
active hosts; a standby host sends messages to two active hosts, its relays, and
receives all updates from them.
"""

import math
from collections.abc import Iterator
from functools import lru_cache

from .membership import HostInfo
from .rendezvous import hash64
from .roster import FORGET_AFTER_S, Entry, Roster

# Number of active hosts that send changes to a standby host, its relays. There are two
# because either may crash at any moment. The standby host chooses its relays, unlike
# those of a failure domain or region, which exchange heartbeats (`neighbours.RELAYS`).
RELAYS = 2
# A relay that has sent nothing within `RELAY_ANSWER_TIMEOUT_S` after it was chosen is
# considered unreachable. The host chooses another relay, and does not try the
# unreachable one again until `RELAY_RETRY_AFTER_S` after it was chosen.
RELAY_ANSWER_TIMEOUT_S = 1.0
RELAY_RETRY_AFTER_S = 5.0
# A host that is no longer active goes on sending counts of its requests in flight to
# the active hosts for this long: callers keep a look-up answer that names the host for
# up to three times the answer's lifetime of 1.5 s, and their last requests take a few
# seconds more.
LINGER_S = 10.0
# How long a host that was forgotten and is listed again is connected to, in seconds.
# Most such hosts are gone.
DIAL_LISTED_S = 2.0
# Interval at which changed counts of requests in flight are sent to all active hosts.
# Requests take about 70 ms at a warm server (one that has handled the object recently),
# so older counts say little.
COUNTS_INTERVAL_S = 0.03
# Maximum number of active hosts at which counts of requests in flight are sent every
# `COUNTS_INTERVAL_S`. With more active hosts the interval grows in proportion, so that
# the messages that each host sends and receives in a second are bounded.
MAX_FULL_RATE_HOSTS = 8
# Number of active hosts that send their full view to each active host in a large fleet.
# A full view names all hosts from which its sender receives messages. If the receiver
# gets no messages from some host, these views show whether other hosts still do.
FULL_VIEW_SENDERS = 12
# In a fleet of up to this many active hosts, each of them receives changes directly
# from the host that watches the store.
MAX_DIRECT_RECEIVERS = 24


def counts_interval_s(roster: Roster) -> float:
    """Return the interval in seconds at which a host sends its requests in flight."""
    return COUNTS_INTERVAL_S * max(1.0, len(roster.active) / MAX_FULL_RATE_HOSTS)


def full_view_peers(roster: Roster) -> frozenset[str]:
    """Return the ids of the active hosts that this host sends its full view to.

    In a small fleet, and on a standby host (where the result is not used), these are
    all active hosts, this host included if it is active.

    Designed for the start of a fleet of 300 hosts of equal size, which are all active.
    If each host sent its full view to every other one whenever another host became
    alive, the bytes that a host sends would grow with the square of the fleet.
    """
    own = roster.own.host_id
    if len(roster.active) <= FULL_VIEW_SENDERS + 1 or own not in roster.active:
        return frozenset(roster.active)
    ring = _ring(roster)
    # Negative indexes wrap around the ring.
    own_index = ring.index(own)
    return frozenset(
        ring[own_index - offset] for offset in range(1, FULL_VIEW_SENDERS + 1)
    )


def first_hops(roster: Roster, now: float) -> frozenset[str]:
    """Return the ids of the active hosts that the watching host sends changes to.

    Designed for a fleet of 100 hosts of equal size and 1,000 servers. If the host that
    watches the store sent each change to all other hosts, it would send ten times as
    much as any other host does. It sends the change to one host of each group on the
    ring instead, and each of these hosts passes the change on to the other hosts of its
    group. If such a host crashes before it has done so, the hosts of its group find
    from `Alive` messages that they are behind and pull the change.
    """
    if len(roster.active) <= MAX_DIRECT_RECEIVERS:
        return frozenset(roster.active)
    return frozenset(
        next((host for host in group if _may_pass_on(roster, host, now)), group[0])
        for group in _groups(roster)
    )


def next_hops(roster: Roster) -> frozenset[str]:
    """Return the ids of the active hosts that this host passes changes on to.

    In a fleet of up to `MAX_DIRECT_RECEIVERS` active hosts there are none.
    """
    own = roster.own.host_id
    if len(roster.active) <= MAX_DIRECT_RECEIVERS:
        return frozenset()
    own_group = next((group for group in _groups(roster) if own in group), [])
    return frozenset(own_group) - {own}


def _groups(roster: Roster) -> Iterator[list[str]]:
    """Yield the active hosts in about as many groups as each group has members."""
    ring = _ring(roster)
    group_size = math.isqrt(len(ring) - 1) + 1
    for first in range(0, len(ring), group_size):
        yield ring[first : first + group_size]


def _may_pass_on(roster: Roster, host_id: str, now: float) -> bool:
    entry = roster.entries.get(host_id)
    return entry is not None and entry.live(now)


def _ring(roster: Roster) -> list[str]:
    """Return the ids of the active hosts in an order that is the same on all hosts."""
    return sorted(roster.active, key=_ring_position)


@lru_cache(maxsize=8192)
def _ring_position(host_id: str) -> int:
    return hash64("ring", host_id)


def hosts_to_advertise(
    roster: Roster, receiver: str, now: float, full_view_receivers: frozenset[str]
) -> list[HostInfo]:
    """Return the hosts to report to another host.

    A standby host is sent the active hosts, also by other standby hosts. Guards against
    a wrong view at the start of a host: the larger hosts are still missing from the
    list that the host reads, and it considers itself or another small host active.
    Without an answer it would keep this view; every host that it sends messages to
    answers with the active hosts.

    Active hosts report to each other the hosts that send them messages. Receivers in
    `full_view_receivers` are sent all of these, the other receivers only the standby
    hosts, which send messages to no other host than their relays.
    """
    if receiver not in roster.active:
        return list(roster.active.values())
    if not roster.is_active:
        return []
    direct = roster.direct_peers(now)
    if receiver in full_view_receivers:
        return direct
    return [info for info in direct if info.host_id not in roster.active]


def subscriptions(roster: Roster, now: float) -> set[str]:
    """Return the ids of the hosts from which a host requests updates.

    A host that has not been active for `LINGER_S` requests them from its relays, which
    this call may choose; any other host requests them from the active hosts. An active
    host, and one that knows no other active host, also requests them from lost active
    hosts, and from forgotten hosts that were just listed again.
    """
    if not roster.is_active and now - roster.last_active_at > LINGER_S:
        return set(_choose_relays(roster, now))
    peers = set(roster.active) - {roster.own.host_id}
    if roster.is_active or not peers:
        peers.update(_lost_active(roster, now))
        peers.update(_listed_again(roster, now))
    return peers


def _lost_active(roster: Roster, now: float) -> Iterator[str]:
    """Yield the ids of recently active hosts that have fallen silent.

    Guards against a lasting split after a network partition. Each side considers the
    hosts of the other side dead, and no host would connect to them again when the
    partition has healed. Requesting updates makes hosts connect to lost hosts, until
    `FORGET_AFTER_S` after the lost hosts were last active.
    """
    for host_id, entry in roster.entries.items():
        if now - entry.active_at < FORGET_AFTER_S and not entry.live(now):
            yield host_id


def _listed_again(roster: Roster, now: float) -> Iterator[str]:
    """Yield the ids of forgotten hosts that were listed again a moment ago.

    Guards against a split that lasts for good after a partition of over a minute. Each
    side has forgotten the other, and finds it in the store's list only.
    """
    for host_id, entry in roster.entries.items():
        again = entry.known_since > entry.first_known_at
        if again and now - entry.known_since < DIAL_LISTED_S and not entry.live(now):
            yield host_id


def _choose_relays(roster: Roster, now: float) -> list[str]:
    """Choose the active hosts to use as relays and return their ids.

    Hosts of this host's region come first, in two failure domains if the region has
    two.
    The time at which a relay was first chosen is recorded, so that a relay that never
    answers is skipped.
    """
    own = roster.own
    known = (roster.entries.get(host_id) for host_id in roster.active)
    order = sorted(
        (entry for entry in known if entry and _may_relay(entry, now)),
        key=lambda entry: (
            entry.info.region != own.region,
            hash64(own.host_id, entry.info.host_id),
        ),
    )
    chosen = order[:1]
    chosen.extend(_second_relay(order))
    for entry in chosen:
        if now - entry.relay_chosen_at > RELAY_RETRY_AFTER_S and not entry.live(now):
            entry.relay_chosen_at = now
    return [entry.info.host_id for entry in chosen]


def _second_relay(order: list[Entry]) -> list[Entry]:
    """Return the second relay in a list, which is empty if there is none.

    The relay is of another failure domain in the first relay's region if there is such
    a host. Guards against the loss of a failure domain. A host with both relays in that
    domain would receive no updates until the relays' silence timeout; a relay in
    another domain goes on sending them.
    """
    if len(order) < RELAYS:
        return order[1:]
    first = order[0].info
    for entry in order[1:]:
        info = entry.info
        if info.region == first.region and info.failure_domain != first.failure_domain:
            return [entry]
    return order[1:RELAYS]


def _may_relay(entry: Entry, now: float) -> bool:
    since_chosen_s = now - entry.relay_chosen_at
    return (
        entry.live(now)
        or not RELAY_ANSWER_TIMEOUT_S < since_chosen_s < RELAY_RETRY_AFTER_S
    )
