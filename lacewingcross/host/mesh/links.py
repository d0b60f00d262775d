"""Outgoing streams to other hosts, and the listener for incoming streams."""

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
# Interval between two updates of the links after changes of the members.
LINK_REVIEW_INTERVAL_S = 0.2
SEED_INTERVAL_S = 0.3
# How long a stream to a seed stays open after the hello, so that the seed can read it.
SEED_STREAM_OPEN_S = 1.0


class Link:
    """An outgoing stream to one host, opened again whenever it breaks.

    Only this host sends on the stream; the other host sends on a stream of its own.
    Messages that are queued when the stream breaks are dropped.
    """

    __slots__ = ("_mesh", "_queue", "host_id", "task")

    def __init__(self, mesh: "Mesh", host_id: str) -> None:
        self._mesh = mesh
        self._queue = FrameQueue(MAX_QUEUED_MESSAGES)
        self.host_id = host_id
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: msg.Message) -> None:
        """Queue a message; if the queue is full, its oldest message is dropped."""
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
        """Connect, then send a hello and queued messages until the stream breaks.

        Returns
        -------
        bool
            Whether a connection was opened.
        """
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
    """Links to other hosts, and the listener for the links that they open.

    A link is kept to each neighbour. The first message to any other known host opens
    a link to that host too. A link is closed when the core forgets the host.

    Parameters
    ----------
    runtime : Runtime
        Where events go.
    address : str
        Where this host listens for other hosts.
    seeds : tuple of str
        Peer addresses of other hosts. This host sends a hello to each of them while it
        knows no other host, so that it finds the fleet even if it starts during a
        platform outage.
    server_ssl, client_ssl : ssl.SSLContext, optional
        Mutual TLS, so that only hosts with a certificate join the fleet.
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
        """Return the hello, which is the first message on every stream."""
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
        """Send a message to a known host; drop a message to any other host."""
        link = self._links.get(action.host_id)
        if link is None:
            if self.runtime.core.view.members.info(action.host_id) is None:
                return
            link = Link(self, action.host_id)
            self._links[action.host_id] = link
        link.send(action.message)

    async def run(self) -> None:
        """Listen, and keep the links up to date, until cancelled."""
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
        """Send a hello to the seeds while no other host is known.

        The receiver of a hello opens a link to the sender's peer address and sends
        its members and configuration.
        """
        while True:
            if not any(self.runtime.core.view.members.others()):
                await asyncio.gather(*(self._send_hello(seed) for seed in self._seeds))
            await asyncio.sleep(SEED_INTERVAL_S)

    async def connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connect to a host's peer address; return None if that fails."""
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
            await asyncio.sleep(SEED_STREAM_OPEN_S)
        except (OSError, ssl_module.SSLError):
            pass
        finally:
            writer.transport.abort()

    def _update_links(self) -> None:
        """Close the links to forgotten hosts, and open links to new neighbours."""
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
            # A fault of this host in handling one message closes this stream only;
            # the listener goes on.
            logs.event("peer-failed", "ERROR", error=repr(exc))
        finally:
            self._accepted.discard(writer)
            writer.transport.abort()

    def _check_certificate(
        self, hello: msg.Hello, ssl_object: ssl_module.SSLObject | None
    ) -> None:
        """Refuse a hello whose host id differs from the name in the certificate.

        Guards against a process with a stolen or mixed-up certificate that names
        another host in its hello. Without this check, its messages would be accepted as
        messages of that host. A certificate names one host id, so the process can use
        only the id in its certificate. Without TLS, nothing is checked.
        """
        if ssl_object is None:
            return
        name = peer_name(ssl_object)
        if name != hello.host_id:
            raise FrameError("bad-hello", f"certificate of {name!r}, not this host")

    def _check_host_id(self, info: HostInfo) -> None:
        """Refuse a hello that names this host's own id."""
        if info.host_id == self.runtime.core.view.own.host_id:
            raise FrameError("bad-hello", "another process uses this host's id")
