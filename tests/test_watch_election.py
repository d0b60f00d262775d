"""Which host watches the store, and when another host takes over."""

from lacewingcross.core.replica import Kind
from lacewingcross.core.watch_election import (
    MAX_SILENCE_TIMEOUT_S,
    QUARANTINE_WATCH_S,
    SILENCE_TIMEOUT_S,
    STORE_UNREACHABLE_S,
    WatchElection,
    silence_timeout_s,
    watch_wait_s,
)

# Time within which an operator's change has to be in force on all hosts, in seconds.
IN_FORCE_S = 2.5


def test_the_host_of_rank_0_watches_the_store_and_the_others_wait():
    election = WatchElection()
    election.note_peer_update(Kind.CONFIG, 10.0)
    assert election.should_watch(Kind.CONFIG, 0, 10.5)
    assert not election.should_watch(Kind.CONFIG, 1, 10.0 + SILENCE_TIMEOUT_S)


def test_a_host_without_updates_of_one_kind_watches_that_kind():
    # One watch of the watching host stops responding: updates of servers still arrive,
    # updates of the configuration do not.
    election = WatchElection()
    election.note_peer_update(Kind.CONFIG, 10.0)
    election.note_peer_update(Kind.SERVER, 12.0)
    assert election.should_watch(Kind.CONFIG, 1, 12.0)
    assert not election.should_watch(Kind.SERVER, 1, 12.0)


def test_hosts_take_over_one_after_the_other():
    # The watching host loses power. If all other hosts began to watch the store at the
    # same time, each outage of one host would cost one call per host.
    assert [silence_timeout_s(rank) for rank in (1, 2, 3)] == [1.5, 1.6, 1.7]


def test_a_partitioned_host_watches_the_store_in_time():
    # The last update came just before an operator's change, then the host was
    # partitioned. The host has to read the change from the store before the time limit
    # for changes is over.
    election = WatchElection()
    election.note_peer_update(Kind.CONFIG, 10.0)
    for rank in (1, 5, 4500):
        assert election.should_watch(
            Kind.CONFIG, rank, 10.0 + MAX_SILENCE_TIMEOUT_S + 0.01
        )
    assert MAX_SILENCE_TIMEOUT_S + 0.3 < IN_FORCE_S


def test_a_host_that_has_taken_over_continues_until_another_sends_an_update():
    # The host of rank 0 sends nothing during the whole outage. If the silence counted
    # from its own reading, the host that took over would pause after each watch and see
    # changes two seconds late.
    election = WatchElection()
    election.note_peer_update(Kind.CONFIG, 10.0)
    election.succeeded()
    assert election.should_watch(Kind.CONFIG, 1, 12.0)
    assert election.should_watch(Kind.CONFIG, 1, 13.0)
    election.note_peer_update(Kind.CONFIG, 13.1)
    assert not election.should_watch(Kind.CONFIG, 1, 13.2)


def test_a_host_that_cannot_serve_yet_reads_the_store_soon():
    # All hosts lose power, and the host of rank 0 restarts last. With the usual
    # timeout, the other hosts would refuse callers for another 1.5 s.
    election = WatchElection(10.0)
    assert not election.should_watch(Kind.CONFIG, 5, 10.0, empty=True)
    assert election.should_watch(Kind.CONFIG, 5, 10.1, empty=True)
    assert not election.should_watch(Kind.CONFIG, 5, 10.1)
    assert not election.should_watch(Kind.CONFIG, None, 20.0, empty=True)


def test_a_first_start_reads_the_store_once():
    # Hundreds of hosts start for the first time, and callers come seconds later.
    # Each call to the store costs money, so the host of rank 0 reads it for all others.
    election = WatchElection(10.0, first_start=True)
    assert election.should_watch(Kind.CONFIG, 0, 10.0, empty=True)
    assert not any(
        election.should_watch(Kind.CONFIG, n, 10.3, empty=True) for n in (1, 2, 99)
    )
    assert all(
        election.should_watch(Kind.CONFIG, n, 11.0, empty=True) for n in (1, 2, 99)
    )


def test_the_store_counts_as_unreachable_for_a_while_after_a_failure():
    election = WatchElection()
    assert not election.store_unreachable(10.0)
    election.failed(10.0)
    assert election.store_unreachable(10.0 + STORE_UNREACHABLE_S / 2)
    assert not election.store_unreachable(10.0 + STORE_UNREACHABLE_S)
    election.failed(20.0)
    election.succeeded()
    assert not election.store_unreachable(20.0)


def test_quarantines_are_watched_with_few_calls():
    # Quarantines hardly ever change; one call per second for them would be a third of
    # all calls. A host must wait longer than one watch of the live watching host before
    # it takes over.
    assert watch_wait_s(Kind.QUARANTINE) == QUARANTINE_WATCH_S
    assert silence_timeout_s(1, Kind.QUARANTINE) > QUARANTINE_WATCH_S
    election = WatchElection()
    election.note_peer_update(Kind.QUARANTINE, 10.0)
    assert not election.should_watch(Kind.QUARANTINE, 1, 10.0 + QUARANTINE_WATCH_S)
    assert election.should_watch(
        Kind.QUARANTINE, 1, 10.0 + QUARANTINE_WATCH_S + MAX_SILENCE_TIMEOUT_S
    )
