"""How a host detects the crash of a server and what it announces to other hosts."""

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
SERVER = ENTRY.incarnation


class ScriptedBackends:
    """Connections to servers; attempts to open one end when the test sets `go`."""

    def __init__(self, reason=""):
        self.reason = reason
        self.attempts = 0
        self.go = asyncio.Event()

    async def open_spare(self, entry, settle_s):
        self.attempts += 1
        await self.go.wait()
        if self.reason:
            raise HttpError(self.reason, sent=False)
        return True


def crash_watch(backends):
    rng = random.Random(1)
    placement = Placement("a", {"a1": "a"}, rng, 1.5, 5.0)
    steering = Steering(placement, ObjectDecoder(), rng, 0.2, 64.0)
    return CrashWatch(steering, backends, Metrics(), lambda: 100.0)


def run_scenario(backends, scenario):
    async def run():
        crashes = crash_watch(backends)
        async with asyncio.timeout(10):
            await scenario(crashes)

    asyncio.run(run())


def test_connections_that_broke_together_cause_one_check_and_one_crash():
    backends = ScriptedBackends("connect-refused")

    async def scenario(crashes):
        first = crashes.connection_broke(ENTRY, "r1")
        assert crashes.connection_broke(ENTRY, "r2") is first
        backends.go.set()
        await first
        assert backends.attempts == 1
        assert crashes.ledger.crash_requests(SERVER) == {"r1", "r2"}
        # For a connection that breaks later the server is not checked again.
        assert crashes.connection_broke(ENTRY, "r3") is None
        assert crashes.ledger.crash_requests(SERVER) == {"r1", "r2", "r3"}

    run_scenario(backends, scenario)


@pytest.mark.parametrize("reason", ["", "connect-failed", "connection-limit"])
def test_a_server_that_does_not_refuse_connections_has_not_crashed(reason):
    backends = ScriptedBackends(reason)

    async def scenario(crashes):
        backends.go.set()
        await crashes.connection_broke(ENTRY, "r1")
        assert not crashes.ledger.has_suspects
        assert not crashes.ledger.has_crashed(SERVER)

    run_scenario(backends, scenario)


@pytest.mark.parametrize("reason", ["connect-refused", "connect-failed"])
def test_requests_here_count_also_when_another_host_reports_the_crash_first(reason):
    # A request crashes a server of another region. A host near that server also has a
    # request there and reports the crash before this host's own check has ended. If
    # requests here were reported only for crashes that are not known yet, the request
    # that caused the crash would never count and would go on to the next server.
    backends = ScriptedBackends(reason)

    async def scenario(crashes):
        check = crashes.connection_broke(ENTRY, "bad")
        crashes.receive("host-2", msg.ServerEnded(*SERVER, ["innocent"]))
        backends.go.set()
        await check
        assert crashes.ledger.crash_requests(SERVER) == {"bad", "innocent"}
        sources = [item.source for item in crashes.gossip.since(0)]
        assert sources == ["host-2", ""]

    run_scenario(backends, scenario)
