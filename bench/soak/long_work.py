"""Bookings of long work, beside planned stops that leave the hosts much time.

A third of the seeds have them. Their hosts are stopped in series, and the work of a
booking may last nearly as long as a stop.
"""

import asyncio
import random

from .callers import Callers, PlannedRequest
from .ledger import LONG
from .schedule import Fault
from .servers import LONG_TARGET
from .world import World

GRACE_S = 10.0
DEADLINE_S = 9.0
WORK_S = (0.2, 7.0)
EVERY_S = (0.2, 0.6)
# When hosts are stopped, in seconds from the start of the run.
STOPS_S = (4.0, 16.0)
STOPS = 3


def has_long_work(seed: int) -> bool:
    """Return whether a seed has long work."""
    return seed % 3 == 0


def draw_stops(seed: int) -> list[Fault]:
    """Return the planned stops of a seed with long work."""
    rng = random.Random(f"stops-{seed}")
    return [
        Fault(rng.uniform(*STOPS_S), "host-term", rng.randrange(1 << 16), 0.0)
        for _ in range(STOPS)
    ]


async def send_long_work(callers: Callers, world: World, seed: int) -> None:
    """Send bookings of long work to all hosts until cancelled."""
    rng = random.Random(f"long-{seed}")
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.uniform(*EVERY_S))
            work_ms = int(1000 * rng.uniform(*WORK_S))
            planned = PlannedRequest(
                LONG,
                "booking",
                "POST",
                f"{LONG_TARGET}{work_ms}",
                b"x",
                deadline_s=DEADLINE_S,
            )
            host = rng.randrange(len(world.hosts))
            group.create_task(callers.send_alone(host, planned))
