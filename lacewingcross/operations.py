"""Operator actions as a library: apply, delete, watch, drain, explain."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from .checks import Reader
from .clock import Clock, SystemClock
from .core import resources as res
from .core.blocks import parse_address
from .core.config import CONFIG_KINDS, Config, Entry
from .core.lookup import LookupRefusal, answer
from .core.membership import LIVE, HostInfo, Membership
from .core.plan import bucket_of
from .core.reports import REPORT_KIND
from .core.slew import EffectivePlan
from .core.store_position import MAX_NUMBER
from .errors import PlatformError, ResourceError, UserError
from .platform_client import PlatformClient, StoredObject

POLL_INTERVAL_S = 0.1


@dataclass(slots=True, frozen=True)
class Document:
    """A resource as written in a file.

    `version` is the stored version that the writer expects; 0 matches any version.
    """

    kind: str
    name: str
    spec: object
    version: int = 0

    @property
    def key(self) -> str:
        """Return the key of the resource in the platform."""
        return res.object_key(self.kind, self.name)


@dataclass(slots=True, frozen=True)
class Applied:
    """The result of applying or deleting one document.

    `version` is the stored version after the change, and `change` is ``created``,
    ``updated``, ``unchanged`` or ``deleted``.
    """

    key: str
    version: int
    change: str


@dataclass(slots=True)
class InForce:
    """Which hosts have applied a configuration version (have it in force).

    Attributes
    ----------
    wanted : int
        The version in question.
    revisions : dict of str to int
        The newest version that each host has in force, by host id. A host that no
        report names is missing.
    live : set of str
        Ids of the hosts that the platform lists as live.
    """

    wanted: int
    revisions: dict[str, int] = field(default_factory=dict)
    live: set[str] = field(default_factory=set)

    def behind(self) -> list[str]:
        """Return the ids of the live hosts that have not applied the version yet."""
        return sorted(
            host_id
            for host_id in self.live
            if self.revisions.get(host_id, -1) < self.wanted
        )


def read_documents(data: object, where: str) -> list[Document]:
    """Return the checked documents in decoded JSON.

    Parameters
    ----------
    data : object
        One resource, a list of resources, or an object with a list in `items`.
    where : str
        Name of the source for error messages.

    Raises
    ------
    ResourceError
        The message names the location and what was expected.
    """
    if isinstance(data, dict) and "items" in data:
        data = data["items"]
    items = data if isinstance(data, list) else [data]
    return [_document(item, f"{where}[{num}]") for num, item in enumerate(items)]


def _document(item: object, where: str) -> Document:
    reader = Reader(item, where, ResourceError)
    kind = reader.text("kind", choices=res.OPERATOR_KINDS)
    name = reader.name("name")
    version = reader.integer("version", 0, high=MAX_NUMBER)
    spec = reader.raw("spec", None)
    reader.finish()
    res.parse(kind, name, spec, where)
    return Document(kind, name, spec, version)


class Operator:
    """Operator actions on the platform.

    Parameters
    ----------
    platform : PlatformClient
        Client of the object API.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, platform: PlatformClient, clock: Clock | None = None) -> None:
        self.platform = platform
        self._now = (clock or SystemClock()).monotonic

    async def apply(self, document: Document, *, regroup: bool = False) -> Applied:
        """Create or replace a resource with a conditional write.

        Parameters
        ----------
        document : Document
            The resource to store.
        regroup : bool, default=False
            Accept a policy that moves callers to another client group.

        Raises
        ------
        UserError
            With code ``regroup`` when a policy moves callers to another client group
            and `regroup` is false. The shift cap counts the buckets of a group, so it
            does not limit callers that change their group.
        PlatformError
            With code ``conflict`` when another writer has changed the resource; the
            message names the writer and the fields that differ.
        """
        try:
            stored = await self.platform.get(document.key)
        except PlatformError as exc:
            if exc.code != "not-found":
                raise
            return await self._create(document)
        if document.version and document.version != stored.version:
            raise self._conflict(document, stored)
        if stored.spec() == document.spec:
            return Applied(document.key, stored.version, "unchanged")
        changed = _moved_groups(stored.spec(), document)
        if changed and not regroup:
            raise UserError(
                "regroup",
                f"{document.key}: callers of {changed} would move at once, outside the "
                "shift cap; change weights instead, or accept it with --regroup",
            )
        try:
            written = await self.platform.update(
                document.key, document.spec, stored.version
            )
        except PlatformError as exc:
            if exc.code not in ("conflict", "not-found"):
                raise
            raise await self._conflict_with_stored(document, exc) from exc
        return Applied(document.key, written.version, "updated")

    async def _create(self, document: Document) -> Applied:
        try:
            written = await self.platform.create(document.key, document.spec)
        except PlatformError as exc:
            if exc.code != "conflict":
                raise
            raise await self._conflict_with_stored(document, exc) from exc
        return Applied(document.key, written.version, "created")

    async def _conflict_with_stored(
        self, document: Document, exc: PlatformError
    ) -> PlatformError:
        """Return the error of a conflict, with details if the resource can be read."""
        try:
            stored = await self.platform.get(document.key)
        except PlatformError:
            return exc
        return self._conflict(document, stored)

    def _conflict(self, document: Document, stored: StoredObject) -> PlatformError:
        winner = stored.writer() or "another writer"
        differing = (
            ", ".join(differing_fields(stored.spec(), document.spec)) or "nothing"
        )
        return PlatformError(
            "conflict",
            f"{document.key}: already changed by {winner} (version {stored.version}); "
            f"fields that differ: {differing}; read the resource again and repeat",
        )

    async def delete(self, kind: str, name: str) -> Applied:
        """Read a resource and delete it at the version that was read."""
        key = res.object_key(kind, name)
        stored = await self.platform.get(key)
        version = await self.platform.delete(key, stored.version)
        return Applied(key, version, "deleted")

    async def in_force(self, version: int) -> InForce:
        """Return the live hosts and the version that each host has in force."""
        listing = await self.platform.hosts()
        reports = await self.platform.list(REPORT_KIND)
        result = InForce(version)
        result.live = {info.host_id for info in listing.hosts if info.listed == LIVE}
        for report in reports.objects:
            for host_id, host_report in _reported_hosts(report).items():
                known_revision = result.revisions.get(host_id, -1)
                result.revisions[host_id] = max(
                    known_revision, int(host_report.get("revision", -1))
                )
        return result

    async def wait_in_force(self, version: int, timeout_s: float) -> InForce:
        """Wait until there is a live host and every live host has `version` in force.

        Raises
        ------
        UserError
            With code ``not-in-force`` when `timeout_s` is over; the message names the
            live hosts that have not applied the version, if there are any.
        """
        deadline_at = self._now() + timeout_s
        while True:
            state = await self.in_force(version)
            behind = state.behind()
            if state.live and not behind:
                return state
            if self._now() >= deadline_at:
                names = ", ".join(behind) or "a live host to be listed"
                raise UserError(
                    "not-in-force", f"version {version}: waiting for {names}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_drained(self, drain: str, timeout_s: float) -> None:
        """Wait until all servers that `drain_progress` returns are idle.

        These include servers that leave because of other drains. A drain of a region or
        of a host makes no server leave by itself, so it may count as finished at once.

        Raises
        ------
        UserError
            With code ``not-drained`` when `timeout_s` is over; the message lists the
            requests still in flight at each server.
        """
        deadline_at = self._now() + timeout_s
        while True:
            remaining = await self.drain_progress(drain)
            if remaining is not None and not any(remaining.values()):
                return
            if self._now() >= deadline_at:
                raise UserError("not-drained", f"{drain}: in flight {remaining}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def drain_progress(self, drain: str) -> dict[str, int] | None:
        """Return the number of requests in flight at each leaving server.

        The servers are named ``service/server``. Included are all leaving servers of
        the services that `drain` applies to, whichever drain makes a server leave.
        Return None when a report on one of these servers is still missing.
        """
        config = await self.config()
        drain_spec = config.drains.get(drain)
        if drain_spec is None:
            raise UserError("not-found", f"Drain/{drain}: no such resource")
        in_flight = await self._in_flight_at_leaving_servers()
        wanted = [
            f"{service}/{server_id}"
            for service in config.pools
            if drain_spec.service in ("", service)
            for server_id in config.leaving_servers(service)
        ]
        if any(key not in in_flight for key in wanted):
            return None
        return {key: in_flight[key] for key in wanted}

    async def _in_flight_at_leaving_servers(self) -> dict[str, int]:
        """Return the reported requests in flight by ``service/server``."""
        reports = await self.platform.list(REPORT_KIND)
        in_flight: dict[str, int] = {}
        for report in reports.objects:
            spec = report.spec()
            if isinstance(spec, dict):
                in_flight.update(spec.get("leaving", {}))
        return in_flight

    async def config(self) -> Config:
        """Return the stored configuration, interpreted as on hosts."""
        listing = await self.platform.list(*CONFIG_KINDS)
        config = Config()
        entries = (
            Entry(item.key, item.version, res.encode_value(item.value))
            for item in listing.objects
        )
        config.merge(entries, listing.revision, True)
        return config

    async def resources(self, *kinds: str) -> list[StoredObject]:
        """Return the stored objects of the given kinds, sorted by key."""
        listing = await self.platform.list(*kinds)
        return sorted(listing.objects, key=lambda item: item.key)

    async def watch_resources(self, *kinds: str) -> AsyncIterator[StoredObject]:
        """Yield the stored objects of the given kinds, then every change to them."""
        listing = await self.platform.list(*kinds)
        for item in sorted(listing.objects, key=lambda item: item.version):
            yield item
        after = listing.revision
        while True:
            changes = await self.platform.watch(tuple(kinds), after)
            after = changes.revision
            for item in changes.objects:
                yield item

    async def explain(
        self, service: str, address: str, caller: str
    ) -> dict[str, object]:
        """Return the steps that lead from a caller to its region and entry hosts."""
        config = await self.config()
        if service not in config.policies:
            raise UserError("not-found", f"SteeringPolicy/{service}: no such resource")
        address_number = parse_address(address) if address else None
        if address and address_number is None:
            raise UserError("bad-address", f"expected an IPv4 address, got {address!r}")
        caller = caller or address
        group = config.group_of(service, address_number)
        bucket = bucket_of(service, caller)
        stored_plan = config.plans.get(service)
        region = stored_plan.tables[group][bucket] if stored_plan else None
        hosts = await self._entry_hosts(config, service, address_number, caller)
        return {
            "service": service,
            "address": address,
            "caller": caller,
            "group": group,
            "bucket": bucket,
            "region": region,
            "plan_version": config.plan_versions.get(service),
            "entry_hosts": hosts,
            "drained_regions": sorted(config.drained_regions(service)),
            "leaving_servers": sorted(config.leaving_servers(service)),
        }

    async def _entry_hosts(
        self, config: Config, service: str, address_number: int | None, caller: str
    ) -> list[str]:
        listing = await self.platform.hosts()
        if not listing.hosts:
            return []
        now = self._now()
        members = Membership(listing.hosts[0])
        members.on_list(listing.hosts, now)
        plans: dict[str, EffectivePlan] = {}
        if service in config.plans:
            plans[service] = EffectivePlan()
            plans[service].adopt(config.plans[service], config.cap(service), now)
        found = answer(
            config,
            members,
            plans,
            service,
            address_number,
            caller,
            random.Random(0),
            now,
        )
        if isinstance(found, LookupRefusal):
            return []
        return [_host_text(info) for info in found.hosts]


def _moved_groups(stored_spec: object, document: Document) -> str:
    """Return the names of the client groups whose callers a new policy would move."""
    if document.kind != res.POLICY:
        return ""
    before, after = _group_members(stored_spec), _group_members(document.spec)
    return ", ".join(
        sorted(name for name in before | after if before.get(name) != after.get(name))
    )


def _group_members(spec: object) -> dict[str, object]:
    """Return what determines the callers of each group.

    These are the address blocks of each group and whether the group is the first in the
    list, and the block table if there is one.
    """
    groups = spec.get("groups", []) if isinstance(spec, dict) else []
    members = {
        group["name"]: (sorted(group.get("blocks", [])), place == 0)
        for place, group in enumerate(groups)
    }
    table = spec.get("block_table") if isinstance(spec, dict) else None
    return {**members, "block_table": table} if table else members


def _host_text(info: HostInfo) -> str:
    return f"{info.host_id} {info.entry} ({info.region})"


def _reported_hosts(report: StoredObject) -> dict[str, dict]:
    spec = report.spec()
    hosts = spec.get("hosts", {}) if isinstance(spec, dict) else {}
    return {key: val for key, val in hosts.items() if isinstance(val, dict)}


def differing_fields(first: object, second: object, path: str = "") -> list[str]:
    """Return the paths of the fields in which two specs differ."""
    if isinstance(first, dict) and isinstance(second, dict):
        paths: list[str] = []
        for key in sorted(set(first) | set(second)):
            inner = f"{path}.{key}" if path else key
            paths += differing_fields(first.get(key), second.get(key), inner)
        return paths
    return [] if first == second else [path or "spec"]
