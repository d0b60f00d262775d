"""Uploads to workers that read slowly fill the memory of an entry host."""

import asyncio
import os
import signal
from pathlib import Path

from review.rig.caller import Answer, Caller
from review.rig.deployment import (
    MEMORY_MB,
    Deployment,
    Record,
    manifest,
    route,
    run_case,
)
from review.rig.worker import Worker

ZONES = {"z-a": "r-1", "z-b": "r-2"}
TROUBLE = os.environ.get("TROUBLE") != "0"
# How long a host has run before the uploads begin, in seconds; `stable_window_s` is 4.
CALM_S = 6.0
BOOKING_CALLERS = 12
BOOKING_WORK_S = 1.0
BOOKING_BUDGET_S = 2.5
# Uploads are within `max_body_bytes`, 67,108,864. All together they send 96 MB a
# second, and the host's link takes 125.
UPLOADS = 8
UPLOAD_BYTES = 64_000_000
UPLOAD_RATE = 12e6
UPLOAD_BUDGET_S = 10.0
# Pause of a slow worker before each further 64 KiB, in seconds.
READ_PAUSE_S = 0.1
SAMPLE_S = 0.05
# Requests that a machine may lose at any time.
LOST_ALLOWED = 3


class Case:
    """One run."""

    def __init__(self) -> None:
        self.record = Record(Path(__file__).with_name("record.txt"))
        self.deployment = Deployment(self.record, ZONES)
        self.workers = [
            Worker(self.record, service, zone, work_s, slots=slots)
            for service, work_s, slots in (
                ("archive", 0.4, 6),
                ("ledger", BOOKING_WORK_S, 6),
            )
            for zone in ZONES
            for _ in range(2)
        ]
        self.ran: set[str] = set()
        self.answers: list[Answer] = []
        self.ended = asyncio.Event()

    async def run(self) -> bool:
        """Return whether the rule LOST was broken."""
        for worker in self.workers:
            await worker.start()
            worker.on_run = self.ran.add
            self.deployment.store.put("servers", worker.server_id, worker.entry())
        routes = {
            "upload": route("archive", "upload", "/upload/", UPLOAD_BUDGET_S),
            "booking": route("ledger", "unsafe", "/booking/", BOOKING_BUDGET_S),
        }
        self.deployment.store.put(
            "config", "main", manifest(1, routes, ["archive", "ledger"])
        )
        try:
            await self.deployment.start(["z-a", "z-a", "z-b"])
            return await self._play()
        finally:
            await self.deployment.stop()
            for worker in self.workers:
                await worker.stop()

    async def _play(self) -> bool:
        await asyncio.sleep(CALM_S)
        callers = [
            asyncio.create_task(self._book(index)) for index in range(BOOKING_CALLERS)
        ]
        platform = asyncio.create_task(self._limit_memory())
        await asyncio.sleep(1.0)
        for worker in self.workers:
            if TROUBLE and worker.service == "archive":
                worker.read_pause_s = READ_PAUSE_S
        uploads = [asyncio.create_task(self._upload(i)) for i in range(UPLOADS)]
        await asyncio.gather(*uploads)
        await asyncio.sleep(BOOKING_BUDGET_S)
        self.ended.set()
        await asyncio.gather(*callers)
        killed = await platform
        lost = [
            answer
            for answer in self.answers
            if answer.status == 0 and answer.request_id in self.ran
        ]
        for answer in lost:
            self.record.add(f"lost: booking {answer.request_id}, {answer.why}")
        self.record.add(
            f"bookings {len(self.answers)}, lost {len(lost)}, host killed {killed}"
        )
        return len(lost) > LOST_ALLOWED

    async def _book(self, index: int) -> None:
        """Send bookings on a kept connection until the host is gone or the run ends."""
        caller = Caller(self.deployment.hosts[0].front)
        while not self.ended.is_set():
            path = f"/booking/{index}"
            answer = await caller.ask("POST", path, BOOKING_BUDGET_S, 300)
            self.answers.append(answer)
            if answer.status == 0:
                self.record.add(f"booking {answer.request_id}: {answer.why}")
                return
        caller.close()

    async def _upload(self, index: int) -> None:
        caller = Caller(self.deployment.hosts[0].front)
        answer = await caller.ask(
            "POST", f"/upload/{index}", UPLOAD_BUDGET_S, UPLOAD_BYTES, UPLOAD_RATE
        )
        self.record.add(f"upload {index}: {answer.status} {answer.why}")
        caller.close()

    async def _limit_memory(self) -> bool:
        """Kill the host when it exceeds `memory_mb`, as the platform does."""
        host = self.deployment.hosts[0]
        most = 0.0
        while not self.ended.is_set():
            await asyncio.sleep(SAMPLE_S)
            used = host.memory_mb()
            if used > most + 20:
                most = used
                self.record.add(f"{host.host_id} uses {used:.0f} MB")
            if used > MEMORY_MB * 1.048576:
                self.record.add(f"{host.host_id} exceeds {MEMORY_MB} MiB")
                self.deployment.signal(host, signal.SIGKILL)
                return True
        return False


async def main() -> bool:
    """Play the case once."""
    return await Case().run()


run_case(main)
