"""The slot keeper of one service in one region: a joint queue and slot permits."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from . import messages as msg
from .estimate import ServiceTimes
from .randomness import RandomSource
from .servers import ANSWERED, ServerTable

LEASE_S = 5.0
RECOVERY_S = 1.0
ACCEPT_QUANTILE = 0.9
QUEUE_DEADLINE_PART = 0.5
RETRY_MIN_S = 0.5
RETRY_MAX_S = 30.0
DEMAND_GAIN = 0.2
PERMIT_BITS = 24


@dataclass(slots=True)
class Waiting:
    """A request in the joint queue."""

    host_id: str
    request_id: str
    deadline: float
    enqueued: float
    exclude: frozenset[str]


@dataclass(slots=True)
class Permit:
    """A slot that a host may use until its lease ends."""

    host_id: str
    server_id: str
    expires: float
    request_id: str = ""


@dataclass(slots=True, frozen=True)
class Reply:
    """A message for one host."""

    host_id: str
    message: msg.Grant | msg.Denied | msg.HeldQuery


@dataclass(slots=True)
class KeeperPolicy:
    """How the queue admits; the bench varies these."""

    accept_test: bool = True
    accept_quantile: float = ACCEPT_QUANTILE
    queue_wait_fraction: float = QUEUE_DEADLINE_PART


class SlotKeeper:
    """Grants the slots of one service in one region.

    Parameters
    ----------
    service, region : str
        What it keeps.
    term : int
        Number of this keeper's reign, unique over hosts and incarnations; it makes
        permit numbers unique so that a successor can adopt them.
    rng : RandomSource
        Source of the spread in retry times.
    policy : KeeperPolicy, optional
        Admission settings.
    """

    __slots__ = (
        "_arrivals",
        "_awaiting",
        "_next_permit",
        "_rate_since",
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
        "term",
        "times",
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
        self.times = ServiceTimes()
        self.queue: deque[Waiting] = deque()
        self.permits: dict[int, Permit] = {}
        self.limit = 0.0
        self.demand_rate = 0.0
        self._rng = rng
        self._next_permit = term << PERMIT_BITS
        self._awaiting: set[str] = set()
        self._recovering_until = 0.0
        self._arrivals = 0
        self._rate_since = 0.0

    def start(self, holders: list[str], now: float) -> Iterator[Reply]:
        """Ask every live host which slots its requests occupy.

        Failure: the predecessor dies with permits out. Granting their slots again
        would overfill the backend servers and shed work. No slot is granted until
        each host has answered, or `RECOVERY_S` has passed for one that cannot.
        """
        self._rate_since = now
        self._awaiting = set(holders)
        self._recovering_until = now + RECOVERY_S
        for host_id in holders:
            query = msg.HeldQuery(self.service, self.region, self.term)
            yield Reply(host_id, query)

    def recovering(self, now: float) -> bool:
        """Tell whether reports of held slots are still awaited."""
        return bool(self._awaiting) and now < self._recovering_until

    def on_held(
        self, host_id: str, report: msg.HeldReport, now: float
    ) -> Iterator[Reply]:
        """Adopt the permits that a host still holds."""
        if report.term != self.term:
            return
        for server_id, number in report.held:
            if number not in self.permits:
                self._occupy(number, Permit(host_id, server_id, now + LEASE_S))
        self._awaiting.discard(host_id)
        yield from self.dispatch(now)

    def host_down(self, host_id: str, now: float) -> Iterator[Reply]:
        """Forget a dead host's queued requests; its permits run out by lease.

        Its backend connections broke with it, but a request may still run there,
        so the slot stays taken until the lease ends.
        """
        self.queue = deque(item for item in self.queue if item.host_id != host_id)
        self._awaiting.discard(host_id)
        yield from self.dispatch(now)

    def acquire(self, host_id: str, ask: msg.Acquire, now: float) -> Iterator[Reply]:
        """Queue a request, or refuse it at once when it cannot make its deadline."""
        if self._is_queued(host_id, ask.request_id):
            # Asked again by a host that cannot know that its ask arrived: answering
            # later is enough, and a place at the back would undo the wait so far.
            return
        if self._vacate_lost(host_id, ask.request_id):
            yield from self.dispatch(now)
        self._arrivals += 1
        item = Waiting(
            host_id,
            ask.request_id,
            now + ask.remaining_s,
            now,
            frozenset(ask.exclude),
        )
        if self._grants_at_once(now):
            server = self.servers.pick(now, item.exclude)
            if server is not None:
                yield self._grant(item, server.declared.server_id, now)
                return
        reason = self._refusal(item, ask.remaining_s, now)
        if reason:
            yield self._denied(item, reason, now)
            return
        self.queue.append(item)
        yield from self.dispatch(now)

    def _grants_at_once(self, now: float) -> bool:
        free = not self.queue and len(self.permits) < self.limit
        return free and not self.recovering(now)

    def _is_queued(self, host_id: str, request_id: str) -> bool:
        return any(
            item.request_id == request_id and item.host_id == host_id
            for item in self.queue
        )

    def _vacate_lost(self, host_id: str, request_id: str) -> bool:
        """Take back a permit whose grant was lost with its connection.

        The host asks again, and the lost permit would keep its slot empty until the
        lease ends. A host asks only while it has no attempt under way, so nothing
        runs on that permit.
        """
        for number, permit in self.permits.items():
            if permit.request_id == request_id and permit.host_id == host_id:
                self._vacate(number)
                return True
        return False

    def _refusal(self, item: Waiting, remaining_s: float, now: float) -> str:
        capacity = self._capacity(now)
        if capacity < 1:
            return "" if self.recovering(now) else "no-capacity"
        waiting = len(self.queue)
        if waiting == 0 and len(self.permits) < capacity:
            return ""
        wait = self.expected_wait(waiting, capacity)
        if wait > remaining_s * self.policy.queue_wait_fraction:
            return "queue-full"
        if self.policy.accept_test and remaining_s - wait < self._accept_s():
            return "deadline"
        return ""

    def expected_wait(self, waiting: int, capacity: float) -> float:
        """Return the seconds until `waiting` requests ahead have been started."""
        return (waiting + 1) * self.times.mean_s / max(1.0, capacity)

    def _accept_s(self) -> float:
        return self.times.quantile(self.policy.accept_quantile)

    def _capacity(self, now: float) -> float:
        return min(self.limit, float(self.servers.total_capacity(now)))

    def _denied(self, item: Waiting, reason: str, now: float) -> Reply:
        retry_after = self.retry_after(now)
        message = msg.Denied(
            self.service, self.region, item.request_id, reason, retry_after
        )
        return Reply(item.host_id, message)

    def retry_after(self, now: float) -> float:
        """Return when to come back: backlog times overload, spread evenly.

        Without the spread every refused caller of an hourly surge would return in
        the same instant and meet the same full queue.
        """
        capacity = max(1.0, self._capacity(now))
        backlog = self.expected_wait(len(self.queue), capacity)
        overload = max(1.0, self.demand_rate * self.times.mean_s / capacity)
        base = max(RETRY_MIN_S, backlog * overload)
        return min(RETRY_MAX_S, base * self._rng.uniform(0.5, 1.5))

    def dispatch(self, now: float) -> Iterator[Reply]:
        """Grant free slots to the queue's head; dismiss what became infeasible."""
        yield from self._dismiss(now)
        if self.recovering(now):
            return
        skipped: list[Waiting] = []
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

    def _effective_exclude(self, item: Waiting, now: float) -> frozenset[str]:
        """Return the servers to pass over; none when nothing else is usable.

        A request that has failed on every server would wait for one that does not
        exist until its deadline.
        """
        if not item.exclude:
            return item.exclude
        states = self.servers.states
        if any(st.usable(now) for sid, st in states.items() if sid not in item.exclude):
            return item.exclude
        return frozenset()

    def _dismiss(self, now: float) -> Iterator[Reply]:
        """Refuse requests at the queue's head that can no longer make it."""
        needed = self._accept_s() if self.policy.accept_test else 0.0
        while self.queue and self.queue[0].deadline - now < needed:
            yield self._denied(self.queue.popleft(), "deadline", now)

    def _dismiss_everywhere(self, now: float) -> Iterator[Reply]:
        """Refuse such requests wherever they wait, once a tick.

        Deadlines differ, so a late one may wait behind others; walking the whole
        queue for each grant would cost more than the grant.
        """
        needed = self._accept_s() if self.policy.accept_test else 0.0
        late = [item for item in self.queue if item.deadline - now < needed]
        if not late:
            return
        gone = {id(item) for item in late}
        self.queue = deque(item for item in self.queue if id(item) not in gone)
        for item in late:
            yield self._denied(item, "deadline", now)

    def _grant(self, item: Waiting, server_id: str, now: float) -> Reply:
        self._next_permit += 1
        number = self._next_permit
        permit = Permit(item.host_id, server_id, now + LEASE_S, item.request_id)
        self._occupy(number, permit)
        grant = msg.Grant(
            self.service, self.region, item.request_id, number, server_id, LEASE_S
        )
        return Reply(item.host_id, grant)

    def _occupy(self, number: int, permit: Permit) -> None:
        self.permits[number] = permit
        state = self.servers.states.get(permit.server_id)
        if state is not None:
            state.granted += 1

    def _vacate(self, number: int) -> Permit | None:
        permit = self.permits.pop(number, None)
        if permit is None:
            return None
        state = self.servers.states.get(permit.server_id)
        if state is not None:
            state.granted = max(0, state.granted - 1)
        return permit

    def release(self, done: msg.Release, now: float) -> Iterator[Reply]:
        """Take back a permit and learn from its attempt."""
        self._vacate(done.permit)
        if done.result == ANSWERED:
            self.times.add(done.service_s)
        self.servers.learn(done.server_id, done.result, now)
        yield from self.dispatch(now)

    def reuse(self, host_id: str, done: msg.Reuse, now: float) -> None:
        """Let a permit go on to another waiting request of its host."""
        self.times.add(done.service_s)
        self.servers.learn(done.server_id, ANSWERED, now)
        self.withdraw(host_id, done.request_id)
        self.renew(host_id, [(done.server_id, done.permit)], now)
        permit = self.permits[done.permit]
        permit.request_id = done.request_id

    def renew(self, host_id: str, held: list[tuple[str, int]], now: float) -> None:
        """Extend the leases of running requests; adopt unknown ones.

        A lease can lapse while its holder is paused. The request may still run, so
        a renewal for a permit that lapsed takes its slot again.
        """
        for server_id, number in held:
            permit = self.permits.get(number)
            if permit is None:
                self._occupy(number, Permit(host_id, server_id, now + LEASE_S))
            elif permit.host_id == host_id:
                permit.expires = now + LEASE_S

    def withdraw(self, host_id: str, request_id: str) -> None:
        """Forget a queued request whose caller has gone."""
        for item in self.queue:
            if item.request_id == request_id and item.host_id == host_id:
                self.queue.remove(item)
                return

    def tick(self, now: float) -> Iterator[Reply]:
        """End lapsed leases, update the demand figure, grant what became free."""
        lapsed = [num for num, permit in self.permits.items() if permit.expires <= now]
        for number in lapsed:
            self._vacate(number)
        self._update_demand(now)
        yield from self._dismiss_everywhere(now)
        yield from self.dispatch(now)

    def _update_demand(self, now: float) -> None:
        elapsed = now - self._rate_since
        if elapsed < 0.5:
            return
        rate = self._arrivals / elapsed
        self.demand_rate += DEMAND_GAIN * (rate - self.demand_rate)
        self._arrivals = 0
        self._rate_since = now

    def load(self, now: float) -> msg.RegionLoad:
        """Return the figures the planner needs; the limit counts usable slots."""
        return msg.RegionLoad(
            self.service,
            self.region,
            len(self.permits),
            len(self.queue),
            self._capacity(now),
            self.demand_rate,
        )


__all__ = ["KeeperPolicy", "Permit", "Reply", "SlotKeeper", "Waiting"]
