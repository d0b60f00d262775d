"""Which entry hosts are live, leaving or down, from the list and own evidence."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from .messages import Heartbeat

HEARTBEAT_S = 0.4
SUSPECT_S = 1.5
LIST_GRACE_S = 3.0

LIVE = "live"
LEAVING = "leaving"
DOWN = "down"


@dataclass(slots=True, frozen=True)
class HostInfo:
    """An entry host as the platform's list names it."""

    host_id: str
    region: str
    failure_domain: str
    entry: str
    peer: str
    listed: str = LIVE


@dataclass(slots=True)
class HostState:
    """What is known of one entry host."""

    info: HostInfo
    first_seen: float
    last_heartbeat: float = float("-inf")
    said: str = LIVE
    incarnation: int = 0
    revision: int = 0
    behind: int = 0
    leaving: list[tuple[str, int]] = field(default_factory=list)
    connected: bool = False
    broken: bool = False
    drained: bool = False


class Membership:
    """The entry hosts as this host sees them.

    The platform's list says which hosts exist; it lags. What this host hears
    itself counts more: a heartbeat proves life, a broken connection or silence
    takes a host out of look-ups at once, whatever the list says.

    Parameters
    ----------
    own : HostInfo
        This host, always a member.
    """

    __slots__ = ("_states", "own", "own_state")

    def __init__(self, own: HostInfo) -> None:
        self.own = own
        self.own_state = LIVE
        self._states: dict[str, HostState] = {}

    def on_list(self, hosts: list[HostInfo], now: float) -> list[str]:
        """Take over the platform's list; return the ids that vanished from it.

        A host that the list no longer names stays a member while its heartbeats
        arrive: the list lags behind, and may be stale for long.
        """
        listed = {info.host_id: info for info in hosts}
        listed.pop(self.own.host_id, None)
        for host_id, info in listed.items():
            state = self._states.get(host_id)
            if state is None:
                self._states[host_id] = HostState(info, now)
            else:
                state.info = info
        vanished = [
            host_id
            for host_id, state in self._states.items()
            if host_id not in listed and not self._heard(state, now)
        ]
        for host_id in vanished:
            del self._states[host_id]
        return vanished

    def on_heartbeat(self, host_id: str, beat: Heartbeat, now: float) -> None:
        """Note a sign of life."""
        state = self._states.get(host_id)
        if state is None:
            return
        state.last_heartbeat = now
        state.said = beat.state
        state.revision = beat.revision
        state.behind = beat.behind
        state.leaving = beat.leaving
        state.broken = False

    def on_hello(self, info: HostInfo, incarnation: int, now: float) -> None:
        """Note a connection, also of a host that the lagging list does not name."""
        if info.host_id == self.own.host_id:
            return
        self.learn([info], now)
        state = self._states[info.host_id]
        if incarnation != state.incarnation:
            state.info = info
            state.said = LIVE
        state.incarnation = incarnation
        state.connected = True
        state.last_heartbeat = now
        state.broken = False

    def learn(self, hosts: list[HostInfo], now: float) -> None:
        """Add hosts that a peer knows, when the platform cannot be asked."""
        for info in hosts:
            if info.host_id != self.own.host_id and info.host_id not in self._states:
                self._states[info.host_id] = HostState(info, now)

    def on_broken(self, host_id: str) -> None:
        """Note that the last connection to a host broke or was refused."""
        state = self._states.get(host_id)
        if state is not None:
            state.connected = False
            state.broken = True

    def set_drained(self, host_ids: set[str]) -> None:
        """Take over which hosts operators drain."""
        for host_id, state in self._states.items():
            state.drained = host_id in host_ids

    def _heard(self, state: HostState, now: float) -> bool:
        return not state.broken and now - state.last_heartbeat <= SUSPECT_S

    def silence(self, host_id: str, now: float) -> float:
        """Return the seconds since a host was last heard; 0 for this host."""
        if host_id == self.own.host_id:
            return 0.0
        state = self._states.get(host_id)
        if state is None:
            return float("inf")
        return now - max(state.last_heartbeat, state.first_seen)

    def state_of(self, host_id: str, now: float) -> str:
        """Return live, leaving or down."""
        if host_id == self.own.host_id:
            return self.own_state
        state = self._states.get(host_id)
        if state is None:
            return DOWN
        never_heard = state.last_heartbeat == float("-inf")
        in_grace = now - state.first_seen <= LIST_GRACE_S and not state.broken
        if not self._heard(state, now) and not (never_heard and in_grace):
            return DOWN
        if LEAVING in (state.said, state.info.listed) or state.drained:
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
        """Return a member by id."""
        if host_id == self.own.host_id:
            return self.own
        state = self._states.get(host_id)
        return state.info if state else None

    def in_state(self, wanted: str, now: float) -> list[HostInfo]:
        """Return the members in state `wanted`."""
        hosts = self.hosts()
        return [info for info in hosts if self.state_of(info.host_id, now) == wanted]

    def live(self, now: float, region: str | None = None) -> list[HostInfo]:
        """Return the live members, of one region if given."""
        live = self.in_state(LIVE, now)
        return [info for info in live if region in (None, info.region)]
