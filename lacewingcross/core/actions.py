"""Actions that a host's core returns for its driver to carry out."""

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
    """Send an attempt of a request to a backend server."""

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
    """Send the caller the final response of this host.

    Attributes
    ----------
    status : int
        HTTP status.
    outcome : {"not-run", "unknown"}
        Whether it is proved that the request did not run.
    reason : str
        Stable reason code, also the name of a counter.
    retry_after_s : float
        Time in seconds after which the caller may retry; 0 if a retry makes no sense.
    """

    request_id: str
    status: int
    outcome: str
    reason: str
    retry_after_s: float = 0.0


@dataclass(slots=True, frozen=True)
class AbortAnswer:
    """Abort a response that has begun, so that it cannot be taken for complete."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop an attempt, close its connection and report `ending` for it."""

    request_id: str
    attempt: int
    ending: Ending


@dataclass(slots=True, frozen=True)
class CreateObject:
    """Create an object in the platform; fails if the object exists."""

    call_id: int
    key: str
    spec: object


@dataclass(slots=True, frozen=True)
class UpdateObject:
    """Replace an object in the platform if the stored version is still `if_version`."""

    call_id: int
    key: str
    spec: object
    if_version: int


@dataclass(slots=True, frozen=True)
class DeleteObject:
    """Delete an object that is no longer needed; no event reports the result."""

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
    """Increment the counter `name`."""

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
