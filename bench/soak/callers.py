"""Callers of the soak: they ask the directory, keep connections, check answers."""

import asyncio
import itertools
import json
import random
from dataclasses import dataclass

from lacewingcross import headers as hd
from lacewingcross.http1_client import (
    ClientConnection,
    HttpClient,
    HttpError,
    ResponseHead,
)
from lacewingcross.platform import headers as ph

from .accounts import FLOODED, KEYS, PASSING, USUAL
from .ledger import BAD, BAD_TARGET, DEADLINE_S, Reply, Sent
from .world import HOST_NAME, World

# A caller hears of the end of its time a little later; beyond that it was left waiting.
HELD_AFTER_S = 1.0
OBJECTS = 60
UPLOAD_BYTES = 60_000
# Share of callers that keep one connection until the host closes it.
KEEPS = 0.6
LOOKUP_EVERY_S = 1.0
PROBE_EVERY_S = 0.12
PAUSE_S = (0.02, 0.25)
# Requests of the account that floods, and pauses of the one whose key comes and goes,
# in seconds: eight times the quota, over all hosts.
FLOOD_EVERY_S = 0.0125
PASSING_EVERY_S = 0.1
# Connections that each flooding caller keeps.
FLOOD_CALLERS = 8
# Pause before the request that ends servers comes again, in seconds.
BAD_PAUSE_S = (0.1, 0.4)


@dataclass(slots=True)
class Question:
    """A request before it is sent."""

    kind: str
    service: str
    method: str
    target: str
    body: bytes = b""
    version: int = 0
    account: str = USUAL


class Callers:
    """All callers of one run.

    Parameters
    ----------
    world : World
        Where they ask.
    rng : random.Random
        Source of what they ask and when.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._numbers = itertools.count(1)

    def tasks(self, callers: int) -> list[asyncio.Task[None]]:
        """Start the callers, and one prober for each host."""
        loop = asyncio.get_running_loop()
        running = [loop.create_task(self._call(number)) for number in range(callers)]
        hosts = range(len(self._world.hosts))
        running.append(loop.create_task(self._repeat_bad()))
        pause_s = FLOOD_EVERY_S * FLOOD_CALLERS
        for number in range(FLOOD_CALLERS):
            running.append(loop.create_task(self._press(FLOODED, number, pause_s)))
        running.append(loop.create_task(self._press(PASSING, 0, PASSING_EVERY_S)))
        return running + [loop.create_task(self._probe(number)) for number in hosts]

    async def _call(self, number: int) -> None:
        region = "ab"[number % 2]
        keeps = self._rng.random() < KEEPS
        hosts: list[int] = []
        looked_at = float("-inf")
        conn: ClientConnection | None = None
        host = 0
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            if self._world.now() - looked_at > LOOKUP_EVERY_S:
                hosts = await self._look_up(region) or hosts
                looked_at = self._world.now()
            if not hosts:
                continue
            if conn is None:
                host = self._rng.choice(hosts)
                conn = await self._open(host)
            if conn is not None:
                conn = await self._ask(conn, host, self._draw())
            if conn is not None and not keeps:
                conn = _close(conn)

    async def _probe(self, host: int) -> None:
        """Ask one host for routes that only one version has."""
        conn: ClientConnection | None = None
        while True:
            await asyncio.sleep(PROBE_EVERY_S)
            version = max(1, self._world.version - self._rng.randrange(2))
            if conn is None:
                conn = await self._open(host)
                continue
            target = f"/only-{version}/x"
            question = Question("read", "calendar", "GET", target, version=version)
            conn = await self._ask(conn, host, question)

    async def _repeat_bad(self) -> None:
        """Send a request that ends servers again and again, to any host.

        Draws from a source of its own, so that the other callers do what they did.
        """
        rng = random.Random(len(self._world.hosts))
        question = Question(BAD, "calendar", "GET", BAD_TARGET)
        while True:
            await asyncio.sleep(rng.uniform(*BAD_PAUSE_S))
            host = rng.randrange(len(self._world.hosts))
            conn = await self._open(host)
            if conn is not None:
                conn = await self._ask(conn, host, question)
            if conn is not None:
                _close(conn)

    async def _press(self, account: str, number: int, pause_s: float) -> None:
        """Read for an account all the time, at one host after the other.

        Draws from a source of its own, so that the other callers do what they did.
        """
        rng = random.Random(f"{account}-{number}")
        conn: ClientConnection | None = None
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * pause_s)
            if conn is None:
                host = rng.randrange(len(self._world.hosts))
                conn = await self._open(host)
                continue
            target = f"/calendar/{account}-{rng.randrange(50)}"
            question = Question("read", "calendar", "GET", target, account=account)
            conn = await self._ask(conn, host, question)
            if conn is not None and rng.random() < 0.2:
                conn = _close(conn)

    def _draw(self) -> Question:
        kind = self._rng.choices(("read", "booking", "upload"), (6, 2, 1))[0]
        tail = f"{self._rng.randrange(1000)}?q={self._rng.randrange(9)}"
        if kind == "read":
            return Question(kind, "calendar", "GET", f"/calendar/{tail}")
        if kind == "booking":
            body = self._rng.randbytes(200)
            return Question(kind, "booking", "POST", f"/booking/{tail}", body)
        body = self._rng.randbytes(UPLOAD_BYTES)
        return Question(kind, "booking", "POST", f"/upload/{tail}", body)

    async def _look_up(self, region: str) -> list[int]:
        host = self._rng.choice(self._world.hosts)
        http = HttpClient(host.cfg.directory)
        target = f"/v1/resolve?name={HOST_NAME}&region={region}&zone={region}1"
        try:
            response = await http.request("GET", target, timeout_s=1.0)
            named = json.loads(response.body)["addresses"]
        except (HttpError, ValueError, KeyError):
            # A host that is down or paused; the caller goes on with what it knows.
            return []
        finally:
            http.close()
        return [self._world.by_entry[address] for address in named]

    async def _open(self, host: int) -> ClientConnection | None:
        try:
            return await ClientConnection.open(self._world.hosts[host].callers.listen)
        except HttpError:
            return None

    async def _ask(
        self, conn: ClientConnection, host: int, question: Question
    ) -> ClientConnection | None:
        """Send one request; return the connection if it may be used again."""
        sent = self._note(host, question)
        try:
            async with asyncio.timeout(DEADLINE_S + HELD_AFTER_S):
                await _send(conn, question, sent, str(self._rng.randrange(OBJECTS)))
                head = await conn.read_head()
                parts = [part async for part in conn.read_body()]
        except TimeoutError:
            self._end(sent, 0, why="held" if self._held(sent) else "late")
            return _close(conn)
        except HttpError as exc:
            why = "cut" if exc.sent else "unsent"
            self._end(sent, 0, why=why)
            return _close(conn)
        self._end(sent, head.status, head, b"".join(parts))
        leaves = hd.find(head.headers, b"connection").lower() == "close"
        if leaves or not conn.prepare_for_reuse():
            return _close(conn)
        return conn

    def _held(self, sent: Sent) -> bool:
        """Tell whether an undisturbed host let a caller wait beyond its deadline."""
        ledger = self._world.ledger
        now = self._world.now()
        return not ledger.hosts[sent.host].near(sent.at, now)

    def _note(self, host: int, question: Question) -> Sent:
        sent = Sent(
            f"q{next(self._numbers)}",
            question.kind,
            question.service,
            question.target,
            question.body,
            host,
            self._world.hosts[host].incarnation,
            self._world.now(),
            question.version,
            question.account,
        )
        self._world.ledger.sent[sent.request_id] = sent
        return sent

    def _end(
        self,
        sent: Sent,
        status: int,
        head: ResponseHead | None = None,
        body: bytes = b"",
        why: str = "",
    ) -> None:
        signed = hd.find(head.headers, ph.SIGNATURE) if head else ""
        reply = Reply(sent.request_id, status, signed, body, self._world.now(), why)
        self._world.ledger.replies.append(reply)


async def _send(
    conn: ClientConnection, question: Question, sent: Sent, key: str
) -> None:
    deadline_ms = int(DEADLINE_S * 1000)
    fields = [
        (b"host", HOST_NAME.encode()),
        (ph.REQUEST_ID, sent.request_id.encode()),
        (ph.AFFINITY_KEY, key.encode()),
        (ph.REMAINING_MS, str(deadline_ms).encode()),
        (hd.AUTHORIZATION, f"Bearer {KEYS[question.account]}".encode()),
    ]
    if question.body:
        fields.append((hd.CONTENT_LENGTH, str(len(question.body)).encode()))
    await conn.send_head(question.method, question.target, fields)
    if question.body:
        await conn.send_body(question.body)
    await conn.finish()


def _close(conn: ClientConnection) -> None:
    conn.close()
