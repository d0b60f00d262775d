"""Peer selection: a fleet of rosters that report the hosts alive to each other."""

import random
from collections import Counter

import pytest

from lacewingcross.core import fleet_shares, peer_selection, roster
from lacewingcross.core.fleet_shares import fleet_share, rank, region_share
from lacewingcross.core.membership import HostInfo
from lacewingcross.core.named_hosts import addresses_for
from lacewingcross.core.peer_selection import (
    FULL_VIEW_SENDERS,
    LINGER_S,
    RELAYS,
    first_hops,
    full_view_peers,
    hosts_to_advertise,
    next_hops,
    subscriptions,
)
from lacewingcross.core.roster import SILENT_AFTER_S

from .fleet_model import LARGE, Played, assert_settled, infos


def test_a_fleet_agrees_on_its_active_hosts_and_the_others_have_two_relays():
    played = Played(infos())
    played.play(1.0)
    assert played.active() == played.large()
    assert_settled(played)
    for made in played.living():
        if not made.is_active:
            relays = subscriptions(made, played.now)
            assert len(relays) == RELAYS
            domains = {made.entries[r].info.failure_domain for r in relays}
            assert len(domains) == RELAYS


def test_what_a_standby_host_hears_does_not_grow_with_the_fleet():
    # If each host sent messages to each other one, 195 hosts would send 52,000 messages
    # a second.
    def spoken_to(small):
        played = Played(infos(small=small))
        played.play(1.0)
        standby = [r for r in played.living() if not r.is_active]
        return max(len(subscriptions(r, played.now)) for r in standby)

    assert spoken_to(4) == spoken_to(24) == RELAYS


def even(count):
    return [
        HostInfo(f"h-{n}", "abc"[n % 3], f"{'abc'[n % 3]}{n % 2}", f"10.0.0.{n}:1", "")
        for n in range(count)
    ]


def test_what_a_host_of_an_even_fleet_tells_does_not_grow_with_its_square():
    # All hosts of a fleet of equal hosts are active. If each sent its full view to each
    # other host, the bytes that a host sends while the fleet starts would grow with the
    # square of the fleet.
    def told(count):
        played = Played(even(count), needed=1e9)
        played.play(1.0)
        made = next(iter(played.rosters.values()))
        full_view_receivers = full_view_peers(made)
        others = made.active.keys() - {made.own.host_id}
        now = played.now
        return sum(
            len(hosts_to_advertise(made, o, now, full_view_receivers)) for o in others
        )

    assert told(100) <= FULL_VIEW_SENDERS * 100
    assert told(40) <= FULL_VIEW_SENDERS * 40


def test_each_active_host_hears_from_enough_tellers():
    played = Played(even(40), needed=1e9)
    played.play(1.0)
    tellers = Counter(h for r in played.living() for h in full_view_peers(r))
    assert set(tellers.values()) == {FULL_VIEW_SENDERS}
    assert len(tellers) == 40


@pytest.mark.parametrize("count", [5, 24, 25, 60, 100])
def test_changes_reach_every_active_host_in_two_steps(count):
    # One host receives a change from the store. It sends the change to about twenty
    # hosts at most, and each of these passes it on to the hosts of its group.
    played = Played(even(count), needed=1e9)
    played.play(1.0)
    follower = played.rosters["h-3"]
    told = first_hops(follower, played.now)
    reached = {"h-3", *told}
    for name in told:
        reached |= next_hops(played.rosters[name])
    assert reached == set(played.rosters)
    assert len(told) <= max(peer_selection.MAX_DIRECT_RECEIVERS, 2 * count**0.5)
    if count > peer_selection.MAX_DIRECT_RECEIVERS:
        passed_on = [len(next_hops(r)) for r in played.living()]
        assert max(passed_on) <= count**0.5 + 1


def test_a_dead_host_is_not_chosen_to_pass_changes_on():
    played = Played(even(60), needed=1e9)
    played.play(1.0)
    follower = played.rosters["h-3"]
    first = min(first_hops(follower, played.now))
    played.dead.add(first)
    played.play(SILENT_AFTER_S + 0.4)
    told = first_hops(follower, played.now)
    assert first not in told
    reached = {"h-3", *told}
    for name in told:
        reached |= next_hops(played.rosters[name])
    assert reached == {r.own.host_id for r in played.living()}


def test_a_host_that_one_cannot_hear_lives_for_all_of_a_large_even_fleet():
    # The stream between two hosts is cut. Look-ups at one of them must still name the
    # other one, which is alive for all other hosts.
    played = Played(even(40), needed=1e9)
    played.play(1.0)
    played.cut.add(("h-0", "h-1"))
    played.play(SILENT_AFTER_S + 1.0)
    assert "h-1" in played.rosters["h-0"].live_ids(played.now)
    assert "h-0" in played.rosters["h-1"].live_ids(played.now)


def test_an_active_host_that_dies_is_named_no_longer_by_anyone():
    # Callers that are sent to a host without power wait a second in vain. Hosts that
    # never exchanged messages with the host must also learn of its loss.
    played = Played(infos())
    played.play(3.0)
    dead = sorted(played.large())[0]
    played.dead.add(dead)
    played.play(SILENT_AFTER_S + 0.4)
    assert dead not in played.active()
    assert_settled(played)


def test_a_standby_host_whose_relays_both_die_finds_others():
    # Both relays of a standby host lose power at once. The standby host must not
    # consider itself the only host left, and must soon stop naming the relays.
    played = Played(infos())
    played.play(3.0)
    standby = next(r for r in played.living() if not r.is_active)
    relays = subscriptions(standby, played.now)
    played.dead.update(relays)
    for _ in range(30):
        played.play(0.1)
        assert not standby.is_active
    assert len(subscriptions(standby, played.now) - relays) == RELAYS
    assert rank(standby, played.now) is None
    played.play(1.0)
    assert_settled(played)


def test_a_host_that_loses_all_near_active_ones_does_not_think_itself_alone():
    # All large hosts of a region crash at once: the relays of its standby hosts and the
    # hosts that these would try next. Each standby host must go on to hosts of the
    # other region. A host that considered itself the only one would name only itself to
    # callers.
    played = Played(infos())
    played.play(3.0)
    played.dead.update(name for name in played.large() if name.startswith("a"))
    for _ in range(60):
        played.play(0.1)
        assert all(len(made.active) > 1 for made in played.living())
    assert_settled(played)


def test_standby_hosts_take_over_when_all_active_ones_die():
    # All large hosts are lost at once. The small ones, which have never exchanged
    # messages, must find each other and serve callers.
    played = Played(infos())
    played.play(3.0)
    played.dead.update(played.large())
    played.play(8.0)
    assert played.active()
    for made in played.living():
        named = addresses_for(made, "a", frozenset(), played.now)
        gone = {played.rosters[name].own.entry for name in played.dead}
        assert not gone & set(named)


def test_a_cut_between_regions_heals():
    # Two regions are cut off from each other for a while. Each serves its own callers,
    # and both are one fleet again afterwards.
    played = Played(infos())
    played.play(3.0)
    names = list(played.rosters)
    played.cut = {(x, y) for x in names for y in names if x[0] == "a" and y[0] == "b"}
    played.play(5.0)
    for made in played.living():
        region = made.own.region
        assert {info.region for info in made.active.values()} == {region}
    played.cut = set()
    played.play(3.0)
    assert_settled(played)


@pytest.mark.parametrize("seed", range(8))
def test_hosts_that_read_incomplete_lists_find_each_other(seed):
    # All hosts start within 0.3 s and read the list of hosts while it is still
    # incomplete. Of any two hosts, the one that read the list later knows the other.
    rng = random.Random(seed)
    hosts = infos(small=4)
    turn = {info.host_id: rng.random() for info in hosts}
    played = Played(hosts, knows=lambda own, o: turn[own.host_id] >= turn[o.host_id])
    played.play(2.0)
    lonely = [r for r in played.living() if len(r.live(played.now)) == 1]
    for made in lonely:
        for info in hosts:
            made.learn(info, played.now)
        made.review(played.now)
    played.play(3.0)
    assert_settled(played)


def test_a_new_large_host_becomes_active_and_one_that_leaves_does_not_stay():
    played = Played(infos())
    played.play(3.0)
    leaving = sorted(played.large())[0]
    played.rosters[leaving].leaving = True
    played.play(1.0)
    assert leaving not in played.active()
    named = addresses_for(played.rosters["a1-9"], "a", frozenset(), played.now)
    assert played.rosters[leaving].own.entry not in named
    # The leaving host goes on sending its requests in flight to the active hosts.
    assert subscriptions(played.rosters[leaving], played.now) >= played.active()
    played.play(LINGER_S)
    assert len(subscriptions(played.rosters[leaving], played.now)) == RELAYS


def test_parts_of_the_whole_add_up_to_one_at_most():
    # The requests that all hosts together may send to a cold server, or retry, are
    # limited. The hosts' shares must not exceed this limit while hosts start and stop
    # and disagree for a moment.
    played = Played(infos())
    victims = [*sorted(played.large())[:2], "b1-9"]
    for turn in range(60):
        played.play(0.1)
        if turn in (10, 20, 30):
            played.dead.add(victims.pop())
        if turn == 45:
            extra = HostInfo("b2-0", "b", "b2", "10.9:1", "10.9:2", cores=LARGE)
            played.start(extra, [r.own for r in played.living()])
        living = played.living()
        assert sum(fleet_share(r, played.now) for r in living) <= 1 + 1e-9
        for region in "ab":
            here = [r for r in living if r.own.region == region]
            assert sum(region_share(r, played.now) for r in here) <= 1 + 1e-9


def test_one_host_follows_the_store_for_a_fleet_of_any_size():
    played = Played(infos(small=24))
    played.play(2.0)
    ranks = [rank(made, played.now) for made in played.living()]
    assert ranks.count(0) == 1
    assert ranks.count(None) == sum(not r.is_active for r in played.living())


def test_without_dialling_lost_hosts_a_cut_would_stay(monkeypatch):
    # Without this guard, each side of a cut goes on alone after the cut has healed.
    monkeypatch.setattr(peer_selection, "_lost_active", lambda roster, now: iter(()))
    with pytest.raises(AssertionError):
        test_a_cut_between_regions_heals()


def test_without_what_was_told_last_a_host_would_think_itself_alone(monkeypatch):
    # Without this guard, the hosts that relays reported are forgotten as soon as the
    # relays fall silent.
    monkeypatch.setattr(roster, "PEER_VIEW_VALID_S", SILENT_AFTER_S)
    with pytest.raises(AssertionError):
        test_a_host_that_loses_all_near_active_ones_does_not_think_itself_alone()


def test_without_counting_those_that_share_parts_would_exceed_the_whole(monkeypatch):
    # Without this guard, each active host takes the whole share once it has settled.
    monkeypatch.setattr(
        fleet_shares, "_shares", lambda roster, host_id, entry, now: False
    )
    with pytest.raises(AssertionError):
        test_parts_of_the_whole_add_up_to_one_at_most()
