"""Which backend server gets a request, or why none does.

Answers this load: more requests than slots, where a server that has just handled an
object needs a third of the time for it. Spreading a key over many servers makes it cold
on each of them, and cold work is what fills the slots. So a key has two homes in the
whole fleet, the one that would answer first is taken, and a request for which both
are full is refused rather than spread further.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .backend_state import Server, ServerEntry
from .cold import share_of
from .completion import Estimate, Expectations
from .evidence import FailureShare
from .homes import Homes
from .randomness import RandomSource
from .roster import HOSTS_UNLISTED
from .routes import Service
from .work_times import WorkTimes

# Servers that a key may use. With one, a key whose server is busy waits although
# another one is free; with three, each key is cold once more (trials on the heaviest
# day of 28 servers: worth 0.498 with one, 0.542 with two, 0.508 with three).
HOMES = 2
# Part of the time between usual latency and target that may be spent waiting; the rest
# is for slower objects and for requests that other hosts send meanwhile.
WAIT_SHARE = 2.0
# At least this many may wait, also while all is cold: with none, calm days of both
# users earned 0.01 to 0.02 less, since each refusal of a slot warms another server.
WAITING_LEAST = 1
# A server that takes this many times as long as others is no home for the time.
SLOW_TIMES = 2.5
# Shortest silence that counts against a server, in seconds.
SILENT_MIN_S = 0.35
# Pauses for refused callers are spread by this much around the expected wait, so that
# those who were refused together do not return together.
SPREAD = 0.5
# Servers at the head of a key's order among which it may stay warm. Mean worth of three
# heavy days with three seeds each: 0.656 with the homes alone, 0.659 with six,
# 0.662 with twelve.
STAY_AMONG = 12
# A home at which nothing was in flight for so long takes a key over although it is warm
# elsewhere, in seconds: several times what warm work takes.
IDLE_S = 1.0
# What the log calls the servers of a key, in their order.
HOME_NAMES = ("home", "second", "stays")
NO_USABLE_SERVER = "no-usable-server"


@dataclass(slots=True, frozen=True)
class Ask:
    """What placing needs to know of a request.

    `kind` names the sort of work (the route). Objects of two kinds may have the same
    key: a server that has handled one is no faster for the other. `urgent` requests
    may also wait at a server whose slots are all taken; `regions` are those that may
    serve it, empty for all.
    """

    service: str
    key: str
    regions: frozenset[str]
    urgent: bool
    tried: frozenset[str] = frozenset()
    target_s: float = 0.0
    kind: str = ""

    @property
    def thing(self) -> str:
        """Return what names the object over all kinds, empty when there is none."""
        return f"{self.kind}/{self.key}" if self.key else ""


@dataclass(slots=True, frozen=True)
class Choice:
    """Send the request to this server, where it is expected to meet `estimate`.

    `busy` is how many requests were believed to be there.
    """

    server: Server
    why: str
    ask: Ask
    estimate: Estimate
    busy: int


@dataclass(slots=True, frozen=True)
class Refusal:
    """No server may take the request now; try again after `retry_after_s`."""

    reason: str
    retry_after_s: float


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
        "_cold_over",
        "_cold_slack",
        "_evacuated",
        "_failures",
        "_homes",
        "_news",
        "_region",
        "_region_of",
        "_rng",
        "_services",
        "_told",
        "expectations",
        "region_part",
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
        self._evacuated: frozenset[str] = frozenset()
        self._failures: dict[str, FailureShare] = {}
        self._homes = Homes(region)
        self._news: list[tuple[str, str]] = []
        self._services: dict[str, Service] = {}
        self._told: dict[str, dict[str, int]] = {}
        self.expectations = Expectations()
        self.region_part = 1.0 / HOSTS_UNLISTED
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
        """Add a server or take over its new entry.

        Failure: a server crashes and starts again under its id. What was learnt of the
        earlier run (evidence, warm keys, requests in flight) is false of the new one;
        and an entry of the earlier run that arrives late must not bring it back.
        """
        server = self.servers.get(entry.server_id)
        if server is not None and entry.born_ms < server.entry.born_ms:
            return
        if server is None or entry.born_ms > server.entry.born_ms:
            region = self._region_of.get(entry.failure_domain, "")
            server = Server(entry, region, used_at=now)
            self.servers[entry.server_id] = server
        server.entry = entry
        if entry.cold_left_s > 0:
            server.cold_until = max(server.cold_until, now + entry.cold_left_s)
        self._homes.regroup(self.servers.values())

    def drop_server(self, server_id: str) -> None:
        """Forget a server that is gone."""
        if self.servers.pop(server_id, None) is not None:
            self._homes.regroup(self.servers.values())

    def set_peer_counts(self, peer: str, counts: dict[str, int], now: float) -> None:
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
                self.servers[server_id].used_at = now
        if counts:
            self._told[peer] = counts

    def set_handled(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Take over which servers have handled which keys, as another host tells."""
        for server_id, key in pairs:
            if server_id in self.servers:
                self.servers[server_id].warm.handled(key)

    def handled_news(self) -> list[tuple[str, str]]:
        """Return servers and keys that became warm since the last call."""
        news, self._news = self._news, []
        return news

    def _cold_start_s(self, service: str) -> float:
        declared = self._services.get(service)
        return declared.cold_start_s if declared else 0.0

    # Choosing

    def choose(self, ask: Ask, now: float) -> Choice | Refusal:
        """Return the server for a request, or why there is none."""
        desperate = self._failing_alike(ask.service)
        usable = self._candidates(ask, now, desperate=desperate)
        if not usable and not desperate:
            usable = self._candidates(ask, now, desperate=True)
        if not usable:
            known = self._homes.of_service(ask.service)
            reason = NO_USABLE_SERVER if known else "no-server"
            return Refusal(reason, self.pause(ask.service))
        open_ones = [item for item in usable if self._has_room(item, ask)]
        if not open_ones:
            return Refusal("full", self.pause(ask.service))
        first = open_ones[0]
        if ask.key and first.why == HOME_NAMES[0] and first.server.idle_s(now) > IDLE_S:
            # An idle home takes its keys over, one cold run at a time. Going by time
            # alone, a server that joins on a calm day is never asked.
            return first
        return min(open_ones, key=lambda item: (item.estimate.total_s, item.busy))

    def _candidates(self, ask: Ask, now: float, *, desperate: bool) -> list[Choice]:
        """Return the servers that may take the request, the key's first home first.

        Besides its homes these are the next ones in its order that know the object: a
        server that joins becomes the home of some keys, and one that is back from a
        loss again the home of its own. Moving them all at once would make each of them
        cold; so they stay where they are warm until that server's queue is longer.
        """
        found: list[Choice] = []
        homes = 0
        for place, server in enumerate(self._usable(ask, now, desperate=desperate)):
            if ask.key and homes >= HOMES and place >= STAY_AMONG:
                break
            if ask.key and homes >= HOMES and not server.warm.holds(ask.thing):
                continue
            why = HOME_NAMES[min(place, len(HOME_NAMES) - 1)]
            found.append(self._choice(server, why, ask, now))
            homes += server.pace.times(now) < SLOW_TIMES
        return found

    def _choice(self, server: Server, why: str, ask: Ask, now: float) -> Choice:
        times = self._times(ask)
        estimate = self.expectations.estimate(server, ask.thing, times, now)
        return Choice(server, why, ask, estimate, server.busy(now))

    def _times(self, ask: Ask) -> WorkTimes:
        return self.expectations.kind(ask.kind or ask.service, ask.target_s)

    def _usable(self, ask: Ask, now: float, *, desperate: bool) -> Iterator[Server]:
        """Yield the servers that may take the request, in the order of its key."""
        for server in self._in_order(ask):
            if ask.regions and server.region not in ask.regions:
                continue
            if self._may_take(server, ask, now, desperate=desperate):
                yield server

    def _in_order(self, ask: Ask) -> list[Server]:
        if ask.key:
            return self._homes.order(ask.service, ask.thing)
        return self._homes.of_service(ask.service)

    def _may_take(
        self, server: Server, ask: Ask, now: float, *, desperate: bool
    ) -> bool:
        entry = server.entry
        if entry.server_id in ask.tried or entry.failure_domain in self._evacuated:
            return False
        if not server.evidence.usable(now, desperate=desperate):
            return False
        return not server.cold(now) or self._cold_room(server, now)

    def _cold_room(self, server: Server, now: float) -> bool:
        declared = self._services.get(server.entry.service)
        if declared is None or server.region != self._region:
            return False
        limit = share_of(
            declared.cold_rate, self._cold_over, self._cold_slack, self.region_part
        )
        return server.cold_share.room(limit, now)

    def _failing_alike(self, service: str) -> bool:
        failures = self._failures.get(service)
        return failures is not None and failures.general()

    def _has_room(self, choice: Choice, ask: Ask) -> bool:
        places = choice.server.entry.slots + self._waiting_places(choice, ask)
        return choice.busy < places

    def _waiting_places(self, choice: Choice, ask: Ask) -> int:
        """Return how many requests may wait at a server for a slot.

        Waiting for a slot of the warm server beats cold work at another one, as long
        as the target stays in reach: `k` requests more than slots wait for about
        ``k / slots`` of the usual work.
        """
        slots = choice.server.entry.slots
        estimate = choice.estimate
        spare_s = WAIT_SHARE * (ask.target_s - estimate.way_s - estimate.work_s)
        usual_s = self.expectations.service_work_s(ask.service)
        places = min(slots, max(WAITING_LEAST, int(slots * spare_s / usual_s)))
        return places + (1 if ask.urgent else 0)

    def patience_s(self, ask: Ask) -> float:
        """Return for how long a server may be silent on a request, in seconds."""
        return self._times(ask).patience_s(SILENT_MIN_S)

    def pause(self, service: str) -> float:
        """Return when refused callers should come back, in seconds, spread."""
        wait = self.expectations.service_work_s(service)
        return wait * self.spread(1 - SPREAD, 1 + SPREAD)

    def spread(self, least: float, most: float) -> float:
        """Return a number between two, at random."""
        return self._rng.uniform(least, most)

    # Attempts

    def began(self, choice: Choice, number: int, now: float) -> None:
        """Count an attempt that is about to be sent."""
        server = choice.server
        server.own += 1
        server.used_at = now
        server.evidence.sent(number, now, self.patience_s(choice.ask))
        thing = choice.ask.thing
        if thing and server.warm.handled(thing):
            # Warm from the start of the first request on: a second one that came 100 ms
            # later took as long as any later one.
            self._news.append((server.entry.server_id, thing))
        if server.cold(now):
            server.cold_share.count(now)

    def ended(self, server: Server) -> None:
        """Stop counting an attempt."""
        server.own -= 1

    def not_run(self, choice: Choice) -> None:
        """Note that a server did not run an attempt, so that nothing became warm."""
        if choice.ask.key and not choice.estimate.warm:
            choice.server.warm.forget(choice.ask.thing)

    def learn_outcome(self, server: Server, *, failed: bool) -> None:
        """Take whether a server did its part into the service's share of failures."""
        service = server.entry.service
        self._failures.setdefault(service, FailureShare()).note(failed)

    def learn_answer(self, choice: Choice, latency_s: float, now: float) -> None:
        """Take in how long a good answer took."""
        server = choice.server
        ask = choice.ask
        times = self._times(ask)
        at_server_s = max(0.0, latency_s - choice.estimate.way_s)
        times.learn_answer(latency_s)
        if choice.estimate.wait_s == 0.0 and not server.cold(now):
            warm = choice.estimate.warm
            server.pace.learn(at_server_s, times.expected_s(warm=warm), now)
            self.expectations.learn_work(server, times, at_server_s, warm=warm)

    def learn_load(self, server: Server, load: int, now: float) -> None:
        """Take over a server's own report of what runs and waits there."""
        server.reported = load
        server.reported_at = now
