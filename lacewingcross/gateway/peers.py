"""Streams to the other entry hosts: signs of life, store changes, load."""

import asyncio
import json

from .. import logs
from ..checks import split_address
from ..core import messages as msg
from ..core.membership import HostInfo, member_fields, member_info
from ..core.replica import Document, Kind, Update
from ..core.roster import ALIVE_EVERY_S
from ..errors import FrameError
from ..greeting import host_of
from ..sockets import watch_silence
from ..wire import PROTOCOL, encode, read_message
from .context import Gateway
from .following import log_changes
from .link import CONNECT_S, REDIAL_S, Link

REVIEW_S = 0.1
# A stream that brings nothing for this long has gone silent, in seconds; its sender
# dials again.
QUIET_S = 3 * ALIVE_EVERY_S


class Peers:
    """Links to all known hosts, and the listener for theirs.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    """

    __slots__ = ("_accepted", "_links", "gateway")

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._links: dict[str, Link] = {}
        self._accepted: set[asyncio.StreamWriter] = set()

    # Sending

    def greeting(self) -> list[msg.Message]:
        """Return what a host is told first on every new stream."""
        gateway = self.gateway
        own = gateway.roster.own
        hello = msg.Hello(
            own.host_id,
            gateway.incarnation,
            PROTOCOL,
            own.region,
            own.failure_domain,
            own.entry,
            own.peer,
            own.cores,
        )
        known = [member_fields(info) for info in gateway.roster.live(gateway.now())]
        pulls = [
            msg.StorePull(int(kind), gateway.steering.replica.as_of(kind))
            for kind in Kind
        ]
        alive = self._alive({}, [])
        return [hello, alive, msg.Members(known), *pulls]

    def publish(self, update: Update) -> None:
        """Tell all hosts of an update from the store."""
        frame = encode(_changes(update, fresh=True))
        for link in self._links.values():
            link.send_frame(frame)

    def announce(self) -> None:
        """Tell all hosts at once whether callers should use this one."""
        for link in self._links.values():
            link.told_at = float("-inf")
        self._tell_counts()

    def _tell_counts(self) -> None:
        """Tell each host what is in flight at all servers, when it changed."""
        now = self.gateway.now()
        placement = self.gateway.steering.placement
        counts = placement.known.in_flight()
        handled = placement.known.handled_news()
        frame = b""
        for link in self._links.values():
            quiet_s = now - link.told_at
            if counts == link.told and not handled and quiet_s < ALIVE_EVERY_S:
                continue
            frame = frame or encode(self._alive(counts, handled))
            link.told = counts
            link.told_at = now
            link.send_frame(frame)

    def _alive(
        self, counts: dict[str, int], handled: list[tuple[str, str]]
    ) -> msg.Alive:
        roster = self.gateway.roster
        return msg.Alive(roster.out, roster.turned_away, list(counts.items()), handled)

    async def tell(self) -> None:
        """Tell counts and signs of life until cancelled."""
        while True:
            self._tell_counts()
            await asyncio.sleep(self.gateway.roster.counts_every_s())

    # Links

    async def run(self) -> None:
        """Listen, and keep links to the known hosts, until cancelled."""
        cfg = self.gateway.cfg
        host, port = split_address(cfg.peer_listen or cfg.peer)
        server = await asyncio.start_server(self._accept, host, port, backlog=1024)
        try:
            while True:
                self._review()
                await asyncio.sleep(REVIEW_S)
        finally:
            server.close()
            for writer in list(self._accepted):
                writer.transport.abort()
            for link in self._links.values():
                link.task.cancel()
            self._links.clear()

    def _review(self) -> None:
        entries = self.gateway.roster.entries
        for host_id, link in list(self._links.items()):
            entry = entries.get(host_id)
            if entry is None or entry.info != link.info:
                link.task.cancel()
                del self._links[host_id]
        for host_id, entry in entries.items():
            if host_id not in self._links:
                self._links[host_id] = Link(self.gateway, self.greeting, entry.info)

    async def seek(self) -> None:
        """Say hello to the seeds while no other host is known.

        Failure: a host starts while the store is away and cannot read who is there.
        The seeds learn its address from the hello and tell it of the others.
        """
        while True:
            if not self.gateway.roster.entries:
                seeds = [
                    s for s in self.gateway.cfg.seeds if s != self.gateway.cfg.peer
                ]
                await asyncio.gather(*(self._greet(seed) for seed in seeds))
            await asyncio.sleep(2 * REDIAL_S)

    async def _greet(self, seed: str) -> None:
        host, port = split_address(seed)
        try:
            async with asyncio.timeout(CONNECT_S):
                _, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as exc:
            logs.event("seed-unreachable", "DEBUG", seed=seed, why=repr(exc))
            return
        try:
            for message in self.greeting():
                writer.write(encode(message))
            await writer.drain()
            await asyncio.sleep(QUIET_S)
        except OSError as exc:
            logs.event("seed-unreachable", "DEBUG", seed=seed, why=repr(exc))
        finally:
            writer.transport.abort()

    # Receiving

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted.add(writer)
        watch_silence(writer.transport)
        try:
            await self._receive(reader)
        except FrameError as exc:
            self.gateway.metrics.count(f"bad-input.{exc.code}")
            logs.event("peer-refused", "WARNING", code=exc.code, why=exc.message)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.gateway.metrics.count("peers.stream-ended")
        except Exception as exc:
            # An error of ours over one message costs this stream, not the listener.
            logs.event("peer-failed", "ERROR", error=repr(exc))
        finally:
            self._accepted.discard(writer)
            writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        async with asyncio.timeout(QUIET_S):
            hello = await read_message(reader)
        info = host_of(hello)
        while True:
            async with asyncio.timeout(QUIET_S):
                message = await read_message(reader)
            self._take(info, hello.incarnation, message)

    def _take(self, info: HostInfo, incarnation: int, message: msg.Message) -> None:
        now = self.gateway.now()
        if isinstance(message, msg.Alive):
            self._take_alive(info, incarnation, message, now)
        elif isinstance(message, msg.StoreChanges):
            self._take_changes(info, message, now)
        elif isinstance(message, msg.StorePull):
            self._answer_pull(info, message)
        elif isinstance(message, msg.Members):
            for fields in message.hosts:
                self.gateway.roster.learn(member_info(fields), now)

    def _take_alive(
        self, info: HostInfo, incarnation: int, message: msg.Alive, now: float
    ) -> None:
        known = self.gateway.roster.entries.get(info.host_id)
        if known is None or not known.live(now) or known.leaving != message.leaving:
            logs.event(
                "host-heard",
                host_id=info.host_id,
                incarnation=incarnation,
                leaving=message.leaving,
            )
        self.gateway.roster.heard(
            info,
            incarnation,
            now,
            leaving=message.leaving,
            turned_away=message.turned_away,
        )
        placement = self.gateway.steering.placement
        placement.known.set_peer_counts(info.host_id, dict(message.counts), now)
        if self.gateway.cfg.policy.warmth_told:
            placement.known.set_handled(message.handled)

    def _take_changes(
        self, info: HostInfo, message: msg.StoreChanges, now: float
    ) -> None:
        kind = Kind(message.kind)
        documents = [self._document(kind, *fields) for fields in message.documents]
        update = Update(
            kind, message.since, message.as_of, documents, whole=message.whole
        )
        steering = self.gateway.steering
        known = steering.take(update, now, fresh=message.fresh)
        log_changes(self.gateway, update, known, info.host_id)
        if message.fresh and steering.replica.as_of(kind) >= message.as_of:
            self.gateway.duty.told(kind, now)
        if steering.replica.as_of(kind) < message.since:
            self._send_to(info, msg.StorePull(kind, steering.replica.as_of(kind)))

    def _document(self, kind: Kind, name: str, revision: int, text: str) -> Document:
        """Return a document that a peer told, decoded only when it is news.

        Every region's watcher tells every change, so most of what arrives is known;
        decoding a configuration of 350 routes takes milliseconds each time.
        """
        replica = self.gateway.steering.replica
        if text and replica.has(kind, name, revision):
            return replica.get(kind, name)
        return Document(kind, name, revision, json.loads(text) if text else None)

    def _answer_pull(self, info: HostInfo, message: msg.StorePull) -> None:
        kind = Kind(message.kind)
        replica = self.gateway.steering.replica
        if replica.as_of(kind) > message.above:
            update = replica.update_since(kind, message.above)
            self._send_to(info, _changes(update, fresh=False))

    def _send_to(self, info: HostInfo, message: msg.Message) -> None:
        link = self._links.get(info.host_id)
        if link is None:
            link = Link(self.gateway, self.greeting, info)
            self._links[info.host_id] = link
        link.send(message)


def _changes(update: Update, *, fresh: bool) -> msg.StoreChanges:
    packed = [
        (doc.name, doc.revision, "" if doc.spec is None else json.dumps(doc.spec))
        for doc in update.documents
    ]
    return msg.StoreChanges(
        int(update.kind), update.since, update.as_of, packed, update.whole, fresh
    )
