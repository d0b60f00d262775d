"""Which requests were running when backend servers crashed, and which one is to blame.

Designed for a request that crashes each server that begins to run it, and that its
caller repeats. Every crash costs the other requests at that server their responses, and
the server restarts cold: it has handled no object recently. No single host sees enough
of these crashes, since each repeat may arrive at another host. So hosts send each other
a report of each server that crashed, with the requests that the server was running.

A crash also affects harmless requests that were running at the server. They differ from
the request to blame in that another server responds to them: a response clears a
request of all crashes before it.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from .backend_state import Incarnation
from .cleared_crashes import UNKNOWN_BORN_MS, ClearedCrashes
from .quarantine import QuarantineList

# Number of crashes at which a request is quarantined. A harmless request can meet
# two crashes in a row while the servers of a service are killed one after the other. To
# meet three, it would have to hit each of them within the few tries that its caller
# makes.
QUARANTINE_CRASHES = 3
# How long a crash counts against the requests that were running at the server, in
# seconds. A caller that repeats a request by hand or by schedule does so within
# minutes.
REMEMBERED_S = 300.0
# Maximum number of crashes that are remembered, which limits their memory to some
# megabytes. The oldest crash is dropped first.
MAX_CRASHES_KEPT = 512


@dataclass(slots=True, frozen=True)
class ServerCrash:
    """A report that one run of a backend server has crashed.

    `requests` holds the fingerprints of requests that were running at the server. It
    may be empty, and several hosts may each report the requests that they had sent.
    `broke_at` is the latest monotonic time at which the connection of one of them can
    have broken, in seconds; None for the time of the report.
    """

    server: Incarnation
    requests: frozenset[str] = frozenset()
    broke_at: float | None = None


@dataclass(slots=True)
class _CrashRecord:
    """One crash; `first_report_at` is the monotonic time of its first report.

    `own` says whether this host has observed the crash itself. `requests` are the
    requests that the crash counts against. `broke_at` is as in `ServerCrash`, over all
    reports.
    """

    first_report_at: float
    own: bool = False
    broke_at: float = float("-inf")
    requests: set[str] = field(default_factory=set)


class CrashLedger:
    """Crashes of servers, the requests that they count against, and quarantines.

    Attributes
    ----------
    quarantine : QuarantineList
        The requests that are refused.
    cleared : ClearedCrashes
        The crashes that no longer count against a request.
    """

    __slots__ = (
        "_crashes",
        "_crashes_by_request",
        "_stored_servers",
        "cleared",
        "quarantine",
    )

    def __init__(self) -> None:
        self._crashes: dict[Incarnation, _CrashRecord] = {}
        self._crashes_by_request: dict[str, set[Incarnation]] = {}
        # The servers in each quarantine that the store holds, by request.
        self._stored_servers: dict[str, tuple[str, ...]] = {}
        self.cleared = ClearedCrashes()
        self.quarantine = QuarantineList()

    @property
    def has_suspects(self) -> bool:
        """Return whether a crash counts against a request, or any is quarantined."""
        return bool(self._crashes_by_request or self.quarantine)

    def has_crashed(self, server: Incarnation) -> bool:
        """Return whether a run of a server is known to have crashed."""
        return server in self._crashes

    def crash_count(self, request: str) -> int:
        """Return the number of crashes that count against a request."""
        return len(self._crashes_by_request.get(request, ()))

    def crash_requests(self, server: Incarnation) -> frozenset[str]:
        """Return the requests that the crash of a server counts against."""
        record = self._crashes.get(server)
        return frozenset(record.requests) if record else frozenset()

    def broke_at(self, server: Incarnation) -> float:
        """Return the latest time at which a connection of a crash can have broken.

        It is monotonic, in seconds, and minus infinity if no request is known that was
        running at the server.
        """
        return self._crashes[server].broke_at

    def record_crash(
        self, crash: ServerCrash, now: float, *, own: bool = False
    ) -> tuple[bool, list[str]]:
        """Record a report of a crash.

        Parameters
        ----------
        crash : ServerCrash
            The server that crashed, and the requests that were running there.
        now : float
            Monotonic time in seconds.
        own : bool
            Whether this host has observed the crash itself.

        Returns
        -------
        updated : bool
            Whether the crash was unknown, or the report names requests that the crash
            did not count against yet.
        quarantined : list of str
            Requests that are quarantined from now on.
        """
        known = self._crashes.get(crash.server)
        is_new = known is None
        if known is None:
            known = self._remember(crash.server, now)
        known.own = known.own or own
        new_requests = {
            request
            for request in crash.requests - known.requests
            if not self.cleared.covers(request, crash.server)
        }
        known.requests |= new_requests
        if new_requests:
            broke_at = now if crash.broke_at is None else min(now, crash.broke_at)
            known.broke_at = max(known.broke_at, broke_at)
        quarantined = []
        for request in sorted(new_requests):
            self._crashes_by_request.setdefault(request, set()).add(crash.server)
            if request in self.quarantine:
                self._crashed_again(request, crash.server, now, own=own)
            elif self.crash_count(request) >= QUARANTINE_CRASHES:
                self._quarantine_request(request, now)
                quarantined.append(request)
        return is_new or bool(new_requests), quarantined

    def _crashed_again(
        self, request: str, server: Incarnation, now: float, *, own: bool
    ) -> None:
        """Count a crash against a quarantined request, unless the store named it.

        Guards against a trial that is put off by reports of the crashes that a host has
        read from the store when it started.
        """
        held = self.quarantine.get(request)
        reported = self._crashes_by_request[request] - {server}
        reported_ids = {server_id for server_id, _ in reported}
        if server[0] in held.servers and server[0] not in reported_ids:
            return
        self.quarantine.crashed_again(request, server[0], now, own=own)

    def _remember(self, server: Incarnation, now: float) -> _CrashRecord:
        while len(self._crashes) >= MAX_CRASHES_KEPT:
            self._forget(next(iter(self._crashes)))
        record = _CrashRecord(now)
        self._crashes[server] = record
        return record

    def _forget(self, server: Incarnation) -> None:
        for request in list(self._crashes[server].requests):
            self._remove(request, server)
        del self._crashes[server]

    def _quarantine_request(self, request: str, now: float) -> None:
        crashes = sorted(self._crashes_by_request[request])
        own = any(self._crashes[server].own for server in crashes)
        servers = tuple(server_id for server_id, _ in crashes)
        self.quarantine.add(request, servers, now, own=own)
        self.quarantine.schedule_early_trials(request, now)

    def answered(self, request: str) -> bool:
        """Clear a request that a server has answered; return whether that was needed.

        Guards against three crashes of servers under load while a popular request is
        running there each time. All callers that send the same request would be refused
        for minutes, although servers answer it in between.
        """
        if request not in self._crashes_by_request and request not in self.quarantine:
            return False
        self.release(request)
        return True

    def release(self, request: str) -> None:
        """End a request's quarantine, and clear it of all crashes known here."""
        self.clear(request, self.crashes_against(request))
        self.quarantine.release(request)

    def crashes_against(self, request: str) -> list[Incarnation]:
        """Return the crashes that count against a request, reported or only stored."""
        reported = sorted(self._crashes_by_request.get(request, ()))
        reported_ids = {server_id for server_id, _ in reported}
        held = self.quarantine.get(request)
        stored_ids = [] if held is None else held.servers
        return reported + [
            (server_id, UNKNOWN_BORN_MS)
            for server_id in stored_ids
            if server_id not in reported_ids
        ]

    def clear(
        self, request: str, crashes: Collection[Incarnation], by_host: str = ""
    ) -> bool:
        """Clear a request of crashes, as a host that got a response to it reports.

        The quarantine of the request ends unless enough other crashes count against it.

        Parameters
        ----------
        request : str
            Fingerprint of the request.
        crashes : collection of Incarnation
            The crashes before the response, as that host knew them.
        by_host : str, optional
            Id of that host; empty for this host.

        Returns
        -------
        is_news : bool
            Whether the request was not cleared of all these crashes before.
        """
        if not self.cleared.add(request, crashes, by_host):
            return False
        for server in list(self._crashes_by_request.get(request, ())):
            if self.cleared.covers(request, server):
                self._remove(request, server)
        self._review_quarantine(request)
        return True

    def _remove(self, request: str, server: Incarnation) -> None:
        self._crashes[server].requests.discard(request)
        crashes = self._crashes_by_request[request]
        crashes.discard(server)
        if not crashes:
            del self._crashes_by_request[request]

    def _review_quarantine(self, request: str) -> None:
        """End a request's quarantine if too few crashes are left that count."""
        held = self.quarantine.get(request)
        if held is None:
            return
        counted_ids = {s for s, _ in self._crashes_by_request.get(request, ())}
        not_cleared = self.cleared.without_cleared(request, held.servers)
        left = tuple(s for s in held.servers if s in counted_ids or s in not_cleared)
        if len(set(left)) < min(QUARANTINE_CRASHES, len(held.servers)):
            self.quarantine.release(request)
        else:
            held.servers = left

    def add_stored_quarantine(
        self, request: str, servers: tuple[str, ...], now: float
    ) -> bool:
        """Add a quarantine that some host has written to the store.

        Guards against a write or a watch of the store that is late: the request may
        have been answered since, and would be refused again by all hosts.

        Returns
        -------
        holds : bool
            False if the request is cleared of the crashes that the quarantine names.
        """
        self._stored_servers[request] = servers
        if self._is_outdated(request, servers):
            return False
        left = self.cleared.without_cleared(request, servers)
        if request in self.quarantine:
            self.quarantine.add_servers(request, left)
        else:
            self.quarantine.add(request, left, now)
        return True

    def _is_outdated(self, request: str, servers: tuple[str, ...]) -> bool:
        left = self.cleared.without_cleared(request, servers)
        return len(left) < len(servers) and len(set(left)) < QUARANTINE_CRASHES

    def is_stored(self, request: str) -> bool:
        """Return whether the store holds the quarantine of a request as it is here.

        A stored quarantine that cannot be decoded does not count, nor one that lacks a
        crash: a host that knows only the stored ones could not clear the request of it.
        """
        servers = self._stored_servers.get(request)
        held = self.quarantine.get(request)
        if servers is None or self._is_outdated(request, servers):
            return False
        return held is None or set(held.servers) <= set(servers)

    def forget_stored(self, request: str) -> tuple[str, ...]:
        """Forget the stored quarantine of a request; return the servers it named."""
        return self._stored_servers.pop(request, ())

    def stored_quarantine_deleted(self, request: str) -> None:
        """End a quarantine that an operator or a host has deleted from the store.

        Guards against the deletion of a quarantine that ended before, which arrives
        when the request has crashed enough servers again.
        """
        servers = self.forget_stored(request)
        if self.cleared.without_cleared(request, servers):
            self.release(request)

    def lost_by_store(self, request: str, now: float) -> None:
        """Note that the store was restored and lacks a quarantine."""
        self.forget_stored(request)
        self.quarantine.lost_by_store(request, now)

    def review(self, now: float) -> list[str]:
        """Drop old crashes and quarantines; return requests now released."""
        old_servers = [
            server
            for server, record in self._crashes.items()
            if now - record.first_report_at > REMEMBERED_S
        ]
        for server in old_servers:
            self._forget(server)
        expired = self.quarantine.expired(now)
        for request in expired:
            self.release(request)
        return expired
