"""Settings of an entry host on the users' platform."""

from dataclasses import dataclass, field

from ..core.policy import Policy
from ..core.quotas.bound import QuotaBound
from ..core.retry_budgets import RetryAllowance


@dataclass(slots=True, frozen=True)
class Bounds:
    """Guarantees to the users, from the settings; all decisions must keep them.

    Durations are in seconds. The defaults are those of the smallest deployment. The
    fields `drain_s`, `config_apply_s`, `evacuation_s`, `lookup_ttl_max_s`,
    `stable_window_s` and `max_shift` are loaded from the settings and then not read by
    the host.

    Attributes
    ----------
    grace_s : float
        Time from the request to shut down until the platform kills the process.
    retry_ratio, retry_extra, retry_window_s : float
        Allowance for each service on all hosts together, see `RetryAllowance`.
    cold_over, cold_slack : float
        All hosts of a cold server's region together may send it ``cold_rate *
        cold_over + cold_slack`` requests in any second. `cold_rate` is the rate that a
        cold server of its service tolerates, from the configuration.
    quota_window_s, quota_excess, quota_slack : float
        Bound on the requests of each client account, see `QuotaBound`.
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
    def retry_allowance(self) -> RetryAllowance:
        """Return the retries that all hosts together may send for each service."""
        return RetryAllowance(self.retry_ratio, self.retry_extra, self.retry_window_s)

    @property
    def quota_bound(self) -> QuotaBound:
        """Return the bound on the requests of each client account, see `QuotaBound`.

        It holds for the requests that all hosts together run in a window.
        """
        return QuotaBound(self.quota_window_s, self.quota_excess, self.quota_slack)


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of one entry host; everything else comes from the platform.

    `entry`, `readiness` and `directory` are the addresses where the host listens for
    callers' requests, readiness checks and look-ups. `platform` is the address of the
    store. `seeds` are peer addresses of hosts that are greeted while no other host is
    known.

    `region_of` maps each failure domain to its region. `peer` is the address that other
    hosts are given. `peer_listen` is the address where the host listens for them if it
    differs, for example behind address translation. `first_start` says that the whole
    system starts for the first time. `cores` is the processor time that the host gets,
    in seconds of an ordinary core a second. `policy` names mechanisms that an
    experiment has switched off. `memory_mb` and `heartbeat_s` (seconds) are loaded and
    then not read by the host.
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
