"""Keeps quarantined requests in the store, so that they outlive all hosts."""

import asyncio

from .. import logs
from ..backoff import Backoff
from ..core.quarantine import Quarantine
from ..core.replica import Kind
from ..errors import PlatformError
from ..platform.store import ObjectStore
from .context import Gateway

REVIEW_INTERVAL_S = 0.1
# The host that saw the deciding end stores it. When it dies over it, the others step in
# one after the other, each so much later than the one before, in seconds.
STEP_IN_DELAY_S = 0.5


class QuarantineStore:
    """Stores what is quarantined and deletes what is not any more.

    Failure: all hosts lose power while a request is refused. Nobody remembers it, and
    it ends three servers again before it is refused anew.

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
        """Review again and again, until cancelled."""
        backoff = Backoff(self._gateway.steering.rng)
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            try:
                await self._review()
                backoff.reset()
            except PlatformError as exc:
                self._gateway.metrics.count(f"store.quarantine-{exc.code}")
                await backoff.wait()

    async def _review(self) -> None:
        for request, entry in self._missing():
            await self._store.put_quarantine(request, entry.servers)
            logs.event("quarantine-stored", request=request, servers=entry.servers)
        if self._gateway.rank == 0:
            for request in self._surplus():
                await self._store.delete_quarantine(request)
                logs.event("quarantine-deleted", request=request)

    def _stored(self) -> set[str]:
        documents = self._gateway.steering.replica.known(Kind.QUARANTINE)
        return {doc.name for doc in documents}

    def _missing(self) -> list[tuple[str, Quarantine]]:
        quarantine = self._gateway.crashes.ledger.quarantine
        if not quarantine:
            return []
        stored = self._stored()
        return [
            (request, entry)
            for request, entry in quarantine.items()
            if request not in stored and self._should_store(entry)
        ]

    def _should_store(self, entry: Quarantine) -> bool:
        """Tell whether this host has to store a quarantine now."""
        if entry.own:
            return True
        rank = self._gateway.rank
        waited_s = self._gateway.now() - entry.since
        return rank is not None and waited_s > (1 + rank) * STEP_IN_DELAY_S

    def _surplus(self) -> set[str]:
        # Read anew: what was stored may have been released during the writes before.
        quarantine = self._gateway.crashes.ledger.quarantine
        return {request for request in self._stored() if request not in quarantine}
