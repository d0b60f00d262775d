"""Demo in one process: an hourly surge, a planned drain and a traffic shift."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from . import logs
from .caller import ANSWERED, NOT_RUN, Answer, Caller
from .deployments import GRUPO_VISITAS, Ports, lay_out
from .embedded import EmbeddedDeployment, free_ports
from .metrics import Metrics
from .operations import Document

CALLERS = 60
HOSTS = 6
WORKER_DIVISOR = 3
# End of the surge and starts of the drain and the shift, in seconds from the start of
# the surge, not counting the time that the drain and the shift themselves take.
SURGE_S = 12.0
DRAIN_AT_S = 3.0
DRAINED_SERVER = "calendar-1"
SHIFT_AT_S = 5.0


@dataclass(slots=True)
class Tally:
    """Outcomes and latencies of the requests of all callers.

    `outcomes` counts the requests by outcome, and `reasons` those without an answer by
    reason code. `crossed` counts answers that do not contain the id of their request,
    such as the answer to another request.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    crossed: int = 0
    metrics: Metrics = field(default_factory=Metrics)

    def add(self, answer: Answer, seconds: float) -> None:
        """Count one answer, received `seconds` after its request was started."""
        self.outcomes[answer.outcome] += 1
        if answer.outcome != ANSWERED:
            self.reasons[answer.reason] += 1
        self.metrics.observe("latency", seconds)


async def run_demo(seed: int) -> None:
    """Run the demo and print its report."""
    logs.setup("ERROR")
    layout = lay_out(
        GRUPO_VISITAS,
        Ports(free_ports()),
        hosts=HOSTS,
        worker_divisor=WORKER_DIVISOR,
        seed=seed,
        log_level="ERROR",
    )
    print(f"{GRUPO_VISITAS.name}: {HOSTS} entry hosts, {len(layout.backends)} workers")
    deployment = EmbeddedDeployment(layout, seed=seed)
    await deployment.start()
    print("configuration in force on every host")
    try:
        await _run(deployment, seed)
    finally:
        await deployment.close()


async def _run(deployment: EmbeddedDeployment, seed: int) -> None:
    tally = Tally()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    callers = [
        loop.create_task(_call(deployment, num, seed, tally, stop))
        for num in range(CALLERS)
    ]
    print(f"surge: {CALLERS} callers wake at once")
    await asyncio.sleep(DRAIN_AT_S)
    drain_seconds = await _drain(deployment)
    await asyncio.sleep(SHIFT_AT_S - DRAIN_AT_S)
    await _shift(deployment)
    await asyncio.sleep(SURGE_S - SHIFT_AT_S)
    stop.set()
    await asyncio.gather(*callers)
    _report(deployment, tally, drain_seconds)


async def _call(
    deployment: EmbeddedDeployment,
    num: int,
    seed: int,
    tally: Tally,
    stop: asyncio.Event,
) -> None:
    rng = random.Random(f"{seed}/{num}")
    region_number = num % 3 + 1
    caller = Caller(
        deployment.entries(),
        caller_id=f"teacher-{num}",
        address=f"10.{region_number}.0.{num + 1}",
        rng=rng,
    )
    count = 0
    while not stop.is_set():
        count += 1
        await _one_call(caller, rng, f"teacher-{num}-{count}", tally)
        await asyncio.sleep(rng.expovariate(1 / 0.15))
    caller.close()


async def _one_call(
    caller: Caller, rng: random.Random, request_id: str, tally: Tally
) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    if rng.random() < 0.7:
        answer = await caller.request(
            "GET", "/calendar/tours", service="calendar", request_id=request_id
        )
    else:
        answer = await caller.request(
            "POST",
            "/booking/seats",
            service="booking",
            body=b'{"seats": 30}',
            key=request_id,
            request_id=request_id,
        )
    if answer.outcome == ANSWERED and request_id.encode() not in answer.body:
        tally.crossed += 1
    tally.add(answer, loop.time() - started)


async def _drain(deployment: EmbeddedDeployment) -> float:
    loop = asyncio.get_running_loop()
    started = loop.time()
    document = Document("Drain", f"server-{DRAINED_SERVER}", {"server": DRAINED_SERVER})
    await deployment.operator.apply(document)
    await deployment.operator.wait_drained(document.name, 20.0)
    seconds = loop.time() - started
    print(f"drain of {DRAINED_SERVER}: idle after {seconds:.2f} s")
    return seconds


async def _shift(deployment: EmbeddedDeployment) -> None:
    for item in deployment.layout.resources:
        if (item["kind"], item["name"]) == ("SteeringPolicy", "calendar"):
            spec = {**item["spec"]}
    spec["groups"] = [
        {**group, "weights": {**group["weights"], "norte": 0.5}}
        for group in spec["groups"]
    ]
    applied = await deployment.operator.apply(
        Document("SteeringPolicy", "calendar", spec)
    )
    await deployment.operator.wait_in_force(applied.version, 10.0)
    print("shift of calendar towards norte accepted; the cap paces it")


def _report(deployment: EmbeddedDeployment, tally: Tally, drain_seconds: float) -> None:
    runs_by_request: Counter[str] = Counter()
    for backend in deployment.backends.values():
        runs_by_request.update(
            item.request_id for item in backend.ledger if item.state == "done"
        )
    doubled = sum(1 for count in runs_by_request.values() if count > 1)
    app = next(iter(deployment.hosts.values()))
    plan = app.runtime.core.view.config.plans["calendar"]
    counts = plan.region_buckets()
    bucket_count = sum(counts.values())
    shares = " ".join(
        f"{reg} {100 * num / bucket_count:.1f}%" for reg, num in counts.items()
    )
    print(f"calendar plan: {shares}")
    hist = tally.metrics.histograms["latency"]
    for pct in (50, 99):
        millis = hist.get_value_at_percentile(pct) / 1000
        print(f"latency p{pct}: {millis:.1f} ms")
    print("refusals and unknowns:", dict(tally.reasons) or "none")
    requests = sum(tally.outcomes.values())
    answered = tally.outcomes[ANSWERED]
    refused = tally.outcomes[NOT_RUN]
    unknown = requests - answered - refused
    print(
        f"requests={requests} answered={answered} refused={refused} "
        f"unknown={unknown} doubled={doubled} crossed={tally.crossed} "
        f"drain_s={drain_seconds:.2f}"
    )
