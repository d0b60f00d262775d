"""Retry budgets of a fleet: what all hosts together may send, and what they do send."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.soak.retries import RETRY_EXTRA, RETRY_WINDOW_S
from lacewingcross.core.retry_budgets import RetryAllowance, RetryBudgets

from .retry_fleet import ALLOWANCE, SERVICE, RetryFleet

# A pause in seconds, and the share of the hosts that restart after it.
RESTARTS = st.lists(
    st.tuples(st.sampled_from([0.2, 1.0, 3.0]), st.sampled_from([0.0, 0.3, 1.0])),
    max_size=8,
)
SIZES = [1, 3, 9, 18, 87, 195]


@given(
    hosts=st.sampled_from(SIZES),
    rate=st.sampled_from([1.5, 6.0, 60.0]),
    reached=st.sampled_from([0.1, 1.0]),
    calm_s=st.sampled_from([0.0, 3.0, 12.0]),
    restarts=RESTARTS,
    seed=st.integers(0, 1 << 32),
)
def test_no_series_of_restarts_exceeds_the_shared_allowance(
    hosts, rate, reached, calm_s, restarts, seed
):
    fleet = RetryFleet(hosts, random.Random(seed))
    fleet.serve(rate, calm_s, failing=False, reached=reached)
    for pause_s, share in restarts:
        fleet.serve(rate, pause_s, failing=True, reached=reached)
        fleet.restart(share)
    fleet.serve(rate, 11.0, failing=True, reached=reached)
    assert fleet.worst_window().excess() <= 0, fleet.worst_window()


@pytest.mark.parametrize(("hosts", "most"), [(9, 0.8), (87, 0.5), (195, 0.5)])
def test_most_of_the_allowance_is_used_when_all_requests_fail(hosts, most):
    # Guards against shares below one retry that no host can ever use.
    fleet = RetryFleet(hosts, random.Random(hosts))
    fleet.serve(60.0, 12.0, failing=False)
    fleet.serve(60.0, 12.0, failing=True)
    assert fleet.worst_window().excess() <= 0
    busiest = max(fleet.windows(), key=lambda window: window.repeats)
    assert busiest.repeats >= most * busiest.allowed


def budgets_of(hosts, *, begin_full=False):
    budgets = RetryBudgets(ALLOWANCE, random.Random(1))
    budgets.begin_full = begin_full
    budgets.set_host_share(1.0 / hosts, hosts, 0.0)
    return budgets


def spend_all(budget):
    spent = 0
    while budget.available():
        budget.spend()
        spent += 1
    return spent


def test_only_the_first_start_of_a_deployment_begins_with_retries():
    assert spend_all(budgets_of(3).of(SERVICE, 0.0)) == 0
    assert spend_all(budgets_of(3, begin_full=True).of(SERVICE, 0.0)) > 0


def test_a_host_that_does_not_know_its_share_has_none():
    # Guards against a start in which each host takes itself for the only one.
    budgets = RetryBudgets(ALLOWANCE, random.Random(1))
    budgets.begin_full = True
    budgets.of(SERVICE, 0.0)
    assert spend_all(budgets.of(SERVICE, 5.0)) == 0


def test_a_host_that_was_on_standby_begins_without_retries():
    # Guards against active hosts whose replacements bring the same retries again.
    budgets = budgets_of(3, begin_full=True)
    budgets.set_host_share(0.0, 3, 1.0)
    budgets.set_host_share(1 / 3, 3, 2.0)
    assert spend_all(budgets.of(SERVICE, 3.0)) == 0


def test_what_is_saved_shrinks_when_more_hosts_become_known():
    # Guards against a start of all hosts before they know each other.
    budgets = budgets_of(1, begin_full=True)
    budget = budgets.of(SERVICE, 0.0)
    budgets.set_host_share(1.0 / 12, 12, 0.0)
    assert spend_all(budget) <= RETRY_EXTRA / 12


def test_time_earns_retries_where_few_requests_arrive():
    budgets = budgets_of(1)
    budgets.of(SERVICE, 0.0)
    assert spend_all(budgets.of(SERVICE, RETRY_WINDOW_S)) >= RETRY_EXTRA / 4


def test_a_changed_allowance_gives_no_retries_back():
    budgets = budgets_of(1, begin_full=True)
    spend_all(budgets.of(SERVICE, 0.0))
    budgets.set_allowance(RetryAllowance(0.1, 32.0, RETRY_WINDOW_S), 0.0)
    budget = budgets.of(SERVICE, 0.0)
    assert spend_all(budget) == 0
    for _ in range(11):
        budget.earn()
    assert spend_all(budget) == 1
