"""Updates what this host assumes about backend servers after each attempt."""

from dataclasses import dataclass

from ..core.attempts import Ending
from ..core.paths.path import Path
from ..core.placement.placement_types import Choice
from .attempt import MISDIRECTED, Answer, was_full
from .backend_connection import REFUSED, UNREACHABLE
from .context import Gateway
from .faults import INTERNAL_ERROR
from .paces import reported_factor
from .paths.reasons import HOST_REASONS

# Failure reasons that show that the server cannot be reached.
CONNECT_FAILURES = (REFUSED, UNREACHABLE)


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How one attempt ended.

    Attributes
    ----------
    attempt_id : int
        Unique in this process.
    ending : Ending
        How the attempt ended.
    failure_reason : str
        Stable code of the request's latest failure, of this attempt or an earlier one;
        empty if there was none or if this attempt was superseded.
    began_at : float
        Monotonic time at which the attempt began, in seconds.
    answer : Answer or None
        The server's response, None when none was received.
    caller_gone : bool
        Whether the caller had left. An attempt that was cancelled, timed out or broke
        then says nothing about the server.
    """

    attempt_id: int
    ending: Ending
    failure_reason: str
    began_at: float
    answer: Answer | None
    caller_gone: bool


def record_result(gateway: Gateway, choice: Choice, result: AttemptResult) -> None:
    """Record the result of an attempt in the server's health and latency.

    The share of failed attempts of the server's service is updated too if the server
    has responded, also if it has shed the request, or if the attempt broke while its
    caller was there.
    """
    now = gateway.now()
    if result.ending in (Ending.ANSWERED, Ending.SERVER_ERROR):
        _record_answer(gateway, choice, result, now)
    else:
        if result.ending in (Ending.SERVER_NOT_RUN, Ending.CONNECT_FAILED):
            gateway.steering.placement.not_run(choice)
        _record_failure(gateway, choice, result, now)
    # Only now are requests counted that have ended without an answer.
    choice.server.note_ended()


def _record_answer(
    gateway: Gateway, choice: Choice, result: AttemptResult, now: float
) -> None:
    placement = gateway.steering.placement
    server = choice.server
    good = result.ending is Ending.ANSWERED
    server.health_on(choice.path).answered(result.attempt_id, now, good=good)
    placement.eligibility.learn_outcome(server.entry.service, failed=not good)
    if good:
        latency_s = now - result.began_at
        reported_pace = reported_factor(gateway, result.answer.head)
        placement.learn_answer(choice, latency_s, now, reported_pace)
        gateway.metrics.observe(f"server.{server.entry.service}", latency_s)


def _record_failure(
    gateway: Gateway, choice: Choice, result: AttemptResult, now: float
) -> None:
    server = choice.server
    health = server.health_on(choice.path)
    placement = gateway.steering.placement
    ending = result.ending
    misdirected = _is_misdirected(result)
    if misdirected or ending in (Ending.TIMED_OUT, Ending.CANCELLED):
        placement.silence.withdrew(server, now)
    if misdirected:
        # The address belongs to another process now. The entry of the server that had
        # it may stay for some heartbeats.
        health.crashed(now)
        health.abandoned(result.attempt_id)
        gateway.metrics.count("servers.misdirected")
    elif ending is Ending.SERVER_NOT_RUN:
        # A full server sheds requests as it should. A server counts as failing when it
        # sheds without reporting that all its slots are taken.
        full = was_full(result.answer, server.entry.slots)
        health.shed(result.attempt_id, now, full=full)
        placement.eligibility.learn_outcome(server.entry.service, failed=not full)
    elif ending is Ending.CONNECT_FAILED and result.failure_reason in CONNECT_FAILURES:
        health.unreachable(result.attempt_id, now)
        _check_path(gateway, choice, result)
    elif result.caller_gone:
        health.abandoned(result.attempt_id)
    elif ending is Ending.CONNECT_FAILED and result.failure_reason == INTERNAL_ERROR:
        # Perhaps this server alone causes the fault, so others are tried first.
        health.failed(result.attempt_id, now)
    elif ending is Ending.CONNECT_FAILED:
        health.abandoned(result.attempt_id)
    elif ending in (Ending.TIMED_OUT, Ending.CANCELLED):
        if placement.silence.trial_failed(server, now):
            # Known already; several such attempts must not count as several failures.
            health.abandoned(result.attempt_id)
        elif health.timed_out(result.attempt_id, now) and choice.path is Path.DIRECT:
            gateway.on_path_silence(server.entry, now)
    elif result.failure_reason in HOST_REASONS:
        # The host in between has failed, not the server.
        health.abandoned(result.attempt_id)
    else:
        health.failed(result.attempt_id, now)
        placement.eligibility.learn_outcome(server.entry.service, failed=True)


def _is_misdirected(result: AttemptResult) -> bool:
    """Return whether another process answered at the address of the server."""
    return result.answer is not None and result.answer.head.status == MISDIRECTED


def _check_path(gateway: Gateway, choice: Choice, result: AttemptResult) -> None:
    """Check why a direct connection failed.

    A connection of another host that failed is checked by that host.
    """
    if choice.path is not Path.DIRECT:
        return
    entry = choice.server.entry
    if result.failure_reason == REFUSED:
        gateway.crashes.connection_refused(entry)
    else:
        gateway.on_path_failure(entry, result.began_at)
