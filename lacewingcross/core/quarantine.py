"""Requests that are refused because backend servers crash while they run them.

The request that causes crashes cannot always be distinguished from one that is only
running at the server each time: a popular request goes to the same servers as a bad one
for the same object, and each crash interrupts the popular request before it is
answered. So a quarantine can be wrong, and a trial can end it: a single host of the
fleet sends the request once, and a response clears the request on all hosts.
"""

from dataclasses import dataclass

# Maximum number of quarantined requests; the oldest is dropped first.
MAX_QUARANTINES_KEPT = 1000
# Maximum number of servers of one quarantine.
MAX_SERVERS_KEPT = 64
# How long a request is refused after the last crash that counts against it, or after
# its quarantine was read from the store, in seconds, unless a trial clears the request.
# If no trial clears it in this time, its caller has stopped sending it, or it really
# causes crashes.
QUARANTINE_S = 3600.0
# Time to the next trial of a request from the start of its quarantine, its last crash
# or the start of its last trial, in seconds. A server that crashes is missing for some
# ten seconds, restart included, so the trials of a bad request cost less than 2 in 100
# of a server's time.
TRIAL_INTERVAL_S = 600.0
# Time to the first trial if several requests were running at the same servers that
# crashed, in seconds. Most of these requests are harmless, and a server has restarted
# by then. It is also the time to the next trial if no server began to run the request,
# and the retry time of callers while a trial is due.
EARLY_TRIAL_S = 5.0


@dataclass(slots=True)
class Quarantine:
    """A request that is refused until `until`, except for trials.

    `servers` are the ids of the servers that crashed while they ran the request. `own`
    says that this host itself observed one of the crashes, and so is the first to store
    the quarantine. `since` is when this host added the quarantine or heard of its last
    crash, or when the store lost it. Times are monotonic, in seconds.
    """

    servers: tuple[str, ...]
    own: bool
    since: float
    until: float
    next_trial_at: float

    def refused_for_s(self, now: float) -> float:
        """Return the time after which the caller should retry, in seconds."""
        due_s = self.next_trial_at - now
        return due_s if due_s > 0 else EARLY_TRIAL_S


class QuarantineList:
    """All quarantined requests, by fingerprint, the oldest first."""

    __slots__ = ("_by_request",)

    def __init__(self) -> None:
        self._by_request: dict[str, Quarantine] = {}

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request: str) -> bool:
        return request in self._by_request

    def get(self, request: str) -> Quarantine | None:
        """Return a request's quarantine, or None."""
        return self._by_request.get(request)

    def items(self) -> list[tuple[str, Quarantine]]:
        """Return all requests and their quarantines."""
        return list(self._by_request.items())

    def add(
        self, request: str, servers: tuple[str, ...], now: float, *, own: bool = False
    ) -> None:
        """Quarantine a request that `servers` were running when they crashed."""
        while len(self._by_request) >= MAX_QUARANTINES_KEPT:
            del self._by_request[next(iter(self._by_request))]
        until = now + QUARANTINE_S
        self._by_request[request] = Quarantine(
            servers, own, now, until, now + TRIAL_INTERVAL_S
        )

    def schedule_early_trials(self, request: str, now: float) -> None:
        """Schedule early trials if other quarantined requests have the same servers.

        The trials of all these requests are moved forward. This method must not be
        called for a quarantine that was read from the store: its request may have
        failed its trial before this host started, and would crash one more server at
        each start of a host.
        """
        quarantine = self._by_request[request]
        same_servers = [
            other
            for other in self._by_request.values()
            if set(other.servers) == set(quarantine.servers)
        ]
        if len(same_servers) > 1:
            soon = now + EARLY_TRIAL_S
            for other in same_servers:
                other.next_trial_at = min(other.next_trial_at, soon)

    def crashed_again(
        self, request: str, server_id: str, now: float, *, own: bool = False
    ) -> None:
        """Note that one more server has crashed while it ran a quarantined request.

        The quarantine and the time to the next trial start again, and the host that saw
        the crash stores it.
        """
        quarantine = self._by_request[request]
        self.add_servers(request, (server_id,))
        quarantine.own = quarantine.own or own
        quarantine.since = now
        quarantine.until = now + QUARANTINE_S
        quarantine.next_trial_at = now + TRIAL_INTERVAL_S

    def add_servers(self, request: str, server_ids: tuple[str, ...]) -> None:
        """Add servers to a quarantine.

        Beyond the limit, the first in order of their names are dropped: hosts that
        learn of the servers in any order keep the same ones, and agree on what to
        store.
        """
        quarantine = self._by_request[request]
        names = dict.fromkeys((*quarantine.servers, *server_ids))
        kept = set(sorted(names)[-MAX_SERVERS_KEPT:])
        quarantine.servers = tuple(name for name in names if name in kept)

    def trial_due(self, request: str, now: float) -> bool:
        """Return whether a request is quarantined and its next trial is due."""
        quarantine = self._by_request.get(request)
        return quarantine is not None and now >= quarantine.next_trial_at

    def begin_trial(self, request: str, now: float) -> None:
        """Note the start of a trial; until the next trial the request is refused."""
        self._by_request[request].next_trial_at = now + TRIAL_INTERVAL_S

    def trial_inconclusive(self, request: str, now: float) -> None:
        """Note that no server began to run the request; its trial is repeated soon."""
        if request in self._by_request:
            self._by_request[request].next_trial_at = now + EARLY_TRIAL_S

    def lost_by_store(self, request: str, now: float) -> None:
        """Note that the store was restored and lacks a quarantine.

        All hosts know it by now, so they step in one after the other to store it again,
        and not at once all that saw one of the crashes.
        """
        quarantine = self._by_request.get(request)
        if quarantine is not None:
            quarantine.own = False
            quarantine.since = now

    def release(self, request: str) -> None:
        """End the quarantine of a request."""
        self._by_request.pop(request, None)

    def expired(self, now: float) -> list[str]:
        """Return the requests whose quarantine has expired."""
        return [
            name
            for name, quarantine in self._by_request.items()
            if now >= quarantine.until
        ]
