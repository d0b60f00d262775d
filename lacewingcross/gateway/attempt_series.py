"""The series of attempts that one request makes at backend servers."""

import asyncio
from dataclasses import replace

from .. import logs
from ..core.attempts import Attempt, Ending, Stage, Verdict
from ..core.overload.admission import SHORTAGE_REASONS
from ..core.paths.path import Path
from ..core.placement.placement_types import Choice, PlacementRequest, Refusal
from ..core.silence.answer_wait import AnswerWait
from ..http1_client import HttpError, ResponseHead
from ..http1_exchange import CallerGoneError
from .attempt import (
    Answer,
    AttemptRun,
    InvalidResponseError,
    check_signature,
    classify,
    was_full,
)
from .attempt_feedback import AttemptResult, record_result
from .attempt_log import AttemptLog
from .context import Gateway
from .faults import INTERNAL_ERROR, note_fault
from .forwarding import request_for_server
from .paths.reasons import HOST_REASONS, SILENT_SERVER
from .repeats import RepeatedRequest
from .reply import HOST_LEAVING, LEAVING_RETRY_S, HostAnswer, Reply
from .retry_decision import RetryDecision
from .routed_request import RoutedRequest
from .signals import record_signals
from .silence import note_head

# Request bodies up to this size are read before a server is chosen. A caller that sends
# slowly then holds no slot, and the request can be sent again to another server.
READ_AHEAD_BYTES = 512 * 1024
# Maximum number of attempts of one request that could not connect, on all paths.
MAX_CONNECT_FAILURES = 4
QUARANTINED = "quarantined"


class AttemptSeries:
    """Sends one request to servers until one responds or no further attempt is allowed.

    Parameters
    ----------
    gateway : Gateway
        Decisions, connections, clock and metrics of this host.
    req : RoutedRequest
        The request.
    reply : Reply
        Sends a server's response to the caller.

    Attributes
    ----------
    attempts : int
        Attempts so far, without superseded ones: those that the chosen server no
        longer allowed (rate limit used up, back-off, shutdown) just before their first
        byte.
    may_have_run : bool
        Whether a server may have run the request.
    caller_gone : bool
        Whether the caller has closed its connection.
    """

    __slots__ = (
        "_connect_failures",
        "_failure_reason",
        "_gateway",
        "_had_room",
        "_indirect_only",
        "_log",
        "_path_changed",
        "_repeated_request",
        "_reply",
        "_req",
        "_retries",
        "_service",
        "_shed_with_room",
        "_superseded",
        "_tried",
        "attempts",
        "caller_gone",
        "may_have_run",
    )

    def __init__(self, gateway: Gateway, req: RoutedRequest, reply: Reply) -> None:
        self._gateway = gateway
        self._req = req
        self._reply = reply
        self._log = AttemptLog(req.frame, req.terms, gateway)
        self._repeated_request = RepeatedRequest(
            gateway, req.frame, req.exchange.head, req.body, req.caller_account
        )
        # Set when the service is known.
        self._retries: RetryDecision | None = None
        self._service = ""
        self._tried: set[str] = set()
        # Whether the latest server that shed the request did not report all its slots
        # as taken. Always False if the policy has `shed_back_soon` switched off.
        self._shed_with_room = False
        # Stable code of why the latest failed attempt has failed; empty if none has.
        self._failure_reason = ""
        # Whether the chosen server no longer allowed the latest attempt just before its
        # first byte, so that nothing of the request was sent there.
        self._superseded = False
        # Whether a server could take another attempt when that was last asked.
        self._had_room = False
        # Number of attempts that could not connect to a server.
        self._connect_failures = 0
        # Whether the request goes through other hosts only.
        self._indirect_only = False
        # Whether the latest attempt could not connect and another path is tried.
        self._path_changed = False
        self.attempts = 0
        self.may_have_run = False
        self.caller_gone = False

    def _time_left_s(self) -> float:
        return self._req.time_left_s(self._gateway.now())

    def may_be_cancelled(self) -> bool:
        """Return whether the request may be cancelled.

        It may if it can run twice without harm, or if no server can have begun it.
        """
        return self._req.route.repeatable or not self.may_have_run

    async def run(self) -> HostAnswer | None:
        """Try servers until one responds or no further attempt is allowed.

        Returns
        -------
        host_answer : HostAnswer or None
            What this host answers itself; None when it has nothing to answer, since a
            server's response was sent or the caller has gone.
        """
        route = self._req.route
        steering = self._gateway.steering
        self._service = steering.service_for(route, self._req.frame.key)
        self._reply.service = self._service
        retries = RetryDecision(
            self._gateway, self._req, self._service, self._log, self._has_server
        )
        self._retries = retries
        retries.earn()
        while True:
            refused_for_s = self._repeated_request.apply_quarantine()
            if refused_for_s:
                return self._quarantined(refused_for_s)
            choice = self._choose()
            if isinstance(choice, Refusal):
                self._repeated_request.record_not_run()
                if self.may_have_run:
                    return HostAnswer(502, self._failure_reason)
                if self._shed_with_room:
                    return HostAnswer(503, self._failure_reason, self._retry_after_s())
                return HostAnswer(503, choice.reason, choice.retry_after_s)
            if self.attempts and not (self._superseded or self._path_changed):
                retries.spend(self._failure_reason)
            verdict = await self._run_attempt(choice)
            if self._superseded or self._path_changed:
                continue
            if verdict in (Verdict.DONE, Verdict.ABORT) or self.caller_gone:
                return None
            if verdict is Verdict.REFUSE:
                return HostAnswer(503, self._failure_reason, self._retry_after_s())
            if verdict is Verdict.UNKNOWN:
                return HostAnswer(502, self._failure_reason)

    def _quarantined(self, refused_for_s: float) -> HostAnswer:
        """Return the refusal of a request that crashes servers and is quarantined.

        502 means that an earlier attempt of this request may have run. 503 means that
        the request has not run and will not run; the caller may send it again later.

        Parameters
        ----------
        refused_for_s : float
            Time after which the caller may send it again, in seconds.
        """
        if self.may_have_run:
            return HostAnswer(502, QUARANTINED)
        return HostAnswer(503, QUARANTINED, refused_for_s)

    def _retry_after_s(self) -> float:
        """Return after how many seconds the caller should send the request again."""
        untried_request = replace(self._placement_request(), tried=frozenset())
        return self._gateway.steering.placement.pause_after_shed(
            untried_request, self._gateway.now(), with_room=self._shed_with_room
        )

    def _placement_request(self) -> PlacementRequest:
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
            self._indirect_only,
            terms.rank,
            terms.account_name,
            self._req.first_asked_at,
            self._req.caller_deadline_at,
        )

    def _choose(self) -> Choice | Refusal:
        now = self._gateway.now()
        if not self._gateway.can_end(self._req.route, self._req.deadline_at):
            return Refusal(HOST_LEAVING, LEAVING_RETRY_S)
        request = self._placement_request()
        choice = self._gateway.steering.placement.choose(request, now)
        if isinstance(choice, Choice):
            self._log.placed(choice, self.attempts + 1, self._time_left_s(), now)
        elif choice.reason in SHORTAGE_REASONS and not self.may_have_run:
            self._log.refused(request, choice, now)
        return choice

    async def _run_attempt(self, choice: Choice) -> Verdict:
        server = choice.server
        self.attempts += 1
        self._reply.attempts = self.attempts
        self._tried.add(server.entry.server_id)
        attempt_id = self._gateway.next_attempt_id()
        attempt = Attempt(self.attempts, server.entry.server_id)
        run = AttemptRun(
            self._gateway.connector,
            choice,
            attempt,
            self._req.body,
            repeatable=self._req.route.repeatable,
        )
        placement = self._gateway.steering.placement
        placement.began(choice, attempt_id, self._gateway.now())
        began_at = self._gateway.now()
        self._superseded = False
        self._path_changed = False
        ran_before = self.may_have_run
        reached_before = self._retries.reached_server
        ending = Ending.CANCELLED
        complete = False
        answer = None
        try:
            answer = await self._exchange_with(run, choice)
            ending = classify(answer)
            complete = answer.complete
        except HttpError as exc:
            self._failure_reason = exc.reason
            run.failed(exc.reason)
            ending = Ending.BROKEN if exc.sent else Ending.CONNECT_FAILED
            if not exc.sent:
                attempt.stage = Stage.NOT_SENT
                self._retries.reached_server = reached_before
            elif run.lost:
                self._repeated_request.connection_broke(server.entry)
        except _SupersededError:
            ending = Ending.CONNECT_FAILED
            self._superseded = True
        except InvalidResponseError as exc:
            self._failure_reason = str(exc)
            ending = Ending.BROKEN
        except _SilentServerError:
            self._failure_reason = SILENT_SERVER
            run.failed(SILENT_SERVER)
            ending = Ending.TIMED_OUT
        except CallerGoneError:
            raise
        except Exception as exc:
            # A fault of this host must not cost the request its answer.
            self._failure_reason = INTERNAL_ERROR
            note_fault(self._gateway.metrics, self._req.frame.request_id, exc)
            not_sent = attempt.stage is Stage.NOT_SENT
            ending = Ending.CONNECT_FAILED if not_sent else Ending.BROKEN
        finally:
            attempt.end(ending)
            ran = attempt.stage in (Stage.UNKNOWN, Stage.ANSWERED)
            self.may_have_run = ran_before or ran
            placement.ended(server)
            # A superseded attempt must not be recorded with the failure reason of the
            # attempt before it.
            reason = "" if self._superseded else self._failure_reason
            result = AttemptResult(
                attempt_id, ending, reason, began_at, answer, self.caller_gone
            )
            record_result(self._gateway, choice, result)
            if answer is None or answer.complete or ending is Ending.SERVER_NOT_RUN:
                run.release_connection(complete=complete)
        if self._superseded:
            self._log.superseded(attempt, self._time_left_s())
            self._gateway.metrics.count("attempts.overtaken")
            return self._undo_attempt(attempt)
        is_fault = self._failure_reason == INTERNAL_ERROR
        if (
            ending is Ending.CONNECT_FAILED
            and not is_fault
            and self._changes_path(choice)
        ):
            self._log.path_changed(attempt, choice.path, self._failure_reason)
            verdict = self._undo_attempt(attempt)
            about_host = self._failure_reason in HOST_REASONS
            if choice.path is Path.INDIRECT and not about_host:
                # Another host has no way to this server either.
                self._tried.add(attempt.server_id)
            return verdict
        try:
            return await self._conclude(run, attempt, ending, answer)
        finally:
            run.release_connection(complete=False)

    def _undo_attempt(self, attempt: Attempt) -> Verdict:
        """Undo an attempt; nothing was sent to a server, so it counts as not made."""
        self.attempts -= 1
        self._reply.attempts = self.attempts
        self._tried.discard(attempt.server_id)
        self._repeated_request.record_not_run()
        return Verdict.RETRY

    def _changes_path(self, choice: Choice) -> bool:
        """Return whether a request that could not connect is sent on another path.

        Guards against a host that is cut off and has not found out yet: a request could
        not connect to any server that it tries directly. So after a second failure, or
        when no other attempt is left, it goes through another host.
        """
        self._connect_failures += 1
        if (
            self._connect_failures > MAX_CONNECT_FAILURES
            or not self._retries.time_left()
            or not self._req.body.replayable
        ):
            return False
        paths = self._gateway.paths
        if choice.path is Path.DIRECT:
            is_lost = paths.reachability.is_lost(choice.server.entry)
            attempts_left = self.attempts < self._req.route.max_attempts
            if not is_lost and attempts_left and self._connect_failures == 1:
                return False
            self._indirect_only = True
        domain = choice.server.entry.failure_domain
        regions = choice.placement_request.regions
        now = self._gateway.now()
        self._path_changed = paths.has_intermediary(domain, regions, now)
        return self._path_changed

    async def _exchange_with(self, run: AttemptRun, choice: Choice) -> Answer:
        await run.connect()
        if run.through:
            self._gateway.metrics.count("paths.sent-through")
            self._log.sent_through(run.attempt, run.through)
        sent_at = self._gateway.now()
        if not self._gateway.steering.placement.sent(choice, sent_at):
            run.release_unused()
            raise _SupersededError
        server_id = run.server.entry.server_id
        req = self._req
        run.send(
            request_for_server(
                req.exchange.head,
                req.body,
                server_id,
                self._time_left_s(),
                req.caller_account,
            )
        )
        # From here on the server may have run the request, also if this attempt is
        # cancelled.
        self.may_have_run = True
        self._retries.reached_server = True
        request_id = req.frame.request_id.encode("latin-1")
        if not req.body.complete:
            await run.send_rest()
        head = await self._read_head_in_time(run, request_id)
        if not run.through:
            now = self._gateway.now()
            self._gateway.paths.reachability.heard(run.server.entry, now)
        note_head(self._gateway, run.server, head)
        record_signals(self._gateway, run.server, head, sent_at)
        check_signature(head)
        return await run.read_body(head)

    async def _read_head_in_time(
        self, run: AttemptRun, request_id: bytes
    ) -> ResponseHead:
        """Wait for the head of the response.

        A request that may be repeated leaves a silent server, see `AnswerWait`. It
        waits on if no other attempt is allowed or no server can take it. `RequestRun`
        ends the wait at the deadline.
        """
        route = self._req.route
        if not route.repeatable or self.attempts >= route.max_attempts:
            return await run.read_head(request_id)
        placement = self._gateway.steering.placement
        now = self._gateway.now()
        wait = AnswerWait(
            placement.silence,
            run.server,
            placement.silence_timeout_s(self._placement_request()),
            direct=not run.through,
            now=now,
        )
        wait.begin(self._time_left_s())
        while True:
            try:
                async with asyncio.timeout(wait.check_in_s(self._gateway.now())):
                    return await run.read_head(request_id)
            except TimeoutError:
                now = self._gateway.now()
                if not wait.wants_another(now):
                    continue
                self._had_room = False
                if self._retries.may_try_another(self.attempts, SILENT_SERVER):
                    raise _SilentServerError from None
                wait.refused(now, self._time_left_s(), no_room=not self._had_room)

    def _has_server(self) -> bool:
        """Return whether a server can take another attempt now."""
        choice = self._gateway.steering.placement.choose(
            self._placement_request(), self._gateway.now(), only_asks=True
        )
        can_end = self._gateway.can_end(self._req.route, self._req.deadline_at)
        self._had_room = can_end and isinstance(choice, Choice)
        return self._had_room

    async def _conclude(
        self,
        run: AttemptRun,
        attempt: Attempt,
        ending: Ending,
        answer: Answer | None,
    ) -> Verdict:
        await self._repeated_request.wait_for_crash_check()
        if attempt.stage is Stage.NOT_SENT:
            self._repeated_request.record_not_run()
        if ending is Ending.SERVER_NOT_RUN:
            self._failure_reason = "server-full"
            back_soon = self._gateway.cfg.policy.shed_back_soon
            self._shed_with_room = back_soon and not was_full(
                answer, run.server.entry.slots
            )
        if ending is Ending.SERVER_ERROR:
            self._failure_reason = f"server-{answer.head.status}"
        verdict = self._retries.decide(attempt, ending, self._failure_reason)
        if verdict is not Verdict.DONE or self.attempts > 1:
            time_left_s = self._time_left_s()
            fingerprint = (
                self._repeated_request.fingerprint if ending is Ending.BROKEN else ""
            )
            self._log.ended(
                attempt,
                ending,
                answer,
                verdict,
                self._failure_reason,
                time_left_s,
                fingerprint,
            )
        if ending is Ending.ANSWERED:
            self._repeated_request.record_answer()
        if verdict is Verdict.DONE:
            await self._deliver(run, answer)
        elif answer is not None and not answer.complete:
            run.release_connection(complete=False)
        return verdict

    async def _deliver(self, run: AttemptRun, answer: Answer) -> None:
        try:
            await self._reply.deliver(run, answer)
        except HttpError as exc:
            # `Reply.deliver` has aborted the caller's connection, since only that shows
            # the caller that the rest of a large response will not come.
            if run.lost:
                self._repeated_request.connection_broke(run.server.entry)
            logs.event(
                "answer-broke-off", id=self._req.frame.request_id, why=exc.reason
            )


class _SupersededError(Exception):
    """The chosen server no longer allows the request just before its first byte.

    Since the server was chosen, its rate limit was used up, or it has requested a
    back-off or announced its shutdown. Nothing was sent.
    """


class _SilentServerError(Exception):
    """The server was silent for too long, and another server can take the request."""
