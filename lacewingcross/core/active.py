"""Which entry hosts callers are named: as many as the load needs, the largest first.

Answers this load: fleets of a few large hosts and many small ones, of which a tenth
could carry all requests. Callers choose at random among the hosts that they are named.
If that were all of them, the small ones (a fifth of a large one's processor time and
less of a link) would be full first, hardly any two requests for a server would share a
connection, and what each of 195 hosts knows of a server with five slots would always be
old.

The others stand by: they know the configuration, the servers and the active hosts, and
become active when some of these are lost.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from math import fsum

from .backend_state import Server
from .membership import HostInfo
from .rendezvous import hash64
from .routes import Configuration
from .work_times import WARM_TARGET_FRACTION

# Processor time that an entry host spends on a request, in seconds of an ordinary core.
REQUEST_CPU_S = 0.003
# Target reckoned with for a service that no route names, in seconds.
UNKNOWN_TARGET_S = 1.0
# Times the processor time that requests take when all slots of all servers are busy.
# Twice leaves the hosts half idle then, and bears the loss of one region of three.
HEADROOM = 2.0
# Part of a region's processor time beyond which no more hosts are named, whatever the
# servers could bear: the small hosts that would follow are full before the large ones.
MOST_PART = 0.5
# Hosts of each failure domain that are named at least, where it has so many of the
# larger ones: when a domain is lost, those of the others are known and warm already.
DOMAIN_LEAST = 2
# A host with less than this part of the processor time of its region's largest one is
# named only for the load.
LARGE_PART = 0.5


def cores_needed(config: Configuration | None, servers: Iterable[Server]) -> float:
    """Return what entry hosts must have to carry all that the servers can answer.

    That is most when all slots are at warm work, which takes a part of the target.
    All hosts know the same servers, so they reckon alike, and the figure does not move
    with the load. It is 0 while nothing is known.

    Parameters
    ----------
    config : Configuration or None
        The operators' configuration, for the targets of its routes.
    servers : iterable of Server
        Known backend servers.

    Returns
    -------
    cores : float
        In seconds of an ordinary core a second.
    """
    if config is None:
        return 0.0
    targets = _mean_targets(config)
    requests_a_second = 0.0
    for server in servers:
        target_s = targets.get(server.entry.service, UNKNOWN_TARGET_S)
        requests_a_second += server.entry.slots / (WARM_TARGET_FRACTION * target_s)
    return requests_a_second * REQUEST_CPU_S * HEADROOM


def _mean_targets(config: Configuration) -> dict[str, float]:
    """Return the mean target of the routes to each service, in seconds."""
    found: dict[str, list[float]] = {}
    for route in config.routes:
        if route.target_s > 0:
            for part in route.parts:
                found.setdefault(part.service, []).append(route.target_s)
    return {service: sum(times) / len(times) for service, times in found.items()}


def active_hosts(hosts: Iterable[HostInfo], needed: float) -> list[HostInfo]:
    """Return the hosts that callers are named, of all regions.

    Parameters
    ----------
    hosts : iterable of HostInfo
        Hosts that may be named.
    needed : float
        Processor time that all regions together need, in cores.
    """
    by_region: dict[str, list[HostInfo]] = {}
    for info in hosts:
        by_region.setdefault(info.region, []).append(info)
    each = needed / max(1, len(by_region))
    return [info for found in by_region.values() for info in _of_region(found, each)]


def _of_region(hosts: list[HostInfo], needed: float) -> list[HostInfo]:
    """Return the first hosts, by size, that bear the load.

    Chosen at random, each of `n` hosts gets the same share; together they bear `n`
    times what the smallest of them does.
    """
    order = list(in_order(hosts))
    least = _spread_count(order)
    # The same sum in any order: hosts list each other differently and must agree.
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
            # Hosts of one size stay together, so an even fleet names all under load.
            smallest = info.cores
    return order


def in_order(hosts: list[HostInfo]) -> Iterator[HostInfo]:
    """Yield hosts, the largest first; those of one size by turns of their domains."""
    turns: Counter[tuple[float, str]] = Counter()
    keyed = []
    for info in sorted(hosts, key=lambda info: hash64("active", info.host_id)):
        turn = turns[info.cores, info.failure_domain]
        turns[info.cores, info.failure_domain] += 1
        keyed.append((-info.cores, turn, len(keyed), info))
    for *_, info in sorted(keyed, key=lambda item: item[:3]):
        yield info


def _spread_count(order: list[HostInfo]) -> int:
    """Return how many hosts at the head give each domain its least number."""
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
