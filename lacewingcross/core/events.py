"""Events that a host's core processes; see `actions` for what it returns."""

from dataclasses import dataclass

from .attempts import Ending
from .config import Entry
from .membership import HostInfo
from .messages import Message


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; drivers send this event at short intervals."""


@dataclass(slots=True, frozen=True)
class PeerConnected:
    """Another host connected and sent its `messages.Hello`."""

    info: HostInfo
    incarnation: int


@dataclass(slots=True, frozen=True)
class PeerBroken:
    """The connection to another host broke, or could not be established."""

    host_id: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another host arrived."""

    host_id: str
    message: Message


@dataclass(slots=True, frozen=True)
class ConfigSeen:
    """The platform returned configuration entries, complete up to `revision`."""

    entries: list[Entry]
    revision: int


@dataclass(slots=True, frozen=True)
class HostsListed:
    """The platform returned its list of hosts and the servers listed as leaving."""

    hosts: list[HostInfo]
    leaving_servers: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class WriteEnded:
    """A conditional write ended; `outcome` is ``ok``, ``conflict`` or ``unavailable``.

    After ``unavailable`` the write may or may not have taken effect.

    Attributes
    ----------
    version : int
        Version of the object in the platform; 0 if unknown.
    text : str
        Not used; always empty.
    """

    call_id: int
    outcome: str
    version: int = 0
    text: str = ""


@dataclass(slots=True, frozen=True)
class StoredSpec:
    """A stored object: its name, its version and the spec that its writer stored."""

    name: str
    version: int
    spec: dict[str, object]


@dataclass(slots=True, frozen=True)
class ObjectsLoaded:
    """Reading all objects of a kind ended; `objects` is None if it failed."""

    call_id: int
    objects: list[StoredSpec] | None


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """The head of a caller's request was read.

    Attributes
    ----------
    remaining_s : float
        Time to the deadline in seconds; 0 when the caller gave none.
    caller : str
        Stable identity of the caller, which determines its bucket.
    address : int or None
        Client address as a number, which determines the client group.
    key : str
        Idempotency key, empty if none.
    repeatable : bool or None
        Whether running the request twice does no harm; None if the method decides.
    """

    request_id: str
    service: str
    method: str
    caller: str
    address: int | None
    remaining_s: float = 0.0
    key: str = ""
    repeatable: bool | None = None


@dataclass(slots=True, frozen=True)
class RequestCancelled:
    """The caller of a request disconnected."""

    request_id: str


@dataclass(slots=True, frozen=True)
class FirstByteWritten:
    """The first byte of attempt number `attempt` is about to be written."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class HeadForwarded:
    """The response head of attempt number `attempt` is about to be forwarded."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """Attempt number `attempt` of a request ended.

    Attributes
    ----------
    service_s : float
        Time in seconds since the attempt started, counted as its service time.
    status : int
        HTTP status of the response; 0 if there was none.
    body_replayable : bool
        Whether the whole request body read so far can be sent again.
    """

    request_id: str
    attempt: int
    ending: Ending
    service_s: float = 0.0
    status: int = 0
    body_replayable: bool = True


@dataclass(slots=True, frozen=True)
class ServerProbed:
    """A health probe of a backend server ended.

    `draining` is whether the server announced that it is draining.
    """

    service: str
    server_id: str
    reachable: bool
    draining: bool


@dataclass(slots=True, frozen=True)
class ShutdownAsked:
    """The host was asked to stop: it leaves look-ups and finishes its requests."""


Event = (
    Tick
    | PeerConnected
    | PeerBroken
    | PeerMessage
    | ConfigSeen
    | HostsListed
    | WriteEnded
    | ObjectsLoaded
    | RequestArrived
    | RequestCancelled
    | FirstByteWritten
    | HeadForwarded
    | AttemptEnded
    | ServerProbed
    | ShutdownAsked
)
