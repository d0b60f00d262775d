"""Compares ways of sharing few slots among many hosts.

It simulates the queues of one region in virtual time. The slot keeper and its admission
are the real ones; hosts and backend servers are small models. The same seed gives every
way the same arrivals and service times.
"""

import heapq
import json
import multiprocessing
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from lacewingcross.core import messages as msg
from lacewingcross.core.keeper import KeeperPolicy, SlotKeeper
from lacewingcross.core.requests import MAX_REUSES
from lacewingcross.core.resources import BackendServer
from lacewingcross.deployments import DEPLOYMENTS, ServiceShape

RESULT = Path(__file__).parent / "results" / "slots.json"
HOSTS = 4
ONE_WAY_S = 0.0005
REPORT_LAG_S = 0.25
SECONDS = 10.0
SURGE_AT_S = 2.0
TICK_S = 0.02
SURGE_FRACTION = 0.1
LOADS = (0.8, 1.0, 2.0, 5.0)


@dataclass(slots=True)
class Job:
    """One request of the simulation."""

    sequence: int
    arrived: float
    service_s: float
    deadline: float
    host: int
    done_at: float = 0.0
    refused: str = ""


@dataclass(slots=True)
class Server:
    """A backend server with slots, a queue of its own and a delayed load report."""

    slots: int
    busy: int = 0
    queue: deque[Job] = field(default_factory=deque)
    reported: int = 0
    max_busy: int = 0


class Trial:
    """The virtual time, arrivals and servers, which are the same for all ways."""

    def __init__(self, shape: ServiceShape, load: float, seed: int, surge: bool):
        rng = random.Random(f"{shape.name}/{load}/{seed}")
        workers = max(1, shape.workers // 3)
        self.shape = shape
        self.servers = [Server(shape.slots) for _ in range(workers)]
        self.capacity = workers * shape.slots / (shape.service_ms / 1000)
        self.now = 0.0
        self.shed = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.jobs = list(self._arrivals(rng, load * self.capacity, surge))

    def _arrivals(self, rng: random.Random, rate: float, surge: bool) -> Iterator[Job]:
        """Yield random arrivals; in a surge, a share of them falls in one second."""
        mean = self.shape.service_ms / 1000
        total = int(rate * SECONDS)
        times = []
        for _ in range(total):
            if surge and rng.random() < SURGE_FRACTION:
                times.append(SURGE_AT_S + rng.random())
            else:
                times.append(rng.uniform(0, SECONDS))
        for sequence, at in enumerate(sorted(times)):
            yield Job(
                sequence,
                at,
                rng.expovariate(1 / mean),
                at + self.shape.deadline_ms / 1000,
                rng.randrange(HOSTS),
            )

    def schedule_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a call at a point in virtual time."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, callback))

    def schedule_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a call after a delay in virtual time."""
        self.schedule_at(self.now + delay, callback)

    def run(self) -> None:
        """Run until no event is left, or until 60 s after the last arrival."""
        end = SECONDS + 60.0
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()


class Strategy:
    """One way of sharing slots; subclasses decide which server gets a job."""

    name = ""

    def __init__(self, trial: Trial, seed: int) -> None:
        self.trial = trial
        self.rng = random.Random(seed)

    def start(self) -> None:
        """Schedule all arrivals."""
        for job in self.trial.jobs:
            self.trial.schedule_at(job.arrived, lambda job=job: self.arrive(job))

    def arrive(self, job: Job) -> None:
        raise NotImplementedError

    def finished(self, job: Job, index: int) -> None:
        """Handle that a server has completed a job."""

    def serve(self, job: Job, index: int) -> None:
        """Occupy a slot of a server, or wait in the server's own queue."""
        server = self.trial.servers[index]
        if server.busy >= server.slots:
            server.queue.append(job)
            return
        server.busy += 1
        server.max_busy = max(server.max_busy, server.busy)
        self.trial.schedule_after(job.service_s, lambda: self._complete(job, index))

    def _complete(self, job: Job, index: int) -> None:
        server = self.trial.servers[index]
        server.busy -= 1
        job.done_at = self.trial.now + ONE_WAY_S
        self.finished(job, index)
        if server.queue:
            self.serve(server.queue.popleft(), index)


class IdealQueue(Strategy):
    """One queue that knows the state of every slot, without any delay or refusal."""

    name = "ideal joint queue"

    def __init__(self, trial: Trial, seed: int) -> None:
        super().__init__(trial, seed)
        self._queue: deque[Job] = deque()

    def arrive(self, job: Job) -> None:
        self._queue.append(job)
        self._dispatch()

    def finished(self, job: Job, index: int) -> None:
        self._dispatch()

    def _dispatch(self) -> None:
        for index, server in enumerate(self.trial.servers):
            while self._queue and server.busy < server.slots:
                self.serve(self._queue.popleft(), index)


class ReportedLoad(Strategy):
    """The naive way: each host picks the less loaded of two servers, as reported."""

    name = "local choice on reported load"

    def start(self) -> None:
        super().start()
        self._report()

    def _report(self) -> None:
        for server in self.trial.servers:
            server.reported = server.busy + len(server.queue)
        if self.trial.now < SECONDS + 5:
            self.trial.schedule_after(REPORT_LAG_S, self._report)

    def arrive(self, job: Job) -> None:
        servers = self.trial.servers
        first, second = (self.rng.randrange(len(servers)) for _ in range(2))
        fewer = servers[first].reported <= servers[second].reported
        better = first if fewer else second
        self.trial.schedule_after(ONE_WAY_S, lambda: self.serve(job, better))


class FixedSplit(Strategy):
    """Each host owns a fixed share of the slots and has its own queue for them."""

    name = "fixed split"

    def __init__(self, trial: Trial, seed: int) -> None:
        super().__init__(trial, seed)
        slots = [
            index for index, srv in enumerate(trial.servers) for _ in range(srv.slots)
        ]
        self._free = [deque(slots[host::HOSTS]) for host in range(HOSTS)]
        self._queues: list[deque[Job]] = [deque() for _ in range(HOSTS)]

    def arrive(self, job: Job) -> None:
        self._queues[job.host].append(job)
        self._dispatch(job.host)

    def finished(self, job: Job, index: int) -> None:
        self._free[job.host].append(index)
        self._dispatch(job.host)

    def _dispatch(self, host: int) -> None:
        while self._queues[host] and self._free[host]:
            index = self._free[host].popleft()
            self.serve(self._queues[host].popleft(), index)


class KeeperStrategy(Strategy):
    """The product's slot keeper, which runs on host 0."""

    name = "slot keeper"
    policy = KeeperPolicy()
    reuses = MAX_REUSES
    queue = 0

    def __init__(self, trial: Trial, seed: int) -> None:
        super().__init__(trial, seed)
        self._keeper = SlotKeeper("s", "r", 1, self.rng, self.policy)
        declared_servers = [
            BackendServer(
                str(index), "127.0.0.1:1", "r", "d", srv.slots, 400, self.queue
            )
            for index, srv in enumerate(trial.servers)
        ]
        self._keeper.servers.declare(iter(declared_servers), set(), 0.0)
        self._keeper.limit = float(sum(srv.max_concurrent for srv in declared_servers))
        self._jobs = {str(job.sequence): job for job in trial.jobs}
        self._permits: dict[int, tuple[msg.Grant, int]] = {}
        self._waiting: list[deque[Job]] = [deque() for _ in range(HOSTS)]

    def start(self) -> None:
        super().start()
        self._tick()

    def _tick(self) -> None:
        self._deliver(self._keeper.tick(self.trial.now))
        if self.trial.now < SECONDS + 10:
            self.trial.schedule_after(TICK_S, self._tick)

    def _delay(self, host: int) -> float:
        return 0.0 if host == 0 else ONE_WAY_S

    def arrive(self, job: Job) -> None:
        self._waiting[job.host].append(job)
        self.trial.schedule_after(
            self._delay(job.host), lambda: self._request_permit(job)
        )

    def _request_permit(self, job: Job) -> None:
        if job.sequence in self._permits:
            return
        remaining_s = job.deadline - self.trial.now
        request_message = msg.Acquire("s", "r", str(job.sequence), remaining_s, [])
        self._deliver(
            self._keeper.acquire(f"h{job.host}", request_message, self.trial.now)
        )

    def _deliver(self, replies: Iterator) -> None:
        for reply in list(replies):
            message = reply.message
            job = self._jobs[message.request_id]
            delay = self._delay(job.host)
            if isinstance(message, msg.Grant):
                self.trial.schedule_after(
                    delay, lambda j=job, m=message: self._granted(j, m)
                )
            elif job.sequence not in self._permits:
                job.refused = message.reason
                job.done_at = self.trial.now + delay

    def _start_service(self, job: Job, index: int) -> None:
        server = self.trial.servers[index]
        if server.busy + len(server.queue) >= server.slots + self.queue:
            self.trial.shed += 1
        self.serve(job, index)

    def _granted(self, job: Job, grant: msg.Grant) -> None:
        if job.sequence in self._permits or job.done_at:
            unused = msg.Release("s", "r", grant.permit, grant.server_id, "unused", 0.0)
            self.trial.schedule_after(self._delay(job.host), lambda: self._send(unused))
            return
        self._use_permit(job, grant, 0)

    def _use_permit(self, job: Job, grant: msg.Grant, reuses: int) -> None:
        self._permits[job.sequence] = (grant, reuses)
        index = int(grant.server_id)
        self.trial.schedule_after(ONE_WAY_S, lambda: self._start_service(job, index))

    def _send(self, release: msg.Release) -> None:
        self._deliver(self._keeper.release(release, self.trial.now))

    def finished(self, job: Job, index: int) -> None:
        self.trial.schedule_after(ONE_WAY_S, lambda: self._done(job))

    def _done(self, job: Job) -> None:
        grant, reuses = self._permits[job.sequence]
        next_job = self._next_waiting(job.host) if reuses < self.reuses else None
        if next_job is None:
            self.trial.schedule_after(
                self._delay(job.host), lambda: self._release(grant, job)
            )
            return
        reuse = msg.Reuse(
            "s",
            "r",
            grant.permit,
            grant.server_id,
            job.service_s,
            str(next_job.sequence),
        )
        now = self.trial.now
        delay = self._delay(job.host)
        self.trial.schedule_at(now + delay, lambda: self._reused(job.host, reuse))
        self._use_permit(next_job, grant, reuses + 1)

    def _reused(self, host: int, reuse: msg.Reuse) -> None:
        self._keeper.reuse(f"h{host}", reuse, self.trial.now)

    def _next_waiting(self, host: int) -> Job | None:
        waiting = self._waiting[host]
        while waiting:
            job = waiting.popleft()
            if job.sequence not in self._permits and not job.done_at:
                return job
        return None

    def _release(self, grant: msg.Grant, job: Job) -> None:
        done = msg.Release(
            "s", "r", grant.permit, grant.server_id, "answered", job.service_s
        )
        self._deliver(self._keeper.release(done, self.trial.now))


class KeeperNoTest(KeeperStrategy):
    """The keeper without the acceptance test."""

    name = "slot keeper, no acceptance test"
    policy = KeeperPolicy(accept_test=False)


class KeeperQueueOne(KeeperStrategy):
    """The keeper with backend servers that each queue one request themselves."""

    name = "slot keeper, servers queue one"
    queue = 1


class KeeperNoReuse(KeeperStrategy):
    """The keeper without reuse: hosts return every permit after one request."""

    name = "slot keeper, no reuse"
    reuses = 0


class KeeperTestOnly(KeeperStrategy):
    """The paper's rule alone: refuse at dispatch a request that is probably late."""

    name = "slot keeper, acceptance test only"
    policy = KeeperPolicy(queue_wait_fraction=1e9)


class KeeperNoRefusal(KeeperStrategy):
    """The keeper without any refusal when a request arrives."""

    name = "slot keeper, dismissed only when late"
    policy = KeeperPolicy(accept_test=False, queue_wait_fraction=1e9)


STRATEGIES = (
    IdealQueue,
    ReportedLoad,
    FixedSplit,
    KeeperNoRefusal,
    KeeperTestOnly,
    KeeperNoTest,
    KeeperNoReuse,
    KeeperStrategy,
    KeeperQueueOne,
)


def measure(shape: ServiceShape, load: float, surge: bool, seed: int) -> dict:
    """Return the figures of every way for the same arrivals."""
    rows = {}
    for strategy_class in STRATEGIES:
        trial = Trial(shape, load, seed, surge)
        strategy = strategy_class(trial, seed)
        strategy.start()
        trial.run()
        rows[strategy_class.name] = _figures(trial)
    return rows


def _figures(trial: Trial) -> dict:
    hist = HdrHistogram(1, 600_000_000, 3)
    good = late = 0
    refusals: Counter[str] = Counter()
    for job in trial.jobs:
        if job.refused:
            refusals[job.refused] += 1
            continue
        if not job.done_at or job.done_at > job.deadline:
            late += 1
        elif job.done_at <= SECONDS:
            good += 1
        end = job.done_at or SECONDS + 60.0
        hist.record_value(max(1, int((end - job.arrived) * 1e6)))
    achievable = min(len(trial.jobs), trial.capacity * SECONDS)
    return {
        "offered": len(trial.jobs),
        "goodput_of_capacity": good / achievable,
        "late": late,
        "refused": dict(refusals),
        "refused_part": sum(refusals.values()) / max(1, len(trial.jobs)),
        "p50_ms": hist.get_value_at_percentile(50) / 1000,
        "p99_ms": hist.get_value_at_percentile(99) / 1000,
        "p999_ms": hist.get_value_at_percentile(99.9) / 1000,
        "shed": trial.shed,
        "most_busy_over_slots": max(srv.max_busy / srv.slots for srv in trial.servers),
    }


def cases() -> list[tuple[str, ServiceShape, float, bool]]:
    """Return the cases: each deployment, two services, several loads and a surge."""
    return [
        (
            f"{dep.name}/{shape.name}/{load:g}x" + ("/surge" if surge else ""),
            shape,
            load,
            surge,
        )
        for dep in DEPLOYMENTS.values()
        for shape in dep.services[:2]
        for load in LOADS
        for surge in ((False, True) if load == 1.0 else (False,))
    ]


def _one_case(case: tuple[str, ServiceShape, float, bool]) -> tuple[str, dict]:
    key, shape, load, surge = case
    return key, measure(shape, load, surge, 1)


def measure_slots() -> dict:
    """Return the figures of all cases, which run in parallel processes."""
    with multiprocessing.Pool(4) as pool:
        return dict(pool.map(_one_case, cases(), chunksize=1))


def print_rows(result: dict) -> None:
    """Print a line for each case and way."""
    for key, rows in result.items():
        print(key)
        for name, row in rows.items():
            print(
                f"  {name:38s} goodput={row['goodput_of_capacity']:.3f} "
                f"late={row['late']} refused={row['refused_part']:.3f} "
                f"p50={row['p50_ms']:.0f} p99={row['p99_ms']:.0f} "
                f"p99.9={row['p999_ms']:.0f} shed={row['shed']}"
            )


if __name__ == "__main__":
    figures = measure_slots()
    RESULT.write_text(json.dumps(figures, indent=1, sort_keys=True) + "\n")
    print_rows(figures)
