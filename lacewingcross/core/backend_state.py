"""A backend server as it registered itself, and its state as seen by one host."""

from dataclasses import dataclass, field

from .cold_limit import ColdSends
from .passive_health import PassiveHealth
from .paths.path import Path
from .silence.evidence import AnswerEvidence
from .warm_keys import WarmKeys

# Identifies one run of a server: its id, and when it started (see `born_ms`).
Incarnation = tuple[str, int]

# A server's report of its load is used for this long, in seconds. After that, the
# hosts' own counts of requests in flight are more recent.
MAX_REPORT_AGE_S = 0.15


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """A backend server as it registered itself.

    A server that starts again may keep its id; `born_ms`, its start time in Unix
    milliseconds, tells its runs apart. It is 0 for servers that do not report it.
    `slots` is how many requests the server runs at a time. The server is cold for
    `cold_left_s` more seconds, see `Server.cold`.
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
    # When this host last sent an attempt there, or another host last reported requests
    # in flight there or reported that it has no more there; at first, when the server
    # became known.
    used_at: float
    cold_until: float = 0.0
    # Number of requests in flight at the server from this host (`own`), and from each
    # other host by its id (`of_peers`). Other hosts are also told of the `withdrawn`
    # requests of this host, see `SilenceWatch.withdrew`.
    own: int = 0
    withdrawn: int = 0
    of_peers: dict[str, int] = field(default_factory=dict)
    # Sum of `of_peers`. It is read for each candidate of each request.
    peer_requests: int = 0
    # Number of requests that run or wait at the server by its own last report, and when
    # that report arrived.
    reported_load: int = 0
    reported_at: float = float("-inf")
    cold_sends: ColdSends = field(default_factory=ColdSends)
    # Outcomes of direct attempts, and of attempts through other hosts.
    passive_health: PassiveHealth = field(default_factory=PassiveHealth)
    indirect_health: PassiveHealth = field(default_factory=PassiveHealth)
    warm: WarmKeys = field(default_factory=WarmKeys)
    # What shows that the server answers any host.
    evidence: AnswerEvidence = field(default_factory=AnswerEvidence)

    def request_count(self, now: float) -> int:
        """Return how many requests run or wait at the server.

        These are the requests that hosts have in flight there, or the number in the
        server's own recent report if that is higher.
        """
        counted = self.own + self.peer_requests
        if now - self.reported_at > MAX_REPORT_AGE_S:
            return counted
        return max(counted, self.reported_load)

    def health_on(self, path: Path) -> PassiveHealth:
        """Return the outcomes of this host's attempts on a path."""
        return self.passive_health if path is Path.DIRECT else self.indirect_health

    def set_peer_count(self, peer: str, count: int) -> None:
        """Set how many requests another host has in flight at the server."""
        self.peer_requests += count - self.of_peers.get(peer, 0)
        if count:
            self.of_peers[peer] = count
        else:
            self.of_peers.pop(peer, None)

    def note_in_flight(self, now: float) -> None:
        """Record a change of the numbers of requests in flight, for `evidence`."""
        self.evidence.counted(self._unanswered(), now)

    def note_ended(self) -> None:
        """Record that a request of this host has ended, answered or not."""
        self.evidence.fewer(self._unanswered())

    def _unanswered(self) -> int:
        """Return how many requests of all hosts may wait for an answer."""
        return self.own + self.withdrawn + self.peer_requests

    def skip_silent(self, now: float) -> None:
        """Skip the server on all paths for a while, since it answers no host."""
        self.passive_health.skip_silent(now)
        self.indirect_health.skip_silent(now)

    def answers_again(self, now: float) -> None:
        """End the skipping of a silent server; one request goes first."""
        self.passive_health.reachable(now)
        self.indirect_health.reachable(now)

    def idle_s(self, now: float) -> float:
        """Return the time since `used_at`, in seconds; 0 with requests in flight."""
        if self.own or self.of_peers:
            return 0.0
        return now - self.used_at

    def cold(self, now: float) -> bool:
        """Return whether the server tolerates only a few requests per second for now.

        That is so after its start, and after an evacuation of its failure domain.
        """
        return now < self.cold_until
