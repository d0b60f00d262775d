"""Which entry hosts exist, which live, and which of them callers should use.

Hosts name themselves in the store when they start; whether one lives is judged by what
hosts say on the streams between them, never by the store, which may be away.

Active hosts (see `active`) speak to each other. Each of the others, which stand by,
speaks to two active ones, its *relays*; they tell it what changes, and they tell the
other active hosts that it lives. So what a standby host hears and tells is the same in
a fleet of any size.
"""

from dataclasses import dataclass

from .active import active_hosts
from .membership import HostInfo

# Hosts that speak to each other do so at least this often, in seconds.
ALIVE_EVERY_S = 0.5
# Silence after which a host is no longer named to callers: four missed messages, so
# that one lost packet (resent after about a second) does not take a host out.
SILENT_AFTER_S = 2.0
# A host that has been silent for so long is no longer dialled, in seconds. A host that
# comes back names itself again.
FORGET_AFTER_S = 60.0
# A host that was named by others, but not heard yet, is taken to live for so long, in
# seconds: a fleet that starts knows all names at once, and has yet to speak.
PRESUMED_S = 2.0
# When all relays of a host fall silent together, what they told last counts for this
# long after their last word, in seconds; the host finds other relays among it.
TOLD_COUNTS_S = 4.0


@dataclass(slots=True)
class Entry:
    """One other entry host.

    `subscribes` says that it asked to be told what this host knows. `active_at` is when
    it was last among the active hosts, `sought_at` when it was first wanted as a relay,
    and `refused_at` when nothing listened at its address for other hosts.
    """

    info: HostInfo
    known_since: float
    last_heard_at: float = float("-inf")
    incarnation: int = 0
    leaving: bool = False
    starting: bool = False
    store_unreachable: bool = False
    subscribes: bool = False
    active_at: float = float("-inf")
    sought_at: float = float("-inf")
    refused_at: float = float("-inf")

    def live(self, now: float) -> bool:
        """Tell whether the host has spoken to this one lately."""
        return now - self.last_heard_at < SILENT_AFTER_S

    def ended(self) -> bool:
        """Tell whether the host's process has ended since it spoke last."""
        return self.refused_at > self.last_heard_at

    def last_sign(self) -> float:
        """Return when the host was last heard, or first named."""
        return max(self.last_heard_at, self.known_since)


@dataclass(slots=True, frozen=True)
class PeerView:
    """What another host says of the hosts that it knows to live.

    `active` tells that these are the active hosts, as told to a standby host; active
    hosts tell each other whom they hear. Those in `starting` cannot serve yet.
    """

    active: bool
    hosts: dict[str, HostInfo]
    starting: frozenset[str] = frozenset()


class Roster:
    """All entry hosts that this one knows of.

    Parameters
    ----------
    own : HostInfo
        This host.
    """

    __slots__ = (
        "_told",
        "active",
        "active_since",
        "entries",
        "last_active_at",
        "leaving",
        "listed",
        "needed",
        "own",
        "starting",
        "store_unreachable",
        "was_listed",
    )

    def __init__(self, own: HostInfo) -> None:
        self.own = own
        self.leaving = False
        self.listed = False
        # Whether this host found itself in the list at its start, so that the others
        # have counted it all along.
        self.was_listed = False
        self.starting = True
        self.store_unreachable = False
        self.entries: dict[str, Entry] = {}
        # Processor time that callers' requests need, see `active.cores_needed`.
        self.needed = float("inf")
        self.active: dict[str, HostInfo] = {own.host_id: own}
        self.active_since = float("-inf")
        self.last_active_at = float("-inf")
        self._told: dict[str, PeerView] = {}

    @property
    def out_of_service(self) -> bool:
        """Tell whether callers should use other hosts.

        Failure: a host that has just started is named to callers before it has read
        the configuration; it could only refuse them.
        """
        return self.leaving or self.starting

    @property
    def is_active(self) -> bool:
        """Tell whether this host is one of those that callers are named."""
        return self.own.host_id in self.active

    # What others say

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

    def note_alive(
        self,
        info: HostInfo,
        incarnation: int,
        now: float,
        *,
        leaving: bool,
        starting: bool = False,
        store_unreachable: bool = False,
        subscribes: bool = True,
    ) -> bool:
        """Note that a host has spoken itself; return whether that changes anything."""
        known = self.entries.get(info.host_id)
        if known is None or known.info != info:
            known = Entry(info, now)
            self.entries[info.host_id] = known
        before = (known.live(now), known.leaving, known.starting, known.subscribes)
        known.last_heard_at = now
        known.incarnation = incarnation
        known.leaving = leaving
        known.starting = starting
        known.store_unreachable = store_unreachable
        known.subscribes = subscribes
        return before != (True, leaving, starting, subscribes)

    def take_peer_view(self, sender: str, told: PeerView, now: float) -> None:
        """Take over whom another host knows to live, in place of what it said before.

        Failure: a host that nobody has named in the store starts while that is away.
        Only those that it speaks to would know of it.
        """
        self._told[sender] = told
        for info in told.hosts.values():
            self.learn(info, now)

    def forget_silent(self, now: float) -> list[str]:
        """Drop hosts that have given no sign for long; return their ids."""
        live = self.live_ids(now)
        gone = [
            host_id
            for host_id, entry in self.entries.items()
            if now - entry.last_sign() > FORGET_AFTER_S and host_id not in live
        ]
        for host_id in gone:
            del self.entries[host_id]
            self._told.pop(host_id, None)
        return gone

    # Who lives

    def live_ids(self, now: float) -> set[str]:
        """Return the hosts that this one, or one that it hears, has heard lately."""
        heard = {host_id for host_id, e in self.entries.items() if e.live(now)}
        live = set(heard)
        for sender in heard & self._told.keys():
            live.update(self._told[sender].hosts)
        live.discard(self.own.host_id)
        return live & self.entries.keys()

    def live(self, now: float) -> list[HostInfo]:
        """Return the hosts that live, this one first."""
        live = self.live_ids(now)
        others = (e.info for host_id, e in self.entries.items() if host_id in live)
        return [self.own, *others]

    def heard_hosts(self, now: float) -> list[HostInfo]:
        """Return the hosts that speak to this one and do not leave."""
        entries = self.entries.values()
        return [e.info for e in entries if e.live(now) and not e.leaving]

    # Who is active

    def review(self, now: float) -> bool:
        """Work out anew who is active; return whether that has changed."""
        was_active = self.is_active
        before = self.active.keys()
        live = self.live_ids(now)
        self.active = self._chosen(live, now)
        if not self.is_active:
            # Active hosts know of all others, this one only of some.
            self.active = self._active_as_told(live, now) or self.active
        for host_id in self.active.keys() & self.entries.keys():
            self.entries[host_id].active_at = now
        if self.is_active:
            if not self.starting:
                self.last_active_at = now
            if not was_active:
                self.active_since = now
        return before != self.active.keys()

    def _chosen(self, live: set[str], now: float) -> dict[str, HostInfo]:
        """Return the active hosts by what this host knows itself."""
        known = live or self._told_ids(live, now)
        may_be = [
            entry.info
            for host_id, entry in self.entries.items()
            if not entry.leaving and (host_id in known or self._presumed(entry, now))
        ]
        if not self.leaving:
            may_be.append(self.own)
        return {info.host_id: info for info in active_hosts(may_be, self.needed)}

    def _active_as_told(self, live: set[str], now: float) -> dict[str, HostInfo]:
        named = self._told_ids(live, now)
        return {
            host_id: entry.info
            for host_id, entry in self.entries.items()
            if host_id in named and not entry.leaving
        }

    def _told_ids(self, live: set[str], now: float) -> set[str]:
        """Return the active hosts as relays tell them, or told them last.

        Failure: the relays of a host are lost together. It would take itself for the
        only host that is left, and be named to callers.
        """
        told = self._tellers(now, SILENT_AFTER_S)
        told = [t for t in told if t.active] or self._tellers(now, TOLD_COUNTS_S)
        named = {host_id for item in told if item.active for host_id in item.hosts}
        return {
            host_id
            for host_id in named & self.entries.keys()
            if host_id in live or self.entries[host_id].last_heard_at == float("-inf")
        }

    def _tellers(self, now: float, within_s: float) -> list[PeerView]:
        return [
            told
            for sender, told in self._told.items()
            if sender in self.entries
            and now - self.entries[sender].last_heard_at < within_s
        ]

    def _presumed(self, entry: Entry, now: float) -> bool:
        unheard = entry.last_heard_at == float("-inf")
        return unheard and now - entry.known_since < PRESUMED_S

    def has_live_relay(self, now: float) -> bool:
        """Tell whether a standby host is told of changes by an active one."""
        if self.is_active:
            return False
        return any(told.active for told in self._tellers(now, SILENT_AFTER_S))

    def reported_starting(self, now: float) -> set[str]:
        """Return the hosts of which others say that they cannot serve yet."""
        tellers = self._tellers(now, SILENT_AFTER_S)
        return {host_id for told in tellers for host_id in told.starting}
