"""Backend servers as a slot keeper sees them: slots, slow start and ejection."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from .resources import BackendServer

# Length of the slow start, in which a server's slots grow from one to all.
RAMP_S = 5.0
# Number of failures without an answered request between that ejects a server.
FAILURES_TO_EJECT = 3
# Weight of the latest result in a server's failure rate.
FAILURE_GAIN = 0.1
# Length of the first ejection of a server; each further ejection doubles it, up to
# `MAX_EJECTION_S`.
EJECTION_BASE_S = 1.0
MAX_EJECTION_S = 30.0
# Maximum fraction of the pool that is ejected for failed responses at a time.
MAX_EJECTED_FRACTION = 0.5
# The back-off is twice this time after one shed request; each further shed request
# without an answered one between doubles it, up to `MAX_SHED_BACKOFF_S`.
SHED_BACKOFF_BASE_S = 0.02
MAX_SHED_BACKOFF_S = 1.0

# Results of an attempt, as `messages.Release` carries them.
ANSWERED = "answered"
FAILED = "failed"
UNREACHABLE = "unreachable"
SHED = "shed"
UNUSED = "unused"


@dataclass(slots=True)
class ServerState:
    """One backend server: its declaration and what its keeper observed.

    Attributes
    ----------
    ramp_started_at, ramp_s : float
        Start of the slow start, in seconds on the monotonic clock, and its length.
    granted : int
        Number of permits in use.
    leaving : bool
        Whether the server gets no new requests because it is drained or leaving.
    failure_rate : float
        Decaying fraction of the attempts that failed, from 0 to 1.
    consecutive_failures, ejections, consecutive_sheds : int
        Number of failures since the last answered request, of ejections so far, and of
        shed requests since the last answered request.
    ejected_until, backoff_until : float
        End of the last ejection, and of the last back-off after a shed request.
    probing : bool
        Whether the server was given a request to test it after an ejection, and has not
        answered one since; it gets one slot.
    unreachable : bool
        Whether the server accepted no connection when it was last tried, by a request
        or by a health probe.
    """

    declared: BackendServer
    ramp_started_at: float
    ramp_s: float = RAMP_S
    granted: int = 0
    leaving: bool = False
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False
    unreachable: bool = False
    consecutive_sheds: int = 0
    backoff_until: float = 0.0

    def capacity(self, now: float) -> int:
        """Return the slots that may be used at `now`, in use or not.

        There are fewer during a slow start, and one while the server is tested after an
        ejection.
        """
        slots = self.declared.max_concurrent
        if self.probing or self.on_probation:
            return 1
        if self.ramp_s <= 0 or now >= self.ramp_started_at + self.ramp_s:
            return slots
        fraction = max(0.0, now - self.ramp_started_at) / self.ramp_s
        return max(1, int(slots * fraction))

    @property
    def on_probation(self) -> bool:
        """Return whether failures limit the server to one slot.

        They do if it was ever ejected and has failed since its last answered request.
        """
        return self.ejections > 0 and self.consecutive_failures > 0

    def usable(self, now: float) -> bool:
        """Return whether the server is neither leaving, unreachable nor ejected.

        A usable server may still be without a free slot, or in a back-off.
        """
        return not (self.leaving or self.unreachable) and now >= self.ejected_until

    def free_slots(self, now: float) -> int:
        """Return how many permits could be granted at `now`; none if not above 0."""
        if not self.usable(now) or now < self.backoff_until:
            return 0
        return self.capacity(now) - self.granted

    def score(self, now: float) -> float:
        """Return the cost of choosing the server; full and failing servers cost more.

        The failure rate counts so that a server that fails fast, and so always looks
        idle, does not attract the traffic of the whole pool.
        """
        load = self.granted / max(1, self.capacity(now))
        return load + 4.0 * self.failure_rate


@dataclass(slots=True)
class ServerTable:
    """The backend servers of one service in one region.

    `ramp_s` is the length of the slow start in seconds, and `started` whether servers
    have been declared before.
    """

    ramp_s: float = RAMP_S
    states: dict[str, ServerState] = field(default_factory=dict)
    started: bool = False

    def declare(
        self, servers: Iterator[BackendServer], leaving: set[str], now: float
    ) -> None:
        """Update the table to the declared pool and the set of leaving servers.

        Servers of the first declaration are considered warm, which means that their
        caches are filled. A server that is added later, is no longer leaving, or has a
        new address starts slowly, since its caches are cold.
        """
        declared = {server.server_id: server for server in servers}
        for server_id in [key for key in self.states if key not in declared]:
            del self.states[server_id]
        for server_id, server in declared.items():
            state = self.states.get(server_id)
            if state is None:
                ramp_started_at = now if self.started else now - self.ramp_s
                state = ServerState(server, ramp_started_at, self.ramp_s)
                self.states[server_id] = state
            if state.declared.address != server.address:
                state.ramp_started_at = now
            state.declared = server
            self._set_leaving(state, server_id in leaving, now)
        self.started = True

    def _set_leaving(self, state: ServerState, leaving: bool, now: float) -> None:
        if state.leaving and not leaving:
            state.ramp_started_at = now
        state.leaving = leaving

    def total_capacity(self, now: float) -> int:
        """Return the slots of all usable servers at `now`, in use or not."""
        usable = (state for state in self.states.values() if state.usable(now))
        return sum(state.capacity(now) for state in usable)

    def pick(self, now: float, exclude: frozenset[str]) -> ServerState | None:
        """Return the server to use for one attempt, or None; mark a probe.

        This is the server with the lowest `score` among those with a free slot and not
        in `exclude`. If the server is on probation, it is marked as probing.
        """
        best = None
        best_score = 0.0
        for server_id, state in self.states.items():
            if server_id in exclude or state.free_slots(now) <= 0:
                continue
            score = state.score(now)
            if best is None or score < best_score:
                best = state
                best_score = score
        if best is not None and best.on_probation:
            best.probing = True
        return best

    def record_result(self, server_id: str, result: str, now: float) -> bool:
        """Record the result of one attempt; return whether it ejects the server."""
        state = self.states.get(server_id)
        if state is None or result == UNUSED:
            return False
        if result == ANSWERED:
            self._record_success(state, now)
            return False
        if result == SHED:
            self._record_shed(state, now)
            return False
        state.failure_rate += FAILURE_GAIN * (1.0 - state.failure_rate)
        state.consecutive_failures += 1
        state.unreachable = result == UNREACHABLE
        return self._eject_if_due(state, now)

    def record_reachable(self, server_id: str, now: float) -> None:
        """Record that a health probe reached a server that accepted no connection.

        The server becomes usable again and starts slowly. Its failures are not reset
        until it answers a request; until then it gets one slot, since it was ejected.
        """
        state = self.states.get(server_id)
        if state is not None and state.unreachable:
            state.unreachable = False
            state.ejected_until = now
            state.ramp_started_at = now

    def _record_success(self, state: ServerState, now: float) -> None:
        state.failure_rate *= 1.0 - FAILURE_GAIN
        state.consecutive_failures = 0
        state.consecutive_sheds = 0
        state.unreachable = False
        if state.probing:
            # The caches of a server that returns are cold. It starts slowly instead of
            # getting the full load that its ejection moved to other servers.
            state.probing = False
            state.ramp_started_at = now

    def _record_shed(self, state: ServerState, now: float) -> None:
        # A server sheds a request if another keeper uses slots that this one counts as
        # free, such as while hosts disagree on which host keeps the region's slots. A
        # back-off leaves the slots to that keeper; another request now would only be
        # shed as well.
        state.consecutive_sheds += 1
        backoff_s = SHED_BACKOFF_BASE_S * 2 ** min(state.consecutive_sheds, 10)
        state.backoff_until = now + min(MAX_SHED_BACKOFF_S, backoff_s)

    def _eject_if_due(self, state: ServerState, now: float) -> bool:
        """Eject a server that has just failed, if it is due; return whether it was.

        A server that accepts no connection, or is tested after an ejection, is due at
        the first failure, any other server after `FAILURES_TO_EJECT` failures. A server
        that is ejected already is not due. Nor is one that accepts connections, if
        `_may_eject` returns False.
        """
        at_first_failure = state.unreachable or state.probing
        if state.consecutive_failures < FAILURES_TO_EJECT and not at_first_failure:
            return False
        if now < state.ejected_until:
            return False
        if not state.unreachable and not self._may_eject(now):
            return False
        ejection_s = EJECTION_BASE_S * 2 ** min(state.ejections, 10)
        state.ejected_until = now + min(MAX_EJECTION_S, ejection_s)
        state.ejections += 1
        return True

    def _may_eject(self, now: float) -> bool:
        """Return whether one more server may be ejected for failed responses.

        Guards against ejecting all servers when the requests themselves or the hosts'
        network are at fault and every server appears to fail: all requests would then
        be refused. At most `MAX_EJECTED_FRACTION` of the pool is ejected for failed
        responses. Servers that accept no connection are not counted as ejected and may
        all be excluded, since no request can run there.
        """
        reachable_states = [st for st in self.states.values() if not st.unreachable]
        ejected_count = sum(1 for st in reachable_states if now < st.ejected_until)
        return ejected_count + 1 <= MAX_EJECTED_FRACTION * len(self.states)
