"""Runs one caller's request on this host, from its head to its final answer."""

import asyncio
from math import inf

from .. import logs
from ..core.overload.caller_times import UNKNOWN_TIMES, CallerTimes
from ..core.quotas.ledger import Outcome, max_wait_s
from ..core.routes import Route
from ..core.terms import Terms
from ..http1_exchange import CallerGoneError, Exchange
from .admission import AdmittedRequest, check_request
from .attempt import CallerBody
from .attempt_series import READ_AHEAD_BYTES, AttemptSeries
from .context import Gateway
from .faults import INTERNAL_ERROR, note_fault
from .frame import Frame, FrameError, read_frame
from .reply import HOST_LEAVING, LEAVING_RETRY_S, HostAnswer, Reply
from .routed_request import RoutedRequest

# Callers stop waiting at their deadline. Answers are sent this much earlier to arrive
# in time, in seconds. The one-way network delay to a caller is a few milliseconds.
DEADLINE_MARGIN_S = 0.01
# Retry-After of a request that a fault of this host has ended, in seconds. Another host
# may serve it.
FAULT_RETRY_S = 0.1


class RequestRun:
    """Runs one request to its end.

    Parameters
    ----------
    gateway : Gateway
        Decisions, connections, clock and metrics of this host.
    exchange : Exchange
        The caller's exchange.
    """

    __slots__ = (
        "_exchange",
        "_gateway",
        "_quota_counted",
        "_reply",
        "_series",
        "_started_at",
        "_task",
    )

    def __init__(self, gateway: Gateway, exchange: Exchange) -> None:
        self._gateway = gateway
        self._exchange = exchange
        # Whether the request was counted against the quota of its client account.
        self._quota_counted = False
        self._started_at = gateway.now()
        self._series: AttemptSeries | None = None
        self._task: asyncio.Task[None] | None = None
        self._reply = Reply(gateway, exchange)

    async def run(self) -> None:
        """Answer the request, or log why no answer was sent."""
        try:
            await self._run()
        except CallerGoneError:
            raise
        except Exception as exc:
            # A fault of this host must not cost the request its answer.
            note_fault(self._gateway.metrics, self._reply.request_id, exc)
            await self._reply.finish(self._fault_answer())

    async def _run(self) -> None:
        try:
            frame = read_frame(self._exchange)
        except FrameError as exc:
            await self._reply.finish(HostAnswer(400, "bad-frame", detail=str(exc)))
            return
        self._reply.request_id = frame.request_id
        admitted = check_request(
            self._gateway.steering.table, frame, self._exchange.head
        )
        if isinstance(admitted, HostAnswer):
            await self._reply.finish(admitted)
            return
        self._reply.route = admitted.route.name
        self._reply.account = admitted.terms.account_name
        req = RoutedRequest(
            self._exchange,
            frame,
            admitted.route,
            admitted.terms,
            admitted.caller_account,
            CallerBody(self._exchange, []),
            self._started_at + _time_allowed_s(admitted.route, frame),
            self._started_at + (frame.remaining_s or inf),
            self._first_asked_at(admitted, frame),
        )
        if not self._gateway.can_end(req.route, req.deadline_at):
            refusal = HostAnswer(503, HOST_LEAVING, LEAVING_RETRY_S)
            await self._reply.finish(refusal)
            return
        self._series = AttemptSeries(self._gateway, req, self._reply)
        self._task = asyncio.current_task()
        self._exchange.on_gone = self._on_caller_gone
        try:
            if await self._admitted_by_quota(req):
                await self._serve(req)
        except CallerGoneError:
            self._reply.log_end("caller-gone")
        except asyncio.CancelledError:
            if not self._series.caller_gone:
                raise
            self._reply.log_end("caller-gone")
        finally:
            self._refund_quota(admitted.terms)

    def _first_asked_at(self, admitted: AdmittedRequest, frame: Frame) -> float:
        """Return when the caller has probably sent its first try, monotonic seconds."""
        elapsed_s = self._gateway.time_budgets.elapsed_s(
            admitted.route.name, admitted.terms.account_name, frame.remaining_s
        )
        return self._started_at - elapsed_s

    async def _admitted_by_quota(self, req: RoutedRequest) -> bool:
        """Count the request against its account's quota; return whether it is admitted.

        If the quota is used up, the refusal is sent. The quota is checked before the
        request is placed or queued. A refused request has therefore not run and holds
        no slot or connection.
        """
        terms = req.terms
        if terms.account is None or terms.account.quota is None:
            return True
        gateway = self._gateway
        caller = self._caller_times(req)
        decision = await gateway.quota_admission.admit(terms.account_name, caller)
        if decision.outcome is Outcome.ADMITTED:
            self._quota_counted = True
            return True
        logs.event(
            "quota-refused",
            id=self._reply.request_id,
            account=terms.account_name,
            config=gateway.steering.config_version,
            keeper=decision.keeper,
            debt=decision.debt,
            debt_most=decision.max_debt,
            age_ms=int(min(9999, 1000 * decision.receipt_age_s)),
            late=caller.late,
            elapsed_ms=int(1000 * caller.elapsed_s),
            left_ms=int(min(99999, 1000 * caller.left_s)),
            target_ms=int(1000 * caller.target_s),
            wait_most_ms=int(1000 * max_wait_s(caller)),
            retry_after_ms=int(1000 * decision.retry_after_s),
        )
        await self._reply.finish(HostAnswer(429, "over-quota", decision.retry_after_s))
        return False

    def _caller_times(self, req: RoutedRequest) -> CallerTimes:
        """Return the times of a caller that quotas go by, unknown if it states none."""
        if not self._gateway.cfg.policy.return_times or not req.frame.remaining_s:
            return UNKNOWN_TIMES
        now = self._gateway.now()
        elapsed_s = max(0.0, now - req.first_asked_at)
        left_s = max(0.0, req.caller_deadline_at - now)
        return CallerTimes(req.route.target_s, elapsed_s, left_s, req.terms.rank)

    def _refund_quota(self, terms: Terms) -> None:
        """Return the request's credit to its account if no server can have run it."""
        if self._quota_counted and not self._series.may_have_run:
            self._gateway.quota_admission.cancel(terms.account_name)

    def _on_caller_gone(self) -> None:
        """Cancel the request of a caller that has closed its connection.

        A request that must not run twice, such as a booking, is not cancelled once a
        server may have begun it. Cancelling it could leave it half done without anyone
        learning of it.
        """
        self._series.caller_gone = True
        if self._series.may_be_cancelled():
            self._task.cancel()

    async def _serve(self, req: RoutedRequest) -> None:
        """Read the body, send the request to servers, and answer by the deadline."""
        host_answer = None
        try:
            async with asyncio.timeout(req.time_left_s(self._gateway.now())):
                await req.body.read_ahead(READ_AHEAD_BYTES)
                host_answer = await self._series.run()
        except TimeoutError:
            host_answer = self._timeout_answer(req)
        if isinstance(host_answer, HostAnswer):
            await self._reply.finish(host_answer)

    def _fault_answer(self) -> HostAnswer:
        """Return the answer to a request that a fault of this host has ended."""
        if self._series is not None and self._series.may_have_run:
            return HostAnswer(502, INTERNAL_ERROR)
        return HostAnswer(503, INTERNAL_ERROR, FAULT_RETRY_S)

    def _timeout_answer(self, req: RoutedRequest) -> HostAnswer:
        """Return the answer to a request whose deadline has passed.

        504 means that a server may have run it; with 408 or 503 it has not run.
        """
        if self._series.may_have_run:
            return HostAnswer(504, "timed-out")
        if not req.body.complete and not self._series.attempts:
            return HostAnswer(408, "body-timeout")
        return HostAnswer(503, "timed-out-unsent", 0.1)


def _time_allowed_s(route: Route, frame: Frame) -> float:
    """Return how many seconds a request may take on this host.

    That is the timeout of its route, or less if the caller's deadline is earlier.
    """
    if not frame.remaining_s:
        return route.timeout_s
    return min(route.timeout_s, frame.remaining_s - DEADLINE_MARGIN_S)
