"""Caller library: looks up entry hosts, chooses one and retries only where safe."""

import asyncio
import json
import random
import ssl as ssl_module
import uuid
from collections.abc import AsyncIterable
from dataclasses import dataclass, field, replace
from urllib.parse import urlencode

from . import headers as hd
from .clock import Clock, SystemClock
from .core.actions import ANSWERED, NOT_RUN, UNKNOWN
from .core.resources import NON_REPEATABLE
from .http1_client import ClientConnection, HttpClient, HttpError

LOOKUP_TIMEOUT_S = 2.0
DEFAULT_DEADLINE_S = 10.0
MAX_TRIES = 6
# Shortest pause between two attempts of a request, in seconds.
MIN_PAUSE_S = 0.05
# How long a host is avoided, in seconds, after an attempt to use it failed.
HOST_AVOID_S = 5.0


@dataclass(slots=True, frozen=True)
class Answer:
    """The outcome of a request.

    Attributes
    ----------
    outcome : {"answered", "not-run", "unknown"}
        "not-run" proves that the request did not run; "unknown" means that it may have
        run.
    status : int
        HTTP status, 0 when no response was received.
    headers : list of (bytes, bytes)
        Headers of the response; empty when no response was received.
    body : bytes
        Body of the response; empty when no response was received.
    reason : str
        Reason code of a refusal or of an unknown outcome; empty when the request was
        answered.
    retry_after_s : float
        Time to wait before a retry, in seconds; 0 when the response has none.
    tries : int
        Number of attempts, including those that could not be sent.
    """

    outcome: str
    status: int
    headers: hd.HeaderList = field(default_factory=list)
    body: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0
    tries: int = 1


@dataclass(slots=True)
class _Route:
    addresses: list[str]
    expires_at: float


class Caller:
    """Send requests through the entry hosts that a look-up returns.

    Parameters
    ----------
    seeds : list of str
        Addresses of some entry hosts; each of them can answer look-ups.
    caller_id : str, optional
        Stable identity; requests with the same id are routed to the same hosts. Random
        by default.
    address : str, optional
        Client address to use for look-ups in place of the address of the connection.
    clock : Clock, optional
        Source of time.
    rng : random.Random, optional
        Source of the order in which seeds are queried, and of the choice among hosts
        that have all failed.
    ssl : ssl.SSLContext, optional
        Context for TLS to entry hosts; plain TCP by default.
    """

    def __init__(
        self,
        seeds: list[str],
        *,
        caller_id: str = "",
        address: str = "",
        clock: Clock | None = None,
        rng: random.Random | None = None,
        ssl: ssl_module.SSLContext | None = None,
    ) -> None:
        self.caller_id = caller_id or uuid.uuid4().hex
        self._seeds = list(seeds)
        self._address = address
        self._now = (clock or SystemClock()).monotonic
        self._rng = rng or random.Random(self.caller_id)
        self._ssl = ssl
        self._routes: dict[str, _Route] = {}
        self._avoid_until: dict[str, float] = {}
        self._idle: dict[str, list[ClientConnection]] = {}

    async def lookup(self, service: str) -> list[str]:
        """Return the addresses of entry hosts for `service`, best first.

        The result of a look-up is cached for its lifetime. After that, the hosts of the
        cached result and then the seeds are queried, one after another, until one of
        them returns addresses. When none does, the cached result is used beyond its
        lifetime, or else the seeds: an outdated address is better than none.
        """
        route = self._routes.get(service)
        if route is not None and self._now() < route.expires_at:
            return route.addresses
        known = route.addresses if route else []
        seeds = list(self._seeds)
        self._rng.shuffle(seeds)
        for address in [*known, *seeds]:
            new_route = await self._lookup_at(address, service)
            if new_route is not None:
                self._routes[service] = new_route
                return new_route.addresses
        return known or seeds

    async def _lookup_at(self, address: str, service: str) -> _Route | None:
        """Query one host; return None if it fails or returns no address."""
        query = {"service": service, "caller": self.caller_id}
        if self._address:
            query["address"] = self._address
        client = HttpClient(address, self._ssl)
        try:
            response = await client.request(
                "GET", "/v1/lookup?" + urlencode(query), timeout_s=LOOKUP_TIMEOUT_S
            )
            data = json.loads(response.body)
            addresses = [item["address"] for item in data["hosts"]]
            ttl_s = float(data["ttl_s"])
        except (HttpError, ValueError, KeyError, TypeError):
            return None
        finally:
            client.close()
        return _Route(addresses, self._now() + ttl_s) if addresses else None

    async def request(
        self,
        method: str,
        target: str,
        *,
        service: str,
        body: bytes | AsyncIterable[bytes] = b"",
        headers: hd.HeaderList | None = None,
        deadline_s: float = DEFAULT_DEADLINE_S,
        repeatable: bool | None = None,
        key: str = "",
        request_id: str = "",
        max_tries: int = MAX_TRIES,
    ) -> Answer:
        """Send a request and return its outcome.

        Parameters
        ----------
        method, target : str
            Method and target of the HTTP request.
        service : str
            Service to look up.
        body : bytes or async iterable of bytes
            A streamed body can be sent only once, so a request with such a body is not
            retried after sending the body has begun.
        headers : list of (bytes, bytes), optional
            Additional headers, with names in lower case.
        deadline_s : float, default=10.0
            Total time for all attempts, in seconds.
        repeatable : bool, optional
            Whether the request may run twice; by default true for all methods except
            POST and PATCH.
        key : str, optional
            Idempotency key, the same for all attempts.
        request_id : str, optional
            Request id, the same for all attempts; random by default.
        max_tries : int, default=6
            Limit on attempts.

        Returns
        -------
        answer : Answer
        """
        req = _LogicalRequest(
            method,
            target,
            service,
            body,
            headers or [],
            self._now() + deadline_s,
            method.upper() not in NON_REPEATABLE if repeatable is None else repeatable,
            key,
            request_id or uuid.uuid4().hex,
        )
        answer = Answer(NOT_RUN, 0, reason="no-host", tries=0)
        for tries in range(1, max_tries + 1):
            answer = req.adjust_outcome(await self._attempt(req, tries))
            if not self._may_retry(req, answer):
                return answer
            pause_s = max(MIN_PAUSE_S, answer.retry_after_s)
            if self._now() + pause_s >= req.deadline_at:
                return answer
            if tries < max_tries:
                await asyncio.sleep(pause_s)
        return answer

    def _may_retry(self, req: "_LogicalRequest", answer: Answer) -> bool:
        """Return whether another attempt is safe and may help.

        A request that did not run may be sent again if it got no response or a 503; any
        other status refuses the request itself. A request that may have run is sent
        again only if it is repeatable.
        """
        if answer.outcome == ANSWERED or req.body_consumed:
            return False
        if answer.outcome == NOT_RUN:
            return answer.status in (0, 503)
        return req.repeatable

    async def _attempt(self, req: "_LogicalRequest", tries: int) -> Answer:
        address = await self._choose_host(req.service)
        if address is None:
            return Answer(NOT_RUN, 0, reason="no-host", tries=tries)
        conn = None
        sent = False
        try:
            async with asyncio.timeout(max(0.001, req.deadline_at - self._now())):
                conn = await self._connect(address, req.repeatable)
                sent = True
                answer = await self._exchange(conn, address, req, tries)
        except HttpError as exc:
            self._avoid_until[address] = self._now() + HOST_AVOID_S
            outcome = UNKNOWN if exc.sent else NOT_RUN
            answer = Answer(outcome, 0, reason=exc.reason, tries=tries)
        except TimeoutError:
            outcome = UNKNOWN if sent else NOT_RUN
            answer = Answer(outcome, 0, reason="deadline", tries=tries)
        if conn is not None:
            self._release(address, conn, answer)
        return answer

    async def _choose_host(self, service: str) -> str | None:
        addresses = await self.lookup(service)
        now = self._now()
        usable = [addr for addr in addresses if self._avoid_until.get(addr, 0.0) <= now]
        if usable:
            return usable[0]
        # Every address that the look-up returned has failed in the last `HOST_AVOID_S`
        # seconds. Drop the cached result, so that the next attempt looks up again.
        self._routes.pop(service, None)
        return self._rng.choice(addresses) if addresses else None

    async def _connect(self, address: str, repeatable: bool) -> ClientConnection:
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            # The host may close an idle connection while the request is written to it,
            # which leaves the outcome unknown. A request that may not be repeated
            # therefore uses a new connection.
            if repeatable and not conn.stale():
                return conn
            conn.close()
        return await ClientConnection.open(address, self._ssl)

    def _release(self, address: str, conn: ClientConnection, answer: Answer) -> None:
        """Keep a connection for reuse if its exchange is complete, or close it."""
        if answer.status and conn.prepare_for_reuse():
            self._idle.setdefault(address, []).append(conn)
        else:
            conn.close()

    async def _exchange(
        self, conn: ClientConnection, address: str, req: "_LogicalRequest", tries: int
    ) -> Answer:
        await conn.send_head(req.method, req.target, self._fields(address, req))
        sender = asyncio.get_running_loop().create_task(req.send_body(conn))
        try:
            head = await conn.read_head()
            parts = [part async for part in conn.read_body()]
        finally:
            if not sender.done():
                sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
        outcome = hd.find(head.headers, hd.OUTCOME) or ANSWERED
        retry_after_s = hd.milliseconds(head.headers, hd.RETRY_AFTER_MS) or 0.0
        return Answer(
            outcome,
            head.status,
            head.headers,
            b"".join(parts),
            hd.find(head.headers, hd.REASON),
            retry_after_s,
            tries,
        )

    def _fields(self, address: str, req: "_LogicalRequest") -> hd.HeaderList:
        remaining_ms = max(1, int((req.deadline_at - self._now()) * 1000))
        fields = [
            (b"host", address.encode()),
            (hd.SERVICE, req.service.encode()),
            (hd.REQUEST_ID, req.request_id.encode()),
            (hd.CALLER_ID, self.caller_id.encode()),
            (hd.DEADLINE_MS, str(remaining_ms).encode()),
            (hd.REPEATABLE, b"yes" if req.repeatable else b"no"),
            *req.headers,
        ]
        if self._address:
            fields.append((hd.CLIENT_ADDRESS, self._address.encode()))
        if req.key:
            fields.append((hd.IDEMPOTENCY_KEY, req.key.encode()))
        if not isinstance(req.body, bytes):
            fields.append((hd.TRANSFER_ENCODING, b"chunked"))
        elif req.body or req.method in ("POST", "PUT", "PATCH"):
            fields.append((hd.CONTENT_LENGTH, str(len(req.body)).encode()))
        return fields

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()


@dataclass(slots=True)
class _LogicalRequest:
    """One request of the application, across all its attempts."""

    method: str
    target: str
    service: str
    body: bytes | AsyncIterable[bytes]
    headers: hd.HeaderList
    deadline_at: float
    repeatable: bool
    key: str
    request_id: str
    body_consumed: bool = False
    may_have_run: bool = False

    def adjust_outcome(self, answer: Answer) -> Answer:
        """Return `answer`, adjusted for earlier attempts whose outcome is unknown.

        If an earlier attempt may have run, "not-run" of a later one does not prove that
        the request did not run, and becomes "unknown".
        """
        if answer.outcome == UNKNOWN:
            self.may_have_run = True
        if answer.outcome == NOT_RUN and self.may_have_run:
            return replace(answer, outcome=UNKNOWN)
        return answer

    async def send_body(self, conn: ClientConnection) -> None:
        """Send the body and the end of the request."""
        if isinstance(self.body, bytes):
            if self.body:
                await conn.send_body(self.body)
        else:
            self.body_consumed = True
            async for part in self.body:
                await conn.send_body(part)
        await conn.finish()
