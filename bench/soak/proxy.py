"""A loopback TCP proxy that can delay, reset or silence connections.

It can silence a single direction.
"""

import asyncio
from dataclasses import dataclass

from lacewingcross.checks import split_address

READ_SIZE = 64 * 1024


@dataclass(slots=True)
class Harm:
    """The fault that a proxy applies to its connections.

    Attributes
    ----------
    delay_s : float
        Delay of the bytes in each direction, in seconds.
    reset : bool
        Reset open connections and refuse new ones.
    silent_in, silent_out : bool
        Hold back the bytes towards the target, or from it. They are delivered when the
        fault ends, as after a network partition.
    """

    delay_s: float = 0.0
    reset: bool = False
    silent_in: bool = False
    silent_out: bool = False


class FaultyProxy:
    """Forwards connections to a target and applies the current fault to them.

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
        """Start to accept connections, and set `listen` to the address in use."""
        host, port = split_address(self.listen)
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.listen = f"{host}:{port}"

    def set(self, harm: Harm) -> None:
        """Replace the fault that is applied, for open connections too."""
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
        """Stop listening, reset open connections and wait until their tasks end."""
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
            # One side has closed its connection or was reset; no bytes remain to copy.
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
