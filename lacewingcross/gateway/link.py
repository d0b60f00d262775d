"""The outgoing stream to one other entry host."""

import asyncio
from collections.abc import Callable

from .. import logs
from ..checks import split_address
from ..core import messages as msg
from ..core.membership import HostInfo
from ..frame_queue import FrameQueue
from ..sockets import set_silence_timeout
from ..wire import encode
from .context import Gateway

# A host in touch takes a connection within two ways, at most 70 ms; a longer silence
# is a lost packet or a dead host. In seconds.
CONNECT_S = 0.5
# Pause before a stream that broke is opened again, in seconds.
REDIAL_S = 0.15
# Messages kept for a host that takes none. The oldest are dropped; the host sees from
# the revisions of later ones that it missed some, and asks for them.
QUEUE_MAX = 2000

# Beginnings of the counters of messages to other hosts; the message's name follows.
SENT = "peers.sent."
SENT_BYTES = "peers.sent-bytes."

Greeting = Callable[["Link"], list[msg.Message]]


class Link:
    """The outgoing stream to one host; only this side sends on it.

    `told` and `told_hosts` are the counts and the hosts that were told last (`told` is
    None if all are to be told), `whole_at` is when all counts were told last,
    `told_news` the number of the newest piece of news and `told_signals` the version of
    what servers say that was told (None on a new stream), and
    `told_as_active` whether the host was active then; `needed_at` is when there was
    last a reason to speak to it.
    """

    __slots__ = (
        "_gateway",
        "_greeting",
        "_queue",
        "info",
        "needed_at",
        "task",
        "told",
        "told_as_active",
        "told_at",
        "told_hosts",
        "told_news",
        "told_signals",
        "whole_at",
    )

    def __init__(self, gateway: Gateway, greeting: Greeting, info: HostInfo) -> None:
        self._gateway = gateway
        self._greeting = greeting
        self._queue = FrameQueue(QUEUE_MAX)
        self.info = info
        self.needed_at = gateway.now()
        self.told: dict[str, int] | None = None
        self.whole_at = float("-inf")
        self.told_at = float("-inf")
        self.told_hosts: msg.KnownHosts | None = None
        self.told_as_active = False
        self.told_news: int | None = None
        self.told_signals: int | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: msg.Message) -> None:
        """Queue a message for the host."""
        self.send_frame(encode(message), type(message))

    def send_frame(self, frame: bytes, kind: type[msg.Message]) -> None:
        """Queue an encoded message of a kind for the host."""
        self._count(frame, kind)
        if self._queue.put(frame):
            # It may have held counts that are not told again.
            self.told = None
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
                self._note_ended()
            except (OSError, TimeoutError) as exc:
                self._gateway.metrics.count("peers.link-broken")
                logs.event(
                    "peer-unreachable",
                    "DEBUG",
                    host_id=self.info.host_id,
                    why=repr(exc),
                )
            except Exception as exc:
                # Failure: an error of ours over one message ends the only task that
                # speaks to a host. That host would count this one as dead, and with all
                # links alike no host would be named to callers but itself.
                logs.event(
                    "peer-failed", "ERROR", host_id=self.info.host_id, error=repr(exc)
                )
            await asyncio.sleep(REDIAL_S)

    def _note_ended(self) -> None:
        """Note that the host's process has ended: nothing listens at its address."""
        entry = self._gateway.roster.entries.get(self.info.host_id)
        if entry is not None and entry.info == self.info:
            entry.refused_at = self._gateway.now()
        self._gateway.metrics.count("peers.link-refused")

    async def _session(self) -> None:
        host, port = split_address(self.info.peer)
        gateway = self._gateway
        dialled_at = gateway.now()
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, port)
        rtt_s = gateway.steering.placement.expectations.rtt_s
        took_s = gateway.now() - dialled_at
        rtt_s[self.info.region] = min(took_s, rtt_s.get(self.info.region, took_s))
        set_silence_timeout(writer.transport)
        self._queue.clear()
        self.told = None
        self.told_hosts = None
        self.told_news = None
        self.told_signals = None
        try:
            for message in self._greeting(self):
                frame = encode(message)
                self._count(frame, type(message))
                writer.write(frame)
            await self._queue.pump(reader, writer)
        finally:
            writer.transport.abort()
