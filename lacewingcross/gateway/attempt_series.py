"""The attempts of one request at backend servers, until one has answered."""

import asyncio
from dataclasses import replace

from .. import logs
from ..core.attempts import Attempt, Ending, Stage, Verdict, decide
from ..core.placement_types import Choice, PlacementRequest, Refusal
from ..http1_client import HttpError, ResponseHead
from .attempt import (
    Answer,
    AttemptRun,
    SpoiltAnswerError,
    classify,
    was_full,
)
from .attempt_feedback import AttemptResult, learn
from .attempt_log import AttemptLog
from .context import Gateway
from .forwarding import request_for_server
from .repeats import Repeats
from .reply import Final, Reply
from .routed_request import RoutedRequest
from .signals import record_signals

# Bodies up to this size are read before a server is chosen: a caller that sends slowly
# holds no slot, and the request can be sent to another server.
READ_AHEAD = 512 * 1024
# Least time that is worth another attempt, in seconds.
MIN_LEFT_S = 0.03
QUARANTINED = "quarantined"


class AttemptSeries:
    """Sends one request to servers.

    Parameters
    ----------
    gateway : Gateway
        Decisions, connections, clock and metrics of this host.
    req : RoutedRequest
        The request.
    reply : Reply
        Takes a server's answer to the caller.

    Attributes
    ----------
    attempts : int
        Attempts that were begun.
    may_have_run : bool
        Whether a server may have run the request.
    gone : bool
        Whether the caller has left.
    """

    __slots__ = (
        "_gateway",
        "_last",
        "_log",
        "_overtaken",
        "_repeats",
        "_reply",
        "_req",
        "_service",
        "_shed_with_room",
        "_tried",
        "attempts",
        "gone",
        "may_have_run",
    )

    def __init__(self, gateway: Gateway, req: RoutedRequest, reply: Reply) -> None:
        self._gateway = gateway
        self._req = req
        self._reply = reply
        self._log = AttemptLog(req.frame, req.terms, gateway)
        self._repeats = Repeats(
            gateway, req.frame, req.exchange.head, req.body, req.on_behalf
        )
        self._service = ""
        self._tried: set[str] = set()
        self._shed_with_room = False
        self._last = ""
        # Whether the last choice came to nothing before anything was sent.
        self._overtaken = False
        self.attempts = 0
        self.may_have_run = False
        self.gone = False

    def _left(self) -> float:
        return self._req.left_s(self._gateway.now())

    def may_stop(self) -> bool:
        """Tell whether nothing is left half done when the request is given up."""
        return self._req.route.repeatable or not self.may_have_run

    async def run(self) -> Final | None:
        """Try servers until one has answered or none may be tried any more."""
        route = self._req.route
        steering = self._gateway.steering
        self._service = steering.service_for(route, self._req.frame.key)
        self._reply.service = self._service
        budget = steering.budget(self._service)
        budget.earn()
        while True:
            refused_for = self._repeats.refused_for()
            if refused_for:
                return self._quarantined(refused_for)
            choice = self._choose()
            if isinstance(choice, Refusal):
                self._repeats.not_run()
                if self.may_have_run:
                    return Final(502, self._last)
                if self._shed_with_room:
                    return Final(503, self._last, self._pause_s())
                return Final(503, choice.reason, choice.retry_after_s)
            if self.attempts and not self._overtaken:
                budget.spend()
                self._gateway.metrics.count(f"retries.{self._last}")
            verdict = await self._attempt(choice)
            if self._overtaken:
                continue
            if verdict in (Verdict.DONE, Verdict.ABORT) or self.gone:
                return None
            if verdict is Verdict.REFUSE:
                return Final(503, self._last, self._pause_s())
            if verdict is Verdict.UNKNOWN:
                return Final(502, self._last)

    def _quarantined(self, refused_for: float) -> Final:
        """Refuse a request that ends servers until the quarantine is over.

        A try that has ended one itself may have run; any other has not, and will not.
        """
        if self.may_have_run:
            return Final(502, QUARANTINED)
        return Final(503, QUARANTINED, refused_for)

    def _pause_s(self) -> float:
        """Return when the caller should come back, in seconds."""
        anew = replace(self._ask(), tried=frozenset())
        return self._gateway.steering.placement.pause_after_shed(
            anew, self._gateway.now(), with_room=self._shed_with_room
        )

    def _ask(self) -> PlacementRequest:
        route = self._req.route
        terms = self._req.terms
        return PlacementRequest(
            self._service,
            self._req.frame.key if route.affinity else "",
            terms.regions,
            terms.rank < self._gateway.steering.least_urgent(self._service),
            frozenset(self._tried),
            route.target_s,
            route.name,
        )

    def _choose(self) -> Choice | Refusal:
        now = self._gateway.now()
        choice = self._gateway.steering.placement.choose(self._ask(), now)
        if isinstance(choice, Choice):
            self._log.placed(choice, self.attempts + 1, self._left(), now)
        return choice

    async def _attempt(self, choice: Choice) -> Verdict:
        server = choice.server
        self.attempts += 1
        self._reply.attempts = self.attempts
        self._tried.add(server.entry.server_id)
        number = self._gateway.next_attempt()
        attempt = Attempt(self.attempts, server.entry.server_id)
        run = AttemptRun(
            self._gateway.backends,
            server,
            attempt,
            self._req.body,
            repeatable=self._req.route.repeatable,
        )
        placement = self._gateway.steering.placement
        placement.began(choice, number, self._gateway.now())
        began = self._gateway.now()
        self._overtaken = False
        ran_before = self.may_have_run
        ending = Ending.CANCELLED
        whole = False
        answer = None
        try:
            answer = await self._exchange_with(run, choice)
            ending = classify(answer)
            whole = answer.whole
        except HttpError as exc:
            self._last = exc.reason
            ending = Ending.BROKEN if exc.sent else Ending.CONNECT_FAILED
            if not exc.sent:
                attempt.stage = Stage.NOT_SENT
            elif run.lost:
                self._repeats.broke(server.entry)
        except _OvertakenError:
            ending = Ending.CONNECT_FAILED
            self._overtaken = True
        except SpoiltAnswerError as exc:
            self._last = str(exc)
            ending = Ending.BROKEN
        except _LeftSilentServerError:
            self._last = "silent-server"
            ending = Ending.TIMED_OUT
        finally:
            attempt.end(ending)
            ran = attempt.stage in (Stage.UNKNOWN, Stage.ANSWERED)
            self.may_have_run = ran_before or ran
            placement.ended(server)
            # An overtaken attempt must not be taken to have failed like the last one.
            why = "" if self._overtaken else self._last
            result = AttemptResult(number, ending, why, began, answer, self.gone)
            learn(self._gateway, choice, result)
            if answer is None or whole or ending is Ending.SERVER_NOT_RUN:
                run.let_go(whole=whole)
        if self._overtaken:
            return self._place_anew(attempt)
        return await self._conclude(run, attempt, ending, answer)

    def _place_anew(self, attempt: Attempt) -> Verdict:
        """Take back an attempt that was not sent, since its server wants it no more."""
        self.attempts -= 1
        self._reply.attempts = self.attempts
        self._tried.discard(attempt.server_id)
        self._repeats.not_run()
        self._gateway.metrics.count("attempts.overtaken")
        self._log.overtaken(attempt, self._left())
        return Verdict.RETRY

    async def _exchange_with(self, run: AttemptRun, choice: Choice) -> Answer:
        await run.connect()
        sent_at = self._gateway.now()
        if not self._gateway.steering.placement.sent(choice, sent_at):
            run.put_back()
            raise _OvertakenError
        server_id = run.server.entry.server_id
        req = self._req
        run.send(
            request_for_server(
                req.exchange.head, req.body, server_id, self._left(), req.on_behalf
            )
        )
        # From here on the server may have run the request, also if we are cancelled.
        self.may_have_run = True
        request_id = req.frame.request_id.encode("latin-1")
        if not req.body.whole:
            await run.send_rest()
        head = await self._patiently(run, request_id)
        record_signals(self._gateway, run.server, head, sent_at)
        return await run.read_body(head)

    async def _patiently(self, run: AttemptRun, request_id: bytes) -> ResponseHead:
        """Wait for the answer's head, and leave a silent server if another can help."""
        if not self._req.route.repeatable:
            return await run.read_head(request_id)
        patience = self._gateway.steering.placement.silence_timeout_s(self._ask())
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
        if self.attempts >= self._req.route.max_attempts or self._left() < MIN_LEFT_S:
            return False
        steering = self._gateway.steering
        if not steering.budget(self._service).available():
            return False
        choice = steering.placement.choose(self._ask(), self._gateway.now())
        return isinstance(choice, Choice)

    async def _conclude(
        self,
        run: AttemptRun,
        attempt: Attempt,
        ending: Ending,
        answer: Answer | None,
    ) -> Verdict:
        budget = self._gateway.steering.budget(self._service)
        await self._repeats.settle()
        verdict = decide(
            attempt,
            ending,
            repeatable=self._req.route.repeatable,
            body_replayable=self._req.body.size <= READ_AHEAD,
            time_left=self._left() > MIN_LEFT_S
            and self.attempts < self._req.route.max_attempts,
            budget_left=budget.available(),
        )
        if attempt.stage is Stage.NOT_SENT:
            self._repeats.not_run()
        if ending is Ending.SERVER_NOT_RUN:
            self._last = "server-full"
            soon = self._gateway.cfg.policy.shed_back_soon
            self._shed_with_room = soon and not was_full(answer, run.server.entry.slots)
        if ending is Ending.SERVER_ERROR:
            self._last = f"server-{answer.head.status}"
            verdict = self._retry_failure(verdict)
        if verdict is not Verdict.DONE or self.attempts > 1:
            left_s = self._left()
            name = self._repeats.name if ending is Ending.BROKEN else ""
            self._log.ended(attempt, ending, answer, verdict, self._last, left_s, name)
        if ending is Ending.ANSWERED:
            self._repeats.answered()
        if verdict is Verdict.DONE:
            await self._deliver(run, answer)
        elif answer is not None and not answer.whole:
            run.let_go(whole=False)
        return verdict

    async def _deliver(self, run: AttemptRun, answer: Answer) -> None:
        try:
            await self._reply.deliver(run, answer)
        except HttpError as exc:
            # The caller's connection was broken off: only that tells it that the rest
            # of a large answer will not come.
            if run.lost:
                self._repeats.broke(run.server.entry)
            logs.event(
                "answer-broke-off", id=self._req.frame.request_id, why=exc.reason
            )

    def _retry_failure(self, verdict: Verdict) -> Verdict:
        """Try a server's own failure once more where the request may be repeated."""
        route = self._req.route
        choice = self._could_move()
        return Verdict.RETRY if route.repeatable and choice else verdict


class _OvertakenError(Exception):
    """A server takes the request no more; nothing of it was sent."""


class _LeftSilentServerError(Exception):
    """A server was silent for too long and another one can take the request."""
