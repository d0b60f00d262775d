"""What all parts of the gateway share."""

import asyncio
import contextlib
import itertools

from .. import headers as hd
from ..clock import Clock
from ..core.fleet_shares import rank
from ..core.quotas import ClockReading, Quotas
from ..core.replica import Document, Update
from ..core.roster import Roster
from ..core.steering import Steering
from ..core.watch_election import WatchElection
from ..metrics import Metrics
from .backends import Backends
from .crashes import CrashWatch
from .quota_admission import QuotaAdmission
from .settings import GatewaySettings

# Time after its start at which a host that cannot read the list of hosts goes by what
# it knows without it, in seconds: reading it takes 10 ms, 250 when the store is slow.
UNLISTED_MOST_S = 1.0


class Gateway:
    """Decisions, connections, clock and figures of one entry host.

    Parameters
    ----------
    cfg : GatewaySettings
        Settings.
    clock : Clock
        Source of time.
    steering : Steering
        Decisions on requests.
    roster : Roster
        Entry hosts.
    incarnation : int
        Number of this run of the process.
    """

    __slots__ = (
        "_clock",
        "_hosts_changed",
        "_numbers",
        "_started_at",
        "backends",
        "cfg",
        "crashes",
        "incarnation",
        "metrics",
        "quota_admission",
        "quotas",
        "rank",
        "roster",
        "steering",
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
        self.backends = Backends(
            clock.monotonic, lambda: self.metrics.count("backends.opened")
        )
        self.crashes = CrashWatch(
            steering, self.backends, self.metrics, clock.monotonic
        )
        self.quotas = Quotas(
            roster, cfg.bounds.quotas, steering.rng, first_start=cfg.first_start
        )
        self.quota_admission = QuotaAdmission(
            self.quotas, roster, self.metrics, self.times
        )
        # Place among the hosts that may follow the store, see `fleet_shares.rank`.
        self.rank: int | None = None
        self._clock = clock
        self._started_at = clock.monotonic()
        self._hosts_changed = asyncio.Event()
        self._numbers = itertools.count(1)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def times(self) -> ClockReading:
        """Return the moment on the ordinary clock and on one that counts suspends."""
        return ClockReading(self._clock.monotonic(), self._clock.boottime())

    def take(self, update: Update, *, fresh: bool = True) -> list[Document]:
        """Take in what the store or a host says, see `Steering.take`."""
        changed = self.steering.take(update, self.now(), fresh=fresh)
        table = self.steering.table
        if table is not None:
            self.quotas.configure(table.config.accounts, self.times())
        return changed

    def review_rank(self, now: float) -> None:
        """Work out anew whether this host has to follow the store.

        Failure: all hosts start together. Each knows only itself at first and would
        read everything from the store; by the list of hosts it is one that does.
        """
        waits = now - self._started_at < UNLISTED_MOST_S and not self.roster.listed
        self.rank = None if waits else rank(self.roster, now)

    def hosts_changed(self) -> None:
        """Have the links to other hosts reviewed at once."""
        self._hosts_changed.set()

    async def wait_for_hosts(self, most_s: float) -> None:
        """Wait until `hosts_changed` was called, `most_s` seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(most_s):
                await self._hosts_changed.wait()
        self._hosts_changed.clear()

    def next_attempt(self) -> int:
        """Return a number for an attempt, unique in this process."""
        return next(self._numbers)

    def closing_headers(self) -> hd.HeaderList:
        """Return what tells callers to open their next connection elsewhere."""
        return [(b"connection", b"close")] if self.roster.leaving else []
