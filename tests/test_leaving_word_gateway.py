"""Tests of servers that announce their shutdown in their responses."""

import asyncio

from tests.gateway_parts import answer, answers_at_once, ask, fleet, in_loop, until
from tests.test_rate_limits_gateway import hosts_ready, send_for


async def announces_shutdown(received, writer):
    writer.write(answer(received.request_id, extra=b"Server-Leaving: 1\r\n"))


@in_loop
async def test_a_server_that_announces_its_shutdown_gets_no_more_requests():
    # The store does not show that a server is shutting down; only its responses do.
    async with fleet() as env:
        env.configure()
        leaving = await env.add_server(announces_shutdown)
        other = await env.add_server(answers_at_once, domain="b1")
        apps = await hosts_ready(env, 3)
        for app in apps:
            await until(lambda app=app: len(known_servers(app)) == 2)
        while not leaving.requests:
            await send_for(apps, 0.1)
        await asyncio.sleep(0.3)
        before = len(leaving.requests)
        env.register("i-1", leaving.address, seq=2)
        responses = await send_for(apps, 1.0)
        assert len(leaving.requests) == before
        assert all(r.status == 200 for r in responses)
        assert other.requests


def known_servers(app):
    return app.gateway.steering.placement.known.servers


@in_loop
async def test_hosts_that_sent_no_request_learn_of_a_servers_shutdown():
    async with fleet() as env:
        env.configure()
        server = await env.add_server(announces_shutdown)
        apps = await hosts_ready(env, 3)
        assert (await ask(apps[0], "/safe/a")).status == 200
        departures = [app.gateway.steering.placement.gate.departures for app in apps]
        await until(lambda: all(record.leaves(("i-1", 0)) for record in departures))
        late = await env.add_host(domain="a2")
        await env.ready(late)
        departures = late.gateway.steering.placement.gate.departures
        await until(lambda: departures.leaves(("i-1", 0)))
        assert (await ask(late, "/safe/a", "r2")).status == 503
        assert len(server.requests) == 1
