"""A host finds out whether a server has ended, and what it tells of it."""

import asyncio
import random

import pytest

from lacewingcross.core import messages as msg
from lacewingcross.core.backend_state import ServerEntry
from lacewingcross.core.placement import Placement
from lacewingcross.core.steering import Steering
from lacewingcross.gateway.crashes import CrashWatch
from lacewingcross.http1_client import HttpError
from lacewingcross.metrics import Metrics
from lacewingcross.platform.objects import ObjectDecoder

ENTRY = ServerEntry("i-1", "calendar", "10.0.0.1:80", "a1", 4, False, 0.0, 7)
END = ENTRY.incarnation


class Answers:
    """Connections to servers that answer when the test says so."""

    def __init__(self, reason=""):
        self.reason = reason
        self.asked = 0
        self.go = asyncio.Event()

    async def spare(self, entry, settle_s):
        self.asked += 1
        await self.go.wait()
        if self.reason:
            raise HttpError(self.reason, sent=False)
        return True


def watch(answers):
    rng = random.Random(1)
    placement = Placement("a", {"a1": "a"}, rng, 1.5, 5.0)
    steering = Steering(placement, ObjectDecoder(), rng, 0.2, 64.0)
    return CrashWatch(steering, answers, Metrics(), lambda: 100.0)


def check(answers, play):
    async def run():
        made = watch(answers)
        async with asyncio.timeout(10):
            await play(made)

    asyncio.run(run())


def test_requests_that_broke_together_are_asked_for_once_and_told_together():
    answers = Answers("connect-refused")

    async def play(made):
        first = made.broke(ENTRY, "r1")
        assert made.broke(ENTRY, "r2") is first
        answers.go.set()
        await first
        assert answers.asked == 1
        assert made.ledger.crash_requests(END) == {"r1", "r2"}
        # A request that breaks later needs no question any more.
        assert made.broke(ENTRY, "r3") is None
        assert made.ledger.crash_requests(END) == {"r1", "r2", "r3"}

    check(answers, play)


@pytest.mark.parametrize("reason", ["", "connect-failed", "connection-limit"])
def test_a_server_that_does_not_refuse_connections_has_not_ended(reason):
    answers = Answers(reason)

    async def play(made):
        answers.go.set()
        await made.broke(ENTRY, "r1")
        assert not made.ledger.watches
        assert not made.ledger.has_crashed(END)

    check(answers, play)


@pytest.mark.parametrize("reason", ["connect-refused", "connect-failed"])
def test_what_broke_here_counts_also_when_another_host_was_first(reason):
    # A request ends a server of another region. A host beside that server has a request
    # there, too, and tells of the end before this host's own question is answered. The
    # request that did it was never counted, and went on to the next server: what broke
    # here was told only if nobody had told of that server yet.
    answers = Answers(reason)

    async def play(made):
        asked = made.broke(ENTRY, "bad")
        made.receive("host-2", msg.ServerEnded(*END, ["innocent"]))
        answers.go.set()
        await asked
        assert made.ledger.crash_requests(END) == {"bad", "innocent"}
        told = [piece.source for piece in made.gossip.since(0)]
        assert told == ["host-2", ""]

    check(answers, play)
