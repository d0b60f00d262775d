"""Random cuts, crashes and requests: what the choice of paths always keeps.

Requests are served if any host reaches a server, run once, and no host takes a cut for
a crash.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .paths_model import DOMAINS, HOST_DOMAINS, STEP_S, PathsModel

# Time after the last change within which all hosts know what they reach, in seconds.
SETTLE_S = 5.0
# Number of steps between two requests of each host meanwhile.
REQUEST_STEPS = 4

HOSTS = st.sampled_from([f"h{index}" for index in range(len(HOST_DOMAINS))])
# New connections hang, or are refused.
WAYS = st.sampled_from(["hang", "refuse"])
SERVERS = st.integers(0, 5).map(lambda number: f"s{number}")


class PathsMachine(RuleBasedStateMachine):
    """Hosts lose and regain their links to the servers of failure domains."""

    def __init__(self):
        super().__init__()
        self.model = PathsModel()
        self.requests = 0

    def _request(self, host):
        self.requests += 1
        return self.model.request(host, self.requests)

    @rule(
        host=HOSTS, domain=st.sampled_from(DOMAINS), how=st.sampled_from(["hang", "no"])
    )
    def cut_domain(self, host, domain, how):
        self.model.cut[(host, domain)] = how

    @rule(host=HOSTS, how=WAYS)
    def cut_all(self, host, how):
        for domain in DOMAINS:
            self.model.cut[(host, domain)] = how

    @rule(host=HOSTS)
    def heal(self, host):
        for domain in DOMAINS:
            self.model.cut.pop((host, domain), None)

    @rule(server=SERVERS)
    def crash(self, server):
        if len(self.model.crashed) < 3:
            self.model.crashed.add(server)

    @rule(host=HOSTS, count=st.integers(1, 4))
    def send(self, host, count):
        for _ in range(count):
            self._request(host)

    @rule()
    def report_lost_domains(self):
        self.model.deliver_lost_domains()

    @rule(steps=st.integers(1, 20))
    def wait(self, steps):
        for _ in range(steps):
            self.model.step()

    @rule()
    def settle(self):
        """Let the hosts find out; then requests are served where that is possible."""
        for step in range(int(SETTLE_S / STEP_S)):
            self.model.step()
            if step % REQUEST_STEPS == 0:
                self.model.deliver_lost_domains()
                for host in self.model.hosts:
                    self._request(host)
        can_be_served = self.model.can_be_served()
        for host in self.model.hosts:
            served = [self._request(host) for _ in range(5)]
            assert any(served) == can_be_served, (host, served)

    @rule()
    def heal_all(self):
        """Let all links work again; soon no host uses another one."""
        self.model.cut.clear()
        self.settle()
        for host in self.model.hosts.values():
            assert not host.paths.reachability.lost_domains

    @invariant()
    def no_request_runs_twice(self):
        assert all(len(servers) == 1 for servers in self.model.runs.values())

    @invariant()
    def only_crashed_servers_count_as_crashed(self):
        for host in self.model.hosts.values():
            assert host.crashes <= self.model.crashed


TestPaths = PathsMachine.TestCase
TestPaths.settings = settings(max_examples=30, stateful_step_count=25)
