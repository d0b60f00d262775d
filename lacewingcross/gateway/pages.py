"""A host's listeners for look-ups of entry hosts, readiness checks and metrics."""

import asyncio
from collections.abc import Awaitable, Callable

from .. import logs
from ..checks import split_address
from ..core.named_hosts import addresses_for
from ..http1_exchange import Exchange
from ..http1_json import JSON_TYPE
from ..http1_server import HttpServer
from ..platform.directory import (
    READINESS_PATH,
    decode_question,
    encode_answer,
)
from .context import Gateway

# How long callers may keep the answer to a look-up, in seconds. Some callers keep it up
# to three times as long. So a leaving host goes on serving, though not long enough for
# all of these callers: see `app.ACCEPT_WHILE_LEAVING_S`.
LOOKUP_TTL_S = 1.5
TEXT_TYPE = (b"content-type", b"text/plain")
UNKNOWN_PATH = b'{"error":"unknown-path"}'

PageHandler = Callable[[Gateway, Exchange], Awaitable[None]]


class PageListener:
    """Serves look-up answers, readiness or metrics at an address of their own.

    Parameters
    ----------
    gateway : Gateway
        State and services that the parts of this host share.
    address : str
        Where to listen, ``ip:port``.
    respond_to : callable
        Coroutine function that answers a request.
    """

    __slots__ = ("_address", "_gateway", "_respond")

    def __init__(self, gateway: Gateway, address: str, respond_to: PageHandler) -> None:
        self._gateway = gateway
        self._address = address
        self._respond = respond_to

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self._address)
        server = HttpServer(self._handle, self._gateway.now)
        await server.start(host, port)
        try:
            await asyncio.Event().wait()
        finally:
            await server.close()

    async def _handle(self, exchange: Exchange) -> None:
        await self._respond(self._gateway, exchange)


async def answer_lookup(gateway: Gateway, exchange: Exchange) -> None:
    """Answer a caller's look-up with the entry hosts to use."""
    lookup = decode_question(exchange.head.target)
    if lookup is None:
        gateway.metrics.count("lookups.unknown-path")
        await exchange.respond(404, JSON_TYPE, UNKNOWN_PATH)
        return
    table = gateway.steering.table
    home_regions = table.home_regions(lookup.host_name) if table else frozenset()
    now = gateway.now()
    addresses = addresses_for(
        gateway.roster, lookup.region, home_regions, now, lookup.failure_domain
    )
    gateway.metrics.count("lookups.answered")
    logs.event(
        "lookup-answered",
        "DEBUG",
        name=lookup.host_name,
        region=lookup.region,
        addresses=len(addresses),
    )
    body = encode_answer(addresses, LOOKUP_TTL_S)
    await exchange.respond(200, JSON_TYPE, body)


async def answer_readiness(gateway: Gateway, exchange: Exchange) -> None:
    """Answer the platform's check whether this host is ready to serve callers."""
    if exchange.head.target.partition("?")[0] != READINESS_PATH:
        await exchange.respond(404, JSON_TYPE, UNKNOWN_PATH)
        return
    ready = gateway.steering.ready() and not gateway.roster.leaving
    status = 200 if ready else 503
    await exchange.respond(status, JSON_TYPE, b'{"ready":%d}' % ready)


async def answer_metrics(gateway: Gateway, exchange: Exchange) -> None:
    """Answer a request for any path with this host's metrics as text."""
    text = gateway.metrics.render()
    await exchange.respond(200, [TEXT_TYPE], text.encode())
