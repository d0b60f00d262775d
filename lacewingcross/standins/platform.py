"""Stand-in for the platform: object API, watches, host list and fault switches."""

import asyncio
import json
from collections import Counter
from dataclasses import asdict
from urllib.parse import parse_qs, unquote

from ..checks import Reader, split_address
from ..clock import Clock, SystemClock
from ..errors import ResourceError, UserError
from ..http1_exchange import Exchange
from ..http1_json import read_body, send_error, send_json
from ..http1_server import HttpServer
from ..settings import KnownHost, PlatformSettings
from ..tls import TlsFiles
from .store import Change, Store

MAX_OBJECT = 1_000_000
MAX_WAIT_MS = 60_000
OUTAGE_STALL_S = 3600.0


class Faults:
    """Switches set by tests through ``POST /control/faults``."""

    __slots__ = ("freeze_list", "lose_answers", "outage", "slow_ms", "stall")

    def __init__(self) -> None:
        self.outage = False
        self.stall = False
        self.slow_ms = 0.0
        self.lose_answers = 0
        self.freeze_list = False

    def set(self, data: object) -> None:
        """Take over the switches named in `data`."""
        reader = Reader(data, "faults", ResourceError)
        self.outage = reader.boolean("outage", self.outage)
        self.stall = reader.boolean("stall", self.stall)
        self.slow_ms = reader.number("slow_ms", self.slow_ms)
        self.lose_answers = reader.integer("lose_answers", self.lose_answers)
        self.freeze_list = reader.boolean("freeze_list", self.freeze_list)
        reader.finish()


class PlatformStandin:
    """The platform as hosts and operators see it.

    Parameters
    ----------
    cfg : PlatformSettings
        Address, known hosts and the lag of their list.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, cfg: PlatformSettings, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self._cfg = cfg
        self._now = clock.monotonic
        self.store = Store()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._hosts = {known.host_id: known for known in cfg.hosts}
        self._states = dict.fromkeys(self._hosts, "live")
        self._leaving_servers: set[str] = set()
        self._published = self._host_list()
        self._publisher: asyncio.Task[None] | None = None
        self.server = HttpServer(self._handle, self._now)

    async def start(self) -> int:
        """Listen; return the port."""
        host, port = split_address(self._cfg.listen)
        loop = asyncio.get_running_loop()
        self._publisher = loop.create_task(self._publish())
        files = TlsFiles(self._cfg.tls) if self._cfg.tls.enabled else None
        ssl = files.mutual_server if files else None
        return await self.server.start(host, port, ssl)

    async def close(self) -> None:
        """Stop."""
        if self._publisher is not None:
            self._publisher.cancel()
        await self.server.close()

    async def _publish(self) -> None:
        """Publish the host list with its lag."""
        while True:
            current = self._host_list()
            await asyncio.sleep(max(0.05, self._cfg.list_lag_s))
            if not self.faults.freeze_list:
                self._published = current

    def _host_list(self) -> dict[str, object]:
        hosts = [
            {**asdict(known), "state": self._states[known.host_id]}
            for known in self._hosts.values()
        ]
        return {"hosts": hosts, "leaving_servers": sorted(self._leaving_servers)}

    def add_host(self, known: KnownHost) -> None:
        """Add a host to the list."""
        self._hosts[known.host_id] = known
        self._states[known.host_id] = "live"

    async def _handle(self, exchange: Exchange) -> None:
        path, _, query = exchange.head.target.partition("?")
        parts = [unquote(part) for part in path.strip("/").split("/")]
        params = {key: vals[0] for key, vals in parse_qs(query).items()}
        try:
            if parts[0] == "control":
                await self._control(exchange, parts)
                return
            if parts[0] != "v1" or len(parts) < 2:
                raise UserError("not-found", "expected a path under /v1")
            await self._api(exchange, parts, params)
        except UserError as exc:
            status = _STATUS.get(exc.code, 400)
            await send_error(exchange, status, exc.code, exc.message)
        except ValueError as exc:
            await send_error(exchange, 400, "bad-request", str(exc))

    async def _api(
        self, exchange: Exchange, parts: list[str], params: dict[str, str]
    ) -> None:
        method = exchange.head.method
        self.calls[f"{method} {parts[1]}"] += 1
        if self.faults.stall:
            await asyncio.sleep(OUTAGE_STALL_S)
        if self.faults.outage:
            raise UserError("unavailable", "outage")
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000.0)
        if parts[1] == "hosts":
            await send_json(exchange, 200, self._published)
        elif parts[1] == "watch":
            await self._watch(exchange, params)
        elif parts[1] == "objects" and len(parts) == 2:
            await self._list(exchange, params)
        elif parts[1] == "objects" and len(parts) == 4:
            await self._object(exchange, method, f"{parts[2]}/{parts[3]}", params)
        else:
            raise UserError("not-found", "unknown path")

    async def _list(self, exchange: Exchange, params: dict[str, str]) -> None:
        items = self.store.of_kinds(_kinds(params))
        await send_json(
            exchange,
            200,
            {"revision": self.store.revision, "objects": [_data(it) for it in items]},
        )

    async def _watch(self, exchange: Exchange, params: dict[str, str]) -> None:
        kinds = _kinds(params)
        after = int(params.get("after", "0"))
        wait_ms = min(MAX_WAIT_MS, int(params.get("wait_ms", "0")))
        deadline = self._now() + wait_ms / 1000.0
        while True:
            if self.faults.outage:
                raise UserError("unavailable", "outage")
            if self.store.compacted(after):
                raise UserError("compacted", "list again")
            changes = self.store.changes(kinds, after)
            left = deadline - self._now()
            if changes or left <= 0:
                break
            await self.store.wait(min(left, 0.5))
        if self.faults.stall:
            await asyncio.sleep(OUTAGE_STALL_S)
        await send_json(
            exchange,
            200,
            {"revision": self.store.revision, "events": [_data(it) for it in changes]},
        )

    async def _object(
        self, exchange: Exchange, method: str, key: str, params: dict[str, str]
    ) -> None:
        if method == "GET":
            await send_json(exchange, 200, _data(self._existing(key)))
            return
        value = None
        if method in ("POST", "PUT"):
            value = json.loads(await read_body(exchange, MAX_OBJECT))
        change = self._write(method, key, value, params)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.abort()
            return
        await send_json(exchange, 200, _data(change))

    def _existing(self, key: str) -> Change:
        found = self.store.get(key)
        if found is None:
            raise UserError("not-found", f"{key}: no such object")
        return found

    def _write(
        self, method: str, key: str, value: object, params: dict[str, str]
    ) -> Change:
        if method == "POST":
            if self.store.get(key) is not None:
                raise UserError("conflict", f"{key}: exists")
            return self.store.put(key, value)
        if method not in ("PUT", "DELETE"):
            raise UserError("bad-request", f"unknown method {method}")
        found = self._existing(key)
        wanted = params.get("if_version")
        if wanted is not None and int(wanted) != found.version:
            raise UserError("conflict", f"{key}: version is {found.version}")
        return self.store.put(key, value)

    async def _control(self, exchange: Exchange, parts: list[str]) -> None:
        what = parts[1] if len(parts) > 1 else ""
        if what == "calls":
            await send_json(exchange, 200, dict(self.calls))
            return
        data = json.loads(await read_body(exchange, MAX_OBJECT))
        if what == "faults":
            self.faults.set(data)
        elif what == "hosts":
            self._control_host(data)
        elif what == "leaving-servers":
            self._leaving_servers = set(data["servers"])
        else:
            raise UserError("not-found", "unknown control")
        await send_json(exchange, 200, {"ok": True})

    def _control_host(self, data: object) -> None:
        reader = Reader(data, "host", ResourceError)
        host_id = reader.name("host_id")
        state = reader.text("state", "live", ("live", "leaving", "gone"))
        if state == "gone":
            self._hosts.pop(host_id, None)
            self._states.pop(host_id, None)
            return
        if reader.has("peer"):
            known = KnownHost(
                host_id,
                reader.name("region"),
                reader.name("failure_domain"),
                reader.address("entry"),
                reader.address("peer"),
            )
            self.add_host(known)
        if host_id in self._hosts:
            self._states[host_id] = state


_STATUS = {
    "not-found": 404,
    "conflict": 409,
    "compacted": 410,
    "too-large": 413,
    "unavailable": 503,
}


def _kinds(params: dict[str, str]) -> set[str]:
    return set(params.get("kinds", "").split(","))


def _data(change: Change) -> dict[str, object]:
    return {"key": change.key, "version": change.version, "value": change.value}
