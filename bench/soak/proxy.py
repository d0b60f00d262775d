"""A loopback TCP proxy that can delay, reset or silence connections.

It can silence a single direction.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lacewingcross.checks import split_address

READ_SIZE = 64 * 1024


async def copy_bytes(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    hold: Callable[[], Awaitable[None]],
) -> None:
    """Copy a stream to its end; `hold` is awaited before each part and the end."""
    try:
        while data := await reader.read(READ_SIZE):
            await hold()
            writer.write(data)
            await writer.drain()
        await hold()
        writer.write_eof()
    except (OSError, RuntimeError):
        # One side has closed its connection or was reset; no bytes remain to copy.
        writer.transport.abort()


@dataclass(slots=True)
class LinkFault:
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
        self.fault = LinkFault()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._fault_changed = asyncio.Event()

    async def start(self) -> None:
        """Start to accept connections, and set `listen` to the address in use."""
        host, port = split_address(self.listen)
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.listen = f"{host}:{port}"

    def set_fault(self, fault: LinkFault) -> None:
        """Replace the fault that is applied, for open connections too."""
        self.fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()
        if fault.reset:
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening, reset open connections and wait until their tasks end."""
        self._server.close()
        self.set_fault(LinkFault(reset=True))
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._connection_tasks.add(task)
        task.add_done_callback(self._connection_tasks.discard)
        if self.fault.reset:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *split_address(self.target)
            )
        except OSError:
            self._close(writer)
            return
        self._writers.add(target_writer)
        await asyncio.gather(
            self._copy(reader, target_writer, inward=True),
            self._copy(target_reader, writer, inward=False),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        inward: bool,
    ) -> None:
        try:
            await copy_bytes(reader, writer, lambda: self._apply_fault(inward=inward))
        finally:
            if writer.transport.is_closing():
                self._close(writer)

    async def _apply_fault(self, *, inward: bool) -> None:
        if self.fault.delay_s:
            await asyncio.sleep(self.fault.delay_s)
        while self.fault.silent_in if inward else self.fault.silent_out:
            await self._fault_changed.wait()

    def _close(self, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()
        self._writers.discard(writer)
