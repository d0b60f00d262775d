"""The state and services that all parts of the gateway share."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable

from .. import headers as hd
from .. import logs
from ..clock import Clock
from ..core import messages as msg
from ..core.backend_state import ServerEntry
from ..core.fleet_shares import rank
from ..core.overload.time_budgets import TimeBudgets
from ..core.paths.selection import Paths
from ..core.quotas.host_quotas import ClockReading, Quotas
from ..core.replica import Document, Update
from ..core.roster import Roster
from ..core.routes import Route
from ..core.shutdown import Shutdown
from ..core.steering import Steering
from ..core.watch_election import WatchElection
from ..metrics import Metrics
from ..wire import PROTOCOL
from .backends import Backends
from .crashes import CrashWatch
from .paths.connector import Connector
from .paths.streams import IndirectStreams
from .quota_admission import QuotaAdmission
from .settings import GatewaySettings
from .start_report import StartReport

# How long after its start a host waits for the list of hosts, in seconds. After that it
# takes part in the election of the hosts that watch the store even without the list. It
# then ranks itself among the hosts that it knows.
# Reading the list takes 10 ms, and 250 ms when the store is slow.
MAX_UNLISTED_S = 1.0


# Receives the entry of a server and a monotonic time in seconds.
NotePath = Callable[[ServerEntry, float], None]


def _ignore_path(_entry: ServerEntry, _since: float) -> None:
    pass


class Gateway:
    """Decisions, connections, clock and metrics of one entry host.

    Parameters
    ----------
    cfg : GatewaySettings
        Settings.
    clock : Clock
        Source of time.
    steering : Steering
        Decisions on requests.
    roster : Roster
        The entry hosts that this host knows.
    incarnation : int
        Random number that identifies this run of the process.

    Attributes
    ----------
    on_path_failure, on_path_silence : callable
        Called with a server's entry, and with the time from which this host could not
        connect to it, or has had no response for longer than usual.
    """

    __slots__ = (
        "_attempt_ids",
        "_clock",
        "_hosts_changed",
        "_started_at",
        "backends",
        "cfg",
        "connector",
        "crashes",
        "incarnation",
        "metrics",
        "on_path_failure",
        "on_path_silence",
        "paths",
        "quota_admission",
        "quotas",
        "rank",
        "roster",
        "shutdown",
        "start_report",
        "steering",
        "streams",
        "time_budgets",
        "watch_election",
    )

    def __init__(
        self,
        cfg: GatewaySettings,
        clock: Clock,
        steering: Steering,
        roster: Roster,
        incarnation: int,
    ) -> None:
        self.cfg = cfg
        self.steering = steering
        self.roster = roster
        self.watch_election = WatchElection(
            clock.monotonic(), first_start=cfg.first_start
        )
        self.incarnation = incarnation
        self.metrics = Metrics()
        self.start_report = StartReport(steering, self.metrics, clock.monotonic())
        self.backends = Backends(
            clock.monotonic, lambda: self.metrics.count("backends.opened")
        )
        self.crashes = CrashWatch(
            steering, self.backends, self.metrics, clock.monotonic
        )
        self.paths = Paths(roster)
        steering.placement.eligibility.paths = self.paths
        self.streams = IndirectStreams(clock.monotonic, self.hello)
        self.connector = Connector(
            self.backends, self.streams, self.paths, clock.monotonic
        )
        self.on_path_failure: NotePath = _ignore_path
        self.on_path_silence: NotePath = _ignore_path
        self.quotas = Quotas(
            roster, cfg.bounds.quota_bound, steering.rng, first_start=cfg.first_start
        )
        self._clock = clock
        self.quota_admission = QuotaAdmission(
            self.quotas, roster, self.metrics, self.times
        )
        self.time_budgets = TimeBudgets()
        # Rank among the hosts that may watch the store, 0 first. It is None while this
        # host has none, see `review_rank`.
        self.rank: int | None = None
        # Set when this host begins to shut down.
        self.shutdown: Shutdown | None = None
        self._started_at = clock.monotonic()
        self._hosts_changed = asyncio.Event()
        self._attempt_ids = itertools.count(1)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def age_s(self) -> float:
        """Return for how many seconds this process has run."""
        return self.now() - self._started_at

    def times(self) -> ClockReading:
        """Return the monotonic time and the time that also runs during a suspend."""
        return ClockReading(self._clock.monotonic(), self._clock.boottime())

    def hello(self) -> msg.Hello:
        """Return the first message on each stream to another host."""
        own = self.roster.own
        return msg.Hello(
            own.host_id,
            self.incarnation,
            PROTOCOL,
            own.region,
            own.failure_domain,
            own.entry,
            own.peer,
            own.cores,
        )

    def take(self, update: Update, *, fresh: bool = True) -> list[Document]:
        """Apply an update from the store or another host; return the changed documents.

        `fresh` says whether the update has just been read from the store, by this host
        or by the host that sent it. Another host's copy of the store may be old.
        """
        replica = self.steering.replica
        known_as_of = replica.as_of(update.kind)
        restored = replica.restored_by(update)
        age_s = self.steering.store_age(self.now())
        changed = self.steering.take(update, self.now(), fresh=fresh)
        self._configure_quotas()
        if restored:
            self.metrics.count("store.restores-seen")
            logs.event(
                "store-restored",
                "WARNING",
                kind=update.kind.name,
                era=update.as_of.era,
                as_of=update.as_of,
                known_as_of=known_as_of,
                age_s=age_s,
                changed=len(changed),
            )
        return changed

    def take_configuration(self, spec: object) -> bool:
        """Put a peer's configuration in force unless a later one is; return whether."""
        taken = self.steering.take_configuration(spec)
        self._configure_quotas()
        return taken

    def _configure_quotas(self) -> None:
        table = self.steering.table
        if table is not None:
            self.quotas.configure(table.config.accounts, self.times())

    def review_rank(self, now: float) -> None:
        """Update this host's rank among the hosts that may watch the store.

        The rank is None until the list of hosts has been read or the host has run for
        `MAX_UNLISTED_S`, and on a standby host with a relay that is alive.

        Guards against a start of all hosts together: each host knows only itself at
        first, so each would rank first and read everything from the store. Once the
        hosts have the list, only one of them ranks first.
        """
        awaits_list = now - self._started_at < MAX_UNLISTED_S and not self.roster.listed
        self.rank = None if awaits_list else rank(self.roster, now)

    def hosts_changed(self) -> None:
        """Note a change of the known hosts, so that the links are reviewed at once."""
        self._hosts_changed.set()

    async def wait_for_hosts(self, timeout_s: float) -> None:
        """Wait until `hosts_changed` is called, for at most `timeout_s` seconds.

        Returns immediately if it was called since the previous wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._hosts_changed.wait()
        self._hosts_changed.clear()

    def next_attempt_id(self) -> int:
        """Return an id for an attempt that is unique in this process."""
        return next(self._attempt_ids)

    def can_end(self, route: Route, deadline_at: float) -> bool:
        """Return whether a request can end before this host does.

        Parameters
        ----------
        route : Route
            The request's route.
        deadline_at : float
            When this host answers the request at the latest, monotonic, in seconds.
        """
        if self.shutdown is None:
            return True
        expectations = self.steering.placement.expectations
        usual_s = expectations.kind(route.name, route.target_s).usual_answer_s
        return self.shutdown.allows(self.now(), deadline_at, usual_s)

    def closing_headers(self) -> hd.HeaderList:
        """Return headers that make callers use another host while this host leaves."""
        return [(b"connection", b"close")] if self.roster.leaving else []
