"""What all parts of the gateway share."""

import itertools

from .. import headers as hd
from ..clock import Clock
from ..core.roster import Roster
from ..core.steering import Steering
from ..core.watching import WatchDuty
from ..metrics import Metrics
from .backends import Backends
from .settings import GatewaySettings


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
        "_numbers",
        "backends",
        "cfg",
        "duty",
        "incarnation",
        "metrics",
        "rank",
        "roster",
        "steering",
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
        self.duty = WatchDuty()
        self.incarnation = incarnation
        self.metrics = Metrics()
        self.backends = Backends(
            clock.monotonic, lambda: self.metrics.count("backends.opened")
        )
        # Place among the hosts that may follow the store, see `Roster.rank`.
        self.rank = 0
        self._clock = clock
        self._numbers = itertools.count(1)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def next_attempt(self) -> int:
        """Return a number for an attempt, unique in this process."""
        return next(self._numbers)

    def closing_headers(self) -> hd.HeaderList:
        """Return what tells callers to open their next connection elsewhere."""
        return [(b"connection", b"close")] if self.roster.leaving else []
