"""Retries of hosts that run as processes, while all servers of a service shed."""

import asyncio
import itertools
import random

import pytest

from bench.soak import callers as soak_callers
from bench.soak.ledger import DEADLINE_S
from bench.soak.retries import RETRY_EXTRA, arrivals_of, worst_window
from bench.soak.run import START_UP_S
from bench.soak.world import World

HOSTS = 8
SERVERS = 24
REQUEST_INTERVAL_S = 1 / 60
# When the shedding of the servers begins and ends, in seconds after the first request.
SHEDDING_S = (3.0, 18.0)
# When hosts are killed, in seconds after the first request.
KILLED_AT_S = {
    "no-host": [],
    "all-hosts-three-times": [(at, range(HOSTS)) for at in (4.0, 8.0, 12.0)],
    "one-host-after-the-other": [
        (4.0 + 0.8 * index, [index % HOSTS]) for index in range(15)
    ],
}


class Reads(soak_callers.Callers):
    """Callers that send reads at a steady rate, each to the next host."""

    def __init__(self, world, rng):
        super().__init__(world, rng)
        self.sending = set()

    async def send_steadily(self):
        entries = itertools.cycle(list(self.world.host_by_entry))
        for number in itertools.count():
            entry = next(entries)
            planned = soak_callers.PlannedRequest(
                "read", "calendar", "GET", f"/calendar/{number}"
            )
            task = asyncio.ensure_future(self.send_one(entry, planned))
            self.sending.add(task)
            task.add_done_callback(self.sending.discard)
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
    reads = Reads(world, random.Random(2))
    tasks = []
    try:
        await asyncio.sleep(START_UP_S)
        tasks.append(asyncio.ensure_future(reads.send_steadily()))
        await asyncio.gather(_shed(world), _kill(world, kills))
        await asyncio.sleep(DEADLINE_S)
    finally:
        for task in [*tasks, *reads.sending]:
            task.cancel()
        await asyncio.gather(*tasks, *reads.sending, return_exceptions=True)
        await world.stop()
    return world.ledger
