"""Log lines about the attempts of one request."""

from .. import logs
from ..core.attempts import Attempt, Ending, Verdict
from ..core.paths.path import Path
from ..core.placement.placement_types import Choice, PlacementRequest, Refusal
from ..core.terms import Terms
from .attempt import Answer
from .context import Gateway
from .frame import Frame

# Time left that is logged for a request without a deadline, in seconds.
MAX_LOGGED_TIME_S = 9999.0


class AttemptLog:
    """Logs why each server was chosen and how each attempt ended.

    Parameters
    ----------
    frame : Frame
        The request's id and key.
    terms : Terms
        The client account of the request, and its rank: a lower one is more urgent.
    gateway : Gateway
        Gives the version of the configuration in force.
    """

    __slots__ = ("_frame", "_gateway", "_terms")

    def __init__(self, frame: Frame, terms: Terms, gateway: Gateway) -> None:
        self._frame = frame
        self._terms = terms
        self._gateway = gateway

    def placed(
        self, choice: Choice, attempt_number: int, time_left_s: float, now: float
    ) -> None:
        """Log which server an attempt goes to and why.

        Parameters
        ----------
        choice : Choice
            The server and the estimates that placement based the choice on.
        attempt_number : int
            1 for the request's first attempt.
        time_left_s : float
            Time until the request's deadline, in seconds.
        now : float
            Monotonic time in seconds.
        """
        server = choice.server
        logs.event(
            "request-placed",
            id=self._frame.request_id,
            route=choice.placement_request.kind,
            service=choice.placement_request.service,
            config=self._gateway.steering.config_version,
            key=self._frame.key,
            account=self._terms.account_name,
            rank=self._terms.rank,
            server=server.entry.server_id,
            domain=server.entry.failure_domain,
            why=choice.why,
            path=choice.path.value,
            warm=choice.estimate.warm,
            pace=round(choice.estimate.pace, 2),
            wait_ms=int(1000 * choice.estimate.wait_s),
            work_ms=int(1000 * choice.estimate.service_time_s),
            busy=choice.request_count,
            own=server.own,
            slots=server.entry.slots,
            report_age_ms=int(min(9999, 1000 * (now - server.reported_at))),
            cold_ms=int(max(0.0, 1000 * (server.cold_until - now))),
            attempt=attempt_number,
            left_ms=int(1000 * time_left_s),
        )

    def refused(self, request: PlacementRequest, refusal: Refusal, now: float) -> None:
        """Log and count a refusal for lack of capacity, and what was known of it.

        Parameters
        ----------
        request : PlacementRequest
            The refused request.
        refusal : Refusal
            Why it is refused.
        now : float
            Monotonic time in seconds.
        """
        self._gateway.metrics.count(f"overload.{refusal.reason}")
        load = self._gateway.steering.placement.loads.of(request.service, now)
        logs.event(
            "request-refused",
            id=self._frame.request_id,
            route=request.kind,
            service=request.service,
            account=request.account,
            rank=request.rank,
            why=str(refusal.reason),
            busy=load.requests,
            slots=load.slots,
            free=load.free_slots,
            elapsed_ms=int(1000 * request.elapsed_s(now)),
            left_ms=int(1000 * min(MAX_LOGGED_TIME_S, request.time_left_s(now))),
            retry_after_ms=int(1000 * refusal.retry_after_s),
        )

    def retry(self, service: str, reason: str, *, granted: bool) -> None:
        """Log whether the retry budget allows another attempt, and what is left of it.

        Parameters
        ----------
        service : str
            The service whose budget it is.
        reason : str
            Stable code of why the attempt before failed.
        granted : bool
            Whether the attempt is made.
        """
        budgets = self._gateway.steering.retry_budgets
        logs.event(
            "retry-granted" if granted else "retry-refused",
            id=self._frame.request_id,
            service=service,
            why=reason,
            budget_left=round(budgets.of(service, self._gateway.now()).left, 2),
            share=round(budgets.host_share, 4),
            age_s=round(self._gateway.age_s(), 1),
        )

    def superseded(self, attempt: Attempt, time_left_s: float) -> None:
        """Log that the server no longer allowed the attempt just before its first byte.

        Its rate limit was used up, or it has requested a back-off or announced its
        shutdown. Nothing was sent.
        """
        logs.event(
            "attempt-overtaken",
            id=self._frame.request_id,
            server=attempt.server_id,
            attempt=attempt.number,
            left_ms=int(1000 * time_left_s),
        )

    def sent_through(self, attempt: Attempt, host_id: str) -> None:
        """Log the host through which an attempt goes."""
        logs.event(
            "request-sent-through",
            id=self._frame.request_id,
            server=attempt.server_id,
            attempt=attempt.number,
            host_id=host_id,
        )

    def path_changed(self, attempt: Attempt, path: Path, reason: str) -> None:
        """Log that an attempt could not connect and another path is tried.

        Parameters
        ----------
        attempt : Attempt
            The attempt; nothing was sent to its server.
        path : Path
            The path on which it could not connect.
        reason : str
            Stable code of why.
        """
        logs.event(
            "path-changed",
            id=self._frame.request_id,
            server=attempt.server_id,
            attempt=attempt.number,
            path=path.value,
            why=reason,
        )

    def ended(
        self,
        attempt: Attempt,
        ending: Ending,
        answer: Answer | None,
        verdict: Verdict,
        reason: str,
        time_left_s: float,
        fingerprint: str = "",
    ) -> None:
        """Log how an attempt ended and what happens to the request.

        Parameters
        ----------
        attempt : Attempt
            The attempt; `Attempt.number` is 1 for the request's first one.
        ending : Ending
            How the attempt ended.
        answer : Answer or None
            The server's response, None when none was received.
        verdict : Verdict
            What happens to the request.
        reason : str
            Stable code of the request's latest failure, empty if there was none.
        time_left_s : float
            Time until the request's deadline, in seconds.
        fingerprint : str, default=""
            Given when `ending` is BROKEN: other copies of the same request have the
            same fingerprint.
        """
        logs.event(
            "attempt-ended",
            id=self._frame.request_id,
            server=attempt.server_id,
            attempt=attempt.number,
            ending=ending.value,
            status=answer.head.status if answer else 0,
            why=reason,
            verdict=verdict.value,
            request=fingerprint,
            left_ms=int(1000 * time_left_s),
        )
