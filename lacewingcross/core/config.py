"""The configuration in force: entries whose versions never decrease."""

import json
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..errors import ResourceError
from . import resources as res
from .blocks import BlockIndex
from .plan import Plan, decode_plan
from .store_position import StorePosition

CONFIG_KINDS = (res.POLICY, res.CAP, res.POOL, res.DRAIN, res.BLOCKS, res.PLAN)


@dataclass(slots=True, frozen=True)
class Entry:
    """One versioned entry; `text` is JSON, empty when the object is deleted."""

    key: str
    version: int
    text: str


@dataclass(slots=True)
class Config:
    """All entries, and the typed resources decoded from them.

    A merge keeps the higher version of each key. So entries may arrive in any order,
    repeatedly, and from the platform or any peer.

    `policies`, `caps`, `pools` and `blocks` are by service; `blocks` holds the client
    groups' address blocks of each policy. `drains`, `plans`, `plan_versions` and
    `shards` are by name of the object. `tables` holds the shards of each block table,
    ordered by first address. `rejected` holds the reason for each key whose newest
    entry is invalid. `revision` is the version up to which this host's entries are
    complete; `complete` says whether there is such a version yet.
    """

    entries: dict[str, Entry] = field(default_factory=dict)
    revision: int = 0
    complete: bool = False
    policies: dict[str, res.SteeringPolicy] = field(default_factory=dict)
    caps: dict[str, res.ShiftCap] = field(default_factory=dict)
    pools: dict[str, res.BackendPool] = field(default_factory=dict)
    drains: dict[str, res.Drain] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    plan_versions: dict[str, int] = field(default_factory=dict)
    shards: dict[str, res.BlockTable] = field(default_factory=dict)
    tables: dict[str, list[res.BlockTable]] = field(default_factory=dict)
    blocks: dict[str, BlockIndex] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)

    def merge(
        self, entries: Iterable[Entry], revision: int, complete: bool
    ) -> list[str]:
        """Merge entries; return the keys that changed.

        Parameters
        ----------
        entries : iterable of Entry
            Any entries, old ones included; an old one never replaces a newer one.
        revision : int
            Version up to which the sender's entries are complete.
        complete : bool
            Whether `entries` include every change above this host's own revision.
        """
        merged = list(entries)
        if complete and self.complete:
            merged += self._lost_by_store(merged, revision)
        changed = []
        for entry in merged:
            known = self.entries.get(entry.key)
            if known is not None and known.version >= entry.version:
                continue
            self.entries[entry.key] = entry
            self._decode(entry)
            changed.append(entry.key)
        if complete:
            self.revision = max(self.revision, revision)
            self.complete = True
        return changed

    def _lost_by_store(self, entries: list[Entry], revision: int) -> list[Entry]:
        """Return deletions of the objects that a restored store lacks.

        Guards against an object that stays in force for good because the host that
        listed the store did not know it. After a restore each object that exists has a
        position of the new era, so `entries` name all of them.
        """
        era = StorePosition.from_version(revision).era
        if era <= StorePosition.from_version(self.revision).era:
            return []
        present = {entry.key for entry in entries}
        return [
            Entry(known.key, revision, "")
            for known in self.entries.values()
            if known.text
            and known.key not in present
            and StorePosition.from_version(known.version).era < era
        ]

    def above(self, version: int) -> list[Entry]:
        """Return the entries with a version above `version`, oldest first."""
        newer = (item for item in self.entries.values() if item.version > version)
        return sorted(newer, key=lambda item: item.version)

    def cap(self, service: str) -> res.ShiftCap:
        """Return the shift cap of a service, or a cautious default."""
        return self.caps.get(service) or res.ShiftCap(service)

    def _decode(self, entry: Entry) -> None:
        kind, name = res.split_key(entry.key)
        if not entry.text:
            self._remove(kind, name)
            return
        try:
            spec = json.loads(entry.text)["spec"]
            self._store(kind, name, spec, entry.version)
            self.rejected.pop(entry.key, None)
        except (ResourceError, ValueError, KeyError, TypeError) as exc:
            # An invalid object that another program wrote must not stop the host. The
            # last valid resource stays in force, and the reason is reported.
            self.rejected[entry.key] = str(exc)

    def _store(self, kind: str, name: str, spec: object, version: int) -> None:
        if kind == res.PLAN:
            self.plans[name] = decode_plan(name, spec)
            self.plan_versions[name] = version
            return
        resource = res.parse(kind, name, spec, f"{kind}/{name}")
        self._table(kind)[name] = resource
        if kind == res.POLICY:
            self._index_blocks(resource)
        elif kind == res.BLOCKS:
            self._order_shards(resource.table)

    def _index_blocks(self, policy: res.SteeringPolicy) -> None:
        self.blocks[policy.service] = BlockIndex(
            (block, index)
            for index, group in enumerate(policy.groups)
            for block in group.blocks
        )

    def _order_shards(self, table: str) -> None:
        shards = [shard for shard in self.shards.values() if shard.table == table]
        self.tables[table] = sorted(shards, key=lambda shard: shard.first)

    def _remove(self, kind: str, name: str) -> None:
        self.rejected.pop(res.object_key(kind, name), None)
        if kind == res.PLAN:
            self.plans.pop(name, None)
            self.plan_versions.pop(name, None)
            return
        if kind not in CONFIG_KINDS:
            # A host with a newer release may forward kinds unknown to this one.
            return
        known = self._table(kind).pop(name, None)
        if kind == res.POLICY:
            self.blocks.pop(name, None)
        elif kind == res.BLOCKS and known is not None:
            self._order_shards(known.table)

    def _table(self, kind: str) -> dict[str, res.Resource]:
        tables = {
            res.POLICY: self.policies,
            res.CAP: self.caps,
            res.POOL: self.pools,
            res.DRAIN: self.drains,
            res.BLOCKS: self.shards,
        }
        if kind not in tables:
            raise ResourceError("bad-kind", f"{kind!r} is not a configuration kind")
        return tables[kind]

    def group_of(self, service: str, address: int | None) -> str | None:
        """Return the client group of an address, or the first group if none matches.

        The policy's block table, if it names one, takes precedence over the blocks in
        the policy itself. Without an address, the result is the first group. It is
        None if the service has no policy.
        """
        policy = self.policies.get(service)
        if policy is None:
            return None
        if address is not None and policy.block_table:
            group = self._table_group(policy.block_table, address)
            if any(group == known.name for known in policy.groups):
                return group
        index = 0
        if address is not None:
            index = self.blocks[service].find(address)
        if index >= len(policy.groups):
            index = 0
        return policy.groups[index].name

    def _table_group(self, table: str, address: int) -> str:
        shards = self.tables.get(table, [])
        position = bisect_right(shards, address, key=lambda shard: shard.first) - 1
        return shards[position].group(address) if position >= 0 else ""

    def drained_regions(self, service: str) -> frozenset[str]:
        """Return the regions that planned drains empty of requests for `service`."""
        return frozenset(
            drain.value
            for drain in self.drains.values()
            if drain.target == "region" and drain.service in ("", service)
        )

    def leaving_servers(self, service: str) -> set[str]:
        """Return the ids of the service's servers that planned drains stop.

        These are drains of a server or a failure domain, see also `drained_regions`.
        """
        pool = self.pools.get(service)
        if pool is None:
            return set()
        leaving = set()
        for drain in self.drains.values():
            if drain.service not in ("", service):
                continue
            for server in pool.servers:
                if _drain_covers(drain, server):
                    leaving.add(server.server_id)
        return leaving

    def drained_hosts(self) -> set[str]:
        """Return the ids of the entry hosts that planned drains stop."""
        drains = self.drains.values()
        return {drain.value for drain in drains if drain.target == "host"}


def _drain_covers(drain: res.Drain, server: res.BackendServer) -> bool:
    if drain.target == "server":
        return drain.value == server.server_id
    if drain.target == "failure_domain":
        return drain.value == server.failure_domain
    return False
