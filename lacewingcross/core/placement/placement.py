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
from dataclasses import replace

from ..backend_state import Server
from ..overload.admission import USUAL, AdmissionControl, Limits, Reason
from ..overload.caller_times import CallerTimes
from ..overload.return_times import ReturnTimes
from ..overload.service_load import ServiceLoads
from ..pace.server_paces import ServerPaces
from ..paths.path import Path
from ..paths.recovery import ROUND_INTERVAL_S
from ..policy import Policy
from ..randomness import RandomSource
from ..silence.watch import SilenceWatch
from . import extra_homes
from .completion import ExpectedTimes
from .eligibility import Eligibility
from .homes import Homes
from .known_servers import KnownServers
from .local_homes import LocalHomes
from .placement_types import Choice, PlacementRequest, Refusal
from .region_reservations import RegionReservations, position_of
from .region_shares import RegionShares
from .send_gate import SendGate
from .work_times import KindTimes

# Number of usable servers that a key may use although they are not warm for it. With
# one, the requests of a key whose server is busy wait although another server is free;
# with three, each key is cold on one more server.
HOMES_PER_KEY = 2
# A request may wait for this multiple of what the target leaves beside network round
# trip and service time. After the longest wait its response misses the target, but a
# warm server still answers it sooner than a second attempt after a refusal would.
MAX_WAIT_FACTOR = 2.0
# At least this many requests may wait at a server, also at one that is cold for their
# object: each request that finds no room there makes another server warm for its
# object.
MIN_WAITING = 1
# Lower limit of the silence timeout of a server, in seconds.
MIN_SILENCE_TIMEOUT_S = 0.35
# Relative jitter of the retry delays that refused callers get, so that callers refused
# together do not retry together: 0.5 to 1.5 times the service's mean service time, or
# 1 to 1.5 times the wait that the servers ask for.
RETRY_DELAY_JITTER = 0.5
# Shortest and longest retry delay for a caller whose request was shed by a server with
# free slots, in seconds: long enough to open a connection.
SHED_RETRY_DELAY_S = (0.01, 0.05)
# Number of usable servers in the key's order, including its homes, among which a warm
# one may be chosen besides the homes.
WARM_CANDIDATES = 12
# A home that has been idle (`Server.idle_s`) for this long, in seconds, takes over a
# key that is warm elsewhere. The time is several times the service time of a warm run.
HOME_IDLE_S = 1.0
# Expected times that differ by less than this, in seconds, are the same to a caller,
# and estimates are no more exact.
SAME_TIME_S = 0.005
# Names in the log of the first and the second usable server in the key's order, and of
# any further one. Usable servers are in a region that the request does not avoid, so
# the first one need not be the home that rendezvous hashing gives the key.
HOME_NAMES = ("home", "second", "stays")
# Name in the log of a server that is chosen since the region of the one expected to
# answer first has its share of the requests.
REGION_SHARE = "region-share"
NO_USABLE_SERVER = "no-usable-server"
NO_PATH = "no-path"
ALL_ASK_TO_WAIT = "servers-ask-to-wait"


class Placement:
    """Chooses among all backend servers.

    Parameters
    ----------
    region : str
        Region of this host.
    region_of : dict of str to str
        Region of each failure domain.
    rng : RandomSource
        Source of jitter, and of the positions of requests without a key.
    cold_over, cold_slack : float
        Bound on requests to cold servers, see `cold_send_limit`.
    policy : Policy, optional
        Mechanisms that are switched on; all by default.
    gate : SendGate, optional
        Limits that servers request in their responses.
    domain : str, optional
        Failure domain of this host, empty for none.

    Attributes
    ----------
    local_peers : frozenset of str
        Ids of the other hosts of this host's region.
    """

    __slots__ = (
        "_domain",
        "_homes",
        "_policy",
        "_region_shares",
        "_rng",
        "admission",
        "eligibility",
        "expectations",
        "gate",
        "known",
        "local_peers",
        "loads",
        "paces",
        "reserved",
        "returns",
        "silence",
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
        domain: str = "",
    ) -> None:
        self._policy = policy or Policy()
        self._domain = domain if self._policy.near_domain else ""
        self._homes = Homes(
            LocalHomes(
                region if self._policy.local_home else "",
                self._domain,
                weighted=self._policy.weighted_homes,
            )
        )
        self._rng = rng
        self.gate = gate or SendGate("")
        self.eligibility = Eligibility(region, cold_over, cold_slack, self.gate)
        self.expectations = ExpectedTimes()
        self.paces = ServerPaces()
        self.local_peers: frozenset[str] = frozenset()
        self.known = KnownServers(region_of, self._homes)
        self.loads = ServiceLoads(self._homes.of_service)
        self.admission = AdmissionControl(
            self.loads,
            rng,
            on=self._policy.in_time_first,
            fair=self._policy.fair_shares,
        )
        self.reserved = RegionReservations()
        self.returns = ReturnTimes(rng)
        self._region_shares = RegionShares()
        self.silence = SilenceWatch(
            self.known.servers,
            self._homes.of_service,
            self.expectations,
            enabled=self._policy.shared_silence,
        )
        self.eligibility.silence = self.silence

    def choose(
        self, request: PlacementRequest, now: float, *, only_asks: bool = False
    ) -> Choice | Refusal:
        """Return the server for a request, or the reason why there is none.

        If the caller of this method `only_asks` whether there is a server, the request
        is not counted, and a refusal has no retry delay. Otherwise the request counts
        for the reservations of regions, and a refusal for the admission of further
        requests.
        """
        found = self._choose_region(request, now)
        if only_asks:
            return found
        self.reserved.count_request(request.service, request.regions)
        if isinstance(found, Choice):
            return found
        mean_s = self.expectations.mean_service_time_s(request.service)
        self.admission.refused(request, found.reason, mean_s, now)
        if found.retry_after_s:
            return found
        return replace(found, retry_after_s=self._return_delay_s(request, now))

    def _choose_region(self, request: PlacementRequest, now: float) -> Choice | Refusal:
        avoided_regions = self._avoided_regions(request)
        mean_s = self.expectations.mean_service_time_s(request.service)
        limits = self.admission.limits(request, mean_s, now)
        found = self._choose(request, avoided_regions, limits, now)
        if avoided_regions and isinstance(found, Refusal):
            # There is no room elsewhere, so a request that may go anywhere may also go
            # to the reserved regions.
            return self._choose(request, frozenset(), limits, now)
        return found

    def _choose(
        self,
        request: PlacementRequest,
        avoided_regions: frozenset[str],
        limits: Limits,
        now: float,
    ) -> Choice | Refusal:
        """Choose among the servers outside of `avoided_regions`.

        If none is usable, servers that are skipped for their share of failures are
        considered as well.
        """
        last_resort = self._failing_alike(request.service)
        usable = self._candidates(
            request, avoided_regions, now, last_resort=last_resort
        )
        if not usable and not last_resort:
            usable = self._candidates(request, avoided_regions, now, last_resort=True)
        if not usable:
            return self._no_server(request, now)
        if self._deadline_unreachable(usable, request, now):
            return Refusal(Reason.DEADLINE, 0.0)
        available = [item for item in usable if self._has_room(item, request, limits)]
        if not available:
            return Refusal(self._why_no_room(usable, request, limits), 0.0)
        best = self._best(available, request, now)
        load = self.loads.of(request.service, now)
        if self._policy.extra_homes and extra_homes.is_needed(best, available, load):
            usable_servers = self._allowed(
                request, avoided_regions, now, last_resort=last_resort
            )
            best = self._extra_home(usable_servers, usable, now) or best
        if request.regions or not self._policy.steady_regions:
            return best
        return self._in_steady_region(best, available, request, now)

    def _extra_home(
        self,
        servers: Iterator[tuple[Server, Path]],
        candidates: list[Choice],
        now: float,
    ) -> Choice | None:
        """Return the server that becomes warm for a key besides its candidates."""
        found = extra_homes.find(servers, candidates, self._domain, now)
        if found is None:
            return None
        request = candidates[0].placement_request
        name = candidates[0].object_name
        return self._choice(*found, extra_homes.EXTRA_HOME, request, name, now)

    def _in_steady_region(
        self,
        best: Choice,
        available: list[Choice],
        request: PlacementRequest,
        now: float,
    ) -> Choice:
        """Return the best choice in a region that has no more than its share.

        That is `best` itself if there is none that is as warm: a cold run would take
        more from other requests than a change of the region. A host that joins others
        does not know which servers are warm.
        """
        shares = self._region_shares.of(request.service, now)
        if shares.is_unused():
            peers = self.known.in_flight_by_region(self.local_peers, request.service)
            shares.begin(peers, now)
        chosen = best
        if shares.over(best.server.region):
            others = [
                item
                for item in available
                if (shares.joins(now) or item.estimate.warm >= best.estimate.warm)
                and not shares.over(item.server.region)
            ]
            if others:
                chosen = replace(self._best(others, request, now), why=REGION_SHARE)
        return replace(chosen, preferred_region=best.server.region)

    def _deadline_unreachable(
        self, usable: list[Choice], request: PlacementRequest, now: float
    ) -> bool:
        fastest_run_s = self._times(request).fastest_run_s
        estimates = (item.estimate for item in usable)
        return self.admission.deadline_unreachable(
            request, estimates, fastest_run_s, now
        )

    def _why_no_room(
        self, usable: list[Choice], request: PlacementRequest, limits: Limits
    ) -> Reason:
        """Return the reason of the limits only if there is room without them."""
        if any(self._has_room(item, request, USUAL) for item in usable):
            return limits.reason
        return Reason.FULL

    def _no_server(self, request: PlacementRequest, now: float) -> Refusal:
        """Return why no server may be sent a request, and when to retry, if known."""
        requested_wait_s = self.requested_wait_s(request, now)
        if requested_wait_s:
            return Refusal(ALL_ASK_TO_WAIT, requested_wait_s)
        known = self._homes.of_service(request.service)
        paths = self.eligibility.paths
        if known and paths and paths.no_path_to(known, request.regions, now):
            # The host tries to reach the servers again once in this time.
            wait_s = ROUND_INTERVAL_S * self.jitter(1, 1 + RETRY_DELAY_JITTER)
            return Refusal(NO_PATH, wait_s)
        reason = NO_USABLE_SERVER if known else "no-server"
        return Refusal(reason, 0.0)

    def requested_wait_s(self, request: PlacementRequest, now: float) -> float:
        """Return a retry delay if all usable servers ask to wait, in seconds.

        The delay ends, with jitter, after the first of them allows a request. It is 0
        if one of them allows a request now, or if no end is known.
        """
        servers = self._homes.of_service(request.service)
        wait_s = self.eligibility.wait_s(servers, request, now)
        if wait_s == float("inf"):
            return 0.0
        return wait_s * self.jitter(1.0, 1 + RETRY_DELAY_JITTER)

    def _avoided_regions(self, request: PlacementRequest) -> frozenset[str]:
        """Return the regions that a request avoids since they are reserved.

        Empty for a request that is itself bound to regions.
        """
        free = not request.regions and self._policy.reserve_regions
        if not free or not self.reserved.has_any(request.service):
            return frozenset()
        object_name = self._object_name(request)
        position = (
            position_of(object_name) if object_name else self._rng.uniform(0.0, 1.0)
        )
        return self.reserved.avoided_regions(request.service, position)

    def _best(
        self, available: list[Choice], request: PlacementRequest, now: float
    ) -> Choice:
        """Return the server that is expected to answer first, or the key's idle home.

        Of servers whose times differ by less than `SAME_TIME_S`, those in the host's
        own failure domain come first, then those with the fewest requests.
        """
        first = available[0]
        if not self._policy.fastest:
            return first
        if request.key and self._policy.idle_home and _is_idle_home(first, now):
            return first
        least_s = min(item.estimate.total_s for item in available)
        same_s = SAME_TIME_S if self._policy.near_domain else 0.0
        return min(
            (item for item in available if item.estimate.total_s <= least_s + same_s),
            key=lambda item: (not self._is_near(item.server), item.request_count),
        )

    def _is_near(self, server: Server) -> bool:
        """Return whether a server is in the host's own failure domain."""
        return server.entry.failure_domain == self._domain

    def _candidates(
        self,
        request: PlacementRequest,
        avoided_regions: frozenset[str],
        now: float,
        *,
        last_resort: bool,
    ) -> list[Choice]:
        """Return the servers that may take the request, the key's first home first.

        For a request without a key, these are all usable servers. For a request with a
        key, they are the first two usable servers in the key's order, and of the next
        ones, up to `WARM_CANDIDATES` in all, the servers that are warm for the object.
        Servers in `avoided_regions` are left out.

        A server that joins becomes the home of some keys, and a server that returns
        after a loss becomes the home of its own keys again. Moving all keys of such a
        server at once would make each of them cold. So these keys stay where they are
        warm until the queue there makes the new home faster, or the new home is idle.
        """
        found: list[Choice] = []
        warm_candidates = WARM_CANDIDATES if self._policy.stay_warm else 0
        object_name = self._object_name(request)
        allowed = self._allowed(request, avoided_regions, now, last_resort=last_resort)
        for rank, (server, path) in enumerate(allowed):
            enough = bool(object_name) and len(found) >= HOMES_PER_KEY
            if enough and rank >= warm_candidates:
                break
            if enough and not server.warm.holds(object_name):
                continue
            why = HOME_NAMES[min(rank, len(HOME_NAMES) - 1)]
            found.append(self._choice(server, path, why, request, object_name, now))
        return found

    def _choice(
        self,
        server: Server,
        path: Path,
        why: str,
        request: PlacementRequest,
        object_name: str,
        now: float,
    ) -> Choice:
        times = self._times(request)
        pace = self._pace(server, now)
        estimate = self.expectations.estimate(server, object_name, times, now, pace)
        request_count = server.request_count(now)
        return Choice(server, why, request, object_name, estimate, request_count, path)

    def _pace(self, server: Server, now: float) -> float:
        if not self._policy.server_pace:
            return 1.0
        return self.paces.factor(server.entry.incarnation, now)

    def _times(self, request: PlacementRequest) -> KindTimes:
        return self.expectations.kind(request.kind or request.service, request.target_s)

    def _allowed(
        self,
        request: PlacementRequest,
        avoided_regions: frozenset[str],
        now: float,
        *,
        last_resort: bool,
    ) -> Iterator[tuple[Server, Path]]:
        """Yield the usable servers outside of `avoided_regions`, see `_usable`."""
        usable = self._usable(request, now, last_resort=last_resort)
        return (item for item in usable if item[0].region not in avoided_regions)

    def _usable(
        self, request: PlacementRequest, now: float, *, last_resort: bool
    ) -> Iterator[tuple[Server, Path]]:
        """Yield the servers that may take the request, in the order of its key.

        Each one comes with the path on which it is reached.

        That is the rendezvous order of the key with the local home moved up, see
        `Homes.order`. Without a key, it is the order in which servers became known.
        """
        may_take = self.eligibility.may_take
        for server in self._in_order(request):
            path = may_take(server, request, now, last_resort=last_resort)
            if path is not None:
                yield server, path

    def _in_order(self, request: PlacementRequest) -> list[Server]:
        if request.key:
            return self._homes.order(request.service, self._object_name(request))
        return self._homes.of_service(request.service)

    def _failing_alike(self, service: str) -> bool:
        """Return whether all servers of a service are taken to fail."""
        return self._policy.failing_alike and self.eligibility.failing_alike(service)

    def _object_name(self, request: PlacementRequest) -> str:
        """Return the name of the request's object, empty for a request without a key.

        Objects of two kinds may have the same key: a server that has handled one is no
        faster for the other.
        """
        if not request.key or not self._policy.kinds_apart:
            return request.key
        return f"{request.kind}/{request.key}"

    def _has_room(
        self, choice: Choice, request: PlacementRequest, limits: Limits
    ) -> bool:
        slots = choice.server.entry.slots
        waiting_places = self._waiting_places(choice, request)
        return choice.request_count < limits.max_requests(slots, waiting_places)

    def _waiting_places(self, choice: Choice, request: PlacementRequest) -> int:
        """Return how many requests may wait at a server for a slot.

        With `k` requests more than slots, a request waits for about ``k / slots`` of
        the mean service time. A cold run leaves nothing of the target, so only
        `MIN_WAITING` requests may wait at a server that is cold for their object.
        There is one more place for urgent requests.
        """
        slots = choice.server.entry.slots
        estimate = choice.estimate
        factor = MAX_WAIT_FACTOR if self._policy.warm_waits else 0.0
        spare_s = factor * (
            request.target_s - estimate.network_s - estimate.service_time_s
        )
        mean_s = self.expectations.mean_service_time_s(request.service)
        places = min(slots, max(MIN_WAITING, int(slots * spare_s / mean_s)))
        return places + (1 if request.urgent and self._policy.urgent_waits else 0)

    def silence_timeout_s(self, request: PlacementRequest) -> float:
        """Return the silence timeout of a server for a request, in seconds."""
        return self._times(request).silence_timeout_s(MIN_SILENCE_TIMEOUT_S)

    def retry_delay_s(self, service: str) -> float:
        """Return the retry delay for refused callers, in seconds, with jitter."""
        mean_s = self.expectations.mean_service_time_s(service)
        return mean_s * self.jitter(1 - RETRY_DELAY_JITTER, 1 + RETRY_DELAY_JITTER)

    def _return_delay_s(self, request: PlacementRequest, now: float) -> float:
        """Return the retry delay for the refused caller of a request, in seconds."""
        service = request.service
        caller = CallerTimes.of(request, now)
        if not self._policy.return_times or not caller.known:
            return self.retry_delay_s(service)
        answer_s = self._times(request).expected_s(warm=True)
        # Only a first try may be told to come back soon. Counting the load takes a walk
        # over all servers of the service.
        load_of = self.loads.of if caller.late else self.loads.recount
        load = load_of(service, now)
        delay_s = self.returns.delay_s(service, caller, answer_s, load, now)
        return self.retry_delay_s(service) if delay_s is None else delay_s

    def pause_after_shed(
        self, request: PlacementRequest, now: float, *, with_room: bool
    ) -> float:
        """Return the retry delay for a caller whose request was shed, in seconds.

        A server that sheds although it has free slots (`with_room`) may well take the
        next request, so the caller need not wait for a free slot, unless all servers
        ask to wait.
        """
        requested_wait_s = self.requested_wait_s(request, now)
        if requested_wait_s:
            return requested_wait_s
        return (
            self.jitter(*SHED_RETRY_DELAY_S)
            if with_room
            else self._return_delay_s(request, now)
        )

    def jitter(self, low: float, high: float) -> float:
        """Return a random number from `low` to `high`."""
        return self._rng.uniform(low, high)

    def began(self, choice: Choice, attempt_id: int, now: float) -> None:
        """Count an attempt that is about to be sent as in flight at its server."""
        server = choice.server
        server.own += 1
        server.used_at = now
        service_time_s = choice.estimate.service_time_s
        self.admission.began(choice.placement_request, service_time_s, now)
        if choice.preferred_region:
            shares = self._region_shares.of(server.entry.service, now)
            shares.count(choice.preferred_region, server.region, now)
        server.health_on(choice.path).sent(
            attempt_id, now, self.silence_timeout_s(choice.placement_request)
        )
        self.silence.began(server, self._times(choice.placement_request), now)
        if choice.object_name:
            # The server counts as warm once the first request starts, not only when it
            # has answered.
            self.known.handled(server, choice.object_name)
        if server.cold(now):
            server.cold_sends.count(now)

    def sent(self, choice: Choice, now: float) -> bool:
        """Return whether the server still allows an attempt; if so, count it as sent.

        Called just before the first byte of the attempt is sent.
        """
        if not self.eligibility.may_send(choice.server, choice.placement_request, now):
            return False
        self.gate.sent(choice.server.entry.incarnation, now)
        return True

    def ended(self, server: Server) -> None:
        """Stop counting an attempt as in flight.

        Call `Server.note_ended` once it is recorded whether the server has answered.
        """
        server.own -= 1

    def not_run(self, choice: Choice) -> None:
        """Record that a server did not run an attempt.

        The attempt has not made the server warm for its object.
        """
        if choice.object_name and not choice.estimate.warm:
            choice.server.warm.forget(choice.object_name)

    def learn_answer(
        self,
        choice: Choice,
        latency_s: float,
        now: float,
        reported_pace: float | None = None,
    ) -> None:
        """Record how long a good response took.

        The service time is recorded only if no wait was expected and the server is not
        cold (`Server.cold`). It is divided by the pace of the server, so that slow
        servers do not raise the times expected at all others.

        Parameters
        ----------
        choice : Choice
            The server that has responded, and what was expected of it.
        latency_s : float
            Time until the response, in seconds.
        now : float
            Monotonic time in seconds.
        reported_pace : float, optional
            Factor that the response itself reports. Without it, the factor that was
            expected when the server was chosen is used; that one is 1 where servers
            report none.
        """
        server = choice.server
        request = choice.placement_request
        times = self._times(request)
        at_server_s = max(0.0, latency_s - choice.estimate.network_s)
        times.learn_answer(latency_s)
        self.returns.completed(request.service, now)
        if choice.estimate.wait_s == 0.0 and not server.cold(now):
            estimate = choice.estimate
            pace = estimate.pace if reported_pace is None else reported_pace
            self.expectations.learn_service_time(
                server, times, at_server_s / pace, warm=estimate.warm
            )


def _is_idle_home(choice: Choice, now: float) -> bool:
    """Return whether a choice is the key's home and has been idle for a while.

    An idle home takes its keys over, one cold run at a time. By expected time alone, a
    server that joins under low load would never be sent a request.
    """
    return choice.why == HOME_NAMES[0] and choice.server.idle_s(now) > HOME_IDLE_S
