"""Compares the whole path with the naive version, in separate processes.

Both get the same arrivals. There is one service of ten workers with three slots each in
three regions, and there are six entry hosts. The callers form an open loop and use the
caller library.
"""

import asyncio
import dataclasses
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from statistics import fmean

from hdrh.histogram import HdrHistogram

from lacewingcross.caller import ANSWERED, NOT_RUN, Caller
from lacewingcross.deployments import Deployment, Layout, Ports, ServiceShape, lay_out
from lacewingcross.embedded import free_ports
from lacewingcross.operations import Document

from .processes import BenchProcesses, fetch

RESULT = Path(__file__).parent / "results" / "scenarios.json"
SECONDS = 10.0
DEADLINE_S = 2.0
HOSTS = 6
REGIONS = ("north", "south", "west")
SHAPE = ServiceShape("booking", 10, 3, 330, 100.0, 2_000, 0.1, 4.0)
DEPLOYMENT = Deployment("scenario", REGIONS, HOSTS, (SHAPE,), 0.0, 10)
CAPACITY_PER_S = SHAPE.workers * SHAPE.slots / (SHAPE.service_ms / 1000)
CALLERS_PER_REGION = 40
SAMPLE_S = 0.1
NAIVE_QUEUE_LENGTH = 100_000
FAULT_AT_S = 3.0


class Record:
    """The observations of one run, from callers, samplers and servers' ledgers."""

    def __init__(self) -> None:
        self.hist = HdrHistogram(1, 600_000_000, 3)
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.in_time = 0
        self.refused_ids: set[str] = set()
        self.post_ids: set[str] = set()
        self.busy: list[dict[str, int]] = []
        self.plans: list[tuple[float, dict]] = []
        self.drain_s = 0.0


class Scenario:
    """One scenario, run with one version."""

    def __init__(self, name: str, load: float, *, naive: bool, surge: bool = False):
        self.name = name
        self.load = load
        self.naive = naive
        self.surge = surge
        self.max_tries = 3 if name == "region-loss" else 1
        self.record = Record()
        queue = NAIVE_QUEUE_LENGTH if naive else 1
        self.layout = lay_out(
            DEPLOYMENT, Ports(free_ports()), queue=queue, log_level="ERROR"
        )
        self._declare_queue()
        self._rng = random.Random(f"{name}/{load}")
        self._callers: list[Caller] = []

    def _declare_queue(self) -> None:
        for item in self.layout.resources:
            for server in item["spec"].get("servers", []):
                server["queue"] = 0 if self.naive else 1

    async def run(self) -> dict:
        layout = self.layout
        async with _Processes(layout, self.naive) as procs:
            self._make_callers()
            await self._look_up_hosts()
            sampler = asyncio.create_task(self._sample(procs))
            fault_task = asyncio.create_task(self._inject_fault(procs))
            await self._send_requests()
            await fault_task
            sampler.cancel()
            ledger = await self._ledger(procs)
        for caller in self._callers:
            caller.close()
        return self._figures(ledger)

    def _make_callers(self) -> None:
        entries: dict[str, list[str]] = {}
        for cfg in self.layout.hosts:
            entries.setdefault(cfg.region, []).append(cfg.entry)
        for index, region in enumerate(REGIONS):
            for num in range(CALLERS_PER_REGION):
                seeds = entries[region] if self.naive else sum(entries.values(), [])
                self._callers.append(
                    Caller(
                        seeds,
                        caller_id=f"{region}-{num}",
                        address=f"10.{index + 1}.0.{num + 1}",
                    )
                )

    async def _look_up_hosts(self) -> None:
        for caller in self._callers:
            await caller.lookup("booking")

    def _region_weights(self) -> list[float]:
        """Return the traffic weight of each region, in proportion to its slots."""
        counts = Counter(num % len(REGIONS) for num in range(SHAPE.workers))
        return [float(counts[index]) for index in range(len(REGIONS))]

    async def _send_requests(self) -> None:
        total = int(self.load * CAPACITY_PER_S * SECONDS)
        times = []
        for _ in range(total):
            early = self.surge and self._rng.random() < 0.1
            span = (1.0, 1.5) if early else (0.0, SECONDS)
            times.append(self._rng.uniform(*span))
        weights = self._region_weights()
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for sequence, at in enumerate(sorted(times)):
            await asyncio.sleep(max(0.0, start + at - loop.time()))
            region = self._rng.choices(range(len(REGIONS)), weights)[0]
            index = region * CALLERS_PER_REGION + self._rng.randrange(
                CALLERS_PER_REGION
            )
            post = self._rng.random() < 0.5
            tasks.append(
                loop.create_task(self._call(self._callers[index], sequence, post))
            )
        await asyncio.gather(*tasks)

    async def _call(self, caller: Caller, sequence: int, post: bool) -> None:
        record = self.record
        request_id = f"r{sequence}"
        if post:
            record.post_ids.add(request_id)
        started = time.perf_counter()
        answer = await caller.request(
            "POST" if post else "GET",
            "/booking/x",
            service="booking",
            body=b"x" if post else b"",
            deadline_s=DEADLINE_S,
            request_id=request_id,
            max_tries=self.max_tries,
        )
        elapsed = time.perf_counter() - started
        record.outcomes[answer.outcome] += 1
        if answer.outcome == ANSWERED:
            record.hist.record_value(max(1, int(elapsed * 1e6)))
            record.in_time += elapsed <= DEADLINE_S and answer.status == 200
        else:
            record.reasons[f"{answer.outcome}.{answer.reason}"] += 1
        if answer.outcome == NOT_RUN:
            record.refused_ids.add(request_id)

    async def _sample(self, procs: "_Processes") -> None:
        started = time.perf_counter()
        while True:
            loads = await asyncio.gather(
                *(fetch(cfg.listen, "/-/load") for cfg in self.layout.backends)
            )
            self.record.busy.append(
                {
                    cfg.server_id: load["busy"]
                    for cfg, load in zip(self.layout.backends, loads, strict=True)
                    if load
                }
            )
            if not self.naive:
                status = await fetch(self.layout.hosts[-1].operators, "/status")
                if status:
                    at = time.perf_counter() - started
                    self.record.plans.append((at, status["plans"]["booking"]))
            await asyncio.sleep(SAMPLE_S)

    async def _inject_fault(self, procs: "_Processes") -> None:
        await asyncio.sleep(FAULT_AT_S)
        if self.name == "drain" and not self.naive:
            started = time.perf_counter()
            document = Document("Drain", "d", {"server": "booking-1"})
            await procs.operator.apply(document)
            await procs.operator.wait_drained("d", 30.0)
            self.record.drain_s = time.perf_counter() - started
        elif self.name == "region-loss":
            for cfg in self.layout.hosts:
                if cfg.region == "north":
                    procs.kill(cfg.host_id)
            for server in self._servers("north"):
                procs.kill(server["id"])

    def _servers(self, region: str) -> list[dict]:
        return [
            server
            for item in self.layout.resources
            for server in item["spec"].get("servers", [])
            if server["region"] == region
        ]

    async def _ledger(self, procs: "_Processes") -> list[dict]:
        entries = []
        for cfg in self.layout.backends:
            data = await fetch(cfg.listen, "/control/ledger")
            entries += data["entries"] if data else []
        return entries

    def _figures(self, ledger: list[dict]) -> dict:
        record = self.record
        ran = Counter(item["request_id"] for item in ledger)
        offered = sum(record.outcomes.values())
        achievable = min(offered, CAPACITY_PER_S * SECONDS)
        hist = record.hist
        return {
            "offered": offered,
            "outcomes": dict(record.outcomes),
            "reasons": dict(record.reasons),
            "goodput": record.in_time / achievable,
            "p50_ms": hist.get_value_at_percentile(50) / 1000,
            "p99_ms": hist.get_value_at_percentile(99) / 1000,
            "p999_ms": hist.get_value_at_percentile(99.9) / 1000,
            "doubled": sum(ran[rid] > 1 for rid in record.post_ids),
            "false_not_run": sum(ran[rid] > 0 for rid in record.refused_ids),
            "lowest_headroom": self._headroom(min),
            "mean_headroom": self._headroom(fmean),
            "drain_s": record.drain_s,
            "most_moved_over_cap": self._max_moved_over_cap(),
            "series": {
                "busy": [sum(item.values()) for item in record.busy],
                "plans": [
                    [at, groups["north"].get("north", 0)] for at, groups in record.plans
                ],
            },
        }

    def _headroom(self, aggregate: Callable[[list[float]], float]) -> dict[str, float]:
        """Return each region's free share of its slots, aggregated over all samples."""
        result = {}
        for region in REGIONS:
            ids = [server["id"] for server in self._servers(region)]
            slots = len(ids) * SHAPE.slots
            free = [
                1.0 - sum(sample.get(server_id, 0) for server_id in ids) / slots
                for sample in self.record.busy
            ]
            result[region] = aggregate(free) if free else 0.0
        return result

    def _max_moved_over_cap(self) -> float:
        """Return the most buckets of a group moved in a window, relative to the cap."""
        max_moved = 0
        plans = self.record.plans
        for index, (at, groups) in enumerate(plans):
            for later, after in plans[index:]:
                if later - at > SHAPE.cap_window_s - 2 * SAMPLE_S:
                    break
                for name, counts in groups.items():
                    unmoved = sum(
                        min(count, after[name].get(region, 0))
                        for region, count in counts.items()
                    )
                    max_moved = max(max_moved, 1000 - unmoved)
        return max_moved / (1000 * SHAPE.cap_fraction)


class _Processes(BenchProcesses):
    """Processes of a layout, with naive hosts in place of the product's if `naive`."""

    def __init__(self, layout: Layout, naive: bool) -> None:
        super().__init__(layout)
        self._naive = naive

    async def __aenter__(self) -> "_Processes":
        if not self._naive:
            await super().__aenter__()
            return self
        for cfg in self.layout.backends:
            self.start(cfg.server_id, ["standin", "backend"], cfg)
        for cfg in self.layout.hosts:
            self.start_naive(cfg, self._addresses(cfg.region))
        for cfg in self.layout.hosts:
            async with asyncio.timeout(30):
                while await fetch(cfg.entry, "/v1/lookup") is None:
                    await asyncio.sleep(0.1)
        return self

    def _addresses(self, region: str) -> list[str]:
        return [
            server["address"]
            for item in self.layout.resources
            for server in item["spec"].get("servers", [])
            if server["region"] == region
        ]


async def config_propagation(changes: int = 60) -> dict[str, float]:
    """Return how long changes take to be in force on all 12 hosts, in milliseconds."""
    shape = dataclasses.replace(SHAPE, workers=6)
    deployment = dataclasses.replace(DEPLOYMENT, hosts=12, services=(shape,))
    layout = lay_out(deployment, Ports(free_ports()), log_level="ERROR")
    hist = HdrHistogram(1, 600_000_000, 3)
    async with BenchProcesses(layout) as procs:
        for num in range(changes):
            spec = {"fraction": 0.1, "window_s": 4.0 + num}
            started = time.perf_counter()
            applied = await procs.operator.apply(Document("ShiftCap", "booking", spec))
            waiting = {cfg.operators for cfg in layout.hosts}
            while waiting:
                for address in list(waiting):
                    status = await fetch(address, "/status")
                    if status and status["revision"] >= applied.version:
                        waiting.discard(address)
            hist.record_value(int((time.perf_counter() - started) * 1e6))
        calls = await fetch(layout.platform.listen, "/control/calls")
    return {
        "hosts": 12.0,
        "p50_ms": hist.get_value_at_percentile(50) / 1000,
        "p99_ms": hist.get_value_at_percentile(99) / 1000,
        "platform_calls": float(sum(calls.values())),
    }


CASES = (
    ("steady", 0.8, False),
    ("steady", 1.0, False),
    ("surge", 0.9, True),
    ("steady", 2.0, False),
    ("drain", 0.6, False),
    ("region-loss", 0.5, False),
)


async def measure_scenarios() -> dict:
    """Return the figures of every case and version, and of configuration changes."""
    result = {}
    for name, load, surge in CASES:
        for naive in (False, True):
            scenario = Scenario(name, load, naive=naive, surge=surge)
            key = f"{name} {load:g}x"
            version = "naive" if naive else "lacewingcross"
            figures = await scenario.run()
            result.setdefault(key, {})[version] = figures
            printed = {k: v for k, v in figures.items() if k != "series"}
            print(f"{key} {version} {json.dumps(printed)}", file=sys.stderr)
    result["configuration"] = {"lacewingcross": await config_propagation()}
    return result


if __name__ == "__main__":
    figures = asyncio.run(measure_scenarios())
    RESULT.write_text(json.dumps(figures, indent=1, sort_keys=True) + "\n")
