"""Tests of servers that shed requests and request a back-off."""

import asyncio
import time

from tests.gateway_parts import (
    answer,
    answers_at_once,
    ask,
    fleet,
    header,
    in_loop,
    until,
)
from tests.test_leaving_word_gateway import known_servers
from tests.test_rate_limits_gateway import hosts_ready, send_for

BACKOFF_S = 5.0


def requests_backoff(arrivals, backoff_s=BACKOFF_S):
    """Return the behaviour of a server that sheds all and requests a back-off."""

    async def behave(received, writer):
        arrivals.append(time.monotonic())
        extra = f"X-Lacewingcross-Not-Executed: 1\r\nRetry-After: {backoff_s}\r\n"
        writer.write(answer(received.request_id, status=503, extra=extra.encode()))

    return behave


@in_loop
async def test_a_host_skips_a_server_that_requests_a_backoff():
    arrivals = []
    async with fleet() as env:
        env.configure()
        await env.add_server(requests_backoff(arrivals))
        await env.add_server(answers_at_once, domain="b1")
        apps = await hosts_ready(env, 1)
        await until(lambda: len(known_servers(apps[0])) == 2)
        while not arrivals:
            await send_for(apps, 0.1)
        requested_at = arrivals[0]
        responses = await send_for(apps, requested_at + BACKOFF_S - time.monotonic())
        during_backoff = [
            at for at in arrivals if requested_at + 0.5 < at < requested_at + BACKOFF_S
        ]
        assert len(during_backoff) <= 2
        assert all(r.status == 200 for r in responses)


@in_loop
async def test_callers_get_the_remaining_backoff_when_all_servers_back_off():
    arrivals = []
    async with fleet() as env:
        env.configure()
        server = await env.add_server(requests_backoff(arrivals, 1.0))
        (app,) = await hosts_ready(env, 1)
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
async def test_a_backoff_requested_from_one_host_does_not_bind_others():
    async with fleet() as env:
        env.configure()
        server = await env.add_server(requests_backoff([]))
        apps = await hosts_ready(env, 2)
        assert (await ask(apps[0], "/safe/a")).status == 503
        server.behave = answers_at_once
        assert (await ask(apps[0], "/safe/a", "r2")).status == 503
        assert (await ask(apps[1], "/safe/a", "r3")).status == 200


@in_loop
async def test_a_caller_whose_request_all_servers_shed_gets_the_end_of_their_backoff():
    async with fleet() as env:
        env.configure()
        for _ in range(2):
            await env.add_server(requests_backoff([], 2.0))
        (app,) = await hosts_ready(env, 1, first_start=True)
        await until(lambda: len(known_servers(app)) == 2)
        got = await ask(app, "/safe/a")
        assert sum(len(server.requests) for server in env.servers) == 2
        assert (got.status, float(header(got, "retry-after")) > 1.0) == (503, True)
