"""Servers that say in their answers that they leave, as callers and they see it."""

import asyncio

from tests.gateway_parts import answer, answers_at_once, fleet, until
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
        await send_for(apps, 0.3)
        await asyncio.sleep(0.3)
        before = len(leaving.requests)
        assert before
        made.register("i-1", leaving.address, seq=2)
        responses = await send_for(apps, 1.0)
        assert len(leaving.requests) == before
        assert all(r.status == 200 for r in responses)
        assert other.requests


def known(app):
    return app.gateway.steering.placement.known.servers
