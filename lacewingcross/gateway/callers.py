"""Listeners for callers and for the platform's readiness check."""

import asyncio

from .. import logs
from ..checks import split_address
from ..http1_exchange import Exchange
from ..http1_server import HttpServer
from ..platform.directory import (
    JSON_TYPE,
    READINESS_PATH,
    decode_question,
    encode_answer,
)
from .context import Gateway
from .request import RequestRun

# How long callers may keep an answer, in seconds. Some keep it three times as long;
# a host that leaves serves on for that long.
LOOKUP_TTL_S = 1.5
# Descriptors kept free of callers' connections: backend servers, peers, the platform.
SPARE_DESCRIPTORS = 900
SWEEP_S = 1.0


class CallerListener:
    """Serves callers' requests.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    """

    __slots__ = ("_gateway", "running", "server")

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self.running = 0
        most = max(64, gateway.cfg.max_descriptors - SPARE_DESCRIPTORS)
        self.server = HttpServer(
            self._handle,
            gateway.now,
            max_connections=most,
            max_connections_each=most,
            on_bad_input=lambda why: gateway.metrics.count(f"bad-input.{why}"),
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self._gateway.cfg.entry)
        await self.server.start(host, port)
        try:
            while True:
                await asyncio.sleep(SWEEP_S)
                self._gateway.backends.sweep()
                self._apply_limits()
        finally:
            await self.server.close()

    def _apply_limits(self) -> None:
        limits = self._gateway.steering.limits
        self.server.max_head = limits.max_header_bytes
        self.server.head_timeout_s = limits.header_timeout_s
        self.server.idle_timeout_s = limits.idle_timeout_s

    async def _handle(self, exchange: Exchange) -> None:
        self.running += 1
        try:
            await RequestRun(self._gateway, exchange).run()
        finally:
            self.running -= 1


class DirectoryListener:
    """Tells callers which entry hosts to use.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    """

    __slots__ = ("_gateway", "server")

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self.server = HttpServer(self._handle, gateway.now)

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self._gateway.cfg.directory)
        await self.server.start(host, port)
        try:
            await asyncio.Event().wait()
        finally:
            await self.server.close()

    async def _handle(self, exchange: Exchange) -> None:
        gateway = self._gateway
        question = decode_question(exchange.head.target)
        if question is None:
            gateway.metrics.count("lookups.unknown-path")
            await exchange.respond(404, [JSON_TYPE], b'{"error":"unknown-path"}')
            return
        table = gateway.steering.table
        homes = table.home_regions(question.host_name) if table else frozenset()
        now = gateway.now()
        addresses = gateway.roster.addresses_for(question.region, homes, now)
        gateway.metrics.count("lookups.answered")
        logs.event(
            "lookup-answered",
            "DEBUG",
            name=question.host_name,
            region=question.region,
            addresses=len(addresses),
        )
        body = encode_answer(addresses, LOOKUP_TTL_S)
        await exchange.respond(200, [JSON_TYPE], body)


class ReadinessListener:
    """Tells the platform whether this host takes requests.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    """

    __slots__ = ("_gateway", "server")

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self.server = HttpServer(self._handle, gateway.now)

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self._gateway.cfg.readiness)
        await self.server.start(host, port)
        try:
            await asyncio.Event().wait()
        finally:
            await self.server.close()

    async def _handle(self, exchange: Exchange) -> None:
        gateway = self._gateway
        if exchange.head.target.partition("?")[0] != READINESS_PATH:
            await exchange.respond(404, [JSON_TYPE], b'{"error":"unknown-path"}')
            return
        ready = gateway.steering.ready() and not gateway.roster.leaving
        status = 200 if ready else 503
        await exchange.respond(status, [JSON_TYPE], b'{"ready":%d}' % ready)


class MetricsListener:
    """Serves the counters and histograms as text.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    """

    __slots__ = ("_gateway", "server")

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self.server = HttpServer(self._handle, gateway.now)

    async def run(self) -> None:
        """Serve until cancelled."""
        host, _ = split_address(self._gateway.cfg.entry)
        await self.server.start(host, self._gateway.cfg.metrics_port)
        try:
            await asyncio.Event().wait()
        finally:
            await self.server.close()

    async def _handle(self, exchange: Exchange) -> None:
        text = self._gateway.metrics.render()
        await exchange.respond(200, [(b"content-type", b"text/plain")], text.encode())
