"""Tests of the pool of connections to backend servers."""

import asyncio

import pytest

from lacewingcross.core.backend_state import ServerEntry
from lacewingcross.gateway.backends import Backends
from lacewingcross.http1_client import HttpError
from tests.gateway_parts import ScriptedServer


def entry(address, born_ms):
    return ServerEntry("i-1", "s", address, "a1", 3, False, 0.0, born_ms)


def test_a_new_incarnation_of_a_server_gets_no_connection_of_the_earlier_one():
    # A server crashes and starts again under the same id and address. Its old
    # connections are dead; the outcome of a booking that is sent on one of them would
    # be unknown.
    async def check():
        server = await ScriptedServer(None).start()
        backends = Backends(lambda: 1.0, lambda: None)
        earlier = await backends.acquire(entry(server.address, 1), repeatable=False)
        earlier.used_at = 1.0
        backends._idle[entry(server.address, 1).incarnation].append(earlier)
        later = await backends.acquire(entry(server.address, 2), repeatable=False)
        assert later is not earlier
        again = await backends.acquire(entry(server.address, 1), repeatable=False)
        assert again is earlier
        later.close()
        again.close()
        await server.close()

    asyncio.run(check())


def test_connections_that_a_server_has_closed_do_not_use_up_the_limit():
    # A server crashes while the host holds as many connections to it as the limit
    # allows. If these still counted, the host could not check whether the server
    # listens, and would assume that it only dropped a connection.
    async def check():
        server = await ScriptedServer(None).start()
        backends = Backends(lambda: 1.0, lambda: None)
        backends.connection_limit = lambda service: 2
        known = entry(server.address, 1)
        for _ in range(2):
            assert await backends.open_spare(known, 0.0)
        server.cut_off()
        await asyncio.sleep(0.05)
        with pytest.raises(HttpError) as caught:
            await backends.open_spare(known, 0.0)
        assert caught.value.reason == "connect-refused"

    asyncio.run(check())
