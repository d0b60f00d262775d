"""Which entry hosts exist, which are alive, and which of them callers should use.

Each host writes its own entry to the store when it starts. Whether a host is alive is
judged only by the messages on the streams between hosts, never by the store, which may
be unreachable. There is one exception: when the active hosts are chosen, a host that
was just listed is presumed alive for `PRESUMED_ALIVE_S`.

Active hosts (see `active`) exchange messages with each other. Each standby host
exchanges messages with two active hosts only, its *relays*: the relays send it every
change to the objects in the store (`messages.StoreChanges`) and report to the other
active hosts that it is alive. The traffic of a standby host is therefore the same in a
fleet of any size.
"""

from dataclasses import dataclass

from .active import active_hosts
from .membership import HostInfo

# Longest interval between two messages on a stream between hosts.
ALIVE_INTERVAL_S = 0.5
# Silence timeout after which look-ups stop naming a host to callers. It is four missed
# messages, so that one lost packet (resent after about a second) does not exceed it.
SILENT_AFTER_S = 2.0
# Silence timeout after which this host stops connecting to another host and forgets it.
# A host that comes back writes its entry to the store again.
FORGET_AFTER_S = 60.0
# Number of forgotten hosts of which it is remembered since when they have been silent.
MAX_FORGOTTEN = 10_000
# When the active hosts are chosen, a host that is listed in the store or by another
# host, but has not yet sent a message, is presumed alive for this long: when a fleet
# starts, all hosts are listed at once, before any of them has sent a message.
PRESUMED_ALIVE_S = 2.0
# When all relays of a host fall silent together, the hosts that they reported last stay
# valid for this long after the relays' last message. The host finds other relays among
# the reported hosts.
PEER_VIEW_VALID_S = 4.0


@dataclass(slots=True)
class Entry:
    """One other entry host.

    `known_since` is the time at which the host, or new data of it, was first listed or
    received. `leaving`, `starting`, `store_unreachable` and `subscribes` are from the
    host's last message, see `messages.Alive`; `subscribes` means that the host
    requested updates from this one. `active_at` is the last time at which the host was
    among the active hosts, `relay_chosen_at` the time at which it was first chosen as a
    relay and had not answered yet, and `refused_at` the last time at which no process
    listened at its peer address. `first_known_at` is the first time at which the host
    was known with this data, also if it was forgotten since, and `live_at` the last
    time at which it was alive, as this host or its peers know. All times are in seconds
    on this host's monotonic clock.
    """

    info: HostInfo
    known_since: float
    last_message_at: float = float("-inf")
    incarnation: int = 0
    leaving: bool = False
    starting: bool = False
    store_unreachable: bool = False
    subscribes: bool = False
    active_at: float = float("-inf")
    relay_chosen_at: float = float("-inf")
    refused_at: float = float("-inf")
    first_known_at: float = float("-inf")
    live_at: float = float("-inf")

    def live(self, now: float) -> bool:
        """Return whether the host has sent a message within the silence timeout."""
        return now - self.last_message_at < SILENT_AFTER_S

    def ended(self) -> bool:
        """Return whether the host's process has ended since its last message."""
        return self.refused_at > self.last_message_at

    def last_contact_at(self) -> float:
        """Return when the host's last message arrived or it was listed, if later."""
        return max(self.last_message_at, self.known_since)

    def silent_since(self) -> float:
        """Return when the host was last alive, or first known if it never was.

        Guards against a host that is gone and stays in the store's list: each time it
        is listed again it would seem to be a new host.
        """
        return max(self.live_at, self.last_message_at, self.first_known_at)


@dataclass(slots=True, frozen=True)
class PeerView:
    """The hosts that another host reports as alive.

    If `active`, `hosts` are all active hosts; this form is sent to standby hosts. Else
    `hosts` are those that send messages to the reporting host; this form is exchanged
    between active hosts. The hosts in `starting` cannot serve yet.
    """

    active: bool
    hosts: dict[str, HostInfo]
    starting: frozenset[str] = frozenset()


class Roster:
    """All entry hosts that this host knows.

    Parameters
    ----------
    own : HostInfo
        This host.

    Attributes
    ----------
    listed : bool
        Whether this host has read the store's list of hosts.
    was_listed : bool
        Whether this host found its own entry in the store's list at its start. If so,
        the other hosts already know it as a holder of quotas.
    active : dict of str to HostInfo
        The active hosts by id, as far as this host knows them.
    active_since, last_active_at : float
        When this host last became active, and when it was last active and not starting,
        in seconds on the monotonic clock.
    """

    __slots__ = (
        "_peer_views",
        "active",
        "active_since",
        "cores_needed",
        "entries",
        "_forgotten",
        "last_active_at",
        "leaving",
        "listed",
        "own",
        "starting",
        "store_unreachable",
        "was_listed",
    )

    def __init__(self, own: HostInfo) -> None:
        self.own = own
        self.leaving = False
        self.listed = False
        self.was_listed = False
        self.starting = True
        self.store_unreachable = False
        self.entries: dict[str, Entry] = {}
        # Processor time needed for callers' requests, see `active.cores_needed`;
        # infinite until it is set.
        self.cores_needed = float("inf")
        self.active: dict[str, HostInfo] = {own.host_id: own}
        self.active_since = float("-inf")
        self.last_active_at = float("-inf")
        self._peer_views: dict[str, PeerView] = {}
        # Since when hosts that were forgotten have been silent.
        self._forgotten: dict[HostInfo, float] = {}

    @property
    def out_of_service(self) -> bool:
        """Return whether callers should use other hosts.

        Guards against naming a host to callers when it has just started and has not yet
        read the configuration. It could only refuse their requests. The host is
        starting, and so out of service, until it has read the configuration.
        """
        return self.leaving or self.starting

    @property
    def is_active(self) -> bool:
        """Return whether this is one of the hosts that look-ups name to callers."""
        return self.own.host_id in self.active

    def learn(self, info: HostInfo, now: float) -> bool:
        """Add or update a listed or reported host; return whether this changed it.

        The host itself and a host that is alive are never changed.
        """
        if info.host_id == self.own.host_id:
            return False
        known = self.entries.get(info.host_id)
        if known is not None and known.info == info:
            return False
        if known is not None and known.live(now):
            # The store's copy may be older than what the host itself has sent.
            return False
        silent_since = self._forgotten.get(info, now)
        self.entries[info.host_id] = Entry(info, now, first_known_at=silent_since)
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
        """Record a message of a host about itself; return whether its state changed.

        The state consists of whether the host is alive, leaving, starting and
        subscribes.
        """
        known = self.entries.get(info.host_id)
        if known is None or known.info != info:
            known = Entry(info, now, first_known_at=now)
            self.entries[info.host_id] = known
            self._forgotten.pop(info, None)
        before = (known.live(now), known.leaving, known.starting, known.subscribes)
        known.last_message_at = now
        known.incarnation = incarnation
        known.leaving = leaving
        known.starting = starting
        known.store_unreachable = store_unreachable
        known.subscribes = subscribes
        return before != (True, leaving, starting, subscribes)

    def take_peer_view(self, sender: str, view: PeerView, now: float) -> None:
        """Replace the hosts that another host reports as alive.

        Guards against a host that most other hosts do not know: a host without an entry
        in the store starts while the store is unreachable. Without the reports, only
        the hosts that it sends messages to would know it. These hosts report the new
        host to the other hosts, which add it here.
        """
        self._peer_views[sender] = view
        for info in view.hosts.values():
            self.learn(info, now)

    def forget_silent(self, now: float) -> list[str]:
        """Remove hosts that this host and its peers find silent; return their ids.

        Such a host has sent this host no message for `FORGET_AFTER_S`, and no live peer
        reports it as alive.
        """
        live = self.live_ids(now)
        forgotten = [
            host_id
            for host_id, entry in self.entries.items()
            if now - entry.last_contact_at() > FORGET_AFTER_S and host_id not in live
        ]
        for host_id in forgotten:
            entry = self.entries.pop(host_id)
            self._forgotten[entry.info] = entry.silent_since()
            self._peer_views.pop(host_id, None)
        while len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        return forgotten

    def gone(self, now: float) -> set[str]:
        """Return the ids of the hosts that were not alive within `FORGET_AFTER_S`.

        They may still be in the store's list.
        """
        return {
            host_id
            for host_id, entry in self.entries.items()
            if now - entry.silent_since() > FORGET_AFTER_S
        }

    def live_ids(self, now: float) -> set[str]:
        """Return the ids of the other hosts that are alive.

        A host is alive if it has sent this host a message within the silence timeout,
        or if the last `PeerView` of a host that has done so contains it.
        """
        direct = {host_id for host_id, e in self.entries.items() if e.live(now)}
        live = set(direct)
        for sender in direct & self._peer_views.keys():
            live.update(self._peer_views[sender].hosts)
        live.discard(self.own.host_id)
        return live & self.entries.keys()

    def live(self, now: float) -> list[HostInfo]:
        """Return the hosts that are alive, this one first."""
        live = self.live_ids(now)
        others = (e.info for host_id, e in self.entries.items() if host_id in live)
        return [self.own, *others]

    def hosts_in(self, failure_domain: str) -> set[str]:
        """Return the ids of the other hosts in a failure domain."""
        return {
            host_id
            for host_id, entry in self.entries.items()
            if entry.info.failure_domain == failure_domain
        }

    def local_peers(self) -> frozenset[str]:
        """Return the ids of the other hosts in this host's region."""
        entries = self.entries.items()
        region = self.own.region
        return frozenset(name for name, e in entries if e.info.region == region)

    def direct_peers(self, now: float) -> list[HostInfo]:
        """Return the hosts that send messages to this one and are not shutting down."""
        entries = self.entries.values()
        return [e.info for e in entries if e.live(now) and not e.leaving]

    def review(self, now: float) -> bool:
        """Determine the active hosts again; return whether they have changed."""
        was_active = self.is_active
        before = self.active.keys()
        live = self.live_ids(now)
        for host_id in live:
            self.entries[host_id].live_at = now
        self.active = self._choose_active(live, now)
        if not self.is_active:
            # Active hosts know all other hosts; a standby host knows only some.
            self.active = self._reported_active(live, now) or self.active
        for host_id in self.active.keys() & self.entries.keys():
            self.entries[host_id].active_at = now
        if self.is_active:
            if not self.starting:
                self.last_active_at = now
            if not was_active:
                self.active_since = now
        return before != self.active.keys()

    def _choose_active(self, live: set[str], now: float) -> dict[str, HostInfo]:
        """Choose the active hosts from the hosts that this host itself knows.

        If no other host is alive, the hosts that relays reported last are candidates.
        """
        known = live or self._reported_active_ids(live, now)
        candidates = [
            entry.info
            for host_id, entry in self.entries.items()
            if not entry.leaving
            and (host_id in known or self._presumed_alive(entry, now))
        ]
        if not self.leaving:
            candidates.append(self.own)
        return {
            info.host_id: info for info in active_hosts(candidates, self.cores_needed)
        }

    def _reported_active(self, live: set[str], now: float) -> dict[str, HostInfo]:
        named = self._reported_active_ids(live, now)
        return {
            host_id: entry.info
            for host_id, entry in self.entries.items()
            if host_id in named and not entry.leaving
        }

    def _reported_active_ids(self, live: set[str], now: float) -> set[str]:
        """Return the ids of active hosts as relays report them, or reported them last.

        Guards against the loss of all relays of a host at once. The host would consider
        itself the only one left and be named to callers. The last reports stay valid
        for `PEER_VIEW_VALID_S`, in which the host finds other relays.
        """
        views = self._recent_peer_views(now, SILENT_AFTER_S)
        views = [view for view in views if view.active] or self._recent_peer_views(
            now, PEER_VIEW_VALID_S
        )
        named = {host_id for view in views if view.active for host_id in view.hosts}
        return {
            host_id
            for host_id in named & self.entries.keys()
            if host_id in live or self.entries[host_id].last_message_at == float("-inf")
        }

    def _recent_peer_views(self, now: float, within_s: float) -> list[PeerView]:
        return [
            view
            for sender, view in self._peer_views.items()
            if sender in self.entries
            and now - self.entries[sender].last_message_at < within_s
        ]

    def _presumed_alive(self, entry: Entry, now: float) -> bool:
        no_message_yet = entry.last_message_at == float("-inf")
        return no_message_yet and now - entry.first_known_at < PRESUMED_ALIVE_S

    def has_live_relay(self, now: float) -> bool:
        """Return whether this is a standby host with a relay that is alive."""
        if self.is_active:
            return False
        return any(view.active for view in self._recent_peer_views(now, SILENT_AFTER_S))

    def reported_starting(self, now: float) -> set[str]:
        """Return the ids of hosts that other hosts report as unable to serve yet."""
        views = self._recent_peer_views(now, SILENT_AFTER_S)
        return {host_id for view in views for host_id in view.starting}
