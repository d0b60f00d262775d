"""Input and results of the choice of a backend server."""

from dataclasses import dataclass
from math import inf

from ..backend_state import Server
from ..paths.path import Path
from .completion import Estimate


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """The properties of a request that decide on its backend server.

    `key` is the affinity key, empty for none. `kind` names the sort of work (the
    route), and `target_s` is the time within which operators want a response. `regions`
    may serve the request, empty for all. One more `urgent` request may wait at a server
    whose slots are all taken than other requests. `tried` are the ids of servers to
    which the request was sent before. With `indirect_only`, the request goes through
    another host, since it could not connect to servers from this one.

    The lower `rank` is, the more urgent is the request. `account` is the name of its
    client account, empty for none. `first_asked_at` is when the caller has probably
    sent its first try, see `TimeBudgets`, and `deadline_at` is when it stops waiting.
    Both are monotonic, in seconds; infinity stands for an unknown time.
    """

    service: str
    key: str
    regions: frozenset[str]
    urgent: bool
    tried: frozenset[str] = frozenset()
    target_s: float = 0.0
    kind: str = ""
    indirect_only: bool = False
    rank: int = 0
    account: str = ""
    first_asked_at: float = inf
    deadline_at: float = inf

    def elapsed_s(self, now: float) -> float:
        """Return the time since the caller's first try, in seconds; 0 if unknown."""
        return max(0.0, now - self.first_asked_at)

    def time_left_s(self, now: float) -> float:
        """Return the time until the caller stops waiting, in seconds."""
        return max(0.0, self.deadline_at - now)


@dataclass(slots=True, frozen=True)
class Choice:
    """The server that gets the request, and the times expected there (`estimate`).

    `object_name` names the request's object, empty for a request without a key.
    `request_count` is how many requests run or wait at the server by
    `Server.request_count`. `why` is the name of the server's place in the key's order,
    see `placement.HOME_NAMES`, or `EXTRA_HOME` or `placement.REGION_SHARE`.
    `path` is how the attempt reaches the server. `preferred_region` is the region of
    the server that is expected to answer first; it is empty if the request does not
    count for the shares of regions.
    """

    server: Server
    why: str
    placement_request: PlacementRequest
    object_name: str
    estimate: Estimate
    request_count: int
    path: Path = Path.DIRECT
    preferred_region: str = ""


@dataclass(slots=True, frozen=True)
class Refusal:
    """No server may take the request now; the caller may retry in `retry_after_s`."""

    reason: str
    retry_after_s: float
