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
WARM_S = 2.0
TICK_S = 0.02
SURGE_PART = 0.1
LOADS = (0.8, 1.0, 2.0, 5.0)


@dataclass(slots=True)
class Job:
    """One request of the simulation."""

    number: int
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
    most_busy: int = 0


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
        self._count = 0
        self.jobs = list(self._arrivals(rng, load * self.capacity, surge))

    def _arrivals(self, rng: random.Random, rate: float, surge: bool) -> Iterator[Job]:
        """Yield random arrivals; in a surge, a share of them falls within one second."""
        mean = self.shape.service_ms / 1000
        total = int(rate * SECONDS)
        times = []
        for _ in range(total):
            if surge and rng.random() < SURGE_PART:
                times.append(WARM_S + rng.random())
            else:
                times.append(rng.uniform(0, SECONDS))
        for number, at in enumerate(sorted(times)):
            yield Job(
                number,
                at,
                rng.expovariate(1 / mean),
                at + self.shape.deadline_ms / 1000,
                rng.randrange(HOSTS),
            )

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call at a point in virtual time."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, call))

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in virtual time."""
        self.at(self.now + delay, call)

    def run(self) -> None:
        """Run until no event is left, or until 60 s after the last arrival."""
        end = SECONDS + 60.0
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()


class Way:
    """One way of sharing slots; subclasses decide which server gets a job."""

    name = ""

    def __init__(self, trial: Trial, seed: int) -> None:
        self.trial = trial
        self.rng = random.Random(seed)

    def start(self) -> None:
        """Schedule all arrivals."""
        for job in self.trial.jobs:
            self.trial.at(job.arrived, lambda job=job: self.arrive(job))

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
        server.most_busy = max(server.most_busy, server.busy)
        self.trial.after(job.service_s, lambda: self._end(job, index))

    def _end(self, job: Job, index: int) -> None:
        server = self.trial.servers[index]
        server.busy -= 1
        job.done_at = self.trial.now + ONE_WAY_S
        self.finished(job, index)
        if server.queue:
            self.serve(server.queue.popleft(), index)


class IdealQueue(Way):
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


class ReportedLoad(Way):
    """The naive way: each host picks the less loaded of two servers, as reported."""

    name = "local choice on reported load"

    def start(self) -> None:
        super().start()
        self._report()

    def _report(self) -> None:
        for server in self.trial.servers:
            server.reported = server.busy + len(server.queue)
        if self.trial.now < SECONDS + 5:
            self.trial.after(REPORT_LAG_S, self._report)

    def arrive(self, job: Job) -> None:
        servers = self.trial.servers
        first, second = (self.rng.randrange(len(servers)) for _ in range(2))
        fewer = servers[first].reported <= servers[second].reported
        better = first if fewer else second
        self.trial.after(ONE_WAY_S, lambda: self.serve(job, better))


class FixedSplit(Way):
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


class KeeperWay(Way):
    """The product's slot keeper, which runs on host 0."""

    name = "slot keeper"
    policy = KeeperPolicy()
    reuses = MAX_REUSES
    queue = 0

    def __init__(self, trial: Trial, seed: int) -> None:
        super().__init__(trial, seed)
        self._keeper = SlotKeeper("s", "r", 1, self.rng, self.policy)
        declared = [
            BackendServer(
                str(index), "127.0.0.1:1", "r", "d", srv.slots, 400, self.queue
            )
            for index, srv in enumerate(trial.servers)
        ]
        self._keeper.servers.declare(iter(declared), set(), 0.0)
        self._keeper.limit = float(sum(srv.max_concurrent for srv in declared))
        self._jobs = {str(job.number): job for job in trial.jobs}
        self._permits: dict[int, tuple[msg.Grant, int]] = {}
        self._waiting: list[deque[Job]] = [deque() for _ in range(HOSTS)]

    def start(self) -> None:
        super().start()
        self._tick()

    def _tick(self) -> None:
        self._act(self._keeper.tick(self.trial.now))
        if self.trial.now < SECONDS + 10:
            self.trial.after(TICK_S, self._tick)

    def _delay(self, host: int) -> float:
        return 0.0 if host == 0 else ONE_WAY_S

    def arrive(self, job: Job) -> None:
        self._waiting[job.host].append(job)
        self.trial.after(self._delay(job.host), lambda: self._ask(job))

    def _ask(self, job: Job) -> None:
        if job.number in self._permits:
            return
        left = job.deadline - self.trial.now
        ask = msg.Acquire("s", "r", str(job.number), left, [])
        self._act(self._keeper.acquire(f"h{job.host}", ask, self.trial.now))

    def _act(self, replies: Iterator) -> None:
        for reply in list(replies):
            message = reply.message
            job = self._jobs[message.request_id]
            delay = self._delay(job.host)
            if isinstance(message, msg.Grant):
                self.trial.after(delay, lambda j=job, m=message: self._granted(j, m))
            elif job.number not in self._permits:
                job.refused = message.reason
                job.done_at = self.trial.now + delay

    def _begin(self, job: Job, index: int) -> None:
        server = self.trial.servers[index]
        if server.busy + len(server.queue) >= server.slots + self.queue:
            self.trial.shed += 1
        self.serve(job, index)

    def _granted(self, job: Job, grant: msg.Grant) -> None:
        if job.number in self._permits or job.done_at:
            unused = msg.Release("s", "r", grant.permit, grant.server_id, "unused", 0.0)
            self.trial.after(self._delay(job.host), lambda: self._send(unused))
            return
        self._use(job, grant, 0)

    def _use(self, job: Job, grant: msg.Grant, reuses: int) -> None:
        self._permits[job.number] = (grant, reuses)
        index = int(grant.server_id)
        self.trial.after(ONE_WAY_S, lambda: self._begin(job, index))

    def _send(self, release: msg.Release) -> None:
        self._act(self._keeper.release(release, self.trial.now))

    def finished(self, job: Job, index: int) -> None:
        self.trial.after(ONE_WAY_S, lambda: self._done(job))

    def _done(self, job: Job) -> None:
        grant, reuses = self._permits[job.number]
        heir = self._heir(job.host) if reuses < self.reuses else None
        if heir is None:
            self.trial.after(self._delay(job.host), lambda: self._release(grant, job))
            return
        reuse = msg.Reuse(
            "s", "r", grant.permit, grant.server_id, job.service_s, str(heir.number)
        )
        now = self.trial.now
        delay = self._delay(job.host)
        self.trial.at(now + delay, lambda: self._reused(job.host, reuse))
        self._use(heir, grant, reuses + 1)

    def _reused(self, host: int, reuse: msg.Reuse) -> None:
        self._keeper.reuse(f"h{host}", reuse, self.trial.now)

    def _heir(self, host: int) -> Job | None:
        waiting = self._waiting[host]
        while waiting:
            job = waiting.popleft()
            if job.number not in self._permits and not job.done_at:
                return job
        return None

    def _release(self, grant: msg.Grant, job: Job) -> None:
        done = msg.Release(
            "s", "r", grant.permit, grant.server_id, "answered", job.service_s
        )
        self._act(self._keeper.release(done, self.trial.now))


class KeeperNoTest(KeeperWay):
    """The keeper without the acceptance test."""

    name = "slot keeper, no acceptance test"
    policy = KeeperPolicy(accept_test=False)


class KeeperQueueOne(KeeperWay):
    """The keeper with backend servers that each queue one request themselves."""

    name = "slot keeper, servers queue one"
    queue = 1


class KeeperNoReuse(KeeperWay):
    """The keeper without reuse: hosts return every permit after one request."""

    name = "slot keeper, no reuse"
    reuses = 0


class KeeperTestOnly(KeeperWay):
    """The paper's rule alone: refuse at dispatch a request that is probably late."""

    name = "slot keeper, acceptance test only"
    policy = KeeperPolicy(queue_wait_fraction=1e9)


class KeeperNoRefusal(KeeperWay):
    """The keeper without any refusal when a request arrives."""

    name = "slot keeper, dismissed only when late"
    policy = KeeperPolicy(accept_test=False, queue_wait_fraction=1e9)


WAYS = (
    IdealQueue,
    ReportedLoad,
    FixedSplit,
    KeeperNoRefusal,
    KeeperTestOnly,
    KeeperNoTest,
    KeeperNoReuse,
    KeeperWay,
    KeeperQueueOne,
)


def measure(shape: ServiceShape, load: float, surge: bool, seed: int) -> dict:
    """Return the figures of every way for the same arrivals."""
    rows = {}
    for way_class in WAYS:
        trial = Trial(shape, load, seed, surge)
        way = way_class(trial, seed)
        way.start()
        trial.run()
        rows[way_class.name] = _figures(trial)
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
    able = min(len(trial.jobs), trial.capacity * SECONDS)
    return {
        "offered": len(trial.jobs),
        "goodput_of_capacity": good / able,
        "late": late,
        "refused": dict(refusals),
        "refused_part": sum(refusals.values()) / max(1, len(trial.jobs)),
        "p50_ms": hist.get_value_at_percentile(50) / 1000,
        "p99_ms": hist.get_value_at_percentile(99) / 1000,
        "p999_ms": hist.get_value_at_percentile(99.9) / 1000,
        "shed": trial.shed,
        "most_busy_over_slots": max(srv.most_busy / srv.slots for srv in trial.servers),
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
