"""The path from one host to all backend servers, which can be cut for this host alone.

The host's process names the server on each connection and waits for a byte that says
whether the connection is open. To the host, that wait is a part of connecting. So new
connections can hang or be refused for one host while the server accepts others.
"""

import asyncio
from enum import Enum

from lacewingcross.checks import split_address

from .proxy import copy_bytes

OPEN = b"+"
REFUSED = b"-"


class Cut(Enum):
    """How the path is cut."""

    NONE = "none"
    # Open connections carry nothing more, and new ones are not answered.
    HANG = "hang"
    # Open connections are reset, and new ones are refused.
    REFUSE = "refuse"
    # Open connections work as before, and new ones are refused.
    REFUSE_NEW = "refuse-new"


class ServerPath:
    """A proxy between one host and the servers.

    Attributes
    ----------
    listen : str
        The address in use, once started.
    """

    def __init__(self) -> None:
        self.listen = ""
        self._cut = Cut.NONE
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.listen = f"127.0.0.1:{port}"

    def set_cut(self, cut: Cut) -> None:
        """Cut the path, or end the cut."""
        self._cut = cut
        self._changed.set()
        self._changed = asyncio.Event()
        if cut is Cut.REFUSE:
            self._reset()

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop, reset open connections and wait until their tasks end."""
        self._server.close()
        self.set_cut(Cut.REFUSE)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = (await reader.readline()).decode().strip()
        await self._wait_while_hanging()
        if not target or self._cut in (Cut.REFUSE, Cut.REFUSE_NEW):
            writer.write(REFUSED)
            await writer.drain()
            return
        try:
            streams = await asyncio.open_connection(*split_address(target))
        except OSError:
            writer.write(REFUSED)
            await writer.drain()
            return
        self._writers.add(streams[1])
        try:
            writer.write(OPEN)
            hold = self._wait_while_hanging
            await asyncio.gather(
                copy_bytes(reader, streams[1], hold),
                copy_bytes(streams[0], writer, hold),
            )
        finally:
            streams[1].transport.abort()
            self._writers.discard(streams[1])

    async def _wait_while_hanging(self) -> None:
        while self._cut is Cut.HANG:
            await self._changed.wait()
