"""Which host follows the store, and when the others step in."""

from lacewingcross.core.replica import Kind
from lacewingcross.core.watch_election import (
    MAX_SILENCE_TIMEOUT_S,
    PATIENCE_S,
    QUARANTINE_WATCH_S,
    TURNED_AWAY_S,
    WatchElection,
    silence_timeout,
    watch_wait_s,
)

# What operators write has to be in force everywhere within this, in seconds.
IN_FORCE_S = 2.5


def test_the_first_host_follows_the_store_and_the_others_listen():
    election = WatchElection()
    election.note_peer_update(Kind.CONFIG, 10.0)
    assert election.should_watch(Kind.CONFIG, 0, 10.5)
    assert not election.should_watch(Kind.CONFIG, 1, 10.0 + PATIENCE_S)


def test_a_host_that_hears_nothing_of_one_kind_follows_that_kind():
    # The host that follows the store finds one watch deaf: servers' changes still come,
    # configuration does not.
    election = WatchElection()
    election.note_peer_update(Kind.CONFIG, 10.0)
    election.note_peer_update(Kind.SERVER, 12.0)
    assert election.should_watch(Kind.CONFIG, 1, 12.0)
    assert not election.should_watch(Kind.SERVER, 1, 12.0)


def test_hosts_step_in_one_after_the_other():
    # The host that follows the store loses power. If all others asked the store at
    # once, each outage of one host would cost a call a host.
    assert [silence_timeout(rank) for rank in (1, 2, 3)] == [1.5, 1.6, 1.7]


def test_a_host_that_is_cut_off_from_all_others_is_in_time():
    # The last word came just before an operator's change, then the host was cut off.
    # It has to see the change while it is still allowed to be unaware of it.
    election = WatchElection()
    election.note_peer_update(Kind.CONFIG, 10.0)
    for rank in (1, 5, 4500):
        assert election.should_watch(
            Kind.CONFIG, rank, 10.0 + MAX_SILENCE_TIMEOUT_S + 0.01
        )
    assert MAX_SILENCE_TIMEOUT_S + 0.3 < IN_FORCE_S


def test_a_host_that_has_stepped_in_goes_on_until_somebody_tells_it_something():
    # Whoever is first is deaf for the whole outage. Going by the age of its own
    # reading, the host would pause after each watch and see changes two seconds late.
    election = WatchElection()
    election.note_peer_update(Kind.CONFIG, 10.0)
    election.succeeded()
    assert election.should_watch(Kind.CONFIG, 1, 12.0)
    assert election.should_watch(Kind.CONFIG, 1, 13.0)
    election.note_peer_update(Kind.CONFIG, 13.1)
    assert not election.should_watch(Kind.CONFIG, 1, 13.2)


def test_a_host_that_cannot_serve_yet_reads_the_store_soon():
    # All hosts lose power, and the one whose turn it is to read the store comes back
    # last. Waiting for it as usual, the others refused callers for another 1.5 s.
    again = WatchElection(10.0)
    assert not again.should_watch(Kind.CONFIG, 5, 10.0, empty=True)
    assert again.should_watch(Kind.CONFIG, 5, 10.1, empty=True)
    assert not again.should_watch(Kind.CONFIG, 5, 10.1)
    assert not again.should_watch(Kind.CONFIG, None, 20.0, empty=True)


def test_a_first_start_reads_the_store_once():
    # Hundreds of hosts start for the first time, and callers come seconds later. Each
    # call of the store is paid for; the first host tells the others.
    first = WatchElection(10.0, first_start=True)
    assert first.should_watch(Kind.CONFIG, 0, 10.0, empty=True)
    assert not any(
        first.should_watch(Kind.CONFIG, n, 10.3, empty=True) for n in (1, 2, 99)
    )
    assert all(first.should_watch(Kind.CONFIG, n, 11.0, empty=True) for n in (1, 2, 99))


def test_a_host_that_the_store_turns_away_says_so_for_a_while():
    election = WatchElection()
    assert not election.store_unreachable(10.0)
    election.failed(10.0)
    assert election.store_unreachable(10.0 + TURNED_AWAY_S / 2)
    assert not election.store_unreachable(10.0 + TURNED_AWAY_S)
    election.failed(20.0)
    election.succeeded()
    assert not election.store_unreachable(20.0)


def test_quarantines_are_watched_with_few_calls_and_not_given_up():
    # They change hardly ever; a call a second for them would be a third of all calls.
    # Whoever steps in must wait longer than the watch of a host that lives.
    assert watch_wait_s(Kind.QUARANTINE) == QUARANTINE_WATCH_S
    assert silence_timeout(1, Kind.QUARANTINE) > QUARANTINE_WATCH_S
    election = WatchElection()
    election.note_peer_update(Kind.QUARANTINE, 10.0)
    assert not election.should_watch(Kind.QUARANTINE, 1, 10.0 + QUARANTINE_WATCH_S)
    assert election.should_watch(
        Kind.QUARANTINE, 1, 10.0 + QUARANTINE_WATCH_S + MAX_SILENCE_TIMEOUT_S
    )
