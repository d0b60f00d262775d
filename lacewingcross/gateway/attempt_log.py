"""The log lines of one request's attempts."""

from .. import logs
from ..core.attempts import Attempt, Ending, Verdict
from ..core.placement_types import Choice
from ..core.terms import Terms
from .attempt import Answer
from .context import Gateway
from .frame import Frame


class AttemptLog:
    """Writes what decided an attempt, and how it ended.

    Parameters
    ----------
    frame : Frame
        The request's id and key.
    terms : Terms
        The request's account and rank.
    gateway : Gateway
        Knows the version of the configuration in force.
    """

    __slots__ = ("_frame", "_gateway", "_terms")

    def __init__(self, frame: Frame, terms: Terms, gateway: Gateway) -> None:
        self._frame = frame
        self._terms = terms
        self._gateway = gateway

    def placed(self, choice: Choice, number: int, left_s: float, now: float) -> None:
        """Write which server an attempt goes to, and why."""
        server = choice.server
        logs.event(
            "request-placed",
            id=self._frame.request_id,
            route=choice.placement_request.kind,
            service=choice.placement_request.service,
            config=self._gateway.steering.table.config.version,
            key=self._frame.key,
            account=self._terms.account_name,
            rank=self._terms.rank,
            server=server.entry.server_id,
            domain=server.entry.failure_domain,
            why=choice.why,
            warm=choice.estimate.warm,
            wait_ms=int(1000 * choice.estimate.wait_s),
            work_ms=int(1000 * choice.estimate.service_time_s),
            busy=choice.busy,
            own=server.own,
            slots=server.entry.slots,
            report_age_ms=int(min(9999, 1000 * (now - server.reported_at))),
            cold_ms=int(max(0.0, 1000 * (server.cold_until - now))),
            attempt=number,
            left_ms=int(1000 * left_s),
        )

    def overtaken(self, attempt: Attempt, left_s: float) -> None:
        """Write that a server takes a request no more, before any of it was sent."""
        logs.event(
            "attempt-overtaken",
            id=self._frame.request_id,
            server=attempt.server_id,
            attempt=attempt.number,
            left_ms=int(1000 * left_s),
        )

    def ended(
        self,
        attempt: Attempt,
        ending: Ending,
        answer: Answer | None,
        verdict: Verdict,
        why: str,
        left_s: float,
        request: str = "",
    ) -> None:
        """Write how an attempt ended and what becomes of the request.

        `request` is the request's fingerprint where repeats of it matter.
        """
        logs.event(
            "attempt-ended",
            id=self._frame.request_id,
            server=attempt.server_id,
            attempt=attempt.number,
            ending=ending.value,
            status=answer.head.status if answer else 0,
            why=why,
            verdict=verdict.value,
            request=request,
            left_ms=int(1000 * left_s),
        )
