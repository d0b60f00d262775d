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

from .ledger import CRASHING_TARGET, Ledger, Run, signature
from .popular import POPULAR_TARGET, PopularRequest
from .signals import Arrival

SLOTS = 4
# Requests that may wait for a slot. The ratio to the slots is that of the users'
# servers.
MAX_WAITING = 3 * SLOTS
SERVICE_TIME_S = 0.06
# Target of bookings that say how long their work takes; the milliseconds follow.
LONG_TARGET = "/long/"
# What a server sends without end, by the name of the behaviour: what comes first, and
# what follows. An id stands for ``%s``.
ENDLESS = {
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 200),
    "surplus": (
        b"HTTP/1.1 200 OK\r\nX-Lacewingcross-Request-Id: %s\r\n"
        b"Content-Length: 2\r\n\r\nok",
        b"x" * 16384,
    ),
    "stray": (
        b"HTTP/1.1 200 OK\r\nX-Lacewingcross-Request-Id: other\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"4000\r\n" + b"x" * 0x4000 + b"\r\n",
    ),
}
ENDLESS_PAUSE_S = 0.005
MAX_UNSENT_BYTES = 1 << 18
# Target of long work, of which surges consist, and the factor on its service time.
SURGE_TARGET = "/calendar/report"
SURGE_SERVICE_TIME_FACTOR = 5.0
MAX_BODY_BYTES = 1 << 20
PADDING_BYTES = 300
# Seconds for which an unresponsive server sends no response; longer than any run.
UNRESPONSIVE_S = 600.0


@dataclass(slots=True)
class ServerBehaviour:
    """The faults and signals that a server currently shows.

    Attributes
    ----------
    service_time_factor : float
        Factor on the service time.
    pace_percent : int
        Time that work takes, in percent of the usual time, which responses report; 0
        for the usual time without a report.
    claimed_percent : int
        Pace that responses report instead of the true one; 0 for the true one.
    lost_share, garbled_share : float
        Share of the responses, 0 to 1, that are not sent or that break off halfway.
    shed : bool
        Refuse all requests.
    unresponsive : bool
        Send no responses and no heartbeats.
    limit : float or None
        Requests per second that the server names as its limit.
    announces_leaving : bool
        Announce in responses that the server is draining; the store gets no report.
    back_off_s : float
        Refuse all requests and request this back-off, in seconds; 0 for none.
    endless : str
        Run no request, and send what `ENDLESS` names until the connection is closed;
        empty for none.
    """

    service_time_factor: float = 1.0
    pace_percent: int = 0
    claimed_percent: int = 0
    lost_share: float = 0.0
    garbled_share: float = 0.0
    shed: bool = False
    unresponsive: bool = False
    limit: float | None = None
    announces_leaving: bool = False
    back_off_s: float = 0.0
    endless: str = ""


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
    popular : PopularRequest
        What becomes of the popular request, at all servers of the run.
    """

    server_id: str
    service: str
    domain: str
    ledger: Ledger
    rng: random.Random
    now: Callable[[], float]
    popular: PopularRequest
    behaviour: ServerBehaviour = field(default_factory=ServerBehaviour)
    # Called when a request crashes this server.
    on_crash: Callable[["SoakServer"], None] = lambda server: None
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
        if self.behaviour.unresponsive:
            await asyncio.sleep(UNRESPONSIVE_S)
        expected = hd.find(headers, ph.EXPECTED_INCARNATION)
        if expected and expected != self.server_id:
            await exchange.respond(421, [(ph.NOT_RUN, b"1")], b"")
            return
        if self.behaviour.endless:
            await self._send_without_end(exchange, request_id)
            return
        signals = self.ledger.signals.by_server[self.server_id]
        sent = self.ledger.sent[request_id]
        signals.arrivals.append(Arrival(self.now(), sent.host, sent.at))
        body = await read_body(exchange, MAX_BODY_BYTES)
        if (
            self.behaviour.shed
            or self.behaviour.back_off_s
            or (self._slots.locked() and self._waiting >= MAX_WAITING)
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

    async def _send_without_end(self, exchange: Exchange, request_id: str) -> None:
        first, rest = ENDLESS[self.behaviour.endless]
        # An exchange sends responses only, so these bytes go to its transport.
        transport = exchange._conn.transport
        transport.write(first.replace(b"%s", request_id.encode()))
        while not exchange.gone:
            if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
                transport.write(rest)
            await asyncio.sleep(ENDLESS_PAUSE_S)

    def _signals(self, request_id: str) -> hd.HeaderList:
        """Return the signal headers of a response, and record them in the ledger."""
        signals = self.ledger.signals.by_server[self.server_id]
        host = self.ledger.sent[request_id].host
        fields = []
        if self.behaviour.limit is not None:
            signals.limits.append((self.now(), host, self.behaviour.limit))
            fields.append((ph.SERVER_LIMIT, str(self.behaviour.limit).encode()))
        if self.behaviour.announces_leaving:
            signals.announced_at.setdefault(host, self.now())
            fields.append((ph.SERVER_LEAVING, b"1"))
        return fields

    async def _refuse(self, exchange: Exchange, request_id: str) -> None:
        fields = [(ph.NOT_RUN, b"1"), *self._signals(request_id)]
        if self.behaviour.back_off_s:
            signals = self.ledger.signals.by_server[self.server_id]
            host = self.ledger.sent[request_id].host
            signals.back_offs.append((self.now(), host, self.behaviour.back_off_s))
            fields.append((ph.RETRY_AFTER, f"{self.behaviour.back_off_s:.3f}".encode()))
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
        if run.target == CRASHING_TARGET:
            self.ledger.crashes.append((self.now(), request_id))
            self.on_crash(self)
            await asyncio.sleep(UNRESPONSIVE_S)
        if run.target == POPULAR_TARGET and await self.popular.run(self.server_id):
            self.on_crash(self)
            await asyncio.sleep(UNRESPONSIVE_S)
        self._busy += 1
        try:
            jitter = self.rng.uniform(0.5, 1.5)
            pace = (self.behaviour.pace_percent or 100) / 100
            factor = self.behaviour.service_time_factor * pace * jitter
            if run.target == SURGE_TARGET:
                factor *= SURGE_SERVICE_TIME_FACTOR
            work_s = SERVICE_TIME_S * factor
            if run.target.startswith(LONG_TARGET):
                work_s = int(run.target.removeprefix(LONG_TARGET)) / 1000
            await asyncio.sleep(work_s)
        finally:
            self._busy -= 1
        if self.rng.random() < self.behaviour.lost_share:
            exchange.abort()
            return
        await self._answer(exchange, request_id)

    async def _answer(self, exchange: Exchange, request_id: str) -> None:
        body = f"{self.service} {request_id} ".encode() + b"x" * PADDING_BYTES
        response_signature = signature(self.server_id, request_id, 200, body)
        load = f"{self._busy},{self._waiting},{SLOTS}"
        percent = self.behaviour.claimed_percent or self.behaviour.pace_percent
        if percent:
            load += f",{percent}"
        fields = [
            (ph.REQUEST_ID, request_id.encode()),
            (ph.SIGNATURE, response_signature.encode()),
            (ph.LOAD, load.encode()),
            *self._signals(request_id),
        ]
        if self.rng.random() < 0.5:
            fields.append((hd.CONTENT_LENGTH, str(len(body)).encode()))
        await exchange.send_head(200, fields)
        if self.rng.random() < self.behaviour.garbled_share:
            await exchange.send_body(body[: len(body) // 2])
            exchange.abort()
            return
        await exchange.send_body(body)
        exchange.finish()
