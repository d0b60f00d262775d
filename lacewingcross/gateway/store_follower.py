"""Follows the store: by own watches when it is this host's duty, else by peers."""

import asyncio
from collections.abc import Callable

from .. import logs
from ..backoff import Backoff
from ..core.replica import Document, Kind, Update
from ..core.watch_election import FIRST_WAIT_S, watch_wait_s
from ..errors import PlatformError
from ..platform.store import ObjectStore
from .context import Gateway

REVIEW_S = 0.1
# The same at a host that has nothing yet and cannot serve, in seconds.
EMPTY_REVIEW_S = 0.02
# The list of hosts is read again at this pace, in seconds, for those whose hello was
# missed; by active hosts only, who tell the others.
HOSTS_EVERY_S = 10.0
# A host that hears no other one reads it sooner, in seconds, but only so many times: it
# may be the only one.
LONELY_EVERY_S = 1.0
LONELY_MOST = 5

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

    __slots__ = ("_gateway", "_lost", "_publish", "_store", "_watch_election")

    def __init__(self, gateway: Gateway, store: ObjectStore, publish: Publish) -> None:
        self._watch_election = gateway.watch_election
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
        empty = not self._known(kind) and self._gateway.roster.is_active
        now = self._gateway.now()
        return self._watch_election.should_watch(
            kind, self._gateway.rank, now, empty=empty
        )

    def _known(self, kind: Kind) -> bool:
        return self._gateway.steering.replica.as_of(kind) > 0

    async def _follow(self, kind: Kind) -> None:
        """Read a kind and watch it whenever that is this host's duty.

        What peers have told is as good as a listing of its own: of 195 hosts that
        start, one reads the store, not each.
        """
        backoff = Backoff(self._gateway.steering.rng)
        compacted = False
        wait_s = FIRST_WAIT_S
        while True:
            known = self._known(kind)
            if not self._my_duty(kind):
                wait_s = FIRST_WAIT_S
                compacted = False
                await asyncio.sleep(REVIEW_S if known else EMPTY_REVIEW_S)
                continue
            try:
                if known and not compacted:
                    await self._watch(kind, wait_s)
                    wait_s = watch_wait_s(kind)
                else:
                    await self._list(kind)
                    compacted = False
                self._regained()
                backoff.reset()
            except PlatformError as exc:
                compacted = exc.code == "compacted"
                if compacted:
                    logs.event("store-compacted", kind=kind.name)
                    continue
                self._note_failure(kind, exc)
                await backoff.wait()

    async def _list(self, kind: Kind) -> None:
        self._take(await self._store.read_all(kind), "listing")

    async def _watch(self, kind: Kind, wait_s: float) -> None:
        since = self._gateway.steering.replica.as_of(kind)
        self._take(await self._store.watch(kind, since, wait_s), "watch")

    def _take(self, update: Update, source: str) -> None:
        """Take in an update and tell the other hosts all of it.

        All, not only what is new here: a host that has less must not count itself as
        up to date.
        """
        gateway = self._gateway
        fresh = gateway.take(update)
        self._publish(update)
        log_changes(gateway, update, fresh, source)

    def _note_failure(self, kind: Kind, exc: PlatformError) -> None:
        self._gateway.metrics.count(f"store.{exc.code}")
        self._watch_election.failed(self._gateway.now())
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
        self._watch_election.succeeded()
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

    __slots__ = ("_gateway", "_lonely", "_store")

    def __init__(self, gateway: Gateway, store: ObjectStore) -> None:
        self._gateway = gateway
        self._lonely = 0
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
                elif not self._gateway.roster.has_live_relay(self._gateway.now()):
                    await self._read_again()
                backoff.reset()
                await asyncio.sleep(self._pause_s())
            except PlatformError as exc:
                self._gateway.metrics.count(f"store.hosts-{exc.code}")
                await backoff.wait()

    async def _read_again(self) -> None:
        if not await self._read(stale=self._in_company()):
            # The deletion of an earlier run can be done seconds late.
            await self._store.put_host(self._gateway.roster.own)

    def _in_company(self) -> bool:
        return len(self._gateway.roster.live(self._gateway.now())) > 1

    def _pause_s(self) -> float:
        """Return when to read the list again, in seconds.

        Failure: of hosts that start together, the first find a list in which no active
        host is yet. They would stand by with nobody to tell them anything.
        """
        if self._in_company() or self._lonely >= LONELY_MOST:
            return HOSTS_EVERY_S
        self._lonely += 1
        return LONELY_EVERY_S

    async def _introduce(self) -> None:
        """Name this host unless it is named already, and find the others.

        The list is read after the name is in it: of two hosts that start together at
        least one finds the other, and its hello tells the other one. A host that was
        killed finds its name there; that saves two calls of six when a fleet starts
        again. When the whole system starts for the first time, nobody is named.
        """
        if not self._gateway.cfg.first_start and await self._read(stale=False):
            self._gateway.roster.was_listed = True
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
        roster.review(now)
        self._gateway.review_rank(now)
        self._gateway.hosts_changed()
        return roster.own in infos

    async def leave(self) -> None:
        """Take this host's name away."""
        try:
            await self._store.delete_host(self._gateway.roster.own.host_id)
        except PlatformError as exc:
            logs.event("host-not-unnamed", "WARNING", code=exc.code, why=exc.message)
