"""The platform stand-in's objects: versions, conditional updates, history."""

import asyncio
from collections import deque
from dataclasses import dataclass

HISTORY = 5000


@dataclass(slots=True, frozen=True)
class Change:
    """One version of one object; `value` is None for a deletion."""

    key: str
    version: int
    value: object


class Store:
    """Objects by key under one rising version number."""

    __slots__ = ("_history", "_objects", "_waiters", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, Change] = {}
        self._history: deque[Change] = deque(maxlen=HISTORY)
        self._waiters: set[asyncio.Future[None]] = set()

    def get(self, key: str) -> Change | None:
        """Return the object at `key`."""
        return self._objects.get(key)

    def of_kinds(self, kinds: set[str]) -> list[Change]:
        """Return the objects of some kinds."""
        return [item for item in self._objects.values() if _kind(item.key) in kinds]

    def put(self, key: str, value: object) -> Change:
        """Store a new version and wake the watchers."""
        self.revision += 1
        change = Change(key, self.revision, value)
        if value is None:
            self._objects.pop(key, None)
        else:
            self._objects[key] = change
        self._history.append(change)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()
        return change

    def compacted(self, after: int) -> bool:
        """Tell whether changes above `after` are no longer all known."""
        if not self._history or len(self._history) < HISTORY:
            return False
        return after < self._history[0].version - 1

    def changes(self, kinds: set[str], after: int) -> list[Change]:
        """Return the changes of some kinds above version `after`."""
        return [
            item
            for item in self._history
            if item.version > after and _kind(item.key) in kinds
        ]

    async def wait(self, timeout_s: float) -> None:
        """Return at the next change or after `timeout_s`."""
        fut = asyncio.get_running_loop().create_future()
        self._waiters.add(fut)
        try:
            async with asyncio.timeout(timeout_s):
                await fut
        except TimeoutError:
            self._waiters.discard(fut)


def _kind(key: str) -> str:
    return key.partition("/")[0]
