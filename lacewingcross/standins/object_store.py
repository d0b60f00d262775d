"""Stand-in for the users' platform store: objects by kind and name, watches, faults."""

import asyncio
import copy
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

from ..errors import UserError
from ..http1_exchange import Exchange
from ..http1_json import read_body, send_json
from ..http1_server import HttpServer
from ..platform.object_api import STORE_ERA

PREFIX = "/v1/objects/"
PAGE_SIZE = 500
# Room for a value of one MiB and the JSON around it.
MAX_BODY_BYTES = (1 << 20) + 4096
# How long a silent store holds a call, in seconds, which is longer than any caller
# waits.
SILENT_S = 3600.0
# Deletions that the store keeps for watches before it compacts its history.
MAX_DELETED_KEPT = 5000


@dataclass(slots=True)
class StoredObject:
    """One object, with the revisions of its creation and its last change."""

    name: str
    revision: int
    create_revision: int
    spec: object
    status: object = None
    deleted: bool = False

    def as_data(self) -> dict:
        """Return the object in the JSON form of the object API."""
        return {
            "metadata": {
                "name": self.name,
                "revision": self.revision,
                "create_revision": self.create_revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": self.spec,
            "status": self.status,
        }


@dataclass(slots=True)
class Faults:
    """Faults of the store, for all callers.

    Attributes
    ----------
    down : {"", "busy", "many", "reset", "silent"}
        How each call fails: ``busy`` is answered 503 and ``many`` 429, ``reset`` resets
        the connection, ``silent`` gives no answer. Empty for no fault.
    slow_s : float
        Delay of each call in seconds.
    lost_writes : bool
        Every write is carried out and not answered.
    lose_answers : int
        Number of further writes that are carried out and not answered.
    late_writes_s, late_watches_s : dict of str to float
        Delays by kind, in seconds: of carrying out each write, and of answering each
        watch that has found a change.
    stale_since : int
        A revision, or 0 for no fault. A listing for which the caller allows stale data
        lacks the objects that were created after this revision.
    """

    down: str = ""
    slow_s: float = 0.0
    lost_writes: bool = False
    lose_answers: int = 0
    late_writes_s: dict[str, float] = field(default_factory=dict)
    late_watches_s: dict[str, float] = field(default_factory=dict)
    stale_since: int = 0

    def lose_answer(self) -> bool:
        """Return whether to lose the answer to a write; take it off `lose_answers`."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return self.lost_writes


@dataclass(slots=True, frozen=True)
class Backup:
    """A copy of all objects at a revision, and of the history that the store kept."""

    revision: int
    compacted: int
    objects: dict[str, dict[str, StoredObject]]


@dataclass(slots=True)
class ObjectStoreStandin:
    """An object store in memory, served on the loopback address.

    Parameters
    ----------
    now : callable
        Monotonic clock in seconds.
    page : int
        Maximum number of objects in one answer to a list call.
    revision : int
        Revision of the last change.
    era : int or None
        Stated in each answer; it rises by one with each restore. None for a store that
        states no era.
    faults : Faults
        Faults that are switched on.
    calls : int
        Number of API calls so far.
    creations : Counter of str
        Number of calls that create an object, by kind, refused ones included.
    deletions : Counter of str
        Number of calls that delete an object, by kind, refused ones included.
    listings : Counter of str
        Number of pages of listings that were read, by kind.
    """

    now: Callable[[], float]
    page: int = PAGE_SIZE
    revision: int = 0
    era: int | None = 1
    faults: Faults = field(default_factory=Faults)
    calls: int = 0
    creations: Counter[str] = field(default_factory=Counter)
    deletions: Counter[str] = field(default_factory=Counter)
    listings: Counter[str] = field(default_factory=Counter)
    _objects: dict[str, dict[str, StoredObject]] = field(default_factory=dict)
    _compacted: int = 0
    _deleted: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _server: HttpServer | None = None

    async def start(self) -> int:
        """Listen on a free port of 127.0.0.1; return the port."""
        self._server = HttpServer(self.handle, self.now)
        return await self._server.start("127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object; return its revision.

        Replacing an object by the same spec changes nothing.
        """
        stored = self._objects.setdefault(kind, {}).get(name)
        if stored is not None and not stored.deleted and stored.spec == spec:
            return stored.revision
        self.revision += 1
        exists = stored is not None and not stored.deleted
        created = stored.create_revision if exists else self.revision
        self._objects[kind][name] = StoredObject(name, self.revision, created, spec)
        self.wake_watches()
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Delete an object, and keep its deletion for the watches."""
        stored = self._objects.get(kind, {}).get(name)
        if stored is None or stored.deleted:
            return
        self.revision += 1
        stored.revision = self.revision
        stored.deleted = True
        self._deleted += 1
        if self._deleted > MAX_DELETED_KEPT:
            self.compact()
        self.wake_watches()

    def compact(self) -> None:
        """Drop the history; a watch from an earlier revision is answered 410."""
        self._compacted = self.revision
        self._deleted = 0
        for objects in self._objects.values():
            for name in [name for name, obj in objects.items() if obj.deleted]:
                del objects[name]
        self.wake_watches()

    def backup(self) -> Backup:
        """Return a copy of all objects, for `restore`."""
        return Backup(self.revision, self._compacted, copy.deepcopy(self._objects))

    def restore(self, backup: Backup) -> None:
        """Return to a copy: later changes are lost, and their revisions used again.

        A waiting watch, or a later one, from a lost revision is answered 410.
        """
        self.revision = backup.revision
        self._compacted = backup.compacted
        self._objects = copy.deepcopy(backup.objects)
        if self.era is not None:
            self.era += 1
        self.wake_watches()

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        objects = self._objects.get(kind, {}).values()
        return sorted(obj.name for obj in objects if not obj.deleted)

    def spec(self, kind: str, name: str) -> object:
        """Return the spec of an object, None if there is none."""
        stored = self._objects.get(kind, {}).get(name)
        return None if stored is None or stored.deleted else stored.spec

    def _names_seen(self, kind: str, *, stale: bool) -> list[str]:
        """Return the names in a listing.

        A stale listing lacks the objects created after `Faults.stale_since`, if set.
        """
        since = self.faults.stale_since
        names = self.names(kind)
        if not (stale and since):
            return names
        objects = self._objects.get(kind, {})
        return [name for name in names if objects[name].create_revision <= since]

    def wake_watches(self) -> None:
        """Make the waiting watches check for changes and faults."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call of the object API."""
        self.calls += 1
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if await self.send_fault(exchange):
            return
        try:
            await self._answer(exchange)
        except UserError as exc:
            await self._send_error(exchange, 413, exc.code, exc.message)
        except ValueError as exc:
            await self._send_error(exchange, 400, "bad-request", str(exc))

    async def _answer(self, exchange: Exchange) -> None:
        body = await read_body(exchange, MAX_BODY_BYTES)
        path, _, query = exchange.head.target.partition("?")
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        kind, name = unquote(kind), unquote(name)
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        method = exchange.head.method
        if method == "GET" and "watch" in fields:
            await self._watch(exchange, kind, fields)
        elif method == "GET" and not name:
            await self._list(exchange, kind, fields)
        elif method == "GET":
            await self._get(exchange, kind, name)
        else:
            data = json.loads(body or b"{}")
            meta = data.get("metadata") or {}
            expected = int(meta.get("revision") or fields.get("revision") or 0)
            name = name or meta.get("name", "")
            await self._write(exchange, (kind, name), data.get("spec"), expected)

    async def _send(self, exchange: Exchange, status: int, data: object) -> None:
        headers = [] if self.era is None else [(STORE_ERA, str(self.era).encode())]
        await send_json(exchange, status, data, headers)

    async def _send_error(
        self, exchange: Exchange, status: int, code: str, message: str
    ) -> None:
        await self._send(exchange, status, {"error": code, "message": message})

    async def send_fault(self, exchange: Exchange) -> bool:
        """Fail a call as `Faults.down` says; return whether a fault is set."""
        down = self.faults.down
        if down == "silent":
            await asyncio.sleep(SILENT_S)
        if down == "reset":
            exchange.abort()
        if down in ("busy", "many"):
            status = 503 if down == "busy" else 429
            await self._send(exchange, status, {"error": down})
        return bool(down)

    async def _list(self, exchange: Exchange, kind: str, fields: dict) -> None:
        self.listings[kind] += 1
        after = fields.get("after", "")
        names = self._names_seen(kind, stale="allow_stale" in fields)
        listed = [name for name in names if name > after]
        items = [self._objects[kind][name].as_data() for name in listed[: self.page]]
        data = {
            "items": items,
            "has_more": len(listed) > self.page,
            "as_of": self.revision,
        }
        await self._send(exchange, 200, data)

    async def _watch(self, exchange: Exchange, kind: str, fields: dict) -> None:
        since = int(fields["watch"])
        deadline_at = self.now() + int(fields.get("wait_ms", 0)) / 1000.0
        while True:
            if await self.send_fault(exchange):
                return
            if not self._compacted <= since <= self.revision:
                await self._send(exchange, 410, {"error": "history-gone"})
                return
            changed = self._changed
            objects = self._objects.get(kind, {}).values()
            changes = [obj for obj in objects if obj.revision > since]
            remaining_s = deadline_at - self.now()
            if changes or remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue
        changes.sort(key=lambda obj: obj.revision)
        events = [{"object": obj.as_data(), "deleted": obj.deleted} for obj in changes]
        data = {"events": events, "as_of": self.revision}
        late_s = self.faults.late_watches_s.get(kind, 0.0)
        if changes and late_s:
            await asyncio.sleep(late_s)
        await self._send(exchange, 200, data)

    async def _get(self, exchange: Exchange, kind: str, name: str) -> None:
        stored = self._objects.get(kind, {}).get(name)
        if stored is None or stored.deleted:
            await self._send(exchange, 404, {"error": "not-found"})
            return
        await self._send(exchange, 200, stored.as_data())

    async def _write(
        self,
        exchange: Exchange,
        kind_and_name: tuple[str, str],
        spec: object,
        expected: int,
    ) -> None:
        kind, name = kind_and_name
        method = exchange.head.method
        self.creations[kind] += method == "POST"
        self.deletions[kind] += method == "DELETE"
        late_s = self.faults.late_writes_s.get(kind, 0.0)
        if late_s:
            await asyncio.sleep(late_s)
        stored = self._objects.get(kind, {}).get(name)
        exists = stored is not None and not stored.deleted
        if method != "POST" and not exists:
            message = f"{kind}/{name}: no such object"
            await self._send_error(exchange, 404, "not-found", message)
            return
        if method == "POST" and exists or expected and expected != stored.revision:
            message = f"{kind}/{name}: revision is {stored.revision}"
            data = {"error": "conflict", "message": message, **stored.as_data()}
            await self._send(exchange, 409, data)
            return
        if method == "DELETE":
            self.delete(kind, name)
        else:
            self.put(kind, name, spec)
        if self.faults.lose_answer():
            exchange.abort()
            return
        await self._send(exchange, 200, self._objects[kind][name].as_data())
