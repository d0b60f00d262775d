"""Which entry hosts exist, which live, and which of them callers should use.

Hosts name themselves in the store when they start; whether one lives is judged by what
it says on the streams between hosts, never by the store, which may be away.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .membership import HostInfo
from .rendezvous import ranked

# Each host speaks to every other one at least this often, in seconds.
ALIVE_EVERY_S = 0.5
# How often changed counts of requests in flight are told to all other hosts, in
# seconds. Requests take about 70 ms at a warm server, so older counts say little.
COUNTS_EVERY_S = 0.03
# Fleets of up to this many hosts get counts at that pace, larger ones as much less
# often as they are larger, so that each host tells and hears some 250 messages a second
# at most: about 3 in 100 of a core.
COUNTS_HOSTS = 8
# Silence after which a host is no longer named to callers: four missed messages, so
# that one lost packet (resent after about a second) does not take a host out.
SILENT_AFTER_S = 2.0
# A host that has been silent for so long is no longer dialled, in seconds. A host that
# comes back names itself again.
FORGET_AFTER_S = 60.0
# Part of a region's processor time that the hosts named to callers have at least. A
# request takes 3 ms of a core; users' fleets have five times what theirs take in all.
LARGER_PART = 0.5
# Hosts that an answer may name, as the users' callers take them.
MOST_NAMED = 64
# Hosts of a region that are reckoned with before the list of hosts was read: the most
# that either user has in a region today, and half as many again.
HOSTS_UNLISTED = 8


@dataclass(slots=True)
class Entry:
    """One other entry host."""

    info: HostInfo
    known_since: float
    heard_at: float = float("-inf")
    incarnation: int = 0
    leaving: bool = False
    turned_away: bool = False

    def live(self, now: float) -> bool:
        """Tell whether the host has spoken lately."""
        return now - self.heard_at < SILENT_AFTER_S

    def last_sign(self) -> float:
        """Return when the host was last heard, or first named."""
        return max(self.heard_at, self.known_since)


class Roster:
    """All entry hosts that this one knows of.

    Parameters
    ----------
    own : HostInfo
        This host.
    """

    __slots__ = ("entries", "leaving", "listed", "own", "starting", "turned_away")

    def __init__(self, own: HostInfo) -> None:
        self.own = own
        self.leaving = False
        self.listed = False
        self.starting = True
        self.turned_away = False
        self.entries: dict[str, Entry] = {}

    @property
    def out(self) -> bool:
        """Tell whether callers should use other hosts.

        Failure: a host that has just started is named to callers before it has read
        the configuration; it could only refuse them.
        """
        return self.leaving or self.starting

    def learn(self, info: HostInfo, now: float) -> bool:
        """Take in a host's addresses; return whether they are new."""
        if info.host_id == self.own.host_id:
            return False
        known = self.entries.get(info.host_id)
        if known is not None and known.info == info:
            return False
        if known is not None and known.live(now):
            # The store's copy may be older than what the host itself says.
            return False
        self.entries[info.host_id] = Entry(info, now)
        return True

    def heard(
        self,
        info: HostInfo,
        incarnation: int,
        now: float,
        *,
        leaving: bool,
        turned_away: bool = False,
    ) -> None:
        """Note that a host has spoken itself."""
        known = self.entries.get(info.host_id)
        if known is None or known.info != info:
            known = Entry(info, now)
            self.entries[info.host_id] = known
        known.heard_at = now
        known.incarnation = incarnation
        known.leaving = leaving
        known.turned_away = turned_away

    def forget_silent(self, now: float) -> list[str]:
        """Drop hosts that have given no sign for long; return their ids."""
        gone = [
            host_id
            for host_id, entry in self.entries.items()
            if now - entry.last_sign() > FORGET_AFTER_S
        ]
        for host_id in gone:
            del self.entries[host_id]
        return gone

    def live(self, now: float) -> list[HostInfo]:
        """Return the hosts that live, this one first."""
        others = (entry.info for entry in self.entries.values() if entry.live(now))
        return [self.own, *others]

    def counts_every_s(self) -> float:
        """Return how often this host tells what it has in flight, in seconds."""
        hosts = 1 + len(self.entries)
        return COUNTS_EVERY_S * max(1.0, hosts / COUNTS_HOSTS)

    def rank(self, now: float) -> int:
        """Return this host's place among those that may follow the store, 0 first.

        Hosts that start or leave, or that the store turns away, come last: they are
        able to follow it only if nobody else is. Of the others the largest come first,
        since the one that follows tells every change to all.
        """
        poor = {
            host_id: entry.leaving or entry.turned_away
            for host_id, entry in self.entries.items()
            if entry.live(now)
        }
        poor[self.own.host_id] = self.out or self.turned_away
        cores = {info.host_id: info.cores for info in self.live(now)}
        order = sorted(
            ranked("store-follower", poor),
            key=lambda host_id: (poor[host_id], -cores[host_id]),
        )
        return order.index(self.own.host_id)

    def part_of_region(self) -> float:
        """Return this host's part of its region's processor time, see `_reckoned`."""
        infos = [entry.info for entry in self.entries.values()]
        cores = self._cores_of(info for info in infos if info.region == self.own.region)
        return self._reckoned(self.own.cores / cores)

    def _reckoned(self, part: float) -> float:
        """Return a part, less while there may be hosts that are not known yet.

        Failure: all hosts are killed together and start again. Each knows only itself
        at first and would take the whole region's share of the requests that a cold
        server bears. Until the list of hosts was read there may be many.
        """
        return part if self.listed else min(part, 1.0 / HOSTS_UNLISTED)

    def part_of_fleet(self) -> float:
        """Return this host's part of all hosts' processor time, living or not."""
        infos = (entry.info for entry in self.entries.values())
        return self._reckoned(self.own.cores / self._cores_of(infos))

    def _cores_of(self, others: Iterable[HostInfo]) -> float:
        return self.own.cores + sum(info.cores for info in others)

    def addresses_for(
        self, region: str, homes: frozenset[str], now: float, domain: str = ""
    ) -> list[str]:
        """Return the entry addresses for callers of a region; never an empty list.

        Callers are sent to their own region. If no host lives there, they go to the
        regions to which their requests are bound, or to any when they are not bound.
        Of hosts of different sizes they are sent to the larger ones, see `larger`; of
        more than `MOST_NAMED` each domain of callers to others, always the same ones.
        """
        serving = list(self._serving(now)) or self.live(now)
        in_homes = [info for info in serving if info.region in homes]
        elsewhere = in_homes if homes else serving
        here = [info for info in serving if info.region == region]
        chosen = here or elsewhere or [self.own]
        return [info.entry for info in _at_most(larger(chosen), domain)]

    def _serving(self, now: float) -> Iterable[HostInfo]:
        if not self.out:
            yield self.own
        for entry in self.entries.values():
            if entry.live(now) and not entry.leaving:
                yield entry.info


def _at_most(hosts: list[HostInfo], domain: str) -> list[HostInfo]:
    if len(hosts) <= MOST_NAMED:
        return hosts
    chosen = set(ranked(domain, (info.host_id for info in hosts))[:MOST_NAMED])
    return [info for info in hosts if info.host_id in chosen]


def larger(hosts: list[HostInfo]) -> list[HostInfo]:
    """Return the largest hosts that have half of all processor time, in order.

    Answers this load: fleets of a few large hosts and many small ones, which callers
    choose among at random. An equal share would fill the small ones (0.43 of a core and
    10 Mbit/s against 2.15 and 200), and what each of 68 hosts knows of a server with
    five slots is always old. With half of the time none of the large ones has more than
    twice the work that it would have by its size; when some are lost, the next smaller
    ones come in. Hosts of one size stay together, so an even fleet keeps all.
    """
    half = sum(info.cores for info in hosts) * LARGER_PART
    taken = 0.0
    least = 0.0
    for info in sorted(hosts, key=lambda info: -info.cores):
        if taken >= half:
            break
        taken += info.cores
        least = info.cores
    return [info for info in hosts if info.cores >= least]
