"""Outcomes of this host's attempts at a backend server, and whether to skip it."""

# Time for which a server is skipped after the first failed connection attempt or
# silence, in seconds. It doubles with each further one, up to `CONNECT_PAUSE_MAX_S`,
# until a response.
CONNECT_PAUSE_S = 0.5
CONNECT_PAUSE_MAX_S = 4.0
# Weight of the newest outcome in a server's share of failures: about the last eight
# outcomes count.
FAILURE_WEIGHT = 0.12
# A server that fails more than `MAX_FAILURE_SHARE` of its recent attempts is skipped
# for `FAILURE_PAUSE_S` seconds. Healthy servers fail a few in a hundred because of
# invalid responses.
MAX_FAILURE_SHARE = 0.35
FAILURE_PAUSE_S = 1.5
# Failures at a service: weight of the newest outcome in the share of failed attempts,
# and the share above which all servers of the service are taken to fail. Skipping
# servers then only makes keys cold elsewhere: when every server sheds, the requests of
# a key go to one server after another. A key is cold at a server that has not handled
# it recently.
COMMON_WEIGHT = 0.05
COMMON_THRESHOLD = 0.3
FAILING = "failing"
SILENT = "silent"
UNREACHABLE = "unreachable"


class PassiveHealth:
    """Outcomes of this host's attempts at one server.

    Attributes
    ----------
    why : str
        Why the server was last skipped: `FAILING`, `SILENT` or `UNREACHABLE`. Empty if
        it never was.
    """

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
        # Attempts in flight by id: since when the server is silent for the attempt, and
        # the silence timeout in seconds.
        self._pending: dict[int, tuple[float, float]] = {}
        # Whether only one attempt may be in flight after the pause, until a response.
        self._trial_after = False
        self.why = ""

    def sent(self, attempt_id: int, now: float, silence_timeout_s: float) -> None:
        """Record that attempt `attempt_id` was sent, and its silence timeout."""
        self._pending[attempt_id] = (now, silence_timeout_s)

    def answered(self, attempt_id: int, now: float, *, good: bool) -> None:
        """Record a complete response.

        `good` is False for a response that reports a failure of the server itself.
        """
        self._pending.pop(attempt_id, None)
        # The silence timeouts of the other pending attempts restart: the server is not
        # silent.
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
        """Record that the server shed an attempt.

        A full server, one without a free slot, sheds as it should. With free slots
        (`full` is False), shedding counts as a failure.
        """
        self._pending.pop(attempt_id, None)
        if not full:
            self._add_outcome(True, now)

    def timed_out(self, attempt_id: int, now: float) -> bool:
        """Record an attempt that timed out; return whether the server is silent.

        Guards against a server that loses power with its connections open: each request
        sent there would wait in vain. So a server that was silent for the silence
        timeout is skipped like one that cannot be reached. A server that has answered
        other attempts meanwhile is only busy.
        """
        silent_since, silence_timeout_s = self._pending.pop(attempt_id, (now, 0.0))
        self._add_outcome(True, now)
        is_silent = now - silent_since >= silence_timeout_s
        if is_silent:
            self._back_off(SILENT, now)
        return is_silent

    def unreachable(self, attempt_id: int, now: float) -> None:
        """Record that no connection could be opened."""
        self._pending.pop(attempt_id, None)
        self._back_off(UNREACHABLE, now)

    def crashed(self, now: float) -> None:
        """Record that the server has crashed, as found by this host or another one.

        The server is skipped for as long as its entry may still be stored: the entry
        expires after three heartbeats. A new run of the server has a new incarnation
        and is not skipped.
        """
        self._pause(CONNECT_PAUSE_MAX_S, UNREACHABLE, now)

    def skip_silent(self, now: float) -> None:
        """Record that the server answers no host, or did not answer a trial request.

        Several attempts that wait there end together, which is one failed trial.
        """
        if now >= self._paused_until:
            self._back_off(SILENT, now)

    def reachable(self, now: float) -> None:
        """Record that the server accepts connections again after it did not.

        One request goes first, see `usable`.
        """
        if self.why in (SILENT, UNREACHABLE) and now < self._paused_until:
            self._paused_until = now
        self._connect_pause_s = CONNECT_PAUSE_S

    def oldest_pending_at(self) -> float | None:
        """Return since when the server is silent for a pending attempt, None for none.

        With several pending attempts, it is the earliest of these times.
        """
        if not self._pending:
            return None
        return min(since for since, _ in self._pending.values())

    def _back_off(self, why: str, now: float) -> None:
        """Skip the server for the connect pause, which doubles each time."""
        self._pause(self._connect_pause_s, why, now)
        self._connect_pause_s = min(CONNECT_PAUSE_MAX_S, self._connect_pause_s * 2)

    def abandoned(self, attempt_id: int) -> None:
        """Record that attempt `attempt_id` ended for reasons other than the server."""
        self._pending.pop(attempt_id, None)

    def _add_outcome(self, failed: bool, now: float) -> None:
        self._failed_share += FAILURE_WEIGHT * (failed - self._failed_share)
        if self._failed_share > MAX_FAILURE_SHARE:
            self._pause(FAILURE_PAUSE_S, FAILING, now)
            # A single failure after the pause does not skip the server again.
            self._failed_share = MAX_FAILURE_SHARE / 2

    def _pause(self, pause_s: float, why: str, now: float) -> None:
        """Skip the server for `pause_s` seconds, after which one request goes first."""
        self._paused_until = max(self._paused_until, now + pause_s)
        self._trial_after = True
        self.why = why

    def silent(self, now: float) -> bool:
        """Return whether the server is silent for a pending attempt.

        That is so when no complete response of the server has arrived since the pending
        attempt was sent, for longer than that attempt's silence timeout.
        """
        return any(
            now - since > timeout_s for since, timeout_s in self._pending.values()
        )

    def usable(self, now: float, *, last_resort: bool = False) -> bool:
        """Return whether the server may be sent a request; note a silence in `why`.

        After a pause one request goes first; other requests follow when the server has
        answered it. When no other server is left, or all servers of the service are
        taken to fail (`last_resort`), a server that was skipped for its share of
        failures is used after all, since it may still answer.
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
    """The share of this host's attempts at a service that failed.

    Recent outcomes weigh more. Attempts that timed out or could not connect do not
    count.
    """

    __slots__ = ("_share",)

    def __init__(self) -> None:
        self._share = 0.0

    def add(self, failed: bool) -> None:
        """Add one outcome."""
        self._share += COMMON_WEIGHT * (failed - self._share)

    def all_taken_to_fail(self) -> bool:
        """Return whether the share of failed attempts exceeds `COMMON_THRESHOLD`.

        All servers of the service are then taken to fail.
        """
        return self._share > COMMON_THRESHOLD
