"""Backend servers as a slot keeper sees them: slots, slow start, ejection."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from .resources import BackendServer

RAMP_S = 5.0
FAILURES_TO_EJECT = 3
FAILURE_GAIN = 0.1
EJECT_S = 1.0
EJECT_MAX_S = 30.0
MAX_EJECTED_PART = 0.5
SHED_PAUSE_S = 0.02
SHED_PAUSE_MAX_S = 1.0

ANSWERED = "answered"
FAILED = "failed"
UNREACHABLE = "unreachable"
SHED = "shed"
UNUSED = "unused"


@dataclass(slots=True)
class ServerState:
    """One backend server: what it is declared as, and what was seen of it."""

    declared: BackendServer
    since: float
    ramp_s: float = RAMP_S
    granted: int = 0
    leaving: bool = False
    failure_rate: float = 0.0
    failures_in_row: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False
    unreachable: bool = False
    sheds_in_row: int = 0
    paused_until: float = 0.0

    def capacity(self, now: float) -> int:
        """Return the slots that may be used at `now`, slow start included."""
        slots = self.declared.max_concurrent
        if self.probing or self.doubted:
            return 1
        if self.ramp_s <= 0 or now >= self.since + self.ramp_s:
            return slots
        part = max(0.0, now - self.since) / self.ramp_s
        return max(1, int(slots * part))

    @property
    def doubted(self) -> bool:
        """Tell whether it was ejected and has not answered since."""
        return self.ejections > 0 and self.failures_in_row > 0

    def usable(self, now: float) -> bool:
        """Tell whether new work may be given to it at `now`."""
        return not (self.leaving or self.unreachable) and now >= self.ejected_until

    def free(self, now: float) -> int:
        """Return how many permits could be granted at `now`."""
        if not self.usable(now) or now < self.paused_until:
            return 0
        return self.capacity(now) - self.granted

    def score(self, now: float) -> float:
        """Return the cost of choosing it: fuller and failing servers cost more.

        The failure rate weighs in so that a server that fails fast, and so looks
        idle all the time, does not draw the traffic of the whole pool.
        """
        load = self.granted / max(1, self.capacity(now))
        return load + 4.0 * self.failure_rate


@dataclass(slots=True)
class ServerTable:
    """The backend servers of one service in one region."""

    ramp_s: float = RAMP_S
    states: dict[str, ServerState] = field(default_factory=dict)
    started: bool = False

    def declare(
        self, servers: Iterator[BackendServer], leaving: set[str], now: float
    ) -> None:
        """Take over the declared pool and the set of leaving servers.

        Servers that are there when the table starts are taken as warm; those that
        come or come back later ramp up, since their caches are cold.
        """
        declared = {server.server_id: server for server in servers}
        for server_id in [key for key in self.states if key not in declared]:
            del self.states[server_id]
        for server_id, server in declared.items():
            state = self.states.get(server_id)
            if state is None:
                since = now if self.started else now - self.ramp_s
                state = ServerState(server, since, self.ramp_s)
                self.states[server_id] = state
            if state.declared.address != server.address:
                state.since = now
            state.declared = server
            self._set_leaving(state, server_id in leaving, now)
        self.started = True

    def _set_leaving(self, state: ServerState, leaving: bool, now: float) -> None:
        if state.leaving and not leaving:
            state.since = now
        state.leaving = leaving

    def total_capacity(self, now: float) -> int:
        """Return the usable slots of all servers at `now`."""
        usable = (state for state in self.states.values() if state.usable(now))
        return sum(state.capacity(now) for state in usable)

    def pick(self, now: float, exclude: frozenset[str]) -> ServerState | None:
        """Return the cheapest server with a free slot, or None."""
        best = None
        best_score = 0.0
        for server_id, state in self.states.items():
            if server_id in exclude or state.free(now) <= 0:
                continue
            score = state.score(now)
            if best is None or score < best_score:
                best = state
                best_score = score
        if best is not None and best.doubted:
            best.probing = True
        return best

    def learn(self, server_id: str, result: str, now: float) -> bool:
        """Take in the result of one attempt; return whether it was ejected."""
        state = self.states.get(server_id)
        if state is None or result == UNUSED:
            return False
        if result == ANSWERED:
            self._learn_success(state, now)
            return False
        if result == SHED:
            self._learn_shed(state, now)
            return False
        state.failure_rate += FAILURE_GAIN * (1.0 - state.failure_rate)
        state.failures_in_row += 1
        state.unreachable = result == UNREACHABLE
        return self._eject(state, now)

    def reachable(self, server_id: str, now: float) -> None:
        """Note that a health probe got through to a server that took no connection.

        The probe only ends the exclusion; trust comes back with real answers.
        """
        state = self.states.get(server_id)
        if state is not None and state.unreachable:
            state.unreachable = False
            state.ejected_until = now
            state.since = now

    def _learn_success(self, state: ServerState, now: float) -> None:
        state.failure_rate *= 1.0 - FAILURE_GAIN
        state.failures_in_row = 0
        state.sheds_in_row = 0
        state.unreachable = False
        if state.probing:
            # A server that comes back has cold caches and takes a ramp, not the
            # full load that ejection had moved away from it.
            state.probing = False
            state.since = now

    def _learn_shed(self, state: ServerState, now: float) -> None:
        # A shed request means that somebody else uses slots we counted as free,
        # such as a second keeper during a split view. Backing off leaves the
        # slot to its user; asking again at once would only shed again.
        state.sheds_in_row += 1
        pause = SHED_PAUSE_S * 2 ** min(state.sheds_in_row, 10)
        state.paused_until = now + min(SHED_PAUSE_MAX_S, pause)

    def _eject(self, state: ServerState, now: float) -> bool:
        hard = state.unreachable or state.probing
        if state.failures_in_row < FAILURES_TO_EJECT and not hard:
            return False
        if now < state.ejected_until:
            return False
        if not state.unreachable and not self._may_eject(now):
            return False
        backoff = EJECT_S * 2 ** min(state.ejections, 10)
        state.ejected_until = now + min(EJECT_MAX_S, backoff)
        state.ejections += 1
        return True

    def _may_eject(self, now: float) -> bool:
        """Bound the ejected part of the pool.

        Failure: a fault in the requests themselves, or in our own network, makes
        every server look bad. Ejecting them all would turn errors into a total
        refusal; so at most `MAX_EJECTED_PART` of the pool is ever ejected on
        answers alone. Servers that accept no connection are not counted: nothing
        can run there.
        """
        judged = [st for st in self.states.values() if not st.unreachable]
        ejected = sum(1 for st in judged if now < st.ejected_until)
        return ejected + 1 <= MAX_EJECTED_PART * len(self.states)
