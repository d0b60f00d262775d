"""Outcomes of this host's attempts at a backend server, and whether to skip it."""

# Pause after the first failed connection attempt, doubled with each further one.
CONNECT_PAUSE_S = 0.5
CONNECT_PAUSE_MAX_S = 4.0
# Weight of the newest outcome in the share of failures: about the last eight count.
FAILURE_WEIGHT = 0.12
# A server that fails more than this share of its requests is skipped. Healthy servers
# fail a few in a hundred because of invalid responses.
MAX_FAILURE_SHARE = 0.35
FAILURE_PAUSE_S = 1.5
# Failures at all servers of a service: weight of the newest outcome, and the share from
# which on failures count as common to all servers. Skipping servers then only makes
# keys cold elsewhere: when every server sheds, a key wanders over all of them. A key is
# cold at a server that has not handled it recently.
COMMON_WEIGHT = 0.05
COMMON_THRESHOLD = 0.3
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

    def sent(self, attempt_id: int, now: float, silence_timeout_s: float) -> None:
        """Record that attempt `attempt_id` was sent, and its silence timeout."""
        self._pending[attempt_id] = (now, silence_timeout_s)

    def answered(self, attempt_id: int, now: float, *, good: bool) -> None:
        """Record a complete response; `good` is False for the server's own failures."""
        self._pending.pop(attempt_id, None)
        # The silence timeout of other pending attempts restarts: the server responds.
        for other_id, (_, silence_timeout_s) in self._pending.items():
            self._pending[other_id] = (now, silence_timeout_s)
        self._connect_pause_s = CONNECT_PAUSE_S
        self._trial_after = False
        self._add_outcome(not good, now)

    def failed(self, attempt_id: int, now: float) -> None:
        """Record an attempt that broke off or got an invalid or no response."""
        self._pending.pop(attempt_id, None)
        self._add_outcome(True, now)

    def shed(self, attempt_id: int, now: float, *, full: bool) -> None:
        """Record that the server shed an attempt; `full` if it had no free slot."""
        self._pending.pop(attempt_id, None)
        if not full:
            self._add_outcome(True, now)

    def timed_out(self, attempt_id: int, now: float) -> None:
        """Record an attempt that timed out without a response.

        Guards against a server that loses power with its connections open: each request
        sent there waits in vain, so the server is skipped like one that cannot be
        reached. A server that has answered other attempts meanwhile is only busy.
        """
        silent_since, silence_timeout_s = self._pending.pop(attempt_id, (now, 0.0))
        self._add_outcome(True, now)
        if now - silent_since >= silence_timeout_s:
            self._back_off(SILENT, now)

    def unreachable(self, attempt_id: int, now: float) -> None:
        """Record that no connection could be opened."""
        self._pending.pop(attempt_id, None)
        self._back_off(UNREACHABLE, now)

    def crashed(self, now: float) -> None:
        """Record that the server has crashed, as found by this host or another one.

        The server is skipped for as long as its entry may still be stored: the entry
        expires after three heartbeats, and a new run has a new incarnation.
        """
        self._pause(CONNECT_PAUSE_MAX_S, UNREACHABLE, now)

    def _back_off(self, why: str, now: float) -> None:
        self._pause(self._connect_pause_s, why, now)
        self._connect_pause_s = min(CONNECT_PAUSE_MAX_S, self._connect_pause_s * 2)

    def abandoned(self, attempt_id: int) -> None:
        """Record that the result of attempt `attempt_id` is no longer awaited."""
        self._pending.pop(attempt_id, None)

    def _add_outcome(self, failed: bool, now: float) -> None:
        self._failed_share += FAILURE_WEIGHT * (failed - self._failed_share)
        if self._failed_share > MAX_FAILURE_SHARE:
            self._pause(FAILURE_PAUSE_S, FAILING, now)
            self._failed_share = MAX_FAILURE_SHARE / 2

    def _pause(self, pause_s: float, why: str, now: float) -> None:
        self._paused_until = max(self._paused_until, now + pause_s)
        self._trial_after = True
        self.why = why

    def silent(self, now: float) -> bool:
        """Return whether a response is overdue and no other attempt was answered."""
        return any(
            now - since > timeout_s for since, timeout_s in self._pending.values()
        )

    def usable(self, now: float, *, last_resort: bool = False) -> bool:
        """Return whether the server may be sent a request.

        After a pause one request goes first; the others follow when it is answered.
        When no other server is left (`last_resort`), a server that fails only now and
        then is used after all, since it answers most of its requests.
        """
        if last_resort and self.why == FAILING:
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

    def add(self, failed: bool) -> None:
        """Add one outcome."""
        self._share += COMMON_WEIGHT * (failed - self._share)

    def is_common(self) -> bool:
        """Return whether failures are common to all servers of the service."""
        return self._share > COMMON_THRESHOLD
