"""Which other entry hosts a host speaks to, and which of them tell it everything.

Answers this load: fleets of hundreds of hosts. If each spoke to each, streams and
messages would grow with the square of the fleet, nearly all of them to hosts that serve
nobody. An active host speaks to the other active ones; one that stands by speaks
to two of them, its relays.
"""

import math
from collections.abc import Iterator
from functools import lru_cache

from .membership import HostInfo
from .rendezvous import hash64
from .roster import FORGET_AFTER_S, Entry, Roster

# Active hosts that a standby host hears of changes from: one may die at any moment.
RELAYS = 2
# A relay that was not heard for so long after it was first wanted cannot be reached;
# another one is taken, and it is not tried again for a while. In seconds.
RELAY_ANSWERS_S = 1.0
RELAY_AVOIDED_S = 5.0
# A host that is no longer active goes on telling what it has in flight for so long, in
# seconds: callers keep an answer that names it for up to three times its 1.5 s, and
# their last requests take a few more.
LINGER_S = 10.0
# How often changed counts of requests in flight are told to all active hosts, in
# seconds. Requests take about 70 ms at a warm server, so older counts say little.
COUNTS_EVERY_S = 0.03
# Up to this many active hosts get counts at that pace, more of them as much less
# often as they are more, so that what each host tells and hears in a second is bounded.
COUNTS_HOSTS = 8
# Active hosts that tell another one of all whom they hear. It knows so from many places
# whether somebody hears a host that it does not hear itself.
TELLERS = 12
# Up to so many active hosts hear changes from the one that follows the store itself.
TOLD_DIRECTLY = 24


def counts_interval_s(roster: Roster) -> float:
    """Return how often a host tells what it has in flight, in seconds."""
    return COUNTS_EVERY_S * max(1.0, len(roster.active) / COUNTS_HOSTS)


def full_view_peers(roster: Roster) -> frozenset[str]:
    """Return the active hosts that this one tells of all whom it hears.

    Answers this load: an even fleet of 300 hosts, all active, that starts. If each told
    each of all others whenever one more was heard, what a host sends would grow with
    the square of the fleet.
    """
    own = roster.own.host_id
    if len(roster.active) <= TELLERS + 1 or own not in roster.active:
        return frozenset(roster.active)
    ring = _ring(roster)
    # Negative places wrap around: the ring has no beginning.
    place = ring.index(own)
    return frozenset(ring[place - count] for count in range(1, TELLERS + 1))


def first_hops(roster: Roster, now: float) -> frozenset[str]:
    """Return the active hosts that the one that follows the store tells of changes.

    Answers this load: an even fleet of 100 hosts and 1,000 servers. If one host told
    all others of each change, it would send ten times what the others do. Each of a few
    that it tells passes it on to the hosts beside it on the ring. One that dies before
    it has done so is made up for: whoever is behind sees it from signs of life.
    """
    if len(roster.active) <= TOLD_DIRECTLY:
        return frozenset(roster.active)
    return frozenset(
        next((host for host in group if _may_pass_on(roster, host, now)), group[0])
        for group in _groups(roster)
    )


def next_hops(roster: Roster) -> frozenset[str]:
    """Return the active hosts that this one passes changes on to."""
    own = roster.own.host_id
    if len(roster.active) <= TOLD_DIRECTLY:
        return frozenset()
    beside = next((group for group in _groups(roster) if own in group), [])
    return frozenset(beside) - {own}


def _groups(roster: Roster) -> Iterator[list[str]]:
    """Yield the active hosts in groups, as many as a group has members."""
    ring = _ring(roster)
    size = math.isqrt(len(ring) - 1) + 1
    for first in range(0, len(ring), size):
        yield ring[first : first + size]


def _may_pass_on(roster: Roster, host_id: str, now: float) -> bool:
    entry = roster.entries.get(host_id)
    return entry is not None and entry.live(now)


def _ring(roster: Roster) -> list[str]:
    """Return the active hosts in an order that is the same for all hosts."""
    return sorted(roster.active, key=_place_on_ring)


@lru_cache(maxsize=8192)
def _place_on_ring(host_id: str) -> int:
    return hash64("ring", host_id)


def hosts_to_advertise(
    roster: Roster, receiver: str, now: float, told_all: frozenset[str]
) -> list[HostInfo]:
    """Return the hosts that another one is told of.

    A host that stands by is told who is active, also by another one that stands by.
    Failure: a host takes itself or another one for active at its start, when it has
    read a list in which the larger hosts are missing yet. Whoever it speaks to tells
    it better.

    Active hosts tell each other whom they hear: `told_all` of all, the others only of
    those that speak to nobody else, the hosts that stand by.
    """
    if receiver not in roster.active:
        return list(roster.active.values())
    if not roster.is_active:
        return []
    heard = roster.direct_peers(now)
    if receiver in told_all:
        return heard
    return [info for info in heard if info.host_id not in roster.active]


def subscriptions(roster: Roster, now: float) -> set[str]:
    """Return the hosts that a host wants to be told by."""
    if not roster.is_active and now - roster.last_active_at > LINGER_S:
        return set(_relays(roster, now))
    found = set(roster.active) - {roster.own.host_id}
    if roster.is_active or not found:
        found.update(_lost_active(roster, now))
    return found


def _lost_active(roster: Roster, now: float) -> Iterator[str]:
    """Yield active hosts that fell silent.

    Failure: two parts of a fleet are cut from each other. Each takes the other's hosts
    for dead, and nobody would dial them again when the cut has healed.
    """
    for host_id, entry in roster.entries.items():
        if now - entry.active_at < FORGET_AFTER_S and not entry.live(now):
            yield host_id


def _relays(roster: Roster, now: float) -> list[str]:
    """Return active hosts to be told by, near ones of two failure domains if any.

    Notes when each was first wanted, so that one that never answers is passed over.
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
    chosen.extend(_second(order))
    for entry in chosen:
        if now - entry.relay_chosen_at > RELAY_AVOIDED_S and not entry.live(now):
            entry.relay_chosen_at = now
    return [entry.info.host_id for entry in chosen]


def _second(order: list[Entry]) -> list[Entry]:
    """Return the other relays: of another failure domain of the region if there is one.

    Failure: a failure domain is lost. A host whose relays were both in it would hear
    nothing until it has noticed their silence.
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
    sought_s = now - entry.relay_chosen_at
    return entry.live(now) or not RELAY_ANSWERS_S < sought_s < RELAY_AVOIDED_S
