"""Retries of hosts that run as processes, while all servers of a service shed."""

import asyncio
import itertools
import random

import pytest

from bench.soak.callers import Callers, PlannedRequest
from bench.soak.ledger import DEADLINE_S
from bench.soak.retries import RETRY_EXTRA, arrivals_of, worst_window
from bench.soak.run import START_UP_S
from bench.soak.world import World

HOSTS = 8
SERVERS = 24
REQUEST_INTERVAL_S = 1 / 60
# When the shedding of the servers begins and ends, in seconds after the first request.
SHEDDING_S = (2.0, 14.0)
# When hosts are killed, in seconds after the first request.
KILLED_AT_S = {
    "no-host": [],
    "all-hosts-three-times": [(at, range(HOSTS)) for at in (3.0, 6.5, 10.0)],
    "one-host-after-the-other": [
        (3.0 + 0.7 * index, [index % HOSTS]) for index in range(14)
    ],
}


async def _send_reads(world, sending):
    """Send reads at a steady rate, each to the next host."""
    callers = Callers(world, random.Random(2))
    for number in itertools.count():
        planned = PlannedRequest("read", "calendar", "GET", f"/calendar/{number}")
        sending.add(asyncio.ensure_future(callers.send_alone(number % HOSTS, planned)))
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def _shed(world):
    begin, end = SHEDDING_S
    await asyncio.sleep(begin)
    for server in world.servers:
        server.behaviour.shed = True
    await asyncio.sleep(end - begin)
    for server in world.servers:
        server.behaviour.shed = False


async def _kill(world, kills):
    began = world.now()
    for at, indexes in kills:
        await asyncio.sleep(began + at - world.now())
        for index in indexes:
            host = world.hosts[index]
            world.record_disturbance(host, "kill", 5.0)
            host.proc.kill()


async def _run(directory, kills):
    world = World(directory, random.Random(1))
    await world.start(HOSTS, SERVERS)
    sending = set()
    try:
        await asyncio.sleep(START_UP_S)
        sending.add(asyncio.ensure_future(_send_reads(world, sending)))
        await asyncio.gather(_shed(world), _kill(world, kills))
        await asyncio.sleep(DEADLINE_S)
    finally:
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        await world.stop()
    return world.ledger


@pytest.mark.parametrize("kills", KILLED_AT_S.values(), ids=KILLED_AT_S)
def test_restarts_give_no_more_retries(tmp_path, kills):
    # Guards against a restarted host that retries as if it had sent no retries before.
    ledger = asyncio.run(_run(tmp_path, kills))
    requests, repeats = arrivals_of(ledger)
    worst = worst_window(requests["calendar"], repeats["calendar"])
    assert worst.excess(RETRY_EXTRA) <= 0, worst
    # Servers that shed everything leave no doubt that retries were wanted.
    assert worst.repeats >= RETRY_EXTRA / 2
