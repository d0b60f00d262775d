"""State shared by the components of a host's core: configuration, members and plans."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from .config import Config
from .membership import HostInfo, Membership
from .neighbours import RELAYS, relays
from .plan import bucket_of
from .randomness import RandomSource
from .rendezvous import owner
from .resources import BackendPool, BackendServer
from .slew import EffectivePlan


@dataclass(slots=True)
class View:
    """State that every component of the core reads; one component writes each field.

    Attributes
    ----------
    incarnation : int
        Identifies this run of the process.
    plans : dict of str to EffectivePlan
        For each service, the regions of the buckets on this host now, which follow the
        plan in `config`.
    announced_leaving, listed_leaving : set of str
        Ids of the backend servers that announced by a health probe that they are
        draining, and of those that the platform lists as leaving.
    """

    members: Membership
    incarnation: int
    rng: RandomSource
    config: Config = field(default_factory=Config)
    plans: dict[str, EffectivePlan] = field(default_factory=dict)
    announced_leaving: set[str] = field(default_factory=set)
    listed_leaving: frozenset[str] = frozenset()

    @property
    def own(self) -> HostInfo:
        """Return this host."""
        return self.members.own

    def keeper_of(self, service: str, region: str, now: float) -> str:
        """Return the host that should keep the slots of a service in a region.

        This is a live host of the region. If the region has no live host, it is a
        leaving host of the region, and if it has no leaving host either, a live host of
        another region, so that backend servers of a region without entry hosts can
        still be used.
        """
        key = f"keeper/{service}/{region}"
        known = self.members.owner_cache(now).get(key)
        return known or self._choose_owner(
            key, self._keeper_candidates(region, now), now
        )

    def _keeper_candidates(self, region: str, now: float) -> list[HostInfo]:
        candidates = self.members.live(now, region)
        if not candidates:
            leaving = self.members.leaving(now)
            candidates = [info for info in leaving if info.region == region]
        return candidates or self.members.live(now)

    def _choose_owner(self, key: str, candidates: list[HostInfo], now: float) -> str:
        """Choose the owner of `key` by rendezvous hashing and cache it.

        Without candidates the owner is this host. The cache is emptied when the live or
        leaving hosts change.
        """
        chosen = owner(key, [info.host_id for info in candidates])
        result = chosen or self.own.host_id
        self.members.owner_cache(now)[key] = result
        return result

    def owner_among_live(self, key: str, now: float) -> str:
        """Return the live host that owns `key`, or this host if none is live."""
        known = self.members.owner_cache(now).get(key)
        return known or self._choose_owner(key, self.members.live(now), now)

    def planner_of(self, service: str, now: float) -> str:
        """Return the host that should plan a service."""
        return self.owner_among_live(f"planner/{service}", now)

    def reporter_of(self, failure_domain: str, now: float) -> str:
        """Return the host that reports the state of a failure domain."""
        key = f"reporter/{failure_domain}"
        known = self.members.owner_cache(now).get(key)
        if known:
            return known
        return self._choose_owner(
            key, self.members.live_in_domain(failure_domain, now), now
        )

    def should_watch(self, now: float) -> bool:
        """Return whether this host watches the platform itself.

        The platform charges for each waiting watch, so in a large failure domain only
        its relays (`neighbours.RELAYS` hosts) watch the platform; the other hosts pull
        changes from peers. In a smaller failure domain all hosts watch it.
        """
        domain = self.own.failure_domain
        live = self.members.live_in_domain(domain, now)
        chosen = relays(domain, [info.host_id for info in live])
        return self.own.host_id in chosen or len(chosen) < RELAYS

    def buckets_behind(self) -> int:
        """Return how many buckets have another region here than in the plan.

        The number is the sum over all services.
        """
        return sum(plan.behind() for plan in self.plans.values())

    def region_of(self, service: str, address: int | None, caller: str) -> str | None:
        """Return the region that a caller's bucket has on this host now.

        It may lag behind the plan. The result is None without a plan or a client group.
        """
        group = self.config.group_of(service, address)
        plan = self.plans.get(service)
        if plan is None or group is None:
            return None
        return plan.region(group, bucket_of(service, caller))

    def leaving_servers(self, service: str) -> set[str]:
        """Return the ids of the backend servers that are leaving.

        These are the drained servers of the service, and the servers of any service
        that are listed as leaving or announced that they are draining.
        """
        drained = self.config.leaving_servers(service)
        return drained | self.announced_leaving | set(self.listed_leaving)

    def region_servers(self, service: str, region: str) -> Iterator[BackendServer]:
        """Yield the declared backend servers of a service in a region."""
        pool = self.config.pools.get(service)
        if pool is not None:
            yield from pool.by_region.get(region, ())

    def server(self, service: str, server_id: str) -> BackendServer | None:
        """Return a declared backend server, or None."""
        pool: BackendPool | None = self.config.pools.get(service)
        return pool.by_id.get(server_id) if pool is not None else None
