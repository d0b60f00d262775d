"""Servers that name a limit on their requests, as callers and they see it."""

import asyncio
import itertools
import time

from tests.gateway_parts import answer, ask, fleet, until
from tests.test_gateway import in_loop

WINDOW_S = 4.0
# Hosts have heard of a limit so long after it was first named, in seconds.
HEARD_S = 1.0


def most_in_window(times, window_s=WINDOW_S):
    """Return the most arrivals in any window."""
    return max((sum(t <= x < t + window_s for x in times) for t in times), default=0)


def naming(rate, arrivals):
    """Return the behaviour of a server that names a limit; notes when it is asked."""

    async def behave(received, writer):
        arrivals.append(time.monotonic())
        extra = f"Server-Limit: {rate}\r\n".encode()
        writer.write(answer(received.request_id, extra=extra))

    return behave


async def send_for(apps, seconds, *, every_s=0.03):
    """Send requests with many keys to all hosts by turns; return the responses."""
    ends = time.monotonic() + seconds
    sent = []
    numbers = itertools.count()
    while time.monotonic() < ends:
        number = next(numbers)
        app = apps[number % len(apps)]
        asked = ask(app, "/safe/a", f"r{number}", key=str(number % 20))
        sent.append(asyncio.ensure_future(asked))
        await asyncio.sleep(every_s)
    return await asyncio.gather(*sent)


async def hosts_ready(made, count):
    """Start hosts and wait until each knows the others."""
    apps = [await made.add_host(domain=d) for d in ("a1", "a2", "b1")[:count]]
    for app in apps:
        await made.ready(app)
    await until(lambda: all(len(a.gateway.roster.active) == count for a in apps))
    return apps


@in_loop
async def test_a_server_that_names_a_limit_gets_no_more_from_all_hosts_together():
    # A server in need says what it takes; its hosts send it as much as before.
    rate = 2.0
    arrivals = []
    async with fleet() as made:
        made.configure()
        await made.add_server(naming(rate, arrivals))
        await made.add_server(naming(1000, []), domain="b1")
        apps = await hosts_ready(made, 3)
        responses = await send_for(apps, HEARD_S + WINDOW_S + 1.0)
        first = arrivals[0]
        late = [at for at in arrivals if at > first + HEARD_S]
        assert most_in_window(late) <= 1.5 * rate * WINDOW_S + 5
        assert late, "a server with a limit is still asked"
        assert all(r.status == 200 for r in responses)
