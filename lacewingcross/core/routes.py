"""Routes of the configuration in force, and the choice of a request's route."""

from collections import defaultdict
from dataclasses import dataclass, field

from .accounts import Accounts


@dataclass(slots=True, frozen=True)
class Part:
    """One service of a route.

    The service gets a share of the route's requests in proportion to its `weight`.
    """

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """One route as operators declared it; durations in seconds.

    `host_name` and `prefix` select the requests of the route. `target_s` is the time
    within which operators want a response. The lower `priority` is, the more urgent are
    the requests. `affinity` says whether the affinity key of a request is used.
    `home_regions` are the regions to which the requests are bound, empty for none.
    """

    name: str
    host_name: str
    prefix: str
    repeatable: bool
    parts: tuple[Part, ...]
    timeout_s: float
    target_s: float
    max_attempts: int
    priority: int
    affinity: bool
    home_regions: frozenset[str]
    # Whether callers need no API key.
    public: bool = False


@dataclass(slots=True, frozen=True)
class Service:
    """What operators declare about a service.

    `max_connections` is the limit on open connections to one server, from all hosts
    together. A server is cold for a while after its start, and for `cold_start_s`
    seconds after an evacuation of its failure domain ends. While it is cold, it
    tolerates `cold_rate` requests per second from all hosts together.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate: float


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on what a caller may send (bytes) and how long it may take (seconds)."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: Accounts = field(default_factory=Accounts)


@dataclass(slots=True)
class RouteTable:
    """Finds the route of a request by its host name, then by the longest prefix."""

    config: Configuration
    _by_host_name: dict[str, list[Route]] = field(init=False)

    def __post_init__(self) -> None:
        grouped = defaultdict(list)
        for route in self.config.routes:
            grouped[route.host_name].append(route)
        for routes in grouped.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host_name = dict(grouped)

    def match(self, host_name: str, path: str) -> Route | None:
        """Return the route of a request, or None when no route matches."""
        for route in self._by_host_name.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def home_regions(self, host_name: str) -> frozenset[str]:
        """Return the regions that all bound routes of a host name have in common.

        A route is bound if it has home regions. The result is empty if no route of the
        host name is bound, or if the bound routes have no region in common.
        """
        region_sets = [r.home_regions for r in self._by_host_name.get(host_name, ())]
        region_sets = [regions for regions in region_sets if regions]
        return frozenset.intersection(*region_sets) if region_sets else frozenset()
