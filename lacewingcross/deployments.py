"""The deployments of two users: hosts, pools, policies, shift caps and settings."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from .core import resources as res
from .settings import BackendSettings, HostSettings, KnownHost, PlatformSettings

PORT_BASE = 20_000


@dataclass(slots=True, frozen=True)
class ServiceShape:
    """One service: its workers in the whole deployment and the capacity of each.

    Attributes
    ----------
    workers : int
        Number of backend servers of the service, over all regions.
    slots, connections : int
        Requests that one backend server runs at the same time, and its limit on open
        connections.
    service_ms : float
        Mean service time of a request in milliseconds.
    deadline_ms : int
        Deadline of requests that name none, in milliseconds.
    cap_fraction, cap_window_s : float
        Shift cap of the service: the largest fraction of its traffic that may move in
        any window, and the length of the window in seconds.
    """

    name: str
    workers: int
    slots: int
    connections: int
    service_ms: float
    deadline_ms: int
    cap_fraction: float = 0.05
    cap_window_s: float = 10.0


@dataclass(slots=True, frozen=True)
class Deployment:
    """The regions, hosts and services of one user.

    Attributes
    ----------
    hosts : int
        Number of entry hosts.
    one_way_ms : float
        Network delay between two regions in one direction, in milliseconds. The layout
        does not use it.
    first_block : int
        First octet of the client addresses; the second octet is the position of the
        client's region, counted from 1.
    """

    name: str
    regions: tuple[str, ...]
    hosts: int
    services: tuple[ServiceShape, ...]
    one_way_ms: float
    first_block: int

    def failure_domains(self) -> list[tuple[str, str]]:
        """Return (region, failure domain), two in each region.

        The regions alternate in the list, so that even a few hosts or workers, assigned
        in this order, cover all regions.
        """
        return [
            (region, f"{region}-{num}") for num in (1, 2) for region in self.regions
        ]


GRUPO_VISITAS = Deployment(
    "grupo-visitas",
    ("centro", "norte", "sureste"),
    12,
    (
        ServiceShape("calendar", 25, 4, 400, 25.0, 2_000),
        ServiceShape("booking", 10, 3, 400, 60.0, 5_000),
        ServiceShape("permission", 10, 3, 400, 200.0, 600_000),
    ),
    20.0,
    10,
)
MIDLANDS_PADDLECRAFT = Deployment(
    "midlands-paddlecraft",
    ("severn", "trent", "avon"),
    9,
    (
        ServiceShape("listing", 15, 6, 330, 20.0, 2_000),
        ServiceShape("ledger", 10, 3, 330, 60.0, 5_000),
        ServiceShape("media", 10, 3, 330, 200.0, 600_000),
    ),
    35.0,
    20,
)
DEPLOYMENTS = {dep.name: dep for dep in (GRUPO_VISITAS, MIDLANDS_PADDLECRAFT)}


class Ports:
    """Allocate loopback addresses.

    Parameters
    ----------
    ports : iterator of int, optional
        Ports to use; by default the ports from `PORT_BASE` up to 64999.
    """

    __slots__ = ("_ports",)

    def __init__(self, ports: Iterator[int] | None = None) -> None:
        self._ports = ports or iter(range(PORT_BASE, 65_000))

    def take(self) -> str:
        """Return the next address."""
        return f"127.0.0.1:{next(self._ports)}"


@dataclass(slots=True)
class Layout:
    """All settings and resources of a deployment, including addresses."""

    platform: PlatformSettings
    hosts: list[HostSettings]
    backends: list[BackendSettings]
    resources: list[dict[str, object]]


def lay_out(
    deployment: Deployment,
    ports: Ports,
    *,
    hosts: int = 0,
    worker_divisor: int = 1,
    queue: int = 0,
    seed: int = 1,
    log_level: str = "INFO",
) -> Layout:
    """Return the settings of every process of a deployment, and its resources.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    ports : Ports
        Source of addresses.
    hosts : int, default=0
        Number of entry hosts; 0 for the number that `deployment` has.
    worker_divisor : int, default=1
        Divides the number of workers (backend servers) of each service, so that the
        deployment fits into one process. The result is rounded down, but each service
        keeps at least as many workers as the deployment has regions.
    queue : int, default=0
        Limit on requests that wait for a slot at each backend server.
    seed : int, default=1
        Seed of the random service times.
    log_level : str, default="INFO"
        Log level of every process.

    Returns
    -------
    layout : Layout
    """
    platform_address = ports.take()
    domains = deployment.failure_domains()
    host_list = [
        _host(num, *domains[num % len(domains)], platform_address, ports, log_level)
        for num in range(hosts or deployment.hosts)
    ]
    backends: list[BackendSettings] = []
    resources: list[dict[str, object]] = []
    for shape in deployment.services:
        workers = max(len(deployment.regions), shape.workers // worker_divisor)
        servers = []
        for num in range(workers):
            region, domain = domains[num % len(domains)]
            cfg = _backend(shape, num, ports, queue, seed, log_level)
            backends.append(cfg)
            servers.append(_server(cfg, region, domain))
        resources += _resources(deployment, shape, servers)
    peers = [cfg.peer for cfg in host_list]
    host_list = [
        replace(cfg, seeds=tuple(peer for peer in peers if peer != cfg.peer)[:3])
        for cfg in host_list
    ]
    known = tuple(
        KnownHost(cfg.host_id, cfg.region, cfg.failure_domain, cfg.entry, cfg.peer)
        for cfg in host_list
    )
    platform = PlatformSettings(platform_address, known, 1.0, log_level)
    return Layout(platform, host_list, backends, resources)


def _host(
    num: int, region: str, domain: str, platform: str, ports: Ports, log_level: str
) -> HostSettings:
    return HostSettings(
        host_id=f"host-{num + 1}",
        region=region,
        failure_domain=domain,
        entry=ports.take(),
        peer=ports.take(),
        operators=ports.take(),
        platform=platform,
        log_level=log_level,
        trust_client_address=True,
    )


def _backend(
    shape: ServiceShape, num: int, ports: Ports, queue: int, seed: int, log_level: str
) -> BackendSettings:
    return BackendSettings(
        server_id=f"{shape.name}-{num + 1}",
        listen=ports.take(),
        slots=shape.slots,
        connections=shape.connections,
        service_ms=shape.service_ms,
        queue=queue,
        seed=seed * 1000 + num,
        log_level=log_level,
    )


def _server(cfg: BackendSettings, region: str, domain: str) -> dict[str, object]:
    return {
        "id": cfg.server_id,
        "address": cfg.listen,
        "region": region,
        "failure_domain": domain,
        "slots": cfg.slots,
        "connections": cfg.connections,
    }


def _resources(
    deployment: Deployment, shape: ServiceShape, servers: list[dict[str, object]]
) -> list[dict[str, object]]:
    groups = [
        {
            "name": region,
            "blocks": [f"{deployment.first_block}.{num + 1}.0.0/16"],
            "weights": {region: 1.0},
        }
        for num, region in enumerate(deployment.regions)
    ]
    policy = {
        "groups": groups,
        "failover": list(deployment.regions),
        "deadline_ms": shape.deadline_ms,
        "lookup_ttl_s": 20.0,
    }
    cap = {"fraction": shape.cap_fraction, "window_s": shape.cap_window_s}
    return [
        {"kind": res.POOL, "name": shape.name, "spec": {"servers": servers}},
        {"kind": res.CAP, "name": shape.name, "spec": cap},
        {"kind": res.POLICY, "name": shape.name, "spec": policy},
    ]
