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
SETTLE_S = 0.02
# How often a server is asked until its answer counts.
CHECKS_MOST = 3


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
        "_broken",
        "_checks",
        "_metrics",
        "_now",
        "_steering",
        "news",
        "on_news",
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
        self._broken: dict[Incarnation, set[str]] = {}
        self._checks: dict[Incarnation, asyncio.Task[None]] = {}
        self.news = CrashGossip(steering.crashes)
        self.on_news: Callable[[], None] = lambda: None

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
            self._take(ServerCrash(server, frozenset((request,))))
            return None
        self._broken.setdefault(server, set()).add(request)
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
        requests = frozenset(self._broken.pop(server, ()))
        if requests or not self.ledger.has_crashed(server):
            self._take(ServerCrash(server, requests))

    def answered(self, request: str) -> None:
        """Note that a server has answered a request."""
        if self.ledger.answered(request):
            self._clear(request, "")

    async def _check(self, entry: ServerEntry) -> None:
        """Ask whether a server still listens.

        The connection that shows it is kept: it takes the place of the one that broke.
        """
        why = "silent"
        for _ in range(CHECKS_MOST):
            try:
                lives = await self._backends.open_spare(entry, SETTLE_S)
            except HttpError as exc:
                why = exc.reason
                break
            if lives:
                why = "listens"
                break
        if why == REFUSED or self.ledger.has_crashed(entry.incarnation):
            self.refused(entry)
            return
        requests = self._broken.pop(entry.incarnation, set())
        logs.event(
            "server-kept", server=entry.server_id, why=why, requests=sorted(requests)
        )

    # What other hosts tell

    def heard(
        self, source: str, message: msg.ServerEnded | msg.RequestAnswered
    ) -> None:
        """Take in what another host tells."""
        if isinstance(message, msg.RequestAnswered):
            if self.ledger.answered(message.request):
                self._clear(message.request, source)
            return
        server = (message.server_id, message.born_ms)
        self._take(ServerCrash(server, frozenset(message.requests)), source)

    # What follows from it

    def _take(self, end: ServerCrash, source: str = "") -> None:
        now = self._now()
        first = not self.ledger.has_crashed(end.server)
        news, guilty = self.ledger.record_crash(end, now, own=not source)
        if not news:
            return
        if first:
            self._pass_over(end.server, now)
            self._metrics.count("servers.ended")
        logs.event(
            "server-ended",
            server=end.server[0],
            born_ms=end.server[1],
            requests=sorted(end.requests),
            source=source or "own",
        )
        for request in guilty:
            self._note_quarantine(request)
        self.news.crashed(end.server, source)
        self.on_news()

    def _pass_over(self, server: Incarnation, now: float) -> None:
        """Send nothing for a while to a server that some host saw end.

        Failure: a server ends, and each host learns it by a request of its own that
        finds nobody there. Callers are refused when both servers that were tried have
        ended, above all where servers go down and up by turns.
        """
        known = self._steering.placement.known.servers.get(server[0])
        if known is not None and known.entry.incarnation == server:
            known.passive_health.crashed(now)

    def _note_quarantine(self, request: str) -> None:
        held = self.ledger.quarantine.get(request)
        self._metrics.count("quarantines")
        logs.event(
            "request-quarantined",
            "WARNING",
            request=request,
            servers=list(held.servers),
            trial_in_s=round(held.refused_for(self._now()), 1),
        )

    def _clear(self, request: str, source: str) -> None:
        logs.event("request-cleared", request=request, source=source or "own")
        self.news.answered(request, source)
        self.on_news()

    def review(self) -> None:
        """Forget what is too old."""
        for request in self.ledger.review(self._now()):
            logs.event("request-released", request=request, why="time")

    def close(self) -> None:
        """End all checks."""
        for task in list(self._checks.values()):
            task.cancel()
