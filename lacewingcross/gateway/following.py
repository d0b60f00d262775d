"""Follows the store: by own watches when it is this host's duty, else by peers."""

import asyncio
from collections.abc import Callable

from .. import logs
from ..backoff import Backoff
from ..core.replica import Document, Kind, Update
from ..core.watching import FIRST_WAIT_S, WATCH_WAIT_S
from ..errors import PlatformError
from ..platform.store import ObjectStore
from .context import Gateway

REVIEW_S = 0.1
# The list of hosts is read again at this pace, for those whose hello was missed.
HOSTS_EVERY_S = 10.0

Publish = Callable[[Update], None]


class StoreFollower:
    """Keeps the replica up to date.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    store : ObjectStore
        Client of the store.
    publish : callable
        Tells the other hosts of changes between two revisions of a kind.
    """

    __slots__ = ("_duty", "_gateway", "_lost", "_publish", "_store")

    def __init__(self, gateway: Gateway, store: ObjectStore, publish: Publish) -> None:
        self._duty = gateway.duty
        self._gateway = gateway
        self._store = store
        self._publish = publish
        self._lost = False

    def following(self, kind: Kind) -> Callable:
        """Return the coroutine function that follows one kind."""

        async def follow() -> None:
            await self._follow(kind)

        return follow

    def _my_duty(self, kind: Kind) -> bool:
        return self._duty.mine(kind, self._gateway.rank, self._gateway.now())

    async def _follow(self, kind: Kind) -> None:
        backoff = Backoff(self._gateway.steering.rng)
        listed = False
        wait_s = FIRST_WAIT_S
        while True:
            if listed and not self._my_duty(kind):
                wait_s = FIRST_WAIT_S
                await asyncio.sleep(REVIEW_S)
                continue
            try:
                if listed:
                    await self._watch(kind, wait_s)
                    wait_s = WATCH_WAIT_S
                else:
                    await self._list(kind)
                    listed = True
                self._regained()
                backoff.reset()
            except PlatformError as exc:
                if exc.code == "compacted":
                    listed = False
                    logs.event("store-compacted", kind=kind.name)
                    continue
                self._note_failure(kind, exc)
                await backoff.wait()
                if not listed and not self._my_duty(kind):
                    # The peers have told all that the store would have.
                    listed = self._gateway.steering.replica.as_of(kind) > 0

    async def _list(self, kind: Kind) -> None:
        known_before = self._gateway.steering.replica.as_of(kind) > 0
        self._take(await self._store.read_all(kind), "listing", tell=known_before)

    async def _watch(self, kind: Kind, wait_s: float) -> None:
        since = self._gateway.steering.replica.as_of(kind)
        update = await self._store.watch(kind, since, wait_s)
        self._take(update, "watch", tell=True)

    def _take(self, update: Update, source: str, *, tell: bool) -> None:
        """Take in an update and tell the other hosts all of it.

        All, not only what is new here: a host that has less must not count itself as
        up to date. What a host reads at its start the others have or ask for.
        """
        gateway = self._gateway
        fresh = gateway.steering.take(update, gateway.now())
        if tell:
            self._publish(update)
        log_changes(gateway, update, fresh, source)

    def _note_failure(self, kind: Kind, exc: PlatformError) -> None:
        self._gateway.metrics.count(f"store.{exc.code}")
        self._duty.failed(self._gateway.now())
        if not self._lost:
            self._lost = True
            logs.event(
                "store-lost",
                "WARNING",
                kind=kind.name,
                code=exc.code,
                why=exc.message,
                age_s=self._gateway.steering.store_age(self._gateway.now()),
            )

    def _regained(self) -> None:
        self._duty.succeeded()
        if self._lost:
            self._lost = False
            logs.event("store-regained")


def log_changes(
    gateway: Gateway, update: Update, fresh: list[Document], source: str
) -> None:
    """Write one line for each change that this host now believes, or cannot read."""
    steering = gateway.steering
    while steering.rejected:
        rejected = steering.rejected.pop()
        gateway.metrics.count(f"store.rejected-{rejected.code}")
        logs.event(
            "store-object-rejected",
            "ERROR",
            kind=rejected.document.kind.name,
            name=rejected.document.name,
            revision=rejected.document.revision,
            why=rejected.why,
        )
    table = steering.table
    for doc in fresh:
        logs.event(
            "store-change",
            kind=update.kind.name,
            name=doc.name,
            revision=doc.revision,
            deleted=doc.spec is None,
            as_of=update.as_of,
            source=source,
            config=table.config.version if table else 0,
        )


class HostDirectory:
    """Names this host in the store and finds the others there.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    store : ObjectStore
        Client of the store.
    """

    __slots__ = ("_gateway", "_store")

    def __init__(self, gateway: Gateway, store: ObjectStore) -> None:
        self._gateway = gateway
        self._store = store

    async def run(self) -> None:
        """Introduce this host, then read the list again and again."""
        introduced = False
        backoff = Backoff(self._gateway.steering.rng)
        while True:
            try:
                if not introduced:
                    await self._introduce()
                    introduced = True
                elif not await self._read(stale=True):
                    # The deletion of an earlier run can be done seconds late.
                    await self._store.put_host(self._gateway.roster.own)
                backoff.reset()
                await asyncio.sleep(HOSTS_EVERY_S)
            except PlatformError as exc:
                self._gateway.metrics.count(f"store.hosts-{exc.code}")
                await backoff.wait()

    async def _introduce(self) -> None:
        """Name this host unless it is named already, and find the others.

        The list is read after the name is in it: of two hosts that start together at
        least one finds the other, and its hello tells the other one. A host that was
        killed finds its name there; that saves two calls of six when a fleet starts
        again. When the whole system starts for the first time, nobody is named.
        """
        if not self._gateway.cfg.first_start and await self._read(stale=False):
            return
        await self._store.put_host(self._gateway.roster.own)
        await self._read(stale=False)

    async def _read(self, *, stale: bool) -> bool:
        """Learn the named hosts; return whether this one is among them as it is."""
        roster = self._gateway.roster
        now = self._gateway.now()
        infos = await self._store.hosts(stale=stale)
        for info in infos:
            if roster.learn(info, now):
                logs.event("host-learnt", host_id=info.host_id, peer=info.peer)
        roster.listed = True
        return roster.own in infos

    async def leave(self) -> None:
        """Take this host's name away."""
        try:
            await self._store.delete_host(self._gateway.roster.own.host_id)
        except PlatformError as exc:
            logs.event("host-not-unnamed", "WARNING", code=exc.code, why=exc.message)
