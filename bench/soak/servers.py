"""Backend servers of the soak, which behave as the users' pages describe."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewingcross import headers as hd
from lacewingcross.http1_exchange import CallerGoneError, Exchange
from lacewingcross.http1_json import read_body
from lacewingcross.http1_server import HttpServer
from lacewingcross.platform import headers as ph

from .ledger import BAD_TARGET, Ledger, Run, signature
from .signals import Reached

SLOTS = 4
# Requests that may wait for a slot. The ratio to the slots is that of the users'
# servers.
QUEUE = 3 * SLOTS
WORK_S = 0.06
MAX_BODY = 1 << 20
PADDING = 300
# Seconds for which an unresponsive server sends no response; longer than any run.
DARK_S = 600.0


@dataclass(slots=True)
class Mood:
    """The faults and signals that a server currently shows.

    Attributes
    ----------
    slow : float
        Factor on the service time.
    lost, garbled : float
        Share of the responses, 0 to 1, that are not sent or that break off halfway.
    shed : bool
        Refuse all requests.
    dark : bool
        Send no responses and no heartbeats.
    limit : float or None
        Requests per second that the server names as its limit.
    leaving_word : bool
        Announce in responses that the server is draining, without a report to the store.
    rest_s : float
        Refuse all requests and request this back-off, in seconds; 0 for none.
    """

    slow: float = 1.0
    lost: float = 0.0
    garbled: float = 0.0
    shed: bool = False
    dark: bool = False
    limit: float | None = None
    leaving_word: bool = False
    rest_s: float = 0.0


@dataclass(slots=True)
class SoakServer:
    """One incarnation of a backend server.

    Parameters
    ----------
    server_id, service, domain : str
        Its id, its service and its failure domain.
    ledger : Ledger
        Ledger in which it records the requests that it runs.
    rng : random.Random
        Random source for its service times and faults.
    now : callable
        Monotonic clock in seconds.
    """

    server_id: str
    service: str
    domain: str
    ledger: Ledger
    rng: random.Random
    now: Callable[[], float]
    mood: Mood = field(default_factory=Mood)
    # Called when a request crashes this server.
    on_end: Callable[["SoakServer"], None] = lambda server: None
    address: str = ""
    leaving: bool = False
    _busy: int = 0
    _waiting: int = 0
    _slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(SLOTS), repr=False
    )
    _server: HttpServer | None = None

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Start to listen; `address` may be that of a server which has stopped."""
        host, _, port = address.rpartition(":")
        self._server = HttpServer(self._handle, self.now)
        port = await self._server.start(host, int(port))
        self.address = f"{host}:{port}"
        self.ledger.domain_of[self.server_id] = self.domain
        self.ledger.service_of[self.server_id] = self.service

    async def stop(self) -> None:
        """Stop at once, as a crash does."""
        await self._server.close()

    def entry(self) -> dict:
        """Return the server's own entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.leaving else "ready",
            "cold_left_s": 0,
            "seq": 1,
        }

    async def _handle(self, exchange: Exchange) -> None:
        headers = exchange.head.headers
        request_id = hd.find(headers, ph.REQUEST_ID)
        self.ledger.arrivals.append((self.now(), self.service, request_id))
        if self.mood.dark:
            await asyncio.sleep(DARK_S)
        expected = hd.find(headers, ph.EXPECTED_INCARNATION)
        if expected and expected != self.server_id:
            await exchange.respond(421, [(ph.NOT_RUN, b"1")], b"")
            return
        asked = self.ledger.signals.by_server[self.server_id]
        sent = self.ledger.sent[request_id]
        asked.reached.append(Reached(self.now(), sent.host, sent.at))
        body = await read_body(exchange, MAX_BODY)
        if (
            self.mood.shed
            or self.mood.rest_s
            or (self._slots.locked() and self._waiting >= QUEUE)
        ):
            await self._refuse(exchange, request_id)
            return
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await self._run(exchange, request_id, body)
        finally:
            self._slots.release()

    def _signals(self, request_id: str) -> hd.HeaderList:
        """Return the signal headers of a response, and record them in the ledger."""
        asked = self.ledger.signals.by_server[self.server_id]
        host = self.ledger.sent[request_id].host
        fields = []
        if self.mood.limit is not None:
            asked.limits.append((self.now(), host, self.mood.limit))
            fields.append((ph.SERVER_LIMIT, str(self.mood.limit).encode()))
        if self.mood.leaving_word:
            asked.left.setdefault(host, self.now())
            fields.append((ph.SERVER_LEAVING, b"1"))
        return fields

    async def _refuse(self, exchange: Exchange, request_id: str) -> None:
        fields = [(ph.NOT_RUN, b"1"), *self._signals(request_id)]
        if self.mood.rest_s:
            asked = self.ledger.signals.by_server[self.server_id]
            host = self.ledger.sent[request_id].host
            asked.rests.append((self.now(), host, self.mood.rest_s))
            fields.append((ph.RETRY_AFTER, f"{self.mood.rest_s:.3f}".encode()))
        await exchange.respond(503, fields, b"")

    async def _run(self, exchange: Exchange, request_id: str, body: bytes) -> None:
        if exchange.gone:
            raise CallerGoneError
        head = exchange.head
        run = Run(
            request_id,
            self.server_id,
            head.target,
            body,
            self.now(),
            hd.find(head.headers, ph.ACCOUNT),
            bool(hd.find(head.headers, hd.AUTHORIZATION)),
        )
        self.ledger.runs[request_id].append(run)
        if run.target == BAD_TARGET:
            self.ledger.ends.append((self.now(), request_id))
            self.on_end(self)
            await asyncio.sleep(DARK_S)
        self._busy += 1
        try:
            spread = self.rng.uniform(0.5, 1.5)
            await asyncio.sleep(WORK_S * self.mood.slow * spread)
        finally:
            self._busy -= 1
        if self.rng.random() < self.mood.lost:
            exchange.abort()
            return
        await self._answer(exchange, request_id)

    async def _answer(self, exchange: Exchange, request_id: str) -> None:
        body = f"{self.service} {request_id} ".encode() + b"x" * PADDING
        signed = signature(self.server_id, request_id, 200, body)
        load = f"{self._busy},{self._waiting},{SLOTS}"
        fields = [
            (ph.REQUEST_ID, request_id.encode()),
            (ph.SIGNATURE, signed.encode()),
            (ph.LOAD, load.encode()),
            *self._signals(request_id),
        ]
        if self.rng.random() < 0.5:
            fields.append((hd.CONTENT_LENGTH, str(len(body)).encode()))
        await exchange.send_head(200, fields)
        if self.rng.random() < self.mood.garbled:
            await exchange.send_body(body[: len(body) // 2])
            exchange.abort()
            return
        await exchange.send_body(body)
        exchange.finish()
