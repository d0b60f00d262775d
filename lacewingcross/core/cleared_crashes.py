"""Crashes of servers that no longer count against a request.

A response clears a request of the crashes before it, and of none after it. Hosts hear
of the response, of the crashes and of the quarantine in the store in any order, late or
more than once. So what is cleared is not a request for some time, but single crashes.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from .backend_state import Incarnation
from .quarantine import MAX_SERVERS_KEPT

# Maximum number of requests, and of crashes for each of them, that are kept. The oldest
# are dropped first.
MAX_REQUESTS_KEPT = 1000
MAX_CRASHES_PER_REQUEST = 2 * MAX_SERVERS_KEPT
# Start time of a server whose crash is known only from a stored quarantine, which names
# servers by id.
UNKNOWN_BORN_MS = 0


@dataclass(slots=True)
class Clearance:
    """The crashes that one request is cleared of, the oldest first.

    `by_host` is the id of the host whose report cleared the latest ones, empty for this
    host.
    """

    by_host: str
    # A dict keeps the order; its values are not used.
    crashes: dict[Incarnation, None] = field(default_factory=dict)

    @property
    def server_ids(self) -> list[str]:
        """Return the ids of the servers that crashed."""
        return [server_id for server_id, _ in self.crashes]


class ClearedCrashes:
    """The crashes that requests are cleared of, by fingerprint of the request."""

    __slots__ = ("_by_request",)

    def __init__(self) -> None:
        self._by_request: dict[str, Clearance] = {}

    def get(self, request: str) -> Clearance | None:
        """Return what a request is cleared of, or None."""
        return self._by_request.get(request)

    def add(self, request: str, crashes: Iterable[Incarnation], by_host: str) -> bool:
        """Clear a request of crashes; return whether it was not cleared of all yet."""
        new = [crash for crash in crashes if not self.covers(request, crash)]
        if not new:
            return False
        clearance = self._by_request.pop(request, None) or Clearance(by_host)
        clearance.by_host = by_host
        clearance.crashes.update(dict.fromkeys(new))
        _drop_oldest(clearance.crashes, MAX_CRASHES_PER_REQUEST)
        self._by_request[request] = clearance
        _drop_oldest(self._by_request, MAX_REQUESTS_KEPT)
        return True

    def covers(self, request: str, crash: Incarnation) -> bool:
        """Return whether a request is cleared of a crash."""
        clearance = self._by_request.get(request)
        if clearance is None:
            return False
        any_run = (crash[0], UNKNOWN_BORN_MS)
        return crash in clearance.crashes or any_run in clearance.crashes

    def without_cleared(
        self, request: str, server_ids: Collection[str]
    ) -> tuple[str, ...]:
        """Return the servers whose crashes a request is not cleared of."""
        clearance = self._by_request.get(request)
        if clearance is None:
            return tuple(server_ids)
        cleared_ids = set(clearance.server_ids)
        return tuple(name for name in server_ids if name not in cleared_ids)


def _drop_oldest(kept: dict, limit: int) -> None:
    while len(kept) > limit:
        del kept[next(iter(kept))]
