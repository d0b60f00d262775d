"""Backend servers and permits of a slot keeper: slow start, ejection, limits."""

import random

from lacewingcross.core import messages as msg
from lacewingcross.core.keeper import LEASE_S, RECOVERY_S, SlotKeeper
from lacewingcross.core.resources import BackendServer
from lacewingcross.core.servers import ServerTable


def declared(count, slots=4):
    return [
        BackendServer(f"s{num}", f"127.0.0.1:{num + 1}", "r", "d", slots, 400)
        for num in range(count)
    ]


def table(count=4):
    servers = ServerTable()
    servers.declare(iter(declared(count)), set(), 0.0)
    return servers


def test_new_server_ramps_up_and_the_first_servers_are_warm():
    """A server joins under load with cold caches.

    Guards against giving the server a full share of the pool's load before its caches
    fill, which would overload it. The number of its usable slots grows over `RAMP_S`.
    """
    servers = table(1)
    servers.declare(iter(declared(2)), set(), 100.0)
    old, new = servers.states["s0"], servers.states["s1"]
    assert old.capacity(100.0) == 4
    assert [new.capacity(100.0 + t) for t in (0.0, 2.6, 5.0)] == [1, 2, 4]


def test_server_that_returns_from_a_drain_ramps_up():
    servers = table(1)
    servers.declare(iter(declared(1)), {"s0"}, 50.0)
    assert servers.pick(50.0, frozenset()) is None
    servers.declare(iter(declared(1)), set(), 60.0)
    assert servers.states["s0"].capacity(60.0) == 1


def test_three_failures_eject_and_one_answer_ends_the_probing():
    servers = table()
    ejected = [servers.record_result("s0", "failed", 10.0) for _ in range(3)]
    assert ejected == [False, False, True]
    assert not servers.states["s0"].usable(10.5)
    state = servers.states["s0"]
    assert state.usable(11.5)
    assert state.capacity(11.5) == 1
    servers.record_result("s0", "answered", 12.0)
    assert state.capacity(20.0) == 4


def test_at_most_half_of_the_pool_is_ejected_for_failed_requests():
    """Every server responds with errors because the requests are at fault.

    Guards against ejecting all servers, after which every request would be refused. At
    most half of the pool is ejected for failed responses.
    """
    servers = table(4)
    for num in range(4):
        for _ in range(5):
            servers.record_result(f"s{num}", "failed", 10.0)
    assert sum(state.usable(10.1) for state in servers.states.values()) == 2


def test_servers_that_accept_no_connection_may_all_be_excluded():
    servers = table(2)
    for num in range(2):
        servers.record_result(f"s{num}", "unreachable", 10.0)
    assert servers.total_capacity(10.1) == 0
    servers.record_reachable("s0", 11.0)
    assert servers.total_capacity(11.0) == 1


def keeper_with(limit, count=2):
    keeper = SlotKeeper("s", "r", 1, random.Random(1))
    keeper.servers.declare(iter(declared(count)), set(), 0.0)
    keeper.limit = float(limit)
    return keeper


def ask(keeper, name, now, host="h", remaining=2.0):
    message = msg.Acquire("s", "r", name, remaining, [])
    return [reply.message for reply in keeper.acquire(host, message, now)]


def test_declared_region_limit_binds_below_the_slots():
    """Operators limit a region to three requests at a time, below its slots."""
    keeper = keeper_with(3)
    replies = [ask(keeper, f"r{num}", 1.0) for num in range(5)]
    assert [len(reply) for reply in replies] == [1, 1, 1, 0, 0]
    (release,) = keeper.release(
        msg.Release("s", "r", replies[0][0].permit, "s0", "answered", 0.1), 1.2
    )
    assert release.message.request_id == "r3"


def test_new_keeper_grants_no_slot_that_may_be_in_use():
    """A keeper crashes; its successor starts while the old permits are in use.

    Guards against filling slots twice, after which the backend servers would shed
    requests. The successor grants nothing until the hosts have reported their permits.
    """
    keeper = keeper_with(8)
    queries = list(keeper.start(["h1", "h2"], 10.0))
    assert [reply.host_id for reply in queries] == ["h1", "h2"]
    assert ask(keeper, "r1", 10.01) == []
    held = [("s0", 91), ("s0", 92), ("s0", 93), ("s0", 94)]
    assert list(keeper.on_held("h1", msg.HeldReport("s", "r", 1, held), 10.02)) == []
    (grant,) = keeper.on_held("h2", msg.HeldReport("s", "r", 1, []), 10.03)
    assert grant.message.server_id == "s1"


def test_silent_host_delays_a_new_keeper_until_the_recovery_timeout():
    keeper = keeper_with(8)
    list(keeper.start(["h1"], 10.0))
    assert ask(keeper, "r1", 10.1) == []
    assert [r.message.request_id for r in keeper.tick(10.0 + RECOVERY_S)] == ["r1"]


def test_report_for_an_earlier_term_is_ignored():
    keeper = keeper_with(8)
    list(keeper.start(["h1"], 10.0))
    list(keeper.on_held("h1", msg.HeldReport("s", "r", 7, []), 10.1))
    assert keeper.recovering(10.2)


def test_lapsed_permit_frees_its_slot_and_a_renewal_takes_it_again():
    """A host is paused past the end of its lease and wakes; its request still runs."""
    keeper = keeper_with(1, count=1)
    (grant,) = ask(keeper, "r1", 1.0)
    list(keeper.tick(1.0 + LEASE_S))
    assert not keeper.permits
    keeper.renew("h", [("s0", grant.permit)], 7.0)
    assert ask(keeper, "r2", 7.1) == []


def test_lost_grant_is_replaced_when_the_host_asks_again():
    """A grant is lost with its connection; the host asks again for the request."""
    keeper = keeper_with(1, count=1)
    (lost,) = ask(keeper, "r1", 1.0)
    (again,) = ask(keeper, "r1", 3.0)
    assert again.permit != lost.permit
    assert len(keeper.permits) == 1


def test_refusals_are_immediate_and_their_retry_times_are_jittered():
    """With a full queue, every refused caller gets another time to retry after."""
    keeper = keeper_with(1, count=1)
    keeper.service_times.add(0.5)
    waits = []
    for num in range(60):
        for message in ask(keeper, f"r{num}", 1.0, remaining=1.0):
            if isinstance(message, msg.Denied):
                assert message.reason == "queue-full"
                waits.append(message.retry_after_s)
    assert len(waits) > 50
    assert len(set(waits)) == len(waits)
    assert min(waits) >= 0.25


def test_repeated_acquire_keeps_its_place_in_the_queue():
    """A host asks again for a request that has been queued for two seconds.

    Guards against moving the requests that have waited longest to the back of a long
    queue, where they would wait again and be refused in the end. The keeper ignores the
    message, since the request is in the queue already.
    """
    keeper = keeper_with(1, count=1)
    (grant,) = ask(keeper, "r0", 1.0, remaining=9.0)
    for name in ("r1", "r2", "r3"):
        assert ask(keeper, name, 1.1, remaining=9.0) == []
    assert ask(keeper, "r1", 3.2, remaining=6.9) == []
    assert [item.request_id for item in keeper.queue] == ["r1", "r2", "r3"]
    done = msg.Release("s", "r", grant.permit, "s0", "answered", 0.1)
    (reply,) = keeper.release(done, 3.3)
    assert reply.message.request_id == "r1"
