"""A loopback TCP proxy that delays, resets, silences and cuts one way."""

import asyncio
from dataclasses import dataclass

from lacewingcross.checks import split_address

READ_SIZE = 64 * 1024


@dataclass(slots=True)
class Harm:
    """What a proxy does to bytes; `delay_s` in seconds, each way.

    Silenced bytes wait and flow on when the harm ends, as they do behind a partition
    that heals. `reset` drops open connections and refuses new ones.
    """

    delay_s: float = 0.0
    reset: bool = False
    silent_in: bool = False
    silent_out: bool = False


class FaultyProxy:
    """Passes connections on to a target, as well as its harm lets it.

    Parameters
    ----------
    listen, target : str
        Addresses; port 0 of `listen` takes a free port.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self.target = target
        self.harm = Harm()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self.listen)
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.listen = f"{host}:{port}"

    def set(self, harm: Harm) -> None:
        """Take over another harm."""
        self.harm = harm
        self._changed.set()
        self._changed = asyncio.Event()
        if harm.reset:
            self.drop()

    def drop(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening, drop what is open and wait for its end."""
        self._server.close()
        self.set(Harm(reset=True))
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._open.add(task)
        task.add_done_callback(self._open.discard)
        if self.harm.reset:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            there, back = await asyncio.open_connection(*split_address(self.target))
        except OSError:
            self._forget(writer)
            return
        self._writers.add(back)
        await asyncio.gather(
            self._pump(reader, back, inward=True),
            self._pump(there, writer, inward=False),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        inward: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_SIZE):
                await self._hold(inward=inward)
                writer.write(data)
                await writer.drain()
            await self._hold(inward=inward)
            writer.write_eof()
        except (OSError, RuntimeError):
            # The other side has gone, or this one was dropped: nothing to pass on.
            writer.transport.abort()
        finally:
            if writer.transport.is_closing():
                self._forget(writer)

    async def _hold(self, *, inward: bool) -> None:
        if self.harm.delay_s:
            await asyncio.sleep(self.harm.delay_s)
        while self.harm.silent_in if inward else self.harm.silent_out:
            await self._changed.wait()

    def _forget(self, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()
        self._writers.discard(writer)
