"""Builds, starts and shuts down an entry host on the users' platform."""

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
from ..core.fleet_shares import (
    ASSUMED_HOSTS,
    fleet_share,
    region_share,
    serving_hosts,
)
from ..core.membership import HostInfo
from ..core.placement.placement import Placement
from ..core.placement.send_gate import SendGate
from ..core.replica import Kind
from ..core.roster import Roster
from ..core.shutdown import Shutdown
from ..core.steering import Steering
from ..errors import SettingsError
from ..host.supervisor import Child, Supervisor, run_until_stopped
from ..platform.objects import ObjectDecoder
from ..platform.settings import SETTINGS_VARIABLE, load_gateway, settings_path
from ..platform.store import ObjectStore
from .callers import CallerListener
from .context import Gateway
from .gauges import measure_host
from .host_directory import HostDirectory
from .last_configuration import LastConfigurationStore
from .pages import PageListener, answer_lookup, answer_metrics, answer_readiness
from .paths.carrier import Carrier
from .paths.checks import PathChecks
from .paths.recovery import PathReview
from .peers import Peers
from .quarantine_store import QuarantineStore
from .settings import GatewaySettings
from .store_follower import StoreFollower

INCARNATION_BITS = 31
# Time between reviews of this host's state once it can serve, in seconds.
TICK_S = 0.1
# Time between reviews while the host cannot serve yet, in seconds. It is shorter so
# that callers are sent to the host as soon as it can serve.
START_TICK_S = 0.02
# Number of reviews of this host's state for each review of its shares of the limits
# that all hosts share: rate and connection limits of servers, for example. A review of
# shares iterates over all hosts and servers, and shares change slowly.
SHARE_REVIEW_TICKS = 5
# How long a leaving host still accepts new connections, in seconds, but at most half of
# `Bounds.grace_s`. Callers keep the answer to a look-up for up to three times its
# lifetime, 3 * 1.5 s. This time covers two lifetimes, and so do the 3 s that remain of
# it with the default `Bounds.grace_s`. A caller that keeps an answer for longer may
# still use this host after its listener has closed, and is refused.
ACCEPT_WHILE_LEAVING_S = 3.2
FINISH_POLL_S = 0.02
# Time without a running request after which a leaving host closes the connections that
# are still open, in seconds. On an open connection a lost packet is usually sent again
# within this time; only a lost opening packet is sent again after a second.
QUIET_BEFORE_CLOSE_S = 0.3
SETTINGS_POLL_S = 2.0
# Share of a server's connection limit that all active hosts together use.
CONNECTION_LIMIT_SHARE = 0.8
# Allocations between garbage collections of the youngest generation. A request leaves
# few reference cycles, and a rarer collection finds the cycles of many requests at
# once.
GC_THRESHOLD = 10_000


class GatewayApp:
    """One entry host.

    Its supervisor runs the children below. `peers` listens for other hosts and keeps
    the links to them. `tell` sends heartbeats with the requests in flight, and the
    crashes and signals of servers. `seek` greets the seeds while no other host is
    known. `quotas` sends quota messages. `paths` checks whether this host reaches the
    servers::

        gateway
        |-- readiness, directory, entry, metrics    listeners
        |-- peers, tell, seek, quotas, paths        messages with other hosts
        |-- config, evacuations, servers,           the store
        |   quarantines, quarantine-store,
        |   last-configuration
        |-- hosts                                   list of entry hosts
        |-- settings                                settings file
        `-- ticker                                  periodic reviews

    Parameters
    ----------
    cfg : GatewaySettings
        Settings of this host.
    settings_path : str
        File that the settings were read from.
    clock : Clock, optional
        Source of time.
    rng : random.Random, optional
        Source of jitter and of the incarnation.
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
            cfg.failure_domain,
        )
        steering = Steering(placement, ObjectDecoder(), rng, bounds.retry_allowance)
        steering.retry_budgets.begin_full = cfg.first_start
        self.gateway = Gateway(
            cfg, clock, steering, Roster(own), rng.getrandbits(INCARNATION_BITS)
        )
        self.gateway.backends.connection_limit = self._connection_limit
        self.entry = CallerListener(self.gateway)
        # Cores that the entry hosts need to serve all known servers. The value is 0
        # until servers are known, so that the fewest hosts are active.
        self.gateway.roster.cores_needed = 0.0
        self._settings_path = settings_path
        self._reload = asyncio.Event()
        self._store = ObjectStore(cfg.platform)
        checks = self._path_checks()
        self._path_review = PathReview(self.gateway, checks)
        self.carrier = Carrier(self.gateway, checks.look)
        self._peers = Peers(self.gateway, self.carrier)
        self._hosts = HostDirectory(self.gateway, self._store)
        self.root = Supervisor("gateway", self._children(), self._count_restart)

    def _count_restart(self, child: str) -> None:
        self.gateway.metrics.count(f"children.restarted.{child}")

    def _path_checks(self) -> PathChecks:
        gateway = self.gateway
        checks = PathChecks(gateway)
        gateway.backends.on_connected = checks.note_connected
        gateway.crashes.find = checks.find
        gateway.crashes.has_open = gateway.backends.has_open
        gateway.on_path_failure = checks.note_failure
        gateway.on_path_silence = checks.note_silence
        return checks

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
            Child("quotas", self._run_quotas),
            Child("paths", self._path_review.run),
            Child("config", follower.watch_loop(Kind.CONFIG)),
            Child("evacuations", follower.watch_loop(Kind.EVACUATION)),
            Child("servers", follower.watch_loop(Kind.SERVER)),
            Child("quarantines", follower.watch_loop(Kind.QUARANTINE)),
            Child("quarantine-store", QuarantineStore(gateway, self._store).run),
            Child(
                "last-configuration", LastConfigurationStore(gateway, self._store).run
            ),
            Child("hosts", self._hosts.run),
            Child("entry", self.entry.run),
            Child("directory", PageListener(gateway, cfg.directory, answer_lookup).run),
            Child(
                "readiness", PageListener(gateway, cfg.readiness, answer_readiness).run
            ),
            Child("metrics", PageListener(gateway, metrics, answer_metrics).run),
            Child("settings", self._watch_settings),
            Child("ticker", self._tick),
        ]

    async def _run_quotas(self) -> None:
        await self.gateway.quota_admission.send_updates(self._peers.send_to)

    def _connection_limit(self, service: str) -> int:
        """Return how many connections to one server of a service this host may open.

        That is `CONNECTION_LIMIT_SHARE` of the service's limit, divided equally among
        the active hosts and this host, but at least 2. With many hosts, the sum over
        all hosts may therefore exceed that share of the limit. If the configuration
        does not contain the service, its limit counts as 100.
        """
        table = self.gateway.steering.table
        declared = table.config.services.get(service) if table else None
        limit = declared.max_connections if declared else 100
        return max(
            2, int(limit * CONNECTION_LIMIT_SHARE / self.gateway.steering.host_count)
        )

    async def _tick(self) -> None:
        for tick in itertools.count():
            starting = self.gateway.roster.starting
            await asyncio.sleep(START_TICK_S if starting else TICK_S)
            now = self.gateway.now()
            self._review(now)
            if tick % SHARE_REVIEW_TICKS == 0:
                self._review_shares(now)
                self._update_gauges(now)

    def _review(self, now: float) -> None:
        gateway = self.gateway
        for server_id in gateway.steering.tick(now):
            logs.event("server-lapsed", server=server_id)
        for host_id in gateway.roster.forget_silent(now):
            logs.event("host-forgotten", host_id=host_id)
        gateway.crashes.review()
        placement = gateway.steering.placement
        placement.local_peers = gateway.roster.local_peers()
        for host_id, entry in gateway.roster.entries.items():
            if not entry.live(now):
                placement.known.forget_peer(host_id, now)
        gateway.roster.store_unreachable = gateway.watch_election.store_unreachable(now)
        gateway.review_rank(now)
        if gateway.roster.starting:
            gateway.start_report.review(now)
            self._begin_to_serve(now)

    def _begin_to_serve(self, now: float) -> None:
        gateway = self.gateway
        if gateway.steering.ready():
            gateway.roster.starting = False
            self._peers.announce()
            gateway.start_report.serving(now)

    def _review_shares(self, now: float) -> None:
        """Update this host's shares of limits, and the cores that are needed.

        The limits are those that all hosts share, such as the rate and connection
        limits of servers. The needed cores decide how many hosts are active. Old limits
        and back-offs of servers are forgotten, and reservations of servers are
        reviewed.
        """
        gateway = self.gateway
        steering = gateway.steering
        placement = steering.placement
        servers = placement.known.servers.values()
        roster = gateway.roster
        steering.host_count = len(roster.active.keys() | {roster.own.host_id})
        serving = serving_hosts(roster, now)
        steering.retry_budgets.set_host_share(
            fleet_share(roster, now), len(serving) or ASSUMED_HOSTS, now
        )
        placement.eligibility.host_region_share = region_share(roster, now)
        rates = placement.gate.rates
        rates.set_hosts(serving, now)
        rates.forget_old(now, placement.known.servers.keys())
        placement.gate.backoffs.forget_old(now)
        placement.reserved.review(servers, now)
        config = steering.table.config if steering.table else None
        roster.cores_needed = cores_needed(config, servers)

    def _update_gauges(self, now: float) -> None:
        metrics = self.gateway.metrics
        metrics.set_gauge("requests.running", self.entry.running_requests)
        metrics.set_gauge("callers.connections", self.entry.server.connections)
        metrics.set_gauge("store.calls", self._store.calls)
        metrics.set_gauge("store.era", self._store.era)
        measure_host(self.gateway, now)

    def reload(self) -> None:
        """Cause the settings file to be read again at once."""
        self._reload.set()

    async def _watch_settings(self) -> None:
        """Read the settings file after `reload`, or when its modification time changes.

        The modification time is checked every `SETTINGS_POLL_S`.
        """
        modified_at = _modified_at(self._settings_path)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._reload.wait()
            except TimeoutError:
                if _modified_at(self._settings_path) == modified_at:
                    continue
            self._reload.clear()
            modified_at = _modified_at(self._settings_path)
            self._apply_settings()

    def _apply_settings(self) -> None:
        """Apply new bounds and seeds; addresses only change at the next start.

        Of `policy`, only the switches that are read for each request or message apply.
        A file that cannot be read is logged, and the host keeps the settings it has.
        """
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
        now = self.gateway.now()
        steering.retry_budgets.set_allowance(bounds.retry_allowance, now)
        self.gateway.quotas.set_bound(bounds.quota_bound, self.gateway.times())
        logs.event("settings-reloaded", host_id=cfg.host_id)

    async def run(self, stop: asyncio.Event) -> None:
        """Run until `stop` is set, then finish the requests and shut down."""
        await run_until_stopped(self.root, stop, self._shut_down, self._store.close)

    async def _shut_down(self) -> None:
        """Announce the shutdown, go on serving for a while, finish all requests, stop.

        Guards against a shutdown that callers notice. A host that closes its listener
        first refuses callers that a look-up has just sent to it. A host that stops at
        once cuts off bookings and uploads. So this host first announces that it is
        shutting down, goes on accepting connections for a while, see
        `ACCEPT_WHILE_LEAVING_S`, and then waits for the requests that are running. All
        this time it refuses requests that it could not end, see `Shutdown`.
        """
        gateway = self.gateway
        shutdown = Shutdown.begin(gateway.now(), gateway.cfg.bounds.grace_s)
        gateway.shutdown = shutdown
        gateway.roster.leaving = True
        gateway.quotas.leave(gateway.times())
        self._peers.announce()
        logs.event(
            "host-leaving",
            running=self.entry.running_requests,
            ends_in_s=shutdown.end_at - shutdown.began_at,
        )
        leave_task = asyncio.get_running_loop().create_task(self._hosts.leave())
        await asyncio.sleep(min(ACCEPT_WHILE_LEAVING_S, gateway.cfg.bounds.grace_s / 2))
        await self.entry.server.stop_listening()
        await self._wait_for_requests(shutdown.end_at)
        await self.entry.server.close()
        leave_task.cancel()
        await asyncio.gather(leave_task, return_exceptions=True)
        gateway.crashes.close()
        logs.event("host-stopped", cut=self.entry.running_requests)

    async def _wait_for_requests(self, deadline_at: float) -> None:
        """Wait until every request is answered, at most until `deadline_at`.

        Guards against a connection that is accepted while the listener closes, and so
        is not closed with the idle connections. Its request may arrive after the host
        has found no request running. If the host stopped then, it would cut that
        request off at the server. So a host with open connections waits until no
        request has been running for `QUIET_BEFORE_CLOSE_S`. The caller of this method
        then closes the connections before another request can begin.

        Parameters
        ----------
        deadline_at : float
            Monotonic time in seconds.
        """
        quiet_since = self.gateway.now()
        while (now := self.gateway.now()) < deadline_at:
            if self.entry.running_requests or self.carrier.running:
                quiet_since = now
            elif (
                not self.entry.server.connections
                or now - quiet_since >= QUIET_BEFORE_CLOSE_S
            ):
                return
            await asyncio.sleep(FINISH_POLL_S)


def _modified_at(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


def main() -> None:
    """Run an entry host with the settings file that the platform names.

    Raises
    ------
    SettingsError
        With code ``no-settings`` when the platform names none.
    """
    path = settings_path()
    if not path:
        raise SettingsError("no-settings", f"expected {SETTINGS_VARIABLE} to be set")
    # Objects that exist now stay for the whole run, so the garbage collector need not
    # examine them in each collection.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(run_gateway(path))


async def run_gateway(settings_path: str) -> None:
    """Run an entry host on the platform until SIGTERM or SIGINT.

    SIGHUP makes the host read the settings file again.
    """
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
