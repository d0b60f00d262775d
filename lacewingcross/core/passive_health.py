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
# Failures at all servers of a service: weight of the newest outcome, and the share from
# which on they count as common to all. Passing over servers then only makes keys cold
# elsewhere: with every server shedding, a key wanders over all of them.
COMMON_WEIGHT = 0.05
COMMON_FROM = 0.3
FAILING = "failing"
SILENT = "silent"
UNREACHABLE = "unreachable"


class PassiveHealth:
    """Outcomes of this host's attempts at one server."""

    __slots__ = (
        "_connect_pause_s",
        "_failed_share",
        "_paused_until",
        "_pending",
        "_trial_after",
        "why",
    )

    def __init__(self) -> None:
        self._connect_pause_s = CONNECT_PAUSE_S
        self._failed_share = 0.0
        self._paused_until = 0.0
        self._pending: dict[int, tuple[float, float]] = {}
        self._trial_after = False
        self.why = ""

    def sent(self, number: int, now: float, silence_timeout_s: float) -> None:
        """Note that attempt `number` was sent; it may take `silence_timeout_s`."""
        self._pending[number] = (now, silence_timeout_s)

    def answered(self, number: int, now: float, *, good: bool) -> None:
        """Note a whole answer; `good` is False for the server's own failures."""
        self._pending.pop(number, None)
        # Those still waiting are measured from now on: the server does answer.
        for other, (_, silence_timeout_s) in self._pending.items():
            self._pending[other] = (now, silence_timeout_s)
        self._connect_pause_s = CONNECT_PAUSE_S
        self._trial_after = False
        self._fade(not good, now)

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
        quiet_since, silence_timeout_s = self._pending.pop(number, (now, 0.0))
        self._fade(True, now)
        if now - quiet_since >= silence_timeout_s:
            self._back_off(SILENT, now)

    def unreachable(self, number: int, now: float) -> None:
        """Note that no connection could be opened."""
        self._pending.pop(number, None)
        self._back_off(UNREACHABLE, now)

    def crashed(self, now: float) -> None:
        """Note that the server has ended, as this host or another one has found.

        It is left alone for as long as its entry may still stand: it lapses after three
        heartbeats, and a new run comes under a new incarnation.
        """
        self._pause(CONNECT_PAUSE_MAX_S, UNREACHABLE, now)

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

    def silent(self, now: float) -> bool:
        """Tell whether an answer is overdue and the server answered nobody else."""
        return any(now - since > most for since, most in self._pending.values())

    def usable(self, now: float, *, desperate: bool = False) -> bool:
        """Tell whether the server may be sent a request.

        After a pause one request goes first; the others follow when it is answered.
        When no server is left, those that fail only now and then are used after all
        (`desperate`): most of what they get is answered.
        """
        if desperate and self.why == FAILING:
            return not self.silent(now)
        if now < self._paused_until:
            return False
        if self.silent(now):
            self.why = SILENT
            return False
        return not (self._trial_after and self._pending)


class FailureShare:
    """The share of a service's attempts that its servers failed, at this host."""

    __slots__ = ("_share",)

    def __init__(self) -> None:
        self._share = 0.0

    def note(self, failed: bool) -> None:
        """Take in one outcome."""
        self._share += COMMON_WEIGHT * (failed - self._share)

    def general(self) -> bool:
        """Tell whether failures are common to the whole service."""
        return self._share > COMMON_FROM
