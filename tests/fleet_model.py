"""Rosters of a fleet in virtual time, which exchange messages as the daemons would."""

from lacewingcross.core.membership import HostInfo
from lacewingcross.core.named_hosts import addresses_for
from lacewingcross.core.peer_selection import (
    full_view_peers,
    hosts_to_advertise,
    subscriptions,
)
from lacewingcross.core.roster import PeerView, Roster

LARGE = 2.15
SMALL = 0.43
STEP_S = 0.1


def infos(small=8, large=2, regions="ab"):
    """Return the hosts of two failure domains per region; a few of them are large."""
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
    """A fleet of rosters in virtual time, without network and store.

    `cut` holds pairs of hosts that cannot reach each other, `dead` the crashed hosts.
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
        """Start or restart a host that has read a list of other hosts."""
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
        """Return whether one host can reach another."""
        living = b in self.rosters and b not in self.dead
        return living and (a, b) not in self.cut and (b, a) not in self.cut

    def _speak(self, name, made):
        speaks = subscriptions(made, self.now) | {
            other
            for other, e in made.entries.items()
            if e.subscribes and e.live(self.now)
        }
        for other in speaks:
            if self.reach(name, other):
                self._hear(self.rosters[other], made, other)

    def _hear(self, listener, made, name):
        subscribes = name in subscriptions(made, self.now)
        listener.note_alive(
            made.own, 1, self.now, leaving=made.leaving, subscribes=subscribes
        )
        active = name not in made.active
        known = hosts_to_advertise(made, name, self.now, full_view_peers(made))
        hosts = {info.host_id: info for info in known}
        listener.take_peer_view(made.own.host_id, PeerView(active, hosts), self.now)

    def play(self, seconds):
        """Let all running hosts exchange messages and review their active hosts."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            alive = [(n, r) for n, r in self.rosters.items() if n not in self.dead]
            for name, made in alive:
                self._speak(name, made)
            for _, made in alive:
                made.review(self.now)

    def living(self):
        """Return the rosters of the hosts that run."""
        return [r for n, r in self.rosters.items() if n not in self.dead]

    def active(self):
        """Return the hosts that consider themselves active."""
        return {r.own.host_id for r in self.living() if r.is_active}

    def large(self):
        """Return the large hosts that run."""
        return {r.own.host_id for r in self.living() if r.own.cores == LARGE}


def assert_settled(played):
    """Check that running hosts agree on the active hosts and name just these."""
    active = played.active()
    for made in played.living():
        assert set(made.active) == active, made.own.host_id
        for region in {info.region for info in made.active.values()}:
            named = addresses_for(made, region, frozenset(), played.now)
            own = {played.rosters[n].own for n in active}
            assert set(named) == {i.entry for i in own if i.region == region}
