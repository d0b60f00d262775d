"""Servers that announce in a response that they are shutting down."""

from lacewingcross.core.departures import MAX_DEPARTURES_KEPT, Departures
from lacewingcross.core.send_gate import SendGate
from lacewingcross.gateway.gossip_sender import signal_messages

SERVER = ("i-1", 0)


def test_a_server_that_has_said_so_once_gets_nothing_more():
    gate = SendGate("h0")
    assert gate.may_send(SERVER, 0.0, urgent=True)
    assert gate.departures.observe(SERVER)
    assert not gate.departures.observe(SERVER)
    assert not gate.may_send(SERVER, 1000.0, urgent=True)
    assert gate.wait_s(SERVER, 1000.0) == float("inf")


def test_another_run_of_the_server_is_another_one():
    gate = SendGate("h0")
    gate.departures.observe(SERVER)
    assert gate.may_send(("i-1", 5), 1.0, urgent=False)


def test_a_word_that_another_host_told_counts_and_is_not_passed_on():
    departures = Departures()
    assert departures.learn_from_peer(SERVER)
    assert departures.leaves(SERVER)
    assert list(departures.own_observations()) == []
    assert not departures.observe(SERVER)
    assert list(departures.own_observations()) == [SERVER]
    assert not departures.learn_from_peer(SERVER)
    assert list(departures.own_observations()) == [SERVER]


def test_words_are_bounded_the_oldest_go_first():
    departures = Departures()
    for number in range(MAX_DEPARTURES_KEPT + 1):
        departures.observe((f"i-{number}", 0))
    assert not departures.leaves(("i-0", 0))
    assert departures.leaves((f"i-{MAX_DEPARTURES_KEPT}", 0))


def test_other_hosts_are_told_of_servers_that_are_still_there():
    gate = SendGate("h0")
    gate.departures.observe(SERVER)
    gate.departures.observe(("gone", 0))
    (message,) = signal_messages(gate, {"i-1"}, 0.0)
    assert message.servers == [SERVER]
