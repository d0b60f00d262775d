"""Store, workers and entry hosts of one run, and the heartbeats of the workers."""

import asyncio
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

from lacewingcross.embedded import free_ports

from .hosts import RESTART_S, HostProcess, wait_until_ready
from .record import Record
from .store import Store, new_store
from .worker import Worker

HOST_NAME = "yards.example"
HEARTBEAT_S = 1.5
READY_TIMEOUT_S = 20.0
# A script may run for 120 s; it needs some of them to end its processes.
MAX_RUN_S = 105.0
# Exit codes of a case; `run.sh` translates them.
HELD, BROKEN, COULD_NOT_RUN = 0, 3, 2
Outcome = tuple[int, str]


class World:
    """One deployment on the loopback address.

    Parameters
    ----------
    record : Record
        The record of the run.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store: Store = new_store()
        self.workers: list[Worker] = []
        self.hosts: list[HostProcess] = []
        # Workers that no longer write their entry.
        self.silent: set[str] = set()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._ports: Iterator[int] = free_ports()
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(
        self, workers: list[Worker], host_count: int, configuration: dict
    ) -> bool:
        """Start everything; return whether all hosts are ready in time."""
        port = await self.store.start()
        self.store.put("config", "main", configuration)
        self.workers = workers
        for worker in workers:
            await worker.start()
            self.write_entry(worker)
        self._heartbeats = asyncio.ensure_future(self._write_entries())
        folder = Path(self._folder.name)
        for index in range(host_count):
            platform = f"127.0.0.1:{port}"
            self.hosts.append(HostProcess(index, self._ports, platform, folder))
        for host in self.hosts:
            host.start(self.seeds())
        return await wait_until_ready(self.hosts, READY_TIMEOUT_S)

    def seeds(self) -> list[str]:
        """Return the control addresses that the settings name."""
        return [host.control for host in self.hosts[:3]]

    def write_entry(self, worker: Worker) -> None:
        """Let a worker write its entry; the store takes a change of `seq` as none."""
        entry = worker.entry()
        stored = self.store._objects.get("servers", {}).get(worker.worker_id)
        if stored is not None and not stored.deleted:
            entry["seq"] = stored.spec["seq"]
        self.store.put("servers", worker.worker_id, entry)

    async def _write_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.worker_id not in self.silent:
                    self.write_entry(worker)

    async def restart(self, host: HostProcess) -> None:
        """Start a process again that has ended, as the platform does."""
        await asyncio.sleep(RESTART_S)
        host.start(self.seeds())

    async def stop(self) -> None:
        """End all processes and stand-ins that were started."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for host in self.hosts:
            for line in host.log_lines("level=ERROR")[:5]:
                self.record.note(f"log of {host.name}: {line[:600]}")
            host.kill()
        for worker in self.workers:
            await worker.stop()
        await self.store.close()
        self._folder.cleanup()


def route(kind: str, prefix: str, service: str, **fields: object) -> dict:
    """Return a route of the manifest."""
    return {
        "host": HOST_NAME,
        "path_prefix": prefix,
        "route_type": kind,
        "service": service,
        "timeout_s": 2.0,
        "target_latency_s": 0.4,
        "priority": 1,
        "max_attempts": 2,
        "affinity": True,
        "home_regions": [],
        **fields,
    }


def manifest(routes: dict[str, dict]) -> dict:
    """Return a manifest with these routes and the services that they name."""
    names = {data["service"] for data in routes.values()}
    service = {
        "health_path": "/health",
        "max_connections": 330,
        "cold_start_s": 3.0,
        "cold_per_s": 12.0,
    }
    return {
        "version": "r7",
        "routes": routes,
        "services": {name: dict(service) for name in sorted(names)},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }


async def _in_time(playing: Awaitable[Outcome]) -> Outcome:
    async with asyncio.timeout(MAX_RUN_S):
        return await playing


def run_case(folder: Path, play: Callable[[Record], Awaitable[Outcome]]) -> None:
    """Run a case, write its record and exit with its code.

    Parameters
    ----------
    folder : Path
        The folder of the case, for ``record.txt``.
    play : callable
        Coroutine function that plays the case; returns the exit code and the reason.
    """
    record = Record(folder / "record.txt")
    try:
        code, why = asyncio.run(_in_time(play(record)))
    except Exception as exc:
        code, why = COULD_NOT_RUN, repr(exc)
    words = {HELD: "HELD", BROKEN: "BROKEN", COULD_NOT_RUN: "COULD NOT RUN"}
    record.note(f"result {words[code]}: {why}", show=True)
    record.close()
    sys.exit(code)
