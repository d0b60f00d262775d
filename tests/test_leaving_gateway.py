"""Tests of the last requests that reach a leaving host."""

import asyncio

from lacewingcross.gateway import app as gateway_app
from lacewingcross.http1_client import ClientConnection
from lacewingcross.http1_connection import ServerConnection
from tests.gateway_parts import answer, fleet, headers, in_loop


@in_loop
async def test_a_request_that_comes_as_the_listener_closes_is_answered(monkeypatch):
    # Guards against a host that stops while a request is still arriving. The host
    # serves for three more seconds, closes its listener and the idle connections, and
    # finds no request running. A connection accepted at that moment is in no list
    # yet and stays open. If the host stopped then, the booking on this connection would
    # be sent to a server, which runs it, but the caller would get no answer. The host's
    # log would show `host-stopped ... cut=0` and, a millisecond later, `request-placed`
    # for the booking. The host waits until no request has been running for a while.
    monkeypatch.setattr(gateway_app, "ACCEPT_WHILE_LEAVING_S", 0.2)
    monkeypatch.setattr(ServerConnection, "close_if_idle", lambda self: None)

    async def answers_later(received, writer):
        await asyncio.sleep(0.3)
        writer.write(answer(received.request_id))

    async with fleet() as env:
        env.configure()
        server = await env.add_server(answers_later)
        app = await env.ready(await env.add_host())
        conn = await ClientConnection.open(app.gateway.cfg.entry)
        env.stops[0].set()
        while not app.entry.server.closing:
            await asyncio.sleep(0.001)
        fields = [(b"Host", b"a.example"), *headers("r1"), (b"Content-Length", b"1")]
        await conn.send_head("POST", "/unsafe/a", fields)
        await conn.send_body(b"x")
        await conn.finish()
        head = await conn.read_head()
        assert head.status == 200
        assert len(server.requests) == 1
        conn.close()
        await asyncio.wait_for(env.tasks[0], 5.0)
