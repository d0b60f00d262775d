"""News of servers that ended: told to whoever does not have it from elsewhere."""

from lacewingcross.core.crash_gossip import (
    MAX_ITEMS_KEPT,
    CrashGossip,
    GossipItem,
    should_pass_on,
)
from lacewingcross.core.crashes import CrashLedger, ServerCrash

ACTIVE = {"a1", "a2"}


def news_of(ledger, *numbers):
    made = CrashGossip(ledger)
    for number in numbers:
        server = (f"i-{number}", 0)
        ledger.record_crash(ServerCrash(server, frozenset(("r",))), 0.0)
        made.crashed(server)
    return made


def test_news_is_told_once_and_all_of_it_to_a_new_stream():
    made = news_of(CrashLedger(), 1, 2)
    assert [piece.crashed[0] for piece in made.since(None)] == ["i-1", "i-2"]
    told = made.newest
    made.answered("r")
    assert [piece.answered for piece in made.since(told)] == ["r"]
    assert list(made.since(made.newest)) == []


def test_what_is_forgotten_is_not_told():
    ledger = CrashLedger()
    made = news_of(ledger, 1)
    ledger.review(1e6)
    assert list(made.since(None)) == []


def test_a_new_stream_is_not_told_of_ends_that_count_against_nobody():
    # Hundreds of servers may have ended; a host that joins would get all of it from
    # each active host over a slow link.
    ledger = CrashLedger()
    made = news_of(ledger, 1, 2)
    told = made.newest
    ledger.record_crash(ServerCrash(("i-3", 0)), 0.0)
    made.crashed(("i-3", 0))
    ledger.answered("r")
    made.answered("r")
    assert list(made.since(None)) == []
    assert [piece.crashed for piece in made.since(told)] == [("i-3", 0), None]


def test_the_log_is_bounded():
    ledger = CrashLedger()
    made = news_of(ledger, 1)
    for _ in range(3 * MAX_ITEMS_KEPT):
        made.answered("r")
    assert len(list(made.since(1))) == MAX_ITEMS_KEPT


def test_among_active_hosts_nobody_passes_on_what_another_one_said():
    heard = GossipItem(1, "a1", crashed=("i-1", 0))
    assert not should_pass_on(heard, "a2", ACTIVE, fresh=False)
    assert should_pass_on(heard, "s1", ACTIVE, fresh=False)
    # A new stream gets everything, and nobody what it has told itself.
    assert should_pass_on(heard, "a2", ACTIVE, fresh=True)
    assert not should_pass_on(heard, "a1", ACTIVE, fresh=True)
    # What a standby host saw reaches the other active ones by its relays only.
    assert should_pass_on(GossipItem(1, "s1"), "a2", ACTIVE, fresh=False)
    assert should_pass_on(GossipItem(1, ""), "a2", ACTIVE, fresh=False)
