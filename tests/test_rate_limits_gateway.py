"""Tests of servers that announce a limit on their request rate."""

import asyncio
import itertools
import time

from lacewingcross.core.placement.placement import Placement
from lacewingcross.core.placement.rate_limits import RateLimits
from tests.gateway_parts import (
    answer,
    answers_at_once,
    ask,
    fleet,
    free_address,
    header,
    in_loop,
    until,
)

# Length of the windows in which arrivals at a server are counted, in seconds.
WINDOW_S = 4.0
# Time after which all hosts know of a limit that a server has announced, in seconds.
LIMIT_KNOWN_S = 1.0


def max_in_window(times, window_s=WINDOW_S):
    """Return the maximum number of arrivals in any window of `window_s` seconds."""
    return max((sum(t <= x < t + window_s for x in times) for t in times), default=0)


def naming(rate_per_s, arrivals):
    """Return the behaviour of a server that announces a limit and records arrivals."""

    async def behave(received, writer):
        arrivals.append(time.monotonic())
        extra = f"Server-Limit: {rate_per_s}\r\n".encode()
        writer.write(answer(received.request_id, extra=extra))

    return behave


async def send_for(apps, duration_s, *, every_s=0.03):
    """Send requests with 20 keys to all hosts, round robin; return the responses."""
    end_at = time.monotonic() + duration_s
    sent = []
    indexes = itertools.count()
    while time.monotonic() < end_at:
        index = next(indexes)
        app = apps[index % len(apps)]
        asked = ask(app, "/safe/a", f"r{index}", key=str(index % 20))
        sent.append(asyncio.ensure_future(asked))
        await asyncio.sleep(every_s)
    return await asyncio.gather(*sent)


async def hosts_ready(env, count, **settings):
    """Start hosts and wait until each one counts all of them as active."""
    apps = await env.ready_hosts(*("a1", "a2", "b1")[:count], **settings)
    await until(lambda: all(len(a.gateway.roster.active) == count for a in apps))
    return apps


@in_loop
async def test_all_hosts_together_stay_within_a_servers_rate_limit():
    # An overloaded server announces the rate that it accepts. Hosts that ignore it
    # would send as many requests as before.
    rate = 2.0
    arrivals = []
    async with fleet() as env:
        env.configure()
        await env.add_server(naming(rate, arrivals))
        await env.add_server(naming(1000, []), domain="b1")
        apps = await hosts_ready(env, 3)
        responses = await send_for(apps, LIMIT_KNOWN_S + WINDOW_S + 1.0)
        first = arrivals[0]
        late = [at for at in arrivals if at > first + LIMIT_KNOWN_S]
        assert max_in_window(late) <= 1.5 * rate * WINDOW_S + 5
        assert late, "a server with a limit is still asked"
        assert all(r.status == 200 for r in responses)


def limits_at(app):
    """Return the rate limits that a host applies, by server id."""
    rates = app.gateway.steering.placement.gate.rates
    return {server[0]: limit.rate for server, limit in rates.in_force()}


@in_loop
async def test_hosts_that_sent_no_request_learn_of_a_limit_and_of_its_end():
    async with fleet() as env:
        env.configure()
        server = await env.add_server(naming(2.0, []))
        apps = await hosts_ready(env, 3)
        await ask(apps[0], "/safe/a")
        await until(lambda: all(limits_at(app) == {"i-1": 2.0} for app in apps))
        late = await env.add_host(domain="a2")
        await env.ready(late)
        await until(lambda: limits_at(late) == {"i-1": 2.0})
        server.behave = answers_at_once
        await send_for(apps, 4.0)
        await until(lambda: not any(limits_at(app) for app in [*apps, late]))


@in_loop
async def test_when_all_servers_are_at_their_limit_callers_are_refused_at_once():
    async with fleet() as env:
        env.configure()
        await env.add_server(naming(1.0, []))
        (app,) = await hosts_ready(env, 1)
        # The first response announces the limit, and the second request uses the
        # credit.
        for index in range(2):
            assert (await ask(app, "/safe/a", f"r{index}")).status == 200
        began = time.monotonic()
        got = await ask(app, "/unsafe/a", "r2", method="POST", body=b"x")
        assert got.status == 503
        assert time.monotonic() - began < 0.2
        assert 0.5 < float(header(got, "retry-after")) < 2.0
        await asyncio.sleep(float(header(got, "retry-after")))
        assert (await ask(app, "/safe/a", "r3")).status == 200


class SupersededOnce(RateLimits):
    """Refuses only the third check: the one before the first byte.

    The first two checks are made while one of two servers is chosen.
    """

    def __init__(self, own):
        super().__init__(own)
        self.asked = 0

    def may_send(self, server, now, *, urgent):
        self.asked += 1
        return self.asked != 3


@in_loop
async def test_a_superseded_attempt_is_placed_again():
    # Another request takes the server's last credit while this one opens a connection.
    async with fleet() as env:
        env.configure()
        servers = [await env.add_server(answers_at_once) for _ in range(2)]
        (app,) = await hosts_ready(env, 1)
        await until(lambda: len(app.gateway.steering.placement.known.servers) == 2)
        app.gateway.steering.placement.gate.rates = SupersededOnce("host-0")
        got = await ask(app, "/unsafe/a", method="POST", body=b"x")
        assert got.status == 200
        assert sum(len(server.requests) for server in servers) == 1
        counters = app.gateway.metrics.counters
        assert counters["attempts.overtaken"] == 1
        assert not [name for name in counters if name.startswith("retries.")]


@in_loop
async def test_a_server_is_not_blamed_for_the_failure_of_the_one_before(monkeypatch):
    # The first server refuses connections, and the second one takes no more requests at
    # the moment. If the second attempt kept the failure of the first one, the second
    # server would be skipped as unreachable.
    async with fleet() as env:
        env.configure()
        env.register("dead", free_address())
        await env.add_server(answers_at_once)
        (app,) = await hosts_ready(env, 1)
        placement = app.gateway.steering.placement
        await until(lambda: len(placement.known.servers) == 2)
        send = Placement.sent
        calls = itertools.count()

        def every_second(self, choice, now):
            return bool(next(calls) % 2) and send(self, choice, now)

        monkeypatch.setattr(Placement, "sent", every_second)
        counters = app.gateway.metrics.counters
        for index in range(20):
            got = await ask(app, "/safe/a", f"r{index}", key=str(index))
            assert got.status == 200
        assert counters["retries.connect-refused"]
        good = placement.known.servers["i-1"]
        assert good.passive_health.why == ""
