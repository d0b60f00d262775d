"""Life cycle of a request on its entry host: claim, permit, attempts, final answer."""

from collections import defaultdict
from collections.abc import Iterator
from heapq import heappop, heappush

from . import messages as msg
from .actions import (
    NOT_RUN,
    UNKNOWN,
    AbortAnswer,
    Action,
    CancelAttempt,
    Count,
    Finish,
    SendPeer,
    StartAttempt,
)
from .attempts import Attempt, Ending, RetryBudget, Stage, Verdict, decide
from .claims import CLAIMED, TAKEN, ClaimKeeper
from .events import AttemptEnded, RequestArrived
from .fixed_share import FixedShare
from .key_claims import KeyClaims
from .request_state import HeldPermit, Phase, RequestState
from .resources import SteeringPolicy
from .servers import ANSWERED, FAILED, SHED, UNREACHABLE, UNUSED
from .view import View
from .waiting_requests import WaitingRequests

LEASE_RENEWAL_PERIOD_S = 1.0
# Silence of a keeper after which a waiting request uses this host's fixed share. An
# attempt without a new grant, by the fixed share or a reused permit, must start within
# this time as well.
KEEPER_SILENCE_TIMEOUT_S = 0.9
# Time after which a permit is requested again when the host asked was not the keeper.
NOT_KEEPER_RETRY_DELAY_S = 0.05
# Time without an answer after which a claim or a request for a permit is sent again.
REPEAT_ASK_AFTER_S = 2.0
# Maximum number of times in a row that a permit is passed on to another request.
MAX_REUSES = 3
# Service time above which a permit is released and not passed on.
MAX_REUSE_SERVICE_TIME_S = 1.0
# A refusal sent at the deadline would arrive after the caller has timed out, and the
# caller could not know that nothing ran. Refusals are sent earlier, by the smaller of
# this margin and a fraction of the time that the request had on arrival.
REFUSAL_MARGIN_S = 0.03
REFUSAL_MARGIN_FRACTION = 0.1
# An attempt must start within this fraction of its permit's lease.
LEASE_START_FRACTION = 0.5
# Range of the random retry time of refusals that no keeper has made.
RETRY_AFTER_RANGE_S = (0.5, 2.0)

_RELEASE_RESULTS = {
    Ending.CONNECT_FAILED: UNREACHABLE,
    Ending.SERVER_NOT_RUN: SHED,
    Ending.ANSWERED: ANSWERED,
    Ending.SERVER_ERROR: FAILED,
    Ending.BROKEN: FAILED,
    Ending.TRUNCATED: FAILED,
    Ending.TIMED_OUT: FAILED,
    Ending.CANCELLED: UNUSED,
}
_REFUSAL_REASONS = {
    Ending.CONNECT_FAILED: "backend-unreachable",
    Ending.SERVER_NOT_RUN: "backend-shed",
}


class RequestTable:
    """The open requests of this host, from arrival to the final answer.

    Parameters
    ----------
    view : View
        Shared state.
    claims : ClaimKeeper
        Finds the host that owns each shard of idempotency keys.

    Attributes
    ----------
    requests : dict of str to RequestState
        The open requests by id.
    last_refusals : dict of str to str
        Reason of the last refusal of an open request, by service.
    """

    __slots__ = (
        "_deadlines",
        "_fixed_share",
        "_key_claims",
        "_renewed_at",
        "_retry_budgets",
        "_view",
        "_waiting",
        "last_refusals",
        "requests",
    )

    def __init__(self, view: View, claims: ClaimKeeper) -> None:
        self._view = view
        self._key_claims = KeyClaims(view, claims)
        self._fixed_share = FixedShare(view)
        self._waiting = WaitingRequests(self._is_open)
        self.requests: dict[str, RequestState] = {}
        self.last_refusals: dict[str, str] = {}
        self._retry_budgets: dict[str, RetryBudget] = defaultdict(RetryBudget)
        self._deadlines: list[tuple[float, str]] = []
        self._renewed_at = float("-inf")

    def _is_open(self, state: RequestState) -> bool:
        return self.requests.get(state.req.request_id) is state

    def arrived(self, req: RequestArrived, now: float) -> Iterator[Action]:
        """Open a request and ask for a claim or a permit, or refuse it immediately."""
        view = self._view
        if not view.config.complete:
            yield from self._refuse_on_arrival(req, 503, "no-config")
            return
        policy = view.config.policies.get(req.service)
        if policy is None or req.service not in view.config.pools:
            yield Count("refused.unknown-service")
            yield Finish(req.request_id, 404, NOT_RUN, "unknown-service")
            return
        if req.request_id in self.requests:
            yield from self._refuse_on_arrival(req, 409, "duplicate-request-id")
            return
        region = view.region_of(req.service, req.address, req.caller)
        if region is None:
            yield from self._refuse_on_arrival(req, 503, "no-plan")
            return
        state = self._open(req, policy, region, now)
        self._retry_budgets[req.service].earn()
        if req.key and policy.keyed and not state.repeatable:
            yield self._key_claims.ask(state, now)
            return
        yield from self._request_permit(state, now)

    def _refuse_on_arrival(
        self, req: RequestArrived, status: int, reason: str
    ) -> Iterator[Action]:
        yield Count(f"refused.{reason}")
        yield Finish(req.request_id, status, NOT_RUN, reason, self._retry_after_s())

    def _retry_after_s(self) -> float:
        return self._view.rng.uniform(*RETRY_AFTER_RANGE_S)

    def _open(
        self, req: RequestArrived, policy: SteeringPolicy, region: str, now: float
    ) -> RequestState:
        remaining_s = req.remaining_s or policy.deadline_ms / 1000.0
        repeatable = req.repeatable
        if repeatable is None:
            repeatable = req.method.upper() not in policy.non_repeatable
        state = RequestState(req, now + remaining_s, region, repeatable)
        self.requests[req.request_id] = state
        margin_s = min(REFUSAL_MARGIN_S, REFUSAL_MARGIN_FRACTION * remaining_s)
        state.give_up_at = state.deadline_at - margin_s
        heappush(self._deadlines, (state.give_up_at, req.request_id))
        return state

    def _review_claim(self, state: RequestState, now: float) -> Iterator[Action]:
        """Send the claim again if the shard's owner changed or the answer may be lost.

        The claim keeps its id, so that a repeated claim is not considered a duplicate.
        """
        if (
            self._key_claims.owner_moved(state, now)
            or now - state.asked_at > REPEAT_ASK_AFTER_S
        ):
            yield Count("retries.claim-again")
            yield self._key_claims.ask(state, now)

    def claim_ended(self, ended: msg.ClaimEnded, now: float) -> Iterator[Action]:
        """Continue a request whose claim is decided."""
        state = self.requests.get(ended.request_id)
        awaits_claim = state is not None and state.phase is Phase.CLAIM
        if not awaits_claim or state.claim != ended.claim:
            return
        if ended.outcome == CLAIMED:
            yield from self._request_permit(state, now)
        elif ended.outcome == TAKEN:
            # The request that holds the key may have run. This copy of it did not, but
            # the outcome "not run" would invite the caller to book again under a new
            # key.
            state.key_hash = ""
            yield from self._finish(state, 409, UNKNOWN, "duplicate-key", now)
        else:
            yield from self._refuse(
                state, "store-unavailable", self._retry_after_s(), now
            )

    def _request_permit(self, state: RequestState, now: float) -> Iterator[Action]:
        if now >= state.give_up_at:
            yield from self._refuse(state, "deadline", self._retry_after_s(), now)
            return
        state.phase = Phase.PERMIT
        state.asked_at = now
        state.keeper = self._view.keeper_of(state.req.service, state.region, now)
        self._waiting.add(state)
        yield self._send_acquire(state, now)

    def _send_acquire(self, state: RequestState, now: float) -> SendPeer:
        state.ask_again_at = now + REPEAT_ASK_AFTER_S
        acquire = msg.Acquire(
            state.req.service,
            state.region,
            state.req.request_id,
            state.deadline_at - now,
            sorted(state.exclude),
        )
        return SendPeer(state.keeper, acquire)

    def granted(self, host_id: str, grant: msg.Grant, now: float) -> Iterator[Action]:
        """Start an attempt with a permit, or release it if no request waits for it."""
        state = self.requests.get(grant.request_id)
        is_awaited = (
            state is not None
            and state.phase is Phase.PERMIT
            and state.keeper == host_id
            and state.region == grant.region
        )
        if not is_awaited:
            yield self._release_unused(host_id, grant)
            return
        state.held = HeldPermit(grant.permit, grant.server_id, host_id)
        yield from self._start(state, grant.lease_s * LEASE_START_FRACTION, now)

    def _release_unused(self, host_id: str, grant: msg.Grant) -> SendPeer:
        release = msg.Release(
            grant.service, grant.region, grant.permit, grant.server_id, UNUSED, 0.0
        )
        return SendPeer(host_id, release)

    def _start(
        self, state: RequestState, start_within_s: float, now: float
    ) -> Iterator[Action]:
        """Start an attempt with the permit that a request holds.

        If the server of the permit is gone or leaving, the permit is released, and a
        permit for another server is requested.
        """
        server_id = state.held.server_id
        server = self._view.server(state.req.service, server_id)
        leaving = self._view.leaving_servers(state.req.service)
        if server is None or server_id in leaving:
            # The permit was granted before the keeper saw that the server was removed
            # or is draining: no new request may start there.
            yield from self._release_permit(state, UNUSED, 0.0)
            state.exclude.add(server_id)
            yield from self._request_permit(state, now)
            return
        state.phase = Phase.ATTEMPT
        state.attempt_count += 1
        state.attempt = Attempt(state.attempt_count, server_id)
        if state.attempt_count > 1:
            yield Count("attempts.retried")
        yield StartAttempt(
            state.req.request_id,
            state.attempt_count,
            server_id,
            server.address,
            state.deadline_at - now,
            start_within_s,
            state.region != self._view.own.region,
            state.repeatable,
        )

    def denied(self, host_id: str, denial: msg.Denied, now: float) -> Iterator[Action]:
        """Refuse the request as the keeper did, or ask again after a short pause.

        The pause is for a denial by a host that is not the keeper; the request then
        goes to the host that should be the keeper by that time.
        """
        state = self.requests.get(denial.request_id)
        if state is None or state.phase is not Phase.PERMIT:
            return
        if state.keeper != host_id or state.region != denial.region:
            return
        if denial.reason == "not-keeper":
            state.phase = Phase.PAUSE
            state.resume_at = now + NOT_KEEPER_RETRY_DELAY_S
            yield Count("retries.not-keeper")
            return
        yield from self._refuse(state, denial.reason, denial.retry_after_s, now)

    def _release_permit(
        self, state: RequestState, result: str, service_s: float
    ) -> Iterator[Action]:
        held = state.held
        state.held = None
        if held is None:
            return
        service = state.req.service
        release = msg.Release(
            service, state.region, held.permit_id, held.server_id, result, service_s
        )
        keeper = held.keeper
        yield SendPeer(keeper, release)

    def _take_successor(
        self, state: RequestState, ended: AttemptEnded, now: float
    ) -> RequestState | None:
        """Take the oldest waiting request out of its queue if it can use the permit.

        The result is None if the permit must be released instead.

        A slot is idle while its permit is released to the keeper and granted again. At
        a service time of 20 ms that costs several percent of the pool's capacity.
        Passing the permit on to a request of the same host saves the network round
        trip. A permit is passed on only a few times in a row: otherwise the first hosts
        to get slots would keep them from the other hosts.
        """
        held = state.held
        if held is None or ended.ending is not Ending.ANSWERED:
            return None
        if held.reuse_count >= MAX_REUSES or ended.service_s > MAX_REUSE_SERVICE_TIME_S:
            return None
        if held.server_id in self._view.leaving_servers(state.req.service):
            return None
        return self._waiting.take_for(state.req.service, state.region, held, now)

    def _pass_permit_on(
        self, state: RequestState, successor: RequestState, service_s: float, now: float
    ) -> Iterator[Action]:
        held = state.held
        state.held = None
        held.reuse_count += 1
        successor.held = held
        yield Count("permits.reused")
        reuse = msg.Reuse(
            successor.req.service,
            successor.region,
            held.permit_id,
            held.server_id,
            service_s,
            successor.req.request_id,
        )
        yield SendPeer(held.keeper, reuse)
        yield from self._start(successor, KEEPER_SILENCE_TIMEOUT_S, now)

    def held(self, service: str, region: str) -> list[tuple[str, int]]:
        """Return (server id, permit id) of each permit that this host's requests hold.

        Only permits for the service and the region are included.
        """
        return [
            (state.held.server_id, state.held.permit_id)
            for state in self.requests.values()
            if state.held is not None
            and state.req.service == service
            and state.region == region
        ]

    def first_byte(self, request_id: str, attempt_number: int) -> None:
        """Record that the backend server may run the request from now on.

        Here and in `head_forwarded`, an attempt that is not the current one is ignored.
        """
        attempt = self._attempt(request_id, attempt_number)
        if attempt is not None:
            attempt.first_byte_written()

    def head_forwarded(self, request_id: str, attempt_number: int) -> None:
        """Record that the caller has begun to receive the response."""
        attempt = self._attempt(request_id, attempt_number)
        if attempt is not None:
            attempt.head_forwarded = True

    def _attempt(self, request_id: str, attempt_number: int) -> Attempt | None:
        state = self.requests.get(request_id)
        if (
            state is None
            or state.attempt is None
            or state.attempt.number != attempt_number
        ):
            return None
        return state.attempt

    def attempt_ended(self, ended: AttemptEnded, now: float) -> Iterator[Action]:
        """Release the permit or pass it on, then act on the verdict on the request."""
        state = self.requests.get(ended.request_id)
        attempt = self._attempt(ended.request_id, ended.attempt)
        if state is None or attempt is None:
            return
        attempt.end(ended.ending)
        if attempt.stage is Stage.UNKNOWN:
            state.may_have_run = True
        successor = self._take_successor(state, ended, now)
        if successor is not None:
            yield from self._pass_permit_on(state, successor, ended.service_s, now)
        else:
            result = _RELEASE_RESULTS[ended.ending]
            yield from self._release_permit(state, result, ended.service_s)
        yield Count(f"attempts.{ended.ending.value}")
        budget = self._retry_budgets[state.req.service]
        verdict = decide(
            attempt,
            ended.ending,
            repeatable=state.repeatable,
            body_replayable=ended.body_replayable,
            time_left=now < state.give_up_at,
            budget_left=budget.available(),
        )
        if verdict is Verdict.RETRY:
            budget.spend()
            yield Count(f"retries.{ended.ending.value}")
            if ended.ending is not Ending.SERVER_NOT_RUN:
                state.exclude.add(attempt.server_id)
            yield from self._request_permit(state, now)
            return
        yield from self._settle(state, verdict, ended.ending, now)

    def _settle(
        self, state: RequestState, verdict: Verdict, ending: Ending, now: float
    ) -> Iterator[Action]:
        if verdict is Verdict.REFUSE:
            reason = _REFUSAL_REASONS.get(ending, "not-sent")
            yield from self._refuse(state, reason, self._retry_after_s(), now)
        elif verdict is Verdict.UNKNOWN:
            status = 504 if ending is Ending.TIMED_OUT else 502
            yield from self._finish(state, status, UNKNOWN, ending.value, now)
        elif verdict is Verdict.ABORT:
            self._close(state)
            yield Count(f"aborted.{ending.value}")
            yield AbortAnswer(state.req.request_id)
        else:
            self._close(state)
            yield Count("answered")

    def _refuse(
        self, state: RequestState, reason: str, retry_after_s: float, now: float
    ) -> Iterator[Action]:
        """Refuse as not run, unless an earlier attempt may have run.

        Guards against a false "not run": the first attempt of a read loses its
        response and the second attempt is refused. "Not run" would be true of the
        second attempt, but not of the request. The outcome is "unknown" instead.
        """
        self.last_refusals[state.req.service] = reason
        if state.may_have_run:
            yield from self._finish(state, 502, UNKNOWN, reason, now, retry_after_s)
        else:
            yield from self._finish(state, 503, NOT_RUN, reason, now, retry_after_s)

    def _finish(
        self,
        state: RequestState,
        status: int,
        outcome: str,
        reason: str,
        now: float,
        retry_after_s: float = 0.0,
    ) -> Iterator[Action]:
        self._close(state)
        kind = "refused" if outcome == NOT_RUN else "unknown"
        yield Count(f"{kind}.{reason}")
        if outcome == NOT_RUN:
            yield from self._key_claims.free(state, now)
        yield Finish(state.req.request_id, status, outcome, reason, retry_after_s)

    def _close(self, state: RequestState) -> None:
        self.requests.pop(state.req.request_id, None)

    def cancelled(self, request_id: str, now: float) -> Iterator[Action]:
        """Stop a request whose caller has disconnected.

        A request with an attempt under way ends when the cancelled attempt does.
        """
        state = self.requests.get(request_id)
        if state is None:
            return
        yield Count("cancelled")
        if state.phase is Phase.PERMIT:
            yield from self._withdraw(state)
        if state.phase is Phase.ATTEMPT:
            attempt_number = state.attempt.number
            yield CancelAttempt(request_id, attempt_number, Ending.CANCELLED)
            return
        self._close(state)
        yield from self._key_claims.free(state, now)

    def _withdraw(self, state: RequestState) -> Iterator[Action]:
        withdrawal = msg.Withdraw(state.req.service, state.region, state.req.request_id)
        yield SendPeer(state.keeper, withdrawal)

    def tick(self, now: float) -> Iterator[Action]:
        """End overdue requests, ask again where necessary and renew leases."""
        yield from self._end_overdue(now)
        self._waiting.sweep()
        for state in list(self.requests.values()):
            if state.phase is Phase.PERMIT:
                yield from self._review_permit_wait(state, now)
            elif state.phase is Phase.CLAIM:
                yield from self._review_claim(state, now)
            elif state.phase is Phase.PAUSE and now >= state.resume_at:
                yield from self._request_permit(state, now)
        if now - self._renewed_at >= LEASE_RENEWAL_PERIOD_S:
            self._renewed_at = now
            yield from self._renew(now)

    def _end_overdue(self, now: float) -> Iterator[Action]:
        """End the requests whose time is over.

        A request with an attempt under way ends at `RequestState.deadline_at`, unless
        its response is being forwarded; any other request ends at
        `RequestState.give_up_at`.
        """
        while self._deadlines and self._deadlines[0][0] <= now:
            due, request_id = heappop(self._deadlines)
            state = self.requests.get(request_id)
            if state is None or due not in (state.give_up_at, state.deadline_at):
                continue
            if state.phase is Phase.ATTEMPT and due < state.deadline_at:
                heappush(self._deadlines, (state.deadline_at, request_id))
                continue
            yield from self._time_out(state, now)

    def _time_out(self, state: RequestState, now: float) -> Iterator[Action]:
        if state.phase is Phase.ATTEMPT:
            # The driver reports the cancelled attempt with an AttemptEnded, which
            # settles its stage. A response that is already being forwarded to the
            # caller is left to complete.
            if not state.attempt.head_forwarded:
                attempt_number = state.attempt.number
                yield CancelAttempt(
                    state.req.request_id, attempt_number, Ending.TIMED_OUT
                )
            return
        if state.phase is Phase.PERMIT:
            yield from self._withdraw(state)
        yield from self._refuse(state, "deadline", self._retry_after_s(), now)

    def _review_permit_wait(self, state: RequestState, now: float) -> Iterator[Action]:
        """Ask for the permit again, or use the fixed share.

        After a change of keeper, the new keeper is asked. Without a reply for
        `REPEAT_ASK_AFTER_S`, the same keeper is asked again. The fixed share is used if
        the keeper is silent.
        """
        view = self._view
        keeper = view.keeper_of(state.req.service, state.region, now)
        if keeper != state.keeper:
            yield Count("retries.keeper-changed")
            yield from self._withdraw(state)
            yield from self._request_permit(state, now)
            return
        if now >= state.ask_again_at:
            # The message to the keeper or the keeper's reply may have been lost with a
            # connection. The keeper recognises a repeated message by its request id.
            yield Count("retries.ask-again")
            yield self._send_acquire(state, now)
            return
        silence_s = view.members.silence_s(keeper, now)
        if min(silence_s, now - state.asked_at) > KEEPER_SILENCE_TIMEOUT_S:
            yield from self._use_fixed_share(state, now)

    def _use_fixed_share(self, state: RequestState, now: float) -> Iterator[Action]:
        """Start an attempt without a keeper's permit, if the fixed share has room.

        The fixed share is this host's share of the region's slots, see `FixedShare`.
        """
        in_use = self.held(state.req.service, state.region)
        held = self._fixed_share.take(state, in_use, now)
        if held is None:
            return
        yield from self._withdraw(state)
        yield Count("attempts.fixed-share")
        state.held = held
        yield from self._start(state, KEEPER_SILENCE_TIMEOUT_S, now)

    def _renew(self, now: float) -> Iterator[Action]:
        """Renew the leases of all permits in use with the current keepers."""
        held: dict[tuple[str, str], list[tuple[str, int]]] = defaultdict(list)
        for state in self.requests.values():
            if state.held is None:
                continue
            key = (state.req.service, state.region)
            held[key].append((state.held.server_id, state.held.permit_id))
            # The current keeper gets the renewal, so it must get the release as well.
            state.held.keeper = self._view.keeper_of(*key, now)
        for (service, region), slots in held.items():
            keeper = self._view.keeper_of(service, region, now)
            yield SendPeer(keeper, msg.Renew(service, region, slots))
