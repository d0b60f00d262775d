"""Backend servers that crash while they run certain requests, and start again."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from .gateway_parts import Fleet, ScriptedServer, answer

# Time from a server's crash to its restart under a new id and address, in seconds.
RESTART_AFTER_S = 0.3
# Time from a server's crash to the lapse of its entry, in seconds: three heartbeats of
# 1.5 s.
LAPSE_AFTER_S = 4.5
SERVICE_TIME_S = 0.02


@dataclass
class CrashingServers:
    """Servers of one service that crash on bad requests.

    A request is bad if it has `bad_word` in its target or body. `arrivals` holds the
    monotonic times at which bad requests arrived, and `ends` the monotonic times at
    which servers crashed.
    """

    env: Fleet
    bad_word: bytes = b"/bad"
    arrivals: list = field(default_factory=list)
    ends: list = field(default_factory=list)
    running: list = field(default_factory=list)
    _tasks: set = field(default_factory=set)
    _started_count: int = 0

    async def start(self, count):
        for _ in range(count):
            await self._add()
        return self

    async def _add(self):
        self._started_count += 1
        server_id = f"i-{self._started_count}"
        server = await ScriptedServer(self._behave).start()
        server.server_id = server_id
        self.running.append(server)
        self.env.servers.append(server)
        self.env.register(server_id, server.address)

    async def _behave(self, received, writer):
        bad = self.bad_word in received.target.encode() + received.body
        if bad:
            self.arrivals.append(time.monotonic())
        await asyncio.sleep(SERVICE_TIME_S)
        if not bad:
            writer.write(answer(received.request_id, received.target.encode()))
            return True
        self.crash(self._server_of(writer))
        return False

    def _server_of(self, writer):
        return next(s for s in self.running if writer in s.writers)

    def crash(self, server):
        """Crash a server with all its requests; another server replaces it later."""
        self.ends.append(time.monotonic())
        self.running.remove(server)
        server.cut_off()
        task = asyncio.ensure_future(self._replace(server.server_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, server_id):
        await asyncio.sleep(RESTART_AFTER_S)
        await self._add()
        await asyncio.sleep(LAPSE_AFTER_S - RESTART_AFTER_S)
        self.env.store.delete("servers", server_id)

    def late_arrivals(self, window_s):
        """Return the arrivals of bad requests more than `window_s` after crash 3."""
        if len(self.ends) < 3:
            return []
        after = self.ends[2] + window_s
        return [at for at in self.arrivals if at > after]

    async def close(self):
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def crashing_servers(env, count, kind=CrashingServers):
    servers = await kind(env).start(count)
    try:
        yield servers
    finally:
        await servers.close()
