"""One caller's request on this host, from its head to its final answer."""

import asyncio

from .. import logs
from ..core.quota_ledger import Outcome
from ..core.routes import Route
from ..core.terms import Terms
from ..http1_exchange import CallerGoneError, Exchange
from .admission import check
from .attempt import CallerBody
from .attempt_series import READ_AHEAD, AttemptSeries
from .context import Gateway
from .frame import Frame, FrameError, read_frame
from .reply import Final, Reply
from .routed_request import RoutedRequest

# A caller stops waiting at its deadline; answers leave this much earlier, in seconds,
# to arrive in time (one way to callers is a few milliseconds).
ANSWER_EARLY_S = 0.01


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
        "_counted",
        "_exchange",
        "_gateway",
        "_reply",
        "_series",
        "_started",
        "_task",
    )

    def __init__(self, gateway: Gateway, exchange: Exchange) -> None:
        self._gateway = gateway
        self._exchange = exchange
        # Whether the request was counted for its account.
        self._counted = False
        self._started = gateway.now()
        self._series: AttemptSeries | None = None
        self._task: asyncio.Task[None] | None = None
        self._reply = Reply(gateway, exchange)

    async def run(self) -> None:
        """Answer the request."""
        try:
            frame = read_frame(self._exchange)
        except FrameError as exc:
            await self._reply.finish(Final(400, "bad-frame", detail=str(exc)))
            return
        self._reply.request_id = frame.request_id
        permit = check(self._gateway.steering.table, frame, self._exchange.head)
        if isinstance(permit, Final):
            await self._reply.finish(permit)
            return
        self._reply.route = permit.route.name
        self._reply.account = permit.terms.account_name
        req = RoutedRequest(
            self._exchange,
            frame,
            permit.route,
            permit.terms,
            permit.on_behalf,
            CallerBody(self._exchange, []),
            self._started + _allowed_s(permit.route, frame),
        )
        self._series = AttemptSeries(self._gateway, req, self._reply)
        self._task = asyncio.current_task()
        self._exchange.on_gone = self._caller_gone
        try:
            if await self._within_quota(permit.terms):
                await self._steer(req)
        except CallerGoneError:
            self._reply.note("caller-gone")
        except asyncio.CancelledError:
            if not self._series.gone:
                raise
            self._reply.note("caller-gone")
        finally:
            self._settle_quota(permit.terms)

    async def _within_quota(self, terms: Terms) -> bool:
        """Have the request counted for its account; refuse it if that has no credit.

        This comes before anything is placed or queued, so a refused request has not
        run and holds nothing.
        """
        if terms.account is None or terms.account.quota is None:
            return True
        gateway = self._gateway
        found = await gateway.quota_admission.admit(terms.account_name)
        if found.outcome is Outcome.ADMITTED:
            self._counted = True
            return True
        logs.event(
            "quota-refused",
            id=self._reply.request_id,
            account=terms.account_name,
            config=gateway.steering.table.config.version,
            keeper=found.keeper,
            debt=found.debt,
            debt_most=found.debt_most,
            age_ms=int(min(9999, 1000 * found.age_s)),
            retry_after_ms=int(1000 * found.retry_after_s),
        )
        await self._reply.finish(Final(429, "over-quota", found.retry_after_s))
        return False

    def _settle_quota(self, terms: Terms) -> None:
        """Give the credit back if no server can have run the request."""
        if self._counted and not self._series.may_have_run:
            self._gateway.quota_admission.cancel(terms.account_name)

    def _caller_gone(self) -> None:
        """Stop working for a caller that has left.

        A booking that a server has begun is left to end there: cutting it in the
        middle could leave it half done, and nobody would hear of it.
        """
        self._series.gone = True
        if self._series.may_stop():
            self._task.cancel()

    async def _steer(self, req: RoutedRequest) -> None:
        answer = None
        try:
            async with asyncio.timeout(req.left_s(self._gateway.now())):
                await req.body.gather(READ_AHEAD)
                answer = await self._series.run()
        except TimeoutError:
            answer = self._out_of_time(req)
        if isinstance(answer, Final):
            await self._reply.finish(answer)

    def _out_of_time(self, req: RoutedRequest) -> Final:
        """Tell apart what may have run from what cannot have."""
        if self._series.may_have_run:
            return Final(504, "timed-out")
        if not req.body.whole and not self._series.attempts:
            return Final(408, "body-timeout")
        return Final(503, "timed-out-unsent", 0.1)


def _allowed_s(route: Route, frame: Frame) -> float:
    """Return how long a request may take on this host, in seconds."""
    if not frame.remaining_s:
        return route.timeout_s
    return min(route.timeout_s, frame.remaining_s - ANSWER_EARLY_S)
