"""Decides whether one request gets another attempt."""

from collections.abc import Callable

from ..core.attempts import Attempt, Ending, Verdict, decide
from ..core.retry_budgets import RetryBudget
from .attempt_log import AttemptLog
from .context import Gateway
from .routed_request import RoutedRequest

# Another attempt is made only if more than this time is left to the deadline, in
# seconds.
MIN_TIME_LEFT_S = 0.03


class RetryDecision:
    """Decides on further attempts of a request, and pays for them.

    Parameters
    ----------
    gateway : Gateway
        Retry budgets, clock and metrics of this host.
    req : RoutedRequest
        The request.
    service : str
        The service that the request goes to.
    log : AttemptLog
        Log of the request's attempts.
    has_server : callable
        Returns whether a server can take another attempt now.

    Attributes
    ----------
    reached_server : bool
        Whether an attempt has reached a server. Until then, a further attempt adds
        nothing to the load of servers and costs nothing.
    """

    __slots__ = (
        "_gateway",
        "_has_server",
        "_log",
        "_req",
        "_service",
        "reached_server",
    )

    def __init__(
        self,
        gateway: Gateway,
        req: RoutedRequest,
        service: str,
        log: AttemptLog,
        has_server: Callable[[], bool],
    ) -> None:
        self._gateway = gateway
        self._has_server = has_server
        self._log = log
        self._req = req
        self._service = service
        self.reached_server = False

    def _budget(self) -> RetryBudget:
        budgets = self._gateway.steering.retry_budgets
        return budgets.of(self._service, self._gateway.now())

    def earn(self) -> None:
        """Count the request, which earns a part of a retry."""
        self._budget().earn()

    def spend(self, reason: str) -> None:
        """Pay for a retry; `reason` is the code of why the attempt before failed."""
        self._gateway.metrics.count(f"retries.{reason}")
        if self.reached_server:
            self._budget().spend()
            self._log.retry(self._service, reason, granted=True)

    def time_left(self) -> bool:
        """Return whether the deadline leaves room for another attempt."""
        return self._req.time_left_s(self._gateway.now()) > MIN_TIME_LEFT_S

    def may_try_another(self, attempts: int, reason: str) -> bool:
        """Return whether another attempt is allowed and a server can take it.

        The route limits the attempts, and time and retry budget must be left.

        Parameters
        ----------
        attempts : int
            Attempts so far.
        reason : str
            Stable code of why another attempt is wanted.
        """
        return (
            attempts < self._req.route.max_attempts
            and self.time_left()
            and self._has_server()
            and self._budget_allows(reason)
        )

    def decide(self, attempt: Attempt, ending: Ending, reason: str) -> Verdict:
        """Decide what becomes of the request; a retry is checked against the budget.

        Parameters
        ----------
        attempt : Attempt
            The latest attempt, its stage settled.
        ending : Ending
            How it ended.
        reason : str
            Stable code of why it failed.
        """
        verdict = self._decide_with(attempt, ending, budget_left=True)
        if ending is Ending.SERVER_ERROR:
            return self._retry_server_error(attempt, verdict, reason)
        if verdict is Verdict.RETRY and not self._budget_allows(reason):
            return self._decide_with(attempt, ending, budget_left=False)
        return verdict

    def _decide_with(
        self, attempt: Attempt, ending: Ending, *, budget_left: bool
    ) -> Verdict:
        route = self._req.route
        return decide(
            attempt,
            ending,
            repeatable=route.repeatable,
            body_replayable=self._req.body.replayable,
            time_left=self.time_left() and attempt.number < route.max_attempts,
            budget_left=budget_left,
        )

    def _retry_server_error(
        self, attempt: Attempt, verdict: Verdict, reason: str
    ) -> Verdict:
        """Return RETRY after a response with status 500 or above if a retry is allowed.

        If no other attempt is allowed, or the request must not run twice, return
        `verdict`.
        """
        if not self._req.route.repeatable:
            return verdict
        may_retry = self.may_try_another(attempt.number, reason)
        return Verdict.RETRY if may_retry else verdict

    def _budget_allows(self, reason: str) -> bool:
        """Return whether the retry budget allows another attempt; log if not."""
        budget = self._budget()
        if not self.reached_server or budget.available():
            return True
        budget.refuse()
        self._gateway.metrics.count("retries-refused.budget")
        self._log.retry(self._service, reason, granted=False)
        return False
