"""Retries of hosts that run as processes, while all servers of a service shed."""

import asyncio
import itertools
import random
import re
from dataclasses import replace

import pytest

from bench.soak.callers import Callers, PlannedRequest
from bench.soak.faults import inject_faults
from bench.soak.ledger import DEADLINE_S
from bench.soak.retries import RETRY_EXTRA, arrivals_of, worst_window
from bench.soak.run import START_UP_S
from bench.soak.schedule import Fault
from bench.soak.world import World

HOSTS = 8
SERVERS = 24
REQUEST_INTERVAL_S = 1 / 60
SHEDDING = [Fault(2.0, "server-shed", index, 12.0) for index in range(SERVERS)]
# Kills of hosts while the servers shed; times are from the first request on.
KILLS = {
    "no-host": [],
    "all-hosts-three-times": [Fault(at, "kill-all", 0, 0.0) for at in (3.0, 6.5, 10.0)],
    "one-host-after-the-other": [
        Fault(3.0 + 0.7 * index, "host-kill", index, 0.0) for index in range(14)
    ],
}


async def _send_reads(world, sending):
    """Send reads at a steady rate, each to the next host."""
    callers = Callers(world, random.Random(2))
    for number in itertools.count():
        planned = PlannedRequest("read", "calendar", "GET", f"/calendar/{number}")
        sending.add(asyncio.ensure_future(callers.send_alone(number % HOSTS, planned)))
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def _run(directory, kills):
    world = World(directory, random.Random(1))
    await world.start(HOSTS, SERVERS)
    sending = set()
    try:
        await asyncio.sleep(START_UP_S)
        sending.add(asyncio.ensure_future(_send_reads(world, sending)))
        began = world.now()
        faults = [replace(fault, at=began + fault.at) for fault in SHEDDING + kills]
        await inject_faults(world, faults)
        await asyncio.sleep(DEADLINE_S)
    finally:
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        await world.stop()
    return world.ledger


def retries_wanted(directory):
    """Return how many retries the hosts have granted or refused, by their logs."""
    logs = (path.read_text() for path in directory.glob("host-*.log"))
    return sum(len(re.findall("event=retry-(?:granted|refused) ", log)) for log in logs)


@pytest.mark.parametrize("kills", KILLS.values(), ids=KILLS)
def test_restarts_give_no_more_retries(tmp_path, kills):
    # Guards against a restarted host that retries as if it had sent no retries before.
    ledger = asyncio.run(_run(tmp_path, kills))
    requests, repeats = arrivals_of(ledger)
    worst = worst_window(requests["calendar"], repeats["calendar"])
    assert worst.excess() <= 0, worst
    # More retries were wanted than the allowance has beyond its share of the requests.
    assert retries_wanted(tmp_path) > RETRY_EXTRA
