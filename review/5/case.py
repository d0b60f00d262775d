"""One entry of another writer makes hosts drop connections without an answer."""

import asyncio
import itertools
import json
import os
import random
import time
from pathlib import Path

from lacewingcross.http1_exchange import Exchange
from lacewingcross.http1_json import JSON_TYPE
from lacewingcross.standins.object_store import ObjectStoreStandin
from review.rig.caller import Answer, Caller
from review.rig.deployment import Deployment, Record, manifest, route, run_case
from review.rig.worker import Worker

ZONES = {"z-a": "r-1", "z-b": "r-2"}
TROUBLE = os.environ.get("TROUBLE") != "0"
# How long the hosts have run before requests are sent, in seconds; `stable_window_s`
# is 4.
CALM_S = 6.0
PLAY_S = 40.0
BUDGET_S = 2.5
# Work of a booking, and slots and queue of a worker.
WORK_S = 0.3
SLOTS = 3
QUEUE = 2
# Callers, each on a connection that it keeps, and their pause before a wave, in
# seconds. A wave is more than the workers take, so that they reject a part of it.
CALLERS = 60
PAUSE_S = 1.5
SPREAD_S = 0.2
KEYS = 24
# What stands for the bytes of the other writer until the store sends them.
PLACE = "unreadable-bytes"
UNREADABLE = b"\xff\xfe\xfd"
LOST_ALLOWED = 3


class Store(ObjectStoreStandin):
    """The project's stand-in, whose answers hold the other writer's bytes as stored."""

    async def _send(self, exchange: Exchange, status: int, data: object) -> None:
        body = json.dumps(data).encode().replace(PLACE.encode(), UNREADABLE)
        await exchange.respond(status, [*JSON_TYPE], body)


class Case:
    """One run."""

    def __init__(self) -> None:
        self.record = Record(Path(__file__).with_name("record.txt"))
        self.deployment = Deployment(self.record, ZONES)
        self.deployment.store = Store(time.monotonic, era=None)
        self.workers = [
            Worker(self.record, "ledger", zone, WORK_S, slots=SLOTS)
            for zone in ZONES
            for _ in range(2)
        ]
        # Requests that reached a worker, with what it did with them.
        self.reached: dict[str, str] = {}
        self.answers: list[Answer] = []
        self.ends_at = 0.0
        self._numbers = itertools.count(1)

    async def run(self) -> bool:
        """Return whether the rule LOST was broken."""
        store = self.deployment.store
        for worker in self.workers:
            await worker.start()
            worker.queue = QUEUE
            worker.on_run = lambda request_id: self._note(request_id, "ran")
            worker.on_reject = lambda request_id: self._note(request_id, "rejected")
            store.put("servers", worker.server_id, worker.entry())
        if TROUBLE:
            entry = {**self.workers[0].entry(), "address": f"{PLACE}:8080"}
            store.put("servers", "i-other", entry)
        routes = {"booking": route("ledger", "unsafe", "/booking/", BUDGET_S)}
        store.put("config", "main", manifest(1, routes, ["ledger"]))
        try:
            await self.deployment.start(["z-a", "z-a", "z-b"])
            return await self._play()
        finally:
            await self.deployment.stop()
            for worker in self.workers:
                await worker.stop()

    def _note(self, request_id: str, what: str) -> None:
        self.reached[request_id] = what
        if what == "rejected":
            self.record.add(f"{request_id} is rejected by a worker")

    async def _play(self) -> bool:
        await asyncio.sleep(CALM_S)
        self.ends_at = self.record.now() + PLAY_S
        await asyncio.gather(*(self._call(index) for index in range(CALLERS)))
        closed = [answer for answer in self.answers if answer.status == 0]
        lost = [answer for answer in closed if answer.request_id in self.reached]
        for answer in lost:
            what = self.reached[answer.request_id]
            self.record.add(f"lost: {answer.request_id}, {what}, {answer.why}")
        self.record.add(
            f"bookings {len(self.answers)}, closed without an answer {len(closed)},"
            f" of these passed on to a worker {len(lost)}"
        )
        return len(lost) > LOST_ALLOWED

    async def _call(self, index: int) -> None:
        """Send bookings in waves on a kept connection."""
        host = self.deployment.hosts[index % len(self.deployment.hosts)]
        rng = random.Random(index)
        caller = Caller(host.front)
        while self.record.now() < self.ends_at:
            wait_s = PAUSE_S - self.record.now() % PAUSE_S
            await asyncio.sleep(wait_s + rng.uniform(0.0, SPREAD_S))
            number = next(self._numbers)
            request_id = f"b{number:05d}"
            self.record.add(f"{request_id} sent to {host.host_id}")
            answer = await caller.ask(
                "POST",
                f"/booking/{number}",
                BUDGET_S,
                300,
                key=str(rng.randrange(KEYS)),
                request_id=request_id,
            )
            self.record.add(f"{request_id} answered {answer.status} {answer.why}")
            self.answers.append(answer)
        caller.close()


async def main() -> bool:
    """Play the case once."""
    return await Case().run()


run_case(main)
