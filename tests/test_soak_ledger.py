"""The soak's own checks find each violated guarantee and accept the allowed cases."""

import pytest

from bench.soak.accounts import BOUND, QUOTA
from bench.soak.ledger import (
    BAD,
    BAD_TARGET,
    CONFIG_APPLY_S,
    DEADLINE_S,
    DRAIN_S,
    EVACUATION_S,
    LATE_MOST,
    RETRY_EXTRA,
    Ledger,
    Reply,
    Run,
    Sent,
    signature,
)
from bench.soak.schedule import draw
from bench.soak.signals import Reached

SERVER = "s1"


def ledger():
    made = Ledger()
    made.domain_of[SERVER] = "a1"
    made.service_of[SERVER] = "booking"
    return made


def send(made, request_id="q1", *, kind="booking", at=10.0, version=0, host=0):
    sent = Sent(
        request_id, kind, "booking", "/booking/1", b"x", host, 1, at, version=version
    )
    made.sent[request_id] = sent
    return sent


def run(made, request_id="q1", *, at=10.1, body=b"x", target="/booking/1"):
    made.runs[request_id].append(Run(request_id, SERVER, target, body, at))


def reply(
    made, request_id="q1", *, status=200, at=10.2, body=b"y", signed=None, why=""
):
    if signed is None:
        signed = signature(SERVER, request_id, status, body)
    made.replies.append(Reply(request_id, status, signed, body, at, why))


def rules(made):
    return [item.rule for item in made.broken()]


def test_a_served_request_breaks_nothing():
    made = ledger()
    send(made)
    run(made)
    reply(made)
    assert rules(made) == []


@pytest.mark.parametrize("signed", ["", signature(SERVER, "q2", 200, b"y")])
def test_an_answer_that_is_not_the_servers_own_is_found(signed):
    made = ledger()
    send(made)
    run(made)
    reply(made, signed=signed)
    assert rules(made) == ["MIXED"]


def test_a_short_body_is_found():
    made = ledger()
    send(made)
    run(made)
    reply(made, body=b"y", signed=signature(SERVER, "q1", 200, b"yy"))
    assert rules(made) == ["MIXED"]


def test_a_booking_that_runs_twice_is_found_and_a_read_may():
    made = ledger()
    send(made)
    run(made)
    run(made, at=10.3)
    send(made, "q2", kind="read")
    run(made, "q2")
    run(made, "q2", at=10.3)
    assert rules(made) == ["TWICE"]


@pytest.mark.parametrize("ran_at", [10.1, 15.0])
def test_a_refused_booking_that_ran_is_found_also_when_it_runs_later(ran_at):
    made = ledger()
    send(made)
    run(made, at=ran_at)
    reply(made, status=503, signed="")
    assert rules(made) == ["REFUSED"]


@pytest.mark.parametrize("change", [{"body": b"z"}, {"target": "/booking/2"}])
def test_a_changed_request_is_found(change):
    made = ledger()
    send(made)
    run(made, **change)
    assert rules(made) == ["UNASKED"]


def test_work_at_a_server_of_another_service_is_found():
    # A server crashes and a server of another service takes over its address. If a host
    # still sends to the address, the calendar service runs a booking.
    made = ledger()
    made.service_of[SERVER] = "calendar"
    send(made)
    run(made)
    assert rules(made) == ["ROUTE"]


def test_work_for_a_server_that_left_is_found_unless_the_host_was_disturbed():
    made = ledger()
    made.left[SERVER] = 10.0
    late = 10.0 + DRAIN_S + 0.1
    send(made, at=late)
    run(made, at=late)
    assert rules(made) == ["DRAIN"]
    made.hosts[0].add(11.0, 11.5, "host-pause")
    assert rules(made) == []


def test_work_for_an_evacuated_domain_is_found():
    made = ledger()
    made.evacuated["a1"] = [(10.0, 30.0)]
    late = 10.0 + EVACUATION_S + 0.1
    send(made, at=late)
    run(made, at=late)
    send(made, "q2", at=31.0)
    run(made, "q2", at=31.0)
    assert rules(made) == ["EVAC"]


def test_an_old_configuration_is_found_unless_the_store_was_away():
    made = ledger()
    made.accepted = {1: 0.0, 2: 10.0}
    late = 10.0 + CONFIG_APPLY_S + 0.1
    send(made, kind="read", at=late, version=2)
    reply(made, status=404, signed="", at=late)
    send(made, "q2", kind="read", at=late, version=1)
    reply(made, "q2", at=late)
    assert rules(made) == ["CONFIG", "CONFIG"]
    made.core.add(11.0, 12.0, "store-busy")
    assert rules(made) == []


def test_a_host_that_goes_back_to_an_older_version_is_found():
    made = ledger()
    made.accepted = {1: 0.0, 2: 10.0}
    send(made, kind="read", at=10.5, version=2)
    reply(made, at=10.6)
    send(made, "q2", kind="read", at=11.0, version=1)
    reply(made, "q2", at=11.1)
    assert rules(made) == ["REVERT"]


def test_time_bounds_are_not_judged_while_the_soak_itself_is_late():
    made = ledger()
    made.left[SERVER] = 10.0
    late = 10.0 + DRAIN_S + 0.1
    send(made, at=late)
    run(made, at=late)
    made.own_lags.append((12.0, 0.5))
    assert rules(made) == []
    assert made.unjudged == 1


def test_a_request_that_a_planned_stop_cuts_is_found():
    made = ledger()
    send(made)
    run(made)
    reply(made, status=0, signed="", why="cut")
    made.hosts[0].add(9.0, 16.0, "host-term")
    assert rules(made) == ["LOST"]
    made.hosts[0].add(10.0, 10.1, "host-kill")
    assert rules(made) == []


def test_too_many_repeats_are_found():
    made = ledger()
    for number in range(RETRY_EXTRA + 2):
        send(made, f"q{number}", kind="read")
        for at in (10.0, 10.1):
            made.arrivals.append((at, "booking", f"q{number}"))
    assert rules(made) == []
    for number in range(RETRY_EXTRA):
        made.arrivals.append((10.2, "booking", f"q{number}"))
    assert rules(made) == ["BUDGET"]


def test_a_fleet_that_does_not_recover_is_found():
    made = ledger()
    made.calm_from, made.calm_to = 10.0, 20.0
    send(made, kind="read", at=11.0)
    reply(made, status=503, signed="")
    assert rules(made) == ["RECOVER"]


def test_a_seed_gives_the_same_faults_each_time():
    assert draw(7, 15.0, 1.0) == draw(7, 15.0, 1.0)
    assert draw(7, 15.0, 1.0) != draw(8, 15.0, 1.0)
    assert len(draw(7, 15.0, 1.0)) >= 15


@pytest.mark.parametrize(("late", "broken"), [(LATE_MOST, 0), (LATE_MOST + 1, 1)])
def test_a_request_that_goes_on_ending_servers_is_found(late, broken):
    made = Ledger()
    times = [1.0, 2.0, 3.0, 3.5, *(7.0 + number for number in range(late))]
    for number, at in enumerate(times):
        request_id = f"bad-{number}"
        made.sent[request_id] = Sent(
            request_id, BAD, "calendar", BAD_TARGET, b"", 0, 1, at
        )
        made.ends.append((at, request_id))
    found = [item for item in made.broken() if item.rule == "ENDS"]
    assert len(found) == broken
    # The bound does not apply to a host that a fault disturbed.
    made.hosts[0].add(0.0, 100.0, "host-pause")
    assert [item for item in made.broken() if item.rule == "ENDS"] == []


def of_account(made, request_id, account, *, at=10.0, ran_as=None, keyed=False):
    """Record a request of an account, and its run unless `ran_as` is empty."""
    made.sent[request_id] = Sent(
        request_id, "booking", "booking", "/b", b"", 0, 1, at, account=account
    )
    ran_as = account if ran_as is None else ran_as
    if ran_as:
        made.runs[request_id].append(
            Run(request_id, SERVER, "/b", b"", at + 0.1, ran_as, keyed)
        )


def test_a_run_for_another_account_or_with_the_key_is_found():
    made = ledger()
    of_account(made, "q1", "usual")
    assert rules(made) == []
    of_account(made, "q2", "usual", ran_as="flooded")
    of_account(made, "q3", "usual", keyed=True)
    assert rules(made) == ["ACCOUNT", "ACCOUNT"]


def flooded(made, requests, *, over_s):
    for number in range(requests):
        of_account(made, f"f{number}", "flooded", at=10.0 + over_s * number / requests)


def test_more_than_the_quota_within_a_window_is_found():
    max_per_window = int(BOUND.max_per_window(QUOTA))
    made = ledger()
    flooded(made, max_per_window, over_s=4.0)
    assert rules(made) == []
    made = ledger()
    flooded(made, max_per_window + 2, over_s=4.0)
    assert rules(made) == ["QUOTA"]
    made = ledger()
    flooded(made, 2 * max_per_window, over_s=20.0)
    assert rules(made) == []


def keyed_reply(made, status, *, at):
    of_account(made, "q1", "passing", at=at, ran_as="passing" if status == 200 else "")
    reply(made, status=status, at=at + 0.2, signed=None if status == 200 else "")


@pytest.mark.parametrize(("status", "late"), [(200, True), (401, False)])
def test_a_key_is_judged_by_the_versions_that_may_be_in_force(status, late):
    # Version 1 contains the key, and version 2 removes it.
    made = ledger()
    made.accepted = {1: 0.0, 2: 10.0}
    keyed_reply(made, status, at=10.0 + CONFIG_APPLY_S / 2)
    assert rules(made) == []
    made = ledger()
    made.accepted = {1: 0.0, 2: 10.0}
    keyed_reply(made, status, at=10.5 + CONFIG_APPLY_S)
    assert rules(made) == (["KEYS"] if late else [])
    made = ledger()
    made.accepted = {1: 0.0, 2: 10.0}
    keyed_reply(made, status, at=9.0 - DEADLINE_S)
    assert rules(made) == ([] if late else ["KEYS"])


def limited(count, *, hosts=(0, 1)):
    """Return a ledger in which a server with a limit of 2/s got `count` in 4 s."""
    made = ledger()
    asked = made.signals.by_server[SERVER]
    for host in hosts:
        asked.limits.append((10.0, host, 2.0))
    for number in range(count):
        asked.reached.append(
            Reached(14.0 + number * 3.9 / count, hosts[number % len(hosts)])
        )
    return made


def test_more_than_a_servers_limit_from_hosts_that_it_told_is_found():
    assert [item.rule for item in limited(18).broken()] == ["LIMIT"]
    assert limited(17).broken() == []


def test_requests_of_hosts_that_were_cut_or_not_told_do_not_count_to_a_limit():
    made = limited(18)
    made.hosts[0].add(12.0, 13.0, "peer-path-cut")
    assert made.broken() == []
    made = limited(18)
    made.signals.by_server[SERVER].limits.pop()
    assert made.broken() == []


def left(*, sent_at):
    """Return a ledger with a request to a server that announced draining at 10 s."""
    made = ledger()
    asked = made.signals.by_server[SERVER]
    asked.left[0] = 10.0
    asked.reached.append(Reached(sent_at + 0.1, 0, sent_at))
    return made


def test_a_request_long_after_a_servers_own_word_is_found():
    assert [item.rule for item in left(sent_at=10.1 + DRAIN_S).broken()] == ["DRAIN"]
    assert left(sent_at=9.9 + DRAIN_S).broken() == []
    made = left(sent_at=10.1 + DRAIN_S)
    made.hosts[0].add(11.0, 11.5, "host-kill")
    assert made.broken() == []


def rested(count):
    """Return a ledger in which a host sent `count` requests in a back-off of 3 s."""
    made = ledger()
    asked = made.signals.by_server[SERVER]
    asked.rests.append((10.0, 0, 3.0))
    asked.reached += [Reached(10.2, 0), Reached(13.5, 0), Reached(11.5, 1)]
    asked.reached += [Reached(11.0 + number / 10, 0) for number in range(count)]
    asked.reached.sort(key=lambda item: item.at)
    return made


def test_more_than_two_requests_in_a_rest_that_a_server_asked_for_are_found():
    assert [item.rule for item in rested(3).broken()] == ["REST"]
    assert rested(2).broken() == []
    made = rested(3)
    made.hosts[0].add(11.0, 11.5, "host-pause")
    assert made.broken() == []
