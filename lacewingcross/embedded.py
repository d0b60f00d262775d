"""A whole deployment in one process, for the demo, benchmarks and tests."""

import asyncio
import random
import secrets
import socket
from collections.abc import Iterator

from .core.keeper import KeeperPolicy
from .deployments import Layout
from .host.app import HostApp
from .operations import Operator, read_documents
from .platform_client import PlatformClient
from .settings import HostSettings
from .standins.backend import BackendStandin
from .standins.platform import PlatformStandin

# Range of listener ports, without `LAST_PORT` itself. The range is below the ephemeral
# ports that the system assigns to outgoing connections (32768 and above on Linux).
FIRST_PORT = 12_000
LAST_PORT = 32_000


def free_ports() -> Iterator[int]:
    """Yield ports that were free when checked, each at most once.

    Guards against a listener that finds its address in use. A port that the system
    chooses (by binding port 0) is an ephemeral port and is free again until its
    listener opens. Meanwhile, the system may assign the port to an outgoing connection
    of any process, and the address stays in use while that connection lasts. The system
    does not assign the ports of this range to outgoing connections by default.
    """
    port_count = LAST_PORT - FIRST_PORT
    start = secrets.randbelow(port_count)
    for offset in range(port_count):
        port = FIRST_PORT + (start + offset) % port_count
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


class EmbeddedDeployment:
    """Stand-ins and hosts of a layout on one event loop, connected by loopback TCP.

    Parameters
    ----------
    layout : Layout
        Settings and resources.
    policy : KeeperPolicy, optional
        Admission settings of all hosts.
    seed : int, default=1
        Seed for the random number generators of the hosts.
    """

    def __init__(
        self, layout: Layout, policy: KeeperPolicy | None = None, seed: int = 1
    ) -> None:
        self.layout = layout
        self.platform = PlatformStandin(layout.platform)
        self.backends = {cfg.server_id: BackendStandin(cfg) for cfg in layout.backends}
        self.hosts: dict[str, HostApp] = {}
        self.operator = Operator(PlatformClient(layout.platform.listen, writer="demo"))
        self._policy = policy
        self._rng = random.Random(seed)
        self._stops: dict[str, asyncio.Event] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start the stand-ins and hosts and apply the resources of the layout.

        Return after the configuration is in force and every host has its plans.
        """
        await self.platform.start()
        for backend in self.backends.values():
            await backend.start()
        for cfg in self.layout.hosts:
            self.start_host(cfg)
        newest = 0
        for document in read_documents(self.layout.resources, "layout"):
            applied = await self.operator.apply(document)
            newest = max(newest, applied.version)
        await self.operator.wait_in_force(newest, 15.0)
        await self.wait_plans(15.0)

    async def wait_plans(self, timeout_s: float) -> None:
        """Wait until every host has a plan for every service."""
        async with asyncio.timeout(timeout_s):
            while not all(self._has_plans(app) for app in self.hosts.values()):
                await asyncio.sleep(0.05)

    def _has_plans(self, app: HostApp) -> bool:
        view = app.runtime.core.view
        return set(view.plans) == set(view.config.policies)

    def start_host(self, cfg: HostSettings) -> HostApp:
        """Start one host as a task; return without waiting until it serves."""
        app = HostApp(cfg, rng=random.Random(self._rng.random()), policy=self._policy)
        stop = asyncio.Event()
        self.hosts[cfg.host_id] = app
        self._stops[cfg.host_id] = stop
        task = asyncio.get_running_loop().create_task(app.run(stop))
        self._tasks[cfg.host_id] = task
        return app

    async def stop_host(self, host_id: str) -> None:
        """Stop one host gracefully."""
        self._stops[host_id].set()
        await self._tasks.pop(host_id)
        del self.hosts[host_id]

    async def kill_host(self, host_id: str) -> None:
        """Stop one host without any announcement, like a crash."""
        task = self._tasks.pop(host_id)
        del self.hosts[host_id]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def entries(self) -> list[str]:
        """Return the entry addresses of the running hosts."""
        return [app.cfg.entry for app in self.hosts.values()]

    def counters(self) -> dict[str, int]:
        """Return the counters, summed over the running hosts."""
        total: dict[str, int] = {}
        for app in self.hosts.values():
            for name, value in app.runtime.metrics.counters.items():
                total[name] = total.get(name, 0) + value
        return total

    async def close(self) -> None:
        """Stop all hosts without announcement, then the stand-ins."""
        for host_id in list(self._tasks):
            await self.kill_host(host_id)
        for backend in self.backends.values():
            await backend.close()
        await self.platform.close()
        self.operator.platform.close()
