"""What all parts of a host's core share: configuration, members, plans in force."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from .config import Config
from .membership import HostInfo, Membership
from .neighbours import RELAYS, relays
from .rendezvous import owner
from .resources import BackendPool, BackendServer
from .slew import EffectivePlan


@dataclass(slots=True)
class View:
    """State read by every part; each field has one part that writes it."""

    members: Membership
    incarnation: int
    rng: random.Random
    config: Config = field(default_factory=Config)
    plans: dict[str, EffectivePlan] = field(default_factory=dict)
    signalled: set[str] = field(default_factory=set)
    listed_leaving: frozenset[str] = frozenset()

    @property
    def own(self) -> HostInfo:
        """Return this host."""
        return self.members.own

    def keeper_of(self, service: str, region: str, now: float) -> str:
        """Return the host that should keep the slots of a service in a region.

        A live host of the region; if it has none, a leaving one; if it has none at
        all, a live host of another region, so that backend servers whose entry
        hosts have all gone can still be used.
        """
        candidates = self.members.live(now, region)
        if not candidates:
            leaving = self.members.leaving(now)
            candidates = [info for info in leaving if info.region == region]
        if not candidates:
            candidates = self.members.live(now) or [self.own]
        key = f"keeper/{service}/{region}"
        return owner(key, [info.host_id for info in candidates]) or self.own.host_id

    def planner_of(self, service: str, now: float) -> str:
        """Return the host that should plan a service."""
        live = self.members.live(now) or [self.own]
        key = f"planner/{service}"
        return owner(key, [info.host_id for info in live]) or self.own.host_id

    def reporter_of(self, failure_domain: str, now: float) -> str | None:
        """Return the host that reports the state of a failure domain."""
        live = self.members.live(now)
        ids = [info.host_id for info in live if info.failure_domain == failure_domain]
        return owner(f"reporter/{failure_domain}", ids)

    def should_watch(self, now: float) -> bool:
        """Tell whether this host watches the platform itself.

        A waiting watch counts as a call, so in a large failure domain only a few
        hosts watch and the others pull from peers; in a small one all do.
        """
        own = self.own
        live = self.members.live(now)
        ids = [
            info.host_id for info in live if info.failure_domain == own.failure_domain
        ]
        chosen = relays(own.failure_domain, ids)
        return own.host_id in chosen or len(chosen) < RELAYS

    def leaving_servers(self, service: str) -> set[str]:
        """Return servers that leave by drain, by the list or by their own word."""
        drained = self.config.leaving_servers(service)
        return drained | self.signalled | set(self.listed_leaving)

    def region_servers(self, service: str, region: str) -> Iterator[BackendServer]:
        """Yield the declared backend servers of a service in a region."""
        pool = self.config.pools.get(service)
        if pool is not None:
            yield from pool.by_region.get(region, ())

    def server(self, service: str, server_id: str) -> BackendServer | None:
        """Return a declared backend server."""
        pool: BackendPool | None = self.config.pools.get(service)
        return pool.by_id.get(server_id) if pool is not None else None
