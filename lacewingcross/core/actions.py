"""What a host's core asks its driver to do."""

from dataclasses import dataclass

from .attempts import Ending
from .messages import Message

NOT_RUN = "not-run"
UNKNOWN = "unknown"
ANSWERED = "answered"


@dataclass(slots=True, frozen=True)
class SendPeer:
    """Send a message to another host."""

    host_id: str
    message: Message


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to a backend server."""

    request_id: str
    attempt: int
    server_id: str
    address: str
    remaining_s: float
    start_within_s: float
    cross_region: bool
    repeatable: bool


@dataclass(slots=True, frozen=True)
class Finish:
    """Give the caller its final answer now.

    Attributes
    ----------
    status : int
        HTTP status.
    outcome : {"not-run", "unknown"}
        Whether it is proved that the request did not run.
    reason : str
        Stable reason code, also the name of a counter.
    retry_after_s : float
        When to come back; 0 when coming back makes no sense.
    """

    request_id: str
    status: int
    outcome: str
    reason: str
    retry_after_s: float = 0.0


@dataclass(slots=True, frozen=True)
class AbortAnswer:
    """Break off an answer that was already begun, so that it cannot pass as whole."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop an attempt, close its connection and report `ending`."""

    request_id: str
    attempt: int
    ending: Ending


@dataclass(slots=True, frozen=True)
class CreateObject:
    """Create an object in the platform; fails if it exists."""

    call_id: int
    key: str
    spec: object


@dataclass(slots=True, frozen=True)
class UpdateObject:
    """Replace an object in the platform if its version is still `if_version`."""

    call_id: int
    key: str
    spec: object
    if_version: int


@dataclass(slots=True, frozen=True)
class DeleteObject:
    """Delete an object that nobody needs any more; nobody waits for the end."""

    key: str


@dataclass(slots=True, frozen=True)
class LoadObjects:
    """Read all objects of a kind."""

    call_id: int
    kind: str


@dataclass(slots=True, frozen=True)
class Log:
    """Write an event to the log."""

    name: str
    pairs: dict[str, object]


@dataclass(slots=True, frozen=True)
class Count:
    """Count something."""

    name: str


Action = (
    SendPeer
    | StartAttempt
    | Finish
    | AbortAnswer
    | CancelAttempt
    | CreateObject
    | UpdateObject
    | DeleteObject
    | LoadObjects
    | Log
    | Count
)
