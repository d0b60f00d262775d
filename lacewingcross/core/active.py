"""Selects the active hosts: the entry hosts that look-ups name to callers.

There are as many active hosts as are needed when all slots of the known servers are
busy, the largest first. The number does not follow the current load.

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
from .placement.work_times import WARM_TARGET_FRACTION
from .rendezvous import hash64
from .routes import Configuration

# Processor time that an entry host spends on a request, on an ordinary core.
REQUEST_CPU_S = 0.003
# Target latency assumed for a service that no route names.
DEFAULT_TARGET_S = 1.0
# Multiple of the processor time that requests take when all slots of all servers are
# busy. A multiple of 2 leaves the hosts half idle under this load, and tolerates the
# loss of one region of three.
HEADROOM = 2.0
# Once the active hosts have this fraction of their region's processor time, no host
# smaller than the last one becomes active, even if the servers could take more load:
# the smaller hosts would be overloaded before the large ones.
MAX_ACTIVE_FRACTION = 0.5
# Minimum number of active hosts in each failure domain, where the domain has that many
# large hosts. When a domain is lost, the active hosts of the other domains are already
# known and warm.
MIN_ACTIVE_PER_DOMAIN = 2
# A host is large if it has at least this fraction of the processor time of the largest
# host of its region. Other hosts become active only if the large ones have too little
# processor time for `cores_needed`.
LARGE_HOST_FRACTION = 0.5


def cores_needed(config: Configuration | None, servers: Iterable[Server]) -> float:
    """Return the processor time that entry hosts should have for the servers' requests.

    The request rate of the servers is highest when all slots run requests for objects
    that the server has handled recently (warm requests); these take a fraction of the
    target latency. The result is `HEADROOM` times the processor time that entry hosts
    spend on requests at this rate. All hosts know the same servers, so they compute the
    same value, and it does not change with the load. It is 0 while no configuration or
    server is known.

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
    requests_per_s = 0.0
    for server in servers:
        target_s = targets.get(server.entry.service, DEFAULT_TARGET_S)
        requests_per_s += server.entry.slots / (WARM_TARGET_FRACTION * target_s)
    return requests_per_s * REQUEST_CPU_S * HEADROOM


def _mean_targets(config: Configuration) -> dict[str, float]:
    """Return the mean target latency of the routes to each service, in seconds."""
    targets_s: dict[str, list[float]] = {}
    for route in config.routes:
        if route.target_s > 0:
            for part in route.parts:
                targets_s.setdefault(part.service, []).append(route.target_s)
    return {service: sum(times) / len(times) for service, times in targets_s.items()}


def active_hosts(hosts: Iterable[HostInfo], needed_cores: float) -> list[HostInfo]:
    """Return the active hosts of all regions.

    Parameters
    ----------
    hosts : iterable of HostInfo
        Hosts that may be active.
    needed_cores : float
        Processor time that all regions together need, in cores; each region needs an
        equal share of it.
    """
    by_region: dict[str, list[HostInfo]] = {}
    for info in hosts:
        by_region.setdefault(info.region, []).append(info)
    needed_per_region = needed_cores / max(1, len(by_region))
    return [
        info
        for region_hosts in by_region.values()
        for info in _active_in_region(region_hosts, needed_per_region)
    ]


def _active_in_region(hosts: list[HostInfo], needed_cores: float) -> list[HostInfo]:
    """Return the first hosts of a region by size that together have enough cores.

    Callers choose among `n` hosts at random, so each gets the same share of requests.
    Together the hosts therefore carry `n` times what the smallest of them can.
    """
    order = list(in_order(hosts))
    min_count = _min_active_count(order)
    # `fsum` gives the same sum in any order. Hosts know the hosts in different orders
    # and must choose the same active hosts.
    max_cores = MAX_ACTIVE_FRACTION * fsum(info.cores for info in hosts)
    total_cores = 0.0
    min_cores = 0.0
    for count, info in enumerate(order, 1):
        if info.cores < min_cores:
            return order[: count - 1]
        total_cores += info.cores
        if count >= min_count and count * info.cores >= needed_cores:
            return order[:count]
        if total_cores >= max_cores:
            # From here on only hosts of this size are added, so that all hosts of a
            # fleet of equal sizes can be active.
            min_cores = info.cores
    return order


def in_order(hosts: list[HostInfo]) -> Iterator[HostInfo]:
    """Yield the largest hosts first; equal hosts round robin by failure domain."""
    positions: Counter[tuple[float, str]] = Counter()
    keyed = []
    for info in sorted(hosts, key=lambda info: hash64("active", info.host_id)):
        position = positions[info.cores, info.failure_domain]
        positions[info.cores, info.failure_domain] += 1
        keyed.append((-info.cores, position, len(keyed), info))
    for *_, info in sorted(keyed, key=lambda item: item[:3]):
        yield info


def _min_active_count(order: list[HostInfo]) -> int:
    """Return how many of the first hosts include the minimum of each failure domain.

    The minimum is `MIN_ACTIVE_PER_DOMAIN`, or all large hosts of a domain with fewer.
    """
    if not order:
        return 0
    min_large_cores = order[0].cores * LARGE_HOST_FRACTION
    large_hosts: Counter[str] = Counter()
    min_count = 1
    for count, info in enumerate(order, 1):
        if info.cores < min_large_cores:
            break
        large_hosts[info.failure_domain] += 1
        if large_hosts[info.failure_domain] <= MIN_ACTIVE_PER_DOMAIN:
            min_count = count
    return min_count
