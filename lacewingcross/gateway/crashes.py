"""Detects crashes of backend servers and the requests that were running there."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field

from .. import logs
from ..core import messages as msg
from ..core.backend_state import Incarnation, ServerEntry
from ..core.cleared_crashes import Clearance
from ..core.crash_gossip import CrashGossip
from ..core.crashes import CrashLedger, ServerCrash
from ..core.paths.findings import Finding
from ..core.recent_answers import RecentAnswers
from ..core.steering import Steering
from ..http1_client import HttpError
from ..metrics import Metrics
from .backend_connection import REFUSED
from .backends import Backends

# A process that crashes closes its connections and its listener one after the other. A
# connection that it still accepted in between is lost within this time, in seconds.
CONNECTION_SETTLE_S = 0.02
# Results of a check that finds a server running: it accepts connections of this host,
# or only those of another one.
LISTENS = "listens"
PATH_LOST = "path-lost"
# Maximum number of connections that one check of a server opens. A connection that the
# server accepts and closes again shows nothing, so the check opens another one.
MAX_CHECKS = 3


Find = Callable[[ServerEntry], Awaitable[Finding]]


@dataclass(slots=True)
class BrokenConnections:
    """The requests whose connections to a server broke, and when the last one did.

    `requests` holds their fingerprints. The time is monotonic, in seconds.
    """

    requests: set[str] = field(default_factory=set)
    last_at: float = float("-inf")


async def probe(backends: Backends, entry: ServerEntry) -> str:
    """Return why a server accepts no connection, empty if it accepts one.

    A connection that the server accepts and keeps open is pooled.
    """
    for _ in range(MAX_CHECKS):
        try:
            if await backends.open_spare(entry, CONNECTION_SETTLE_S):
                return ""
        except HttpError as exc:
            return exc.reason
    return "silent"


async def _believe_refusal(_entry: ServerEntry) -> Finding:
    return Finding.REFUSED


class CrashWatch:
    """Checks servers whose connections broke and records crashes in the ledger.

    Guards against a request that crashes each server that begins to run it, while its
    caller sends it again to any host. A host only sees that a connection was closed,
    which also happens when a server merely drops the connection. So the host checks the
    server: if its port then refuses connections, the server has crashed. Its entry in
    the store shows that only seconds later.

    Parameters
    ----------
    steering : Steering
        Holds the ledger of crashes and the servers that are skipped.
    backends : Backends
        Connections to servers.
    metrics : Metrics
        Counters and gauges of this host.
    now : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    gossip : CrashGossip
        The reports of crashes and of answered requests that are to be sent to other
        hosts.
    on_gossip : callable
        Called when `gossip` has a new item.
    find : callable
        Coroutine function that returns what other hosts find of a server that refuses
        this one; by default every refusal is a crash.
    has_open : callable
        Returns whether this host has an open connection to a run of a server.
    """

    __slots__ = (
        "_backends",
        "_broken",
        "_checks",
        "_metrics",
        "_now",
        "_recent_answers",
        "_reports",
        "_steering",
        "find",
        "gossip",
        "has_open",
        "on_gossip",
    )

    def __init__(
        self,
        steering: Steering,
        backends: Backends,
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        self._steering = steering
        self._backends = backends
        self._metrics = metrics
        self._now = now
        # The connections to a server that broke, until its check has ended.
        self._broken: dict[Incarnation, BrokenConnections] = {}
        self._recent_answers = RecentAnswers()
        # Reports of other hosts that wait for a check of this host.
        self._reports: dict[Incarnation, list[tuple[ServerCrash, str]]] = {}
        self._checks: dict[Incarnation, asyncio.Task[None]] = {}
        self.gossip = CrashGossip(steering.crashes)
        self.on_gossip: Callable[[], None] = lambda: None
        self.find: Find = _believe_refusal
        self.has_open: Callable[[Incarnation], bool] = lambda server: False

    @property
    def ledger(self) -> CrashLedger:
        """Return the ledger of crashes."""
        return self._steering.crashes

    def connection_broke(
        self, entry: ServerEntry, request: str
    ) -> asyncio.Task[None] | None:
        """Note that the connection to a server broke while it ran a request.

        Parameters
        ----------
        entry : ServerEntry
            The server.
        request : str
            Fingerprint of the request.

        Returns
        -------
        check : asyncio.Task or None
            The check whether the server has crashed; one check serves all connections
            to that server that break meanwhile. None if the crash is known already.
        """
        server = entry.incarnation
        if self.ledger.has_crashed(server):
            self.record(ServerCrash(server, frozenset((request,)), self._now()))
            return None
        broken = self._broken.setdefault(server, BrokenConnections())
        broken.requests.add(request)
        broken.last_at = self._now()
        if server not in self._checks:
            self._start(server, self._check(entry))
        return self._checks[server]

    def connection_refused(self, entry: ServerEntry) -> None:
        """Note that the address of a server refuses connections.

        The server has crashed, or only this host is cut off from it.
        """
        server = entry.incarnation
        if self.ledger.has_crashed(server):
            self._record_refused(entry)
        elif server not in self._checks:
            self._start(server, self._check_refused(entry))

    def _start(
        self, server: Incarnation, check: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(check)
        self._checks[server] = task
        task.add_done_callback(lambda _task: self._checks.pop(server, None))
        return task

    def _record_refused(self, entry: ServerEntry) -> None:
        """Record the crash of a server that refuses connections.

        Guards against another host that reports the crash before the check of this host
        has ended. The requests that this host had at the server, often including the
        one that caused the crash, would not be counted. So the crash counts against the
        requests whose connections broke here even if it is known already.
        """
        server = entry.incarnation
        broken = self._broken.pop(server, None)
        if broken is not None:
            requests = frozenset(broken.requests)
            self.record(ServerCrash(server, requests, broken.last_at))
        elif not self.ledger.has_crashed(server):
            self.record(ServerCrash(server))

    def note_answer(self, fingerprint: Callable[[], str]) -> None:
        """Note that a server has answered the request with a fingerprint."""
        self._recent_answers.add(fingerprint, self._now())
        if self.ledger.has_suspects:
            self.answered(fingerprint())

    def answered(self, request: str) -> None:
        """Note that a server has answered a request.

        If crashes counted against the request, it is cleared of them and other hosts
        are informed.

        Parameters
        ----------
        request : str
            Fingerprint of the request.
        """
        if self.ledger.answered(request):
            self._announce_cleared(request, "")

    def repeat_answer(self, request: str) -> None:
        """Tell all hosts again which crashes a request is cleared of."""
        logs.event("request-cleared-again", request=request)
        self.gossip.answered(request)
        self.on_gossip()

    async def _check(self, entry: ServerEntry) -> None:
        """Check whether a server still accepts connections.

        The server counts as crashed only if its address refuses connections, or if
        another host has reported the crash meanwhile. A connection that the server
        accepts and keeps open is pooled: it replaces the connection that broke.
        """
        reports = self._reports.setdefault(entry.incarnation, [])
        while True:
            count = len(reports)
            reason = await probe(self._backends, entry) or LISTENS
            if reason == REFUSED:
                reason = await self._confirm(entry)
            if reason not in (LISTENS, PATH_LOST) or len(reports) == count:
                break
            # A report that has arrived meanwhile may be of a later crash.
        self._conclude(entry, reason)

    async def _check_refused(self, entry: ServerEntry) -> None:
        """Check whether a server that has just refused a connection has crashed."""
        self._conclude(entry, await self._confirm(entry))

    def _conclude(self, entry: ServerEntry, reason: str) -> None:
        """Record a crash, or that the server is kept, after a check.

        Reports of other hosts are refuted if the server accepts connections of this
        host or of the host that this one has asked. Otherwise they are believed.
        """
        server = entry.incarnation
        reports = self._reports.pop(server, [])
        if reason in (LISTENS, PATH_LOST):
            for _, source in reports:
                self._metrics.count("servers.ended-refuted")
                logs.event(
                    "crash-report-refuted",
                    server=entry.server_id,
                    source=source,
                    why=reason,
                )
        else:
            for crash, source in reports:
                self.record(crash, source)
        if reason == REFUSED or self.ledger.has_crashed(server):
            self._record_refused(entry)
        else:
            self._keep(entry, reason)

    async def _confirm(self, entry: ServerEntry) -> str:
        """Return `REFUSED` if a server that refuses this host has crashed.

        Otherwise return why it is kept.
        """
        if self.ledger.has_crashed(entry.incarnation):
            return REFUSED
        finding = await self.find(entry)
        if finding is Finding.REFUSED:
            return REFUSED
        return PATH_LOST if finding is Finding.REACHED else finding.value

    def _keep(self, entry: ServerEntry, reason: str) -> None:
        broken = self._broken.pop(entry.incarnation, BrokenConnections())
        logs.event(
            "server-kept",
            server=entry.server_id,
            why=reason,
            requests=sorted(broken.requests),
        )

    def receive(
        self, source: str, message: msg.ServerEnded | msg.RequestAnswered
    ) -> None:
        """Apply a message of another host.

        Parameters
        ----------
        source : str
            Id of the host that has sent the message.
        message : ServerEnded or RequestAnswered
            The message.
        """
        if isinstance(message, msg.RequestAnswered):
            crashes = message.crashes
            if self.ledger.clear(message.request, crashes, message.host_id):
                self._announce_cleared(message.request, source)
            return
        server = (message.server_id, message.born_ms)
        broke_at = self._now() - message.age_s
        crash = ServerCrash(server, frozenset(message.requests), broke_at)
        entry = self._doubted(server)
        if entry is None:
            self.record(crash, source)
            return
        self._reports.setdefault(server, []).append((crash, source))
        if server not in self._checks:
            self._start(server, self._check(entry))

    def _doubted(self, server: Incarnation) -> ServerEntry | None:
        """Return the server of a report if this host has reason to check it first.

        Guards against a host that takes a partition for a crash. An open connection
        here speaks against the crash: those to a process that has ended are closed.
        """
        if self.ledger.has_crashed(server) or not self.has_open(server):
            return None
        known = self._steering.placement.known.servers.get(server[0])
        if known is None or known.entry.incarnation != server:
            return None
        return known.entry

    def record(self, crash: ServerCrash, source: str = "") -> None:
        """Record a crash that this host has observed, or the host `source` reports."""
        now = self._now()
        is_new = not self.ledger.has_crashed(crash.server)
        changed, quarantined = self.ledger.record_crash(crash, now, own=not source)
        if not changed:
            return
        if is_new:
            self._skip_server(crash.server, now)
            self._metrics.count("servers.ended")
        logs.event(
            "server-ended",
            server=crash.server[0],
            born_ms=crash.server[1],
            requests=sorted(crash.requests),
            source=source or "own",
        )
        for request in quarantined:
            self._note_quarantine(request)
        self.gossip.crashed(crash.server, source)
        self._clear_answered(crash.server)
        self.on_gossip()

    def _clear_answered(self, server: Incarnation) -> None:
        """Clear the requests that were answered here between a crash and its report."""
        requests = self.ledger.crash_requests(server)
        if not requests:
            return
        for request in self._recent_answers.later_than(self.ledger.broke_at(server)):
            if request in requests and self.ledger.clear(request, [server]):
                self._announce_cleared(request, "")

    def _skip_server(self, server: Incarnation, now: float) -> None:
        """Skip a server for a while after any host has seen it crash.

        Guards against a crashed server that each host discovers only when a request of
        its own cannot connect. Callers would be refused when both servers that were
        tried have crashed, above all when servers crash and restart one after the
        other. The report of one host is enough for all hosts to skip the server.
        """
        known = self._steering.placement.known.servers.get(server[0])
        if known is not None and known.entry.incarnation == server:
            known.passive_health.crashed(now)

    def _note_quarantine(self, request: str) -> None:
        entry = self.ledger.quarantine.get(request)
        self._metrics.count("quarantines")
        logs.event(
            "request-quarantined",
            "WARNING",
            request=request,
            servers=list(entry.servers),
            trial_in_s=round(entry.refused_for_s(self._now()), 1),
        )

    def _announce_cleared(self, request: str, source: str) -> None:
        clearance = self.ledger.cleared.get(request) or Clearance("")
        logs.event(
            "request-cleared",
            request=request,
            source=source or "own",
            answered_by=clearance.by_host or "own",
            servers=clearance.server_ids,
            quarantined=request in self.ledger.quarantine,
        )
        self.gossip.answered(request, source)
        self.on_gossip()

    def review(self) -> None:
        """Forget old crashes and release requests whose quarantine has expired."""
        for request in self.ledger.review(self._now()):
            logs.event("request-released", request=request, why="time")

    def close(self) -> None:
        """Cancel all checks."""
        for task in list(self._checks.values()):
            task.cancel()
