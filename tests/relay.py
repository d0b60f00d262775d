"""A TCP relay in front of a host's peer port, which a test can cut."""

import asyncio
import dataclasses


class Relay:
    """Forwards bytes; while it is cut, it has no connections and aborts new ones."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.cut = False
        self._server = None
        self._writers = set()

    async def start(self):
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            for writer in self._writers:
                writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_stream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_stream[1]}
        await asyncio.gather(
            self._pump(reader, target_stream[1]), self._pump(target_stream[0], writer)
        )

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)

    async def close(self):
        self.set_cut(True)
        self._server.close()


async def put_relays(layout, ports):
    """Put a relay in front of each host's peer port; return the relays by host id."""
    relays = {}
    for index, cfg in enumerate(layout.hosts):
        inner = ports.take()
        layout.hosts[index] = dataclasses.replace(cfg, peer_listen=inner)
        relays[cfg.host_id] = Relay(cfg.peer, inner)
        await relays[cfg.host_id].start()
    return relays
