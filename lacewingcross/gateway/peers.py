"""Streams to other entry hosts: which are kept, and what is told on them."""

import asyncio

from msgspec.structs import replace

from .. import logs
from ..checks import split_address
from ..core import messages as msg
from ..core.membership import HostInfo
from ..core.peer_selection import (
    counts_every_s,
    first_hops,
    next_hops,
    subscriptions,
)
from ..core.replica import Update
from ..wire import encode
from .context import Gateway
from .gossip_receiver import QUIET_S, GossipReceiver
from .gossip_sender import GossipSender
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

    __slots__ = ("_gossip_receiver", "_gossip_sender", "_links", "gateway")

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._links: dict[str, Link] = {}
        self._gossip_receiver = GossipReceiver(gateway, self.send_to, self._pass_on)
        self._gossip_sender = GossipSender(gateway, self._links)

    # Telling

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
        self._gossip_sender.tell_counts()

    async def tell(self) -> None:
        """Tell counts and signs of life until cancelled."""
        while True:
            self._gossip_sender.tell_counts()
            self.tell_news()
            await asyncio.sleep(counts_every_s(self.gateway.roster))

    def tell_news(self) -> None:
        """Tell each host what it does not know yet of servers."""
        self._gossip_sender.tell_news()
        self._gossip_sender.tell_signals()

    # Links

    async def run(self) -> None:
        """Listen, and keep the links that are needed, until cancelled."""
        cfg = self.gateway.cfg
        host, port = split_address(cfg.peer_listen or cfg.peer)
        server = await asyncio.start_server(
            self._gossip_receiver.accept, host, port, backlog=1024
        )
        try:
            while True:
                self._review()
                await asyncio.sleep(self._review_apart_s())
                await self.gateway.wait_for_hosts(REVIEW_S)
        finally:
            server.close()
            self._gossip_receiver.close()
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
        self._gossip_sender.tell_hosts()

    def _keep_links(self, now: float) -> None:
        entries = self.gateway.roster.entries
        needed = subscriptions(self.gateway.roster, now)
        needed.update(
            host_id
            for host_id, entry in entries.items()
            if entry.subscribes and entry.live(now)
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
        link = Link(self.gateway, self._gossip_sender.greeting, info)
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
            for message in self._gossip_sender.greeting(None):
                writer.write(encode(message))
            await writer.drain()
            await asyncio.sleep(QUIET_S)
        except OSError as exc:
            logs.event("seed-unreachable", "DEBUG", seed=seed, why=repr(exc))
        finally:
            writer.transport.abort()
