"""The soak's own checks find each violated guarantee and accept the allowed cases."""

import pytest

from bench.soak.accounts import BOUND, QUOTA
from bench.soak.configuration import CONFIG_APPLY_S
from bench.soak.ledger import (
    CRASHING,
    CRASHING_TARGET,
    DEADLINE_S,
    DRAIN_S,
    EVACUATION_S,
    MAX_LATE_CRASHES,
    Ledger,
    Reply,
    Run,
    Sent,
    signature,
)
from bench.soak.popular import (
    CLEARED_S,
    POPULAR,
    POPULAR_TARGET,
    QUARANTINE_CRASHES,
)
from bench.soak.retries import (
    RETRY_EXTRA,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    worst_window,
)
from bench.soak.schedule import draw_faults
from bench.soak.signals import Arrival

SERVER = "s1"


def ledger():
    observed = Ledger()
    observed.domain_of[SERVER] = "a1"
    observed.service_of[SERVER] = "booking"
    return observed


def add_sent(observed, request_id="q1", *, kind="booking", at=10.0, version=0, host=0):
    sent = Sent(
        request_id, kind, "booking", "/booking/1", b"x", host, 1, at, version=version
    )
    observed.sent[request_id] = sent
    return sent


def add_run(observed, request_id="q1", *, at=10.1, body=b"x", target="/booking/1"):
    observed.runs[request_id].append(Run(request_id, SERVER, target, body, at))


def add_reply(
    observed,
    request_id="q1",
    *,
    status=200,
    at=10.2,
    body=b"y",
    response_signature=None,
    failure="",
):
    if response_signature is None:
        response_signature = signature(SERVER, request_id, status, body)
    observed.replies.append(
        Reply(request_id, status, response_signature, body, at, failure)
    )


def violated_rules(observed):
    return [item.rule for item in observed.violations()]


def test_a_served_request_breaks_nothing():
    observed = ledger()
    add_sent(observed)
    add_run(observed)
    add_reply(observed)
    assert violated_rules(observed) == []


@pytest.mark.parametrize("signed", ["", signature(SERVER, "q2", 200, b"y")])
def test_an_answer_that_is_not_the_servers_own_is_found(signed):
    observed = ledger()
    add_sent(observed)
    add_run(observed)
    add_reply(observed, response_signature=signed)
    assert violated_rules(observed) == ["MIXED"]


def test_a_short_body_is_found():
    observed = ledger()
    add_sent(observed)
    add_run(observed)
    add_reply(
        observed, body=b"y", response_signature=signature(SERVER, "q1", 200, b"yy")
    )
    assert violated_rules(observed) == ["MIXED"]


def test_a_booking_that_runs_twice_is_found_and_a_read_may():
    observed = ledger()
    add_sent(observed)
    add_run(observed)
    add_run(observed, at=10.3)
    add_sent(observed, "q2", kind="read")
    add_run(observed, "q2")
    add_run(observed, "q2", at=10.3)
    assert violated_rules(observed) == ["TWICE"]


@pytest.mark.parametrize("ran_at", [10.1, 15.0])
def test_a_refused_booking_that_ran_is_found_also_when_it_runs_later(ran_at):
    observed = ledger()
    add_sent(observed)
    add_run(observed, at=ran_at)
    add_reply(observed, status=503, response_signature="")
    assert violated_rules(observed) == ["REFUSED"]


@pytest.mark.parametrize("change", [{"body": b"z"}, {"target": "/booking/2"}])
def test_a_changed_request_is_found(change):
    observed = ledger()
    add_sent(observed)
    add_run(observed, **change)
    assert violated_rules(observed) == ["UNASKED"]


def test_work_at_a_server_of_another_service_is_found():
    # A server crashes and a server of another service takes over its address. If a host
    # still sends to the address, the calendar service runs a booking.
    observed = ledger()
    observed.service_of[SERVER] = "calendar"
    add_sent(observed)
    add_run(observed)
    assert violated_rules(observed) == ["ROUTE"]


def test_work_for_a_server_that_left_is_found_unless_the_host_was_disturbed():
    observed = ledger()
    observed.left_at[SERVER] = 10.0
    late = 10.0 + DRAIN_S + 0.1
    add_sent(observed, at=late)
    add_run(observed, at=late)
    assert violated_rules(observed) == ["DRAIN"]
    observed.host_disturbances[0].add(11.0, 11.5, "host-pause")
    assert violated_rules(observed) == []


def test_work_for_an_evacuated_domain_is_found():
    observed = ledger()
    observed.evacuated["a1"] = [(10.0, 30.0)]
    late = 10.0 + EVACUATION_S + 0.1
    add_sent(observed, at=late)
    add_run(observed, at=late)
    add_sent(observed, "q2", at=31.0)
    add_run(observed, "q2", at=31.0)
    assert violated_rules(observed) == ["EVAC"]


def test_an_old_configuration_is_found_unless_the_store_was_away():
    observed = ledger()
    observed.accepted = {1: 0.0, 2: 10.0}
    late = 10.0 + CONFIG_APPLY_S + 0.1
    add_sent(observed, kind="read", at=late, version=2)
    add_reply(observed, status=404, response_signature="", at=late)
    add_sent(observed, "q2", kind="read", at=late, version=1)
    add_reply(observed, "q2", at=late)
    assert violated_rules(observed) == ["CONFIG", "CONFIG"]
    observed.store_disturbances.add(11.0, 12.0, "store-busy")
    assert violated_rules(observed) == []


def test_a_host_that_goes_back_to_an_older_version_is_found():
    observed = ledger()
    observed.accepted = {1: 0.0, 2: 10.0}
    add_sent(observed, kind="read", at=10.5, version=2)
    add_reply(observed, at=10.6)
    add_sent(observed, "q2", kind="read", at=11.0, version=1)
    add_reply(observed, "q2", at=11.1)
    assert violated_rules(observed) == ["REVERT"]


def test_time_bounds_are_not_judged_while_the_soak_itself_is_late():
    observed = ledger()
    observed.left_at[SERVER] = 10.0
    late = 10.0 + DRAIN_S + 0.1
    add_sent(observed, at=late)
    add_run(observed, at=late)
    observed.loop_lags.append((12.0, 0.5))
    assert violated_rules(observed) == []
    assert observed.unjudged == 1


@pytest.mark.parametrize(("lag_s", "broken"), [(0.1, ["HELD"]), (1.4, [])])
def test_a_caller_without_an_answer_is_found_unless_the_soak_is_late(lag_s, broken):
    # Seed 1019 beside a test run: the soak's own loop, with the proxies of the callers,
    # stood still for 1.4 s, and requests reached all hosts 1.5 s late.
    observed = ledger()
    add_sent(observed)
    add_reply(observed, status=0, at=13.0, response_signature="", failure="held")
    observed.loop_lags.append((12.0, lag_s))
    assert violated_rules(observed) == broken


def test_a_request_that_a_planned_stop_cuts_is_found():
    observed = ledger()
    add_sent(observed)
    add_run(observed)
    add_reply(observed, status=0, response_signature="", failure="cut")
    observed.host_disturbances[0].add(9.0, 16.0, "host-term")
    assert violated_rules(observed) == ["LOST"]
    observed.host_disturbances[0].add(10.0, 10.1, "host-kill")
    assert violated_rules(observed) == []


def test_a_stop_may_cut_what_was_sent_early_and_lasts_to_its_end():
    for sent_at, cut_at, broken in [
        (12.0, 14.1, []),
        (12.0, 13.9, ["LOST"]),
        (12.1, 14.1, ["LOST"]),
    ]:
        observed = ledger()
        add_sent(observed, at=sent_at)
        add_run(observed, at=sent_at + 0.1)
        add_reply(observed, status=0, at=cut_at, response_signature="", failure="cut")
        observed.host_disturbances[0].add(9.0, 16.0, "host-term")
        assert violated_rules(observed) == broken


def test_connections_that_undisturbed_hosts_close_are_found():
    observed = ledger()
    for number in range(4):
        name = f"q{number}"
        assert violated_rules(observed) == []
        add_sent(observed, name, kind="read")
        add_reply(observed, name, status=0, response_signature="", failure="cut")
    assert violated_rules(observed) == ["LOST"]
    observed.host_disturbances[0].add(9.0, 16.0, "host-kill")
    assert violated_rules(observed) == []


def test_connections_to_hosts_that_are_starting_may_be_closed():
    observed = ledger()
    for number in range(4):
        name = f"q{number}"
        add_sent(observed, name, kind="read", at=2.6)
        add_reply(
            observed, name, status=0, at=2.7, response_signature="", failure="cut"
        )
    assert violated_rules(observed) == []


def test_too_many_repeats_are_found():
    observed = ledger()
    for index in range(RETRY_EXTRA + 2):
        add_sent(observed, f"q{index}", kind="read")
        for at in (10.0, 10.1):
            observed.arrivals.append((at, "booking", f"q{index}"))
    assert violated_rules(observed) == []
    for index in range(RETRY_EXTRA):
        observed.arrivals.append((10.2, "booking", f"q{index}"))
    assert violated_rules(observed) == ["BUDGET"]


def test_requests_of_one_window_only_allow_repeats():
    # Guards against a check that counts the requests of one and a half windows.
    requests = [index / 20 for index in range(20 * 15)]
    allowed = int(RETRY_RATIO * 20 * RETRY_WINDOW_S + RETRY_EXTRA)
    repeats = [14.0] * (allowed + 1)
    window = worst_window(requests, repeats)
    assert window.excess() > 0
    assert worst_window(requests, repeats[2:]).excess() <= 0


def test_requests_of_the_window_before_allow_repeats():
    requests = [5.0] * 100
    repeats = [14.9] * int(RETRY_RATIO * 100 + RETRY_EXTRA)
    assert worst_window(requests, repeats).excess() <= 0
    later = [at + RETRY_WINDOW_S for at in repeats]
    assert worst_window(requests, later).excess() > 0


def test_a_fleet_that_does_not_recover_is_found():
    observed = ledger()
    observed.calm_from, observed.calm_to = 10.0, 20.0
    add_sent(observed, kind="read", at=11.0)
    add_reply(observed, status=503, response_signature="")
    assert violated_rules(observed) == ["RECOVER"]


def test_a_seed_gives_the_same_faults_each_time():
    assert draw_faults(7, 15.0, 1.0) == draw_faults(7, 15.0, 1.0)
    assert draw_faults(7, 15.0, 1.0) != draw_faults(8, 15.0, 1.0)
    assert len(draw_faults(7, 15.0, 1.0)) >= 15


@pytest.mark.parametrize(
    ("late", "broken"), [(MAX_LATE_CRASHES, 0), (MAX_LATE_CRASHES + 1, 1)]
)
def test_a_request_that_goes_on_ending_servers_is_found(late, broken):
    observed = Ledger()
    times = [1.0, 2.0, 3.0, 3.5, *(7.0 + index for index in range(late))]
    for index, at in enumerate(times):
        request_id = f"bad-{index}"
        observed.sent[request_id] = Sent(
            request_id, CRASHING, "calendar", CRASHING_TARGET, b"", 0, 1, at
        )
        observed.crashes.append((at, request_id))
    found = [item for item in observed.violations() if item.rule == "ENDS"]
    assert len(found) == broken
    # The bound does not apply to a host that a fault disturbed.
    observed.host_disturbances[0].add(0.0, 100.0, "host-pause")
    assert [item for item in observed.violations() if item.rule == "ENDS"] == []


def add_account_request(
    observed, request_id, account, *, at=10.0, ran_as=None, has_credentials=False
):
    """Record a request of an account, and its run unless `ran_as` is empty."""
    observed.sent[request_id] = Sent(
        request_id, "booking", "booking", "/b", b"", 0, 1, at, account=account
    )
    ran_as = account if ran_as is None else ran_as
    if ran_as:
        observed.runs[request_id].append(
            Run(request_id, SERVER, "/b", b"", at + 0.1, ran_as, has_credentials)
        )


def test_a_run_for_another_account_or_with_the_key_is_found():
    observed = ledger()
    add_account_request(observed, "q1", "usual")
    assert violated_rules(observed) == []
    add_account_request(observed, "q2", "usual", ran_as="flooded")
    add_account_request(observed, "q3", "usual", has_credentials=True)
    assert violated_rules(observed) == ["ACCOUNT", "ACCOUNT"]


def add_flood(observed, requests, *, over_s):
    for index in range(requests):
        add_account_request(
            observed, f"f{index}", "flooded", at=10.0 + over_s * index / requests
        )


def test_more_than_the_quota_within_a_window_is_found():
    max_per_window = int(BOUND.max_per_window(QUOTA))
    observed = ledger()
    add_flood(observed, max_per_window, over_s=4.0)
    assert violated_rules(observed) == []
    observed = ledger()
    add_flood(observed, max_per_window + 2, over_s=4.0)
    assert violated_rules(observed) == ["QUOTA"]
    observed = ledger()
    add_flood(observed, 2 * max_per_window, over_s=20.0)
    assert violated_rules(observed) == []


def keyed_reply(observed, status, *, at):
    add_account_request(
        observed, "q1", "passing", at=at, ran_as="passing" if status == 200 else ""
    )
    add_reply(
        observed,
        status=status,
        at=at + 0.2,
        response_signature=None if status == 200 else "",
    )


@pytest.mark.parametrize(("status", "late"), [(200, True), (401, False)])
def test_a_key_is_judged_by_the_versions_that_may_be_in_force(status, late):
    # Version 1 contains the key, and version 2 removes it.
    observed = ledger()
    observed.accepted = {1: 0.0, 2: 10.0}
    keyed_reply(observed, status, at=10.0 + CONFIG_APPLY_S / 2)
    assert violated_rules(observed) == []
    observed = ledger()
    observed.accepted = {1: 0.0, 2: 10.0}
    keyed_reply(observed, status, at=10.5 + CONFIG_APPLY_S)
    assert violated_rules(observed) == (["KEYS"] if late else [])
    observed = ledger()
    observed.accepted = {1: 0.0, 2: 10.0}
    keyed_reply(observed, status, at=9.0 - DEADLINE_S)
    assert violated_rules(observed) == ([] if late else ["KEYS"])


def ledger_with_limit(count, *, hosts=(0, 1)):
    """Return a ledger in which a server with a limit of 2/s got `count` in 4 s."""
    observed = ledger()
    signals = observed.signals.by_server[SERVER]
    for host in hosts:
        signals.limits.append((10.0, host, 2.0))
    for index in range(count):
        signals.arrivals.append(
            Arrival(14.0 + index * 3.9 / count, hosts[index % len(hosts)])
        )
    return observed


def test_more_than_a_servers_limit_from_hosts_that_it_told_is_found():
    assert [item.rule for item in ledger_with_limit(18).violations()] == ["LIMIT"]
    assert ledger_with_limit(17).violations() == []


def test_requests_of_hosts_that_were_cut_or_not_told_do_not_count_to_a_limit():
    observed = ledger_with_limit(18)
    observed.host_disturbances[0].add(12.0, 13.0, "peer-path-cut")
    assert observed.violations() == []
    observed = ledger_with_limit(18)
    observed.signals.by_server[SERVER].limits.pop()
    assert observed.violations() == []


def ledger_with_leaving_server(*, sent_at):
    """Return a ledger with a request to a server that announced draining at 10 s."""
    observed = ledger()
    signals = observed.signals.by_server[SERVER]
    signals.announced_at[0] = 10.0
    signals.arrivals.append(Arrival(sent_at + 0.1, 0, sent_at))
    return observed


def test_a_request_long_after_a_servers_own_word_is_found():
    assert [
        item.rule
        for item in ledger_with_leaving_server(sent_at=10.1 + DRAIN_S).violations()
    ] == ["DRAIN"]
    assert ledger_with_leaving_server(sent_at=9.9 + DRAIN_S).violations() == []
    observed = ledger_with_leaving_server(sent_at=10.1 + DRAIN_S)
    observed.host_disturbances[0].add(11.0, 11.5, "host-kill")
    assert observed.violations() == []


def ledger_with_back_off(count):
    """Return a ledger in which a host sent `count` requests in a back-off of 3 s."""
    observed = ledger()
    signals = observed.signals.by_server[SERVER]
    signals.back_offs.append((10.0, 0, 3.0))
    signals.arrivals += [Arrival(10.2, 0), Arrival(13.5, 0), Arrival(11.5, 1)]
    signals.arrivals += [Arrival(11.0 + index / 10, 0) for index in range(count)]
    signals.arrivals.sort(key=lambda item: item.at)
    return observed


def test_more_than_two_requests_in_a_rest_that_a_server_asked_for_are_found():
    assert [item.rule for item in ledger_with_back_off(3).violations()] == ["REST"]
    assert ledger_with_back_off(2).violations() == []
    observed = ledger_with_back_off(3)
    observed.host_disturbances[0].add(11.0, 11.5, "host-pause")
    assert observed.violations() == []


def popular_after_answer(*, sent_at, ends=()):
    """Return the rules broken by a refusal of the popular request, answered at 10 s.

    It was running at a server at each of the times in `ends`, when that server ended.
    """
    observed = ledger()
    for index, at in enumerate(ends):
        server_id = f"e{index}"
        observed.server_ends.append((at, server_id))
        observed.domain_of[server_id] = "a1"
        observed.service_of[server_id] = "calendar"
        request_id = f"cut-{index}"
        add_popular(observed, request_id, at - 0.2)
        run = Run(request_id, server_id, POPULAR_TARGET, b"", at - 0.1)
        observed.runs[request_id].append(run)
    add_popular(observed, "q1", 9.8)
    add_reply(observed, "q1", at=10.0)
    add_popular(observed, "q2", sent_at)
    body = b'{"error": "quarantined"}'
    add_reply(observed, "q2", status=503, at=sent_at, body=body, response_signature="")
    return [item.rule for item in observed.violations()]


def add_popular(observed, request_id, at):
    observed.sent[request_id] = Sent(
        request_id, POPULAR, "calendar", POPULAR_TARGET, b"", 0, 1, at
    )


def test_a_popular_request_that_stays_refused_after_an_answer_is_found():
    late = 10.0 + CLEARED_S + 0.1
    assert popular_after_answer(sent_at=late) == ["CLEARED"]
    few = [11.0] * (QUARANTINE_CRASHES - 1)
    assert popular_after_answer(sent_at=late, ends=few) == ["CLEARED"]
    before = [9.0] * QUARANTINE_CRASHES
    assert popular_after_answer(sent_at=late, ends=before) == ["CLEARED"]


def test_a_popular_request_may_be_refused_soon_after_an_answer_or_after_crashes():
    assert popular_after_answer(sent_at=10.0 + CLEARED_S) == []
    crashes = [11.0] * QUARANTINE_CRASHES
    assert popular_after_answer(sent_at=20.0, ends=crashes) == []
