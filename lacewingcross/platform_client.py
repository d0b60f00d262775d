"""Client of the platform's object API that resolves unanswered writes."""

import ssl as ssl_module
import uuid
from dataclasses import dataclass

from . import logs
from .core.config import CONFIG_KINDS
from .core.membership import HostInfo
from .core.resources import object_key, split_key
from .core.store_position import START, StorePosition
from .errors import PlatformError
from .platform.object_api import ApiObject, ApiObjects, ObjectApi, encode

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_S = 20.0
MAX_OBJECT_BYTES = 1_000_000
MAX_WRITE_ATTEMPTS = 3
# All objects that hosts watch are stored under a single kind of the platform, so that
# one watch call reports changes to all of them; each waiting watch call is charged for.
# The platform name of an object is its kind and name, joined by `WATCHED_SEPARATOR`.
WATCHED_KIND = "lacewingcross"
WATCHED_SEPARATOR = ":"


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object as the platform stores it; `value` is None for a deleted object.

    `version` orders as positions in the store's history do, see `StorePosition`.
    """

    key: str
    version: int
    value: object

    def spec(self) -> object:
        """Return the spec that the writer stored, without write id and writer name."""
        return self.value.get("spec") if isinstance(self.value, dict) else None

    def write_id(self) -> str:
        """Return the id of the write that created this version."""
        return self.value.get("write_id", "") if isinstance(self.value, dict) else ""

    def writer(self) -> str:
        """Return the name of the process or operator that wrote this version."""
        return self.value.get("by", "") if isinstance(self.value, dict) else ""


@dataclass(slots=True, frozen=True)
class Listing:
    """Objects as of one version (`revision`) of the whole store.

    A listing of several kinds has the lowest revision of the lists that it is made of.
    """

    revision: int
    objects: list[StoredObject]


@dataclass(slots=True, frozen=True)
class HostListing:
    """The platform's list of hosts and of the ids of backend servers that leave.

    Both may be out of date.
    """

    hosts: list[HostInfo]
    leaving_servers: frozenset[str]


class PlatformClient:
    """Client for operators' resources and hosts' records in the object API.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    ssl : ssl.SSLContext, optional
        Context for TLS; plain TCP by default.
    writer : str, default=""
        Name stored with each write, so that a conflict error can name the writer of
        the stored version.
    """

    __slots__ = ("_api", "_writer")

    def __init__(
        self,
        address: str,
        ssl: ssl_module.SSLContext | None = None,
        writer: str = "",
    ) -> None:
        self._api = ObjectApi(address, ssl, CALL_TIMEOUT_S)
        self._writer = writer

    async def get(self, key: str) -> StoredObject:
        """Return an object; raise `PlatformError` ``not-found`` when there is none."""
        kind, name = _platform_name(key)
        return _stored(kind, await self._api.get(kind, name))

    async def list(self, *kinds: str) -> Listing:
        """Return all objects of the given kinds."""
        found = [
            _listing(kind, await self._api.list(kind), kinds)
            for kind in _platform_kinds(kinds)
        ]
        objects = [item for listing in found for item in listing.objects]
        return Listing(min(listing.revision for listing in found), objects)

    async def watch(
        self, kinds: tuple[str, ...], after: int, wait_s: float = WATCH_WAIT_S
    ) -> Listing:
        """Wait for changes above version `after`; an empty listing on timeout.

        Only kinds in `CONFIG_KINDS` can be watched; changes to objects of other kinds
        are not reported. `wait_s` is the longest wait in seconds.
        """
        since = StorePosition.from_version(after)
        found = await self._api.watch(WATCHED_KIND, since.revision, wait_s)
        if since != START and found.as_of.era != since.era:
            # The store was restored, and the changes do not show what it lost.
            raise PlatformError("compacted", f"watch from {since}: store restored")
        return _listing(WATCHED_KIND, found, kinds)

    async def create(self, key: str, spec: object, write_id: str = "") -> StoredObject:
        """Create an object; raise `PlatformError` ``conflict`` when it exists.

        Without a `write_id`, a random one is used.
        """
        return await self._write(key, spec, 0, write_id)

    async def update(
        self, key: str, spec: object, if_version: int, write_id: str = ""
    ) -> StoredObject:
        """Replace an object at version `if_version`.

        Raises `PlatformError` with code ``conflict`` when the stored version differs.
        """
        return await self._write(key, spec, if_version, write_id)

    async def delete(self, key: str, if_version: int) -> int:
        """Delete an object at version `if_version`; return the deletion's version."""
        kind, name = _platform_name(key)
        revision = self._revision_of(key, if_version)
        return (await self._api.delete(kind, name, revision)).version

    async def hosts(self) -> HostListing:
        """Return the platform's list of hosts."""
        data = await self._api.call("GET", "/v1/hosts")
        hosts = [
            HostInfo(
                item["host_id"],
                item["region"],
                item["failure_domain"],
                item["entry"],
                item["peer"],
                item["state"],
            )
            for item in data["hosts"]
        ]
        return HostListing(hosts, frozenset(data.get("leaving_servers", ())))

    async def _write(
        self, key: str, spec: object, if_version: int, write_id: str
    ) -> StoredObject:
        """Write an object, and read it back when a response was lost.

        Guards against a write that takes effect while its response is lost. If such a
        write were treated as a failure, the object would be written twice or the write
        reported as refused; if it were treated as a success, the write may never have
        happened. Each write has a unique id, so reading the object shows whether the
        write took effect, unless the store cannot be read either.
        """
        write_id = write_id or uuid.uuid4().hex
        value = {"spec": spec, "write_id": write_id, "by": self._writer}
        size = len(encode(value))
        if size > MAX_OBJECT_BYTES:
            raise PlatformError(
                "too-large", f"{key}: {size} bytes exceed the limit of 1 MB"
            )
        kind, name = _platform_name(key)
        answer_lost = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                return _stored(kind, await self._put(kind, name, value, if_version))
            except PlatformError as exc:
                if exc.code == "conflict" and answer_lost:
                    return await self._resolve_conflict(key, write_id, exc)
                if exc.code != "unknown-outcome":
                    raise
                # Repeating the same conditional write cannot take effect twice: if the
                # first write took effect, the version has changed and this one
                # conflicts.
                answer_lost = True
        raise PlatformError("unknown-outcome", f"{key}: the store did not respond")

    async def _put(
        self, kind: str, name: str, value: object, if_version: int
    ) -> ApiObject:
        if if_version:
            revision = self._revision_of(f"{kind}/{name}", if_version)
            return await self._api.replace(kind, name, value, revision)
        return await self._api.create(kind, name, value)

    def _revision_of(self, key: str, version: int) -> int:
        """Return the revision of a version.

        Guards against a write that undoes another: the object was read before the store
        was restored, and its revision was given out again to a later change.
        """
        position = StorePosition.from_version(version)
        if position.era < self._api.era:
            raise PlatformError("conflict", f"{key}: the store was restored since")
        return position.revision

    async def _resolve_conflict(
        self, key: str, write_id: str, conflict: PlatformError
    ) -> StoredObject:
        try:
            stored = await self.get(key)
        except PlatformError as exc:
            raise PlatformError("unknown-outcome", f"{key}: {exc.message}") from exc
        if stored.write_id() == write_id:
            return stored
        raise conflict

    def close(self) -> None:
        """Close the pooled connections."""
        self._api.close()


def _platform_name(key: str) -> tuple[str, str]:
    """Return the kind and name under which the platform stores an object."""
    kind, name = split_key(key)
    if kind in CONFIG_KINDS:
        return WATCHED_KIND, f"{kind}{WATCHED_SEPARATOR}{name}"
    return kind, name


def _platform_kinds(kinds: tuple[str, ...]) -> list[str]:
    watched = {WATCHED_KIND if kind in CONFIG_KINDS else kind for kind in kinds}
    return sorted(watched)


def _key(kind: str, name: str) -> str:
    if kind == WATCHED_KIND:
        return object_key(*name.split(WATCHED_SEPARATOR, 1))
    return object_key(kind, name)


def _stored(kind: str, item: ApiObject) -> StoredObject:
    return StoredObject(_key(kind, item.name), item.position.version, item.spec)


def _listing(kind: str, found: ApiObjects, wanted: tuple[str, ...]) -> Listing:
    objects = [_stored(kind, item) for item in found.items if _has_key(kind, item)]
    wanted_objects = [item for item in objects if split_key(item.key)[0] in wanted]
    return Listing(found.as_of.version, wanted_objects)


def _has_key(kind: str, item: ApiObject) -> bool:
    """Return whether an object has a name that this project gives to its objects.

    Guards against another writer's object that makes a whole listing fail.
    """
    if kind != WATCHED_KIND or WATCHED_SEPARATOR in item.name:
        return True
    logs.event("store-item-unreadable", "ERROR", kind=kind, why=f"name {item.name}")
    return False
