"""Plays one entry of another writer whose `slots` is a list, and a worker that drains.

Without the disruption (``TROUBLE=0``) nobody writes that entry.
"""

import asyncio
import os
from pathlib import Path

from review.support.clients import KeptClient
from review.support.record import Record
from review.support.worker import Worker
from review.support.world import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Outcome,
    World,
    manifest,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS_PER_HOST = 4
# When the other writer stores its entry, and when the worker reports `draining`: longer
# than `stable_window_s` after the start.
FOREIGN_ENTRY_S = 6.0
DRAINING_S = 8.0
DRAIN_S = 2.5
# A worker serves for `drain_s` after its report "and a little longer (at times many
# seconds)".
SERVES_S = 12.0
# Levels of the list that stands in the place of a number; its entry has 4 KB.
LEVELS = 2000
PLACEHOLDER = '"@list@"'


def foreign_entry() -> dict:
    """Return the entry of the other writer; the store sends its list unchanged."""
    return {
        "service": "slipway-board",
        "address": "127.0.0.1:9",
        "zone": "shrewsbury",
        "version": "v1",
        "slots": PLACEHOLDER.strip('"'),
        "state": "ready",
        "cold_left_s": 0,
        "seq": 1,
    }


async def play(record: Record) -> Outcome:
    """Run the case; return the exit code and the reason."""
    world = World(record)
    world.store.raw[PLACEHOLDER] = b"[" * LEVELS + b"]" * LEVELS
    zones = ("shrewsbury", "nottingham", "stratford")
    workers = [
        Worker(f"w-{zone}-{number}", "slipway-board", zone, record)
        for zone in zones
        for number in (1, 2)
    ]
    leaving = workers[0]
    routes = {"availability": route("safe", "/board/", "slipway-board")}
    tasks = []
    try:
        if not await world.start(workers, 3, manifest(routes)):
            return COULD_NOT_RUN, "the hosts did not become ready"
        began_at = record.now()
        clients = [
            KeptClient(record, host.name, host.front, "GET", "/board/1", pause_s=0.1)
            for host in world.hosts
            for _ in range(CLIENTS_PER_HOST)
        ]
        tasks += [asyncio.ensure_future(client.run()) for client in clients]
        await asyncio.sleep(FOREIGN_ENTRY_S)
        if TROUBLE:
            world.store.put("servers", "w-other-writer", foreign_entry())
            record.note("store servers/w-other-writer by another writer", show=True)
        await asyncio.sleep(began_at + DRAINING_S - record.now())
        leaving.state = "draining"
        world.write_entry(leaving)
        acknowledged_at = record.now()
        record.note(f"store acknowledged draining of {leaving.worker_id}", show=True)
        await asyncio.sleep(SERVES_S)
        return judge(leaving, acknowledged_at, clients)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()


def judge(
    leaving: Worker, acknowledged_at: float, clients: list[KeptClient]
) -> Outcome:
    """Check the rule DRAIN; return the exit code and the reason."""
    ages = [at - acknowledged_at for at in leaving.arrived.values()]
    before = sum(age < 0 for age in ages)
    late = [age for age in ages if age > DRAIN_S]
    figures = (
        f"{len(late)} requests reached the worker later than {DRAIN_S} s after its "
        f"report was acknowledged, the last one after {max(late, default=0.0):.1f} s"
    )
    served = sum(seen.status == 200 for client in clients for seen in client.seen)
    if not before or served < 100:
        return COULD_NOT_RUN, f"{before} requests before the report, {served} served"
    return (BROKEN if late else HELD), figures


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
