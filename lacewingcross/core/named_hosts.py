"""The entry hosts that the answer to a caller's look-up names."""

from collections.abc import Iterator

from .membership import HostInfo
from .rendezvous import ranked
from .roster import Roster

# Maximum number of hosts in an answer; callers treat a longer answer as a failure.
MAX_NAMED_HOSTS = 64


def addresses_for(
    roster: Roster,
    region: str,
    home_regions: frozenset[str],
    now: float,
    failure_domain: str = "",
) -> list[str]:
    """Return the entry addresses for callers of a region; never an empty list.

    Callers are sent to the active hosts of their own region. If none of these is alive,
    callers are sent to the regions to which their requests are bound, or to any region
    if the requests are not bound. If no active host at all can serve, all live hosts
    are considered instead, and if none of these is in such a region, the answer is this
    host. If there are more than `MAX_NAMED_HOSTS` hosts, each failure domain of callers
    gets a different selection of them, and always the same one.

    Parameters
    ----------
    roster : Roster
        The known hosts.
    region : str
        Region of the callers.
    home_regions : frozenset of str
        Regions to which the callers' requests are bound; empty if they are not bound.
    now : float
        Monotonic time in seconds.
    failure_domain : str
        Failure domain of the callers.
    """
    serving = list(_serving(roster, now)) or roster.live(now)
    in_home_regions = [info for info in serving if info.region in home_regions]
    elsewhere = in_home_regions if home_regions else serving
    here = [info for info in serving if info.region == region]
    chosen = here or elsewhere or [roster.own]
    return [info.entry for info in _limit_hosts(chosen, failure_domain)]


def _serving(roster: Roster, now: float) -> Iterator[HostInfo]:
    """Yield the active hosts that are alive and serve callers."""
    if roster.is_active and not roster.out_of_service:
        yield roster.own
    live = roster.live_ids(now)
    starting = roster.reported_starting(now)
    for host_id, entry in roster.entries.items():
        if host_id not in roster.active or host_id not in live:
            continue
        if entry.leaving or entry.starting:
            continue
        if entry.live(now) or host_id not in starting:
            yield entry.info


def _limit_hosts(hosts: list[HostInfo], failure_domain: str) -> list[HostInfo]:
    if len(hosts) <= MAX_NAMED_HOSTS:
        return hosts
    chosen = set(
        ranked(failure_domain, (info.host_id for info in hosts))[:MAX_NAMED_HOSTS]
    )
    return [info for info in hosts if info.host_id in chosen]
