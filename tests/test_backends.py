"""Connections to backend servers: whose they are, and when they are used again."""

import asyncio

import pytest

from lacewingcross.core.backend_state import ServerEntry
from lacewingcross.gateway.backends import Backends
from lacewingcross.http1_client import HttpError
from tests.gateway_parts import ScriptedServer


def entry(address, born_ms):
    return ServerEntry("i-1", "s", address, "a1", 3, False, 0.0, born_ms)


def test_a_new_run_of_a_server_gets_no_connection_of_the_earlier_one():
    # A server crashes and starts again under its id and address. Its old connections
    # are dead; a booking sent on one of them would have an unknown end.
    async def check():
        server = await ScriptedServer(None).start()
        backends = Backends(lambda: 1.0, lambda: None)
        before = await backends.take(entry(server.address, 1), repeatable=False)
        before.used_at = 1.0
        backends._idle[entry(server.address, 1).incarnation].append(before)
        after = await backends.take(entry(server.address, 2), repeatable=False)
        assert after is not before
        again = await backends.take(entry(server.address, 1), repeatable=False)
        assert again is before
        after.close()
        again.close()
        await server.close()

    asyncio.run(check())


def test_connections_that_a_server_has_closed_do_not_use_up_the_limit():
    # A server ends with all connections that a host may hold to it. The host could not
    # ask whether it still listens, and took it for one that had dropped a connection.
    async def check():
        server = await ScriptedServer(None).start()
        backends = Backends(lambda: 1.0, lambda: None)
        backends.limit = lambda service: 2
        known = entry(server.address, 1)
        for _ in range(2):
            assert await backends.open_spare(known, 0.0)
        server.cut_off()
        await asyncio.sleep(0.05)
        with pytest.raises(HttpError) as caught:
            await backends.open_spare(known, 0.0)
        assert caught.value.reason == "connect-refused"

    asyncio.run(check())
