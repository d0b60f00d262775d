"""A backend server as it registered itself, and its state as seen by one host."""

from dataclasses import dataclass, field

from .cold_limit import ColdSends
from .passive_health import PassiveHealth
from .warm_keys import WarmKeys

# Identifies one run of a server: its id, and when it started (see `born_ms`).
Incarnation = tuple[str, int]

# A load report is used for this long, in seconds; then counts of hosts are more recent.
MAX_REPORT_AGE_S = 0.15


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """A backend server as it registered itself.

    A server that starts again may keep its id; `born_ms`, its start time in Unix
    milliseconds, tells its runs apart. It is 0 for servers that do not report it.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_left_s: float
    born_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the identity of this run of the server."""
        return (self.server_id, self.born_ms)


@dataclass(slots=True, eq=False)
class Server:
    """One run of a backend server, and its load as far as this host knows."""

    entry: ServerEntry
    region: str
    # When any host last had a request in flight there; at first, when it became known.
    used_at: float
    cold_until: float = 0.0
    # Requests in flight from this host, and from each of the other hosts.
    own: int = 0
    of_peers: dict[str, int] = field(default_factory=dict)
    reported: int = 0
    reported_at: float = float("-inf")
    cold_sends: ColdSends = field(default_factory=ColdSends)
    passive_health: PassiveHealth = field(default_factory=PassiveHealth)
    warm: WarmKeys = field(default_factory=WarmKeys)

    def busy(self, now: float) -> int:
        """Return how many requests are believed to run or wait there."""
        counted = self.own + sum(self.of_peers.values())
        if now - self.reported_at > MAX_REPORT_AGE_S:
            return counted
        return max(counted, self.reported)

    def idle_s(self, now: float) -> float:
        """Return for how long no host has had a request in flight there, in seconds."""
        if self.own or self.of_peers:
            return 0.0
        return now - self.used_at

    def cold(self, now: float) -> bool:
        """Return whether the server tolerates only a few requests per second for now.

        That is so after its start, and after an evacuation of its failure domain.
        """
        return now < self.cold_until
