"""The state of an attempt, and the only place that decides on a retry."""

from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    """How far an attempt has come."""

    NOT_SENT = "not-sent"
    MAY_HAVE_RUN = "may-have-run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Ending(Enum):
    """How an attempt ended."""

    CONNECT_FAILED = "connect-failed"
    SERVER_NOT_RUN = "server-not-run"
    ANSWERED = "answered"
    SERVER_ERROR = "server-error"
    BROKEN = "broken"
    TRUNCATED = "truncated"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class Verdict(Enum):
    """What becomes of the request."""

    DONE = "done"
    RETRY = "retry"
    REFUSE = "refuse"
    UNKNOWN = "unknown"
    ABORT = "abort"


@dataclass(slots=True)
class Attempt:
    """One attempt at one backend server.

    `number` counts the attempts of a request from 1. `head_forwarded` is true once the
    caller has got the head of the response.
    """

    number: int
    server_id: str
    stage: Stage = Stage.NOT_SENT
    head_forwarded: bool = False

    def first_byte_written(self) -> None:
        """Record that from now on the backend server may have run the request."""
        if self.stage is Stage.NOT_SENT:
            self.stage = Stage.MAY_HAVE_RUN

    def end(self, ending: Ending) -> None:
        """Set the final stage of the attempt."""
        if ending is Ending.SERVER_NOT_RUN:
            # The server's statement that it did not run the request outranks the fact
            # that bytes were sent.
            self.stage = Stage.NOT_SENT
        elif ending in (Ending.ANSWERED, Ending.SERVER_ERROR):
            self.stage = Stage.ANSWERED
        elif self.stage is Stage.MAY_HAVE_RUN:
            self.stage = Stage.UNKNOWN


def decide(
    attempt: Attempt,
    ending: Ending,
    *,
    repeatable: bool,
    body_replayable: bool,
    time_left: bool,
    budget_left: bool,
) -> Verdict:
    """Decide what becomes of a request after an attempt.

    Parameters
    ----------
    attempt : Attempt
        The attempt, its stage settled by `Attempt.end`.
    ending : Ending
        How it ended.
    repeatable : bool
        Whether running the request twice does no harm.
    body_replayable : bool
        Whether the whole body read so far can be sent again.
    time_left : bool
        Whether the deadline leaves room for another attempt.
    budget_left : bool
        Whether the retry budget allows another attempt.

    Returns
    -------
    verdict : Verdict
        REFUSE only if it is proved that the request did not run.
    """
    if attempt.head_forwarded and ending is not Ending.ANSWERED:
        # The caller has part of the response. A second response would be mixed into it,
        # and ending it cleanly would make a truncated response look complete.
        return Verdict.ABORT
    if attempt.stage is Stage.ANSWERED:
        return Verdict.DONE
    if ending is Ending.CANCELLED:
        return Verdict.ABORT
    proved_not_run = attempt.stage is Stage.NOT_SENT
    may_repeat = proved_not_run or repeatable
    if may_repeat and body_replayable and time_left and budget_left:
        return Verdict.RETRY
    return Verdict.REFUSE if proved_not_run else Verdict.UNKNOWN


class RetryBudget:
    """Limits retries to a fraction of requests, so that they cannot amplify a surge.

    Counts whole requests: sums of fractions would fall short of a whole retry.

    Parameters
    ----------
    requests_per_retry : int, default=10
        Requests that earn one retry.
    reserve : int, default=10
        Maximum number of retries that can be saved up.
    """

    __slots__ = ("_max_tokens", "_tokens", "requests_per_retry")

    def __init__(self, requests_per_retry: int = 10, reserve: int = 10) -> None:
        self.requests_per_retry = requests_per_retry
        # Each request earns one token; a retry costs `requests_per_retry` tokens.
        self._max_tokens = reserve * requests_per_retry
        self._tokens = self._max_tokens

    def resize(self, reserve: int) -> None:
        """Set another reserve; retries saved up beyond it are lost."""
        self._max_tokens = reserve * self.requests_per_retry
        self._tokens = min(self._tokens, self._max_tokens)

    def earn(self) -> None:
        """Count one request."""
        self._tokens = min(self._max_tokens, self._tokens + 1)

    @property
    def left(self) -> float:
        """Number of retries that are left, with the part of the next one."""
        return self._tokens / self.requests_per_retry

    def available(self) -> bool:
        """Return whether the budget allows a retry."""
        return self._tokens >= self.requests_per_retry

    def spend(self) -> None:
        """Deduct one retry."""
        self._tokens -= self.requests_per_retry
