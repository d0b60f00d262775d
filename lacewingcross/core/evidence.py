"""What this host has seen itself of a backend server: whether to pass it over."""

# Pause after the first failure to connect, doubled with each further one.
CONNECT_PAUSE_S = 0.5
CONNECT_PAUSE_MAX_S = 4.0
# Weight of the newest outcome in the share of failures: about the last eight count.
FAILURE_WEIGHT = 0.12
# A server that fails more than this share of its requests is passed over. Healthy ones
# lose a few in a hundred to spoilt answers.
FAILURE_MOST = 0.35
FAILURE_PAUSE_S = 1.5
# Weight of the newest latency in the average.
LATENCY_WEIGHT = 0.2
# A server this many times slower than its service's usual latency is passed over. A
# cold server (twice the work) and a cold key (about three times) must not count.
SLOW_TIMES = 5.0
SLOW_PAUSE_S = 2.0
# Shortest silence that counts against a server, in seconds.
SILENT_MIN_S = 0.35
FAILING = "failing"
SLOW = "slow"
SILENT = "silent"
UNREACHABLE = "unreachable"


class Evidence:
    """Outcomes of this host's attempts at one server."""

    __slots__ = (
        "_connect_pause_s",
        "_failed_share",
        "_paused_until",
        "_pending",
        "_trial_after",
        "latency_s",
        "why",
    )

    def __init__(self) -> None:
        self._connect_pause_s = CONNECT_PAUSE_S
        self._failed_share = 0.0
        self._paused_until = 0.0
        self._pending: dict[int, float] = {}
        self._trial_after = False
        self.latency_s = 0.0
        self.why = ""

    def sent(self, number: int, now: float) -> None:
        """Note that attempt `number` was sent."""
        self._pending[number] = now

    def answered(self, number: int, now: float, usual_s: float, *, good: bool) -> None:
        """Note a whole answer; `good` is False for the server's own failures."""
        started = self._pending.pop(number, now)
        # Those still waiting are measured from now on: the server does answer.
        for other in self._pending:
            self._pending[other] = now
        self._connect_pause_s = CONNECT_PAUSE_S
        self._trial_after = False
        self._fade(not good, now)
        self._learn_latency(now - started, usual_s, now)

    def _learn_latency(self, latency_s: float, usual_s: float, now: float) -> None:
        if not self.latency_s:
            self.latency_s = usual_s or latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        if usual_s and self.latency_s > SLOW_TIMES * usual_s:
            self._pause(SLOW_PAUSE_S, SLOW, now)
            self.latency_s = usual_s

    def failed(self, number: int, now: float) -> None:
        """Note an attempt that broke, was spoilt or got no answer."""
        self._pending.pop(number, None)
        self._fade(True, now)

    def shed(self, number: int, now: float, *, full: bool) -> None:
        """Note that the server refused to run an attempt, `full` or not."""
        self._pending.pop(number, None)
        if not full:
            self._fade(True, now)

    def timed_out(self, number: int, now: float) -> None:
        """Note an attempt that was given up because nothing came back.

        Failure: a server loses power with its connections open. Each request sent
        there waits in vain, so it is left alone like one that cannot be reached. A
        server that has answered others meanwhile is only busy.
        """
        quiet_since = self._pending.pop(number, now)
        self._fade(True, now)
        if now - quiet_since >= SILENT_MIN_S:
            self._back_off(SILENT, now)

    def unreachable(self, number: int, now: float) -> None:
        """Note that no connection could be opened."""
        self._pending.pop(number, None)
        self._back_off(UNREACHABLE, now)

    def _back_off(self, why: str, now: float) -> None:
        self._pause(self._connect_pause_s, why, now)
        self._connect_pause_s = min(CONNECT_PAUSE_MAX_S, self._connect_pause_s * 2)

    def forgotten(self, number: int) -> None:
        """Note that nobody waits for attempt `number` any more."""
        self._pending.pop(number, None)

    def _fade(self, failed: bool, now: float) -> None:
        self._failed_share += FAILURE_WEIGHT * (failed - self._failed_share)
        if self._failed_share > FAILURE_MOST:
            self._pause(FAILURE_PAUSE_S, FAILING, now)
            self._failed_share = FAILURE_MOST / 2

    def _pause(self, pause_s: float, why: str, now: float) -> None:
        self._paused_until = max(self._paused_until, now + pause_s)
        self._trial_after = True
        self.why = why

    def silent(self, now: float, patience_s: float) -> bool:
        """Tell whether the server has answered nobody for longer than `patience_s`."""
        if not self._pending:
            return False
        return now - min(self._pending.values()) > patience_s

    def lost(self, now: float) -> bool:
        """Tell whether the server could not be reached, or never answered, lately."""
        return now < self._paused_until and self.why in (UNREACHABLE, SILENT)

    def usable(self, now: float, patience_s: float, *, desperate: bool = False) -> bool:
        """Tell whether the server may be sent a request.

        After a pause one request goes first; the others follow when it is answered.
        When no server is left, those that fail or are slow only now and then are
        used after all (`desperate`): most of what they get is answered.
        """
        if desperate and self.why in (FAILING, SLOW):
            return not self.silent(now, patience_s)
        if now < self._paused_until:
            return False
        if self.silent(now, patience_s):
            self.why = SILENT
            return False
        return not (self._trial_after and self._pending)
