"""A popular request of the soak, which servers answer although three crash under it.

At the start of a run one server holds its first copy, and the servers of the next three
copies crash. The held copy is answered while the store, which is slow with quarantines,
still carries out the write of the request's quarantine. From then on the request is
harmless.
"""

import asyncio
from collections.abc import Iterator
from typing import TYPE_CHECKING

from .findings import Violation

if TYPE_CHECKING:
    from .ledger import Ledger, Reply

POPULAR = "popular"
POPULAR_TARGET = "/calendar/popular"
# How much longer than others the popular request runs, in seconds.
POPULAR_RUN_S = 0.3
# Delay of the store's writes and watches of quarantines, in seconds.
QUARANTINE_DELAY_S = 0.5
# Time from the third crash to the answer of the held copy, in seconds: hosts have asked
# the store by then, and it has not written yet.
ANSWERED_AFTER_S = 0.3
# Longest time for which the first copy is held, in seconds.
MAX_HELD_S = 1.5
# Longest time for which a copy runs, in seconds: its caller waits for two.
MAX_RUN_S = 2.0
# Number of callers that send it, and their pause after each answer, in seconds.
POPULAR_CALLERS = 4
POPULAR_PAUSE_S = (0.0, 0.1)
# Crashes of servers under a request that quarantine it.
QUARANTINE_CRASHES = 3
# Time after an answer in which hosts may still refuse the request, in seconds.
CLEARED_S = 3.0
# Time from a crash until all undisturbed hosts know of it, in seconds.
CRASH_KNOWN_S = 0.1
# Time after its first copy in which a caller sends no other, in seconds: writes and
# watches of the quarantine arrive in it.
POPULAR_QUIET_S = 2.5
# Status and text in the body of the refusal.
REFUSED = 503
QUARANTINED = b"quarantined"


class PopularRequest:
    """What becomes of the copies of the popular request at servers."""

    __slots__ = ("_go", "_holder", "_to_crash")

    def __init__(self) -> None:
        self._holder = ""
        self._go = asyncio.Event()
        self._to_crash = QUARANTINE_CRASHES

    async def run(self, server_id: str) -> bool:
        """Run a copy at a server; return whether the server crashes."""
        if not self._holder:
            self._holder = server_id
            try:
                async with asyncio.timeout(MAX_HELD_S):
                    await self._go.wait()
            except TimeoutError:
                # Fewer than three copies reached other servers.
                self._to_crash = 0
            return False
        if server_id != self._holder and self._to_crash:
            self._to_crash -= 1
            if not self._to_crash:
                loop = asyncio.get_running_loop()
                loop.call_later(ANSWERED_AFTER_S, self._go.set)
            return True
        await asyncio.sleep(POPULAR_RUN_S)
        return False


def popular_violations(ledger: "Ledger") -> Iterator[Violation]:
    """Yield refusals of the popular request although a server has answered it.

    Up to `CLEARED_S` after an answer, and once three servers have ended since that were
    running it, the request may be refused. Only answers and refusals of undisturbed
    hosts count.
    """
    answered_at = float("inf")
    ends = list(_ends_under_it(ledger))
    for reply in sorted(ledger.replies, key=lambda reply: reply.at):
        sent = ledger.sent[reply.request_id]
        if sent.target != POPULAR_TARGET:
            continue
        if reply.status == 200 and ledger.host_undisturbed(sent):
            answered_at = reply.at
        elif _is_quarantined(reply) and sent.at > answered_at + CLEARED_S:
            since = answered_at - CRASH_KNOWN_S
            crashes = sum(since <= at <= reply.at for at in ends)
            if crashes < QUARANTINE_CRASHES and ledger.sent_undisturbed(sent):
                text = f"{reply.request_id}: refused, answered {answered_at:.2f} s"
                yield Violation("CLEARED", reply.at, text)


def _is_quarantined(reply: "Reply") -> bool:
    return reply.status == REFUSED and QUARANTINED in reply.body


def _ends_under_it(ledger: "Ledger") -> Iterator[float]:
    """Yield when servers ended that may have been running the popular request."""
    runs = [
        run
        for runs in ledger.runs.values()
        for run in runs
        if run.target == POPULAR_TARGET
    ]
    for at, server_id in ledger.server_ends:
        if any(
            run.server_id == server_id and 0.0 <= at - run.at <= MAX_RUN_S
            for run in runs
        ):
            yield at
