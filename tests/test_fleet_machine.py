"""After any series of crashes, cuts and restarts, all hosts agree on one fleet."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lacewingcross.core.fleet_shares import fleet_share, rank, region_share
from lacewingcross.core.named_hosts import addresses_for

from .fleet_model import FleetModel, assert_settled, host_infos

HOSTS = host_infos(small=3)
NAMES = [info.host_id for info in HOSTS]
BY_NAME = {info.host_id: info for info in HOSTS}
DOMAINS = sorted({info.failure_domain for info in HOSTS})
# Longer than any host remembers which hosts were active or reported, in seconds. The
# exception is `FORGET_AFTER_S`, after which a host that comes back writes its entry to
# the store again.
SETTLED_S = 12.0


class FleetMachine(RuleBasedStateMachine):
    """Hosts that crash, restart and are cut off in any order."""

    def __init__(self):
        super().__init__()
        self.fleet = FleetModel(HOSTS)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.5, 6.0]))
    def time_passes(self, seconds):
        self.fleet.advance(seconds)

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=6))
    def hosts_die(self, names):
        if len(self.fleet.dead | names) < len(NAMES):
            self.fleet.dead.update(names)

    @rule(domain=st.sampled_from(DOMAINS))
    def a_failure_domain_dies(self, domain):
        names = {i.host_id for i in HOSTS if i.failure_domain == domain}
        if len(self.fleet.dead | names) < len(NAMES):
            self.fleet.dead.update(names)

    @precondition(lambda self: self.fleet.dead)
    @rule(data=st.data())
    def a_host_starts_again(self, data):
        name = data.draw(st.sampled_from(sorted(self.fleet.dead)))
        self.fleet.start(BY_NAME[name], HOSTS)

    @rule(domain=st.sampled_from(DOMAINS))
    def a_failure_domain_is_cut_off(self, domain):
        inside = {i.host_id for i in HOSTS if i.failure_domain == domain}
        self.fleet.cut |= {(x, y) for x in inside for y in NAMES if y not in inside}

    @rule(pair=st.tuples(st.sampled_from(NAMES), st.sampled_from(NAMES)))
    def two_hosts_lose_each_other(self, pair):
        self.fleet.cut.add(pair)

    @rule()
    def cuts_heal(self):
        self.fleet.cut.clear()

    @invariant()
    def everyone_names_somebody(self):
        for roster in self.fleet.running():
            assert addresses_for(roster, "a", frozenset(), self.fleet.now)

    def teardown(self):
        fleet = self.fleet
        fleet.cut.clear()
        for name in sorted(fleet.dead):
            fleet.start(BY_NAME[name], HOSTS)
        fleet.advance(SETTLED_S)
        assert_settled(fleet)
        running = fleet.running()
        ranks = [rank(roster, fleet.now) for roster in running]
        assert ranks.count(0) == 1
        assert sum(fleet_share(roster, fleet.now) for roster in running) <= 1 + 1e-9
        for region in "ab":
            here = [roster for roster in running if roster.own.region == region]
            shares = sum(region_share(roster, fleet.now) for roster in here)
            assert shares <= 1 + 1e-9


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=25, stateful_step_count=12, deadline=None
)
