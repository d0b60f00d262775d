"""Keeps the links to other entry hosts and sends updates on them.

Links are kept to the hosts from which this host wants updates and to the hosts that
have subscribed to its updates.
"""

import asyncio

from msgspec.structs import replace

from .. import logs
from ..checks import split_address
from ..core import messages as msg
from ..core.forward_limit import ForwardLimit
from ..core.membership import HostInfo
from ..core.peer_selection import (
    counts_interval_s,
    first_hops,
    next_hops,
    subscriptions,
)
from ..core.replica import Kind, Update
from ..wire import encode
from .context import Gateway
from .gossip_receiver import SILENCE_TIMEOUT_S, GossipReceiver
from .gossip_sender import GossipSender
from .link import CONNECT_TIMEOUT_S, REDIAL_DELAY_S, Link
from .paths.carrier import Carrier
from .silence import review_silence
from .store_messages import changes_message

# How often the links are reviewed when no message has changed the known hosts, in
# seconds.
REVIEW_INTERVAL_S = 0.1
# Minimum time between two reviews of the links while hosts start and stop, in seconds;
# too short for people to notice. With more links than `REVIEW_LINKS` a review takes
# longer, so this minimum grows in proportion to the number of links.
MIN_REVIEW_INTERVAL_S = 0.01
REVIEW_LINKS = 20
# How long a link is kept after it was last needed, in seconds: while hosts start, a
# link is needed, not needed and needed again within seconds.
UNUSED_LINK_KEPT_S = 2.0
# How many times a change of the store may be forwarded: the host that watches the store
# sends it to active hosts, these forward it to the active hosts in their group on the
# ring, and all of them forward it to standby hosts. The third hop covers hosts that do
# not agree yet on which hosts are active.
MAX_HOPS = 3


class Peers:
    """Links to the hosts that get messages from this host, and a listener.

    The listener accepts the links that other hosts open to this host.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    carrier : Carrier
        Serves the streams on which other hosts send requests.
    """

    __slots__ = (
        "_forward_limit",
        "_gossip_receiver",
        "_gossip_sender",
        "_links",
        "gateway",
    )

    def __init__(self, gateway: Gateway, carrier: Carrier) -> None:
        self.gateway = gateway
        self._links: dict[str, Link] = {}
        self._forward_limit = ForwardLimit()
        self._gossip_receiver = GossipReceiver(
            gateway, carrier, self.send_to, self._forward
        )
        self._gossip_sender = GossipSender(gateway, self._links)

    def publish(self, update: Update) -> None:
        """Send an update that this host has read from the store to other hosts.

        The receivers are the linked hosts among the active hosts that `first_hops`
        returns, and all linked standby hosts.
        """
        frame = encode(changes_message(update, fresh=True))
        roster = self.gateway.roster
        receivers = first_hops(roster, self.gateway.now())
        for host_id, link in self._links.items():
            if host_id in receivers or host_id not in roster.active:
                link.send_frame(frame, msg.StoreChanges)

    def _forward(self, info: HostInfo, message: msg.StoreChanges) -> None:
        """Forward a change of the store to other hosts.

        If the change came directly from the host that watches the store, it is
        forwarded to the active hosts that `next_hops` returns. In any case it is
        forwarded to all linked standby hosts, unless it has made `MAX_HOPS` hops. The
        host that sent it does not get it back. Messages without news are left out if
        they come often, see `ForwardLimit`.

        Parameters
        ----------
        info : HostInfo
            The host that has sent the change.
        message : StoreChanges
            The change as it was received.
        """
        if message.hops >= MAX_HOPS:
            return
        kind = Kind(message.kind)
        now = self.gateway.now()
        if not self._forward_limit.may_pass(kind, message.hops, message.as_of, now):
            self.gateway.metrics.count("peers.not-passed-on")
            return
        roster = self.gateway.roster
        # With 0 hops the message comes directly from the host that watches the store,
        # and other active hosts in this host's group may not have it yet.
        ring_group = next_hops(roster) if message.hops == 0 else frozenset()
        frame = b""
        for host_id, link in self._links.items():
            needs_change = host_id in ring_group or host_id not in roster.active
            if not needs_change or host_id == info.host_id:
                continue
            frame = frame or encode(replace(message, hops=message.hops + 1))
            link.send_frame(frame, msg.StoreChanges)

    def announce(self) -> None:
        """Send all linked hosts at once whether callers should use this host."""
        for link in self._links.values():
            link.last_alive_at = float("-inf")
        self._gossip_sender.send_alive()

    async def send_updates(self) -> None:
        """Send heartbeats, and the crashes and signals of servers, until cancelled.

        Heartbeats contain the counts of requests in flight.
        """
        while True:
            self._gossip_sender.send_alive()
            review_silence(self.gateway)
            self.send_gossip()
            await asyncio.sleep(counts_interval_s(self.gateway.roster))

    def send_gossip(self) -> None:
        """Send each host the crashes and signals of servers that are new to it.

        Requests that a server has answered are sent too, since that clears them of
        crashes.
        """
        self._gossip_sender.send_gossip()
        self._gossip_sender.send_lost_domains()
        self._gossip_sender.send_signals()
        self._gossip_sender.send_paces()
        self._gossip_sender.send_silence()

    async def run(self) -> None:
        """Listen for other hosts and keep the links that are needed until cancelled."""
        cfg = self.gateway.cfg
        host, port = split_address(cfg.peer_listen or cfg.peer)
        server = await asyncio.start_server(
            self._gossip_receiver.accept, host, port, backlog=1024
        )
        try:
            while True:
                self._review()
                await asyncio.sleep(self._min_review_interval_s())
                await self.gateway.wait_for_hosts(REVIEW_INTERVAL_S)
        finally:
            server.close()
            self._gossip_receiver.close()
            for link in self._links.values():
                link.task.cancel()
            self._links.clear()

    def _min_review_interval_s(self) -> float:
        """Return the minimum time between two reviews of the links, in seconds.

        Guards against reviews in quick succession while a fleet of 100 hosts starts.
        Each message from one host would make this host review all other hosts at once
        and send its known hosts to them again, hundreds of times a second. With this
        minimum, one review covers all messages since the review before it.
        """
        return MIN_REVIEW_INTERVAL_S * max(1.0, len(self._links) / REVIEW_LINKS)

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
        self._gossip_sender.send_known_hosts()

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
            link.last_needed_at = now
        for host_id, link in list(self._links.items()):
            if now - link.last_needed_at > UNUSED_LINK_KEPT_S:
                link.task.cancel()
                del self._links[host_id]

    def _open(self, info: HostInfo) -> Link:
        """Open a link to a host; replaces a link to an earlier address of that host."""
        old = self._links.get(info.host_id)
        if old is not None:
            old.task.cancel()
        link = Link(self.gateway, self._gossip_sender.greeting, info)
        self._links[info.host_id] = link
        return link

    def send_to(self, info: HostInfo, message: msg.Message) -> None:
        """Send one message to a host; open a link if there is none."""
        link = self._links.get(info.host_id) or self._open(info)
        link.send(message)

    async def greet_seeds(self) -> None:
        """Send `Hello` to the seeds while no other host is known.

        Guards against a host that starts while the store is unavailable and cannot read
        the list of hosts. It would know no other host. The seeds learn its address from
        the message and send it the other hosts.
        """
        while True:
            if not self.gateway.roster.entries:
                seeds = [
                    s for s in self.gateway.cfg.seeds if s != self.gateway.cfg.peer
                ]
                await asyncio.gather(*(self._greet_seed(seed) for seed in seeds))
            await asyncio.sleep(2 * REDIAL_DELAY_S)

    async def _greet_seed(self, seed: str) -> None:
        host, port = split_address(seed)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as exc:
            logs.event("seed-unreachable", "DEBUG", seed=seed, why=repr(exc))
            return
        try:
            for message in self._gossip_sender.greeting(None):
                writer.write(encode(message))
            await writer.drain()
            await asyncio.sleep(SILENCE_TIMEOUT_S)
        except OSError as exc:
            logs.event("seed-unreachable", "DEBUG", seed=seed, why=repr(exc))
        finally:
            writer.transport.abort()
