"""Which backend server gets a request, or why none does.

Answers this load: more requests than slots, where a server that has just handled an
object needs a third of the time for it. Spreading a key over several servers makes it
cold on each of them, and cold work is what fills the slots, so a key has one server in
each region and is refused rather than spread further.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .cold import ColdShare, share_of
from .estimate import ServiceTimes
from .evidence import SILENT_MIN_S, Evidence
from .randomness import RandomSource
from .rendezvous import HASH_RANGE, hash64, ranked
from .roster import HOSTS_UNLISTED
from .routes import Service
from .shift import ShareGuard

# Part of the time between usual latency and target that may be spent waiting; the rest
# is for slower objects and for requests that other hosts send meanwhile.
WAIT_SHARE = 0.5
# A request that may not go elsewhere waits at home while there are at most this many
# times as many requests as slots; the queues of servers hold three times their slots.
WAIT_MOST = 2
# A region keeps so many times the keys that its part of all slots would bear: at home
# they cost no way between regions. Calm days of both users earned 0.01 more with it
# than with keys at home whenever there was room; other factors were not tried.
HOME_MORE = 1.2
# While servers of this region are lost, and so long after, in seconds, requests go
# where there is room: the cap is for planned moves and waves of callers.
LOSS_NEAR_S = 3.0
MIN_LATENCY_S = 0.001
# At least this many may wait, also while all is cold: with none, calm days of both
# users earned 0.01 to 0.02 less, since each refusal of a slot warms another server.
WAITING_LEAST = 1
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
    target_s: float = 0.0


class Placement:
    """All backend servers, and the choice among them.

    Parameters
    ----------
    region : str
        Region of this host.
    region_of : dict of str to str
        Region of each failure domain.
    rng : RandomSource
        Source of spreads.
    cold_over, cold_slack : float
        Bound on requests to cold servers, see `share_of`.
    """

    __slots__ = (
        "_by_service",
        "_cold_over",
        "_cold_slack",
        "_evacuated",
        "_home_parts",
        "_latency",
        "_lost_at",
        "_rankings",
        "_region",
        "_region_of",
        "_rng",
        "_services",
        "_told",
        "guard",
        "region_part",
        "rtt_s",
        "servers",
    )

    def __init__(
        self,
        region: str,
        region_of: dict[str, str],
        rng: RandomSource,
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
        self._rankings: dict[tuple[str, str, str], list[Server]] = {}
        self._services: dict[str, Service] = {}
        self._home_parts: dict[str, float] = {}
        self._told: dict[str, dict[str, int]] = {}
        self._lost_at = float("-inf")
        self.guard = ShareGuard()
        self.region_part = 1.0 / HOSTS_UNLISTED
        self.rtt_s: dict[str, float] = {}
        self.servers: dict[str, Server] = {}

    # What is known of the servers

    def set_services(self, services: dict[str, Service]) -> None:
        """Take over what operators declare of the services."""
        self._services = services

    def set_cold_bound(self, over: float, slack: float) -> None:
        """Take over the bound on requests to cold servers, see `share_of`."""
        self._cold_over = over
        self._cold_slack = slack

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
        """Take over what another host has in flight at each server.

        Touches only the servers that the host names or named last: with 22 other hosts
        in a region, each telling eleven times a second, a walk over 250 servers for
        each message would take longer than all else in it.
        """
        for server_id in self._told.pop(peer, {}).keys() - counts.keys():
            if server_id in self.servers:
                self.servers[server_id].of_peers.pop(peer, None)
        for server_id, count in counts.items():
            if server_id in self.servers:
                self.servers[server_id].of_peers[peer] = count
        if counts:
            self._told[peer] = counts

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
        homes = list(self._homes(ask, now, desperate=desperate))
        if not homes:
            known = self._by_service.get(ask.service)
            reason = NO_USABLE_SERVER if known else "no-server"
            return Refusal(reason, self.pause(ask.service))
        if homes[0].region != self._region:
            return self._first_with_room(homes, ask, now, "elsewhere")
        return self._choose_region(homes[0], homes[1:], ask, now)

    def _homes(self, ask: Ask, now: float, *, desperate: bool) -> Iterator[Server]:
        """Yield the key's home in each region, this host's region first."""
        for region in self._regions(ask):
            for server in self._in_order(ask, region, now):
                if self._may_take(server, ask, now, desperate=desperate):
                    yield server
                    break

    def _choose_region(
        self, home: Server, others: list[Server], ask: Ask, now: float
    ) -> Choice | Refusal:
        """Serve a key at home, or elsewhere while its home is full.

        The share served elsewhere follows that at a bounded rate: when it would rise
        too fast, requests wait at home; when it would fall too fast, some keys go
        elsewhere although there is room at home.
        """
        room = self._has_room(home, ask, now)
        settled_away = not self._stays(ask)
        away: Choice | Refusal = Refusal("full", self.pause(ask.service))
        if not room or settled_away or self.guard.too_few_away():
            why = "settled-away" if settled_away else "spilled"
            away = self._first_with_room(others, ask, now, why)
        leaves = settled_away or not room
        wants_away = leaves and isinstance(away, Choice)
        free = now - self._lost_at < LOSS_NEAR_S
        self.guard.wants(away=wants_away, now=now, free=free)
        if not wants_away:
            return self._follow_down(Choice(home, "home"), away, ask) if room else away
        if free or not self.guard.too_many_away():
            return away
        if room or home.busy(now) < WAIT_MOST * home.entry.slots:
            return Choice(home, "waits")
        return away

    def set_demand(self, part: float) -> None:
        """Take over this region's part of all requests.

        A region whose slots are few for it keeps the keys that they would bear; the
        others settle elsewhere, where they are always the same and warm.
        """
        self._home_parts = {}
        if part <= 0.0:
            return
        for service, group in self._by_service.items():
            open_to_all = [srv for srv in group if not self._is_evacuated(srv)]
            slots = sum(srv.entry.slots for srv in open_to_all)
            here = sum(
                srv.entry.slots for srv in open_to_all if srv.region == self._region
            )
            if slots:
                self._home_parts[service] = HOME_MORE * here / slots / part

    def _is_evacuated(self, server: Server) -> bool:
        return server.entry.failure_domain in self._evacuated

    def _stays(self, ask: Ask) -> bool:
        """Tell whether a key belongs to those that this region has slots for."""
        return self._point(ask.key) < self._home_parts.get(ask.service, 1.0)

    def _follow_down(
        self, at_home: Choice, away: Choice | Refusal, ask: Ask
    ) -> Choice | Refusal:
        """Keep some keys elsewhere for a while after there is room at home again.

        Those whose point is highest, as with settled keys, so that both are the same
        ones and warm there.
        """
        keeps_away = self.guard.too_few_away() and isinstance(away, Choice)
        if keeps_away and self._point(ask.key) >= 1.0 - self.guard.allowed:
            return Choice(away.server, "keeps-away")
        return at_home

    def _first_with_room(
        self, servers: list[Server], ask: Ask, now: float, why: str
    ) -> Choice | Refusal:
        for server in servers:
            if self._has_room(server, ask, now):
                return Choice(server, why)
        return Refusal("full", self.pause(ask.service))

    def _point(self, key: str) -> float:
        """Return a fixed place between 0 and 1 for a key, any for none."""
        if not key:
            return self._rng.uniform(0.0, 1.0)
        return hash64("overflow", key) / HASH_RANGE

    def _regions(self, ask: Ask) -> list[str]:
        regions = {server.region for server in self._by_service.get(ask.service, ())}
        if ask.regions:
            regions &= ask.regions
        others = ranked(ask.key, regions - {self._region})
        return [self._region, *others] if self._region in regions else others

    def _in_order(self, ask: Ask, region: str, now: float) -> list[Server]:
        """Return a region's servers of a service, best first for the request."""
        group = self._by_service.get(ask.service, ())
        if not ask.key:
            here = [server for server in group if server.region == region]
            return sorted(here, key=lambda server: server.busy(now))
        cached = (ask.service, region, ask.key)
        ranking = self._rankings.get(cached)
        if ranking is None:
            ids = [srv.entry.server_id for srv in group if srv.region == region]
            ranking = [self.servers[server_id] for server_id in ranked(ask.key, ids)]
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings.clear()
            self._rankings[cached] = ranking
        return ranking

    def _may_take(
        self, server: Server, ask: Ask, now: float, *, desperate: bool
    ) -> bool:
        entry = server.entry
        if entry.server_id in ask.tried or self._is_evacuated(server):
            return False
        patience = self.patience(entry.service)
        if not server.evidence.usable(now, patience, desperate=desperate):
            if server.region == self._region and server.evidence.lost(now):
                self._lost_at = now
            return False
        return now >= server.cold_until or self._cold_room(server, now)

    def _cold_room(self, server: Server, now: float) -> bool:
        declared = self._services.get(server.entry.service)
        if declared is None or server.region != self._region:
            return False
        limit = share_of(
            declared.cold_rate, self._cold_over, self._cold_slack, self.region_part
        )
        return server.cold_share.room(limit, now)

    def _has_room(self, server: Server, ask: Ask, now: float) -> bool:
        return server.busy(now) < server.entry.slots + self._waiting_places(server, ask)

    def _waiting_places(self, server: Server, ask: Ask) -> int:
        """Return how many requests may wait at a server for a slot.

        Waiting for a slot of the warm server beats cold work at another one, as long
        as the target stays in reach: `k` requests more than slots wait for about
        ``k / slots`` of the usual latency.
        """
        slots = server.entry.slots
        usual_s = max(MIN_LATENCY_S, self.typical_latency(ask.service))
        spare = WAIT_SHARE * (ask.target_s - usual_s) / usual_s
        places = min(slots, max(WAITING_LEAST, int(slots * spare)))
        return places + (1 if ask.urgent else 0)

    def usual_latency(self, service: str) -> float:
        """Return the average latency of a service's answers, in seconds."""
        times = self._latency.get(service)
        return times.mean_s if times else FIRST_LATENCY_S

    def typical_latency(self, service: str) -> float:
        """Return the median latency of a service's answers, in seconds."""
        times = self._latency.get(service)
        return times.quantile(0.5) if times else FIRST_LATENCY_S

    def patience(self, service: str) -> float:
        """Return for how long a server of the service may be silent, in seconds."""
        times = self._latency.get(service)
        if times is None or len(times) < PATIENCE_ANSWERS:
            return PATIENCE_FIRST_S
        return max(SILENT_MIN_S, PATIENCE_TIMES * times.quantile(PATIENCE_PART))

    def pause(self, service: str) -> float:
        """Return when refused callers should come back, in seconds, spread."""
        wait = self.usual_latency(service)
        return wait * self._rng.uniform(1 - SPREAD, 1 + SPREAD)

    # Attempts

    def began(self, server: Server, number: int, now: float) -> None:
        """Count an attempt that is about to be sent."""
        server.own += 1
        self.guard.served(away=server.region != self._region)
        server.evidence.sent(number, now)
        if now < server.cold_until:
            server.cold_share.count(now)

    def ended(self, server: Server) -> None:
        """Stop counting an attempt."""
        server.own -= 1

    def learn_latency(self, server: Server, latency_s: float) -> None:
        """Take an answer's latency, less the way there, into the service's."""
        service = server.entry.service
        if server.region != self._region:
            latency_s = max(0.0, latency_s - self.rtt_s.get(server.region, 0.0))
        times = self._latency.get(service)
        if times is None:
            times = ServiceTimes(FIRST_LATENCY_S)
            self._latency[service] = times
        times.add(latency_s)

    def learn_load(self, server: Server, load: int, now: float) -> None:
        """Take over a server's own report of what runs and waits there."""
        server.reported = load
        server.reported_at = now
