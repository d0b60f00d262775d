"""The slot keepers that this host runs: start, stop, messages and load reports."""

from collections.abc import Iterator

from . import messages as msg
from .actions import Action, Log, SendPeer
from .keeper import KeeperPolicy, Reply, SlotKeeper
from .membership import DOWN
from .view import View

# The period of load reports is the larger of this time and of
# `LOAD_REPORT_S_PER_REGION` for each region of the service that has most.
MIN_LOAD_REPORT_PERIOD_S = 0.5
LOAD_REPORT_S_PER_REGION = 0.03

KeeperKey = tuple[str, str]


class KeeperSet:
    """Starts and stops keepers as membership and configuration change.

    Parameters
    ----------
    view : View
        Shared state.
    policy : KeeperPolicy
        Admission settings of every keeper.
    """

    __slots__ = ("_policy", "_reported_at", "_term_count", "_view", "keepers")

    def __init__(self, view: View, policy: KeeperPolicy) -> None:
        self._view = view
        self._policy = policy
        self._term_count = 0
        self._reported_at = float("-inf")
        self.keepers: dict[KeeperKey, SlotKeeper] = {}

    def review(self, now: float) -> Iterator[Action]:
        """Start the keepers that this host should run and stop all other keepers.

        The servers, the leaving servers and the limits of all keepers are updated.
        """
        view = self._view
        own = view.own.host_id
        wanted: set[KeeperKey] = set()
        for service, pool in view.config.pools.items():
            for region in pool.by_region:
                is_remote = region != view.own.region
                if is_remote and view.members.live(now, region):
                    continue
                if view.keeper_of(service, region, now) == own:
                    wanted.add((service, region))
        for key in [key for key in self.keepers if key not in wanted]:
            del self.keepers[key]
            yield Log("keeper-stopped", {"service": key[0], "region": key[1]})
        for key in sorted(wanted):
            if key not in self.keepers:
                yield from self._start(key, now)
            self._declare(key, now)

    def _start(self, key: KeeperKey, now: float) -> Iterator[Action]:
        view = self._view
        self._term_count += 1
        # The term is unique over hosts and incarnations: the incarnation is random,
        # and the low eight bits count the terms of this host, modulo 256.
        term = (view.incarnation << 8) + self._term_count % 256
        keeper = SlotKeeper(*key, term, view.rng, self._policy)
        self.keepers[key] = keeper
        self._declare(key, now)
        host_ids = [
            info.host_id
            for info in view.members.hosts()
            if view.members.state_of(info.host_id, now) != DOWN
        ]
        yield Log("keeper-started", {"service": key[0], "region": key[1]})
        yield from self._send(keeper.start(host_ids, now))

    def _declare(self, key: KeeperKey, now: float) -> None:
        service, region = key
        keeper = self.keepers[key]
        leaving = self._view.leaving_servers(service)
        servers = self._view.region_servers(service, region)
        keeper.servers.declare(servers, leaving, now)
        keeper.limit = self._view.config.pools[service].limit(region)

    def _send(self, replies: Iterator[Reply]) -> Iterator[Action]:
        for reply in replies:
            yield SendPeer(reply.host_id, reply.message)

    def on_message(
        self, host_id: str, message: msg.Message, now: float
    ) -> Iterator[Action]:
        """Pass a message to its keeper.

        If this host does not run the keeper, a request for a permit is refused and any
        other message is ignored.
        """
        keeper = self.keepers.get((message.service, message.region))
        if keeper is None:
            if isinstance(message, msg.Acquire):
                yield SendPeer(host_id, self._not_keeper(message))
            return
        if isinstance(message, msg.Acquire):
            yield from self._send(keeper.acquire(host_id, message, now))
        elif isinstance(message, msg.Release):
            yield from self._send(keeper.release(message, now))
        elif isinstance(message, msg.Reuse):
            keeper.reuse(host_id, message, now)
        elif isinstance(message, msg.Renew):
            keeper.renew(host_id, message.held, now)
        elif isinstance(message, msg.Withdraw):
            keeper.withdraw(host_id, message.request_id)
        elif isinstance(message, msg.HeldReport):
            yield from self._send(keeper.on_held(host_id, message, now))

    def _not_keeper(self, acquire: msg.Acquire) -> msg.Denied:
        return msg.Denied(
            acquire.service, acquire.region, acquire.request_id, "not-keeper", 0.0
        )

    def host_down(self, host_id: str, now: float) -> Iterator[Action]:
        """Report to every keeper that the connection to a host broke."""
        for keeper in self.keepers.values():
            yield from self._send(keeper.host_down(host_id, now))

    def probed(
        self, service: str, server_id: str, reachable: bool, now: float
    ) -> Iterator[Action]:
        """Pass the result of a health probe to the keepers of the server's service."""
        for key, keeper in self.keepers.items():
            if key[0] != service:
                continue
            if reachable:
                keeper.servers.record_reachable(server_id, now)
            else:
                keeper.servers.record_result(server_id, "unreachable", now)
            yield from self._send(keeper.dispatch(now))

    def leaving(self) -> list[tuple[str, int]]:
        """Return name and permits in use of each leaving backend server.

        The name is ``service/server``.
        """
        return [
            (f"{service}/{server_id}", state.granted)
            for (service, _), keeper in self.keepers.items()
            for server_id, state in keeper.servers.states.items()
            if state.leaving
        ]

    def loads(self, now: float) -> list[tuple[str, int, int, float]]:
        """Return name, permits in use, queued requests and limit for each keeper.

        The name is ``service/region``, and the limit is in slots.
        """
        loads = (keeper.load(now) for keeper in self.keepers.values())
        return [
            (f"{load.service}/{load.region}", load.in_flight, load.queued, load.limit)
            for load in loads
        ]

    def _report_period_s(self) -> float:
        """Return the time between load reports in seconds.

        It grows with the number of regions of the service that has most. All keepers of
        a service report to one planner, and its share of the control traffic limits how
        many reports it can receive in a second.
        """
        pools = self._view.config.pools.values()
        region_count = max((len(pool.by_region) for pool in pools), default=0)
        return max(MIN_LOAD_REPORT_PERIOD_S, LOAD_REPORT_S_PER_REGION * region_count)

    def tick(self, now: float) -> Iterator[Action]:
        """Call every keeper's `tick` and report loads to the planners."""
        for keeper in self.keepers.values():
            yield from self._send(keeper.tick(now))
        if now - self._reported_at < self._report_period_s():
            return
        self._reported_at = now
        for (service, _), keeper in self.keepers.items():
            load = keeper.load(now)
            yield SendPeer(self._view.planner_of(service, now), load)
