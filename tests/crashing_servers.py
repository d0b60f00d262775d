"""Backend servers that end under certain requests and start again elsewhere."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from .gateway_parts import Fleet, ScriptedServer, answer

# A server is back so long after its end, in seconds, under a new id and address.
RESTART_AFTER_S = 0.3
# Its entry lapses so long after its end, in seconds: three heartbeats of 1.5 s.
LAPSE_AFTER_S = 4.5
SERVICE_TIME_S = 0.02


@dataclass
class CrashingServers:
    """Servers of one service; a request with `bad_word` in target or body ends its server.

    `arrivals` and `crash_times` hold monotonic times of such requests and of what they did.
    """

    env: Fleet
    bad_word: bytes = b"/bad"
    arrivals: list = field(default_factory=list)
    crash_times: list = field(default_factory=list)
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
        """End a server with all that it runs; another one starts in its place."""
        self.crash_times.append(time.monotonic())
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
        """Return when such requests came later than a window after the third end."""
        if len(self.crash_times) < 3:
            return []
        after = self.crash_times[2] + window_s
        return [at for at in self.arrivals if at > after]

    async def close(self):
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def crashing_servers(env, count):
    servers = await CrashingServers(env).start(count)
    try:
        yield servers
    finally:
        await servers.close()
