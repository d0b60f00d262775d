"""Listens for callers' requests."""

import asyncio

from ..checks import split_address
from ..http1_exchange import Exchange
from ..http1_server import HttpServer
from .context import Gateway
from .request import RequestRun

# File descriptors that callers' connections may not use. They are for connections to
# backend servers, other hosts and the platform. Callers may use at least 64 descriptors
# in any case, even if that leaves fewer than this number for the other connections.
RESERVED_DESCRIPTORS = 900
# How often unusable connections to backend servers are closed and the configured limits
# on callers are applied, in seconds.
SWEEP_S = 1.0


class CallerListener:
    """Accepts callers' connections and runs their requests.

    Parameters
    ----------
    gateway : Gateway
        State and services that the parts of this host share.

    Attributes
    ----------
    running_requests : int
        Number of requests that are running.
    server : HttpServer
        The listener and the connections of callers.
    """

    __slots__ = ("_gateway", "running_requests", "server")

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self.running_requests = 0
        limit = max(64, gateway.cfg.max_descriptors - RESERVED_DESCRIPTORS)
        self.server = HttpServer(
            self._handle,
            gateway.now,
            max_connections=limit,
            max_connections_each=limit,
            on_bad_input=lambda reason: gateway.metrics.count(f"bad-input.{reason}"),
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self._gateway.cfg.entry)
        await self.server.start(host, port)
        try:
            while True:
                await asyncio.sleep(SWEEP_S)
                self._gateway.backends.sweep()
                self._gateway.streams.sweep()
                self._apply_limits()
        finally:
            await self.server.close()

    def _apply_limits(self) -> None:
        limits = self._gateway.steering.limits
        self.server.max_head = limits.max_header_bytes
        self.server.head_timeout_s = limits.header_timeout_s
        self.server.idle_timeout_s = limits.idle_timeout_s

    async def _handle(self, exchange: Exchange) -> None:
        self.running_requests += 1
        try:
            await RequestRun(self._gateway, exchange).run()
        finally:
            self.running_requests -= 1
