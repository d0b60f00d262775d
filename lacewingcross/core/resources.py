"""Validated types of declared resources, and their format in the platform's store."""

import ipaddress
import json
from array import array
from dataclasses import dataclass, field
from itertools import islice
from operator import ge

from ..checks import Reader
from ..errors import ResourceError
from .blocks import NO_GROUP, BlockIndex, parse_address, unpack

POLICY = "SteeringPolicy"
CAP = "ShiftCap"
POOL = "BackendPool"
DRAIN = "Drain"
BLOCKS = "BlockTable"
PLAN = "Plan"
OPERATOR_KINDS = (POLICY, CAP, POOL, DRAIN, BLOCKS)
RESERVED_NAMES = ("v1",)
NON_REPEATABLE = ("POST", "PATCH")
DRAIN_TARGETS = ("server", "region", "failure_domain", "host")

DEFAULT_DEADLINE_MS = 10_000
DEFAULT_LOOKUP_TTL_S = 30.0
DEFAULT_CAP_FRACTION = 0.05
DEFAULT_CAP_WINDOW_S = 10.0


@dataclass(slots=True, frozen=True)
class ClientGroup:
    """Client address blocks whose requests are divided among regions by weight."""

    name: str
    blocks: tuple[str, ...]
    weights: dict[str, float]


@dataclass(slots=True, frozen=True)
class SteeringPolicy:
    """The regions for each client group of a service, and the handling of requests.

    `failover` are regions to move to, in order of preference. `non_repeatable` are the
    methods whose requests may run only once. `keyed` says whether idempotency keys of
    such requests are claimed. `block_table` names a table of client blocks, see
    `BlockTable`, that takes precedence over the groups' own blocks; empty means none.
    """

    service: str
    groups: tuple[ClientGroup, ...]
    failover: tuple[str, ...] = ()
    deadline_ms: int = DEFAULT_DEADLINE_MS
    lookup_ttl_s: float = DEFAULT_LOOKUP_TTL_S
    non_repeatable: tuple[str, ...] = NON_REPEATABLE
    keyed: bool = True
    block_table: str = ""


@dataclass(slots=True, frozen=True)
class ShiftCap:
    """Maximum fraction of a service's traffic that may move in any window.

    Traffic moves when the region changes that receives it. The window is `window_s`
    seconds long, and the cap applies to each client group.
    """

    service: str
    fraction: float = DEFAULT_CAP_FRACTION
    window_s: float = DEFAULT_CAP_WINDOW_S


@dataclass(slots=True, frozen=True)
class BackendServer:
    """One backend server of a pool."""

    server_id: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    queue: int = 0

    @property
    def max_concurrent(self) -> int:
        """Return how many requests the server runs and queues at most."""
        return self.slots + self.queue


@dataclass(slots=True, frozen=True)
class BackendPool:
    """The backend servers of a service, and the declared limits of regions.

    `region_limits` holds maximum numbers of requests in flight, by region.
    """

    service: str
    servers: tuple[BackendServer, ...]
    region_limits: dict[str, float] = field(default_factory=dict)
    by_id: dict[str, BackendServer] = field(init=False, repr=False, compare=False)
    by_region: dict[str, list[BackendServer]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        by_region: dict[str, list[BackendServer]] = {}
        for server in self.servers:
            by_region.setdefault(server.region, []).append(server)
        ordered = {region: by_region[region] for region in sorted(by_region)}
        object.__setattr__(self, "by_region", ordered)
        by_id = {server.server_id: server for server in self.servers}
        object.__setattr__(self, "by_id", by_id)

    def regions(self) -> list[str]:
        """Return the regions that have backend servers, sorted."""
        return list(self.by_region)

    def limit(self, region: str) -> float:
        """Return the maximum number of the service's requests in flight in `region`.

        It is the number that the region's servers accept, or the declared limit of the
        region if that is lower.
        """
        max_in_flight = float(
            sum(srv.max_concurrent for srv in self.by_region.get(region, ()))
        )
        return min(max_in_flight, self.region_limits.get(region, max_in_flight))


@dataclass(slots=True, frozen=True)
class Drain:
    """A planned stop of one backend server, region, failure domain or entry host.

    `target` is one of ``DRAIN_TARGETS``, and `value` the id or name of what is stopped.
    The drain applies to one service, or to all services if `service` is empty; the
    drain of an entry host applies to all services in any case.
    """

    name: str
    target: str
    value: str
    service: str = ""


@dataclass(slots=True, frozen=True)
class BlockTable:
    """One shard of a table of client blocks: the addresses from `first` on.

    `index` maps each address to an index in `groups`.

    A policy names the table. Its shards are the objects whose names are the table's
    name, a dash and a suffix. Shards keep a large table within the platform's limit for
    one object, and a change rebuilds only one shard.
    """

    name: str
    first: int
    groups: tuple[str, ...]
    index: BlockIndex

    @property
    def table(self) -> str:
        """Return the name of the table that this shard belongs to."""
        return self.name.rpartition("-")[0]

    def group(self, address: int) -> str:
        """Return the client group of an IPv4 address, which is given as an integer.

        The result is an empty string if no block with a group contains the address.
        """
        group_index = self.index.find(address)
        return self.groups[group_index] if group_index < len(self.groups) else ""


Resource = SteeringPolicy | ShiftCap | BackendPool | Drain | BlockTable


def parse(kind: str, name: str, spec: object, where: str = "resource") -> Resource:
    """Validate and decode the spec of a resource.

    Parameters
    ----------
    kind : str
        One of ``OPERATOR_KINDS``.
    name : str
        Name of the resource; the service's name for all kinds but Drain and BlockTable.
    spec : object
        Decoded JSON.
    where : str
        Path of the resource that error messages show.

    Returns
    -------
    resource : SteeringPolicy, ShiftCap, BackendPool, Drain or BlockTable

    Raises
    ------
    ResourceError
        With code ``bad-kind``, ``bad-field`` or ``unknown-field``.
    """
    parser = _PARSERS.get(kind)
    if parser is None:
        known = ", ".join(OPERATOR_KINDS)
        raise ResourceError(
            "bad-kind", f"{where}: expected one of the kinds {known}, got {kind!r}"
        )
    if name in RESERVED_NAMES:
        raise ResourceError("bad-field", f"{where}: the name {name!r} is reserved")
    reader = Reader(spec, f"{where}.spec", ResourceError)
    resource = parser(name, reader)
    reader.finish()
    return resource


def is_network(value: object) -> bool:
    """Return whether `value` is an IPv4 network such as ``10.1.0.0/16``."""
    if not isinstance(value, str) or "/" not in value:
        return False
    try:
        ipaddress.IPv4Network(value)
    except ValueError:
        return False
    return True


def _parse_group(reader: Reader) -> ClientGroup:
    name = reader.name("name")
    blocks = []
    raw = reader.raw("blocks", [])
    if not isinstance(raw, list):
        raise reader.fail("blocks", "a list of networks like 10.1.0.0/16", raw)
    for block in raw:
        if not is_network(block):
            raise reader.fail("blocks", "networks like 10.1.0.0/16", block)
        blocks.append(block)
    weights = reader.weights("weights")
    if not any(weight > 0 for weight in weights.values()):
        raise reader.fail("weights", "at least one weight above 0", weights)
    reader.finish()
    return ClientGroup(name, tuple(blocks), weights)


def _parse_policy(name: str, reader: Reader) -> SteeringPolicy:
    groups = tuple(_parse_group(child) for child in reader.children("groups"))
    if not groups:
        raise reader.fail("groups", "at least one group", [])
    names = [group.name for group in groups]
    if len(set(names)) != len(names):
        raise reader.fail("groups", "groups with different names", names)
    methods = reader.names("non_repeatable_methods", NON_REPEATABLE)
    return SteeringPolicy(
        service=name,
        groups=groups,
        failover=tuple(reader.names("failover", [])),
        deadline_ms=reader.integer("deadline_ms", DEFAULT_DEADLINE_MS, low=1),
        lookup_ttl_s=reader.number("lookup_ttl_s", DEFAULT_LOOKUP_TTL_S, low=0.1),
        non_repeatable=tuple(method.upper() for method in methods),
        keyed=reader.boolean("keyed", True),
        block_table=reader.name("block_table", ""),
    )


def _parse_cap(name: str, reader: Reader) -> ShiftCap:
    return ShiftCap(
        service=name,
        fraction=reader.number("fraction", low=0.0, high=1.0),
        window_s=reader.number("window_s", low=0.1, high=86_400.0),
    )


def _parse_server(reader: Reader) -> BackendServer:
    server = BackendServer(
        server_id=reader.name("id"),
        address=reader.address("address"),
        region=reader.name("region"),
        failure_domain=reader.name("failure_domain"),
        slots=reader.integer("slots", low=1, high=100_000),
        connections=reader.integer("connections", 330, low=1),
        queue=reader.integer("queue", 0, high=100_000),
    )
    reader.finish()
    return server


def _parse_pool(name: str, reader: Reader) -> BackendPool:
    servers = tuple(_parse_server(child) for child in reader.children("servers"))
    ids = [server.server_id for server in servers]
    if len(set(ids)) != len(ids):
        raise reader.fail("servers", "backend servers with different ids", ids)
    return BackendPool(name, servers, reader.weights("region_limits", {}))


def _parse_drain(name: str, reader: Reader) -> Drain:
    named = [target for target in DRAIN_TARGETS if reader.has(target)]
    if len(named) != 1:
        raise reader.fail("", "exactly one of " + ", ".join(DRAIN_TARGETS), named)
    value = reader.name(named[0])
    return Drain(name, named[0], value, reader.name("service", ""))


def _parse_blocks(name: str, reader: Reader) -> BlockTable:
    if not name.rpartition("-")[0]:
        raise reader.fail("", "a name like TABLE-SHARD", name)
    first = parse_address(reader.text("first"))
    if first is None:
        raise reader.fail("first", "an IPv4 address", reader.text("first"))
    groups = tuple(reader.names("groups"))
    starts = _unpacked(reader, "starts", "I")
    members = _unpacked(reader, "members", "H")
    if len(starts) != len(members) or not starts:
        raise reader.fail(
            "members", f"{len(starts)} members, one a start", len(members)
        )
    if starts[0] != first or any(map(ge, starts, islice(starts, 1, None))):
        raise reader.fail("starts", "rising starts from first on", "different starts")
    if any(member >= len(groups) and member != NO_GROUP for member in set(members)):
        raise reader.fail(
            "members", "members below the number of groups", "larger members"
        )
    return BlockTable(name, first, groups, BlockIndex.from_arrays(starts, members))


def _unpacked(reader: Reader, field_name: str, typecode: str) -> array:
    try:
        return unpack(typecode, reader.text(field_name))
    except ValueError as exc:
        expected = "base64 of big-endian numbers"
        raise reader.fail(field_name, expected, str(exc)) from None


_PARSERS = {
    BLOCKS: _parse_blocks,
    POLICY: _parse_policy,
    CAP: _parse_cap,
    POOL: _parse_pool,
    DRAIN: _parse_drain,
}


def object_key(kind: str, name: str) -> str:
    """Return the key of a resource in the platform's store."""
    return f"{kind}/{name}"


def split_key(key: str) -> tuple[str, str]:
    """Return the kind and the name in a key of the platform's store."""
    kind, _, name = key.partition("/")
    return kind, name


def encode_value(value: object) -> str:
    """Return the canonical JSON text of a stored value."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))
