"""How much callers ask in each region, as hosts measure and tell it."""

import pytest

from lacewingcross.core.demand import AVERAGE_S, Demand


def asked(demand, per_s, seconds, start=0.0):
    """Count requests at a steady pace, with a tick each tenth of a second."""
    for step in range(round(seconds * 10)):
        for _ in range(round(per_s / 10)):
            demand.asked()
        demand.tick(start + (step + 1) / 10)
    return demand


def test_nothing_is_known_before_anybody_asks():
    demand = Demand("a")
    assert demand.part() == 0.0
    demand.tick(1.0)
    assert demand.part() == 0.0


def test_the_rate_follows_what_callers_ask():
    demand = asked(Demand("a"), 100, 5 * AVERAGE_S)
    assert demand.rate == pytest.approx(100, rel=0.02)


def test_single_seconds_move_the_rate_little():
    demand = asked(Demand("a"), 100, 5 * AVERAGE_S)
    asked(demand, 0, 0.5, start=5 * AVERAGE_S)
    assert demand.rate > 85


def test_the_part_of_a_region_counts_all_its_hosts():
    demand = asked(Demand("a"), 100, 5 * AVERAGE_S)
    demand.told("host-1", "a", 100.0)
    demand.told("host-2", "b", 300.0)
    assert demand.part() == pytest.approx(0.4, rel=0.02)


def test_a_silent_host_asks_nothing():
    demand = asked(Demand("a"), 100, 5 * AVERAGE_S)
    demand.told("host-2", "b", 300.0)
    demand.told("host-2", "b", 0.0)
    assert demand.part() == 1.0
