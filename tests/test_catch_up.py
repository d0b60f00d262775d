"""When a host asks another host for contents of the store that it is missing."""

from lacewingcross.core.catch_up import MIN_ASK_INTERVAL_S, MISSED_PUSH_AFTER_S, CatchUp
from lacewingcross.core.replica import Kind
from lacewingcross.core.store_position import START, StorePosition


def at(revision):
    return StorePosition(1, revision) if revision else START


def test_a_host_that_starts_asks_one_of_its_peers():
    # A host starts in a fleet of 195. If it asked each peer for everything, it would
    # receive as many copies of all servers as there are hosts.
    catch_up = CatchUp()
    asked = [catch_up.should_ask(Kind.SERVER, at(0), at(7), 1.0) for _ in range(10)]
    assert asked == [True] + [False] * 9
    assert catch_up.should_ask(Kind.CONFIG, at(0), at(7), 1.0)
    assert catch_up.should_ask(Kind.SERVER, at(0), at(7), 1.0 + MIN_ASK_INTERVAL_S)


def test_a_push_that_has_not_arrived_yet_is_waited_for():
    catch_up = CatchUp()
    assert not catch_up.should_ask(Kind.SERVER, at(5), at(7), 1.0)
    assert not catch_up.should_ask(Kind.SERVER, at(7), at(7), 1.1)
    assert not catch_up.should_ask(Kind.SERVER, at(7), at(9), 1.0 + MISSED_PUSH_AFTER_S)


def test_a_push_that_was_lost_is_asked_for():
    # The store is unavailable, and the stream that carried the last push broke. No host
    # pushes again; without a request the host would keep the old configuration.
    catch_up = CatchUp()
    assert not catch_up.should_ask(Kind.CONFIG, at(5), at(7), 1.0)
    assert not catch_up.should_ask(Kind.CONFIG, at(5), at(7), 1.2)
    assert catch_up.should_ask(Kind.CONFIG, at(5), at(7), 1.0 + MISSED_PUSH_AFTER_S)
