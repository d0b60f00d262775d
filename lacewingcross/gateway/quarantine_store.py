"""Keeps quarantined requests in the store, so that they survive a loss of all hosts."""

from .. import logs
from ..core.quarantine import Quarantine
from ..core.replica import Document, Kind
from ..core.store_position import StorePosition
from ..errors import PlatformError
from ..platform.store import ObjectStore
from .context import Gateway
from .store_reviews import review_repeatedly

# How often quarantines are compared with the store, in seconds.
REVIEW_INTERVAL_S = 0.1
# A host that itself saw one of the crashes behind a quarantine stores the quarantine at
# once. If that host crashes before it has done so, other hosts step in, in order of
# their rank among the hosts that may watch the store. The host of rank 0 steps in this
# long after it learned of the quarantine, in seconds, and each further rank this much
# later.
STEP_IN_DELAY_S = 0.5
# Time from the end of a write or deletion to the next one of the same quarantine, in
# seconds. The watch shows the first one before, unless the store is slow.
REWRITE_DELAY_S = 2.0


class QuarantineStore:
    """Stores quarantined requests and deletes those that are no longer quarantined.

    Only one host deletes them: that of rank 0 among the hosts that may watch the store.

    Guards against a loss of power on all hosts while a request is quarantined. No host
    would remember it, and it would crash three servers again before it is refused
    again. Hosts that start read the quarantine from the store.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    store : ObjectStore
        Client of the store.
    """

    __slots__ = (
        "_deleted_at",
        "_ended_since",
        "_gateway",
        "_repeated",
        "_store",
        "_written",
    )

    def __init__(self, gateway: Gateway, store: ObjectStore) -> None:
        self._gateway = gateway
        self._store = store
        # Since when this host has known a stored quarantine that does not hold, by
        # request and position; and those whose answer it has repeated.
        self._ended_since: dict[tuple[str, StorePosition], float] = {}
        self._repeated: set[tuple[str, StorePosition]] = set()
        # When this host deleted stored quarantines that its copy of the store still
        # shows, by request and position.
        self._deleted_at: dict[tuple[str, StorePosition], float] = {}
        # The servers that this host wrote last and when, by request, until its copy of
        # the store shows them.
        self._written: dict[str, tuple[tuple[str, ...], float]] = {}

    async def run(self) -> None:
        """Compare quarantines with the store at intervals until cancelled."""
        rng = self._gateway.steering.rng
        await review_repeatedly(self.review, REVIEW_INTERVAL_S, rng, self._note_failure)

    def _note_failure(self, exc: PlatformError) -> None:
        self._gateway.metrics.count(f"store.quarantine-{exc.code}")

    async def review(self) -> None:
        """Make the writes that are due: store some quarantines, and delete others."""
        ledger = self._gateway.crashes.ledger
        for request, entry in self._to_store():
            # The request may have been answered while the writes before were made.
            if ledger.quarantine.get(request) is not entry:
                continue
            outdated = self._stored().get(request)
            servers = entry.servers
            await self._store.put_quarantine(request, servers, outdated)
            self._written[request] = (servers, self._gateway.now())
            logs.event("quarantine-stored", request=request, servers=servers)
        if self._gateway.rank == 0:
            await self._delete_ended()
        else:
            self._repeat_answers()

    async def _delete_ended(self) -> None:
        ended = self._to_delete()
        keys = {_key(doc) for doc in ended}
        self._deleted_at = {k: at for k, at in self._deleted_at.items() if k in keys}
        for stored in ended:
            deleted_at = self._deleted_at.get(_key(stored), float("-inf"))
            if self._gateway.now() - deleted_at >= REWRITE_DELAY_S:
                await self._store.delete_quarantine(stored)
                self._deleted_at[_key(stored)] = self._gateway.now()
                logs.event("quarantine-deleted", request=stored.name)

    def _repeat_answers(self) -> None:
        """Tell all hosts again of the answers that end quarantines still stored.

        Guards against a host of rank 0 that still refuses a request, and so does not
        delete its quarantine: the report of the answer was lost, or its stream opened
        in that moment. Rank n repeats the answer after n * `STEP_IN_DELAY_S`, once for
        each write of the object.
        """
        now = self._gateway.now()
        ended = [doc for doc in self._to_delete() if self._is_cleared(doc.name)]
        since = self._ended_since
        self._ended_since = {doc: since.get(doc, now) for doc in map(_key, ended)}
        self._repeated &= self._ended_since.keys()
        rank = self._gateway.rank
        for key, seen_at in self._ended_since.items():
            due = rank is not None and now - seen_at > rank * STEP_IN_DELAY_S
            if due and key not in self._repeated:
                self._repeated.add(key)
                self._gateway.crashes.repeat_answer(key[0])

    def _is_cleared(self, request: str) -> bool:
        return self._gateway.crashes.ledger.cleared.get(request) is not None

    def _stored(self) -> dict[str, Document]:
        documents = self._gateway.steering.replica.known(Kind.QUARANTINE)
        return {doc.name: doc for doc in documents}

    def _to_store(self) -> list[tuple[str, Quarantine]]:
        ledger = self._gateway.crashes.ledger
        missing = {
            request: entry
            for request, entry in ledger.quarantine.items()
            if not ledger.is_stored(request)
        }
        self._written = {r: w for r, w in self._written.items() if r in missing}
        return [
            (request, entry)
            for request, entry in missing.items()
            if self._should_store(entry) and not self._just_written(request, entry)
        ]

    def _just_written(self, request: str, entry: Quarantine) -> bool:
        """Return whether this host has written a quarantine as it is a moment ago."""
        servers, at = self._written.get(request, ((), float("-inf")))
        is_recent = self._gateway.now() - at < REWRITE_DELAY_S
        return is_recent and servers == entry.servers

    def _should_store(self, entry: Quarantine) -> bool:
        """Return whether this host has to store a quarantine now.

        A host that saw one of the crashes stores the quarantine at once. Other hosts
        wait, in order of their rank among the hosts that may watch the store: rank n
        waits (1 + n) * `STEP_IN_DELAY_S`. A host without a rank, see
        `Gateway.review_rank`, stores only quarantines with a crash that it saw itself.
        """
        if entry.own:
            return True
        rank = self._gateway.rank
        waited_s = self._gateway.now() - entry.since
        return rank is not None and waited_s > (1 + rank) * STEP_IN_DELAY_S

    def _to_delete(self) -> list[Document]:
        # Read again here, since the writes before take time: a request that was just
        # stored may have been released meanwhile.
        quarantine = self._gateway.crashes.ledger.quarantine
        return [doc for name, doc in self._stored().items() if name not in quarantine]


def _key(doc: Document) -> tuple[str, StorePosition]:
    return doc.name, doc.position
