"""The listener for callers, which serves look-ups and requests."""

import asyncio
import json
import ssl as ssl_module

from ... import headers as hd
from ...checks import split_address
from ...core import actions as act
from ...core.lookup import LookupRefusal
from ...http1_exchange import Exchange
from ...http1_server import HttpServer
from ...settings import HostSettings
from ..backends.pool import BackendPool
from ..runtime import Runtime
from .flight import (
    MAX_ID_CHARS,
    HeaderError,
    InFlightRequest,
    answer_refusal,
    read_request,
)
from .lookups import LOOKUP_PATH, Lookups, answer_data

SWEEP_INTERVAL_S = 1.0


class EntryListener:
    """Accepts callers' connections and serves their look-ups and requests.

    Parameters
    ----------
    runtime : Runtime
        Where events go.
    cfg : HostSettings
        Addresses and limits.
    pool : BackendPool
        Connections to backend servers.
    ssl : ssl.SSLContext, optional
        For TLS to callers.
    """

    __slots__ = (
        "_cfg",
        "_id_count",
        "_in_flight",
        "_lookups",
        "_pool",
        "_runtime",
        "_ssl",
        "server",
    )

    def __init__(
        self,
        runtime: Runtime,
        cfg: HostSettings,
        pool: BackendPool,
        ssl: ssl_module.SSLContext | None = None,
    ) -> None:
        self._runtime = runtime
        self._cfg = cfg
        self._pool = pool
        self._ssl = ssl
        self._id_count = 0
        self._in_flight: dict[str, InFlightRequest] = {}
        self._lookups = Lookups(runtime)
        self.server = HttpServer(
            self._handle,
            runtime.now,
            max_connections=cfg.max_connections,
            max_connections_each=cfg.max_connections_each,
            fast_path=self._lookups,
            on_bad_input=self._count_bad_input,
        )
        runtime.register_performer(
            self._pass_decision,
            act.StartAttempt,
            act.Finish,
            act.AbortAnswer,
            act.CancelAttempt,
        )

    @property
    def busy(self) -> bool:
        """Return whether any request is still being run or answered."""
        return bool(self._in_flight)

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self._cfg.entry)
        await self.server.start(host, port, self._ssl)
        try:
            while True:
                await asyncio.sleep(SWEEP_INTERVAL_S)
                self._set_connection_limits()
                self._pool.sweep()
        finally:
            await self.server.close()
            self._pool.close()

    def _set_connection_limits(self) -> None:
        """Split each backend server's connection limit evenly over the live hosts.

        Each host may open at least one connection, so with more hosts than connections
        the hosts together may exceed the limit.
        """
        view = self._runtime.core.view
        host_count = max(1, len(view.members.live(self._runtime.now())))
        for pool in view.config.pools.values():
            for server in pool.servers:
                max_connections = max(1, server.connections // host_count)
                self._pool.limits[server.address] = max_connections

    def _count_bad_input(self, reason: str) -> None:
        self._runtime.metrics.count(f"bad-input.{reason}")

    def _pass_decision(self, action: act.Action) -> None:
        request = self._in_flight.get(action.request_id)
        if request is not None:
            request.on_decision(action)

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.head.target.partition("?")[0]
        if path == LOOKUP_PATH:
            await self._lookup(exchange)
        elif path.startswith("/v1/") or path == "/v1":
            await self._reject(exchange, 404, "unknown-path", "expected /v1/lookup")
        else:
            await self._request(exchange)

    async def _lookup(self, exchange: Exchange) -> None:
        if exchange.head.method != "GET":
            await self._reject(exchange, 405, "bad-method", "expected GET")
            return
        query = self._lookups.parse_target(exchange.head.target)
        if isinstance(query, str):
            await self._reject(exchange, 400, "bad-lookup", query)
            return
        answer = self._lookups.look_up(query)
        if isinstance(answer, LookupRefusal):
            self._runtime.metrics.count(f"lookups.refused.{answer.reason}")
            refusal = act.Finish(
                "", answer.status, act.NOT_RUN, answer.reason, answer.retry_after_s
            )
            await answer_refusal(exchange, refusal)
            return
        self._runtime.metrics.count("lookups.answered")
        body = json.dumps(answer_data(answer), separators=(",", ":")).encode()
        await exchange.respond(200, [(b"content-type", b"application/json")], body)

    async def _reject(
        self, exchange: Exchange, status: int, reason: str, message: str
    ) -> None:
        self._count_bad_input(reason)
        body = json.dumps({"error": reason, "message": message}).encode() + b"\n"
        headers = [
            (b"content-type", b"application/json"),
            (hd.OUTCOME, act.NOT_RUN.encode()),
            (hd.REASON, reason.encode()),
        ]
        await exchange.respond(status, headers, body)

    def _new_id(self) -> str:
        """Return a request id that no other host or incarnation generates."""
        self._id_count += 1
        view = self._runtime.core.view
        return f"{view.own.host_id}-{view.incarnation:x}-{self._id_count}"

    async def _request(self, exchange: Exchange) -> None:
        given_id = hd.find(exchange.head.headers, hd.REQUEST_ID)
        if len(given_id) > MAX_ID_CHARS:
            await self._reject(exchange, 400, "bad-frame", "x-request-id is too long")
            return
        length = hd.find(exchange.head.headers, hd.CONTENT_LENGTH)
        if length and int(length) > self._cfg.max_body_bytes:
            await self._reject(exchange, 413, "body-too-large", "see max_body_bytes")
            return
        try:
            req = read_request(
                exchange,
                given_id or self._new_id(),
                trust_client_address=self._cfg.trust_client_address,
            )
        except HeaderError as exc:
            await self._reject(exchange, 400, "bad-frame", str(exc))
            return
        if req.request_id in self._in_flight:
            await self._reject(exchange, 409, "duplicate-request-id", "still running")
            return
        request = InFlightRequest(self._runtime, self._pool, exchange, req)
        self._in_flight[req.request_id] = request
        try:
            await request.run()
        finally:
            del self._in_flight[req.request_id]
