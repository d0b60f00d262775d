"""Events that a host's core processes; see `actions` for what it returns."""

from dataclasses import dataclass

from .attempts import Ending
from .config import Entry
from .membership import HostInfo
from .messages import Message


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed."""


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

    Attributes
    ----------
    version : int
        Version of the object in the platform; 0 if unknown.
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
    """All objects of a kind were read; `objects` is None if they could not be."""

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
    """The first byte of an attempt was written to a connection."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class HeadForwarded:
    """The head of the response was forwarded to the caller."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended."""

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
