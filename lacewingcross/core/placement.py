"""Chooses the backend server for a request, or the reason to refuse it.

Designed for more requests than slots, where a server that has recently handled an
object (a warm server) needs a third of the time for it. Spreading a key over many
servers makes it cold on each of them, and cold runs are what fills the slots. So a key
has one home in the whole fleet and one in each region: the servers that rendezvous
hashing gives the key. Of these two and of the servers that are warm for the object
anyway, the one that is expected to answer first is chosen. If all of them are full, the
request is refused instead of spread further.
"""

from collections.abc import Iterator

from .backend_state import Server
from .completion import Expectations
from .eligibility import Eligibility
from .homes import Homes
from .known_servers import KnownServers
from .placement_types import Choice, PlacementRequest, Refusal
from .policy import Policy
from .randomness import RandomSource
from .region_reservations import RegionReservations, point_of
from .send_gate import SendGate
from .work_times import WorkTimes

# Servers that a key may use without being warm there. With one, a key whose server is
# busy waits although another server is free; with three, each key is cold once more.
HOMES = 2
# A request may wait for this multiple of what the target leaves beside network round
# trip and service time. It is late then, but a warm server still answers it sooner than
# a refusal and a second attempt would.
WAIT_SHARE = 2.0
# At least this many requests may wait at a server, also while all servers are cold:
# each request that is refused a slot makes another server warm for its object.
WAITING_LEAST = 1
# Lower limit of the silence timeout of a server, in seconds.
SILENT_MIN_S = 0.35
# Relative jitter of pauses around the expected wait, so that callers that were refused
# together do not return together.
SPREAD = 0.5
# Shortest and longest pause for a caller whose request was shed by a server with free
# slots, in seconds: long enough to open a connection.
SHED_PAUSE_S = (0.01, 0.05)
# Number of servers at the head of a key's order among which the key may stay warm.
STAY_AMONG = 12
# A home with nothing in flight for this long, in seconds, takes over a key that is warm
# elsewhere. It is several times the service time of a warm run.
IDLE_S = 1.0
# Names of a key's servers in the log, in the order of the key.
HOME_NAMES = ("home", "second", "stays")
NO_USABLE_SERVER = "no-usable-server"
ALL_HELD = "servers-ask-to-wait"


class Placement:
    """Chooses among all backend servers.

    Parameters
    ----------
    region : str
        Region of this host.
    region_of : dict of str to str
        Region of each failure domain.
    rng : RandomSource
        Source of jitter.
    cold_over, cold_slack : float
        Bound on requests to cold servers, see `share_of`.
    policy : Policy, optional
        Mechanisms that are switched off.
    gate : SendGate, optional
        Limits that servers request in their responses.
    """

    __slots__ = (
        "_homes",
        "_policy",
        "_rng",
        "eligibility",
        "expectations",
        "gate",
        "known",
        "reserved",
    )

    def __init__(
        self,
        region: str,
        region_of: dict[str, str],
        rng: RandomSource,
        cold_over: float,
        cold_slack: float,
        policy: Policy | None = None,
        gate: SendGate | None = None,
    ) -> None:
        self._policy = policy or Policy()
        self._homes = Homes(region if self._policy.local_home else "")
        self._rng = rng
        self.gate = gate or SendGate("")
        self.eligibility = Eligibility(region, cold_over, cold_slack, self.gate)
        self.expectations = Expectations()
        self.known = KnownServers(region_of, self._homes)
        self.reserved = RegionReservations()

    def choose(self, ask: PlacementRequest, now: float) -> Choice | Refusal:
        """Return the server for a request, or the reason why there is none."""
        self.reserved.asked(ask.service, ask.regions)
        off_limits = self._off_limits(ask)
        found = self._choose(ask, off_limits, now)
        if off_limits and isinstance(found, Refusal):
            # There is no room elsewhere, so a request that may go anywhere may also go
            # to the reserved regions.
            return self._choose(ask, frozenset(), now)
        return found

    def _choose(
        self, ask: PlacementRequest, off_limits: frozenset[str], now: float
    ) -> Choice | Refusal:
        desperate = self._failing_alike(ask.service)
        usable = self._candidates(ask, off_limits, now, desperate=desperate)
        if not usable and not desperate:
            usable = self._candidates(ask, off_limits, now, desperate=True)
        if not usable:
            return self._nobody(ask, now)
        open_ones = [item for item in usable if self._has_room(item, ask)]
        if not open_ones:
            return Refusal("full", self.pause(ask.service))
        return self._best(open_ones, ask, now)

    def _nobody(self, ask: PlacementRequest, now: float) -> Refusal:
        """Return why no server may be sent a request, and when to retry."""
        held_s = self.held_s(ask, now)
        if held_s:
            return Refusal(ALL_HELD, held_s)
        known = self._homes.of_service(ask.service)
        reason = NO_USABLE_SERVER if known else "no-server"
        return Refusal(reason, self.pause(ask.service))

    def held_s(self, ask: PlacementRequest, now: float) -> float:
        """Return when to retry if all servers ask to wait, with jitter; else 0."""
        servers = self._homes.of_service(ask.service)
        wait_s = self.eligibility.wait_s(servers, ask, now)
        if wait_s == float("inf"):
            return 0.0
        return wait_s * self.spread(1.0, 1 + SPREAD)

    def _off_limits(self, ask: PlacementRequest) -> frozenset[str]:
        """Return the regions that a request leaves to requests bound to them."""
        free = not ask.regions and self._policy.reserve_regions
        if not free or not self.reserved.any_for(ask.service):
            return frozenset()
        thing = self._thing(ask)
        point = point_of(thing) if thing else self._rng.uniform(0.0, 1.0)
        return self.reserved.off_limits(ask.service, point)

    def _best(
        self, open_ones: list[Choice], ask: PlacementRequest, now: float
    ) -> Choice:
        first = open_ones[0]
        if not self._policy.fastest:
            return first
        if ask.key and self._policy.idle_home and _stands_idle(first, now):
            return first
        return min(open_ones, key=lambda item: (item.estimate.total_s, item.busy))

    def _candidates(
        self,
        ask: PlacementRequest,
        off_limits: frozenset[str],
        now: float,
        *,
        desperate: bool,
    ) -> list[Choice]:
        """Return the servers that may take the request, the key's first home first.

        Besides the key's homes, these are the next servers in its order that are warm
        for the object. A server that joins becomes the home of some keys, and a server
        that returns after a loss becomes the home of its own keys again. Moving all of
        these keys at once would make each of them cold. So they stay where they are
        warm until the queue there makes the new home faster.
        """
        found: list[Choice] = []
        among = STAY_AMONG if self._policy.stay_warm else 0
        thing = self._thing(ask)
        usable = self._usable(ask, now, desperate=desperate)
        allowed = (server for server in usable if server.region not in off_limits)
        for place, server in enumerate(allowed):
            enough = bool(thing) and len(found) >= HOMES
            if enough and place >= among:
                break
            if enough and not server.warm.holds(thing):
                continue
            why = HOME_NAMES[min(place, len(HOME_NAMES) - 1)]
            found.append(self._choice(server, why, ask, thing, now))
        return found

    def _choice(
        self, server: Server, why: str, ask: PlacementRequest, thing: str, now: float
    ) -> Choice:
        times = self._times(ask)
        estimate = self.expectations.estimate(server, thing, times, now)
        return Choice(server, why, ask, thing, estimate, server.busy(now))

    def _times(self, ask: PlacementRequest) -> WorkTimes:
        return self.expectations.kind(ask.kind or ask.service, ask.target_s)

    def _usable(
        self, ask: PlacementRequest, now: float, *, desperate: bool
    ) -> Iterator[Server]:
        """Yield the servers that may take the request, in the order of its key."""
        may_take = self.eligibility.may_take
        for server in self._in_order(ask):
            if may_take(server, ask, now, desperate=desperate):
                yield server

    def _in_order(self, ask: PlacementRequest) -> list[Server]:
        if ask.key:
            return self._homes.order(ask.service, self._thing(ask))
        return self._homes.of_service(ask.service)

    def _failing_alike(self, service: str) -> bool:
        return self._policy.failing_alike and self.eligibility.failing_alike(service)

    def _thing(self, ask: PlacementRequest) -> str:
        """Return the name of the request's object, empty when it has no key.

        Objects of two kinds may have the same key: a server that has handled one is no
        faster for the other.
        """
        if not ask.key or not self._policy.kinds_apart:
            return ask.key
        return f"{ask.kind}/{ask.key}"

    def _has_room(self, choice: Choice, ask: PlacementRequest) -> bool:
        places = choice.server.entry.slots + self._waiting_places(choice, ask)
        return choice.busy < places

    def _waiting_places(self, choice: Choice, ask: PlacementRequest) -> int:
        """Return how many requests may wait at a server for a slot.

        With `k` requests more than slots, a request waits for about ``k / slots`` of
        the mean service time. A cold run leaves nothing of the target, so hardly any
        request may wait for one.
        """
        slots = choice.server.entry.slots
        estimate = choice.estimate
        share = WAIT_SHARE if self._policy.warm_waits else 0.0
        spare_s = share * (ask.target_s - estimate.network_s - estimate.work_s)
        usual_s = self.expectations.service_work_s(ask.service)
        places = min(slots, max(WAITING_LEAST, int(slots * spare_s / usual_s)))
        return places + (1 if ask.urgent and self._policy.urgent_waits else 0)

    def silence_timeout_s(self, ask: PlacementRequest) -> float:
        """Return the silence timeout of a server for a request, in seconds."""
        return self._times(ask).silence_timeout_s(SILENT_MIN_S)

    def pause(self, service: str) -> float:
        """Return the pause for refused callers, in seconds, with jitter."""
        wait = self.expectations.service_work_s(service)
        return wait * self.spread(1 - SPREAD, 1 + SPREAD)

    def pause_after_shed(
        self, ask: PlacementRequest, now: float, *, with_room: bool
    ) -> float:
        """Return the pause for a caller whose request servers have shed, in seconds.

        A server that sheds although it has free slots (`with_room`) may well take the
        next request, so the caller need not wait for a free slot, unless all servers
        ask to wait.
        """
        held_s = self.held_s(ask, now)
        if held_s:
            return held_s
        return self.spread(*SHED_PAUSE_S) if with_room else self.pause(ask.service)

    def spread(self, least: float, most: float) -> float:
        """Return a random number between two limits."""
        return self._rng.uniform(least, most)

    def began(self, choice: Choice, number: int, now: float) -> None:
        """Count an attempt that is about to be sent."""
        server = choice.server
        server.own += 1
        server.used_at = now
        server.passive_health.sent(number, now, self.silence_timeout_s(choice.ask))
        if choice.thing:
            # The server counts as warm once the first request starts, not only when it
            # has answered.
            self.known.handled(server, choice.thing)
        if server.cold(now):
            server.cold_share.count(now)

    def sent(self, choice: Choice, now: float) -> bool:
        """Count an attempt at its first byte; return whether it still may be sent."""
        if not self.eligibility.may_send(choice.server, choice.ask, now):
            return False
        self.gate.sent(choice.server.entry.incarnation, now)
        return True

    def ended(self, server: Server) -> None:
        """Stop counting an attempt as in flight."""
        server.own -= 1

    def not_run(self, choice: Choice) -> None:
        """Record that a server did not run an attempt and so is not warm by it."""
        if choice.thing and not choice.estimate.warm:
            choice.server.warm.forget(choice.thing)

    def learn_answer(self, choice: Choice, latency_s: float, now: float) -> None:
        """Record how long a good response took."""
        server = choice.server
        ask = choice.ask
        times = self._times(ask)
        at_server_s = max(0.0, latency_s - choice.estimate.network_s)
        times.learn_answer(latency_s)
        if choice.estimate.wait_s == 0.0 and not server.cold(now):
            warm = choice.estimate.warm
            self.expectations.learn_work(server, times, at_server_s, warm=warm)


def _stands_idle(choice: Choice, now: float) -> bool:
    """Return whether a key's home has had nothing in flight for a while.

    Such a home takes its keys over, one cold run at a time. By expected time alone, a
    server that joins under low load would never be sent a request.
    """
    return choice.why == HOME_NAMES[0] and choice.server.idle_s(now) > IDLE_S
