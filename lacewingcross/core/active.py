"""Selects the active hosts: the entry hosts that look-ups name to callers.

There are as many active hosts as the load needs, the largest first.

Designed for fleets of a few large hosts and many small ones, in which a tenth of the
hosts could carry all requests. Callers choose at random among the hosts that they are
given. If they were given all hosts, the small ones (a fifth of a large host's processor
time and less of a network link) would be overloaded first, hardly any two requests for
a server would share a connection, and the information that each of 195 hosts has on a
server with five slots would always be stale.

The other hosts are standby hosts: they know the configuration, the servers and the
active hosts, and become active when some of the active hosts are lost.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from math import fsum

from .backend_state import Server
from .membership import HostInfo
from .rendezvous import hash64
from .routes import Configuration
from .work_times import WARM_OF_TARGET

# Processor time that an entry host spends on a request, on an ordinary core.
REQUEST_CPU_S = 0.003
# Target latency assumed for a service that no route names.
UNKNOWN_TARGET_S = 1.0
# Multiple of the processor time that requests take when all slots of all servers are
# busy. Twice that time leaves the hosts half idle under this load, and tolerates the
# loss of one region of three.
HEADROOM = 2.0
# Fraction of a region's processor time at which no smaller host becomes active, even if
# the servers could take more load: the smaller hosts would be overloaded before the
# large ones.
MOST_PART = 0.5
# Minimum number of active hosts in each failure domain, where the domain has that many
# large hosts. When a domain is lost, the active hosts of the other domains are already
# known and warm.
DOMAIN_LEAST = 2
# A host is large if it has at least this fraction of the processor time of the largest
# host of its region. Other hosts become active only if the load needs them.
LARGE_PART = 0.5


def cores_needed(config: Configuration | None, servers: Iterable[Server]) -> float:
    """Return the processor time that entry hosts need for all requests of the servers.

    The request rate of the servers is highest when all slots run requests for objects
    that the server has handled recently (warm requests); these take a fraction of the
    target latency. All hosts know the same servers, so they compute the same value, and
    it does not change with the load. It is 0 while no configuration or server is known.

    Parameters
    ----------
    config : Configuration or None
        The operators' configuration, for the target latencies of its routes.
    servers : iterable of Server
        Known backend servers.

    Returns
    -------
    cores : float
        Processor time in seconds of an ordinary core per second.
    """
    if config is None:
        return 0.0
    targets = _mean_targets(config)
    requests_a_second = 0.0
    for server in servers:
        target_s = targets.get(server.entry.service, UNKNOWN_TARGET_S)
        requests_a_second += server.entry.slots / (WARM_OF_TARGET * target_s)
    return requests_a_second * REQUEST_CPU_S * HEADROOM


def _mean_targets(config: Configuration) -> dict[str, float]:
    """Return the mean target latency of the routes to each service, in seconds."""
    found: dict[str, list[float]] = {}
    for route in config.routes:
        if route.target_s > 0:
            for part in route.parts:
                found.setdefault(part.service, []).append(route.target_s)
    return {service: sum(times) / len(times) for service, times in found.items()}


def active_hosts(hosts: Iterable[HostInfo], needed: float) -> list[HostInfo]:
    """Return the active hosts of all regions.

    Parameters
    ----------
    hosts : iterable of HostInfo
        Hosts that may be active.
    needed : float
        Processor time that all regions together need, in cores.
    """
    by_region: dict[str, list[HostInfo]] = {}
    for info in hosts:
        by_region.setdefault(info.region, []).append(info)
    each = needed / max(1, len(by_region))
    return [info for found in by_region.values() for info in _of_region(found, each)]


def _of_region(hosts: list[HostInfo], needed: float) -> list[HostInfo]:
    """Return the first hosts by size that together carry the load.

    Callers choose among `n` hosts at random, so each gets the same share of requests.
    Together the hosts therefore carry `n` times what the smallest of them can.
    """
    order = list(in_order(hosts))
    least = _spread_count(order)
    # `fsum` gives the same sum in any order. Hosts know the hosts in different orders
    # and must choose the same active hosts.
    half = MOST_PART * fsum(info.cores for info in hosts)
    taken = 0.0
    smallest = 0.0
    for count, info in enumerate(order, 1):
        if info.cores < smallest:
            return order[: count - 1]
        taken += info.cores
        if count >= least and count * info.cores >= needed:
            return order[:count]
        if taken >= half:
            # Hosts of the same size are all active or none is, so that under load all
            # hosts of a fleet of equal sizes are active.
            smallest = info.cores
    return order


def in_order(hosts: list[HostInfo]) -> Iterator[HostInfo]:
    """Yield the largest hosts first; equal ones round robin by failure domain."""
    turns: Counter[tuple[float, str]] = Counter()
    keyed = []
    for info in sorted(hosts, key=lambda info: hash64("active", info.host_id)):
        turn = turns[info.cores, info.failure_domain]
        turns[info.cores, info.failure_domain] += 1
        keyed.append((-info.cores, turn, len(keyed), info))
    for *_, info in sorted(keyed, key=lambda item: item[:3]):
        yield info


def _spread_count(order: list[HostInfo]) -> int:
    """Return how many of the first hosts give each domain `DOMAIN_LEAST` large ones."""
    if not order:
        return 0
    large = order[0].cores * LARGE_PART
    seen: Counter[str] = Counter()
    least = 1
    for count, info in enumerate(order, 1):
        if info.cores < large:
            break
        seen[info.failure_domain] += 1
        if seen[info.failure_domain] <= DOMAIN_LEAST:
            least = count
    return least
