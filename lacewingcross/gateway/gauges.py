"""Sets the gauges of one entry host."""

from heapq import nlargest

from ..core.replica import Kind
from .context import Gateway
from .quota_admission import MAX_COUNTED_ACCOUNTS


def measure_host(gateway: Gateway, now: float) -> None:
    """Set the gauges of what a host knows: hosts, servers, requests and the store.

    ``hosts.known`` and ``hosts.live`` include the host itself. ``store.age_s`` is the
    age of this host's copy of the store, in seconds. ``store.as_of_era.`` and
    ``store.as_of.`` are the era and the revision up to which the copy of a kind of
    objects is complete. ``servers.withheld`` is the number of servers that had left
    before the store was restored, and that its copy shows as ready. ``paths.`` counts
    the failure domains and single servers that this host does not reach itself, and its
    requests that are in flight through other hosts. ``servers.pace.`` with the id of a
    server is the factor on its usual times that is expected now, if it is not 1.
    """
    placement = gateway.steering.placement
    metrics = gateway.metrics
    metrics.set_gauge("hosts.known", 1 + len(gateway.roster.entries))
    metrics.set_gauge("hosts.live", len(gateway.roster.live(now)))
    metrics.set_gauge("hosts.active", len(gateway.roster.active))
    metrics.set_gauge("servers.known", len(placement.known.servers))
    quarantine = gateway.crashes.ledger.quarantine
    metrics.set_gauge("requests.quarantined", len(quarantine))
    gateway.quota_admission.measure()
    gateway.quota_admission.measure_shares()
    metrics.set_gauge("store.age_s", gateway.steering.store_age(now))
    metrics.set_gauge("servers.withheld", len(gateway.steering.restored_entries))
    for kind in Kind:
        as_of = gateway.steering.replica.as_of(kind)
        metrics.set_gauge(f"store.as_of.{kind.name.lower()}", as_of.revision)
        metrics.set_gauge(f"store.as_of_era.{kind.name.lower()}", as_of.era)
    reachability = gateway.paths.reachability
    metrics.set_gauge("paths.lost-domains", len(reachability.lost_domains))
    metrics.set_gauge("paths.lost-servers", len(reachability.lost_paths))
    metrics.set_gauge("paths.in-flight", gateway.paths.intermediaries.in_flight)
    _measure_loads(gateway, now)
    _measure_signals(gateway, now)
    _measure_returns(gateway, now)
    metrics.replace_gauges("servers.pace.", placement.paces.in_force(now))


def _measure_loads(gateway: Gateway, now: float) -> None:
    """Set the gauges of the load of services, as far as this host knows it.

    ``services.load.`` is the number of requests in flight for each slot, and
    ``services.room.`` the number of free slots. Names end with the service.
    ``accounts.share.`` is an account's part of the service time that this host has
    lately sent to servers, 0 to 1, for the accounts with the largest parts.
    """
    placement = gateway.steering.placement
    names = {item.entry.service for item in placement.known.servers.values()}
    loads = {name: placement.loads.of(name, now) for name in names}
    gateway.metrics.replace_gauges(
        "services.load.", {name: load.occupancy for name, load in loads.items()}
    )
    gateway.metrics.replace_gauges(
        "services.room.", {name: load.free_slots for name, load in loads.items()}
    )
    shares = placement.admission.shares.by_account(now).items()
    largest = nlargest(MAX_COUNTED_ACCOUNTS, shares, key=lambda item: item[1])
    gateway.metrics.replace_gauges("accounts.share.", dict(largest))


def _measure_signals(gateway: Gateway, now: float) -> None:
    """Set the gauges of the limits, departures and back-offs of servers.

    ``servers.passed-over.*`` counts how often a server did not allow a request because
    of its rate limit, its announced shutdown (``leaving``) or its back-off (``rest``).
    The other names end with the id of a server. ``servers.rest-s.`` is the time that is
    left of its back-off, in seconds. ``servers.leaving.`` is 1 for a known server that
    has announced its shutdown. ``servers.limit.`` is the rate that the server accepts
    from all hosts together, and ``servers.limit-here.`` the rate that this host may
    send, in requests per second.
    """
    gate = gateway.steering.placement.gate
    metrics = gateway.metrics
    metrics.set_gauge("servers.passed-over.limit", gate.rates.skipped)
    metrics.set_gauge("servers.passed-over.leaving", gate.departures.skipped)
    metrics.set_gauge("servers.passed-over.rest", gate.backoffs.skipped)
    metrics.replace_gauges("servers.rest-s.", gate.backoffs.in_force(now))
    known = gateway.steering.placement.known.servers
    leaving = {server_id: 1.0 for server_id, _ in gate.departures if server_id in known}
    metrics.replace_gauges("servers.leaving.", leaving)
    limits = {server[0]: limit for server, limit in gate.rates.in_force()}
    metrics.replace_gauges(
        "servers.limit.", {name: limit.rate for name, limit in limits.items()}
    )
    metrics.replace_gauges(
        "servers.limit-here.",
        {name: limit.share_per_s for name, limit in limits.items()},
    )


def _measure_returns(gateway: Gateway, now: float) -> None:
    """Count the return times of refused callers and set the gauges of those to come."""
    returns = gateway.steering.placement.returns
    for name, number in returns.take_counts().items():
        gateway.metrics.count(name, number)
    gateway.metrics.replace_gauges("returns.pending.", returns.pending(now))
