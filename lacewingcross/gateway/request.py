"""One caller's request on this host, from its head to its final answer."""

import asyncio
import json
from dataclasses import dataclass

import h11

from .. import headers as hd
from .. import logs
from ..core.attempts import Attempt, Ending, Stage, Verdict, decide
from ..core.placement import Ask, Choice, Refusal, Server
from ..core.routes import Route
from ..http1_client import HttpError
from ..http1_exchange import CallerGoneError, Exchange
from ..platform import headers as ph
from .attempt import (
    Answer,
    AttemptRun,
    CallerBody,
    SpoiltAnswerError,
    classify,
    reported_load,
)
from .context import Gateway

# Bodies up to this size are read before a server is chosen: a caller that sends slowly
# holds no slot, and the request can be sent to another server.
READ_AHEAD = 512 * 1024
# A caller stops waiting at its deadline; answers leave this much earlier, in seconds,
# to arrive in time (one way to callers is a few milliseconds).
ANSWER_EARLY_S = 0.01
# Least time that is worth another attempt, in seconds.
MIN_LEFT_S = 0.03
JSON_TYPE = (b"content-type", b"application/json")
OWN_REQUEST_HEADERS = frozenset(
    (
        ph.REMAINING_MS,
        ph.EXPECTED_INCARNATION,
        hd.CONTENT_LENGTH,
        hd.TRANSFER_ENCODING,
    )
)
OWN_ANSWER_HEADERS = frozenset((hd.CONTENT_LENGTH, hd.TRANSFER_ENCODING))


@dataclass(slots=True, frozen=True)
class Frame:
    """What steering needs to know of a request; `remaining_s` is 0 when unsaid."""

    request_id: str
    key: str
    host_name: str
    path: str
    remaining_s: float


@dataclass(slots=True, frozen=True)
class Final:
    """A final answer of this host's own."""

    status: int
    reason: str
    retry_after_s: float = 0.0


class FrameError(Exception):
    """A header of the request's frame is not usable."""


def read_frame(exchange: Exchange) -> Frame:
    """Return the frame of a request.

    Raises
    ------
    FrameError
        Names the header and what was expected.
    """
    headers = exchange.head.headers
    target = exchange.head.target
    if not target.startswith("/"):
        raise FrameError("expected a path as request target")
    request_id = hd.find(headers, ph.REQUEST_ID)
    if not request_id:
        raise FrameError(f"expected {ph.REQUEST_ID.decode()}")
    try:
        remaining = hd.milliseconds(headers, ph.REMAINING_MS)
    except ValueError as exc:
        raise FrameError(str(exc)) from exc
    host_name = hd.find(headers, b"host").partition(":")[0].lower()
    path = target.partition("?")[0]
    key = hd.find(headers, ph.AFFINITY_KEY)
    return Frame(request_id, key, host_name, path, remaining or 0.0)


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
        "_attempts",
        "_body",
        "_deadline",
        "_exchange",
        "_frame",
        "_gateway",
        "_gone",
        "_last",
        "_may_have_run",
        "_route",
        "_service",
        "_started",
        "_task",
        "_tried",
    )

    def __init__(self, gateway: Gateway, exchange: Exchange) -> None:
        self._gateway = gateway
        self._exchange = exchange
        self._started = gateway.now()
        self._deadline = self._started
        self._frame: Frame | None = None
        self._route: Route | None = None
        self._service = ""
        self._body = CallerBody(exchange, [])
        self._attempts = 0
        self._tried: set[str] = set()
        self._may_have_run = False
        self._gone = False
        self._last = ""
        self._task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Answer the request."""
        try:
            self._frame = read_frame(self._exchange)
        except FrameError as exc:
            await self._finish(Final(400, "bad-frame"), detail=str(exc))
            return
        final = self._find_route()
        if final is not None:
            await self._finish(final)
            return
        self._task = asyncio.current_task()
        self._exchange.on_gone = self._caller_gone
        try:
            await self._steer()
        except CallerGoneError:
            self._note("caller-gone")
        except asyncio.CancelledError:
            if not self._gone:
                raise
            self._note("caller-gone")

    def _caller_gone(self) -> None:
        """Stop working for a caller that has left.

        A booking that a server has begun is left to end there: cutting it in the
        middle could leave it half done, and nobody would hear of it.
        """
        self._gone = True
        if self._route.repeatable or not self._may_have_run:
            self._task.cancel()

    def _find_route(self) -> Final | None:
        steering = self._gateway.steering
        table = steering.table
        if table is None:
            return Final(503, "no-configuration", 0.3)
        self._route = table.match(self._frame.host_name, self._frame.path)
        if self._route is None:
            return Final(404, "no-route")
        length = hd.find(self._exchange.head.headers, hd.CONTENT_LENGTH)
        if length and int(length) > table.config.limits.max_body_bytes:
            return Final(413, "body-too-large")
        allowed_s = self._route.timeout_s
        if self._frame.remaining_s:
            allowed_s = min(allowed_s, self._frame.remaining_s - ANSWER_EARLY_S)
        self._deadline = self._started + allowed_s
        return None

    async def _steer(self) -> None:
        answer = None
        try:
            async with asyncio.timeout(self._left()):
                await self._body.gather(READ_AHEAD)
                answer = await self._attempt_all()
        except TimeoutError:
            answer = self._out_of_time()
        if isinstance(answer, Final):
            await self._finish(answer)

    def _left(self) -> float:
        return max(0.0, self._deadline - self._gateway.now())

    def _out_of_time(self) -> Final:
        """Tell apart what may have run from what cannot have."""
        if self._may_have_run:
            return Final(504, "timed-out")
        if not self._body.whole and not self._attempts:
            return Final(408, "body-timeout")
        return Final(503, "timed-out-unsent", 0.1)

    # Attempts

    async def _attempt_all(self) -> Final | None:
        """Try servers until one has answered or none may be tried any more."""
        route = self._route
        steering = self._gateway.steering
        self._service = steering.service_for(route, self._frame.key)
        budget = steering.budget(self._service)
        budget.earn()
        while True:
            choice = self._choose()
            if isinstance(choice, Refusal):
                if self._may_have_run:
                    return Final(502, self._last)
                return Final(503, choice.reason, choice.retry_after_s)
            if self._attempts:
                budget.spend()
                self._gateway.metrics.count(f"retries.{self._last}")
            verdict = await self._attempt(choice)
            if verdict in (Verdict.DONE, Verdict.ABORT) or self._gone:
                return None
            if verdict is Verdict.REFUSE:
                pause = steering.placement.usual_latency(self._service)
                return Final(503, self._last, pause * steering.rng.uniform(0.5, 1.5))
            if verdict is Verdict.UNKNOWN:
                return Final(502, self._last)

    def _ask(self) -> Ask:
        route = self._route
        return Ask(
            self._service,
            self._frame.key if route.affinity else "",
            route.home_regions,
            route.priority < self._gateway.steering.least_urgent(self._service),
            frozenset(self._tried),
            route.target_s,
        )

    def _choose(self) -> Choice | Refusal:
        now = self._gateway.now()
        choice = self._gateway.steering.placement.choose(self._ask(), now)
        if isinstance(choice, Choice):
            self._log_choice(choice, now)
        return choice

    def _log_choice(self, choice: Choice, now: float) -> None:
        server = choice.server
        logs.event(
            "request-placed",
            id=self._frame.request_id,
            route=self._route.name,
            service=self._service,
            config=self._gateway.steering.table.config.version,
            key=self._frame.key,
            server=server.entry.server_id,
            domain=server.entry.failure_domain,
            why=choice.why,
            busy=server.busy(now),
            own=server.own,
            slots=server.entry.slots,
            report_age_ms=int(min(9999, 1000 * (now - server.reported_at))),
            cold_ms=int(max(0.0, 1000 * (server.cold_until - now))),
            attempt=self._attempts + 1,
            left_ms=int(1000 * self._left()),
        )

    async def _attempt(self, choice: Choice) -> Verdict:
        server = choice.server
        self._attempts += 1
        self._tried.add(server.entry.server_id)
        number = self._gateway.next_attempt()
        attempt = Attempt(self._attempts, server.entry.server_id)
        run = AttemptRun(
            self._gateway.backends,
            server,
            attempt,
            self._body,
            repeatable=self._route.repeatable,
        )
        placement = self._gateway.steering.placement
        placement.began(server, number, self._gateway.now())
        began = self._gateway.now()
        ran_before = self._may_have_run
        ending = Ending.CANCELLED
        whole = False
        answer = None
        try:
            answer = await self._exchange_with(run)
            ending = classify(answer)
            whole = answer.whole
        except HttpError as exc:
            self._last = exc.reason
            ending = Ending.BROKEN if exc.sent else Ending.CONNECT_FAILED
            if not exc.sent:
                attempt.stage = Stage.NOT_SENT
        except SpoiltAnswerError as exc:
            self._last = str(exc)
            ending = Ending.BROKEN
        except _LeftSilentServerError:
            self._last = "silent-server"
            ending = Ending.TIMED_OUT
        finally:
            attempt.end(ending)
            self._may_have_run = ran_before or attempt.stage is Stage.UNKNOWN
            placement.ended(server)
            self._learn(server, number, ending, began, answer)
            if answer is None or whole or ending is Ending.SERVER_NOT_RUN:
                run.let_go(whole=whole)
        return await self._conclude(run, attempt, ending, answer)

    async def _exchange_with(self, run: AttemptRun) -> Answer:
        await run.connect()
        run.send(self._head_for(run.server))
        # From here on the server may have run the request, also if we are cancelled.
        self._may_have_run = True
        request_id = self._frame.request_id.encode("latin-1")
        if not self._body.whole:
            await run.send_rest()
        head = await self._patiently(run, request_id)
        return await run.read_body(head)

    async def _patiently(self, run: AttemptRun, request_id: bytes):
        """Wait for the answer's head, and leave a silent server if another can help."""
        if not self._route.repeatable:
            return await run.read_head(request_id)
        patience = self._gateway.steering.placement.patience(self._service)
        while True:
            # A late answer is worth the same at any moment before the deadline, so the
            # server keeps all the time that another one would not need.
            wait = max(patience, self._left() - patience)
            try:
                async with asyncio.timeout(wait):
                    return await run.read_head(request_id)
            except TimeoutError:
                if self._could_move():
                    raise _LeftSilentServerError from None

    def _could_move(self) -> bool:
        if self._attempts >= self._route.max_attempts or self._left() < MIN_LEFT_S:
            return False
        steering = self._gateway.steering
        if not steering.budget(self._service).available():
            return False
        choice = steering.placement.choose(self._ask(), self._gateway.now())
        return isinstance(choice, Choice)

    def _head_for(self, server: Server) -> h11.Request:
        head = self._exchange.head
        fields = [
            item
            for item in hd.without_hop_by_hop(head.headers)
            if item[0] not in OWN_REQUEST_HEADERS
        ]
        remaining_ms = max(1, int(self._left() * 1000))
        fields.append((ph.REMAINING_MS, str(remaining_ms).encode()))
        expected = server.entry.server_id.encode()
        fields.append((ph.EXPECTED_INCARNATION, expected))
        names = {name for name, _ in head.headers}
        if not self._body.whole:
            length = hd.find(head.headers, hd.CONTENT_LENGTH).encode()
            framing = (hd.CONTENT_LENGTH, length)
            if not length:
                framing = (hd.TRANSFER_ENCODING, b"chunked")
            fields.append(framing)
        elif self._body.size or names & {hd.CONTENT_LENGTH, hd.TRANSFER_ENCODING}:
            fields.append((hd.CONTENT_LENGTH, str(self._body.size).encode()))
        return h11.Request(method=head.method, target=head.target, headers=fields)

    def _learn(
        self,
        server: Server,
        number: int,
        ending: Ending,
        began: float,
        answer: Answer | None,
    ) -> None:
        """Take what the attempt showed of the server into the evidence."""
        now = self._gateway.now()
        placement = self._gateway.steering.placement
        usual = placement.usual_latency(self._service)
        evidence = server.evidence
        if answer is not None:
            load = reported_load(answer.head)
            if load is not None:
                placement.learn_load(server, load, now)
        if ending in (Ending.ANSWERED, Ending.SERVER_ERROR):
            good = ending is Ending.ANSWERED
            evidence.answered(number, now, usual, good=good)
            if good:
                placement.learn_latency(server, now - began)
                self._gateway.metrics.observe(f"server.{self._service}", now - began)
        elif ending is Ending.SERVER_NOT_RUN:
            full = (reported_load(answer.head) or 0) >= server.entry.slots
            # A server that is full sheds rightly; one that sheds with free slots, or
            # whose address now belongs to another incarnation, is passed over.
            evidence.shed(number, now, full=full)
        elif ending is Ending.CONNECT_FAILED and self._last == "connect-failed":
            evidence.unreachable(number, now)
        elif ending is Ending.CONNECT_FAILED or self._gone:
            evidence.forgotten(number)
        elif ending in (Ending.TIMED_OUT, Ending.CANCELLED):
            evidence.timed_out(number, now)
        else:
            evidence.failed(number, now)

    async def _conclude(
        self,
        run: AttemptRun,
        attempt: Attempt,
        ending: Ending,
        answer: Answer | None,
    ) -> Verdict:
        budget = self._gateway.steering.budget(self._service)
        verdict = decide(
            attempt,
            ending,
            repeatable=self._route.repeatable,
            body_replayable=self._body.size <= READ_AHEAD,
            time_left=self._left() > MIN_LEFT_S
            and self._attempts < self._route.max_attempts,
            budget_left=budget.available(),
        )
        if ending is Ending.SERVER_NOT_RUN:
            self._last = "server-full"
        if ending is Ending.SERVER_ERROR:
            self._last = f"server-{answer.head.status}"
            verdict = self._retry_failure(verdict)
        if verdict is not Verdict.DONE or self._attempts > 1:
            self._log_ending(attempt, ending, answer, verdict)
        if verdict is Verdict.DONE:
            await self._deliver(run, answer)
        elif answer is not None and not answer.whole:
            run.let_go(whole=False)
        return verdict

    def _log_ending(
        self,
        attempt: Attempt,
        ending: Ending,
        answer: Answer | None,
        verdict: Verdict,
    ) -> None:
        logs.event(
            "attempt-ended",
            id=self._frame.request_id,
            server=attempt.server_id,
            attempt=attempt.number,
            ending=ending.value,
            status=answer.head.status if answer else 0,
            why=self._last,
            verdict=verdict.value,
            left_ms=int(1000 * self._left()),
        )

    def _retry_failure(self, verdict: Verdict) -> Verdict:
        """Try a server's own failure once more where the request may be repeated."""
        route = self._route
        choice = self._could_move()
        return Verdict.RETRY if route.repeatable and choice else verdict

    # Answers

    async def _deliver(self, run: AttemptRun, answer: Answer) -> None:
        """Send the server's answer to the caller as it is."""
        head = answer.head
        fields = [
            item
            for item in hd.without_hop_by_hop(head.headers)
            if item[0] not in OWN_ANSWER_HEADERS
        ]
        fields += self._gateway.closing_headers()
        if answer.whole:
            await self._exchange.respond(head.status, fields, answer.body)
            self._note("answered", head.status)
            return
        try:
            await self._stream(run, answer, fields)
        except BaseException:
            self._exchange.abort()
            run.let_go(whole=False)
            self._note("broken-off", head.status)
            raise

    async def _stream(
        self, run: AttemptRun, answer: Answer, fields: hd.HeaderList
    ) -> None:
        length = hd.find(answer.head.headers, hd.CONTENT_LENGTH).encode()
        if length:
            fields = [*fields, (hd.CONTENT_LENGTH, length)]
        await self._exchange.send_head(answer.head.status, fields)
        await self._exchange.send_body(answer.body)
        while part := await run.read_more():
            await self._exchange.send_body(part)
        self._exchange.finish()
        run.let_go(whole=True)
        self._note("answered", answer.head.status)

    async def _finish(self, final: Final, detail: str = "") -> None:
        """Send a final answer of our own."""
        if self._exchange.started:
            self._exchange.abort()
            return
        request_id = self._frame.request_id if self._frame else ""
        fields = [JSON_TYPE]
        if request_id:
            fields.append((ph.REQUEST_ID, request_id.encode("latin-1")))
        if final.retry_after_s:
            pause = f"{final.retry_after_s:.3f}".encode()
            fields.append((hd.RETRY_AFTER, pause))
        fields += self._gateway.closing_headers()
        self._note(final.reason, final.status, final.retry_after_s, detail)
        body = json.dumps({"error": final.reason, "detail": detail}).encode() + b"\n"
        await self._exchange.respond(final.status, fields, body)

    def _note(
        self,
        outcome: str,
        status: int = 0,
        retry_after_s: float = 0.0,
        detail: str = "",
    ) -> None:
        took = self._gateway.now() - self._started
        metrics = self._gateway.metrics
        metrics.count(f"requests.{status}.{outcome}")
        route = self._route.name if self._route else ""
        metrics.observe("request", took)
        logs.event(
            "request-ended",
            id=self._frame.request_id if self._frame else "",
            route=route,
            service=self._service,
            outcome=outcome,
            status=status,
            attempts=self._attempts,
            took_ms=int(took * 1000),
            retry_after_ms=int(retry_after_s * 1000),
            detail=detail,
        )


class _LeftSilentServerError(Exception):
    """A server was silent for too long and another one can take the request."""
