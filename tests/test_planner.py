"""Decisions of the planner: headroom, stale load reports, drains, lost regions."""

from lacewingcross.core import messages as msg
from lacewingcross.core.plan import BUCKETS, Move, Plan, fresh_table
from lacewingcross.core.planner import Planner, PlannerInput
from lacewingcross.core.resources import (
    BackendPool,
    BackendServer,
    ClientGroup,
    ShiftCap,
    SteeringPolicy,
)

REGIONS = ("a", "b", "c")
CAP = ShiftCap("s", 0.1, 10.0)


def pool(limits=None):
    servers = tuple(
        BackendServer(f"s-{reg}", "127.0.0.1:1", reg, f"{reg}-1", 100, 400)
        for reg in REGIONS
    )
    return BackendPool("s", servers, limits or {})


def given(weights, *, drained=(), lost=(), cap=CAP, limits=None):
    policy = SteeringPolicy("s", (ClientGroup("g", (), weights),))
    return PlannerInput(policy, pool(limits), cap, frozenset(drained), frozenset(lost))


def load(region, in_flight, queued=0, limit=100.0):
    return msg.RegionLoad("s", region, in_flight, queued, limit, 10.0)


def planner_with(loads, at):
    planner = Planner("s", "p.1")
    for item in loads:
        planner.on_load(item, at)
    return planner


def all_at(region):
    return Plan("s", {"g": fresh_table({region: BUCKETS})})


def test_stale_reports_hold_a_policy_change_and_move_nothing():
    """Load reports stop arriving and an operator moves traffic to another region.

    Guards against moving traffic to a region that is full and would refuse it. Without
    fresh reports nothing moves, and the planner gives the reason.
    """
    planner = planner_with([load(reg, 10) for reg in REGIONS], 0.0)
    assert planner.step(all_at("a"), given({"b": 1.0}), 100.0) is None
    assert planner.hold_reason == "stale"
    planner.on_load(load("b", 10), 100.0)
    step = planner.step(all_at("a"), given({"b": 1.0}), 100.0)
    assert step.plan.counts("g") == {"a": 900, "b": 100}


def test_full_receiver_gets_no_buckets():
    loads = [load("a", 50), load("b", 95), load("c", 10)]
    planner = planner_with(loads, 10.0)
    assert planner.step(all_at("a"), given({"b": 1.0}), 10.0) is None


def test_step_is_limited_to_the_room_of_the_receiver():
    """The receiver has room for 30 of its 100 slots; the cap would let 80 move."""
    cap = ShiftCap("s", 1.0, 10.0)
    loads = [load("a", 80), load("b", 55, limit=100.0)]
    planner = planner_with(loads, 10.0)
    step = planner.step(all_at("a"), given({"b": 1.0}, cap=cap), 10.0)
    moved = step.plan.counts("g")["b"]
    demand_moved = moved * 80 / BUCKETS
    assert 0 < demand_moved <= 0.85 * 100 - 55


def test_next_step_waits_for_reports_from_after_the_last_one():
    """The receiver's load reports do not show the last step yet.

    Guards against further steps into a region, which would fill up unnoticed. The
    planner takes no further step until it has later reports.
    """
    cap = ShiftCap("s", 0.5, 1.0)
    planner = planner_with([load(reg, 10) for reg in REGIONS], 10.0)
    step = planner.step(all_at("a"), given({"b": 1.0}, cap=cap), 10.0)
    planner.on_plan(step.plan, 10.2)
    assert planner.step(step.plan, given({"b": 1.0}, cap=cap), 12.5) is None
    planner.on_load(load("b", 20), 12.6)
    planner.on_load(load("a", 5), 12.6)
    assert planner.step(step.plan, given({"b": 1.0}, cap=cap), 12.7) is not None


def test_hot_region_is_relieved_in_small_steps_to_the_coolest_region():
    loads = [load("a", 100, queued=50), load("b", 60), load("c", 10)]
    planner = planner_with(loads, 10.0)
    step = planner.step(all_at("a"), given({"a": 1.0}), 10.0)
    counts = step.plan.counts("g")
    assert step.cause == "headroom"
    assert counts["c"] == 20
    assert counts["b"] == 0


def test_hot_region_keeps_its_buckets_when_no_region_has_headroom():
    loads = [load("a", 100, queued=50), load("b", 90), load("c", 95)]
    planner = planner_with(loads, 10.0)
    assert planner.step(all_at("a"), given({"a": 1.0}), 10.0) is None
    assert planner.hold_reason == "no-headroom"


def test_drained_region_empties_at_the_cap_and_gets_no_buckets_back():
    planner = planner_with([load(reg, 10) for reg in REGIONS], 10.0)
    start = all_at("a")
    wanted = given({"a": 1.0}, drained=["a"])
    step = planner.step(start, wanted, 10.0)
    assert step.cause == "drain"
    assert step.plan.counts("g")["a"] == 900


def test_region_is_lost_only_by_fresh_reports_without_usable_servers():
    """Missing reports from a region do not prove that it is lost."""
    planner = planner_with([load("a", 0, limit=0.0)], 10.0)
    assert planner.lost(10.0) == frozenset()
    planner.on_load(load("a", 0, limit=0.0), 12.5)
    assert planner.lost(12.5) == {"a"}
    assert planner.lost(60.0) == frozenset()


def test_new_planner_counts_the_moves_it_finds_for_a_full_window():
    """Another host takes over; the ledger holds what was moved, but not when.

    Guards against moving twice within one window as much as the cap allows. The new
    planner counts each move as made when it first saw the move.
    """
    moved = Plan("s", {"g": all_at("a").tables["g"]}, (Move("old.1", {"g": 100}),))
    successor = planner_with([], 0.0)
    successor.on_plan(moved, 50.0)
    for at in (51.0, 59.9):
        for reg in REGIONS:
            successor.on_load(load(reg, 10), at)
        assert successor.step(moved, given({"b": 1.0}), at) is None
    for reg in REGIONS:
        successor.on_load(load(reg, 10), 60.5)
    assert successor.step(moved, given({"b": 1.0}), 60.5) is not None


def test_lowered_cap_counts_moves_made_under_the_previous_cap():
    planner = planner_with([load(reg, 10) for reg in REGIONS], 10.0)
    step = planner.step(all_at("a"), given({"b": 1.0}), 10.0)
    planner.on_plan(step.plan, 10.0)
    for reg in REGIONS:
        planner.on_load(load(reg, 10), 12.0)
    lower = ShiftCap("s", 0.05, 10.0)
    assert planner.step(step.plan, given({"b": 1.0}, cap=lower), 12.0) is None


def test_one_full_reading_moves_nothing_but_lasting_load_does():
    """A small pool is full for a moment, repeatedly, under ordinary load.

    Guards against moving traffic to cold caches and back without need. A region is hot
    by its mean demand, which a single reading changes little.
    """
    planner = planner_with([load(reg, 40) for reg in REGIONS], 10.0)
    planner.on_load(load("a", 100, queued=20), 10.5)
    assert planner.step(all_at("a"), given({"a": 1.0}), 10.6) is None
    at = 10.5
    while (step := planner.step(all_at("a"), given({"a": 1.0}), at)) is None:
        at += 0.5
        assert at < 20.0
        for reg in REGIONS:
            planner.on_load(load(reg, 100 if reg == "a" else 40, queued=0), at)
        planner.on_load(load("a", 100, queued=20), at)
    assert step.cause == "headroom"
