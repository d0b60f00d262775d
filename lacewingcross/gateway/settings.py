"""Settings of an entry host on the users' platform."""

from dataclasses import dataclass, field

from ..core.policy import Policy
from ..core.quota import QuotaBound


@dataclass(slots=True, frozen=True)
class Bounds:
    """Guarantees to the users, from the settings; all decisions must keep them.

    Durations are in seconds. The defaults are those of the smallest deployment.
    """

    drain_s: float = 2.5
    grace_s: float = 6.0
    config_apply_s: float = 2.5
    evacuation_s: float = 5.0
    lookup_ttl_max_s: float = 5.0
    stable_window_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 64.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    max_shift: float = 0.15
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0

    @property
    def quota_bound(self) -> QuotaBound:
        """Return the bound that all hosts together keep for each client account."""
        return QuotaBound(self.quota_window_s, self.quota_excess, self.quota_slack)


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of one entry host; everything else comes from the platform.

    `peer` is the address that other hosts are given. `peer_listen` is the address where
    the host listens for them if it differs, for example behind address translation.
    `cores` is the processor time that the host gets, in seconds of an ordinary core a
    second. `policy` names mechanisms that an experiment has switched off.
    """

    host_id: str
    region: str
    failure_domain: str
    region_of: dict[str, str]
    entry: str
    readiness: str
    peer: str
    directory: str
    platform: str
    peer_listen: str = ""
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    max_descriptors: int = 4096
    cores: float = 1.0
    memory_mb: int = 256
    heartbeat_s: float = 1.5
    metrics_port: int = 9464
    log_level: str = "INFO"
    bounds: Bounds = field(default_factory=Bounds)
    policy: Policy = field(default_factory=Policy)
