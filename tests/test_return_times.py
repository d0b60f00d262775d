"""When refused callers may come back: the schedule, placements and quotas."""

import asyncio
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.quota_fleet import STEP_S, QuotaFleet, poisson
from lacewingcross.core.overload.caller_times import UNKNOWN_TIMES, CallerTimes
from lacewingcross.core.overload.return_times import (
    HORIZON_S,
    INTERVAL_S,
    MAX_SHARE,
    ReturnTimes,
)
from lacewingcross.core.overload.service_load import ServiceLoad
from lacewingcross.core.policy import Policy
from lacewingcross.core.quotas.bound import Quota, QuotaBound
from lacewingcross.core.quotas.keeper import Receipt
from lacewingcross.core.quotas.ledger import Outcome, QuotaLedger
from lacewingcross.gateway.gauges import measure_host

from .gateway_parts import answer, ask, fleet, header, in_loop
from .load_player import Kind, LoadPlayer

FULL = ServiceLoad(120, 100, 0)
HALF_FREE = ServiceLoad(50, 100, 50)
ANSWER_S = 0.15


def returns_at(rate, seed=1, until=10.0):
    """Return times of a host that has completed `rate` requests per second."""
    returns = ReturnTimes(random.Random(seed))
    for index in range(int(rate * until)):
        returns.completed("s", index / rate)
    return returns


def delay_s(returns, caller, load=FULL, now=10.0):
    return returns.delay_s("s", caller, ANSWER_S, load, now)


def test_late_callers_return_late_in_their_time_and_early_ones_soon():
    # A late caller that returns at once takes a slot from requests that can be in time.
    late = delay_s(returns_at(200), CallerTimes(0.4, 0.5, 2.4), HALF_FREE)
    assert 0.55 <= late <= 0.8
    soon = delay_s(returns_at(200), CallerTimes(0.4, 0.0, 3.0), HALF_FREE)
    assert soon <= 0.4 - ANSWER_S
    # Without free slots, the shortage outlasts the target.
    assert delay_s(returns_at(200), CallerTimes(0.4, 0.0, 3.0), FULL) > 0.6


def test_more_urgent_callers_return_earlier():
    def mean(rank):
        returns = returns_at(400)
        delays = [delay_s(returns, CallerTimes(0.4, 0.5, 3.0, rank)) for _ in range(60)]
        return sum(delays) / len(delays)

    assert mean(0) < mean(3) - 0.03


def test_callers_with_unknown_times_and_new_hosts_get_no_return_time():
    assert delay_s(returns_at(200), UNKNOWN_TIMES) is None
    assert delay_s(ReturnTimes(random.Random(1)), CallerTimes(0.4, 0.0, 3.0)) is None


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 0.05),
            st.floats(0.05, 2.0),
            st.floats(0.0, 5.0),
            st.floats(0.0, 60.0),
            st.integers(0, 5),
            st.sampled_from([FULL, HALF_FREE, ServiceLoad(0, 0, 0)]),
        ),
        max_size=150,
    ),
    st.floats(1.5, 400.0),
)
def test_any_history_keeps_to_the_callers_time_and_to_the_rate(refusals, rate):
    # Guards against delays that callers do not honour, more promises in an interval
    # than a part of the completions, and a schedule that grows or outlives a surge.
    returns = returns_at(rate)
    now = 10.0
    most = max(1, MAX_SHARE * INTERVAL_S * rate * 1.1)
    for step_s, *times, load in refusals:
        now += step_s
        caller = CallerTimes(*times)
        delay = delay_s(returns, caller, load, now)
        assert delay is None or 0.0 <= delay <= caller.left_s / 3 + 1e-9
        counts = returns._schedules["s"].counts
        assert len(counts) <= HORIZON_S / INTERVAL_S + 1
        assert max(counts.values(), default=0) <= most
    assert returns.pending(now + HORIZON_S + INTERVAL_S) == {}


def test_services_without_requests_are_forgotten():
    returns = returns_at(200)
    assert returns.pending(10.0) == {}
    assert len(returns._schedules) == 1
    returns.pending(60.0)
    assert not returns._schedules


SERVERS = {"l": (33, 18, 6), "h": (7, 4, 1), "b": (27, 15, 5)}
CALLERS = [
    ("status", 588.0, 0.54, 0.415, 294, 3.1),
    ("order", 247.0, 0.71, 0.615, 123, 4.1),
    ("confirm", 165.0, 0.37, 0.307, 82, 2.07),
]
SURGE = range(8, 11)


def play_surge(*, return_times, seed=1):
    """Play a surge of three seconds on servers of uneven pace.

    Return what callers got, and by how many the return times that are pending two
    seconds after the surge exceed the refusals since it has left the schedule.
    """
    servers = {
        f"{name}@{region}": counts[index]
        for region, counts in SERVERS.items()
        for index, (name, *_) in enumerate(CALLERS)
    }
    kinds = [
        Kind(name, name, 1.27 * per_s, service_s, target_s, objects, rank=0,
             time_limit_s=limit_s, retries=3)
        for name, per_s, service_s, target_s, objects, limit_s in CALLERS
    ]  # fmt: skip
    # Admission under shortage and the steady shares of regions refuse requests beyond
    # the surge, which would hide what the return times alone do.
    policy = Policy(
        return_times=return_times, in_time_first=False, steady_regions=False
    )
    hosts = dict.fromkeys(SERVERS, 1)
    player = LoadPlayer(
        servers, hosts, seed=seed, slots=4, keeps=27, policy=policy, tail=(0.03, 7.0)
    )
    models = list(player.models.values())

    def change_pace():
        for model in models:
            model.slow = 1.0
        for model in player.rng.sample(models, 15 * len(models) // 100):
            model.slow = 2.5
        player.at(player.now + 0.6, change_pace)

    pending = []
    refusals = []

    def look():
        for _, host in player.hosts:
            pending.extend(host.returns.pending(player.now).values())

    def count_refusals():
        refusals.append(player.out.reasons.total())

    player.at(0.0, change_pace)
    looked_at = SURGE.stop + 2.0
    player.at(looked_at - HORIZON_S, count_refusals)
    player.at(looked_at, count_refusals)
    player.at(looked_at, look)
    out = player.play(kinds, 15, lambda _, now: 1.7 if int(now) in SURGE else 1.0)
    return out, sum(pending) - (refusals[1] - refusals[0])


def total(counter, since=8, until=11):
    return sum(n for (_, second), n in counter.items() if since <= second < until)


def test_a_surge_ends_with_fewer_tries_and_refusals_and_leaves_no_schedule():
    # Callers that retry after one service time were refused several times each and took
    # the slots of requests that could still be in time.
    tries, ended, in_time = Counter(), Counter(), Counter()
    for seed in (1, 3):
        for on in (False, True):
            out, left_over = play_surge(return_times=on, seed=seed)
            tries[on] += total(out.tries) - total(out.asked)
            ended[on] += total(out.refused)
            in_time[on] += total(out.in_target) / total(out.asked) / 2
            # Servers of uneven pace refuse some requests without a surge, too.
            assert left_over <= 0
    assert tries[True] < 0.75 * tries[False]
    assert ended[True] < 0.5 * ended[False]
    assert in_time[True] > in_time[False] + 0.01


ACCOUNTS = {"surging": Quota(160.0, 160.0), "other": Quota(16.0, 16.0)}
TARGET_S = 0.4
TIME_LIMIT_S = 3.1
SERVED_S = 0.2


class Callers:
    """Callers of a fleet that retry after the delay they are told, three times."""

    def __init__(self, fleet, *, return_times):
        self.fleet = fleet
        self.return_times = return_times
        self.retries = []
        self.in_time = 0

    def step(self, rates):
        for account, rate in rates.items():
            for _ in range(poisson(self.fleet.rng, rate * STEP_S)):
                self.ask(account, self.fleet.now, 1)
        now = self.fleet.now
        due = [retry for retry in self.retries if retry[0] <= now]
        self.retries = [retry for retry in self.retries if retry[0] > now]
        for _, account, first_at, tries in due:
            self.ask(account, first_at, tries)

    def ask(self, account, first_at, tries):
        fleet = self.fleet
        elapsed_s = fleet.now - first_at
        caller = CallerTimes(TARGET_S, elapsed_s, TIME_LIMIT_S - elapsed_s)

        def ended(delay_s):
            if delay_s is None:
                self.in_time += fleet.now - first_at + SERVED_S <= TARGET_S
                return
            left_s = TIME_LIMIT_S - (fleet.now - first_at)
            if tries > 3:
                return
            at = fleet.now + min(delay_s, left_s / 3)
            self.retries.append((at, account, first_at, tries + 1))

        known = caller if self.return_times else UNKNOWN_TIMES
        host = fleet.rng.choice(sorted(fleet.nodes))
        fleet.request(host, account, known, ended)


def play_quota(*, return_times, cut=False):
    """Play a surge of one account, to six times its usual rate for six seconds."""
    fleet = QuotaFleet(9, ACCOUNTS)
    fleet.play(8.0)
    callers = Callers(fleet, return_times=return_times)
    usual = {name: quota.rate / 1.6 for name, quota in ACCOUNTS.items()}
    fleet.play(6.0, lambda _: callers.step(usual))
    if cut:
        names = sorted(fleet.nodes)
        fleet.split(names[:4], names[4:])
    surge = {**usual, "surging": 6 * usual["surging"]}
    fleet.play(6.0, lambda _: callers.step(surge))
    fleet.cut.clear()
    fleet.play(6.0, lambda _: callers.step(usual))
    return fleet, callers


def test_more_of_what_a_quota_admits_is_in_time():
    # Callers that were refused took the credit that first tries needed, so a quota was
    # spent on answers that came late.
    shares = {}
    for on in (False, True):
        fleet, callers = play_quota(return_times=on)
        shares[on] = callers.in_time / sum(map(len, fleet.runs.values()))
        assert fleet.refused["other"] == 0
        assert fleet.excess() <= 0
    assert shares[True] > shares[False] + 0.15


def test_the_bound_holds_in_a_partition_while_refused_callers_return():
    fleet, _ = play_quota(return_times=True, cut=True)
    assert fleet.excess() <= 0


def ledger_with(debt, max_debt_hosts=1):
    """Return the ledger of a host with some debt; its limit of debt is 15."""
    ledger = QuotaLedger(QuotaBound(), random.Random(1))
    ledger.configure({"a": Quota(10.0, 10.0)})
    ledger.set_keeper("a", "keeper")
    ledger.debt_host_count = max_debt_hosts
    for _ in range(debt):
        assert ledger.ask("a", 0.0).outcome is Outcome.ADMITTED
    return ledger


LATE = CallerTimes(0.4, 0.5, 2.6)
LAST_TRY = CallerTimes(0.4, 2.0, 1.1)
FIRST_TRY = CallerTimes(0.4, 0.0, 3.1)


def test_late_requests_leave_credit_to_first_tries_until_their_last_try():
    low, high = ledger_with(3), ledger_with(9)
    assert low.ask("a", 0.0, LATE).outcome is Outcome.ADMITTED
    refused = high.ask("a", 0.0, LATE)
    assert refused.outcome is Outcome.REFUSED
    assert 0.7 * 2.6 / 3 <= refused.retry_after_s <= 2.6 / 3
    assert high.ask("a", 0.0, LAST_TRY).outcome is Outcome.ADMITTED
    assert high.ask("a", 0.0, FIRST_TRY).outcome is Outcome.ADMITTED


def test_late_requests_yield_while_others_wait_or_payments_are_delayed():
    ledger = ledger_with(0, max_debt_hosts=1000)
    assert ledger.ask("a", 0.0, FIRST_TRY).outcome is Outcome.WAITING
    assert ledger.ask("a", 0.0, LATE).outcome is Outcome.REFUSED
    ledger = ledger_with(1)
    ledger.take_receipt("keeper", Receipt("a", 0, 0, 0.3), 0.0)
    assert ledger.ask("a", 0.0, LATE).outcome is Outcome.REFUSED


def test_a_request_waits_for_half_of_its_target():
    # A request that waits longer for credit has no time left to be answered in.
    ledger = ledger_with(0, max_debt_hosts=1000)
    assert ledger.ask("a", 0.0, FIRST_TRY).max_wait_s == pytest.approx(0.2)
    ledger.take_receipt("keeper", Receipt("a", 0, 0, 0.14), 0.0)
    assert ledger.ask("a", 0.0, FIRST_TRY).outcome is Outcome.REFUSED
    assert ledger.ask("a", 0.0).outcome is Outcome.WAITING
    assert ledger.decide_waiting("a", 0.0).refused == 0


def test_a_request_with_a_short_target_waits_for_an_answer_of_its_keeper():
    # The keeper may be in the farthest region; its receipt needs 70 ms from there.
    short = CallerTimes(0.1, 0.0, 1.0)
    ledger = ledger_with(0, max_debt_hosts=1000)
    assert ledger.ask("a", 0.0, short).max_wait_s == pytest.approx(0.1)


def test_a_request_that_gives_up_leaves_the_waits_of_the_others_alone():
    # Guards against a request with a short wait that ends the wait of an older one,
    # which was then refused although its credit was to come in time.
    short = CallerTimes(0.1, 0.0, 1.0)
    ledger = ledger_with(0, max_debt_hosts=1000)
    assert ledger.ask("a", 0.0).max_wait_s == pytest.approx(0.25)
    assert ledger.ask("a", 0.0, short).max_wait_s == pytest.approx(0.1)
    ledger.give_up("a", 1)
    ledger.take_receipt("keeper", Receipt("a", 1, 0, 0.2), 0.0)
    assert ledger.decide_waiting("a", 0.0).refused == 0
    assert ledger.waiting("a") == 1


async def answers_slowly(received, writer):
    await asyncio.sleep(0.6 if "slow" in received.target else 0.0)
    writer.write(answer(received.request_id))


@in_loop
async def test_a_refused_caller_gets_a_time_that_it_honours_and_metrics_count_it():
    # Guards against a schedule that no request reaches, and against the schedule's long
    # delays for callers that state no deadline.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_slowly, slots=1)
        app = await env.ready(await env.add_host())
        for index in range(10):
            assert (await ask(app, "/safe/a", f"r{index}")).status == 200
        asked = (ask(app, "/safe/slow", f"s{index}") for index in range(12))
        refused = [r for r in await asyncio.gather(*asked) if r.status == 503]
        delays = [float(header(r, "retry-after")) for r in refused]
        assert delays
        assert all(0.7 * 1.9 / 3 <= delay <= 2.0 / 3 for delay in delays)
        measure_host(app.gateway, app.gateway.now())
        counters = app.gateway.metrics.counters
        assert counters.total() and any(n.startswith("returns.") for n in counters)
