"""The slot keeper of one service in one region.

A slot is the room for one request at a backend server. Entry hosts ask the keeper for
permits, each of which lets them use one slot for a leased time; requests that get none
wait in one queue for all hosts.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from . import messages as msg
from .estimate import ServiceTimes
from .randomness import RandomSource
from .servers import ANSWERED, ServerTable

# Time for which a permit is valid after it was granted or last renewed.
LEASE_S = 5.0
# Maximum time for which a new keeper waits for the reports of held permits.
RECOVERY_S = 1.0
# Defaults of `KeeperPolicy`.
ACCEPT_QUANTILE = 0.9
QUEUE_WAIT_FRACTION = 0.5
# Minimum retry time before the jitter, and maximum retry time after it.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# Weight of the latest rate in the decaying mean of arriving requests per second.
DEMAND_GAIN = 0.2
# A permit id consists of the keeper's term and a sequence number of this many bits.
PERMIT_SEQUENCE_BITS = 24


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue that all hosts share.

    `exclude` holds the ids of the backend servers to skip, where the request failed or
    could not start before.
    """

    host_id: str
    request_id: str
    deadline_at: float
    enqueued_at: float
    exclude: frozenset[str]


@dataclass(slots=True)
class Permit:
    """The right of a host to use one slot of a backend server until `expires_at`.

    `request_id` is empty if the permit was adopted from a host's report or renewal.
    """

    host_id: str
    server_id: str
    expires_at: float
    request_id: str = ""


@dataclass(slots=True, frozen=True)
class Reply:
    """A message to one host."""

    host_id: str
    message: msg.Grant | msg.Denied | msg.HeldQuery


@dataclass(slots=True)
class KeeperPolicy:
    """Admission settings of the queue; benchmarks vary them.

    Attributes
    ----------
    accept_test : bool
        Whether a request is refused when the time left to its deadline, after the
        expected wait, is shorter than a typical service time.
    accept_quantile : float
        The quantile of recent service times that counts as typical.
    queue_wait_fraction : float
        Fraction of its remaining time that a request may be expected to wait.
    """

    accept_test: bool = True
    accept_quantile: float = ACCEPT_QUANTILE
    queue_wait_fraction: float = QUEUE_WAIT_FRACTION


class SlotKeeper:
    """Grants the slots of one service in one region.

    Parameters
    ----------
    service, region : str
        Service and region whose slots are granted.
    term : int
        Identifies this keeper among its predecessors and successors. It is unique over
        hosts and incarnations, and so are the permit ids made from it, so that a
        successor can adopt the permits.
    rng : RandomSource
        Source of the jitter in retry times.
    policy : KeeperPolicy, optional
        Admission settings.

    Attributes
    ----------
    limit : float
        Slots of the region that the configuration allows to use at a time.
    demand_rate : float
        Decaying mean of the requests that arrive per second.
    """

    __slots__ = (
        "_arrival_count",
        "_awaited_hosts",
        "_last_permit_id",
        "_rate_window_started_at",
        "_recovering_until",
        "_rng",
        "demand_rate",
        "limit",
        "permits",
        "policy",
        "queue",
        "region",
        "servers",
        "service",
        "service_times",
        "term",
    )

    def __init__(
        self,
        service: str,
        region: str,
        term: int,
        rng: RandomSource,
        policy: KeeperPolicy | None = None,
    ) -> None:
        self.service = service
        self.region = region
        self.term = term
        self.policy = policy or KeeperPolicy()
        self.servers = ServerTable()
        self.service_times = ServiceTimes()
        self.queue: deque[QueuedRequest] = deque()
        self.permits: dict[int, Permit] = {}
        self.limit = 0.0
        self.demand_rate = 0.0
        self._rng = rng
        self._last_permit_id = term << PERMIT_SEQUENCE_BITS
        self._awaited_hosts: set[str] = set()
        self._recovering_until = 0.0
        self._arrival_count = 0
        self._rate_window_started_at = 0.0

    def start(self, host_ids: list[str], now: float) -> Iterator[Reply]:
        """Ask all hosts that are not down which slots their requests occupy.

        Guards against overload after a crash of the predecessor: its permits are still
        in use, and granting their slots again would overfill the backend servers, which
        then shed requests. No slot is granted until each host has answered or is
        reported down, or until `RECOVERY_S` has passed for one that cannot answer.

        Parameters
        ----------
        host_ids : list of str
            Ids of these hosts, leaving ones included.
        now : float
            Monotonic time in seconds.
        """
        self._rate_window_started_at = now
        self._awaited_hosts = set(host_ids)
        self._recovering_until = now + RECOVERY_S
        for host_id in host_ids:
            query = msg.HeldQuery(self.service, self.region, self.term)
            yield Reply(host_id, query)

    def recovering(self, now: float) -> bool:
        """Return whether reports of held slots are still awaited."""
        return bool(self._awaited_hosts) and now < self._recovering_until

    def on_held(
        self, host_id: str, report: msg.HeldReport, now: float
    ) -> Iterator[Reply]:
        """Adopt the permits that a host reports as held.

        A report for another term is ignored.
        """
        if report.term != self.term:
            return
        for server_id, permit_id in report.held:
            if permit_id not in self.permits:
                self._add_permit(permit_id, Permit(host_id, server_id, now + LEASE_S))
        self._awaited_hosts.discard(host_id)
        yield from self.dispatch(now)

    def host_down(self, host_id: str, now: float) -> Iterator[Reply]:
        """Drop the queued requests of a host that is considered down.

        If the host has crashed, its connections to backend servers are closed, but its
        requests may still run there, so their slots stay taken until the leases end.
        """
        self.queue = deque(item for item in self.queue if item.host_id != host_id)
        self._awaited_hosts.discard(host_id)
        yield from self.dispatch(now)

    def acquire(
        self, host_id: str, message: msg.Acquire, now: float
    ) -> Iterator[Reply]:
        """Grant a permit, or queue the request, or refuse it.

        A request is refused if it would be late, or if the region has no usable slot.
        One that is queued already stays in its place.
        """
        if self._is_queued(host_id, message.request_id):
            # The host asks again because it cannot know that its first message arrived.
            # The reply to the first one is enough; queueing the request again would
            # move it to the back.
            return
        if self._revoke_lost(host_id, message.request_id):
            yield from self.dispatch(now)
        self._arrival_count += 1
        item = QueuedRequest(
            host_id,
            message.request_id,
            now + message.remaining_s,
            now,
            frozenset(message.exclude),
        )
        if self._can_grant_now(now):
            server = self.servers.pick(now, item.exclude)
            if server is not None:
                yield self._grant(item, server.declared.server_id, now)
                return
        reason = self._refusal_reason(item, message.remaining_s, now)
        if reason:
            yield self._denied(item, reason, now)
            return
        self.queue.append(item)
        yield from self.dispatch(now)

    def _can_grant_now(self, now: float) -> bool:
        has_free_slot = not self.queue and len(self.permits) < self.limit
        return has_free_slot and not self.recovering(now)

    def _is_queued(self, host_id: str, request_id: str) -> bool:
        return any(
            item.request_id == request_id and item.host_id == host_id
            for item in self.queue
        )

    def _revoke_lost(self, host_id: str, request_id: str) -> bool:
        """Revoke a permit whose grant was lost with a connection.

        The host asks again for the same request, and the lost permit would keep its
        slot unused until the lease ends. A host asks only while the request has no
        attempt under way, so no request runs with that permit. Returns whether a permit
        was revoked.
        """
        for permit_id, permit in self.permits.items():
            if permit.request_id == request_id and permit.host_id == host_id:
                self._remove_permit(permit_id)
                return True
        return False

    def _refusal_reason(
        self, item: QueuedRequest, remaining_s: float, now: float
    ) -> str:
        """Return why not to queue a request, or an empty string."""
        capacity = self._capacity(now)
        if capacity < 1:
            return "" if self.recovering(now) else "no-capacity"
        waiting_count = len(self.queue)
        if waiting_count == 0 and len(self.permits) < capacity:
            return ""
        wait_s = self.expected_wait_s(waiting_count, capacity)
        if wait_s > remaining_s * self.policy.queue_wait_fraction:
            return "queue-full"
        if self.policy.accept_test and remaining_s - wait_s < self._min_remaining_s():
            return "deadline"
        return ""

    def expected_wait_s(self, waiting_count: int, capacity: float) -> float:
        """Return the expected wait in seconds of a request that is queued.

        `waiting_count` is the number of requests that are queued before it.
        `capacity` is the number of slots that the queue shares.
        """
        return (waiting_count + 1) * self.service_times.mean_s / max(1.0, capacity)

    def _min_remaining_s(self) -> float:
        return self.service_times.quantile(self.policy.accept_quantile)

    def _capacity(self, now: float) -> float:
        return min(self.limit, float(self.servers.total_capacity(now)))

    def _denied(self, item: QueuedRequest, reason: str, now: float) -> Reply:
        retry_after_s = self.retry_after_s(now)
        denied = msg.Denied(
            self.service, self.region, item.request_id, reason, retry_after_s
        )
        return Reply(item.host_id, denied)

    def retry_after_s(self, now: float) -> float:
        """Return the jittered time in seconds after which a refused caller may retry.

        It is the expected wait times the overload, which is the demand divided by the
        capacity, or 1 if that is less. The time is at least `MIN_RETRY_AFTER_S` before
        the jitter, and at most `MAX_RETRY_AFTER_S` after it. Without the jitter all
        refused callers of an hourly surge would return at the same moment and find the
        queue full again.
        """
        capacity = max(1.0, self._capacity(now))
        backlog_s = self.expected_wait_s(len(self.queue), capacity)
        overload = max(1.0, self.demand_rate * self.service_times.mean_s / capacity)
        base_s = max(MIN_RETRY_AFTER_S, backlog_s * overload)
        return min(MAX_RETRY_AFTER_S, base_s * self._rng.uniform(0.5, 1.5))

    def dispatch(self, now: float) -> Iterator[Reply]:
        """Refuse late requests at the queue's head, then grant free slots in order.

        A request keeps its place if no server that it may use has a free slot.
        """
        yield from self._refuse_late_at_head(now)
        if self.recovering(now):
            return
        skipped: list[QueuedRequest] = []
        while self.queue and len(self.permits) < self.limit:
            item = self.queue.popleft()
            server = self.servers.pick(now, self._effective_exclude(item, now))
            if server is None:
                skipped.append(item)
                if not item.exclude:
                    break
                continue
            yield self._grant(item, server.declared.server_id, now)
        self.queue.extendleft(reversed(skipped))

    def _effective_exclude(self, item: QueuedRequest, now: float) -> frozenset[str]:
        """Return the servers to skip; none if no other server is usable.

        Otherwise a request that has failed on every server would wait until its
        deadline for a server that does not exist.
        """
        if not item.exclude:
            return item.exclude
        states = self.servers.states
        if any(st.usable(now) for sid, st in states.items() if sid not in item.exclude):
            return item.exclude
        return frozenset()

    def _refuse_late_at_head(self, now: float) -> Iterator[Reply]:
        """Refuse requests at the queue's head that would miss their deadline."""
        min_remaining_s = self._min_remaining_s() if self.policy.accept_test else 0.0
        while self.queue and self.queue[0].deadline_at - now < min_remaining_s:
            yield self._denied(self.queue.popleft(), "deadline", now)

    def _refuse_late(self, now: float) -> Iterator[Reply]:
        """Refuse all queued requests that would miss their deadline.

        Deadlines differ, so such a request may be queued behind requests with later
        deadlines. This runs once a tick, since a pass over the whole queue costs more
        than a grant.
        """
        min_remaining_s = self._min_remaining_s() if self.policy.accept_test else 0.0
        late = [item for item in self.queue if item.deadline_at - now < min_remaining_s]
        if not late:
            return
        late_ids = {id(item) for item in late}
        self.queue = deque(item for item in self.queue if id(item) not in late_ids)
        for item in late:
            yield self._denied(item, "deadline", now)

    def _grant(self, item: QueuedRequest, server_id: str, now: float) -> Reply:
        self._last_permit_id += 1
        permit_id = self._last_permit_id
        permit = Permit(item.host_id, server_id, now + LEASE_S, item.request_id)
        self._add_permit(permit_id, permit)
        grant = msg.Grant(
            self.service, self.region, item.request_id, permit_id, server_id, LEASE_S
        )
        return Reply(item.host_id, grant)

    def _add_permit(self, permit_id: int, permit: Permit) -> None:
        self.permits[permit_id] = permit
        state = self.servers.states.get(permit.server_id)
        if state is not None:
            state.granted += 1

    def _remove_permit(self, permit_id: int) -> Permit | None:
        permit = self.permits.pop(permit_id, None)
        if permit is None:
            return None
        state = self.servers.states.get(permit.server_id)
        if state is not None:
            state.granted = max(0, state.granted - 1)
        return permit

    def release(self, message: msg.Release, now: float) -> Iterator[Reply]:
        """Take back a permit and record the result of its attempt."""
        self._remove_permit(message.permit)
        if message.result == ANSWERED:
            self.service_times.add(message.service_s)
        self.servers.record_result(message.server_id, message.result, now)
        yield from self.dispatch(now)

    def reuse(self, host_id: str, message: msg.Reuse, now: float) -> None:
        """Record that a host uses a permit for another of its waiting requests.

        The request that used the permit before was answered. The other request leaves
        the queue, and the lease is renewed.
        """
        self.service_times.add(message.service_s)
        self.servers.record_result(message.server_id, ANSWERED, now)
        self.withdraw(host_id, message.request_id)
        self.renew(host_id, [(message.server_id, message.permit)], now)
        permit = self.permits[message.permit]
        permit.request_id = message.request_id

    def renew(self, host_id: str, held: list[tuple[str, int]], now: float) -> None:
        """Extend the leases of running requests; adopt unknown permits.

        `held` holds pairs of a server id and a permit id. A lease can expire while the
        process of its host is paused. The request may still run, so a renewal of an
        expired permit takes its slot again. A permit of another host is not changed.
        """
        for server_id, permit_id in held:
            permit = self.permits.get(permit_id)
            if permit is None:
                self._add_permit(permit_id, Permit(host_id, server_id, now + LEASE_S))
            elif permit.host_id == host_id:
                permit.expires_at = now + LEASE_S

    def withdraw(self, host_id: str, request_id: str) -> None:
        """Drop a queued request that its host withdrew, as when its caller has gone."""
        for item in self.queue:
            if item.request_id == request_id and item.host_id == host_id:
                self.queue.remove(item)
                return

    def tick(self, now: float) -> Iterator[Reply]:
        """End expired leases, refuse late requests and grant free slots.

        The demand rate is updated before late requests are refused.
        """
        expired = [
            permit_id
            for permit_id, permit in self.permits.items()
            if permit.expires_at <= now
        ]
        for permit_id in expired:
            self._remove_permit(permit_id)
        self._update_demand(now)
        yield from self._refuse_late(now)
        yield from self.dispatch(now)

    def _update_demand(self, now: float) -> None:
        elapsed_s = now - self._rate_window_started_at
        if elapsed_s < 0.5:
            return
        rate = self._arrival_count / elapsed_s
        self.demand_rate += DEMAND_GAIN * (rate - self.demand_rate)
        self._arrival_count = 0
        self._rate_window_started_at = now

    def load(self, now: float) -> msg.RegionLoad:
        """Return the region's load for the planner.

        The requests in flight are the permits in use, and the limit counts only slots
        of usable servers.
        """
        return msg.RegionLoad(
            self.service,
            self.region,
            len(self.permits),
            len(self.queue),
            self._capacity(now),
            self.demand_rate,
        )


__all__ = ["KeeperPolicy", "Permit", "QueuedRequest", "Reply", "SlotKeeper"]
