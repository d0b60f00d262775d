"""The root of an entry host on the users' platform: its tree, its start, its end."""

import asyncio
import gc
import itertools
import os
import random
import secrets
import signal

from .. import logs
from ..checks import split_address
from ..clock import Clock, SystemClock
from ..core.active import cores_needed
from ..core.fleet_shares import fleet_share, region_share, serving_hosts
from ..core.membership import HostInfo
from ..core.placement import Placement
from ..core.replica import Kind
from ..core.roster import Roster
from ..core.send_gate import SendGate
from ..core.steering import Steering
from ..errors import SettingsError
from ..host.supervisor import Child, Supervisor, run_until_stopped
from ..platform.objects import ObjectDecoder
from ..platform.settings import SETTINGS_VARIABLE, load_gateway, settings_path
from ..platform.store import ObjectStore
from .callers import CallerListener
from .context import Gateway
from .gauges import measure_host
from .pages import PageListener, answer_lookup, answer_metrics, answer_readiness
from .peers import Peers
from .quarantine_store import QuarantineStore
from .settings import GatewaySettings
from .store_follower import HostDirectory, StoreFollower

INCARNATION_BITS = 31
TICK_S = 0.1
# The same at a host that cannot serve yet, in seconds: callers are told of it as soon
# as it can.
START_TICK_S = 0.02
# Ticks between reviews of shares: they walk all hosts and servers, and move slowly.
SHARES_TICKS = 5
# How long a leaving host still takes new connections, in seconds: callers keep a list
# of hosts for up to three times its lifetime.
SERVE_ON_S = 3.2
# Time kept between the end of the last request and the platform's kill, in seconds.
END_EARLY_S = 0.3
FINISH_POLL_S = 0.02
# How long a leaving host waits for requests on connections that are still open, in
# seconds: a packet that was lost on the way comes again within it.
QUIET_END_S = 0.3
SETTINGS_POLL_S = 2.0
# Part of a server's connection limit that all hosts together use.
CONNECTION_MARGIN = 0.8
# Allocations between collections of the youngest objects. A request leaves few cycles,
# and a later collection finds as many at once.
GC_THRESHOLD = 10_000


class GatewayApp:
    """One entry host.

    The tree::

        gateway
        |-- readiness, directory, entry, metrics    listeners
        |-- peers, tell, seek, quotas               other hosts
        |-- config, evacuations, servers,           the store
        |   quarantines, quarantine-store
        |-- hosts                                   who else is there
        |-- settings                                the settings file
        `-- ticker

    Parameters
    ----------
    cfg : GatewaySettings
        Settings.
    settings_path : str
        File that the settings came from.
    clock : Clock, optional
        Source of time.
    rng : random.Random, optional
        Source of spreads and of the incarnation.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        settings_path: str = "",
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random(secrets.randbits(64))
        clock = clock or SystemClock()
        own = HostInfo(
            cfg.host_id,
            cfg.region,
            cfg.failure_domain,
            cfg.entry,
            cfg.peer,
            cores=cfg.cores,
        )
        bounds = cfg.bounds
        placement = Placement(
            cfg.region,
            cfg.region_of,
            rng,
            bounds.cold_over,
            bounds.cold_slack,
            cfg.policy,
            SendGate(cfg.host_id),
        )
        steering = Steering(
            placement, ObjectDecoder(), rng, bounds.retry_ratio, bounds.retry_extra
        )
        self.gateway = Gateway(
            cfg, clock, steering, Roster(own), rng.getrandbits(INCARNATION_BITS)
        )
        self.gateway.backends.limit = self._connection_limit
        self.entry = CallerListener(self.gateway)
        # Until servers are known, as few hosts as there can be are active.
        self.gateway.roster.needed = 0.0
        self._settings_path = settings_path
        self._reload = asyncio.Event()
        self._store = ObjectStore(cfg.platform)
        self._peers = Peers(self.gateway)
        self._hosts = HostDirectory(self.gateway, self._store)
        self.root = Supervisor("gateway", self._children())

    def _children(self) -> list[Child]:
        gateway = self.gateway
        cfg = gateway.cfg
        gateway.crashes.on_gossip = self._peers.send_gossip
        follower = StoreFollower(gateway, self._store, self._peers.publish)
        metrics = f"{split_address(cfg.entry)[0]}:{cfg.metrics_port}"
        return [
            Child("peers", self._peers.run),
            Child("tell", self._peers.send_updates),
            Child("seek", self._peers.greet_seeds),
            Child("quotas", self._follow_quotas),
            Child("config", follower.watch_loop(Kind.CONFIG)),
            Child("evacuations", follower.watch_loop(Kind.EVACUATION)),
            Child("servers", follower.watch_loop(Kind.SERVER)),
            Child("quarantines", follower.watch_loop(Kind.QUARANTINE)),
            Child("quarantine-store", QuarantineStore(gateway, self._store).run),
            Child("hosts", self._hosts.run),
            Child("entry", self.entry.run),
            Child("directory", PageListener(gateway, cfg.directory, answer_lookup).run),
            Child(
                "readiness", PageListener(gateway, cfg.readiness, answer_readiness).run
            ),
            Child("metrics", PageListener(gateway, metrics, answer_metrics).run),
            Child("settings", self._follow_settings),
            Child("ticker", self._tick),
        ]

    async def _follow_quotas(self) -> None:
        await self.gateway.quota_admission.send_updates(self._peers.send_to)

    def _connection_limit(self, service: str) -> int:
        """Return this host's part of a server's connection limit."""
        table = self.gateway.steering.table
        declared = table.config.services.get(service) if table else None
        most = declared.max_connections if declared else 100
        return max(2, int(most * CONNECTION_MARGIN / self.gateway.steering.hosts))

    async def _tick(self) -> None:
        for tick in itertools.count():
            starting = self.gateway.roster.starting
            await asyncio.sleep(START_TICK_S if starting else TICK_S)
            now = self.gateway.now()
            self._review(now)
            if tick % SHARES_TICKS == 0:
                self._review_shares(now)
                self._measure(now)

    def _review(self, now: float) -> None:
        gateway = self.gateway
        for server_id in gateway.steering.tick(now):
            logs.event("server-lapsed", server=server_id)
        for host_id in gateway.roster.forget_silent(now):
            logs.event("host-forgotten", host_id=host_id)
        gateway.crashes.review()
        placement = gateway.steering.placement
        for host_id, entry in gateway.roster.entries.items():
            if not entry.live(now):
                placement.known.set_peer_counts(host_id, {}, now)
        gateway.roster.store_unreachable = gateway.watch_election.store_unreachable(now)
        gateway.review_rank(now)
        if gateway.roster.starting and gateway.steering.ready():
            gateway.roster.starting = False
            self._peers.announce()
            logs.event("host-serving", config=gateway.steering.table.config.version)

    def _review_shares(self, now: float) -> None:
        """Review this host's part of what all hosts share, and what callers need."""
        gateway = self.gateway
        steering = gateway.steering
        placement = steering.placement
        servers = placement.known.servers.values()
        roster = gateway.roster
        steering.hosts = len(roster.active.keys() | {roster.own.host_id})
        steering.set_part(fleet_share(roster, now))
        placement.eligibility.region_part = region_share(roster, now)
        rates = placement.gate.rates
        rates.set_hosts(serving_hosts(roster, now), now)
        rates.forget_old(now, placement.known.servers.keys())
        placement.gate.backoffs.forget_old(now)
        placement.reserved.review(servers, now)
        config = steering.table.config if steering.table else None
        roster.needed = cores_needed(config, servers)

    def _measure(self, now: float) -> None:
        metrics = self.gateway.metrics
        metrics.set_gauge("requests.running", self.entry.running)
        metrics.set_gauge("callers.connections", self.entry.server.connections)
        metrics.set_gauge("store.calls", self._store.calls)
        measure_host(self.gateway, now)

    # Settings

    def reload(self) -> None:
        """Read the settings again soon."""
        self._reload.set()

    async def _follow_settings(self) -> None:
        """Read the settings file again when told, or when it has changed."""
        seen = _changed_at(self._settings_path)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._reload.wait()
            except TimeoutError:
                if _changed_at(self._settings_path) == seen:
                    continue
            self._reload.clear()
            seen = _changed_at(self._settings_path)
            self._take_settings()

    def _take_settings(self) -> None:
        """Take over the promises and seeds; addresses stay until the next start."""
        try:
            cfg = load_gateway(self._settings_path)
        except SettingsError as exc:
            logs.event("settings-refused", "ERROR", code=exc.code, why=exc.message)
            return
        self.gateway.cfg = cfg
        bounds = cfg.bounds
        steering = self.gateway.steering
        steering.placement.eligibility.set_cold_bound(
            bounds.cold_over, bounds.cold_slack
        )
        steering.set_retry_allowance(bounds.retry_ratio, bounds.retry_extra)
        self.gateway.quotas.set_bound(bounds.quotas, self.gateway.times())
        logs.event("settings-reloaded", host_id=cfg.host_id)

    # Life

    async def run(self, stop: asyncio.Event) -> None:
        """Run until `stop` is set and every request has had its answer."""
        await run_until_stopped(self.root, stop, self._leave, self._store.close)

    async def _leave(self) -> None:
        """Leave the lists of hosts at once, serve on, finish every request, then end.

        Failure: a host that closes its listener first refuses callers that were sent
        to it a moment ago; one that ends at once cuts bookings and uploads.
        """
        gateway = self.gateway
        gateway.roster.leaving = True
        gateway.quotas.leave(gateway.times())
        self._peers.announce()
        logs.event("host-leaving", running=self.entry.running)
        started = gateway.now()
        leave = asyncio.get_running_loop().create_task(self._hosts.leave())
        await asyncio.sleep(min(SERVE_ON_S, gateway.cfg.bounds.grace_s / 2))
        await self.entry.server.stop_listening()
        await self._finish(started + gateway.cfg.bounds.grace_s - END_EARLY_S)
        await self.entry.server.close()
        leave.cancel()
        await asyncio.gather(leave, return_exceptions=True)
        gateway.crashes.close()
        logs.event("host-stopped", cut=self.entry.running)

    async def _finish(self, ends: float) -> None:
        """Wait until every request has had its answer, `ends` at most.

        Failure: a connection was being accepted as the listener closed, and no list of
        open ones had it. Its request comes in the next moment, is sent to a server, and
        the host, which had found nothing running, ends under it. So a host that still
        has connections waits until they have been quiet for a while; then it closes
        them before anything else can begin.
        """
        quiet_since = self.gateway.now()
        while (now := self.gateway.now()) < ends:
            if self.entry.running:
                quiet_since = now
            elif not self.entry.server.connections or now - quiet_since >= QUIET_END_S:
                return
            await asyncio.sleep(FINISH_POLL_S)


def _changed_at(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


def main() -> None:
    """Run an entry host with the settings that the platform names.

    Raises
    ------
    SettingsError
        With code ``no-settings`` when it names none.
    """
    path = settings_path()
    if not path:
        raise SettingsError("no-settings", f"expected {SETTINGS_VARIABLE} to be set")
    # What is loaded now stays and need not be looked through at each collection.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(run_gateway(path))


async def run_gateway(settings_path: str) -> None:
    """Run an entry host on the platform until SIGTERM."""
    cfg = load_gateway(settings_path)
    output = logs.setup_stdout(cfg.log_level, host=cfg.host_id)
    app = GatewayApp(cfg, settings_path)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(signal.SIGHUP, app.reload)
    logs.event(
        "host-starting",
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        entry=cfg.entry,
        peer=cfg.peer,
        platform=cfg.platform,
        incarnation=app.gateway.incarnation,
    )
    try:
        await app.run(stop)
    finally:
        output.flush()
