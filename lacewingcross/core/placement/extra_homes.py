"""Gives an object one more warm server while its warm servers are too busy for it.

Designed for load over few objects with 15 in 100 servers at a time 2.5 times as slow. A
few objects then have a queue at all servers that are warm for them (that have handled
them recently), while other servers of the service have free slots. Each request for
such an object is late in any case. So one of them goes to a server that is cold for the
object, and those that follow find one more warm server.

The server is in the region of the key's first home, so that the load of a region does
not change where its requests run.
"""

from collections.abc import Iterable, Sequence
from itertools import islice

from ..backend_state import Server
from ..overload.service_load import ServiceLoad
from ..paths.path import Path
from .placement_types import Choice

# Name of such a server in the log.
EXTRA_HOME = "extra"
# An object gets another server only while fewer requests than this are in flight for
# each slot of the service: above it, a cold run delays requests that could be in time.
MAX_OCCUPANCY = 0.75
# Largest part of the server's slots that may be taken, so that the run does not wait.
MAX_TAKEN = 0.5
# Number of usable servers in the key's order that are looked at, including its homes.
# It is below `placement.WARM_CANDIDATES`, so the key finds the server again.
MAX_SEARCHED = 8


def is_needed(best: Choice, available: Iterable[Choice], load: ServiceLoad) -> bool:
    """Return whether the object of a request should get one more warm server.

    A request that goes to a cold server makes one more server warm anyway.

    Parameters
    ----------
    best : Choice
        Best of the available servers.
    available : iterable of Choice
        The servers that have room for the request.
    load : ServiceLoad
        Load of the service.
    """
    target_s = best.placement_request.target_s
    if not best.estimate.warm or load.occupancy >= MAX_OCCUPANCY:
        return False
    return all(item.estimate.total_s > target_s for item in available)


def find(
    servers: Iterable[tuple[Server, Path]],
    candidates: Sequence[Choice],
    domain: str,
    now: float,
) -> tuple[Server, Path] | None:
    """Return the server that becomes warm for a key, and the path to it.

    That is the first one in the region of the key's first home that has enough free
    slots, or the first one of these in the host's own failure domain.

    Parameters
    ----------
    servers : iterable of tuple
        Usable servers in the key's order, each with the path on which it is reached.
    candidates : sequence of Choice
        Candidates of the key, its first home first.
    domain : str
        Failure domain of this host, empty for none.
    now : float
        Monotonic time in seconds.
    """
    region = candidates[0].server.region
    known = {choice.server.entry.server_id for choice in candidates}
    found = [
        (server, path)
        for server, path in islice(servers, MAX_SEARCHED)
        if server.region == region
        and server.entry.server_id not in known
        and server.request_count(now) <= MAX_TAKEN * server.entry.slots
    ]
    near = [item for item in found if item[0].entry.failure_domain == domain]
    return next(iter(near or found), None)
