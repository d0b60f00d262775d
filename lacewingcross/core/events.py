"""What can happen to a host's core: events in, actions out."""

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
    """A host said hello."""

    info: HostInfo
    incarnation: int


@dataclass(slots=True, frozen=True)
class PeerBroken:
    """The connection to a host broke, or none could be made."""

    host_id: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from a host."""

    host_id: str
    message: Message


@dataclass(slots=True, frozen=True)
class ConfigSeen:
    """Entries from the platform, complete up to `revision`."""

    entries: list[Entry]
    revision: int


@dataclass(slots=True, frozen=True)
class HostsListed:
    """The platform's list of hosts."""

    hosts: list[HostInfo]
    leaving_servers: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class WriteEnded:
    """A conditional write ended: ``ok``, ``conflict`` or ``unavailable``."""

    call_id: int
    outcome: str
    version: int = 0
    text: str = ""


@dataclass(slots=True, frozen=True)
class StoredSpec:
    """One stored object: name, version and what its writer stored."""

    name: str
    version: int
    spec: dict[str, object]


@dataclass(slots=True, frozen=True)
class ObjectsLoaded:
    """All objects of a kind; None when they could not be read."""

    call_id: int
    objects: list[StoredSpec] | None


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A caller's request, its head read.

    Attributes
    ----------
    remaining_s : float
        Time to the deadline in seconds; 0 when the caller gave none.
    caller : str
        Stable identity of the caller, for its bucket.
    address : int or None
        Client address as a number, for its group.
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
    """The caller has gone."""

    request_id: str


@dataclass(slots=True, frozen=True)
class FirstByteWritten:
    """The first byte of an attempt was handed to a connection."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class HeadForwarded:
    """The head of the answer went to the caller."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt is over."""

    request_id: str
    attempt: int
    ending: Ending
    service_s: float = 0.0
    status: int = 0
    body_replayable: bool = True


@dataclass(slots=True, frozen=True)
class ServerProbed:
    """A health probe ended: could it be reached, and does it say it is draining."""

    service: str
    server_id: str
    reachable: bool
    draining: bool


@dataclass(slots=True, frozen=True)
class ShutdownAsked:
    """The host is to stop: leave look-ups, finish what it has."""


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
