"""Finds out why a server cannot be reached: it has crashed, or a path is lost."""

import asyncio

from ... import logs
from ...core.backend_state import Incarnation, Server, ServerEntry
from ...core.membership import HostInfo
from ...core.paths.findings import Finding, combine
from ...http1_client import HttpError
from ..backend_connection import REFUSED, UNREACHABLE
from ..context import Gateway
from ..crashes import probe

# Timeout of one question, in seconds: opening a stream, and the connection that the
# other host opens to the server.
ASK_TIMEOUT_S = 1.0
# How long a refusal that one host has found waits for the finding of another host, in
# seconds.
OTHER_ANSWER_S = 0.1
# Maximum number of other servers that are tried to see whether this host reaches any.
MAX_CONTROLS = 4


class PathChecks:
    """Checks servers that refuse this host's connections or do not answer it.

    Guards against a host that alone is cut off from servers which answer all others.
    Its refused connections look like crashes, and reported as such they would make all
    hosts skip the servers. So before this host believes in a crash, it asks another
    host, and a host believes its own refusals only while it reaches another server.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    """

    __slots__ = ("_connected_at", "_gateway", "_looks", "_tasks")

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        # The server to which this host last opened a connection, and when.
        self._connected_at: tuple[str, float] = ("", float("-inf"))
        self._looks: dict[Incarnation, asyncio.Task[Finding]] = {}
        self._tasks: dict[Incarnation, asyncio.Task[Finding]] = {}

    def note_connected(self, entry: ServerEntry) -> None:
        """Record that this host has opened a connection to a server."""
        gateway = self._gateway
        self._connected_at = (entry.server_id, gateway.now())
        reachability = gateway.paths.reachability
        if not reachability.any_lost:
            return
        since = reachability.lost_since(entry)
        if not reachability.connected(entry):
            return
        gateway.metrics.count("paths.restored")
        logs.event(
            "path-restored",
            server=entry.server_id,
            domain=entry.failure_domain,
            lost_ms=int(1000 * (gateway.now() - since)),
            domains_left=sorted(reachability.lost_domains),
        )
        self._use_again(entry.failure_domain, since)

    def _use_again(self, failure_domain: str, since: float) -> None:
        """Use the servers of a failure domain directly again, unless still lost.

        Idle connections from before the loss are closed: the servers may have closed
        them meanwhile.
        """
        gateway = self._gateway
        now = gateway.now()
        for server in gateway.steering.placement.known.servers.values():
            entry = server.entry
            if entry.failure_domain != failure_domain:
                continue
            if gateway.paths.reachability.is_lost(entry):
                continue
            gateway.backends.drop_idle_before(entry, since)
            server.passive_health.reachable(now)

    def note_failure(self, entry: ServerEntry, since: float) -> None:
        """Check a server to which this host could not connect.

        Parameters
        ----------
        entry : ServerEntry
            The server.
        since : float
            Monotonic time at which the attempt to connect began, in seconds.
        """
        if not self._gateway.paths.reachability.is_lost(entry):
            self._start(entry, since)

    def note_silence(self, entry: ServerEntry, since: float) -> None:
        """Check a server that has not responded for longer than usual.

        It may be slow. Other hosts are asked only if this host cannot connect to it.
        """
        if not self._gateway.paths.reachability.is_lost(entry):
            self._start(entry, since, connect_first=True)

    def _start(
        self, entry: ServerEntry, since: float, *, connect_first: bool = False
    ) -> asyncio.Task[Finding]:
        server = entry.incarnation
        if server not in self._tasks:
            task = asyncio.get_running_loop().create_task(
                self._find(entry, since, connect_first=connect_first)
            )
            self._tasks[server] = task
            task.add_done_callback(lambda _task: self._tasks.pop(server, None))
        return self._tasks[server]

    async def find(self, entry: ServerEntry) -> Finding:
        """Return what other hosts find of a server that refuses this host."""
        return await self._start(entry, self._gateway.now())

    async def _find(
        self, entry: ServerEntry, since: float, *, connect_first: bool
    ) -> Finding:
        if connect_first and not await probe(self._gateway.backends, entry):
            return Finding.REACHED
        finding, host_id = await self._ask_hosts(entry)
        if finding is Finding.REACHED and host_id:
            self._confirm_lost(entry, since, host_id)
        elif finding in (Finding.SILENT, Finding.UNSURE):
            self._note_unreached(entry, since)
        return finding

    async def _ask_hosts(self, entry: ServerEntry) -> tuple[Finding, str]:
        """Return what hosts find of a server, and the host that has found it.

        If no other host can tell, this host checks the server itself.
        """
        hosts = self._hosts_to_ask(entry)
        asking = {asyncio.ensure_future(self._ask(info, entry)) for info in hosts}
        found: dict[Finding, str] = {}
        try:
            while asking and Finding.REACHED not in found:
                # A host that has been asked may be cut off as well.
                wait_s = OTHER_ANSWER_S if Finding.REFUSED in found else None
                done, asking = await asyncio.wait(
                    asking, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                found.update(task.result() for task in done)
        finally:
            for task in asking:
                task.cancel()
        finding = combine(found)
        if finding is Finding.UNSURE:
            return await self.look(entry), ""
        return finding, found[finding]

    def _hosts_to_ask(self, entry: ServerEntry) -> list[HostInfo]:
        """Return the nearest host, and one of another failure domain.

        The hosts of a failure domain are often cut off together.
        """
        choose = self._gateway.paths.intermediaries.choose
        now = self._gateway.now()
        first = choose(entry.failure_domain, (), now)
        if first is None:
            return []
        exclude = self._gateway.roster.hosts_in(first.failure_domain)
        second = choose(entry.failure_domain, (), now, exclude)
        return [first, second] if second else [first]

    async def _ask(self, info: HostInfo, entry: ServerEntry) -> tuple[Finding, str]:
        """Return what a host finds of a server, and the host's id."""
        gateway = self._gateway
        gateway.metrics.count("paths.questions")
        conn = None
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                conn = await gateway.streams.acquire(info, entry, repeatable=True)
                finding = Finding(await conn.check(entry))
        except (HttpError, TimeoutError, ValueError) as exc:
            gateway.paths.intermediaries.unreachable(info.host_id, gateway.now())
            logs.event("path-question-failed", host_id=info.host_id, why=repr(exc))
            return Finding.UNSURE, info.host_id
        finally:
            if conn is not None:
                gateway.streams.release(info, conn)
        return finding, info.host_id

    def _known_domains(self) -> set[str]:
        servers = self._gateway.steering.placement.known.servers.values()
        return {server.entry.failure_domain for server in servers}

    def _note_unreached(self, entry: ServerEntry, since: float) -> None:
        gateway = self._gateway
        now = gateway.now()
        new_domains = gateway.paths.reachability.note_unreached(
            entry, since, self._known_domains(), now
        )
        if new_domains:
            gateway.metrics.count("paths.cut-off")
            logs.event(
                "paths-cut-off",
                "WARNING",
                server=entry.server_id,
                age_ms=int(1000 * (now - since)),
                new_domains=new_domains,
            )

    def _confirm_lost(self, entry: ServerEntry, since: float, host_id: str) -> None:
        gateway = self._gateway
        new_domains = gateway.paths.reachability.confirm_lost(
            entry, since, host_id, self._known_domains(), gateway.now()
        )
        gateway.metrics.count("paths.lost")
        logs.event(
            "path-lost",
            server=entry.server_id,
            domain=entry.failure_domain,
            reached_by=host_id,
            age_ms=int(1000 * (gateway.now() - since)),
            new_domains=new_domains,
        )

    async def look(self, entry: ServerEntry) -> Finding:
        """Return what this host itself finds of a server.

        Questions of many hosts about one server are answered with one check.
        """
        server = entry.incarnation
        if self._gateway.crashes.ledger.has_crashed(server):
            return Finding.REFUSED
        if server not in self._looks:
            task = asyncio.get_running_loop().create_task(self._look(entry))
            self._looks[server] = task
            task.add_done_callback(lambda _task: self._looks.pop(server, None))
        return await asyncio.shield(self._looks[server])

    async def _look(self, entry: ServerEntry) -> Finding:
        began_at = self._gateway.now()
        reason = await probe(self._gateway.backends, entry)
        if not reason:
            return Finding.REACHED
        if reason == REFUSED:
            is_sound = await self._reaches_another(entry, began_at)
            return Finding.REFUSED if is_sound else Finding.UNSURE
        return Finding.SILENT if reason == UNREACHABLE else Finding.UNSURE

    async def _reaches_another(self, entry: ServerEntry, since: float) -> bool:
        """Return whether this host can connect to a server other than one that refuses.

        A connection that was opened after `since` shows it. True also if no other
        server is known: nothing then speaks against a crash.
        """
        controls = self._controls(entry)
        server_id, connected_at = self._connected_at
        if connected_at > since and any(
            server.entry.server_id == server_id for server in controls
        ):
            return True
        for server in controls[:MAX_CONTROLS]:
            if not await probe(self._gateway.backends, server.entry):
                return True
        return not controls

    def _controls(self, entry: ServerEntry) -> list[Server]:
        """Return other servers that should accept connections, the nearest first.

        They are of the same failure domain if there are any: a partition may keep this
        host from one domain only.
        """
        placement = self._gateway.steering.placement
        ledger = self._gateway.crashes.ledger
        others = [
            server
            for server in placement.known.servers.values()
            if server.entry.server_id != entry.server_id
            and not ledger.has_crashed(server.entry.incarnation)
        ]
        domain = entry.failure_domain
        in_domain = [s for s in others if s.entry.failure_domain == domain]
        controls = in_domain or others
        controls.sort(key=placement.expectations.network_s)
        return controls

    def close(self) -> None:
        """Cancel all checks."""
        for task in [*self._tasks.values(), *self._looks.values()]:
            task.cancel()
