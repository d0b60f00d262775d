"""A popular request of the soak, which servers answer and which is often interrupted.

It runs for so long that it is at a server of its service most of the time, also when
that server crashes under another request or is killed.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from .findings import Violation

if TYPE_CHECKING:
    from .ledger import Ledger, Reply

POPULAR_TARGET = "/calendar/popular"
# How much longer than others the popular request runs, in seconds.
POPULAR_RUN_S = 0.3
# Number of callers that send it, and their pause after each answer, in seconds.
POPULAR_CALLERS = 4
POPULAR_PAUSE_S = (0.0, 0.1)
# Crashes of servers under a request that quarantine it.
QUARANTINE_CRASHES = 3
# Time after an answer in which hosts may still refuse the request, in seconds.
CLEARED_S = 3.0
# Status and text in the body of the refusal.
REFUSED = 503
QUARANTINED = b"quarantined"


def popular_violations(ledger: "Ledger") -> Iterator[Violation]:
    """Yield refusals of the popular request although a server has answered it.

    Up to `CLEARED_S` after an answer, and once three servers have ended since, the
    request may be refused. Only answers and refusals of undisturbed hosts count.
    """
    popular = [
        reply
        for reply in sorted(ledger.replies, key=lambda reply: reply.at)
        if ledger.sent[reply.request_id].target == POPULAR_TARGET
        and ledger.sent_undisturbed(ledger.sent[reply.request_id])
    ]
    answered_at = float("inf")
    for reply in popular:
        if reply.status == 200:
            answered_at = reply.at
        elif _is_refused(ledger, reply, answered_at):
            text = f"{reply.request_id}: refused, answered {answered_at:.2f} s"
            yield Violation("CLEARED", reply.at, text)


def _is_refused(ledger: "Ledger", reply: "Reply", answered_at: float) -> bool:
    if reply.status != REFUSED or QUARANTINED not in reply.body:
        return False
    # A server may have ended shortly before the answer and be found out after it.
    since = answered_at - CLEARED_S
    ends = sum(since <= at <= reply.at for at in ledger.server_ends)
    sent_at = ledger.sent[reply.request_id].at
    return sent_at > answered_at + CLEARED_S and ends < QUARANTINE_CRASHES
