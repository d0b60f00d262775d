"""Streams to other entry hosts: which are kept, and what is told on them."""

import asyncio
from collections.abc import Iterator

from msgspec.structs import replace

from .. import logs
from ..checks import split_address
from ..core import messages as msg
from ..core.contacts import (
    counts_every_s,
    first_hops,
    hearers,
    hosts_to_tell,
    next_hops,
    wanted,
)
from ..core.crash_news import Piece, should_pass_on
from ..core.crashes import CrashLedger
from ..core.membership import HostInfo, member_fields
from ..core.replica import Kind, Update
from ..core.roster import ALIVE_EVERY_S
from ..wire import PROTOCOL, encode
from .context import Gateway
from .hearing import QUIET_S, Hearing
from .link import CONNECT_S, REDIAL_S, Link
from .store_messages import changes_message

# How often the links are reviewed when nothing was heard that changes them, in seconds.
REVIEW_S = 0.1
# Time between two reviews while hosts come and go, in seconds: at once for people. With
# more links than `REVIEW_LINKS` a review takes longer, and they are as much rarer.
REVIEW_APART_S = 0.01
REVIEW_LINKS = 20
# A link that nothing needs any more is kept for so long, in seconds: reasons come and
# go while hosts start.
KEEP_S = 2.0
# All counts are told again after so long, in seconds: a server may have become known
# to the other host only after its count was told.
COUNTS_WHOLE_S = 2.0
# Hosts that may pass on what one of them has from the store: the host that follows it
# tells active ones, these others beside them, and all of them those that stand by. One
# more covers hosts that do not agree yet on who is active.
HOPS_MOST = 3


class Peers:
    """Links to the hosts that this one speaks to, and the listener for theirs.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    """

    __slots__ = ("_hearing", "_links", "gateway")

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._links: dict[str, Link] = {}
        self._hearing = Hearing(gateway, self.send_to, self._pass_on)

    # Telling

    def greeting(self, link: Link | None) -> list[msg.Message]:
        """Return what a host is told first on a new stream."""
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
        if link is None:
            return [hello, self._alive(wants=True)]
        wants = link.info.host_id in wanted(gateway.roster, gateway.now())
        told_all = hearers(gateway.roster)
        link.told_hosts = self._hosts_for(link.info.host_id, told_all)
        return [hello, self._alive(wants=wants), link.told_hosts]

    def publish(self, update: Update) -> None:
        """Tell other hosts of an update from the store."""
        frame = encode(changes_message(update, fresh=True))
        roster = self.gateway.roster
        told = first_hops(roster, self.gateway.now())
        for host_id, link in self._links.items():
            if host_id in told or host_id not in roster.active:
                link.send_frame(frame, msg.StoreChanges)

    def _pass_on(self, info: HostInfo, message: msg.StoreChanges) -> None:
        """Tell the hosts that depend on this one what another has from the store."""
        if message.hops >= HOPS_MOST:
            return
        roster = self.gateway.roster
        # Only the host that follows the store tells of what passed through nobody.
        beside = next_hops(roster) if message.hops == 0 else frozenset()
        frame = b""
        for host_id, link in self._links.items():
            needs = host_id in beside or host_id not in roster.active
            if not needs or host_id == info.host_id:
                continue
            frame = frame or encode(replace(message, hops=message.hops + 1))
            link.send_frame(frame, msg.StoreChanges)

    def announce(self) -> None:
        """Tell all hosts at once whether callers should use this one."""
        for link in self._links.values():
            link.told_at = float("-inf")
        self._tell_counts()

    def _tell_counts(self) -> None:
        """Tell each active host where the number in flight has changed.

        The others get a sign of life; they place next to nothing. Few of a busy host's
        servers have changed from one turn to the next; all of them in each message
        would be much of what goes between regions.
        """
        gateway = self.gateway
        now = gateway.now()
        known = gateway.steering.placement.known
        counts = known.in_flight()
        handled = known.handled_news()
        wants = wanted(gateway.roster, now)
        # Most links were told the same last, so they get the same frame now.
        frames: dict[tuple[bool, bool, int], bytes] = {}
        for host_id, link in self._links.items():
            active = host_id in gateway.roster.active
            news = active and (counts != link.told or bool(handled))
            if not news and now - link.told_at < ALIVE_EVERY_S:
                continue
            if not active or now - link.whole_at >= COUNTS_WHOLE_S:
                link.told = None
            form = (host_id in wants, active, id(link.told))
            if form not in frames:
                told = (counts, handled, link.told) if active else ({}, [], None)
                frames[form] = encode(self._alive(*told, wants=form[0]))
            if link.told is None:
                link.whole_at = now
            link.told = counts if active else None
            link.told_at = now
            link.send_frame(frames[form], msg.Alive)

    def _alive(
        self,
        counts: dict[str, int] | None = None,
        handled: list[tuple[str, str]] | None = None,
        before: dict[str, int] | None = None,
        *,
        wants: bool,
    ) -> msg.Alive:
        """Return a sign of life; `before` is what was told last, None for nothing."""
        counts = counts or {}
        roster = self.gateway.roster
        replica = self.gateway.steering.replica
        return msg.Alive(
            roster.leaving,
            roster.starting,
            roster.turned_away,
            wants,
            [replica.as_of(kind) for kind in Kind],
            list(changed_counts(counts, before or {})),
            handled or [],
            before is None,
        )

    def _hosts_for(self, receiver: str, told_all: frozenset[str]) -> msg.KnownHosts:
        """Return the message that tells another host who lives."""
        roster = self.gateway.roster
        entries = roster.entries
        stands_by = receiver not in roster.active
        infos = hosts_to_tell(roster, receiver, self.gateway.now(), told_all)
        starting = [
            info.host_id
            for info in infos
            if info.host_id in entries and entries[info.host_id].starting
        ]
        if stands_by and roster.is_active and roster.starting:
            starting.append(roster.own.host_id)
        fields = [member_fields(info) for info in infos]
        return msg.KnownHosts(stands_by, fields, starting)

    def _tell_hosts(self) -> None:
        """Tell each host that needs it who lives, when that has changed."""
        active = self.gateway.roster.active
        told_all = hearers(self.gateway.roster)
        told: dict[tuple[bool, bool], msg.KnownHosts] = {}
        frames: dict[tuple[bool, bool], bytes] = {}
        for host_id, link in self._links.items():
            form = (host_id in active, host_id in told_all)
            if form not in told:
                told[form] = self._hosts_for(host_id, told_all)
            if told[form] == link.told_hosts:
                continue
            link.told_hosts = told[form]
            if form not in frames:
                frames[form] = encode(told[form])
            link.send_frame(frames[form], msg.KnownHosts)

    async def tell(self) -> None:
        """Tell counts and signs of life until cancelled."""
        while True:
            self._tell_counts()
            self.tell_news()
            await asyncio.sleep(counts_every_s(self.gateway.roster))

    def tell_news(self) -> None:
        """Tell each host what it does not know yet of servers that ended.

        Each piece is encoded once for all streams, and only what is new is looked at:
        with hundreds of streams an end would hold the loop for many milliseconds.
        """
        news = self.gateway.crashes.news
        frames: dict[int, tuple[bytes, type[msg.Message]]] = {}
        for host_id, link in self._links.items():
            active = host_id in self.gateway.roster.active
            if link.told_as_active != active:
                # Whoever told it the news so far may have stopped in this moment.
                link.told_as_active = active
                link.told_news = None
            if link.told_news != news.newest:
                for piece in self._pieces_for(host_id, link):
                    if piece.number not in frames:
                        frames[piece.number] = self._news_frame(piece)
                    link.send_frame(*frames[piece.number])
                link.told_news = news.newest

    def _pieces_for(self, host_id: str, link: Link) -> Iterator[Piece]:
        active = self.gateway.roster.active
        fresh = link.told_news is None
        for piece in self.gateway.crashes.news.since(link.told_news):
            if should_pass_on(piece, host_id, active, fresh=fresh):
                yield piece

    def _news_frame(self, piece: Piece) -> tuple[bytes, type[msg.Message]]:
        message = news_message(piece, self.gateway.crashes.ledger)
        return encode(message), type(message)

    # Links

    async def run(self) -> None:
        """Listen, and keep the links that are needed, until cancelled."""
        cfg = self.gateway.cfg
        host, port = split_address(cfg.peer_listen or cfg.peer)
        server = await asyncio.start_server(
            self._hearing.accept, host, port, backlog=1024
        )
        try:
            while True:
                self._review()
                await asyncio.sleep(self._review_apart_s())
                await self.gateway.wait_for_hosts(REVIEW_S)
        finally:
            server.close()
            self._hearing.close()
            for link in self._links.values():
                link.task.cancel()
            self._links.clear()

    def _review_apart_s(self) -> float:
        """Return how far apart reviews are at least, in seconds.

        Failure: a fleet of 100 hosts starts. Each word of one of them had all others
        reviewed at once, and told again, hundreds of times a second.
        """
        return REVIEW_APART_S * max(1.0, len(self._links) / REVIEW_LINKS)

    def _review(self) -> None:
        gateway = self.gateway
        now = gateway.now()
        roster = gateway.roster
        if roster.review(now):
            logs.event(
                "active-hosts",
                active=len(roster.active),
                known=len(roster.entries),
                own=roster.is_active,
            )
        self._keep_links(now)
        self._tell_hosts()

    def _keep_links(self, now: float) -> None:
        entries = self.gateway.roster.entries
        needed = wanted(self.gateway.roster, now)
        needed.update(
            host_id
            for host_id, entry in entries.items()
            if entry.wants and entry.live(now)
        )
        for host_id in needed & entries.keys():
            link = self._links.get(host_id)
            if link is None or link.info != entries[host_id].info:
                link = self._open(entries[host_id].info)
            link.needed_at = now
        for host_id, link in list(self._links.items()):
            if now - link.needed_at > KEEP_S:
                link.task.cancel()
                del self._links[host_id]

    def _open(self, info: HostInfo) -> Link:
        """Open a link to a host, in place of one to an earlier address of it."""
        old = self._links.get(info.host_id)
        if old is not None:
            old.task.cancel()
        link = Link(self.gateway, self.greeting, info)
        self._links[info.host_id] = link
        return link

    def send_to(self, info: HostInfo, message: msg.Message) -> None:
        """Send one message to a host."""
        link = self._links.get(info.host_id) or self._open(info)
        link.send(message)

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
            for message in self.greeting(None):
                writer.write(encode(message))
            await writer.drain()
            await asyncio.sleep(QUIET_S)
        except OSError as exc:
            logs.event("seed-unreachable", "DEBUG", seed=seed, why=repr(exc))
        finally:
            writer.transport.abort()


def changed_counts(
    counts: dict[str, int], before: dict[str, int]
) -> Iterator[tuple[str, int]]:
    """Yield the servers whose count has changed, and the count."""
    for server_id, count in counts.items():
        if before.get(server_id) != count:
            yield server_id, count
    for server_id in before.keys() - counts.keys():
        yield server_id, 0


def news_message(piece: Piece, ledger: CrashLedger) -> msg.Message:
    """Return the message that tells a piece of news."""
    if piece.answered:
        return msg.RequestAnswered(piece.answered)
    requests = sorted(ledger.requests_at(piece.ended))
    return msg.ServerEnded(*piece.ended, requests[: msg.REQUESTS_MOST])
