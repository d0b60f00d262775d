"""The share served in other regions: follows the load, never jumps."""

import random

from lacewingcross.core.shift import ShareGuard

CALM = False


def play(wanted_at, seconds=40.0, per_s=90.0, seed=1, free=CALM):
    """Return the share served elsewhere in each second of a load."""
    rng = random.Random(seed)
    guard = ShareGuard()
    away_in = {}
    for number in range(int(seconds * per_s)):
        now = number / per_s
        wants = rng.random() < wanted_at(now)
        guard.wants(away=wants, now=now, free=free)
        away = wants
        if wants and guard.too_many_away():
            away = False
        elif not wants and guard.too_few_away() and rng.random() < guard.allowed:
            away = True
        guard.served(away=away)
        away_in.setdefault(int(now), []).append(away)
    return [sum(items) / len(items) for _, items in sorted(away_in.items())]


def worst_jump(shares):
    spans = [(a + b) / 2 for a, b in zip(shares, shares[1:], strict=False)]
    return max(abs(a - b) for a, b in zip(spans, spans[2:], strict=False))


def test_a_wave_that_leaves_does_not_pull_its_region_home_at_once():
    # Two thirds of a region's callers move away within a second. Its servers have room
    # again, and half of its requests would come home in two seconds, to servers that
    # have not seen their objects: more than the operators' cap on any shift.
    shares = play(lambda now: 0.6 if now < 10 else 0.05)
    assert worst_jump(shares) <= 0.15
    assert shares[-1] < 0.12


def test_a_wave_that_arrives_does_not_push_its_region_away_at_once():
    shares = play(lambda now: 0.0 if now < 10 else 0.6)
    assert worst_jump(shares) <= 0.15
    assert shares[-1] > 0.5


def test_a_steady_share_is_left_alone():
    shares = play(lambda now: 0.3)
    assert 0.25 < sum(shares[5:]) / len(shares[5:]) < 0.35


def test_a_burst_that_ends_while_servers_are_lost_does_not_pull_its_region_home():
    # Servers come back cold from a loss, a burst sends three quarters of the region's
    # requests elsewhere and ends. One server still counts as lost, so the share was
    # free, and a quarter of the requests came home within two seconds.
    shares = play(lambda now: 0.75 if now < 10 else 0.4, free=True)
    assert worst_jump(shares[3:]) <= 0.15


def test_while_servers_are_lost_callers_come_first():
    guard = ShareGuard()
    for number in range(500):
        guard.wants(away=False, now=number / 100, free=False)
        guard.served(away=False)
    for number in range(100):
        guard.wants(away=True, now=5 + number / 100, free=True)
        assert not guard.too_many_away()
        guard.served(away=True)
