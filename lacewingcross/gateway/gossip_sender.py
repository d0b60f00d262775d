"""What another entry host is told: signs of life, counts, who lives, ended servers."""

from collections.abc import Container, Iterator
from typing import TypeVar

from ..core import messages as msg
from ..core.crash_gossip import GossipItem, should_pass_on
from ..core.crashes import CrashLedger
from ..core.membership import member_fields
from ..core.peer_selection import full_view_peers, hosts_to_advertise, subscriptions
from ..core.replica import Kind
from ..core.roster import ALIVE_EVERY_S
from ..core.send_gate import SendGate
from ..wire import PROTOCOL, encode
from .context import Gateway
from .link import Link

T = TypeVar("T")

# All counts are told again after so long, in seconds: a server may have become known
# to the other host only after its count was told.
FULL_COUNTS_INTERVAL_S = 2.0


class GossipSender:
    """Tells other hosts, on the links that `Peers` keeps, what they do not know yet.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    links : dict of str to Link
        Links by host id; kept by the caller.
    """

    __slots__ = ("_gateway", "_links")

    def __init__(self, gateway: Gateway, links: dict[str, Link]) -> None:
        self._gateway = gateway
        self._links = links

    def greeting(self, link: Link | None) -> list[msg.Message]:
        """Return what a host is told first on a new stream."""
        gateway = self._gateway
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
            return [hello, self._alive_message(subscribes=True)]
        subscribes = link.info.host_id in subscriptions(gateway.roster, gateway.now())
        full_view = full_view_peers(gateway.roster)
        link.last_known_hosts = self._known_hosts_message(link.info.host_id, full_view)
        return [
            hello,
            self._alive_message(subscribes=subscribes),
            link.last_known_hosts,
        ]

    def send_alive(self) -> None:
        """Tell each active host where the number in flight has changed.

        The others get a sign of life; they place next to nothing. Few of a busy host's
        servers have changed from one turn to the next; all of them in each message
        would be much of what goes between regions.
        """
        gateway = self._gateway
        now = gateway.now()
        known = gateway.steering.placement.known
        counts = known.in_flight()
        handled = known.take_newly_handled()
        subscribes = subscriptions(gateway.roster, now)
        # Most links were told the same last, so they get the same frame now.
        frames: dict[tuple[bool, bool, int], bytes] = {}
        for host_id, link in self._links.items():
            active = host_id in gateway.roster.active
            changed = active and (counts != link.last_counts or bool(handled))
            if not changed and now - link.last_alive_at < ALIVE_EVERY_S:
                continue
            if not active or now - link.last_full_counts_at >= FULL_COUNTS_INTERVAL_S:
                link.last_counts = None
            form = (host_id in subscribes, active, id(link.last_counts))
            if form not in frames:
                state = (
                    (counts, handled, link.last_counts) if active else ({}, [], None)
                )
                frames[form] = encode(self._alive_message(*state, subscribes=form[0]))
            if link.last_counts is None:
                link.last_full_counts_at = now
            link.last_counts = counts if active else None
            link.last_alive_at = now
            link.send_frame(frames[form], msg.Alive)

    def _alive_message(
        self,
        counts: dict[str, int] | None = None,
        handled: list[tuple[str, str]] | None = None,
        before: dict[str, int] | None = None,
        *,
        subscribes: bool,
    ) -> msg.Alive:
        """Return a sign of life; `before` is what was told last, None for nothing."""
        counts = counts or {}
        roster = self._gateway.roster
        replica = self._gateway.steering.replica
        return msg.Alive(
            roster.leaving,
            roster.starting,
            roster.store_unreachable,
            subscribes,
            [replica.as_of(kind) for kind in Kind],
            list(changed_counts(counts, before or {})),
            handled or [],
            before is None,
        )

    def _known_hosts_message(
        self, receiver: str, full_view: frozenset[str]
    ) -> msg.KnownHosts:
        """Return the message that tells another host who lives."""
        roster = self._gateway.roster
        entries = roster.entries
        is_standby = receiver not in roster.active
        infos = hosts_to_advertise(roster, receiver, self._gateway.now(), full_view)
        starting = [
            info.host_id
            for info in infos
            if info.host_id in entries and entries[info.host_id].starting
        ]
        if is_standby and roster.is_active and roster.starting:
            starting.append(roster.own.host_id)
        fields = [member_fields(info) for info in infos]
        return msg.KnownHosts(is_standby, fields, starting)

    def send_known_hosts(self) -> None:
        """Tell each host that needs it who lives, when that has changed."""
        active = self._gateway.roster.active
        full_view = full_view_peers(self._gateway.roster)
        messages: dict[tuple[bool, bool], msg.KnownHosts] = {}
        frames: dict[tuple[bool, bool], bytes] = {}
        for host_id, link in self._links.items():
            form = (host_id in active, host_id in full_view)
            if form not in messages:
                messages[form] = self._known_hosts_message(host_id, full_view)
            if messages[form] == link.last_known_hosts:
                continue
            link.last_known_hosts = messages[form]
            if form not in frames:
                frames[form] = encode(messages[form])
            link.send_frame(frames[form], msg.KnownHosts)

    def send_gossip(self) -> None:
        """Tell each host what it does not know yet of servers that ended.

        Each piece is encoded once for all streams, and only what is new is looked at:
        with hundreds of streams an end would hold the loop for many milliseconds.
        """
        gossip = self._gateway.crashes.gossip
        frames: dict[int, tuple[bytes, type[msg.Message]]] = {}
        for host_id, link in self._links.items():
            active = host_id in self._gateway.roster.active
            if link.gossip_as_active != active:
                # Whoever told it the news so far may have stopped in this moment.
                link.gossip_as_active = active
                link.last_gossip = None
            if link.last_gossip != gossip.newest:
                for item in self._gossip_for(host_id, link):
                    if item.number not in frames:
                        frames[item.number] = self._gossip_frame(item)
                    link.send_frame(*frames[item.number])
                link.last_gossip = gossip.newest

    def send_signals(self) -> None:
        """Tell each host what this one has heard servers say, when it is new."""
        gate = self._gateway.steering.placement.gate
        if not gate.version:
            return
        frames: list[tuple[bytes, type[msg.Message]]] = []
        for link in self._links.values():
            if link.last_signals_version == gate.version:
                continue
            link.last_signals_version = gate.version
            frames = frames or [
                (encode(message), type(message))
                for message in self._signal_messages(gate)
            ]
            for frame, kind in frames:
                link.send_frame(frame, kind)

    def _signal_messages(self, gate: SendGate) -> Iterator[msg.Message]:
        """Yield what this host has heard known servers say."""
        known = self._gateway.steering.placement.known.servers
        yield from signal_messages(gate, known.keys(), self._gateway.now())

    def _gossip_for(self, host_id: str, link: Link) -> Iterator[GossipItem]:
        active = self._gateway.roster.active
        fresh = link.last_gossip is None
        for item in self._gateway.crashes.gossip.since(link.last_gossip):
            if should_pass_on(item, host_id, active, fresh=fresh):
                yield item

    def _gossip_frame(self, item: GossipItem) -> tuple[bytes, type[msg.Message]]:
        message = gossip_message(item, self._gateway.crashes.ledger)
        return encode(message), type(message)


def changed_counts(
    counts: dict[str, int], before: dict[str, int]
) -> Iterator[tuple[str, int]]:
    """Yield the servers whose count has changed, and the count."""
    for server_id, count in counts.items():
        if before.get(server_id) != count:
            yield server_id, count
    for server_id in before.keys() - counts.keys():
        yield server_id, 0


def signal_messages(
    gate: SendGate, known: Container[str], now: float
) -> Iterator[msg.Message]:
    """Yield the messages that tell what a host has heard servers say.

    Of those that leave only `known` ones are told: hundreds do so each day, and who is
    gone needs no word.
    """
    departures = gate.departures.own_observations()
    leaving = [server for server in departures if server[0] in known]
    for batch in _batches(leaving):
        yield msg.ServersLeaving(batch)
    items = [
        (*server, -1.0 if limit.rate is None else limit.rate, max(0.0, now - limit.at))
        for server, limit in gate.rates.own_observations()
    ]
    for batch in _batches(items):
        yield msg.ServerLimits(batch)


def _batches(items: list[T]) -> Iterator[list[T]]:
    for first in range(0, len(items), msg.MAX_SERVERS_PER_MESSAGE):
        yield items[first : first + msg.MAX_SERVERS_PER_MESSAGE]


def gossip_message(item: GossipItem, ledger: CrashLedger) -> msg.Message:
    """Return the message that tells a piece of news."""
    if item.answered:
        return msg.RequestAnswered(item.answered)
    requests = sorted(ledger.crash_requests(item.crashed))
    return msg.ServerEnded(*item.crashed, requests[: msg.MAX_REQUESTS_PER_MESSAGE])
