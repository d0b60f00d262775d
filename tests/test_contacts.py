"""Who speaks to whom: a fleet of rosters that tell each other whom they hear."""

import random

import pytest

from lacewingcross.core.contacts import LINGER_S, RELAYS, wanted
from lacewingcross.core.duties import part_of_fleet, part_of_region, rank
from lacewingcross.core.membership import HostInfo
from lacewingcross.core.named_hosts import addresses_for
from lacewingcross.core.roster import SILENT_AFTER_S, Roster, Told

LARGE = 2.15
SMALL = 0.43
STEP_S = 0.1


def infos(small=8, large=2, regions="ab"):
    return [
        HostInfo(
            f"{region}{domain}-{number}",
            region,
            f"{region}{domain}",
            f"10.0.{region}{domain}.{number}:1",
            f"10.0.{region}{domain}.{number}:2",
            cores=LARGE if number < large else SMALL,
        )
        for region in regions
        for domain in (1, 2)
        for number in range(large + small)
    ]


class Played:
    """Rosters in virtual time; each tells what the daemon would, without a network.

    `cut` holds pairs of hosts that cannot reach each other, `dead` those that ended.
    """

    def __init__(self, hosts, *, knows=lambda own, other: True, needed=6.0):
        self.now = 0.0
        self.dead = set()
        self.cut = set()
        self.needed = needed
        self.rosters = {}
        for own in hosts:
            self.start(own, [other for other in hosts if knows(own, other)])

    def start(self, own, others):
        made = Roster(own)
        made.needed = self.needed
        made.listed = True
        made.starting = False
        for other in others:
            made.learn(other, self.now)
        made.review(self.now)
        self.rosters[own.host_id] = made
        self.dead.discard(own.host_id)

    def reach(self, a, b):
        return (
            b in self.rosters
            and b not in self.dead
            and (a, b) not in self.cut
            and (b, a) not in self.cut
        )

    def _speak(self, name, made):
        speaks = wanted(made, self.now) | {
            other for other, e in made.entries.items() if e.wants and e.live(self.now)
        }
        for other in speaks:
            if self.reach(name, other):
                self._hear(self.rosters[other], made, other)

    def _hear(self, listener, made, name):
        wants = name in wanted(made, self.now)
        listener.heard(made.own, 1, self.now, leaving=made.leaving, wants=wants)
        active = name not in made.active
        heard = made.heard_hosts(self.now) if made.is_active else []
        known = made.active.values() if active else heard
        hosts = {info.host_id: info for info in known}
        listener.told(made.own.host_id, Told(active, hosts), self.now)

    def play(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            alive = [(n, r) for n, r in self.rosters.items() if n not in self.dead]
            for name, made in alive:
                self._speak(name, made)
            for _, made in alive:
                made.review(self.now)

    def living(self):
        return [r for n, r in self.rosters.items() if n not in self.dead]

    def active(self):
        return {r.own.host_id for r in self.living() if r.is_active}

    def large(self):
        return {r.own.host_id for r in self.living() if r.own.cores == LARGE}


def assert_settled(played):
    """All living hosts agree on who is active, and name just these."""
    active = played.active()
    for made in played.living():
        assert set(made.active) == active, made.own.host_id
        for region in "ab":
            named = addresses_for(made, region, frozenset(), played.now)
            own = {played.rosters[n].own for n in active}
            assert set(named) == {i.entry for i in own if i.region == region}


def test_a_fleet_agrees_on_its_active_hosts_and_the_others_have_two_relays():
    played = Played(infos())
    played.play(1.0)
    assert played.active() == played.large()
    assert_settled(played)
    for made in played.living():
        if not made.is_active:
            relays = wanted(made, played.now)
            assert len(relays) == RELAYS
            domains = {made.entries[r].info.failure_domain for r in relays}
            assert len(domains) == RELAYS


def test_what_a_standby_host_hears_does_not_grow_with_the_fleet():
    # With each host speaking to each, 195 hosts would send 52,000 messages a second.
    def spoken_to(small):
        played = Played(infos(small=small))
        played.play(1.0)
        standby = [r for r in played.living() if not r.is_active]
        return max(len(wanted(r, played.now)) for r in standby)

    assert spoken_to(4) == spoken_to(24) == RELAYS


def test_an_active_host_that_dies_is_named_no_longer_by_anyone():
    # A host loses power. Callers that are sent to it wait a second for nothing; also
    # hosts that never spoke to it must hear of its end.
    played = Played(infos())
    played.play(3.0)
    dead = sorted(played.large())[0]
    played.dead.add(dead)
    played.play(SILENT_AFTER_S + 0.4)
    assert dead not in played.active()
    assert_settled(played)


def test_a_standby_host_whose_relays_both_die_finds_others():
    # Both hosts that tell a standby host everything lose power together. It must not
    # take itself for the only one left, and must not name them for long.
    played = Played(infos())
    played.play(3.0)
    standby = next(r for r in played.living() if not r.is_active)
    relays = wanted(standby, played.now)
    played.dead.update(relays)
    for _ in range(30):
        played.play(0.1)
        assert not standby.is_active
    assert len(wanted(standby, played.now) - relays) == RELAYS
    assert rank(standby, played.now) is None
    played.play(1.0)
    assert_settled(played)


def test_standby_hosts_take_over_when_all_active_ones_die():
    # Every large host is lost at once. The small ones, which never spoke to each other,
    # find one another and serve.
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
    # Two regions lose each other for a while. Each serves its callers, and both are one
    # fleet again afterwards.
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
    # All hosts start within 0.3 s and read the list while others are not in it yet. Of
    # any two, the one that read later knows the other.
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
    # It goes on telling the active hosts what it has in flight.
    assert wanted(played.rosters[leaving], played.now) >= played.active()
    played.play(LINGER_S)
    assert len(wanted(played.rosters[leaving], played.now)) == RELAYS


def test_parts_of_the_whole_add_up_to_one_at_most():
    # What all hosts together may send to a cold server, or repeat, is a fixed sum.
    # While hosts come and go and disagree for a moment, their parts must not exceed it.
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
        assert sum(part_of_fleet(r, played.now) for r in living) <= 1 + 1e-9
        for region in "ab":
            here = [r for r in living if r.own.region == region]
            assert sum(part_of_region(r, played.now) for r in here) <= 1 + 1e-9


def test_one_host_follows_the_store_for_a_fleet_of_any_size():
    played = Played(infos(small=24))
    played.play(2.0)
    ranks = [rank(made, played.now) for made in played.living()]
    assert ranks.count(0) == 1
    assert ranks.count(None) == sum(not r.is_active for r in played.living())
