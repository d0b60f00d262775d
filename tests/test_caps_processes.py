"""Shift caps while planners crash, freeze or lose an answer, with real processes."""

import asyncio
import signal
from collections import Counter

from lacewingcross.operations import Document

from .processes import Processes, small_layout, until

WINDOW_S = 2.0
FRACTION = 0.1
# Buckets of a group that may move in a window: `FRACTION` of all 1000.
CAP_BUCKETS = 100
SAMPLE_S = 0.1


async def _sample(procs, samples, stop):
    """Record each host's bucket counts, with the start and end time of each reading."""
    loop = asyncio.get_running_loop()
    while not stop.is_set():
        for cfg in procs.layout.hosts:
            read_start = loop.time()
            status = await procs.fetch(cfg.operators, "/status")
            if status and status["plans"]:
                groups = status["plans"]["booking"]
                samples.setdefault(cfg.host_id, []).append(
                    (read_start, loop.time(), groups)
                )
        await asyncio.sleep(SAMPLE_S)


def _moved(before, after):
    gained = Counter(after)
    gained.subtract(Counter(before))
    return sum(count for count in gained.values() if count > 0)


def _max_moved(samples):
    """Return the most buckets of one group that a host moved within one window."""
    max_moved = 0
    for series in samples.values():
        for index, (read_start, _, groups) in enumerate(series):
            for _, read_end, later_groups in series[index + 1 :]:
                # Compare two readings only if both lie within one window, from the
                # start of the first to the end of the second, even if they were slow.
                if read_end - read_start > WINDOW_S:
                    break
                for name, counts in groups.items():
                    max_moved = max(
                        max_moved, _moved(counts, later_groups.get(name, counts))
                    )
    return max_moved


async def _shift(disturb):
    layout = small_layout()
    async with Processes(layout) as procs:
        spec = {"fraction": FRACTION, "window_s": WINDOW_S}
        applied = await procs.operator.apply(Document("ShiftCap", "booking", spec))
        await procs.operator.wait_in_force(applied.version, 20.0)
        policy = next(i["spec"] for i in layout.resources if "groups" in i["spec"])
        groups = [{**g, "weights": {"south": 1.0}} for g in policy["groups"]]
        samples, stop = {}, asyncio.Event()
        sampler = asyncio.create_task(_sample(procs, samples, stop))
        await procs.operator.apply(
            Document("SteeringPolicy", "booking", {**policy, "groups": groups})
        )
        await until(lambda: _progress(samples) > 0)
        await disturb(procs)
        await until(lambda: _progress(samples) >= 300)
        stop.set()
        await sampler
        return samples


def _progress(samples):
    """Return the most buckets of group north that any host has in region south."""
    return max(
        (
            series[-1][2]["north"].get("south", 0)
            for series in samples.values()
            if series
        ),
        default=0,
    )


async def _planner(procs):
    for cfg in procs.layout.hosts:
        status = await procs.fetch(cfg.operators, "/status")
        if status and status["planners"]:
            return status["planners"]["booking"]["owner"]
    raise AssertionError("no planner")


async def _no_disturbance(_procs):
    pass


async def _kill_planner(procs):
    owner = await _planner(procs)
    procs.kill(owner)
    procs.spawn(owner, ["host"], procs.host(owner))


async def _freeze_planner(procs):
    owner = await _planner(procs)
    procs.signal(owner, signal.SIGSTOP)
    await asyncio.sleep(WINDOW_S * 1.5)
    procs.signal(owner, signal.SIGCONT)


async def _lose_plan_answer(procs):
    await procs.faults(lose_answers=1)


def _check(disturb):
    samples = asyncio.run(_shift(disturb))
    max_moved = _max_moved(samples)
    assert 0 < max_moved <= CAP_BUCKETS


def test_operator_shift_stays_under_the_cap():
    """An operator shifts all traffic south under a cap of 10% in any two seconds."""
    _check(_no_disturbance)


def test_cap_holds_when_the_planner_is_killed():
    """The planner crashes in the middle of a shift, and another host takes over.

    Guards against a successor that does not know what was just moved, and moves the
    capped fraction a second time within the window, onto servers with cold caches.
    """
    _check(_kill_planner)


def test_cap_holds_when_the_planner_freezes_and_wakes():
    """The planner is paused past the window and still considers itself the planner.

    Guards against a step by the old planner in addition to the steps of its successor.
    """
    _check(_freeze_planner)


def test_cap_holds_when_a_plan_write_loses_its_answer():
    """The platform stores a plan, and the answer to the write is lost.

    Guards against a planner that repeats the step within the same window.
    """
    _check(_lose_plan_answer)
