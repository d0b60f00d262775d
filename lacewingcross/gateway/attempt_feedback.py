"""Takes what attempts show of backend servers into what this host believes."""

from dataclasses import dataclass

from ..core.attempts import Ending
from ..core.backend_state import Server
from ..core.placement_types import Choice
from .attempt import Answer, reported_load, was_full
from .backend_connection import REFUSED, UNREACHABLE
from .context import Gateway

# Ends of attempts that show that the server cannot be reached.
NO_CONNECTION = (REFUSED, UNREACHABLE)


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How one attempt ended.

    `number` is unique in this process, `began` a monotonic reading in seconds; `gone`
    tells that the caller had left, so that the end says nothing of the server.
    """

    number: int
    ending: Ending
    why: str
    began: float
    answer: Answer | None
    gone: bool


def learn(gateway: Gateway, choice: Choice, result: AttemptResult) -> None:
    """Take the end of an attempt into the evidence, the latencies and the load."""
    now = gateway.now()
    server = choice.server
    if result.answer is not None:
        load = reported_load(result.answer.head)
        if load is not None:
            gateway.steering.placement.known.learn_load(server, load, now)
    if result.ending in (Ending.ANSWERED, Ending.SERVER_ERROR):
        _learn_answer(gateway, choice, result, now)
        return
    if result.ending in (Ending.SERVER_NOT_RUN, Ending.CONNECT_FAILED):
        gateway.steering.placement.not_run(choice)
    _learn_failure(gateway, server, result, now)


def _learn_answer(
    gateway: Gateway, choice: Choice, result: AttemptResult, now: float
) -> None:
    placement = gateway.steering.placement
    server = choice.server
    good = result.ending is Ending.ANSWERED
    server.passive_health.answered(result.number, now, good=good)
    placement.eligibility.learn_outcome(server.entry.service, failed=not good)
    if good:
        latency_s = now - result.began
        placement.learn_answer(choice, latency_s, now)
        gateway.metrics.observe(f"server.{server.entry.service}", latency_s)


def _learn_failure(
    gateway: Gateway, server: Server, result: AttemptResult, now: float
) -> None:
    evidence = server.passive_health
    placement = gateway.steering.placement
    ending = result.ending
    if ending is Ending.SERVER_NOT_RUN:
        # A server that is full sheds rightly; one that sheds with free slots, or whose
        # address now belongs to another incarnation, is passed over.
        full = was_full(result.answer, server.entry.slots)
        evidence.shed(result.number, now, full=full)
        placement.eligibility.learn_outcome(server.entry.service, failed=not full)
    elif ending is Ending.CONNECT_FAILED and result.why in NO_CONNECTION:
        evidence.unreachable(result.number, now)
        if result.why == REFUSED:
            gateway.crashes.refused(server.entry)
    elif ending is Ending.CONNECT_FAILED or result.gone:
        evidence.abandoned(result.number)
    elif ending in (Ending.TIMED_OUT, Ending.CANCELLED):
        evidence.timed_out(result.number, now)
    else:
        evidence.failed(result.number, now)
        placement.eligibility.learn_outcome(server.entry.service, failed=True)
