"""What another entry host is told: signs of life, counts, who lives, ended servers."""

from collections.abc import Container, Iterator
from typing import TypeVar

from ..core import messages as msg
from ..core.crash_gossip import GossipItem, should_pass_on
from ..core.crashes import CrashLedger
from ..core.membership import member_fields
from ..core.peer_selection import full_view_peers, hosts_to_advertise, subscriptions
from ..core.replica import Kind
from ..core.roster import ALIVE_INTERVAL_S
from ..core.send_gate import SendGate
from ..wire import PROTOCOL, encode
from .context import Gateway
from .link import Link

T = TypeVar("T")

# All counts are told again after so long, in seconds: a server may have become known
# to the other host only after its count was told.
COUNTS_WHOLE_S = 2.0


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
            return [hello, self._alive(subscribes=True)]
        subscribes = link.info.host_id in subscriptions(gateway.roster, gateway.now())
        told_all = full_view_peers(gateway.roster)
        link.told_hosts = self._hosts_for(link.info.host_id, told_all)
        return [hello, self._alive(subscribes=subscribes), link.told_hosts]

    def tell_counts(self) -> None:
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
            news = active and (counts != link.told or bool(handled))
            if not news and now - link.told_at < ALIVE_INTERVAL_S:
                continue
            if not active or now - link.whole_at >= COUNTS_WHOLE_S:
                link.told = None
            form = (host_id in subscribes, active, id(link.told))
            if form not in frames:
                told = (counts, handled, link.told) if active else ({}, [], None)
                frames[form] = encode(self._alive(*told, subscribes=form[0]))
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

    def _hosts_for(self, receiver: str, told_all: frozenset[str]) -> msg.KnownHosts:
        """Return the message that tells another host who lives."""
        roster = self._gateway.roster
        entries = roster.entries
        stands_by = receiver not in roster.active
        infos = hosts_to_advertise(roster, receiver, self._gateway.now(), told_all)
        starting = [
            info.host_id
            for info in infos
            if info.host_id in entries and entries[info.host_id].starting
        ]
        if stands_by and roster.is_active and roster.starting:
            starting.append(roster.own.host_id)
        fields = [member_fields(info) for info in infos]
        return msg.KnownHosts(stands_by, fields, starting)

    def tell_hosts(self) -> None:
        """Tell each host that needs it who lives, when that has changed."""
        active = self._gateway.roster.active
        told_all = full_view_peers(self._gateway.roster)
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

    def tell_news(self) -> None:
        """Tell each host what it does not know yet of servers that ended.

        Each piece is encoded once for all streams, and only what is new is looked at:
        with hundreds of streams an end would hold the loop for many milliseconds.
        """
        news = self._gateway.crashes.news
        frames: dict[int, tuple[bytes, type[msg.Message]]] = {}
        for host_id, link in self._links.items():
            active = host_id in self._gateway.roster.active
            if link.told_as_active != active:
                # Whoever told it the news so far may have stopped in this moment.
                link.told_as_active = active
                link.told_news = None
            if link.told_news != news.newest:
                for piece in self._pieces_for(host_id, link):
                    if piece.sequence not in frames:
                        frames[piece.sequence] = self._news_frame(piece)
                    link.send_frame(*frames[piece.sequence])
                link.told_news = news.newest

    def tell_signals(self) -> None:
        """Tell each host what this one has heard servers say, when it is new."""
        gate = self._gateway.steering.placement.gate
        if not gate.version:
            return
        frames: list[tuple[bytes, type[msg.Message]]] = []
        for link in self._links.values():
            if link.told_signals == gate.version:
                continue
            link.told_signals = gate.version
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

    def _pieces_for(self, host_id: str, link: Link) -> Iterator[GossipItem]:
        active = self._gateway.roster.active
        fresh = link.told_news is None
        for piece in self._gateway.crashes.news.since(link.told_news):
            if should_pass_on(piece, host_id, active, fresh=fresh):
                yield piece

    def _news_frame(self, piece: GossipItem) -> tuple[bytes, type[msg.Message]]:
        message = news_message(piece, self._gateway.crashes.ledger)
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
    words = gate.departures.own_observations()
    leaving = [server for server in words if server[0] in known]
    for part in _in_parts(leaving):
        yield msg.ServersLeaving(part)
    items = [
        (*server, -1.0 if limit.rate is None else limit.rate, max(0.0, now - limit.at))
        for server, limit in gate.rates.own_observations()
    ]
    for part in _in_parts(items):
        yield msg.ServerLimits(part)


def _in_parts(items: list[T]) -> Iterator[list[T]]:
    for first in range(0, len(items), msg.MAX_SERVERS_PER_MESSAGE):
        yield items[first : first + msg.MAX_SERVERS_PER_MESSAGE]


def news_message(piece: GossipItem, ledger: CrashLedger) -> msg.Message:
    """Return the message that tells a piece of news."""
    if piece.answered:
        return msg.RequestAnswered(piece.answered)
    requests = sorted(ledger.crash_requests(piece.crashed))
    return msg.ServerEnded(*piece.crashed, requests[: msg.MAX_REQUESTS_PER_MESSAGE])
