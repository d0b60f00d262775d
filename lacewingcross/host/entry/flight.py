"""One request of a caller on this host, from its head to its final answer."""

import asyncio
import json
from dataclasses import replace

from ... import headers as hd
from ...checks import is_name
from ...core import actions as act
from ...core.blocks import parse_address
from ...core.events import RequestArrived, RequestCancelled
from ...http1_exchange import Exchange
from ..backends.pool import BackendPool
from ..runtime import Runtime
from .attempt import AttemptRun, RequestBody

MAX_ID_CHARS = 128
MAX_KEY_CHARS = 256
MIN_REMAINING_S = 0.001


class HeaderError(Exception):
    """The target or a header of a request is not valid."""


def read_request(
    exchange: Exchange, request_id: str, *, trust_client_address: bool
) -> RequestArrived:
    """Return the event that describes a request to the core.

    Parameters
    ----------
    exchange : Exchange
        The caller's exchange, with its head read.
    request_id : str
        Id of the request, given by the caller or generated.
    trust_client_address : bool
        Whether the client address may come from a header instead of the connection.

    Raises
    ------
    HeaderError
        Its message says what was expected, and in which header or in the path.
    """
    head = exchange.head
    headers = head.headers
    service = hd.find(headers, hd.SERVICE) or first_segment(head.target)
    if not is_name(service):
        raise HeaderError("expected a service name as first path segment")
    address = head.client
    if trust_client_address:
        address = hd.find(headers, hd.CLIENT_ADDRESS) or address
    caller = hd.find(headers, hd.CALLER_ID) or address
    key = hd.find(headers, hd.IDEMPOTENCY_KEY)
    if len(caller) > MAX_ID_CHARS or len(key) > MAX_KEY_CHARS:
        raise HeaderError(
            f"expected x-caller-id of up to {MAX_ID_CHARS} characters, "
            f"idempotency-key of up to {MAX_KEY_CHARS}"
        )
    try:
        remaining_s = hd.milliseconds(headers, hd.DEADLINE_MS)
    except ValueError as exc:
        raise HeaderError(str(exc)) from exc
    return RequestArrived(
        request_id,
        service,
        head.method,
        caller,
        parse_address(address),
        remaining_s or 0.0,
        key,
        _repeatable(headers),
    )


def first_segment(target: str) -> str:
    """Return the first segment of a request target's path."""
    path = target.partition("?")[0]
    return path.lstrip("/").partition("/")[0]


def _repeatable(headers: hd.HeaderList) -> bool | None:
    """Return whether the caller allows a second run; None if it does not say."""
    value = hd.find(headers, hd.REPEATABLE).lower()
    if value in ("yes", "no"):
        return value == "yes"
    if value:
        raise HeaderError("x-repeatable: expected yes or no")
    return None


class InFlightRequest:
    """Waits for the core's decisions on one request and carries them out.

    Parameters
    ----------
    runtime : Runtime
        Where events go.
    pool : BackendPool
        Connections to backend servers.
    exchange : Exchange
        The caller's exchange.
    req : RequestArrived
        Service, caller, deadline and other data of the request, for the core.
    """

    __slots__ = (
        "_attempt_run",
        "_attempt_task",
        "_body",
        "_decisions",
        "_exchange",
        "_pool",
        "_req",
        "_runtime",
    )

    def __init__(
        self,
        runtime: Runtime,
        pool: BackendPool,
        exchange: Exchange,
        req: RequestArrived,
    ) -> None:
        self._runtime = runtime
        self._pool = pool
        self._exchange = exchange
        self._req = req
        self._body = RequestBody(exchange, [])
        self._decisions: asyncio.Queue[act.Action] = asyncio.Queue()
        self._attempt_run: AttemptRun | None = None
        self._attempt_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Run the request until it is answered, refused or cancelled.

        A small body of a request for a known service is read first, and the time for
        this counts against the caller's deadline.
        """
        started_at = self._runtime.now()
        if self._req.service in self._runtime.core.view.config.policies:
            await self._body.read_if_small()
        waited_s = self._runtime.now() - started_at
        if self._req.remaining_s:
            remaining_s = max(MIN_REMAINING_S, self._req.remaining_s - waited_s)
            self._req = replace(self._req, remaining_s=remaining_s)
        self._exchange.on_gone = self._caller_gone
        self._runtime.dispatch(self._req)
        while self._req.request_id in self._runtime.core.requests.requests:
            await self._carry_out(await self._decisions.get())
        while not self._decisions.empty():
            await self._carry_out(self._decisions.get_nowait())
        self._runtime.metrics.observe("request", self._runtime.now() - started_at)

    def on_decision(self, action: act.Action) -> None:
        """Cancel the running attempt at once, or queue any other decision."""
        if isinstance(action, act.CancelAttempt):
            self._cancel(action)
        else:
            self._decisions.put_nowait(action)

    def _cancel(self, action: act.CancelAttempt) -> None:
        if self._attempt_task is None or self._attempt_task.done():
            return
        self._attempt_run.cancel_ending = action.ending
        self._attempt_task.cancel()

    def _caller_gone(self) -> None:
        """Report to the core that the caller disconnected, and end the waiting."""
        self._runtime.dispatch(RequestCancelled(self._req.request_id))
        self._decisions.put_nowait(act.AbortAnswer(self._req.request_id))

    async def _carry_out(self, action: act.Action) -> None:
        if isinstance(action, act.StartAttempt):
            await self._attempt(action)
        elif isinstance(action, act.Finish):
            await self._finish(action)
        elif isinstance(action, act.AbortAnswer):
            self._exchange.abort()

    async def _attempt(self, action: act.StartAttempt) -> None:
        headers = hd.without_hop_by_hop(self._exchange.head.headers)
        excluded = (hd.DEADLINE_MS, hd.REQUEST_ID)
        headers = [item for item in headers if item[0] not in excluded]
        headers.append((hd.REQUEST_ID, self._req.request_id.encode()))
        self._attempt_run = AttemptRun(
            self._runtime, self._pool, action, self._body, headers
        )
        self._attempt_task = asyncio.get_running_loop().create_task(
            self._attempt_run.run()
        )
        await asyncio.wait([self._attempt_task])
        self._attempt_task.result()

    async def _finish(self, action: act.Finish) -> None:
        """Send the core's answer, or abort a response that has already begun."""
        if self._exchange.started:
            self._exchange.abort()
            return
        await answer_refusal(self._exchange, action)


async def answer_refusal(exchange: Exchange, action: act.Finish) -> None:
    """Send an answer of this host itself: a refusal or an unknown outcome.

    It states the outcome, the reason and the delay after which to retry.
    """
    body = {
        "outcome": action.outcome,
        "reason": action.reason,
        "retry_after_s": round(action.retry_after_s, 3),
    }
    headers = [
        (b"content-type", b"application/json"),
        (hd.OUTCOME, action.outcome.encode()),
        (hd.REASON, action.reason.encode()),
        (hd.REQUEST_ID, action.request_id.encode()),
        *hd.retry_after(action.retry_after_s),
    ]
    data = json.dumps(body).encode() + b"\n"
    await exchange.respond(action.status, headers, data)
