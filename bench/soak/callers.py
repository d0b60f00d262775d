"""Callers of the soak.

They look up hosts in the directory, keep or close connections, and record responses.
"""

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

from .accounts import FLOODED, INTERMITTENT, KEYS, UNLIMITED
from .ledger import CRASHING, CRASHING_TARGET, DEADLINE_S, Reply, Sent
from .popular import (
    POPULAR,
    POPULAR_CALLERS,
    POPULAR_PAUSE_S,
    POPULAR_QUIET_S,
    POPULAR_TARGET,
)
from .world import HOST_NAME, World

# Seconds after its deadline by which a caller must have a response, since the response
# takes some time to arrive. Later than that the host kept it waiting.
DEADLINE_SLACK_S = 1.0
OBJECTS = 60
UPLOAD_BYTES = 60_000
# Share of callers that keep a connection open until the host closes it.
KEEP_OPEN_SHARE = 0.6
LOOKUP_EVERY_S = 1.0
PROBE_EVERY_S = 0.12
PAUSE_S = (0.02, 0.25)
# Seconds between requests of the flooding account, over all hosts: eight times its
# quota. The second constant is for the account whose key comes and goes.
FLOOD_EVERY_S = 0.0125
INTERMITTENT_EVERY_S = 0.1
# Number of flooding callers; each keeps one connection.
FLOOD_CALLERS = 8
# When the request that crashes servers is first sent, in seconds: until then it could
# crash the server that holds the popular request.
CRASHING_STARTS_S = 2.0
# Pause before the request that crashes servers is sent again, in seconds.
CRASHING_PAUSE_S = (0.1, 0.4)


@dataclass(slots=True)
class PlannedRequest:
    """A request to be sent.

    `version` is the configuration version that it probes, or 0, and `deadline_s` how
    long its caller waits, in seconds.
    """

    kind: str
    service: str
    method: str
    target: str
    body: bytes = b""
    version: int = 0
    account: str = UNLIMITED
    deadline_s: float = DEADLINE_S


class Callers:
    """All callers of one run.

    Parameters
    ----------
    world : World
        The run whose hosts they call.
    rng : random.Random
        Random source for the requests and their times.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._request_numbers = itertools.count(1)

    def tasks(self, callers: int) -> list[asyncio.Task[None]]:
        """Start the callers, and for each host a task that probes its configuration."""
        loop = asyncio.get_running_loop()
        running = [
            loop.create_task(self._call(caller_index))
            for caller_index in range(callers)
        ]
        hosts = range(len(self._world.hosts))
        bad = PlannedRequest(CRASHING, "calendar", "GET", CRASHING_TARGET)
        running.append(
            loop.create_task(
                self._repeat(bad, CRASHING_PAUSE_S, "bad", CRASHING_STARTS_S)
            )
        )
        popular = PlannedRequest(POPULAR, "calendar", "GET", POPULAR_TARGET)
        running += [
            loop.create_task(self._repeat_popular(popular, f"popular-{index}"))
            for index in range(POPULAR_CALLERS)
        ]
        pause_s = FLOOD_EVERY_S * FLOOD_CALLERS
        for caller_index in range(FLOOD_CALLERS):
            running.append(
                loop.create_task(
                    self._send_continuously(FLOODED, caller_index, pause_s)
                )
            )
        running.append(
            loop.create_task(
                self._send_continuously(INTERMITTENT, 0, INTERMITTENT_EVERY_S)
            )
        )
        return running + [loop.create_task(self._probe(host)) for host in hosts]

    async def _call(self, caller_index: int) -> None:
        region = "ab"[caller_index % 2]
        keeps_connection = self._rng.random() < KEEP_OPEN_SHARE
        hosts: list[int] = []
        looked_up_at = float("-inf")
        conn: ClientConnection | None = None
        host = 0
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            if self._world.now() - looked_up_at > LOOKUP_EVERY_S:
                hosts = await self._look_up(region) or hosts
                looked_up_at = self._world.now()
            if not hosts:
                continue
            if conn is None:
                host = self._rng.choice(hosts)
                conn = await self._open(host)
            if conn is not None:
                conn = await self._send_request(conn, host, self._draw_request())
            if conn is not None and not keeps_connection:
                conn = _close(conn)

    async def _probe(self, host: int) -> None:
        """Request routes from one host that only one configuration version contains."""
        conn: ClientConnection | None = None
        while True:
            await asyncio.sleep(PROBE_EVERY_S)
            version = max(1, self._world.version - self._rng.randrange(2))
            if conn is None:
                conn = await self._open(host)
                continue
            target = f"/only-{version}/x"
            planned = PlannedRequest("read", "calendar", "GET", target, version=version)
            conn = await self._send_request(conn, host, planned)

    async def _repeat(
        self,
        planned: PlannedRequest,
        pause_s: tuple[float, float],
        name: str,
        starts_s: float = 0.0,
    ) -> None:
        """Send one request repeatedly, to random hosts, after `starts_s` seconds.

        The random source is separate, so that the other callers draw the same values.
        """
        rng = random.Random(f"{name}-{len(self._world.hosts)}")
        await asyncio.sleep(starts_s)
        while True:
            await asyncio.sleep(rng.uniform(*pause_s))
            await self.send_alone(rng.randrange(len(self._world.hosts)), planned)

    async def send_alone(self, host: int, planned: PlannedRequest) -> None:
        """Send one request on a connection of its own."""
        conn = await self._open(host)
        if conn is not None:
            conn = await self._send_request(conn, host, planned)
        if conn is not None:
            _close(conn)

    async def _repeat_popular(self, popular: PlannedRequest, name: str) -> None:
        """Send the popular request once, and repeatedly after a while.

        A copy that is running when its quarantine comes back would be answered and end
        it again.
        """
        await self.send_alone(0, popular)
        await self._repeat(popular, POPULAR_PAUSE_S, name, POPULAR_QUIET_S)

    async def _send_continuously(
        self, account: str, caller_index: int, pause_s: float
    ) -> None:
        """Send reads for an account continuously, and change the host at times.

        The random source is separate, so that the other callers draw the same values.
        """
        rng = random.Random(f"{account}-{caller_index}")
        conn: ClientConnection | None = None
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * pause_s)
            if conn is None:
                host = rng.randrange(len(self._world.hosts))
                conn = await self._open(host)
                continue
            target = f"/calendar/{account}-{rng.randrange(50)}"
            planned = PlannedRequest("read", "calendar", "GET", target, account=account)
            conn = await self._send_request(conn, host, planned)
            if conn is not None and rng.random() < 0.2:
                conn = _close(conn)

    def _draw_request(self) -> PlannedRequest:
        kind = self._rng.choices(("read", "booking", "upload"), (6, 2, 1))[0]
        path_end = f"{self._rng.randrange(1000)}?q={self._rng.randrange(9)}"
        if kind == "read":
            return PlannedRequest(kind, "calendar", "GET", f"/calendar/{path_end}")
        if kind == "booking":
            body = self._rng.randbytes(200)
            return PlannedRequest(kind, "booking", "POST", f"/booking/{path_end}", body)
        body = self._rng.randbytes(UPLOAD_BYTES)
        return PlannedRequest(kind, "booking", "POST", f"/upload/{path_end}", body)

    async def _look_up(self, region: str) -> list[int]:
        host = self._rng.choice(self._world.hosts)
        http = HttpClient(host.cfg.directory)
        target = f"/v1/resolve?name={HOST_NAME}&region={region}&zone={region}1"
        try:
            response = await http.request("GET", target, timeout_s=1.0)
            addresses = json.loads(response.body)["addresses"]
        except (HttpError, ValueError, KeyError):
            # The host is down or paused; the caller keeps the addresses that it has.
            return []
        finally:
            http.close()
        return [self._world.host_by_entry[address] for address in addresses]

    async def _open(self, host: int) -> ClientConnection | None:
        try:
            return await ClientConnection.open(self._world.hosts[host].callers.listen)
        except HttpError:
            return None

    async def _send_request(
        self, conn: ClientConnection, host: int, planned: PlannedRequest
    ) -> ClientConnection | None:
        """Send one request; return the connection if it may be used again."""
        sent = self._record_sent(host, planned)
        try:
            async with asyncio.timeout(planned.deadline_s + DEADLINE_SLACK_S):
                await _send(conn, planned, sent, str(self._rng.randrange(OBJECTS)))
                head = await conn.read_head()
                chunks = [chunk async for chunk in conn.read_body()]
        except TimeoutError:
            self._record_reply(
                sent, 0, failure="held" if self._host_undisturbed(sent) else "late"
            )
            return _close(conn)
        except HttpError as exc:
            failure = "cut" if exc.sent else "unsent"
            self._record_reply(sent, 0, failure=failure)
            return _close(conn)
        self._record_reply(sent, head.status, head, b"".join(chunks))
        host_closes = hd.find(head.headers, b"connection").lower() == "close"
        if host_closes or not conn.prepare_for_reuse():
            return _close(conn)
        return conn

    def _host_undisturbed(self, sent: Sent) -> bool:
        """Return whether the host was undisturbed and should have met the deadline."""
        ledger = self._world.ledger
        now = self._world.now()
        return not ledger.host_disturbances[sent.host].causes_near(sent.at, now)

    def _record_sent(self, host: int, planned: PlannedRequest) -> Sent:
        sent = Sent(
            f"q{next(self._request_numbers)}",
            planned.kind,
            planned.service,
            planned.target,
            planned.body,
            host,
            self._world.hosts[host].incarnation,
            self._world.now(),
            planned.version,
            planned.account,
        )
        self._world.ledger.sent[sent.request_id] = sent
        return sent

    def _record_reply(
        self,
        sent: Sent,
        status: int,
        head: ResponseHead | None = None,
        body: bytes = b"",
        failure: str = "",
    ) -> None:
        response_signature = hd.find(head.headers, ph.SIGNATURE) if head else ""
        reply = Reply(
            sent.request_id,
            status,
            response_signature,
            body,
            self._world.now(),
            failure,
        )
        self._world.ledger.replies.append(reply)


async def _send(
    conn: ClientConnection, planned: PlannedRequest, sent: Sent, key: str
) -> None:
    deadline_ms = int(planned.deadline_s * 1000)
    fields = [
        (b"host", HOST_NAME.encode()),
        (ph.REQUEST_ID, sent.request_id.encode()),
        (ph.AFFINITY_KEY, key.encode()),
        (ph.REMAINING_MS, str(deadline_ms).encode()),
        (hd.AUTHORIZATION, f"Bearer {KEYS[planned.account]}".encode()),
    ]
    if planned.body:
        fields.append((hd.CONTENT_LENGTH, str(len(planned.body)).encode()))
    await conn.send_head(planned.method, planned.target, fields)
    if planned.body:
        await conn.send_body(planned.body)
    await conn.finish()


def _close(conn: ClientConnection) -> None:
    conn.close()
