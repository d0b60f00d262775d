"""Starts a deployment as real processes for tests, and stops these processes only."""

import asyncio
import dataclasses
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from lacewingcross.caller import Caller
from lacewingcross.deployments import Deployment, Layout, Ports, ServiceShape, lay_out
from lacewingcross.embedded import free_ports
from lacewingcross.http1_client import HttpClient, HttpError
from lacewingcross.operations import Operator, read_documents
from lacewingcross.platform_client import PlatformClient
from lacewingcross.settings import as_data

WAIT_S = 30.0
SMALL = Deployment(
    "small",
    ("north", "south", "west"),
    3,
    (ServiceShape("booking", 4, 3, 100, 20.0, 5_000, 0.1, 5.0),),
    0.0,
    10,
)


def small_layout(**options) -> Layout:
    """Return a layout of three hosts and four backend servers.

    Each host is in a region and a failure domain of its own.
    """
    layout = lay_out(SMALL, Ports(free_ports()), log_level="WARNING", **options)
    domains = ["north-1", "south-1", "west-1"]
    for index, (domain, cfg) in enumerate(zip(domains, layout.hosts, strict=False)):
        region = domain.partition("-")[0]
        layout.hosts[index] = dataclasses.replace(
            cfg, region=region, failure_domain=domain
        )
    known_hosts = tuple(
        dataclasses.replace(item, region=cfg.region, failure_domain=cfg.failure_domain)
        for item, cfg in zip(layout.platform.hosts, layout.hosts, strict=True)
    )
    layout.platform = dataclasses.replace(
        layout.platform, hosts=known_hosts, list_lag_s=0.3
    )
    return layout


class Processes:
    """The platform, hosts and backend servers of a layout, each as a process."""

    def __init__(self, layout: Layout, ssl=None) -> None:
        self.layout = layout
        self.ssl = ssl
        client = PlatformClient(layout.platform.listen, ssl, writer="test")
        self.operator = Operator(client)
        self._dir = tempfile.TemporaryDirectory()
        self._running: dict[str, subprocess.Popen] = {}

    async def __aenter__(self) -> "Processes":
        self.spawn("platform", ["standin", "platform"], self.layout.platform)
        for cfg in self.layout.backends:
            self.spawn(cfg.server_id, ["standin", "backend"], cfg)
        for cfg in self.layout.hosts:
            self.spawn(cfg.host_id, ["host"], cfg)
        await self.platform_ready()
        await self.backends_ready()
        newest = 0
        for document in read_documents(self.layout.resources, "layout"):
            newest = max(newest, (await self.operator.apply(document)).version)
        await self.operator.wait_in_force(newest, WAIT_S)
        await until(self._planned)
        return self

    async def __aexit__(self, *_exc) -> None:
        for proc in self._running.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
            proc.wait()
        self._dir.cleanup()
        self.operator.platform.close()

    def spawn(self, name: str, args: list[str], cfg) -> None:
        """Start one process with its settings file."""
        path = Path(self._dir.name) / f"{name}.json"
        path.write_text(json.dumps(as_data(cfg)))
        log = open(Path(self._dir.name) / f"{name}.log", "ab")  # noqa: SIM115
        self._running[name] = subprocess.Popen(
            [sys.executable, "-m", "lacewingcross", *args, "--cfg", str(path)],
            stderr=log,
            stdout=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()

    def log_of(self, name: str) -> str:
        """Return what a process has logged."""
        return (Path(self._dir.name) / f"{name}.log").read_text()

    def signal(self, name: str, signum: int) -> None:
        """Send a signal to one process."""
        self._running[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL and wait until it has ended."""
        proc = self._running.pop(name)
        proc.kill()
        proc.wait()

    async def wait_exit(self, name: str) -> int:
        """Wait until a process ends by itself; return its exit status."""
        proc = self._running[name]
        await until(lambda: proc.poll() is not None)
        return self._running.pop(name).returncode

    def alive(self, name: str) -> bool:
        """Return whether a process still runs."""
        return self._running[name].poll() is None

    async def platform_ready(self) -> None:
        """Wait until the platform answers."""
        address = self.layout.platform.listen
        await until(lambda: self.fetch(address, "/v1/hosts", ssl=self.ssl))

    async def backends_ready(self) -> None:
        """Wait until every backend server answers.

        Guards against hosts that are ready before the backend servers listen, as on a
        busy machine. A test that read a server's ledger by then would get no answer and
        fail. Each ledger has been read once when this method returns.
        """
        for cfg in self.layout.backends:
            await until(lambda cfg=cfg: self.fetch(cfg.listen, "/control/ledger"))

    async def _planned(self) -> bool:
        for cfg in self.layout.hosts:
            status = await self.fetch(cfg.operators, "/status")
            if not status or not status["plans"]:
                return False
        return True

    async def fetch(self, address: str, target: str, data: object = None, ssl=None):
        """Return the JSON answer of a GET, or of a POST when `data` is given.

        None means that there was no answer, or that it was not JSON.
        """
        client = HttpClient(address, ssl)
        try:
            if data is None:
                response = await client.request("GET", target)
            else:
                body = json.dumps(data).encode()
                response = await client.request("POST", target, None, body)
            return json.loads(response.body)
        except (HttpError, ValueError):
            return None
        finally:
            client.close()

    async def ledgers(self) -> list[dict]:
        """Return the ledger entries of all backend servers not killed by the test."""
        entries = []
        for cfg in self.layout.backends:
            if cfg.server_id in self._running:
                data = await self.fetch(cfg.listen, "/control/ledger")
                entries += data["entries"]
        return entries

    async def backend(self, server_id: str, **switches) -> None:
        """Set a backend server's fault switches."""
        cfg = next(c for c in self.layout.backends if c.server_id == server_id)
        assert await self.fetch(cfg.listen, "/control", switches) == {"ok": True}

    async def faults(self, **switches) -> None:
        """Set the platform's fault switches."""
        address = self.layout.platform.listen
        assert await self.fetch(address, "/control/faults", switches) == {"ok": True}

    def entries(self) -> list[str]:
        """Return the entry addresses of all hosts."""
        return [cfg.entry for cfg in self.layout.hosts]

    def host(self, host_id: str):
        """Return a host's settings."""
        return next(cfg for cfg in self.layout.hosts if cfg.host_id == host_id)


async def book(
    procs, caller_index, stop, answers, *, regions=3, pause_s=0.0, deadline_s=10.0
):
    """Send bookings in sequence until `stop` is set.

    Each booking adds (request id, answer) to `answers`. The caller's address is in the
    block of one of the first `regions` regions, chosen by `caller_index`.
    """
    caller = Caller(
        procs.entries(),
        caller_id=f"c{caller_index}",
        address=f"10.{caller_index % regions + 1}.0.{caller_index + 1}",
    )
    count = 0
    while not stop.is_set():
        count += 1
        request_id = f"c{caller_index}-{count}"
        answer = await caller.request(
            "POST",
            "/booking/x",
            service="booking",
            body=b"x",
            request_id=request_id,
            deadline_s=deadline_s,
        )
        answers.append((request_id, answer))
        await asyncio.sleep(pause_s)
    caller.close()


async def until(condition, timeout_s: float = WAIT_S) -> None:
    """Wait until `condition`, a plain or a coroutine function, returns a true value."""
    async with asyncio.timeout(timeout_s):
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return
            await asyncio.sleep(0.05)
