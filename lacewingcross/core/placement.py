"""Which backend server gets a request, or why none does.

Answers this load: more requests than slots, where a server that has just handled an
object needs a third of the time for it. Spreading a key over several servers makes it
cold on each of them, and cold work is what fills the slots, so a key has one server in
each region and is refused rather than spread further.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .cold import ColdShare, share_of
from .estimate import ServiceTimes
from .evidence import SILENT_MIN_S, Evidence
from .rendezvous import ranked
from .routes import Service

# A load report counts for this long, in seconds; then own counts alone are newer.
REPORT_S = 0.15
# Latency assumed of a service before any answer, in seconds.
FIRST_LATENCY_S = 0.2
# A server is silent when nobody has had an answer from it for longer than this part of
# the service's recent answers took, and somewhat more. With the average in its place
# (four times) a server at its first, cold work passed for dark: a day's reads were cut
# off and sent again 87 times, each time to another cold server.
PATIENCE_PART = 0.98
PATIENCE_TIMES = 1.3
PATIENCE_FIRST_S = 0.9
# Answers from which on the service's own figures count.
PATIENCE_ANSWERS = 50
# Pauses for refused callers are spread by this much around the expected wait, so that
# those who were refused together do not return together.
SPREAD = 0.5
# Rankings kept for each service; a ranking costs one hash for each server.
MAX_RANKINGS = 20_000
NO_USABLE_SERVER = "no-usable-server"


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """A backend server as it registered itself; `server_id` is its incarnation."""

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_left_s: float


@dataclass(slots=True)
class Server:
    """A backend server and what is known of its load."""

    entry: ServerEntry
    region: str
    cold_until: float = 0.0
    own: int = 0
    of_peers: dict[str, int] = field(default_factory=dict)
    reported: int = 0
    reported_at: float = 0.0
    cold_share: ColdShare = field(default_factory=ColdShare)
    evidence: Evidence = field(default_factory=Evidence)

    def busy(self, now: float) -> int:
        """Return the requests that are believed to run or wait there."""
        counted = self.own + sum(self.of_peers.values())
        if now - self.reported_at > REPORT_S:
            return counted
        return max(counted, self.reported)


@dataclass(slots=True, frozen=True)
class Choice:
    """Send the request to this server."""

    server: Server
    why: str


@dataclass(slots=True, frozen=True)
class Refusal:
    """No server may take the request now; try again after `retry_after_s`."""

    reason: str
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class Ask:
    """What placing needs to know of a request.

    `urgent` requests may also wait at a server whose slots are all taken; `regions`
    are those that may serve it, empty for all.
    """

    service: str
    key: str
    regions: frozenset[str]
    urgent: bool
    tried: frozenset[str] = frozenset()


class Placement:
    """All backend servers, and the choice among them.

    Parameters
    ----------
    region : str
        Region of this host.
    region_of : dict of str to str
        Region of each failure domain.
    rng : random.Random
        Source of spreads.
    cold_over, cold_slack : float
        Bound on requests to cold servers, see `share_of`.
    """

    __slots__ = (
        "_by_service",
        "_cold_over",
        "_cold_slack",
        "_evacuated",
        "_latency",
        "_rankings",
        "_region",
        "_region_of",
        "_rng",
        "_services",
        "region_hosts",
        "servers",
    )

    def __init__(
        self,
        region: str,
        region_of: dict[str, str],
        rng: random.Random,
        cold_over: float,
        cold_slack: float,
    ) -> None:
        self._region = region
        self._region_of = region_of
        self._rng = rng
        self._cold_over = cold_over
        self._cold_slack = cold_slack
        self._by_service: dict[str, list[Server]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._latency: dict[str, ServiceTimes] = {}
        self._rankings: dict[tuple[str, str, str], list[str]] = {}
        self._services: dict[str, Service] = {}
        self.region_hosts = 1
        self.servers: dict[str, Server] = {}

    # What is known of the servers

    def set_services(self, services: dict[str, Service]) -> None:
        """Take over what operators declare of the services."""
        self._services = services

    def set_evacuated(self, domains: Iterable[str], now: float) -> None:
        """Send nothing more to these failure domains.

        Servers of a domain that is taken back have stood idle and are cold; nothing
        in their entries says so.
        """
        evacuated = frozenset(domains)
        for server in self.servers.values():
            domain = server.entry.failure_domain
            if domain in self._evacuated and domain not in evacuated:
                cold_s = self._cold_start_s(server.entry.service)
                server.cold_until = max(server.cold_until, now + cold_s)
        self._evacuated = evacuated

    def put_server(self, entry: ServerEntry, now: float) -> None:
        """Add a server or take over its new entry."""
        server = self.servers.get(entry.server_id)
        if server is None:
            region = self._region_of.get(entry.failure_domain, "")
            server = Server(entry, region)
            self.servers[entry.server_id] = server
        server.entry = entry
        if entry.cold_left_s > 0:
            server.cold_until = max(server.cold_until, now + entry.cold_left_s)
        self._regroup()

    def drop_server(self, server_id: str) -> None:
        """Forget a server that is gone."""
        if self.servers.pop(server_id, None) is not None:
            self._regroup()

    def _regroup(self) -> None:
        self._rankings.clear()
        self._by_service = {}
        for server in self.servers.values():
            if not server.entry.draining:
                group = self._by_service.setdefault(server.entry.service, [])
                group.append(server)

    def set_peer_counts(self, peer: str, counts: dict[str, int]) -> None:
        """Take over what another host has in flight at each server."""
        for server_id, server in self.servers.items():
            count = counts.get(server_id, 0)
            if count:
                server.of_peers[peer] = count
            else:
                server.of_peers.pop(peer, None)

    def _cold_start_s(self, service: str) -> float:
        declared = self._services.get(service)
        return declared.cold_start_s if declared else 0.0

    # Choosing

    def choose(self, ask: Ask, now: float) -> Choice | Refusal:
        """Return the server for a request, or why there is none."""
        choice = self._choose(ask, now, desperate=False)
        if isinstance(choice, Refusal) and choice.reason == NO_USABLE_SERVER:
            return self._choose(ask, now, desperate=True)
        return choice

    def _choose(self, ask: Ask, now: float, *, desperate: bool) -> Choice | Refusal:
        usable = False
        for region in self._regions(ask):
            for server in self._in_order(ask, region):
                if not self._may_take(server, ask, now, desperate=desperate):
                    continue
                usable = True
                if self._has_room(server, ask, now):
                    home = region == self._region
                    return Choice(server, "home" if home else "spilled")
                break
        if usable:
            return Refusal("full", self._pause(ask.service))
        if self._by_service.get(ask.service):
            return Refusal(NO_USABLE_SERVER, self._pause(ask.service))
        return Refusal("no-server", self._pause(ask.service))

    def _regions(self, ask: Ask) -> list[str]:
        regions = {server.region for server in self._by_service.get(ask.service, ())}
        if ask.regions:
            regions &= ask.regions
        others = ranked(ask.key, regions - {self._region})
        return [self._region, *others] if self._region in regions else others

    def _in_order(self, ask: Ask, region: str) -> Iterator[Server]:
        cached = (ask.service, region, ask.key)
        ranking = self._rankings.get(cached)
        if ranking is None:
            group = self._by_service.get(ask.service, ())
            ids = [srv.entry.server_id for srv in group if srv.region == region]
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings.clear()
            if ask.key:
                ranking = ranked(ask.key, ids)
                self._rankings[cached] = ranking
            else:
                ranking = sorted(ids, key=lambda sid: self.servers[sid].own)
        return (self.servers[server_id] for server_id in ranking)

    def _may_take(
        self, server: Server, ask: Ask, now: float, *, desperate: bool
    ) -> bool:
        entry = server.entry
        if entry.server_id in ask.tried or entry.failure_domain in self._evacuated:
            return False
        patience = self.patience(entry.service)
        if not server.evidence.usable(now, patience, desperate=desperate):
            return False
        return now >= server.cold_until or self._cold_room(server, now)

    def _cold_room(self, server: Server, now: float) -> bool:
        declared = self._services.get(server.entry.service)
        if declared is None or server.region != self._region:
            return False
        limit = share_of(
            declared.cold_per_s, self._cold_over, self._cold_slack, self.region_hosts
        )
        return server.cold_share.room(limit, now)

    def _has_room(self, server: Server, ask: Ask, now: float) -> bool:
        most = server.entry.slots + (1 if ask.urgent else 0)
        return server.busy(now) < most

    def usual_latency(self, service: str) -> float:
        """Return the average latency of a service's answers, in seconds."""
        times = self._latency.get(service)
        return times.mean_s if times else FIRST_LATENCY_S

    def patience(self, service: str) -> float:
        """Return for how long a server of the service may be silent, in seconds."""
        times = self._latency.get(service)
        if times is None or len(times) < PATIENCE_ANSWERS:
            return PATIENCE_FIRST_S
        return max(SILENT_MIN_S, PATIENCE_TIMES * times.quantile(PATIENCE_PART))

    def _pause(self, service: str) -> float:
        wait = self.usual_latency(service)
        return wait * self._rng.uniform(1 - SPREAD, 1 + SPREAD)

    # Attempts

    def began(self, server: Server, number: int, now: float) -> None:
        """Count an attempt that is about to be sent."""
        server.own += 1
        server.evidence.sent(number, now)
        if now < server.cold_until:
            server.cold_share.count(now)

    def ended(self, server: Server) -> None:
        """Stop counting an attempt."""
        server.own -= 1

    def learn_latency(self, service: str, latency_s: float) -> None:
        """Take an answer's latency into the service's average."""
        times = self._latency.get(service)
        if times is None:
            times = ServiceTimes(FIRST_LATENCY_S)
            self._latency[service] = times
        times.add(latency_s)

    def learn_load(self, server: Server, load: int, now: float) -> None:
        """Take over a server's own report of what runs and waits there."""
        server.reported = load
        server.reported_at = now
