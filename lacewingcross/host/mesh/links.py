"""One outgoing stream to each other host, and the listener for theirs."""

import asyncio
import ssl as ssl_module

from ... import logs
from ...checks import split_address
from ...core import messages as msg
from ...core.actions import SendPeer
from ...core.events import PeerBroken, PeerConnected, PeerMessage
from ...core.membership import HostInfo
from ...errors import FrameError
from ...frame_queue import FrameQueue
from ...greeting import host_of
from ...tls import peer_name
from ...wire import PROTOCOL, encode, read_message
from ..runtime import Runtime

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 5.0
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0
MAX_QUEUED_MESSAGES = 5000
LINK_REVIEW_INTERVAL_S = 0.2
SEED_INTERVAL_S = 0.3
SEED_HELLO_S = 1.0


class Link:
    """An outgoing stream to one host; only this side sends on it."""

    __slots__ = ("_mesh", "_queue", "host_id", "task")

    def __init__(self, mesh: "Mesh", host_id: str) -> None:
        self._mesh = mesh
        self._queue = FrameQueue(MAX_QUEUED_MESSAGES)
        self.host_id = host_id
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: msg.Message) -> None:
        """Queue a message; the oldest are dropped when the host takes none."""
        if self._queue.put(encode(message)):
            self._mesh.runtime.metrics.count("peers.dropped")

    async def _run(self) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            opened = await self._session()
            self._queue.clear()
            self._mesh.runtime.dispatch(PeerBroken(self.host_id))
            delay_s = (
                MIN_RECONNECT_DELAY_S
                if opened
                else min(MAX_RECONNECT_DELAY_S, delay_s * 2)
            )
            await asyncio.sleep(delay_s)

    async def _session(self) -> bool:
        """Connect, say hello and send until the stream breaks."""
        info = self._mesh.runtime.core.view.members.info(self.host_id)
        if info is None:
            return False
        stream = await self._mesh.connect(info.peer)
        if stream is None:
            return False
        reader, writer = stream
        try:
            writer.write(encode(self._mesh.hello()))
            await self._queue.pump(reader, writer)
        except (OSError, ssl_module.SSLError):
            pass
        finally:
            writer.transport.abort()
        return True


class Mesh:
    """Links to all hosts that the core knows, and the listener for theirs.

    Parameters
    ----------
    runtime : Runtime
        Where events go.
    address : str
        Where this host listens for others.
    seeds : tuple of str
        Peer addresses to say hello to while no other host is known, so that a host
        that starts in a platform outage still finds the fleet.
    server_ssl, client_ssl : ssl.SSLContext, optional
        Mutual TLS, so that nobody else joins.
    """

    __slots__ = (
        "_accepted",
        "_address",
        "_links",
        "_seeds",
        "client_ssl",
        "runtime",
        "server_ssl",
    )

    def __init__(
        self,
        runtime: Runtime,
        address: str,
        seeds: tuple[str, ...] = (),
        server_ssl: ssl_module.SSLContext | None = None,
        client_ssl: ssl_module.SSLContext | None = None,
    ) -> None:
        self.runtime = runtime
        self.server_ssl = server_ssl
        self.client_ssl = client_ssl
        self._address = address
        self._seeds = seeds
        self._links: dict[str, Link] = {}
        self._accepted: set[asyncio.StreamWriter] = set()
        runtime.register_performer(self._send, SendPeer)

    def hello(self) -> msg.Hello:
        """Return this host's first message."""
        view = self.runtime.core.view
        own = view.own
        return msg.Hello(
            own.host_id,
            view.incarnation,
            PROTOCOL,
            own.region,
            own.failure_domain,
            own.entry,
            own.peer,
        )

    def _send(self, action: SendPeer) -> None:
        link = self._links.get(action.host_id)
        if link is None:
            if self.runtime.core.view.members.info(action.host_id) is None:
                return
            link = Link(self, action.host_id)
            self._links[action.host_id] = link
        link.send(action.message)

    async def run(self) -> None:
        """Listen, and keep links to the known hosts, until cancelled."""
        host, port = split_address(self._address)
        server = await asyncio.start_server(
            self._accept, host, port, ssl=self.server_ssl
        )
        loop = asyncio.get_running_loop()
        seed_task = loop.create_task(self._greet_seeds())
        try:
            while True:
                self._update_links()
                await asyncio.sleep(LINK_REVIEW_INTERVAL_S)
        finally:
            seed_task.cancel()
            server.close()
            for writer in list(self._accepted):
                writer.transport.abort()
            for link in self._links.values():
                link.task.cancel()
            self._links.clear()

    async def _greet_seeds(self) -> None:
        """Say hello to the seeds until some other host is known.

        A host that gets a hello learns where the sender listens and links back,
        with its members and configuration.
        """
        while True:
            if not any(self.runtime.core.view.members.others()):
                await asyncio.gather(*(self._send_hello(seed) for seed in self._seeds))
            await asyncio.sleep(SEED_INTERVAL_S)

    async def connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connect to a host's peer address; None when that fails."""
        host, port = split_address(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(host, port, ssl=self.client_ssl)
        except (OSError, TimeoutError, ssl_module.SSLError):
            return None

    async def _send_hello(self, seed: str) -> None:
        stream = await self.connect(seed)
        if stream is None:
            return
        _, writer = stream
        try:
            writer.write(encode(self.hello()))
            await writer.drain()
            await asyncio.sleep(SEED_HELLO_S)
        except (OSError, ssl_module.SSLError):
            pass
        finally:
            writer.transport.abort()

    def _update_links(self) -> None:
        members = self.runtime.core.view.members
        neighbours = {st.info.host_id for st in members.others() if st.neighbour}
        forgotten = [hid for hid in self._links if members.info(hid) is None]
        for host_id in forgotten:
            self._links.pop(host_id).task.cancel()
        for host_id in neighbours:
            if host_id not in self._links:
                self._links[host_id] = Link(self, host_id)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted.add(writer)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await read_message(reader)
            info = host_of(hello)
            self._check_host_id(info)
            self._check_certificate(hello, writer.get_extra_info("ssl_object"))
            self.runtime.dispatch(PeerConnected(info, hello.incarnation))
            while True:
                message = await read_message(reader)
                self.runtime.dispatch(PeerMessage(hello.host_id, message))
        except FrameError as exc:
            self.runtime.metrics.count(f"bad-input.{exc.code}")
            logs.event("peer-refused", "WARNING", code=exc.code, why=exc.message)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except Exception as exc:
            # An error of ours over one message costs this stream, not the listener.
            logs.event("peer-failed", "ERROR", error=repr(exc))
        finally:
            self._accepted.discard(writer)
            writer.transport.abort()

    def _check_certificate(
        self, hello: msg.Hello, ssl_object: ssl_module.SSLObject | None
    ) -> None:
        """Refuse a host that speaks for another one.

        Failure: one stolen or mixed-up certificate speaks for any host, and its
        messages are taken for those of the host that it names.
        """
        if ssl_object is None:
            return
        name = peer_name(ssl_object)
        if name != hello.host_id:
            raise FrameError("bad-hello", f"certificate of {name!r}, not this host")

    def _check_host_id(self, info: HostInfo) -> None:
        if info.host_id == self.runtime.core.view.own.host_id:
            raise FrameError("bad-hello", "another process uses this host's id")
