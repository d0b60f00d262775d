"""Which entry hosts are live, leaving or down, from the platform's list and heartbeats.

A host sends heartbeats only to its neighbours (see `neighbours`). Any other host that
the list or another host names is taken to be live, except for `RETRUST_S` after a
broken connection.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..checks import is_address
from .messages import Heartbeat, HostFields
from .neighbours import SMALL_FLEET_INTERVAL_S, Place, neighbours

# Silence timeout of a neighbour, in heartbeat intervals.
SUSPECT_HEARTBEATS = 3.75
# Time after the first sight of a neighbour in which it is live without a heartbeat.
LIST_GRACE_S = 3.0
# Time after a broken connection from which a host that is not a neighbour is taken to
# be live again.
RETRUST_S = 5.0

LIVE = "live"
LEAVING = "leaving"
DOWN = "down"


@dataclass(slots=True, frozen=True)
class HostInfo:
    """An entry host as the platform's list describes it.

    `entry` is the network address for callers, `peer` the network address for other
    entry hosts, and `listed` the host's state in the list. `cores` is the processor
    time that the host gets, in seconds of an ordinary core per second.
    """

    host_id: str
    region: str
    failure_domain: str
    entry: str
    peer: str
    listed: str = LIVE
    cores: float = 1.0


def member_fields(info: HostInfo) -> HostFields:
    """Return the fields of a host as `messages.Members` carries them."""
    return (
        info.host_id,
        info.region,
        info.failure_domain,
        info.entry,
        info.peer,
        info.cores,
    )


def member_info(fields: HostFields) -> HostInfo:
    """Return the host in an item of `messages.Members`."""
    *names, cores = fields
    return HostInfo(*names, cores=cores)


@dataclass(slots=True)
class HostState:
    """State of one other entry host, from the list and from its heartbeats.

    Attributes
    ----------
    last_heartbeat_at : float
        When the host's last heartbeat or hello arrived.
    reported_state, revision : str, int
        From the host's last heartbeat, see `messages.Heartbeat`: its state, and the
        highest configuration version that it has. A hello of a new incarnation sets
        `reported_state` to live.
    behind : int
        Number of buckets that the host's shift cap still keeps from moving to their
        planned region, from its last heartbeat.
    leaving : list of (str, int)
        ``service/server`` of each leaving backend server whose slots the host keeps,
        and the number of permits in use there, from its last heartbeat.
    loads : list of (str, int, int, float)
        ``service/region`` whose slots the host keeps, the numbers of permits in use and
        of queued requests, and the limit in slots, from its last heartbeat.
    incarnation : int
        From the host's last `messages.Hello`; it identifies a run of the process.
    broken : bool
        Whether the last connection to the host broke or was refused, and neither a
        hello nor a heartbeat of the host has arrived since.
    drained : bool
        Whether operators drain the host.
    heartbeat_s : float
        Interval between heartbeats in seconds.
    neighbour : bool
        Whether this host and the other one send each other heartbeats.
    """

    info: HostInfo
    first_seen_at: float
    last_heartbeat_at: float = float("-inf")
    reported_state: str = LIVE
    incarnation: int = 0
    revision: int = 0
    behind: int = 0
    leaving: list[tuple[str, int]] = field(default_factory=list)
    loads: list[tuple[str, int, int, float]] = field(default_factory=list)
    broken: bool = False
    broken_at: float = float("-inf")
    drained: bool = False
    heartbeat_s: float = SMALL_FLEET_INTERVAL_S
    neighbour: bool = True
    next_heartbeat_at: float = float("-inf")


class Membership:
    """The entry hosts as this host sees them.

    The platform's list says which hosts exist, but it lags behind. What this host
    observes itself has precedence: a heartbeat proves that a host is alive, and a
    broken connection or a silence timeout removes it from look-ups at once, whatever
    the list says.

    Parameters
    ----------
    own : HostInfo
        This host, always a member.
    """

    __slots__ = (
        "_cached_groups",
        "_drained",
        "_latest_groups",
        "_neighbours",
        "_own_state",
        "_states",
        "own",
    )

    def __init__(self, own: HostInfo) -> None:
        self.own = own
        self._own_state = LIVE
        self._cached_groups: _Groups | None = None
        self._latest_groups: _Groups | None = None
        self._neighbours: list[HostState] = []
        self._drained: set[str] = set()
        self._states: dict[str, HostState] = {}

    @property
    def own_state(self) -> str:
        """Return the state of this host, `LIVE` or `LEAVING`."""
        return self._own_state

    def leave(self) -> None:
        """Set the state of this host to leaving, for good."""
        self._own_state = LEAVING
        self._cached_groups = None

    def on_list(self, hosts: list[HostInfo], now: float) -> list[str]:
        """Apply the platform's list; return the ids of the members removed by it.

        A host that is no longer listed stays a member while its heartbeats arrive: the
        list lags behind, and may be stale for long.
        """
        listed = {info.host_id: info for info in hosts}
        listed.pop(self.own.host_id, None)
        for host_id, info in listed.items():
            state = self._states.get(host_id)
            if state is None:
                self._states[host_id] = self._new(info, now)
            else:
                state.info = info
        vanished = [
            host_id
            for host_id, state in self._states.items()
            if host_id not in listed and not self._is_alive(state, now)
        ]
        for host_id in vanished:
            del self._states[host_id]
        self._choose_neighbours()
        self._cached_groups = None
        return vanished

    def _new(self, info: HostInfo, now: float) -> HostState:
        return HostState(info, now, drained=info.host_id in self._drained)

    def _choose_neighbours(self) -> None:
        own = _place_of(self.own)
        chosen = neighbours(own, (_place_of(st.info) for st in self._states.values()))
        for host_id, state in self._states.items():
            state.neighbour = host_id in chosen
            state.heartbeat_s = chosen.get(host_id, state.heartbeat_s)
        self._neighbours = [st for st in self._states.values() if st.neighbour]

    def due_heartbeats(self, now: float, *, all_now: bool) -> list[HostState]:
        """Return the neighbours to send a heartbeat to, and schedule the next one.

        With `all_now`, these are all neighbours, else those with a heartbeat due.
        """
        due = [
            state
            for state in self._neighbours
            if all_now or now >= state.next_heartbeat_at
        ]
        for state in due:
            state.next_heartbeat_at = now + state.heartbeat_s
        return due

    def on_heartbeat(self, host_id: str, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat of a member; unknown hosts are ignored."""
        state = self._states.get(host_id)
        if state is None:
            return
        if state.reported_state != heartbeat.state or not self._is_alive(state, now):
            self._cached_groups = None
        state.last_heartbeat_at = now
        state.reported_state = heartbeat.state
        state.revision = heartbeat.revision
        state.behind = heartbeat.behind
        state.leaving = heartbeat.leaving
        state.loads = heartbeat.loads
        state.broken = False

    def on_hello(self, info: HostInfo, incarnation: int, now: float) -> None:
        """Record a connection of a host, which the lagging list may not contain yet."""
        if info.host_id == self.own.host_id:
            return
        self.learn([info], now)
        self._cached_groups = None
        state = self._states.get(info.host_id)
        if state is None:
            return
        if incarnation != state.incarnation:
            state.info = info
            state.reported_state = LIVE
        state.incarnation = incarnation
        state.last_heartbeat_at = now
        state.broken = False

    def learn(self, hosts: list[HostInfo], now: float) -> None:
        """Add hosts that another host knows, for when the platform is unreachable."""
        known_count = len(self._states)
        for info in hosts:
            new = info.host_id != self.own.host_id and info.host_id not in self._states
            # An invalid address must not appear in the answers to look-ups.
            if new and is_address(info.entry) and is_address(info.peer):
                self._states[info.host_id] = self._new(info, now)
        if len(self._states) != known_count:
            self._choose_neighbours()
            self._cached_groups = None

    def on_broken(self, host_id: str, now: float) -> None:
        """Record that the last connection to a host broke or was refused."""
        state = self._states.get(host_id)
        if state is not None:
            state.broken = True
            state.broken_at = now
            self._cached_groups = None

    def set_drained(self, host_ids: set[str]) -> None:
        """Set the hosts that operators drain."""
        for host_id in host_ids ^ self._drained:
            state = self._states.get(host_id)
            if state is not None:
                state.drained = host_id in host_ids
                self._cached_groups = None
        self._drained = set(host_ids)

    def _is_alive(self, state: HostState, now: float) -> bool:
        """Return whether a heartbeat or hello proves that a host is alive.

        That is so when one arrived within the silence timeout, and no connection to the
        host has broken since.
        """
        silence_s = now - state.last_heartbeat_at
        return not state.broken and silence_s <= SUSPECT_HEARTBEATS * state.heartbeat_s

    def _presumed_live(self, state: HostState, now: float) -> bool:
        """Return whether a known host without a recent heartbeat is taken to be live.

        A host that is not a neighbour sends no heartbeats. It is taken to be live,
        except for `RETRUST_S` after a broken connection. A neighbour that has sent no
        heartbeat yet may just be starting: it is taken to be live for `LIST_GRACE_S`
        after its first sight, unless its connection has broken.
        """
        if not state.neighbour:
            return not state.broken or now - state.broken_at > RETRUST_S
        if state.broken:
            return False
        no_heartbeat_yet = state.last_heartbeat_at == float("-inf")
        return no_heartbeat_yet and now - state.first_seen_at <= LIST_GRACE_S

    def silence_s(self, host_id: str, now: float) -> float:
        """Return the seconds since the last heartbeat or hello of a host.

        The time counts from when the host became known if that is later. It is 0 for
        this host and infinite for an unknown one.
        """
        if host_id == self.own.host_id:
            return 0.0
        state = self._states.get(host_id)
        if state is None:
            return float("inf")
        return now - max(state.last_heartbeat_at, state.first_seen_at)

    def state_of(self, host_id: str, now: float) -> str:
        """Return the state of a host: `LIVE`, `LEAVING` or `DOWN`.

        An unknown host is down.
        """
        if host_id == self.own.host_id:
            return self.own_state
        state = self._states.get(host_id)
        if state is None:
            return DOWN
        if not self._is_alive(state, now) and not self._presumed_live(state, now):
            return DOWN
        if LEAVING in (state.reported_state, state.info.listed) or state.drained:
            return LEAVING
        return LIVE

    def hosts(self) -> Iterator[HostInfo]:
        """Yield every member, this host first."""
        yield self.own
        for state in self._states.values():
            yield state.info

    def others(self) -> Iterator[HostState]:
        """Yield the state of every other member."""
        yield from self._states.values()

    def info(self, host_id: str) -> HostInfo | None:
        """Return a member by id, or None."""
        if host_id == self.own.host_id:
            return self.own
        state = self._states.get(host_id)
        return state.info if state else None

    def _groups(self, now: float) -> "_Groups":
        """Return the members by state, cached until a state may have changed.

        Every request needs the live hosts. To go through thousands of states each time
        would take longer than the request itself.
        """
        current = self._cached_groups
        if current is None or now >= current.valid_until or now < current.made_at:
            current = _Groups(now)
            for info in self.hosts():
                current.add(info, self.state_of(info.host_id, now))
            for state in self._states.values():
                if state.neighbour or state.broken:
                    change_at = self._next_change_at(state, now)
                    current.valid_until = min(current.valid_until, change_at)
            self._cached_groups = current = current.reuse_if_equal(self._latest_groups)
            self._latest_groups = current
        return current

    def _next_change_at(self, state: HostState, now: float) -> float:
        """Return the next time at which a host's state may change without an event."""
        changes = (
            state.last_heartbeat_at + SUSPECT_HEARTBEATS * state.heartbeat_s,
            state.first_seen_at + LIST_GRACE_S,
            state.broken_at + RETRUST_S,
        )
        return min(
            (change_at for change_at in changes if change_at > now),
            default=float("inf"),
        )

    def owner_cache(self, now: float) -> dict[str, str]:
        """Return the cache of owners: host id by rendezvous key.

        A key is, for example, ``keeper/<service>/<region>``. A new empty cache replaces
        this one whenever the live or leaving members change, on which alone the owners
        depend. To choose an owner among thousands of hosts takes milliseconds, and the
        same owners are needed many times.
        """
        return self._groups(now).owner_cache

    def live(self, now: float, region: str | None = None) -> list[HostInfo]:
        """Return the live members, of one region if given."""
        groups = self._groups(now)
        return groups.live if region is None else groups.by_region.get(region, [])

    def live_in_domain(self, failure_domain: str, now: float) -> list[HostInfo]:
        """Return the live members of a failure domain."""
        return self._groups(now).by_domain.get(failure_domain, [])

    def live_domain_count(self, now: float) -> int:
        """Return the number of failure domains with a live member."""
        return len(self._groups(now).by_domain)

    def leaving(self, now: float) -> list[HostInfo]:
        """Return the members that are leaving."""
        return self._groups(now).leaving


class _Groups:
    """Members by state, valid from `made_at` until `valid_until`.

    `by_region` and `by_domain` contain the live members only. `owner_cache` is the
    cache that `Membership.owner_cache` returns.
    """

    __slots__ = (
        "by_domain",
        "by_region",
        "owner_cache",
        "leaving",
        "live",
        "made_at",
        "valid_until",
    )

    def __init__(self, now: float) -> None:
        self.made_at = now
        self.valid_until = float("inf")
        self.owner_cache: dict[str, str] = {}
        self.by_domain: dict[str, list[HostInfo]] = {}
        self.live: list[HostInfo] = []
        self.leaving: list[HostInfo] = []
        self.by_region: dict[str, list[HostInfo]] = {}

    def add(self, info: HostInfo, state: str) -> None:
        """Add a member to the groups of its state; a member that is down has none."""
        if state == LIVE:
            self.live.append(info)
            self.by_region.setdefault(info.region, []).append(info)
            self.by_domain.setdefault(info.failure_domain, []).append(info)
        elif state == LEAVING:
            self.leaving.append(info)

    def reuse_if_equal(self, earlier: "_Groups | None") -> "_Groups":
        """Return `earlier` with new times if its members are the same, else `self`."""
        if earlier is None:
            return self
        if (earlier.live, earlier.leaving) != (self.live, self.leaving):
            return self
        earlier.made_at = self.made_at
        earlier.valid_until = self.valid_until
        return earlier


def _place_of(info: HostInfo) -> Place:
    return Place(info.host_id, info.region, info.failure_domain)
