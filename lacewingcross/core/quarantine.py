"""Requests that are refused since backend servers end under them.

What ends servers cannot always be told from what is only always there: a popular
request goes to the same servers as a bad one for the same object, and is cut off each
time before it is answered. So a quarantine can be wrong, and ends by a trial: one host
of all sends the request once, and what it is answered clears it everywhere.
"""

from dataclasses import dataclass

# Quarantined requests that are kept at most; the oldest goes first.
KEPT = 1000
# How long a request is refused after the last server has ended under it, in seconds,
# when no trial shows it to be harmless: its caller no longer sends it, or it is bad.
HELD_S = 3600.0
# Time to the next trial, in seconds. A server that ends is missing for some ten seconds
# with its start, so a bad request costs less than 2 in 100 of one server.
TRIAL_EVERY_S = 600.0
# Time to the first trial when several requests were at the same servers, in seconds:
# most of them are harmless, and a server is back by then.
TRIAL_IN_DOUBT_S = 5.0


@dataclass(slots=True)
class Quarantine:
    """A request that is refused until `until`, but for trials.

    `own` tells that this host saw a server end under it. Times are monotonic, in
    seconds.
    """

    servers: tuple[str, ...]
    own: bool
    since: float
    until: float
    next_trial_at: float

    def refused_for(self, now: float) -> float:
        """Return when the caller should come back, in seconds."""
        due_s = self.next_trial_at - now
        return due_s if due_s > 0 else TRIAL_IN_DOUBT_S


class QuarantineList:
    """All quarantined requests, by fingerprint, the oldest first."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held: dict[str, Quarantine] = {}

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, request: str) -> bool:
        return request in self._held

    def get(self, request: str) -> Quarantine | None:
        """Return a request's quarantine, or None."""
        return self._held.get(request)

    def items(self) -> list[tuple[str, Quarantine]]:
        """Return all requests and their quarantines."""
        return list(self._held.items())

    def add(
        self, request: str, servers: tuple[str, ...], now: float, *, own: bool = False
    ) -> None:
        """Quarantine a request under which these servers have ended."""
        while len(self._held) >= KEPT:
            del self._held[next(iter(self._held))]
        until = now + HELD_S
        self._held[request] = Quarantine(servers, own, now, until, now + TRIAL_EVERY_S)

    def doubt(self, request: str, now: float) -> None:
        """Have a request tried soon, and others that were at the same servers.

        Not for one that was read from the store: it may have failed its trial before
        this host started, and would end one more server at each start.
        """
        held = self._held[request]
        alike = [o for o in self._held.values() if set(o.servers) == set(held.servers)]
        if len(alike) > 1:
            soon = now + TRIAL_IN_DOUBT_S
            for other in alike:
                other.next_trial_at = min(other.next_trial_at, soon)

    def ended_again(self, request: str, server_id: str, now: float) -> None:
        """Note that one more server has ended under a quarantined request."""
        held = self._held[request]
        held.servers = (*held.servers, server_id)
        held.until = now + HELD_S
        held.next_trial_at = now + TRIAL_EVERY_S

    def trial_due(self, request: str, now: float) -> bool:
        """Tell whether a request may be tried."""
        held = self._held.get(request)
        return held is not None and now >= held.next_trial_at

    def begin_trial(self, request: str, now: float) -> None:
        """Note that a request is tried; nothing else of it is sent meanwhile."""
        self._held[request].next_trial_at = now + TRIAL_EVERY_S

    def trial_inconclusive(self, request: str, now: float) -> None:
        """Note that no server has begun to run a request that was tried."""
        if request in self._held:
            self._held[request].next_trial_at = now + TRIAL_IN_DOUBT_S

    def release(self, request: str) -> None:
        """Refuse a request no longer."""
        self._held.pop(request, None)

    def over(self, now: float) -> list[str]:
        """Return the requests that were refused for long enough."""
        return [name for name, held in self._held.items() if now >= held.until]
