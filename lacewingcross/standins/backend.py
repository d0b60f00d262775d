"""Stand-in for a backend server: slots, shedding, drain, false reports and a ledger."""

import asyncio
import json
import random
from collections import deque
from dataclasses import dataclass

from .. import headers as hd
from ..checks import Reader, split_address
from ..clock import Clock, SystemClock
from ..errors import ResourceError, UserError
from ..http1_exchange import CallerGoneError, Exchange
from ..http1_json import read_body, send_error, send_json
from ..http1_server import HttpServer
from ..platform import headers as ph
from ..settings import BackendSettings

MAX_CONTROL_BYTES = 100_000
MAX_LEDGER_ENTRIES = 500_000
# In the service shape "heavy", this fraction of the requests takes `HEAVY_FACTOR` times
# the mean service time, and every other request half of it.
HEAVY_FRACTION = 0.05
HEAVY_FACTOR = 10.0
MAX_ECHOED_TARGET_CHARS = 4096


@dataclass(slots=True)
class LedgerEntry:
    """One request that took a slot, and how it ended.

    Attributes
    ----------
    request_id, caller, method : str
        From the head of the request.
    started : float
        Monotonic time in seconds.
    state : {"running", "done", "cancelled"}
        ``done`` once the service time or the request's deadline is over, even if the
        connection is then broken by a fault switch. ``cancelled`` when the caller
        disconnects before the answer is sent.
    body_bytes : int
        Size of the request's body as far as it was read.
    """

    request_id: str
    caller: str
    method: str
    started: float
    state: str = "running"
    body_bytes: int = 0


class FaultSwitches:
    """Faults and the service time, which tests set through ``POST /control``.

    Attributes
    ----------
    draining : bool
        The health page reports ``draining``.
    fail_fast : bool
        Every request is answered 500 at once.
    lie_health : str
        State that the health page reports instead of the true one, if not empty.
    lie_load : int
        Number of busy slots that the load page reports instead of the true one, if
        not negative.
    lose_answer : int
        Number of further requests that run and whose connection is then broken, without
        an answer.
    pace_percent : int
        Time that work takes, in percent of the usual time, which answers report as the
        fourth figure of the platform's load header. 0 for the usual time, and a load
        header without it.
    service_ms : float
        Mean service time in milliseconds.
    shed_all : bool
        Every request is refused as not run.
    truncate : int
        Number of further answers whose connection is broken after half of the body.
    """

    __slots__ = (
        "draining",
        "fail_fast",
        "lie_health",
        "lie_load",
        "lose_answer",
        "pace_percent",
        "service_ms",
        "shed_all",
        "truncate",
    )

    def __init__(self, cfg: BackendSettings) -> None:
        self.draining = False
        self.fail_fast = False
        self.lie_health = ""
        self.lie_load = -1
        self.lose_answer = 0
        self.pace_percent = 0
        self.truncate = 0
        self.shed_all = False
        self.service_ms = cfg.service_ms

    def set(self, data: object) -> None:
        """Set the switches named in `data`; all other switches keep their values."""
        reader = Reader(data, "switches", ResourceError)
        self.draining = reader.boolean("draining", self.draining)
        self.fail_fast = reader.boolean("fail_fast", self.fail_fast)
        self.lie_health = reader.text("lie_health", self.lie_health)
        self.lie_load = reader.integer("lie_load", self.lie_load, low=-1)
        self.lose_answer = reader.integer("lose_answer", self.lose_answer)
        self.pace_percent = reader.integer("pace_percent", self.pace_percent)
        self.truncate = reader.integer("truncate", self.truncate)
        self.shed_all = reader.boolean("shed_all", self.shed_all)
        self.service_ms = reader.number("service_ms", self.service_ms)
        reader.finish()


class BackendStandin:
    """A backend server with a fixed number of slots.

    It answers any request with JSON that names the request, its caller and the
    size of its body, so that a test can detect an answer to another request and a
    truncated answer.

    Parameters
    ----------
    cfg : BackendSettings
        Address, slots and service times.
    clock : Clock, optional
        Source of time.

    Attributes
    ----------
    ledger : list of LedgerEntry
        Requests that took a slot, at most `MAX_LEDGER_ENTRIES`.
    shed : int
        Requests refused as not run so far.
    busy, max_busy : int
        Slots in use, and the most that were in use at the same time.
    """

    def __init__(self, cfg: BackendSettings, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self.cfg = cfg
        self.switches = FaultSwitches(cfg)
        self.ledger: list[LedgerEntry] = []
        self.shed = 0
        self.busy = 0
        self.max_busy = 0
        self._now = clock.monotonic
        self._rng = random.Random(cfg.seed)
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._served_count = 0
        self.server = HttpServer(
            self._handle, self._now, max_connections=cfg.connections
        )

    async def start(self) -> int:
        """Listen; return the port."""
        host, port = split_address(self.cfg.listen)
        return await self.server.start(host, port)

    async def close(self) -> None:
        """Stop at once, as a crash would."""
        await self.server.close()

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.head.target.partition("?")[0]
        if path == "/-/health":
            await send_json(exchange, 200, {"state": self._health()})
        elif path == "/-/load":
            await send_json(exchange, 200, self._load())
        elif path == "/control":
            await self._control(exchange)
        elif path == "/control/ledger":
            await send_json(exchange, 200, self._ledger_data())
        else:
            await self._serve(exchange)

    def _health(self) -> str:
        if self.switches.lie_health:
            return self.switches.lie_health
        return "draining" if self.switches.draining else "ok"

    def _load(self) -> dict[str, int]:
        busy = self.busy if self.switches.lie_load < 0 else self.switches.lie_load
        return {"slots": self.cfg.slots, "busy": busy}

    def _ledger_data(self) -> dict[str, object]:
        return {
            "server_id": self.cfg.server_id,
            "shed": self.shed,
            "busy": self.busy,
            "most_busy": self.max_busy,
            "entries": [
                {
                    "request_id": item.request_id,
                    "caller": item.caller,
                    "method": item.method,
                    "started": item.started,
                    "state": item.state,
                    "body_bytes": item.body_bytes,
                }
                for item in self.ledger
            ],
        }

    async def _control(self, exchange: Exchange) -> None:
        try:
            self.switches.set(json.loads(await read_body(exchange, MAX_CONTROL_BYTES)))
        except (UserError, ValueError) as exc:
            await send_error(exchange, 400, "bad-request", str(exc))
            return
        await send_json(exchange, 200, {"ok": True})

    async def _serve(self, exchange: Exchange) -> None:
        if self.switches.fail_fast:
            await send_error(exchange, 500, "broken", "failing fast on purpose")
            return
        if not await self._take_slot(exchange):
            self.shed += 1
            await self._send_not_run(exchange)
            return
        entry = self._add_to_ledger(exchange)
        try:
            await self._run_request(exchange, entry)
        except (CallerGoneError, asyncio.CancelledError):
            entry.state = "cancelled"
            raise
        finally:
            self._leave_slot()

    async def _take_slot(self, exchange: Exchange) -> bool:
        """Take a slot, or wait for one; return False when the request is refused."""
        if self.switches.shed_all:
            return False
        if self.busy < self.cfg.slots:
            self.busy += 1
        elif len(self._waiting) < self.cfg.queue:
            fut = asyncio.get_running_loop().create_future()
            self._waiting.append(fut)
            await fut
        else:
            return False
        self.max_busy = max(self.max_busy, self.busy)
        return True

    def _leave_slot(self) -> None:
        """Pass the slot to a waiting request, or free it."""
        while self._waiting:
            fut = self._waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                return
        self.busy -= 1

    async def _send_not_run(self, exchange: Exchange) -> None:
        headers = [(hd.OUTCOME, b"not-run"), *hd.retry_after(0.5)]
        await exchange.respond(503, headers, b"")

    def _add_to_ledger(self, exchange: Exchange) -> LedgerEntry:
        headers = exchange.head.headers
        entry = LedgerEntry(
            hd.find(headers, hd.REQUEST_ID),
            hd.find(headers, hd.CALLER_ID),
            exchange.head.method,
            self._now(),
        )
        if len(self.ledger) < MAX_LEDGER_ENTRIES:
            self.ledger.append(entry)
        return entry

    async def _run_request(self, exchange: Exchange, entry: LedgerEntry) -> None:
        while data := await exchange.read():
            entry.body_bytes += len(data)
        await self._wait_service(exchange)
        entry.state = "done"
        if self.switches.lose_answer > 0:
            self.switches.lose_answer -= 1
            exchange.abort()
            return
        await self._answer(exchange, entry)

    async def _wait_service(self, exchange: Exchange) -> None:
        """Wait for the service time, at most until the request's deadline.

        Raises
        ------
        CallerGoneError
            If the caller disconnects before that.
        """
        caller_gone = asyncio.get_running_loop().create_future()
        exchange.on_gone = lambda: caller_gone.done() or caller_gone.set_result(None)
        remaining_s = hd.milliseconds(exchange.head.headers, hd.DEADLINE_MS)
        service_s = self._service_s()
        wait_s = service_s if remaining_s is None else min(service_s, remaining_s)
        await asyncio.wait((caller_gone,), timeout=wait_s)
        if caller_gone.done():
            raise CallerGoneError

    def _service_s(self) -> float:
        pace = (self.switches.pace_percent or 100) / 100
        mean_s = pace * self.switches.service_ms / 1000.0
        if self._served_count < self.cfg.cold_requests:
            mean_s *= self.cfg.cold_factor
        self._served_count += 1
        if self.cfg.service_shape == "fixed":
            return mean_s
        if self.cfg.service_shape == "heavy":
            heavy = self._rng.random() < HEAVY_FRACTION
            return mean_s * (HEAVY_FACTOR if heavy else 0.5)
        return self._rng.expovariate(1.0 / mean_s) if mean_s > 0 else 0.0

    async def _answer(self, exchange: Exchange, entry: LedgerEntry) -> None:
        body = json.dumps(
            {
                "request_id": entry.request_id,
                "caller": entry.caller,
                "server_id": self.cfg.server_id,
                "body_bytes": entry.body_bytes,
                "target": exchange.head.target[:MAX_ECHOED_TARGET_CHARS],
            }
        ).encode()
        load = f"{self.busy}/{self.cfg.slots}".encode()
        figures = [self.busy, len(self._waiting), self.cfg.slots]
        if self.switches.pace_percent:
            figures.append(self.switches.pace_percent)
        headers = [
            (b"content-type", b"application/json"),
            (hd.LOAD, load),
            (ph.LOAD, ",".join(map(str, figures)).encode()),
            (hd.OUTCOME, b"answered"),
            (hd.CONTENT_LENGTH, str(len(body)).encode()),
        ]
        await exchange.send_head(200, headers)
        if self.switches.truncate > 0:
            self.switches.truncate -= 1
            await exchange.send_body(body[: len(body) // 2])
            exchange.abort()
            return
        await exchange.send_body(body)
        exchange.finish()
