"""Messages between entry hosts, as typed values that a codec can carry.

On the wire, each message is an array that starts with the tag of its class. The tag of
a removed message is never reused for another message.
"""

from typing import Annotated

from msgspec import Meta, Struct

from .store_position import MAX_NUMBER, StorePosition

# Largest magnitude of a float in a message. Larger values, infinity and NaN are errors
# of the sender.
MAX_FLOAT = 1e15
BoundedFloat = Annotated[float, Meta(ge=-MAX_FLOAT, le=MAX_FLOAT)]
# Maximum number of fingerprints in a `ServerEnded`. A backend server runs and queues
# only about ten requests at a time.
MAX_REQUESTS_PER_MESSAGE = 256
# Maximum number of accounts in a `QuotaCharges` or `QuotaReceipts`. A sender with more
# accounts sends further messages.
MAX_ACCOUNTS_PER_MESSAGE = 256
# Maximum number of servers in a `ServerLimits`, `ServersLeaving`, `ServerPaces` or
# `SilentServers`. A sender with more servers sends further messages, of paces with the
# next gossip.
MAX_SERVERS_PER_MESSAGE = 256
# Maximum number of failure domains in a `LostDomains`.
MAX_DOMAINS_PER_MESSAGE = 1024
# Maximum number of header fields in an `IndirectRequest` or `IndirectHead`.
MAX_HEADER_FIELDS = 256
# A running total, a bit mask or a time in milliseconds. Larger values are errors of the
# sender.
UnsignedInt = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Fingerprint = Annotated[str, Meta(min_length=1, max_length=32)]
HeaderFields = Annotated[list[tuple[bytes, bytes]], Meta(max_length=MAX_HEADER_FIELDS)]
# An entry host: id, region, failure domain, entry address, peer address, cores.
HostFields = tuple[str, str, str, str, str, BoundedFloat]


class _Message(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A message that carries exactly the fields of its class, in order."""


class Hello(_Message, tag=1):
    """First message on a connection: the sending host and its incarnation.

    `entry` is the host's address for callers, `peer` its address for other hosts.
    """

    host_id: str
    incarnation: int
    protocol: int
    region: str
    failure_domain: str
    entry: str
    peer: str
    cores: BoundedFloat = 1.0


class Heartbeat(_Message, tag=2):
    """Liveness, state and the highest configuration version of the sender.

    `behind` is the number of buckets that the sender's shift cap still keeps from
    moving to their planned region. `leaving` holds, for each leaving backend server
    whose slots the sender keeps, ``service/server`` and the number of permits in use.
    `loads` holds, for each ``service/region`` whose slots the sender keeps, that name,
    the numbers of permits in use and of queued requests, and the limit in slots.
    """

    state: str
    revision: int
    behind: int
    leaving: list[tuple[str, int]]
    loads: list[tuple[str, int, int, BoundedFloat]]


class Members(_Message, tag=14):
    """Hosts known to the sender, each with the fields of `HostFields`."""

    hosts: list[HostFields]


class ConfigPull(_Message, tag=3):
    """Requests every configuration entry whose version is higher than `above`."""

    above: int


class ConfigPush(_Message, tag=4):
    """Configuration entries: key, version and JSON text (empty when deleted).

    If `complete`, these are all entries up to `revision` that the receiver requested.
    """

    revision: int
    entries: list[tuple[str, int, str]]
    complete: bool


class Acquire(_Message, tag=5):
    """Requests a permit from a slot keeper.

    `remaining_s` is the time to the request's deadline. `exclude` holds the ids of the
    servers where the request failed or could not start before.
    """

    service: str
    region: str
    request_id: str
    remaining_s: BoundedFloat
    exclude: list[str]


class Grant(_Message, tag=6):
    """Grants a permit: the lease of one slot of one backend server.

    `permit` is the id of the permit, and `lease_s` the length of the lease.
    """

    service: str
    region: str
    request_id: str
    permit: int
    server_id: str
    lease_s: BoundedFloat


class Denied(_Message, tag=7):
    """Refuses a permit, with the time after which the caller may retry."""

    service: str
    region: str
    request_id: str
    reason: str
    retry_after_s: BoundedFloat


class Release(_Message, tag=8):
    """Returns a permit, with the result and the service time of the attempt."""

    service: str
    region: str
    permit: int
    server_id: str
    result: str
    service_s: BoundedFloat


class Reuse(_Message, tag=15):
    """Passes a permit on to another waiting request of the same host.

    `service_s` is the service time of the request that has used the permit so far, and
    `request_id` the request that uses the permit from now on.
    """

    service: str
    region: str
    permit: int
    server_id: str
    service_s: BoundedFloat
    request_id: str


class Renew(_Message, tag=9):
    """Renews the leases of permits whose requests still run.

    `held` holds pairs of a server id and a permit id.
    """

    service: str
    region: str
    held: list[tuple[str, int]]


class Withdraw(_Message, tag=10):
    """Removes a queued request whose caller has disconnected."""

    service: str
    region: str
    request_id: str


class HeldQuery(_Message, tag=11):
    """Asks, as a new keeper, which slots the receiver's requests occupy.

    `term` identifies the new keeper.
    """

    service: str
    region: str
    term: int


class HeldReport(_Message, tag=12):
    """Answers a `HeldQuery`: pairs of a server id and the id of a permit in use.

    `term` is copied from the query.
    """

    service: str
    region: str
    term: int
    held: list[tuple[str, int]]


class Claim(_Message, tag=16):
    """Asks the owner of an idempotency key's shard to claim the key.

    `claim` is the id of the claim, the same each time the request sends it.
    """

    service: str
    request_id: str
    key_hash: str
    claim: str


class ClaimEnded(_Message, tag=17):
    """Answers a `Claim`; `outcome` is ``ok``, ``conflict`` or ``unavailable``."""

    service: str
    request_id: str
    claim: str
    outcome: str


class Unclaim(_Message, tag=18):
    """Gives up claim `claim` of a key whose request is proved not to have run."""

    service: str
    key_hash: str
    claim: str


class RegionLoad(_Message, tag=13):
    """Load of one service in one region, sent by its slot keeper to the planner.

    `in_flight` is the number of permits in use, `queued` the number of queued requests,
    `limit` the number of usable slots, and `demand_rate` the decaying mean of the
    requests that arrive per second.
    """

    service: str
    region: str
    in_flight: int
    queued: int
    limit: BoundedFloat
    demand_rate: BoundedFloat


class Alive(_Message, tag=19):
    """Heartbeat with the sender's state and its requests in flight at backend servers.

    `starting` means that the sender cannot serve yet, `store_unreachable` that the
    store does not answer the sender, and `subscribes` that the sender requests updates
    from the receiver. `positions` holds, for each `replica.Kind` in order, the store's
    position up to which the sender has every change, and `config_version` the version
    of the configuration in force at the sender, 0 for none. `counts` holds server ids
    and numbers of requests in flight. If `whole`, it covers all servers, and a server
    that is missing has no requests; otherwise it covers the servers whose number has
    changed since the last message. `handled` holds pairs of a server id and a key that
    the server has handled for the first time since the last message. Only active hosts
    are sent `counts` and `handled`.
    """

    leaving: bool
    starting: bool
    store_unreachable: bool
    subscribes: bool
    positions: list[StorePosition]
    config_version: UnsignedInt
    counts: list[tuple[str, int]]
    handled: list[tuple[str, str]]
    whole: bool = True


class KnownHosts(_Message, tag=22):
    """Hosts that the sender considers alive; replaces its previous message.

    If `active`, `hosts` are all active hosts; this form is sent to standby hosts. Else
    `hosts` are those that send messages to the sender; this form is sent to active
    hosts. `starting` holds the ids of the hosts that cannot serve yet.
    """

    active: bool
    hosts: list[HostFields]
    starting: list[str]


class StoreChanges(_Message, tag=20):
    """All objects of one kind that changed in the store between two positions.

    Each document is its name, its position and its JSON text, which is empty for a
    deleted object. If `whole`, the documents are all that exist. `fresh` means that the
    changes have just come from the store; the answer to a `StorePull` may be as old as
    the copy of the host that answers. `hops` counts the hosts that passed the message
    on.
    """

    kind: int
    since: StorePosition
    as_of: StorePosition
    documents: list[tuple[str, StorePosition, str]]
    whole: bool
    fresh: bool
    hops: int


class StorePull(_Message, tag=21):
    """Requests all objects of one kind that changed after a position."""

    kind: int
    above: StorePosition


class VersionPull(_Message, tag=30):
    """Requests the configuration in force if its version is higher than `above`."""

    above: UnsignedInt


class VersionPush(_Message, tag=31):
    """The configuration in force at the sender, as the JSON text of its object.

    Sent to a host that has every change of the store and yet an older version: the
    store was restored, and the operator has not written the newer version again.
    """

    text: str


class ServerEnded(_Message, tag=23):
    """Reports the crash of a backend server and the requests that ran on it.

    `requests` holds the fingerprints of these requests; the message is sent again when
    more of them are known. `born_ms` distinguishes the runs of a server. `age_s` is the
    time since the last of these requests lost its connection to the server, in seconds.
    """

    server_id: str
    born_ms: int
    requests: Annotated[list[Fingerprint], Meta(max_length=MAX_REQUESTS_PER_MESSAGE)]
    age_s: Annotated[float, Meta(ge=0, le=MAX_FLOAT)] = 0.0


class QuotaLease(_Message, tag=25):
    """Lends the sender's quota shares to the receiver, for the accounts it keeps.

    `key` identifies the sender's view of the quota holders. `live` is a bit mask of the
    holders that the sender can reach; 0 lends nothing. `sent_ms` is the sender's clock,
    `echo_ms` the receiver's clock in the last lease that the sender received from the
    receiver. The lease runs from `echo_ms`.
    """

    key: str
    live: UnsignedInt
    sent_ms: UnsignedInt
    echo_ms: UnsignedInt


class QuotaCharges(_Message, tag=26):
    """Charges of the sender to the accounts that the receiver keeps.

    One charge is one request that the sender has run, or will run when it is paid. Each
    item is the account and the totals of the charges made, returned and paid since the
    sender started.
    """

    items: Annotated[
        list[tuple[str, UnsignedInt, UnsignedInt, UnsignedInt]],
        Meta(max_length=MAX_ACCOUNTS_PER_MESSAGE),
    ]


class QuotaReceipts(_Message, tag=27):
    """Acknowledges paid charges of the receiver.

    Each item is the account, the totals of the charges returned and paid, and the
    seconds until the keeper pays the next charge.
    """

    items: Annotated[
        list[tuple[str, UnsignedInt, UnsignedInt, BoundedFloat]],
        Meta(max_length=MAX_ACCOUNTS_PER_MESSAGE),
    ]


class RequestAnswered(_Message, tag=24):
    """Reports that a server answered a request that had been running during crashes.

    `crashes` holds the id and `born_ms` of the server runs whose crashes no longer
    count against the request; `born_ms` is 0 if only the id is known. `host_id` is the
    host that got the answer.
    """

    request: Fingerprint
    host_id: str
    crashes: Annotated[
        list[tuple[str, UnsignedInt]], Meta(max_length=MAX_SERVERS_PER_MESSAGE)
    ]


class ServerLimits(_Message, tag=28):
    """Rate limits that backend servers advertised to the sender, or withdrew.

    Each item is the server id, `born_ms` of its run, the limit in requests a second
    (negative for no limit), and how many seconds ago the limit was last known to hold.
    """

    items: Annotated[
        list[tuple[str, UnsignedInt, BoundedFloat, BoundedFloat]],
        Meta(max_length=MAX_SERVERS_PER_MESSAGE),
    ]


class ServersLeaving(_Message, tag=29):
    """Server runs that announced to the sender that they are shutting down.

    Each item is the server id and `born_ms` of the run.
    """

    servers: Annotated[
        list[tuple[str, UnsignedInt]], Meta(max_length=MAX_SERVERS_PER_MESSAGE)
    ]


class ServerPaces(_Message, tag=40):
    """Present paces that backend servers reported to the sender.

    Each item is the server id, `born_ms` of its run, the time that work takes there in
    percent of the usual time, and how many seconds ago the server reported it.
    """

    items: Annotated[
        list[tuple[str, UnsignedInt, UnsignedInt, BoundedFloat]],
        Meta(max_length=MAX_SERVERS_PER_MESSAGE),
    ]


class SilentServers(_Message, tag=41):
    """Server runs that answer no host by the finding of the sender, or answer again.

    Each item is the server id, `born_ms` of the run, for how many seconds it has been
    silent or how many seconds ago it answered, and whether it answers again.
    """

    items: Annotated[
        list[tuple[str, UnsignedInt, BoundedFloat, bool]],
        Meta(max_length=MAX_SERVERS_PER_MESSAGE),
    ]


class LostDomains(_Message, tag=32):
    """Failure domains whose servers the sender does not reach itself.

    Replaces its previous message. The sender may still reach them through other hosts.
    """

    domains: Annotated[list[str], Meta(max_length=MAX_DOMAINS_PER_MESSAGE)]


class ServerCheck(_Message, tag=33):
    """Asks the receiver to check whether a run of a server accepts connections."""

    server_id: str
    born_ms: UnsignedInt


class ServerCheckResult(_Message, tag=34):
    """Answers a `ServerCheck`; `finding` is a value of `paths.findings.Finding`."""

    finding: str


class IndirectRequest(_Message, tag=35):
    """Asks the receiver to send one request to a run of a server, on a direct path.

    `headers` are those for the server, with the time to the deadline. With
    `repeatable`, the request may run twice. `body` is the part of the body that is at
    hand; unless `complete`, the rest follows in `IndirectBody` messages when the
    receiver has asked for it with `IndirectContinue`.
    """

    server_id: str
    born_ms: UnsignedInt
    method: str
    target: str
    headers: HeaderFields
    repeatable: bool
    body: bytes
    complete: bool


class IndirectContinue(_Message, tag=39):
    """Asks for the rest of a request's body: what was at hand is sent to the server.

    Until then, a refusal ends the exchange and nothing else follows.
    """


class IndirectBody(_Message, tag=36):
    """A further part of a body, of the request or of the response."""

    data: bytes
    complete: bool


class IndirectHead(_Message, tag=37):
    """The head of the server's response."""

    status: Annotated[int, Meta(ge=100, le=599)]
    headers: HeaderFields


class IndirectFailure(_Message, tag=38):
    """Ends an exchange without a complete response.

    Unless `sent`, no byte of the request has reached the server. `server_lost` means
    that the connection to the server broke.
    """

    reason: str
    sent: bool
    server_lost: bool


# The messages of a stream on which a host sends requests through another one.
IndirectMessage = (
    ServerCheck
    | ServerCheckResult
    | IndirectRequest
    | IndirectContinue
    | IndirectBody
    | IndirectHead
    | IndirectFailure
)
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
    | VersionPull
    | VersionPush
    | KnownHosts
    | ServerEnded
    | RequestAnswered
    | ServerLimits
    | ServersLeaving
    | ServerPaces
    | LostDomains
    | SilentServers
    | IndirectMessage
    | QuotaMessage
)
