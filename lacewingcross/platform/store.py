"""Reads and writes the objects of an entry host in the platform's metadata store."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .. import logs
from ..core.membership import HostInfo
from ..core.replica import Document, Kind, Update
from ..core.store_position import START, StorePosition
from ..errors import PlatformError
from ..greeting import invalid_host
from .object_api import ApiObject, ObjectApi
from .objects import (
    CONFIG_NAME,
    HOSTS_PATH,
    KIND_PATHS,
    LAST_CONFIGURATIONS_PATH,
    stored_version,
)


@dataclass(slots=True, frozen=True)
class RegisteredHosts:
    """The registered entry hosts, and the era of the store that listed them."""

    era: int
    hosts: list[HostInfo]


@dataclass(slots=True, frozen=True)
class LastConfiguration:
    """The last configuration that hosts had in force, as they stored it.

    `revision` is that of its object in the store, 0 if there is none; `version` is 0
    and `spec` None then.
    """

    revision: int = 0
    version: int = 0
    spec: object = None


class ObjectStore:
    """Client of the store that uses the project's types.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    """

    __slots__ = ("_api",)

    def __init__(self, address: str) -> None:
        self._api = ObjectApi(address)

    @property
    def calls(self) -> int:
        """Return the number of calls of the store made so far."""
        return self._api.calls

    @property
    def era(self) -> int:
        """Return the highest era that the store has stated, 0 if it states none."""
        return self._api.era

    async def read_all(self, kind: Kind) -> Update:
        """Return all documents of a kind, from a linearizable read."""
        listing = await self._api.list(KIND_PATHS[kind])
        documents = _documents(kind, listing.items)
        return Update(kind, START, listing.as_of, documents, whole=True)

    async def watch(self, kind: Kind, since: StorePosition, wait_s: float) -> Update:
        """Wait for changes of a kind after a position.

        Parameters
        ----------
        kind : Kind
            Kind of objects to watch.
        since : StorePosition
            Changes after this position are returned. If the store answers in another
            era, the end of the update is of that era, and the update does not show what
            the store lost.
        wait_s : float
            How long to wait for a change, in seconds. Without one the update is empty.

        Raises
        ------
        PlatformError
            With code ``compacted`` when the store no longer has the changes.
        """
        changes = await self._api.watch(KIND_PATHS[kind], since.revision, wait_s)
        return Update(kind, since, changes.as_of, _documents(kind, changes.items))

    async def host(self, host_id: str) -> HostInfo | None:
        """Return a registered entry host, None if it is missing or unreadable."""
        try:
            item = await self._api.get(HOSTS_PATH, host_id)
        except PlatformError as exc:
            if exc.code != "not-found":
                raise
            return None
        return next(_hosts([item]), None)

    async def hosts(self, *, stale: bool = False) -> RegisteredHosts:
        """Return the registered entry hosts.

        Parameters
        ----------
        stale : bool, optional
            Accept a list that may be some seconds old, see `ObjectApi.list`.
        """
        listing = await self._api.list(HOSTS_PATH, stale=stale)
        return RegisteredHosts(listing.as_of.era, list(_hosts(listing.items)))

    async def put_host(self, info: HostInfo) -> None:
        """Register an entry host, whether or not it was registered before."""
        spec = {
            "region": info.region,
            "failure_domain": info.failure_domain,
            "entry": info.entry,
            "peer": info.peer,
            "cores": info.cores,
        }
        try:
            await self._api.create(HOSTS_PATH, info.host_id, spec)
        except PlatformError as exc:
            if exc.code != "conflict":
                raise
            await self._api.replace(HOSTS_PATH, info.host_id, spec)

    async def delete_host(self, host_id: str) -> None:
        """Remove an entry host from the list."""
        await self._delete(HOSTS_PATH, host_id)

    async def last_configuration(self) -> LastConfiguration:
        """Return the last configuration that hosts had in force."""
        try:
            item = await self._api.get(LAST_CONFIGURATIONS_PATH, CONFIG_NAME)
        except PlatformError as exc:
            if exc.code != "not-found":
                raise
            return LastConfiguration()
        data = item.spec if isinstance(item.spec, dict) else {}
        spec = data.get("configuration")
        return LastConfiguration(item.position.revision, stored_version(spec), spec)

    async def put_last_configuration(
        self, spec: object, replaced: LastConfiguration
    ) -> LastConfiguration:
        """Store the configuration in force; return it as it is stored now.

        Raises
        ------
        PlatformError
            With code ``conflict`` when the store no longer has `replaced`.
        """
        kind, name = LAST_CONFIGURATIONS_PATH, CONFIG_NAME
        data = {"configuration": spec}
        if replaced.revision:
            item = await self._api.replace(kind, name, data, replaced.revision)
        else:
            item = await self._api.create(kind, name, data)
        return LastConfiguration(item.position.revision, stored_version(spec), spec)

    async def put_quarantine(
        self, request: str, servers: tuple[str, ...], outdated: Document | None = None
    ) -> None:
        """Store the quarantine of a request; do nothing if it is stored already.

        Parameters
        ----------
        request : str
            Fingerprint of the request.
        servers : tuple of str
            Ids of the servers that crashed while running it.
        outdated : Document, optional
            The stored quarantine that is to be replaced, unless it has changed since.
        """
        kind = KIND_PATHS[Kind.QUARANTINE]
        spec = {"servers": list(servers)}
        try:
            if outdated is None:
                await self._api.create(kind, request, spec)
            else:
                revision = outdated.position.revision
                await self._api.replace(kind, request, spec, revision)
        except PlatformError as exc:
            if exc.code not in ("conflict", "not-found"):
                raise

    async def delete_quarantine(self, stored: Document) -> None:
        """Delete a stored quarantine unless it has changed since."""
        kind = KIND_PATHS[Kind.QUARANTINE]
        try:
            await self._api.delete(kind, stored.name, stored.position.revision)
        except PlatformError as exc:
            if exc.code not in ("conflict", "not-found"):
                raise

    async def _delete(self, kind: str, name: str) -> None:
        """Delete an object; do nothing if it no longer exists."""
        try:
            await self._api.delete(kind, name)
        except PlatformError as exc:
            if exc.code != "not-found":
                raise

    def close(self) -> None:
        """Close the idle connections."""
        self._api.close()


def _documents(kind: Kind, items: list[ApiObject]) -> list[Document]:
    """Return the documents of a kind.

    Of the configurations only the one named `CONFIG_NAME` is used.
    """
    return [
        Document(kind, item.name, item.position, item.spec)
        for item in items
        if kind is not Kind.CONFIG or item.name == CONFIG_NAME
    ]


def _hosts(items: Iterable[ApiObject]) -> Iterator[HostInfo]:
    """Yield the entry hosts in stored objects; an invalid one is logged instead.

    Guards against another writer's entry whose address callers would be sent to.
    """
    for item in items:
        try:
            info = _decode_host(item)
            expected = invalid_host(info)
        except Exception as exc:
            # Any program may have stored any value, so any step may fail on it.
            expected = repr(exc)[:200]
        if expected:
            logs.event("store-host-rejected", "ERROR", host_id=item.name, why=expected)
        else:
            yield info


def _decode_host(item: ApiObject) -> HostInfo:
    """Return the host in an object, its fields unchecked."""
    spec = item.spec
    return HostInfo(
        item.name,
        spec["region"],
        spec["failure_domain"],
        spec["entry"],
        spec["peer"],
        # Older versions do not store the processor capacity.
        cores=float(spec.get("cores", 1.0)),
    )
