"""Selects which hosts exchange heartbeats, so that each has few peers at any size."""

from collections import defaultdict
from collections.abc import Iterable

from .rendezvous import ranked

# With this many other hosts or more, a fleet counts as large.
FULL_MESH_MAX = 64
# Heartbeat intervals in seconds: between all hosts of a small fleet, within a failure
# domain, and between relays.
SMALL_FLEET_INTERVAL_S = 0.4
DOMAIN_INTERVAL_S = 1.0
RELAY_INTERVAL_S = 5.0
# Number of relays of each failure domain and each region: hosts that exchange
# heartbeats with the relays of other failure domains or regions. The relays of a
# standby host are other hosts, see `peer_selection.RELAYS`.
RELAYS = 2


class Place:
    """The location of a host, which alone decides on its neighbours."""

    __slots__ = ("failure_domain", "host_id", "region")

    def __init__(self, host_id: str, region: str, failure_domain: str) -> None:
        self.host_id = host_id
        self.region = region
        self.failure_domain = failure_domain


def relays(key: str, host_ids: Iterable[str]) -> list[str]:
    """Return the hosts that represent a failure domain or a region to other hosts.

    Parameters
    ----------
    key : str
        Name of the failure domain or region.
    host_ids : iterable of str
        Ids of all its hosts.
    """
    return ranked(f"relay/{key}", host_ids)[:RELAYS]


def neighbours(own: Place, places: Iterable[Place]) -> dict[str, float]:
    """Return the hosts to send heartbeats to, and the heartbeat intervals in seconds.

    In a small fleet, all hosts exchange heartbeats with each other. In a large fleet, a
    host exchanges heartbeats with all hosts of its own failure domain. In addition, the
    relays of the failure domains of a region exchange heartbeats with each other, and
    so do the relays of all regions. The rule is symmetric: two hosts derive the same
    interval between them from the same list.

    Parameters
    ----------
    own : Place
        This host.
    places : iterable of Place
        All hosts, with or without this one.

    Returns
    -------
    intervals : dict of str to float
        Seconds between heartbeats for each neighbour.
    """
    others = [place for place in places if place.host_id != own.host_id]
    if len(others) < FULL_MESH_MAX:
        return {place.host_id: SMALL_FLEET_INTERVAL_S for place in others}
    intervals_s = {
        place.host_id: DOMAIN_INTERVAL_S
        for place in others
        if place.failure_domain == own.failure_domain
    }
    hosts_by_domain: dict[tuple[str, str], list[str]] = defaultdict(list)
    hosts_by_region: dict[str, list[str]] = defaultdict(list)
    for place in [own, *others]:
        hosts_by_domain[place.region, place.failure_domain].append(place.host_id)
        hosts_by_region[place.region].append(place.host_id)
    if own.host_id in relays(own.failure_domain, hosts_by_domain[_domain(own)]):
        for (region, domain), host_ids in hosts_by_domain.items():
            if region == own.region:
                _add_relays(intervals_s, own, relays(domain, host_ids))
    if own.host_id in relays(own.region, hosts_by_region[own.region]):
        for region, host_ids in hosts_by_region.items():
            _add_relays(intervals_s, own, relays(region, host_ids))
    return intervals_s


def _domain(place: Place) -> tuple[str, str]:
    return place.region, place.failure_domain


def _add_relays(intervals_s: dict[str, float], own: Place, host_ids: list[str]) -> None:
    for host_id in host_ids:
        if host_id != own.host_id:
            intervals_s.setdefault(host_id, RELAY_INTERVAL_S)
