"""Input and results of the choice of a backend server."""

from dataclasses import dataclass

from .backend_state import Server
from .completion import Estimate


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """The properties of a request that decide on its backend server.

    `kind` names the sort of work (the route); `urgent` requests may also wait at a
    server whose slots are all taken; `regions` are those that may serve the request,
    empty for all; `tried` are servers that the request was sent to before.
    """

    service: str
    key: str
    regions: frozenset[str]
    urgent: bool
    tried: frozenset[str] = frozenset()
    target_s: float = 0.0
    kind: str = ""


@dataclass(slots=True, frozen=True)
class Choice:
    """The server that gets the request, and the times expected there (`estimate`).

    `object_name` names the request's object, `busy` is how many requests were believed
    to be at the server, and `why` says which of the key's servers it is.
    """

    server: Server
    why: str
    placement_request: PlacementRequest
    object_name: str
    estimate: Estimate
    busy: int


@dataclass(slots=True, frozen=True)
class Refusal:
    """No server may take the request now; the caller may retry in `retry_after_s`."""

    reason: str
    retry_after_s: float
