"""Takes what attempts show of backend servers into what this host believes."""

from dataclasses import dataclass

from ..core.attempts import Ending
from ..core.placement import Server
from .attempt import Answer, reported_load
from .context import Gateway

CONNECT_FAILED = "connect-failed"


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


def learn(gateway: Gateway, server: Server, result: AttemptResult) -> None:
    """Take the end of an attempt into the evidence, the latencies and the load."""
    now = gateway.now()
    if result.answer is not None:
        load = reported_load(result.answer.head)
        if load is not None:
            gateway.steering.placement.learn_load(server, load, now)
    if result.ending in (Ending.ANSWERED, Ending.SERVER_ERROR):
        _learn_answer(gateway, server, result, now)
        return
    _learn_failure(server, result, now)


def _learn_answer(
    gateway: Gateway, server: Server, result: AttemptResult, now: float
) -> None:
    placement = gateway.steering.placement
    service = server.entry.service
    good = result.ending is Ending.ANSWERED
    usual = placement.usual_latency(service)
    server.evidence.answered(result.number, now, usual, good=good)
    if good:
        placement.learn_latency(server, now - result.began)
        gateway.metrics.observe(f"server.{service}", now - result.began)


def _learn_failure(server: Server, result: AttemptResult, now: float) -> None:
    evidence = server.evidence
    ending = result.ending
    if ending is Ending.SERVER_NOT_RUN:
        # A server that is full sheds rightly; one that sheds with free slots, or whose
        # address now belongs to another incarnation, is passed over.
        full = (reported_load(result.answer.head) or 0) >= server.entry.slots
        evidence.shed(result.number, now, full=full)
    elif ending is Ending.CONNECT_FAILED and result.why == CONNECT_FAILED:
        evidence.unreachable(result.number, now)
    elif ending is Ending.CONNECT_FAILED or result.gone:
        evidence.forgotten(result.number)
    elif ending in (Ending.TIMED_OUT, Ending.CANCELLED):
        evidence.timed_out(result.number, now)
    else:
        evidence.failed(result.number, now)
