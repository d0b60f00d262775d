"""Keeps the outgoing stream to one other entry host open and sends messages on it."""

import asyncio
from collections.abc import Callable

from .. import logs
from ..checks import split_address
from ..core import messages as msg
from ..core.membership import HostInfo
from ..frame_queue import FrameQueue
from ..sockets import open_in_time, set_silence_timeout
from ..wire import encode
from .context import Gateway

# Timeout of opening a stream, in seconds. A reachable host accepts a connection within
# one network round trip, at most 70 ms. A longer silence means a lost packet or a dead
# host.
CONNECT_TIMEOUT_S = 0.5
# Pause before a broken stream is opened again, in seconds.
REDIAL_DELAY_S = 0.15
# Maximum number of messages that are queued for a host that does not read. Beyond it
# the oldest messages are dropped. The host sees from the revisions in later messages
# that it has missed changes of the store and requests them.
MAX_QUEUED_FRAMES = 2000

# Prefixes of the counters of messages to other hosts; the name of the message follows.
SENT = "peers.sent."
SENT_BYTES = "peers.sent-bytes."

Greeting = Callable[["Link"], list[msg.Message]]


class Link:
    """The outgoing stream to one host; only this side sends on it.

    A stream that breaks is opened again until the task is cancelled. The attributes
    other than `info` and `task` belong to `GossipSender` and `Peers`. Times are
    monotonic, in seconds.

    Attributes
    ----------
    info : HostInfo
        The other host.
    task : asyncio.Task
        Keeps the stream open.
    last_counts : dict of str to int or None
        The counts of requests in flight that were sent last; None if all counts are to
        be sent, and always for a standby host.
    last_alive_at : float
        When the last heartbeat was sent; minus infinity if one is due at once.
    last_full_counts_at : float
        When all counts were last sent.
    last_known_hosts : KnownHosts or None
        The last message that named the hosts that are alive.
    last_gossip : int or None
        Sequence number up to which the items of crash gossip were sent, except items
        that `should_pass_on` leaves out. None if all items are to be sent, as on a new
        stream.
    gossip_as_active : bool
        Whether the host was active when crash gossip was last sent.
    last_signals_version : int or None
        Version of the signals of servers that were sent; None on a new stream.
    last_paths_version : int or None
        Version of the lost failure domains that were sent; None on a new stream.
    last_silence_version : int or None
        Version of the reports on silent servers that were sent; None on a new stream.
    last_needed_at : float
        When there was last a reason to send to the host.
    """

    __slots__ = (
        "_gateway",
        "_greeting",
        "_queue",
        "info",
        "last_needed_at",
        "task",
        "last_counts",
        "gossip_as_active",
        "last_alive_at",
        "last_known_hosts",
        "last_paths_version",
        "last_signals_version",
        "last_silence_version",
        "last_gossip",
        "last_full_counts_at",
    )

    def __init__(self, gateway: Gateway, greeting: Greeting, info: HostInfo) -> None:
        self._gateway = gateway
        self._greeting = greeting
        self._queue = FrameQueue(MAX_QUEUED_FRAMES)
        self.info = info
        self.last_needed_at = gateway.now()
        self.last_counts: dict[str, int] | None = None
        self.last_full_counts_at = float("-inf")
        self.last_alive_at = float("-inf")
        self.last_known_hosts: msg.KnownHosts | None = None
        self.gossip_as_active = False
        self.last_gossip: int | None = None
        self.last_paths_version: int | None = None
        self.last_signals_version: int | None = None
        self.last_silence_version: int | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: msg.Message) -> None:
        """Queue a message for the host."""
        self.send_frame(encode(message), type(message))

    def send_frame(self, frame: bytes, kind: type[msg.Message]) -> None:
        """Queue an encoded message of a kind for the host."""
        self._count(frame, kind)
        if self._queue.put(frame):
            # What the dropped frame held would not be sent again otherwise.
            self.last_counts = None
            self.last_paths_version = None
            self.last_signals_version = None
            self.last_silence_version = None
            self._gateway.metrics.count("peers.dropped")

    def _count(self, frame: bytes, kind: type[msg.Message]) -> None:
        metrics = self._gateway.metrics
        metrics.count(f"{SENT}{kind.__name__}")
        metrics.count(f"{SENT_BYTES}{kind.__name__}", len(frame))

    async def _run(self) -> None:
        while True:
            try:
                await self._session()
            except ConnectionRefusedError:
                self._note_refused()
            except (OSError, TimeoutError) as exc:
                self._gateway.metrics.count("peers.link-broken")
                logs.event(
                    "peer-unreachable",
                    "DEBUG",
                    host_id=self.info.host_id,
                    why=repr(exc),
                )
            except Exception as exc:
                # Guards against an error in this program that ends the only task that
                # sends to a host. That host would consider this one dead. If the same
                # happened on all links, each host would name only itself to callers. So
                # the error is logged, and the stream is opened again.
                logs.event(
                    "peer-failed", "ERROR", host_id=self.info.host_id, error=repr(exc)
                )
            await asyncio.sleep(REDIAL_DELAY_S)

    def _note_refused(self) -> None:
        """Note that the host's process has ended: its address refuses connections.

        The roster does not change if the host has another address by now.
        """
        entry = self._gateway.roster.entries.get(self.info.host_id)
        if entry is not None and entry.info == self.info:
            entry.refused_at = self._gateway.now()
        self._gateway.metrics.count("peers.link-refused")

    async def _session(self) -> None:
        host, port = split_address(self.info.peer)
        gateway = self._gateway
        started_at = gateway.now()
        opening = asyncio.open_connection(host, port)
        reader, writer = await open_in_time(opening, CONNECT_TIMEOUT_S)
        rtt_s = gateway.steering.placement.expectations.rtt_s
        took_s = gateway.now() - started_at
        rtt_s[self.info.region] = min(took_s, rtt_s.get(self.info.region, took_s))
        set_silence_timeout(writer.transport)
        self._queue.clear()
        self.last_counts = None
        self.last_known_hosts = None
        self.last_gossip = None
        self.last_paths_version = None
        self.last_signals_version = None
        self.last_silence_version = None
        try:
            for message in self._greeting(self):
                frame = encode(message)
                self._count(frame, type(message))
                writer.write(frame)
            await self._queue.pump(reader, writer)
        finally:
            writer.transport.abort()
