"""Hosts, servers and the links between them, without a network.

Each host decides with the real `Paths` and placement of requests is replaced by a fixed
order of servers. A question to another host is answered at once, from what that host's
links show; the failure domains that a host reports as lost arrive late.
"""

from dataclasses import dataclass, field

from lacewingcross.core.backend_state import Server, ServerEntry
from lacewingcross.core.membership import HostInfo
from lacewingcross.core.paths.findings import Finding, combine
from lacewingcross.core.paths.path import Path
from lacewingcross.core.paths.recovery import ROUND_INTERVAL_S, servers_to_try
from lacewingcross.core.paths.selection import Paths
from lacewingcross.core.roster import Roster

DOMAINS = ("a1", "a2", "b1")
# Failure domains of the hosts: a domain of two hosts, and two of one.
HOST_DOMAINS = ("a1", "a1", "a2", "b1")
SERVERS_PER_DOMAIN = 2
MAX_TRIES = 5
STEP_S = 0.1


@dataclass
class ModelHost:
    """One host: its paths, its view of the servers and the crashes that it believes."""

    info: HostInfo
    paths: Paths
    roster: Roster
    servers: dict[str, Server]
    crashes: set[str] = field(default_factory=set)
    round_number: int = 0
    next_round_at: float = 0.0


class PathsModel:
    """Hosts and servers; `cut` holds pairs of a host and a domain, with the way."""

    def __init__(self):
        self.now = 100.0
        self.cut = {}
        self.crashed = set()
        self.runs = {}
        self._attempts = 0
        infos = [
            HostInfo(f"h{index}", domain[0], domain, f"e{index}:1", f"p{index}:1")
            for index, domain in enumerate(HOST_DOMAINS)
        ]
        self.hosts = {info.host_id: self._host(info, infos) for info in infos}
        self._hear_all()

    def _host(self, info, infos):
        roster = Roster(info)
        servers = {}
        for number in range(SERVERS_PER_DOMAIN * len(DOMAINS)):
            domain = DOMAINS[number % len(DOMAINS)]
            entry = ServerEntry(f"s{number}", "calendar", "h:1", domain, 4, False, 0, 1)
            servers[entry.server_id] = Server(entry, domain[0], self.now)
        return ModelHost(info, Paths(roster), roster, servers)

    def _hear_all(self):
        for host in self.hosts.values():
            for other in self.hosts.values():
                if other is not host:
                    host.roster.note_alive(other.info, 1, self.now, leaving=False)

    def deliver_lost_domains(self):
        for host in self.hosts.values():
            for other in self.hosts.values():
                if other is not host:
                    domains = other.paths.reachability.lost_domains
                    host.paths.intermediaries.set_lost_domains(
                        other.info.host_id, domains
                    )

    def connects(self, host, server_id):
        domain = host.servers[server_id].entry.failure_domain
        return server_id not in self.crashed and not self.is_cut(host, domain)

    def is_cut(self, host, domain):
        return (host.info.host_id, domain) in self.cut

    def step(self):
        self.now += STEP_S
        self._hear_all()
        for host in self.hosts.values():
            reachability = host.paths.reachability
            if reachability.any_lost and self.now >= host.next_round_at:
                host.next_round_at = self.now + ROUND_INTERVAL_S
                self._run_rounds(host)

    def _run_rounds(self, host):
        works = True
        while works and host.paths.reachability.any_lost:
            host.round_number += 1
            to_try = servers_to_try(
                host.paths.reachability, host.servers.values(), host.round_number
            )
            works = False
            for server in to_try:
                if self.connects(host, server.entry.server_id):
                    host.paths.reachability.connected(server.entry)
                    works = True

    def request(self, host_id, request):
        """Send a request that may run once; return whether it was served."""
        host = self.hosts[host_id]
        tried, indirect_only = set(), False
        for _ in range(MAX_TRIES):
            found = self._choose(host, tried, indirect_only)
            if found is None:
                return False
            server, path = found
            if path is Path.DIRECT:
                if self._try_directly(host, server, request):
                    return True
                indirect_only = True
            elif self._try_indirectly(host, server, request):
                return True
            else:
                tried.add(server.entry.server_id)
        return False

    def _choose(self, host, tried, indirect_only):
        for server_id, server in host.servers.items():
            if server_id in tried or server_id in host.crashes:
                continue
            path = host.paths.path_to(
                server,
                frozenset(),
                self.now,
                last_resort=False,
                indirect_only=indirect_only,
            )
            if path is not None:
                return server, path
        return None

    def _run(self, request, server_id):
        self.runs.setdefault(request, []).append(server_id)

    def _try_directly(self, host, server, request):
        self._attempts += 1
        server_id = server.entry.server_id
        if self.connects(host, server_id):
            host.paths.reachability.heard(server.entry, self.now)
            server.passive_health.answered(self._attempts, self.now, good=True)
            self._run(request, server_id)
            return True
        server.passive_health.unreachable(self._attempts, self.now)
        self._find(host, server)
        return False

    def _try_indirectly(self, host, server, request):
        self._attempts += 1
        intermediaries = host.paths.intermediaries
        info = intermediaries.choose(server.entry.failure_domain, (), self.now)
        if info is None:
            return False
        carrier = self.hosts[info.host_id]
        if carrier.paths.reachability.is_lost(server.entry):
            intermediaries.unreachable(info.host_id, self.now)
            return False
        if self.connects(carrier, server.entry.server_id):
            server.indirect_health.answered(self._attempts, self.now, good=True)
            self._run(request, server.entry.server_id)
            return True
        server.indirect_health.unreachable(self._attempts, self.now)
        self._find(carrier, carrier.servers[server.entry.server_id])
        return False

    def _find(self, host, server):
        entry = server.entry
        first = host.paths.intermediaries.choose(entry.failure_domain, (), self.now)
        asked = [first] if first else []
        if first:
            exclude = host.roster.hosts_in(first.failure_domain)
            second = host.paths.intermediaries.choose(
                entry.failure_domain, (), self.now, exclude
            )
            asked += [second] if second else []
        found = {self._look(self.hosts[i.host_id], server): i.host_id for i in asked}
        finding = combine(found)
        if finding is Finding.UNSURE:
            finding = self._look(host, server)
        domains = set(DOMAINS)
        reachability = host.paths.reachability
        if finding is Finding.REFUSED:
            host.crashes.add(entry.server_id)
        elif finding is Finding.REACHED:
            by_host = found.get(finding, "")
            if by_host:
                reachability.confirm_lost(entry, self.now, by_host, domains, self.now)
        else:
            reachability.note_unreached(entry, self.now, domains, self.now)

    def _look(self, host, server):
        """Return what a host finds of a server, as `PathChecks.look` does."""
        entry = server.entry
        if self.connects(host, entry.server_id):
            return Finding.REACHED
        if self.cut.get((host.info.host_id, entry.failure_domain)) == "hang":
            return Finding.SILENT
        others = [
            other.entry
            for other in host.servers.values()
            if other is not host.servers[entry.server_id]
            and other.entry.server_id not in host.crashes
        ]
        in_domain = [o for o in others if o.failure_domain == entry.failure_domain]
        controls = in_domain or others
        if not controls or any(self.connects(host, c.server_id) for c in controls):
            return Finding.REFUSED
        return Finding.UNSURE

    def can_be_served(self):
        """Return whether any host reaches any server."""
        return any(
            self.connects(host, server_id)
            for host in self.hosts.values()
            for server_id in host.servers
        )
