"""Servers that turn requests away and ask for rest, as callers and they see it."""

import asyncio
import time

from tests.gateway_parts import answer, answers_at_once, ask, fleet, until
from tests.test_gateway import header, in_loop
from tests.test_leaving_word_gateway import known
from tests.test_rate_limits_gateway import hosts_ready, send_for

REST_S = 5.0


def resting(arrivals, rest_s=REST_S):
    """Return the behaviour of a server that sheds all and asks for rest."""

    async def behave(received, writer):
        arrivals.append(time.monotonic())
        extra = f"X-Lacewingcross-Not-Executed: 1\r\nRetry-After: {rest_s}\r\n"
        writer.write(answer(received.request_id, status=503, extra=extra.encode()))

    return behave


@in_loop
async def test_a_server_that_asks_a_host_for_rest_is_left_alone_by_it():
    arrivals = []
    async with fleet() as made:
        made.configure()
        await made.add_server(resting(arrivals))
        await made.add_server(answers_at_once, domain="b1")
        apps = await hosts_ready(made, 1)
        await until(lambda: len(known(apps[0])) == 2)
        while not arrivals:
            await send_for(apps, 0.1)
        asked = arrivals[0]
        responses = await send_for(apps, asked + REST_S - time.monotonic())
        inside = [at for at in arrivals if asked + 0.5 < at < asked + REST_S]
        assert len(inside) <= 2
        assert all(r.status == 200 for r in responses)


@in_loop
async def test_when_all_servers_rest_callers_are_refused_at_once_with_a_true_time():
    arrivals = []
    async with fleet() as made:
        made.configure()
        server = await made.add_server(resting(arrivals, 1.0))
        (app,) = await hosts_ready(made, 1)
        assert (await ask(app, "/unsafe/a", method="POST", body=b"x")).status == 503
        began = time.monotonic()
        got = await ask(app, "/unsafe/a", "r2", method="POST", body=b"x")
        assert (got.status, len(arrivals)) == (503, 1)
        assert time.monotonic() - began < 0.2
        pause_s = float(header(got, "retry-after"))
        assert 0.5 < pause_s < 1.6
        server.behave = answers_at_once
        await asyncio.sleep(pause_s)
        assert (await ask(app, "/safe/a", "r3")).status == 200


@in_loop
async def test_a_rest_that_one_host_was_asked_for_binds_no_other_host():
    async with fleet() as made:
        made.configure()
        server = await made.add_server(resting([]))
        apps = await hosts_ready(made, 2)
        assert (await ask(apps[0], "/safe/a")).status == 503
        server.behave = answers_at_once
        assert (await ask(apps[0], "/safe/a", "r2")).status == 503
        assert (await ask(apps[1], "/safe/a", "r3")).status == 200


@in_loop
async def test_a_caller_whose_request_all_servers_shed_is_told_when_their_rest_ends():
    async with fleet() as made:
        made.configure()
        for _ in range(2):
            await made.add_server(resting([], 2.0))
        (app,) = await hosts_ready(made, 1)
        await until(lambda: len(known(app)) == 2)
        got = await ask(app, "/safe/a")
        assert sum(len(server.requests) for server in made.servers) == 2
        assert (got.status, float(header(got, "retry-after")) > 1.0) == (503, True)
