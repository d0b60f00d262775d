"""Reviews the paths of this host: notices that one is lost, and when it works again."""

import asyncio

from ...core.paths.recovery import ROUND_INTERVAL_S, servers_to_try
from ..context import Gateway
from ..crashes import probe
from .checks import PathChecks

# Time between two reviews, in seconds.
REVIEW_S = 0.1
# Maximum number of servers that are checked at once when responses are missing.
MAX_CHECKS = 6


class PathReview:
    """Checks paths while responses are missing, and lost paths until they work again.

    Lost paths are tried with connections only, never with requests of callers, which
    would have to wait for the timeout of a connection that hangs.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    checks : PathChecks
        Checks servers.
    """

    __slots__ = ("_checks", "_gateway", "_next_round_at", "_round", "_round_task")

    def __init__(self, gateway: Gateway, checks: PathChecks) -> None:
        self._checks = checks
        self._gateway = gateway
        self._next_round_at = float("-inf")
        self._round = 0
        self._round_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Review the paths until cancelled."""
        try:
            while True:
                await asyncio.sleep(REVIEW_S)
                now = self._gateway.now()
                self._check_when_quiet(now)
                self._forget_gone()
                self._begin_round(now)
        finally:
            if self._round_task is not None:
                self._round_task.cancel()
            self._checks.close()

    def _check_when_quiet(self, now: float) -> None:
        """Check the servers of the oldest pending attempts when responses are missing.

        Servers of different failure domains come first: that shows soonest how much
        this host has lost.
        """
        known = self._gateway.steering.placement.known
        reachability = self._gateway.paths.reachability
        if not reachability.may_be_quiet(now):
            return
        pending = [
            (since, server)
            for server in known.servers.values()
            if (since := server.passive_health.oldest_pending_at()) is not None
            and not reachability.is_lost(server.entry)
        ]
        if not pending:
            return
        pending.sort(key=lambda item: item[0])
        if not reachability.is_quiet(pending[0][0], now):
            return
        by_domain: dict[str, int] = {}
        ranked = []
        for since, server in pending:
            domain = server.entry.failure_domain
            by_domain[domain] = by_domain.get(domain, 0) + 1
            ranked.append((by_domain[domain], since, server))
        ranked.sort(key=lambda item: item[:2])
        for _, _, server in ranked[:MAX_CHECKS]:
            self._checks.note_silence(server.entry, now)

    def _forget_gone(self) -> None:
        paths = self._gateway.paths
        paths.intermediaries.forget_gone()
        known = self._gateway.steering.placement.known.servers
        reachability = paths.reachability
        if not reachability.any_lost and reachability.heard_count <= len(known):
            return
        entries = [server.entry for server in known.values()]
        paths.reachability.forget_gone(
            {entry.incarnation for entry in entries},
            {entry.failure_domain for entry in entries},
        )

    def _begin_round(self, now: float) -> None:
        if not self._gateway.paths.reachability.any_lost or now < self._next_round_at:
            return
        if self._round_task is None or self._round_task.done():
            self._next_round_at = now + ROUND_INTERVAL_S
            loop = asyncio.get_running_loop()
            self._round_task = loop.create_task(self._try_lost_paths())

    async def _try_lost_paths(self) -> None:
        """Try some of the lost paths; go on at once while any of them works again."""
        gateway = self._gateway
        works = True
        while works and gateway.paths.reachability.any_lost:
            self._round += 1
            servers = gateway.steering.placement.known.servers.values()
            to_try = servers_to_try(gateway.paths.reachability, servers, self._round)
            gateway.metrics.count("paths.tried", len(to_try))
            reasons = await asyncio.gather(
                *(probe(gateway.backends, server.entry) for server in to_try)
            )
            works = "" in reasons
