"""Servers that say in their answers that they leave, as callers and they see it."""

import asyncio

from tests.gateway_parts import answer, answers_at_once, ask, fleet, until
from tests.test_gateway import in_loop
from tests.test_rate_limits_gateway import hosts_ready, send_for


async def says_that_it_leaves(received, writer):
    writer.write(answer(received.request_id, extra=b"Server-Leaving: 1\r\n"))


@in_loop
async def test_a_server_that_leaves_by_its_own_word_gets_nothing_more():
    # The store is away when a server begins to leave; only its answers tell of it.
    async with fleet() as made:
        made.configure()
        leaving = await made.add_server(says_that_it_leaves)
        other = await made.add_server(answers_at_once, domain="b1")
        apps = await hosts_ready(made, 3)
        for app in apps:
            await until(lambda app=app: len(known(app)) == 2)
        while not leaving.requests:
            await send_for(apps, 0.1)
        await asyncio.sleep(0.3)
        before = len(leaving.requests)
        made.register("i-1", leaving.address, seq=2)
        responses = await send_for(apps, 1.0)
        assert len(leaving.requests) == before
        assert all(r.status == 200 for r in responses)
        assert other.requests


def known(app):
    return app.gateway.steering.placement.known.servers


@in_loop
async def test_hosts_that_sent_nothing_are_told_that_a_server_leaves():
    async with fleet() as made:
        made.configure()
        server = await made.add_server(says_that_it_leaves)
        apps = await hosts_ready(made, 3)
        assert (await ask(apps[0], "/safe/a")).status == 200
        leaves = [app.gateway.steering.placement.gate.departures for app in apps]
        await until(lambda: all(made.leaves(("i-1", 0)) for made in leaves))
        late = await made.add_host(domain="a2")
        await made.ready(late)
        departures = late.gateway.steering.placement.gate.departures
        await until(lambda: departures.leaves(("i-1", 0)))
        assert (await ask(late, "/safe/a", "r2")).status == 503
        assert len(server.requests) == 1
