"""A planned stop cuts bookings that the leaving host still accepted."""

import asyncio
import os
import signal
from pathlib import Path

from review.rig.caller import Answer, Caller
from review.rig.deployment import Deployment, Record, manifest, route, run_case
from review.rig.worker import Worker

ZONES = {"z-a": "r-1", "z-b": "r-2"}
TROUBLE = os.environ.get("TROUBLE") != "0"
# Bounds of `gvea-museos-large`, as far as a planned stop depends on them.
BOUNDS = {"grace_s": 10, "drain_s": 4, "config_apply_s": 4}
# How long a host has run before its planned stop, in seconds; `stable_window_s` is 4.
CALM_S = 6.0
# Work and time budget of a booking, in seconds: `reserva` takes 6.912 s at most, and
# its callers wait for 10 s.
WORK_S = 6.8
BUDGET_S = 10.0
# When bookings are sent, in seconds after the SIGTERM. The rule does not count those
# that were sent up to 3 s after it and whose worker is at work near the end; 20 ms are
# left for the clock of the test.
UNCOUNTED_S = 3.02
CALLERS = 30
FIRST_AT_S = 2.0
STEP_S = 0.05


class Case:
    """One run."""

    def __init__(self) -> None:
        self.record = Record(Path(__file__).with_name("record.txt"))
        self.deployment = Deployment(self.record, ZONES, BOUNDS)
        self.workers = [
            Worker(self.record, "ledger", zone, WORK_S, slots=5)
            for zone in ZONES
            for _ in range(6)
        ]
        self.ran: set[str] = set()
        self.sent_at: dict[str, float] = {}
        self.answers: list[Answer] = []

    async def run(self) -> bool:
        """Return whether the rule LOST was broken."""
        for worker in self.workers:
            await worker.start()
            worker.on_run = self.ran.add
            self.deployment.store.put("servers", worker.server_id, worker.entry())
        routes = {"booking": route("ledger", "unsafe", "/booking/", BUDGET_S)}
        self.deployment.store.put("config", "main", manifest(1, routes, ["ledger"]))
        try:
            await self.deployment.start(["z-a", "z-a", "z-b"])
            return await self._play()
        finally:
            await self.deployment.stop()
            for worker in self.workers:
                await worker.stop()

    async def _play(self) -> bool:
        await asyncio.sleep(CALM_S)
        host = self.deployment.hosts[0]
        if TROUBLE:
            self.deployment.signal(host, signal.SIGTERM)
        began_at = self.record.now()
        await asyncio.gather(*(self._book(i, began_at) for i in range(CALLERS)))
        lost = []
        for answer in self.answers:
            sent_s = self.sent_at[answer.request_id] - began_at
            self.record.add(
                f"booking {answer.request_id} sent {sent_s:.3f} s after the stop began:"
                f" status {answer.status} {answer.why}"
            )
            ran = answer.request_id in self.ran
            if answer.status == 0 and ran and sent_s > UNCOUNTED_S:
                lost.append(answer)
        self.record.add(f"bookings {len(self.answers)}, lost and counted {len(lost)}")
        return bool(lost)

    async def _book(self, index: int, began_at: float) -> None:
        """Send one booking on a new connection, at its time after the SIGTERM."""
        due_at = began_at + FIRST_AT_S + index * STEP_S
        await asyncio.sleep(due_at - self.record.now())
        caller = Caller(self.deployment.hosts[0].front)
        request_id = f"b{index:02d}"
        self.sent_at[request_id] = self.record.now()
        self.answers.append(
            await caller.ask("POST", "/booking/1", BUDGET_S, 300, request_id=request_id)
        )
        caller.close()


async def main() -> bool:
    """Play the case once."""
    return await Case().run()


run_case(main)
