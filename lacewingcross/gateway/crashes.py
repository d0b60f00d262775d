"""Finds out which backend servers have ended, and under which requests."""

import asyncio
from collections.abc import Callable

from .. import logs
from ..core import messages as msg
from ..core.backend_state import Incarnation, ServerEntry
from ..core.crash_gossip import CrashGossip
from ..core.crashes import CrashLedger, ServerCrash
from ..core.steering import Steering
from ..http1_client import HttpError
from ..metrics import Metrics
from .backend_connection import REFUSED
from .backends import Backends

# A process that ends closes its connections and its listener one after the other. A
# connection that was still accepted in between is lost within this time, in seconds.
CONNECTION_SETTLE_S = 0.02
# How often a server is asked until its answer counts.
MAX_CHECKS = 3


class CrashWatch:
    """Checks servers whose connections broke, and keeps the ledger of those that ended.

    Failure: a request ends each server that begins to run it and comes again at any
    host. What a host sees is a connection that was closed; so does a server that only
    dropped it. A server whose port then refuses connections has ended, and its entry in
    the store will say so seconds later only.

    Parameters
    ----------
    steering : Steering
        The ledger, and the servers that are passed over.
    backends : Backends
        Connections to servers.
    metrics : Metrics
        Figures of this host.
    now : callable
        Monotonic clock in seconds.
    """

    __slots__ = (
        "_backends",
        "_suspect_requests",
        "_checks",
        "_metrics",
        "_now",
        "_steering",
        "gossip",
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
        # Requests whose connections broke, until it is known why.
        self._suspect_requests: dict[Incarnation, set[str]] = {}
        self._checks: dict[Incarnation, asyncio.Task[None]] = {}
        self.gossip = CrashGossip(steering.crashes)
        self.on_gossip: Callable[[], None] = lambda: None

    @property
    def ledger(self) -> CrashLedger:
        """Return the ledger."""
        return self._steering.crashes

    # What this host sees

    def broke(self, entry: ServerEntry, request: str) -> asyncio.Task[None] | None:
        """Note that a server's connection ended under a request.

        Returns
        -------
        check : asyncio.Task or None
            Ends when it is known whether the server has ended; None if that is known.
        """
        server = entry.incarnation
        if self.ledger.has_crashed(server):
            self._record(ServerCrash(server, frozenset((request,))))
            return None
        self._suspect_requests.setdefault(server, set()).add(request)
        if server not in self._checks:
            task = asyncio.get_running_loop().create_task(self._check(entry))
            self._checks[server] = task
            task.add_done_callback(lambda _task: self._checks.pop(server, None))
        return self._checks[server]

    def refused(self, entry: ServerEntry) -> None:
        """Note that nothing listens at a server's address any more.

        Failure: another host tells of the end before this one has asked. What broke
        here, often just the request that did it, would not count.
        """
        server = entry.incarnation
        requests = frozenset(self._suspect_requests.pop(server, ()))
        if requests or not self.ledger.has_crashed(server):
            self._record(ServerCrash(server, requests))

    def answered(self, request: str) -> None:
        """Note that a server has answered a request."""
        if self.ledger.answered(request):
            self._announce_cleared(request, "")

    async def _check(self, entry: ServerEntry) -> None:
        """Ask whether a server still listens.

        The connection that shows it is kept: it takes the place of the one that broke.
        """
        reason = "silent"
        for _ in range(MAX_CHECKS):
            try:
                is_open = await self._backends.spare(entry, CONNECTION_SETTLE_S)
            except HttpError as exc:
                reason = exc.reason
                break
            if is_open:
                reason = "listens"
                break
        if reason == REFUSED or self.ledger.has_crashed(entry.incarnation):
            self.refused(entry)
            return
        requests = self._suspect_requests.pop(entry.incarnation, set())
        logs.event(
            "server-kept", server=entry.server_id, why=reason, requests=sorted(requests)
        )

    # What other hosts tell

    def receive(
        self, source: str, message: msg.ServerEnded | msg.RequestAnswered
    ) -> None:
        """Take in what another host tells."""
        if isinstance(message, msg.RequestAnswered):
            if self.ledger.answered(message.request):
                self._announce_cleared(message.request, source)
            return
        server = (message.server_id, message.born_ms)
        self._record(ServerCrash(server, frozenset(message.requests)), source)

    # What follows from it

    def _record(self, crash: ServerCrash, source: str = "") -> None:
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
        self.on_gossip()

    def _skip_server(self, server: Incarnation, now: float) -> None:
        """Send nothing for a while to a server that some host saw end.

        Failure: a server ends, and each host learns it by a request of its own that
        finds nobody there. Callers are refused when both servers that were tried have
        ended, above all where servers go down and up by turns.
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
            trial_in_s=round(entry.refused_for(self._now()), 1),
        )

    def _announce_cleared(self, request: str, source: str) -> None:
        logs.event("request-cleared", request=request, source=source or "own")
        self.gossip.answered(request, source)
        self.on_gossip()

    def review(self) -> None:
        """Forget what is too old."""
        for request in self.ledger.review(self._now()):
            logs.event("request-released", request=request, why="time")

    def close(self) -> None:
        """End all checks."""
        for task in list(self._checks.values()):
            task.cancel()
