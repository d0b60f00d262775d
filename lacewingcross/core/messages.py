"""Messages between entry hosts, as typed values that a codec can carry.

On the wire each is an array that starts with the tag of its class. A tag is not used
again for another message.
"""

from typing import Annotated

from msgspec import Meta, Struct

# Larger figures, infinity and what is no number are errors of the sender.
MOST = 1e15
Number = Annotated[float, Meta(ge=-MOST, le=MOST)]
# Requests that one message names at most; a server runs and queues some ten.
MAX_REQUESTS_PER_MESSAGE = 256
# Accounts that one message names at most; more go into further ones.
MAX_ACCOUNTS_PER_MESSAGE = 256
# Servers that one message names at most; more go into further ones.
MAX_SERVERS_PER_MESSAGE = 256
# A sum, a mask or milliseconds; larger ones are errors of the sender.
Sum = Annotated[int, Meta(ge=0, le=2**53)]
Fingerprint = Annotated[str, Meta(min_length=1, max_length=32)]
# A host: id, region, failure domain, entry address, peer address, cores.
HostFields = tuple[str, str, str, str, str, Number]


class _Message(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A message; its fields are exactly those of its class, in order."""


class Hello(_Message, tag=1):
    """First message on a connection: who speaks, and in which incarnation."""

    host_id: str
    incarnation: int
    protocol: int
    region: str
    failure_domain: str
    entry: str
    peer: str
    cores: Number = 1.0


class Heartbeat(_Message, tag=2):
    """Liveness, state and the highest configuration version of the sender.

    `behind` counts the buckets that its own cap still holds back; `leaving` gives
    the requests in flight at each leaving backend server that the sender keeps;
    `loads` gives in flight, queued and limit of each service and region it keeps.
    """

    state: str
    revision: int
    behind: int
    leaving: list[tuple[str, int]]
    loads: list[tuple[str, int, int, Number]]


class Members(_Message, tag=14):
    """Hosts known to the sender: id, region, failure domain, entry, peer, cores."""

    hosts: list[HostFields]


class ConfigPull(_Message, tag=3):
    """Ask for every configuration entry above a version."""

    above: int


class ConfigPush(_Message, tag=4):
    """Configuration entries: key, version and JSON text (empty when deleted)."""

    revision: int
    entries: list[tuple[str, int, str]]
    complete: bool


class Acquire(_Message, tag=5):
    """Ask a slot keeper for a permit."""

    service: str
    region: str
    request_id: str
    remaining_s: Number
    exclude: list[str]


class Grant(_Message, tag=6):
    """A permit: one slot of one backend server, leased."""

    service: str
    region: str
    request_id: str
    permit: int
    server_id: str
    lease_s: Number


class Denied(_Message, tag=7):
    """The keeper refuses a request, with the time to come back."""

    service: str
    region: str
    request_id: str
    reason: str
    retry_after_s: Number


class Release(_Message, tag=8):
    """A permit is given back, with what the attempt showed."""

    service: str
    region: str
    permit: int
    server_id: str
    result: str
    service_s: Number


class Reuse(_Message, tag=15):
    """A permit goes on to another waiting request of the same host."""

    service: str
    region: str
    permit: int
    server_id: str
    service_s: Number
    request_id: str


class Renew(_Message, tag=9):
    """Keep the leases of permits whose requests still run."""

    service: str
    region: str
    held: list[tuple[str, int]]


class Withdraw(_Message, tag=10):
    """The caller has gone: forget a queued request."""

    service: str
    region: str
    request_id: str


class HeldQuery(_Message, tag=11):
    """A new keeper asks which slots the receiver's requests occupy."""

    service: str
    region: str
    term: int


class HeldReport(_Message, tag=12):
    """Answer to a query: backend server and number of slots held there."""

    service: str
    region: str
    term: int
    held: list[tuple[str, int]]


class Claim(_Message, tag=16):
    """Ask the owner of a key's shard to claim an idempotency key."""

    service: str
    request_id: str
    key_hash: str
    claim: str


class ClaimEnded(_Message, tag=17):
    """Answer to a claim: ``ok``, ``conflict`` or ``unavailable``."""

    service: str
    request_id: str
    claim: str
    outcome: str


class Unclaim(_Message, tag=18):
    """Give a key back: its request is proved not to have run."""

    service: str
    key_hash: str
    claim: str


class RegionLoad(_Message, tag=13):
    """A keeper's figures on one region, for the planner."""

    service: str
    region: str
    in_flight: int
    queued: int
    limit: Number
    demand_rate: Number


class Alive(_Message, tag=19):
    """The sender lives, and what it has in flight at backend servers.

    `starting` says that it cannot serve yet, `store_unreachable` that the store does
    not answer it, and `subscribes` that it asks to be told what the receiver knows.
    `revisions` holds the store's revision up to which it misses nothing, for each kind
    in order. `counts` holds server ids and requests: if `whole`, of all servers, and
    one that is missing has none; else of those where that has changed since the last
    message. `handled` holds server ids and keys that they have handled for the first
    time since then. Both are told to active hosts only.
    """

    leaving: bool
    starting: bool
    store_unreachable: bool
    subscribes: bool
    revisions: list[int]
    counts: list[tuple[str, int]]
    handled: list[tuple[str, str]]
    whole: bool = True


class KnownHosts(_Message, tag=22):
    """Hosts that the sender knows to live, in place of what it told before.

    If `active`, all active hosts, as told to a host that stands by; else the hosts that
    speak to the sender, as told to an active one. Fields of a host as in `Members`;
    `starting` holds the ids of those that cannot serve yet.
    """

    active: bool
    hosts: list[HostFields]
    starting: list[str]


class StoreChanges(_Message, tag=20):
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


class StorePull(_Message, tag=21):
    """Ask for everything of one kind that changed after a revision."""

    kind: int
    above: int


class ServerEnded(_Message, tag=23):
    """A run of a backend server has ended; `requests` are fingerprints of those there.

    Told again when more requests are known. `born_ms` tells the runs of a server apart.
    """

    server_id: str
    born_ms: int
    requests: Annotated[list[Fingerprint], Meta(max_length=MAX_REQUESTS_PER_MESSAGE)]


class QuotaLease(_Message, tag=25):
    """The sender lends its shares of quotas, of accounts that the receiver keeps.

    `key` names the sender's view of the holders, `live` holds those that it sees;
    0 lends nothing. `sent_ms` is the sender's clock, `echo_ms` the receiver's as the
    sender heard it last: the lease runs from then.
    """

    key: str
    live: Sum
    sent_ms: Sum
    echo_ms: Sum


class QuotaCharges(_Message, tag=26):
    """What the sender runs for accounts that the receiver keeps.

    Account, and the sums charged, returned and paid since the sender started.
    """

    items: Annotated[
        list[tuple[str, Sum, Sum, Sum]], Meta(max_length=MAX_ACCOUNTS_PER_MESSAGE)
    ]


class QuotaReceipts(_Message, tag=27):
    """What of it is paid: account, returned, paid, and seconds until the next is."""

    items: Annotated[
        list[tuple[str, Sum, Sum, Number]], Meta(max_length=MAX_ACCOUNTS_PER_MESSAGE)
    ]


class RequestAnswered(_Message, tag=24):
    """A request under which servers had ended was answered by one."""

    request: Fingerprint


class ServerLimits(_Message, tag=28):
    """What the sender has heard of servers that name a limit, or do so no longer.

    Server id, `born_ms`, requests a second (negative for no limit), and how long ago
    that was known to hold, in seconds.
    """

    items: Annotated[
        list[tuple[str, Sum, Number, Number]], Meta(max_length=MAX_SERVERS_PER_MESSAGE)
    ]


class ServersLeaving(_Message, tag=29):
    """Runs of servers that have said to the sender that they leave: id, `born_ms`."""

    servers: Annotated[list[tuple[str, Sum]], Meta(max_length=MAX_SERVERS_PER_MESSAGE)]


QuotaMessage = QuotaLease | QuotaCharges | QuotaReceipts

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
    | ServerEnded
    | RequestAnswered
    | ServerLimits
    | ServersLeaving
    | QuotaMessage
)
