"""Look-ups: which entry hosts a caller should use, and for how long."""

from dataclasses import dataclass

from .config import Config
from .membership import HostInfo, Membership
from .plan import bucket_of
from .randomness import RandomSource
from .rendezvous import ranked
from .resources import SteeringPolicy
from .slew import EffectivePlan

# Maximum number of entry hosts in an answer.
MAX_HOSTS = 4
# Largest deviation of an answer's lifetime from the policy's lifetime, as a fraction of
# the policy's lifetime.
MAX_JITTER = 0.3


@dataclass(slots=True, frozen=True)
class LookupAnswer:
    """Entry hosts in order of preference, and for how long to use them.

    `region` is empty if the plan gives none, `ttl_s` is the lifetime of the answer in
    seconds, and `revision` is that of the configuration.
    """

    service: str
    region: str
    hosts: tuple[HostInfo, ...]
    ttl_s: float
    revision: int


@dataclass(slots=True, frozen=True)
class LookupRefusal:
    """HTTP status and reason of a look-up that cannot be answered.

    `retry_after_s` is the time in seconds after which the caller may retry; 0 if a
    retry makes no sense.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0


def answer(
    config: Config,
    members: Membership,
    plans: dict[str, EffectivePlan],
    service: str,
    address: int | None,
    caller: str,
    rng: RandomSource,
    now: float,
) -> LookupAnswer | LookupRefusal:
    """Return the entry hosts for a caller.

    The region comes from the same plan as for requests, so that a host of this region
    does not send the request on to another region. If the region has fewer than
    `MAX_HOSTS` live hosts, or the plan gives none, hosts of other regions complete the
    answer. The lifetime is jittered, so that the refreshes of callers do not
    synchronise. The look-up is refused while the configuration is incomplete, for an
    unknown service, and without a live host.
    """
    if not config.complete:
        return LookupRefusal(503, "no-config", rng.uniform(0.2, 0.6))
    policy = config.policies.get(service)
    if policy is None:
        return LookupRefusal(404, "unknown-service")
    group = config.group_of(service, address)
    bucket = bucket_of(service, caller)
    plan = plans.get(service)
    region = plan.region(group, bucket) if plan else None
    live = members.live(now)
    if not live:
        return LookupRefusal(503, "no-hosts", rng.uniform(0.5, 1.5))
    key = f"{service}/{caller}"
    in_region = members.live(now, region) if region else []
    chosen = _ranked_hosts(key, in_region)
    if len(chosen) < MAX_HOSTS:
        chosen += _ranked_hosts(key, [info for info in live if info.region != region])
    hosts = tuple(chosen[:MAX_HOSTS])
    ttl_s = lifetime(policy, rng)
    return LookupAnswer(service, region or "", hosts, ttl_s, config.revision)


def lifetime(policy: SteeringPolicy, rng: RandomSource) -> float:
    """Return the jittered lifetime of a look-up's answer, in seconds."""
    return policy.lookup_ttl_s * rng.uniform(1.0 - MAX_JITTER, 1.0 + MAX_JITTER)


def _ranked_hosts(key: str, hosts: list[HostInfo]) -> list[HostInfo]:
    by_id = {info.host_id: info for info in hosts}
    return [by_id[host_id] for host_id in ranked(key, by_id)]
