"""Stand-in for the platform: object API, watches, host list and fault switches."""

import asyncio
import json
from collections import Counter
from dataclasses import asdict

from ..checks import Reader, split_address
from ..clock import Clock, SystemClock
from ..errors import ResourceError, UserError
from ..http1_exchange import Exchange
from ..http1_json import read_body, send_error, send_json
from ..http1_server import HttpServer
from ..settings import KnownHost, PlatformSettings
from ..tls import TlsFiles
from .object_store import ObjectStoreStandin

MAX_CONTROL_BYTES = 1_000_000
OBJECTS_PATH = "/v1/objects/"


class PlatformStandin:
    """A platform with the interface that entry hosts and operators use.

    Parameters
    ----------
    cfg : PlatformSettings
        Address, known hosts and the lag of the host list.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, cfg: PlatformSettings, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self._cfg = cfg
        self.objects = ObjectStoreStandin(clock.monotonic)
        self.calls: Counter[str] = Counter()
        self._freeze_list = False
        self._hosts = {known_host.host_id: known_host for known_host in cfg.hosts}
        self._states = dict.fromkeys(self._hosts, "live")
        self._leaving_servers: set[str] = set()
        self._published = self._host_list()
        self._publisher: asyncio.Task[None] | None = None
        self.server = HttpServer(self._handle, clock.monotonic)

    async def start(self) -> int:
        """Listen; return the port."""
        host, port = split_address(self._cfg.listen)
        loop = asyncio.get_running_loop()
        self._publisher = loop.create_task(self._publish())
        files = TlsFiles(self._cfg.tls) if self._cfg.tls.enabled else None
        ssl = files.mutual_server if files else None
        return await self.server.start(host, port, ssl)

    async def close(self) -> None:
        """Stop publishing and listening."""
        if self._publisher is not None:
            self._publisher.cancel()
        await self.server.close()

    async def _publish(self) -> None:
        """Publish states of the host list, each after the lag (at least 0.05 s).

        While the `freeze_list` switch is set, the last published list stays.
        """
        while True:
            host_list = self._host_list()
            await asyncio.sleep(max(0.05, self._cfg.list_lag_s))
            if not self._freeze_list:
                self._published = host_list

    def _host_list(self) -> dict[str, object]:
        hosts = [
            {**asdict(known_host), "state": self._states[known_host.host_id]}
            for known_host in self._hosts.values()
        ]
        return {"hosts": hosts, "leaving_servers": sorted(self._leaving_servers)}

    def add_host(self, known_host: KnownHost) -> None:
        """Add a host to the host list as live."""
        self._hosts[known_host.host_id] = known_host
        self._states[known_host.host_id] = "live"

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.head.target.partition("?")[0]
        try:
            if path.startswith("/control/"):
                await self._control(exchange, path.removeprefix("/control/"))
            elif path.startswith(OBJECTS_PATH):
                self.calls[f"{exchange.head.method} objects"] += 1
                await self.objects.handle(exchange)
            elif path == "/v1/hosts":
                await self._hosts_call(exchange)
            else:
                await send_error(exchange, 404, "not-found", "unknown path")
        except UserError as exc:
            await send_error(exchange, 400, exc.code, exc.message)
        except ValueError as exc:
            await send_error(exchange, 400, "bad-request", str(exc))

    async def _hosts_call(self, exchange: Exchange) -> None:
        self.calls["GET hosts"] += 1
        await asyncio.sleep(self.objects.faults.slow_s)
        if not await self.objects.send_fault(exchange):
            await send_json(exchange, 200, self._published)

    async def _control(self, exchange: Exchange, control_name: str) -> None:
        if control_name == "calls":
            await send_json(exchange, 200, dict(self.calls))
            return
        data = json.loads(await read_body(exchange, MAX_CONTROL_BYTES))
        if control_name == "faults":
            self._control_faults(data)
        elif control_name == "hosts":
            self._control_host(data)
        elif control_name == "leaving-servers":
            self._leaving_servers = set(data["servers"])
        else:
            raise UserError("not-found", "unknown control")
        await send_json(exchange, 200, {"ok": True})

    def _control_faults(self, data: object) -> None:
        """Set the fault switches named in `data`; other switches keep their values."""
        faults = self.objects.faults
        reader = Reader(data, "faults", ResourceError)
        outage = reader.boolean("outage", faults.down == "busy")
        stall = reader.boolean("stall", faults.down == "silent")
        faults.down = "silent" if stall else "busy" if outage else ""
        faults.slow_s = reader.number("slow_ms", faults.slow_s * 1000.0) / 1000.0
        faults.lose_answers = reader.integer("lose_answers", faults.lose_answers)
        self._freeze_list = reader.boolean("freeze_list", self._freeze_list)
        reader.finish()
        self.objects.wake_watches()

    def _control_host(self, data: object) -> None:
        """Set the state of a host; add the host if `data` has its addresses."""
        reader = Reader(data, "host", ResourceError)
        host_id = reader.name("host_id")
        state = reader.text("state", "live", ("live", "leaving", "gone"))
        if state == "gone":
            self._hosts.pop(host_id, None)
            self._states.pop(host_id, None)
            return
        if reader.has("peer"):
            known_host = KnownHost(
                host_id,
                reader.name("region"),
                reader.name("failure_domain"),
                reader.address("entry"),
                reader.address("peer"),
            )
            self.add_host(known_host)
        if host_id in self._hosts:
            self._states[host_id] = state
