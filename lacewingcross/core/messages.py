"""Messages between entry hosts, as typed values that a codec can carry."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Hello:
    """First message on a connection: who speaks, and in which incarnation."""

    host_id: str
    incarnation: int
    protocol: int
    region: str
    failure_domain: str
    entry: str
    peer: str
    cores: float = 1.0


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Liveness, state and the highest configuration version of the sender.

    `behind` counts the buckets that its own cap still holds back; `leaving` gives
    the requests in flight at each leaving backend server that the sender keeps;
    `loads` gives in flight, queued and limit of each service and region it keeps.
    """

    state: str
    revision: int
    behind: int
    leaving: list[tuple[str, int]]
    loads: list[tuple[str, int, int, float]]


@dataclass(slots=True, frozen=True)
class Members:
    """Hosts known to the sender: id, region, failure domain, entry, peer, cores."""

    hosts: list[tuple[str, str, str, str, str, float]]


@dataclass(slots=True, frozen=True)
class ConfigPull:
    """Ask for every configuration entry above a version."""

    above: int


@dataclass(slots=True, frozen=True)
class ConfigPush:
    """Configuration entries: key, version and JSON text (empty when deleted)."""

    revision: int
    entries: list[tuple[str, int, str]]
    complete: bool


@dataclass(slots=True, frozen=True)
class Acquire:
    """Ask a slot keeper for a permit."""

    service: str
    region: str
    request_id: str
    remaining_s: float
    exclude: list[str]


@dataclass(slots=True, frozen=True)
class Grant:
    """A permit: one slot of one backend server, leased."""

    service: str
    region: str
    request_id: str
    permit: int
    server_id: str
    lease_s: float


@dataclass(slots=True, frozen=True)
class Denied:
    """The keeper refuses a request, with the time to come back."""

    service: str
    region: str
    request_id: str
    reason: str
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class Release:
    """A permit is given back, with what the attempt showed."""

    service: str
    region: str
    permit: int
    server_id: str
    result: str
    service_s: float


@dataclass(slots=True, frozen=True)
class Reuse:
    """A permit goes on to another waiting request of the same host."""

    service: str
    region: str
    permit: int
    server_id: str
    service_s: float
    request_id: str


@dataclass(slots=True, frozen=True)
class Renew:
    """Keep the leases of permits whose requests still run."""

    service: str
    region: str
    held: list[tuple[str, int]]


@dataclass(slots=True, frozen=True)
class Withdraw:
    """The caller has gone: forget a queued request."""

    service: str
    region: str
    request_id: str


@dataclass(slots=True, frozen=True)
class HeldQuery:
    """A new keeper asks which slots the receiver's requests occupy."""

    service: str
    region: str
    term: int


@dataclass(slots=True, frozen=True)
class HeldReport:
    """Answer to a query: backend server and number of slots held there."""

    service: str
    region: str
    term: int
    held: list[tuple[str, int]]


@dataclass(slots=True, frozen=True)
class Claim:
    """Ask the owner of a key's shard to claim an idempotency key."""

    service: str
    request_id: str
    key_hash: str
    claim: str


@dataclass(slots=True, frozen=True)
class ClaimEnded:
    """Answer to a claim: ``ok``, ``conflict`` or ``unavailable``."""

    service: str
    request_id: str
    claim: str
    outcome: str


@dataclass(slots=True, frozen=True)
class Unclaim:
    """Give a key back: its request is proved not to have run."""

    service: str
    key_hash: str
    claim: str


@dataclass(slots=True, frozen=True)
class RegionLoad:
    """A keeper's figures on one region, for the planner."""

    service: str
    region: str
    in_flight: int
    queued: int
    limit: float
    demand_rate: float


@dataclass(slots=True, frozen=True)
class Alive:
    """The sender lives, and what it has in flight at backend servers.

    `starting` says that it cannot serve yet, `turned_away` that the store does not
    answer it, and `wants` that it asks to be told what the receiver knows. `revisions`
    holds the store's revision up to which it misses nothing, for each kind in order.
    `counts` holds server ids and requests, a server that is missing has none; `handled`
    holds server ids and keys that they have handled for the first time since the last
    message. Both are told to active hosts only.
    """

    leaving: bool
    starting: bool
    turned_away: bool
    wants: bool
    revisions: list[int]
    counts: list[tuple[str, int]]
    handled: list[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class KnownHosts:
    """Hosts that the sender knows to live, in place of what it told before.

    If `active`, all active hosts, as told to a host that stands by; else the hosts that
    speak to the sender, as told to an active one. Fields of a host as in `Members`;
    `starting` holds the ids of those that cannot serve yet.
    """

    active: bool
    hosts: list[tuple[str, str, str, str, str, float]]
    starting: list[str]


@dataclass(slots=True, frozen=True)
class StoreChanges:
    """Everything of one kind that changed in the store between two revisions.

    Each document is its name, its revision and its JSON text, empty when deleted. If
    `whole`, the documents are all that exist. `fresh` tells that the sender has just
    had this from the store; an answer to a pull may be as old as its sender's copy.
    `hops` counts the hosts that passed it on.
    """

    kind: int
    since: int
    as_of: int
    documents: list[tuple[str, int, str]]
    whole: bool
    fresh: bool
    hops: int


@dataclass(slots=True, frozen=True)
class StorePull:
    """Ask for everything of one kind that changed after a revision."""

    kind: int
    above: int


Message = (
    Hello
    | Heartbeat
    | ConfigPull
    | ConfigPush
    | Acquire
    | Grant
    | Denied
    | Release
    | Renew
    | Reuse
    | Withdraw
    | HeldQuery
    | HeldReport
    | RegionLoad
    | Members
    | Claim
    | ClaimEnded
    | Unclaim
    | Alive
    | StoreChanges
    | StorePull
    | KnownHosts
)
