"""Builds the supervisor tree of an entry host and runs it until a graceful stop."""

import asyncio
import random
import secrets
import signal

from .. import logs
from ..clock import Clock, SystemClock
from ..core.events import ShutdownAsked, Tick
from ..core.keeper import KeeperPolicy
from ..core.membership import HostInfo
from ..core.node import HostCore
from ..metrics import Metrics
from ..platform_client import PlatformClient
from ..settings import HostSettings
from ..tls import TlsFiles
from .backends.pool import BackendPool
from .backends.prober import Prober
from .entry.listener import EntryListener
from .mesh.links import Mesh
from .operators.listener import OperatorsListener
from .platform.watch import ConfigWatcher, HostListPoller
from .platform.writes import PlatformWriter
from .runtime import Runtime
from .supervisor import Child, Supervisor, run_until_stopped

INCARNATION_BITS = 24
BUSY_TICK_INTERVAL_S = 0.02
IDLE_TICK_INTERVAL_S = 0.2
# How long a host still accepts connections after it has announced its shutdown.
SHUTDOWN_NOTICE_S = 2.0
SHUTDOWN_POLL_S = 0.05


class HostApp:
    """One entry host: the core, its adapters and their supervisor tree.

    The supervisor tree::

        host
        |-- tls          reload of the certificates, if TLS is enabled
        |-- platform     configuration watch and polling of the host list
        |-- mesh         links to the other hosts
        |-- backends     health probes of backend servers
        |-- entry        listener for callers
        |-- operators    listener for operators
        `-- ticker       periodic `Tick` events for the core

    Parameters
    ----------
    cfg : HostSettings
        Settings of this host.
    clock : Clock, optional
        Source of time; by default the system clock.
    rng : random.Random, optional
        Source of the core's random choices, of jitter and of the incarnation number of
        this process.
    policy : KeeperPolicy, optional
        Admission settings of the slot keepers.
    """

    def __init__(
        self,
        cfg: HostSettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        policy: KeeperPolicy | None = None,
    ) -> None:
        self.cfg = cfg
        own_info = HostInfo(
            cfg.host_id, cfg.region, cfg.failure_domain, cfg.entry, cfg.peer
        )
        rng = rng or random.Random(secrets.randbits(64))
        core = HostCore(own_info, rng.getrandbits(INCARNATION_BITS), rng, policy)
        self.runtime = Runtime(core, clock or SystemClock(), Metrics())
        self._tls = TlsFiles(cfg.tls) if cfg.tls.enabled else None
        client_ssl = self._tls.client if self._tls else None
        mutual_ssl = self._tls.mutual_server if self._tls else None
        entry_ssl = self._tls.open_server if self._tls else None
        self._platform = PlatformClient(cfg.platform, client_ssl)
        self._writer = PlatformWriter(self.runtime, self._platform)
        self._pool = BackendPool(self.runtime.now)
        self.entry = EntryListener(self.runtime, cfg, self._pool, entry_ssl)
        self._mesh = Mesh(
            self.runtime,
            cfg.peer_listen or cfg.peer,
            cfg.seeds,
            mutual_ssl,
            client_ssl,
        )
        self.root = Supervisor("host", self._children())

    def _children(self) -> list[Child]:
        runtime = self.runtime
        platform = Supervisor(
            "platform",
            [
                Child("config", ConfigWatcher(runtime, self._platform).run),
                Child("hosts", HostListPoller(runtime, self._platform).run),
            ],
        )
        operators = OperatorsListener(runtime, self.cfg.operators)
        tls_children = [Child("tls", self._tls.run)] if self._tls else []
        return [
            *tls_children,
            Child("platform", platform.run),
            Child("mesh", self._mesh.run),
            Child("backends", Prober(runtime).run),
            Child("entry", self.entry.run),
            Child("operators", operators.run),
            Child("ticker", self._run_ticker),
        ]

    async def _run_ticker(self) -> None:
        core = self.runtime.core
        while True:
            self.runtime.dispatch(Tick())
            busy = core.busy()
            await asyncio.sleep(BUSY_TICK_INTERVAL_S if busy else IDLE_TICK_INTERVAL_S)

    async def run(self, stop: asyncio.Event) -> None:
        """Run until `stop` is set and every request has been answered."""
        await run_until_stopped(self.root, stop, self._finish_requests, self._close)

    def _close(self) -> None:
        self._writer.close()
        self._platform.close()

    async def _finish_requests(self) -> None:
        """Leave the look-up answers, then finish every request without a time limit.

        Guards against refused callers and truncated uploads. A host that closed its
        listener first would refuse callers that a look-up sent to it a moment ago, and
        a host that exited at once would cut uploads. This host therefore announces its
        shutdown, serves callers for `SHUTDOWN_NOTICE_S` seconds more, while the
        announcement reaches the other hosts, and exits only when it is idle.
        """
        self.runtime.dispatch(ShutdownAsked())
        await asyncio.sleep(SHUTDOWN_NOTICE_S)
        await self.entry.server.stop_listening()
        while not self.runtime.core.idle() or self.entry.busy:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        logs.event("host-stopped")


async def run_host(cfg: HostSettings) -> None:
    """Run an entry host until SIGTERM or SIGINT."""
    logs.setup(cfg.log_level, host=cfg.host_id)
    logs.switch_level_on_signal(cfg.log_level, host=cfg.host_id)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    logs.event("host-starting", entry=cfg.entry, peer=cfg.peer)
    await HostApp(cfg).run(stop)
