"""Reports of crashed servers: sent to each host that gets them from no other host."""

from lacewingcross.core.crash_gossip import (
    MAX_ITEMS_KEPT,
    CrashGossip,
    GossipItem,
    should_pass_on,
)
from lacewingcross.core.crashes import CrashLedger, ServerCrash

ACTIVE = {"a1", "a2"}


def gossip_of(ledger, *indexes):
    gossip = CrashGossip(ledger)
    for index in indexes:
        server = (f"i-{index}", 0)
        ledger.record_crash(ServerCrash(server, frozenset(("r",))), 0.0)
        gossip.crashed(server)
    return gossip


def test_reports_are_sent_once_and_all_of_them_on_a_new_stream():
    gossip = gossip_of(CrashLedger(), 1, 2)
    assert [item.crashed[0] for item in gossip.since(None)] == ["i-1", "i-2"]
    sent_up_to = gossip.newest
    gossip.answered("r")
    assert [item.answered for item in gossip.since(sent_up_to)] == ["r"]
    assert list(gossip.since(gossip.newest)) == []


def test_forgotten_crashes_are_not_sent():
    ledger = CrashLedger()
    gossip = gossip_of(ledger, 1)
    ledger.review(1e6)
    assert list(gossip.since(None)) == []


def test_crashes_that_count_against_no_request_are_not_sent_on_a_new_stream():
    # Hundreds of servers may have crashed; a host that joins would receive all these
    # reports from each active host over a slow link.
    ledger = CrashLedger()
    gossip = gossip_of(ledger, 1, 2)
    sent_up_to = gossip.newest
    ledger.record_crash(ServerCrash(("i-3", 0)), 0.0)
    gossip.crashed(("i-3", 0))
    ledger.answered("r")
    gossip.answered("r")
    assert list(gossip.since(None)) == []
    assert [item.crashed for item in gossip.since(sent_up_to)] == [("i-3", 0), None]


def test_the_log_is_bounded():
    ledger = CrashLedger()
    gossip = gossip_of(ledger, 1)
    for _ in range(3 * MAX_ITEMS_KEPT):
        gossip.answered("r")
    assert len(list(gossip.since(1))) == MAX_ITEMS_KEPT


def test_active_hosts_do_not_forward_reports_of_active_hosts():
    received = GossipItem(1, "a1", crashed=("i-1", 0))
    assert not should_pass_on(received, "a2", ACTIVE, fresh=False)
    assert should_pass_on(received, "s1", ACTIVE, fresh=False)
    # A new stream receives everything, but no host receives its own reports.
    assert should_pass_on(received, "a2", ACTIVE, fresh=True)
    assert not should_pass_on(received, "a1", ACTIVE, fresh=True)
    # Reports of a standby host reach the other active hosts through its relays only.
    assert should_pass_on(GossipItem(1, "s1"), "a2", ACTIVE, fresh=False)
    assert should_pass_on(GossipItem(1, ""), "a2", ACTIVE, fresh=False)
