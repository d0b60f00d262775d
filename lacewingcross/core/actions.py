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
    """Send an attempt of a request to a backend server.

    Attributes
    ----------
    attempt : int
        Number of the attempt within the request, from 1.
    address : str
        Address of the server.
    remaining_s : float
        Time to the request's deadline in seconds.
    start_within_s : float
        If more than this many seconds have passed when a connection is ready, the
        attempt ends as not sent, because the permit's lease may be over.
    cross_region : bool
        Whether the server is in another region than this host.
    repeatable : bool
        Whether running the request twice does no harm.
    """

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
        Stable reason code, also the last part of a counter's name.
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
    """Stop attempt number `attempt` and close its connection.

    The driver then reports the end of the attempt to the core by an
    `events.AttemptEnded` with `ending`.
    """

    request_id: str
    attempt: int
    ending: Ending


@dataclass(slots=True, frozen=True)
class CreateObject:
    """Create an object in the platform; conflicts if the object exists.

    The result is reported by an `events.WriteEnded` with the same `call_id`.
    """

    call_id: int
    key: str
    spec: object


@dataclass(slots=True, frozen=True)
class UpdateObject:
    """Replace an object in the platform if the stored version is still `if_version`.

    The result is reported by an `events.WriteEnded` with the same `call_id`.
    """

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
    """Read all objects of a kind, for an `events.ObjectsLoaded` with the `call_id`."""

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
