"""Routes of the configuration in force, and the choice of a request's route."""

from collections import defaultdict
from dataclasses import dataclass, field

from .accounts import Accounts


@dataclass(slots=True, frozen=True)
class Part:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """One route as operators declared it; durations in seconds."""

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

    `cold_rate` is how many requests per second a server tolerates while it is cold,
    that is, just after its start.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate: float


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on what a caller may send, and how long it may take."""

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
    _by_host: dict[str, list[Route]] = field(init=False)

    def __post_init__(self) -> None:
        grouped = defaultdict(list)
        for route in self.config.routes:
            grouped[route.host_name].append(route)
        for routes in grouped.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host = dict(grouped)

    def match(self, host_name: str, path: str) -> Route | None:
        """Return the route of a request, or None when no route matches."""
        for route in self._by_host.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def home_regions(self, host_name: str) -> frozenset[str]:
        """Return the regions to which all bound routes of a host name may go.

        Empty if no route of that host name is bound to regions, or if those that are
        have no region in common.
        """
        bound = [r.home_regions for r in self._by_host.get(host_name, ())]
        bound = [regions for regions in bound if regions]
        return frozenset.intersection(*bound) if bound else frozenset()
