"""Sends gossip to the other entry hosts.

The gossip consists of heartbeats (`Alive`) with the number of requests in flight at
each backend server, the hosts that are alive, crashes of servers, and the limits and
departures that servers announce in their responses.
"""

from collections.abc import Container, Iterator
from typing import TypeVar

from ..core import messages as msg
from ..core.crash_gossip import GossipItem, should_pass_on
from ..core.crashes import CrashLedger
from ..core.membership import member_fields
from ..core.peer_selection import full_view_peers, hosts_to_advertise, subscriptions
from ..core.placement.send_gate import SendGate
from ..core.replica import Kind
from ..core.roster import ALIVE_INTERVAL_S
from ..wire import encode
from .context import Gateway
from .link import Link

T = TypeVar("T")

# Interval after which an active host gets all counts of requests in flight again, and
# not only changes, in seconds: the receiver may learn of a server only after the count
# of that server was sent.
FULL_COUNTS_INTERVAL_S = 2.0


class GossipSender:
    """Sends updates to other hosts on the links that `Peers` keeps open.

    Each link records what was sent on it last, so that a host gets only what is new to
    it.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    links : dict of str to Link
        Links by host id. The caller adds and removes them.
    """

    __slots__ = ("_gateway", "_links")

    def __init__(self, gateway: Gateway, links: dict[str, Link]) -> None:
        self._gateway = gateway
        self._links = links

    def greeting(self, link: Link | None) -> list[msg.Message]:
        """Return the first messages of a new stream.

        The link records which `KnownHosts` message is among them.

        Parameters
        ----------
        link : Link or None
            The link that has opened the stream; None for a stream to a seed, whose host
            id is not known.
        """
        gateway = self._gateway
        hello = gateway.hello()
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
        """Send heartbeats (`Alive`) to the hosts for which one is due.

        An active host gets a heartbeat when counts of requests in flight have changed
        or servers have handled new objects. The heartbeat contains the changed counts.
        It contains all counts on a new stream, after a message was dropped, and when
        `FULL_COUNTS_INTERVAL_S` has passed since all counts were sent. A host for which
        nothing has changed gets a heartbeat once `ALIVE_INTERVAL_S` has passed since
        the last one. Standby hosts get no counts, since they place hardly any requests.
        On a busy host few counts change between two calls. Sending all counts every
        time would make up much of the traffic between regions.
        """
        gateway = self._gateway
        now = gateway.now()
        known = gateway.steering.placement.known
        counts = known.in_flight()
        handled = known.take_newly_handled()
        wanted_host_ids = subscriptions(gateway.roster, now)
        # Most links got the same counts last time, which is one and the same dict, so
        # they share one encoded frame. Its key is whether this host wants updates from
        # the receiver, whether the receiver is active, and the identity of that dict.
        frames: dict[tuple[bool, bool, int], bytes] = {}
        for host_id, link in self._links.items():
            active = host_id in gateway.roster.active
            changed = active and (counts != link.last_counts or bool(handled))
            if not changed and now - link.last_alive_at < ALIVE_INTERVAL_S:
                continue
            if not active or now - link.last_full_counts_at >= FULL_COUNTS_INTERVAL_S:
                link.last_counts = None
            variant = (host_id in wanted_host_ids, active, id(link.last_counts))
            if variant not in frames:
                state = (
                    (counts, handled, link.last_counts) if active else ({}, [], None)
                )
                frames[variant] = encode(
                    self._alive_message(*state, subscribes=variant[0])
                )
            if link.last_counts is None:
                link.last_full_counts_at = now
            link.last_counts = counts if active else None
            link.last_alive_at = now
            link.send_frame(frames[variant], msg.Alive)

    def _alive_message(
        self,
        counts: dict[str, int] | None = None,
        handled: list[tuple[str, str]] | None = None,
        previous: dict[str, int] | None = None,
        *,
        subscribes: bool,
    ) -> msg.Alive:
        """Return a heartbeat.

        Parameters
        ----------
        counts : dict of str to int, optional
            Requests in flight by server id.
        handled : list of (str, str), optional
            Servers and the objects that they have handled since the last message.
        previous : dict of str to int or None
            The counts that were sent last; None if all counts are to be sent.
        subscribes : bool
            Whether this host wants updates from the receiver.
        """
        counts = counts or {}
        roster = self._gateway.roster
        replica = self._gateway.steering.replica
        return msg.Alive(
            roster.leaving,
            roster.starting,
            roster.store_unreachable,
            subscribes,
            [replica.as_of(kind) for kind in Kind],
            self._gateway.steering.config_version,
            list(changed_counts(counts, previous or {})),
            handled or [],
            previous is None,
        )

    def _known_hosts_message(
        self, receiver: str, full_view: frozenset[str]
    ) -> msg.KnownHosts:
        """Return the message that names the hosts that are alive.

        Parameters
        ----------
        receiver : str
            Id of the host that gets the message.
        full_view : frozenset of str
            Ids of the active hosts to which this host sends its full view: all hosts
            from which it receives messages.
        """
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
        """Send the hosts that are alive to each host whose last message is outdated."""
        active = self._gateway.roster.active
        full_view = full_view_peers(self._gateway.roster)
        messages: dict[tuple[bool, bool], msg.KnownHosts] = {}
        frames: dict[tuple[bool, bool], bytes] = {}
        for host_id, link in self._links.items():
            variant = (host_id in active, host_id in full_view)
            if variant not in messages:
                messages[variant] = self._known_hosts_message(host_id, full_view)
            if messages[variant] == link.last_known_hosts:
                continue
            link.last_known_hosts = messages[variant]
            if variant not in frames:
                frames[variant] = encode(messages[variant])
            link.send_frame(frames[variant], msg.KnownHosts)

    def send_gossip(self) -> None:
        """Send each host the crashes and answered requests that are new to it.

        Each item is encoded once for all streams, and only new items are examined.
        Otherwise one crash would block the event loop for many milliseconds on a host
        with hundreds of streams.
        """
        gossip = self._gateway.crashes.gossip
        frames: dict[int, tuple[bytes, type[msg.Message]]] = {}
        for host_id, link in self._links.items():
            active = host_id in self._gateway.roster.active
            if link.gossip_as_active != active:
                # The receiver has become active or a standby host. The hosts that sent
                # it reports so far may just have stopped, so the receiver gets all
                # reports from the beginning.
                link.gossip_as_active = active
                link.last_gossip = None
            if link.last_gossip != gossip.newest:
                for item in self._gossip_for(host_id, link):
                    if item.sequence not in frames:
                        frames[item.sequence] = self._gossip_frame(item)
                    link.send_frame(*frames[item.sequence])
                link.last_gossip = gossip.newest

    def send_lost_domains(self) -> None:
        """Send the failure domains that this host does not reach, if they changed.

        Guards against hosts that are cut off together and send their requests through
        each other.
        """
        reachability = self._gateway.paths.reachability
        version = reachability.version
        frame = b""
        for link in self._links.values():
            if (link.last_paths_version or 0) == version:
                continue
            link.last_paths_version = version
            domains = sorted(reachability.lost_domains)[: msg.MAX_DOMAINS_PER_MESSAGE]
            frame = frame or encode(msg.LostDomains(domains))
            link.send_frame(frame, msg.LostDomains)

    def send_signals(self) -> None:
        """Send the limits and departures that servers have announced to this host.

        A host gets them only when they have changed since they were last sent to it.
        """
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

    def send_paces(self) -> None:
        """Send active hosts the paces of servers that have changed, if any.

        Standby hosts place hardly any requests and get none.
        """
        gateway = self._gateway
        active = gateway.roster.active
        links = [link for host_id, link in self._links.items() if host_id in active]
        items = gateway.steering.placement.paces.take_due(
            len(links), msg.MAX_SERVERS_PER_MESSAGE, gateway.now()
        )
        if not items:
            return
        frame = encode(msg.ServerPaces(items))
        for link in links:
            link.send_frame(frame, msg.ServerPaces)

    def send_silence(self) -> None:
        """Send what this host has found of silent servers, to hosts that lack it."""
        reports = self._gateway.steering.placement.silence.reports
        if not reports.version:
            return
        frames: list[bytes] = []
        for link in self._links.values():
            if link.last_silence_version == reports.version:
                continue
            link.last_silence_version = reports.version
            frames = frames or [
                encode(msg.SilentServers(batch))
                for batch in _batches(reports.items(self._gateway.now()))
            ]
            for frame in frames:
                link.send_frame(frame, msg.SilentServers)

    def _signal_messages(self, gate: SendGate) -> Iterator[msg.Message]:
        """Yield the messages with what servers have announced to this host itself."""
        known = self._gateway.steering.placement.known.servers
        yield from signal_messages(gate, known.keys(), self._gateway.now())

    def _gossip_for(self, host_id: str, link: Link) -> Iterator[GossipItem]:
        active = self._gateway.roster.active
        fresh = link.last_gossip is None
        for item in self._gateway.crashes.gossip.since(link.last_gossip):
            if should_pass_on(item, host_id, active, fresh=fresh):
                yield item

    def _gossip_frame(self, item: GossipItem) -> tuple[bytes, type[msg.Message]]:
        gateway = self._gateway
        own_id = gateway.roster.own.host_id
        message = gossip_message(item, gateway.crashes.ledger, own_id, gateway.now())
        return encode(message), type(message)


def changed_counts(
    counts: dict[str, int], previous: dict[str, int]
) -> Iterator[tuple[str, int]]:
    """Yield the id and the new count of each server whose count has changed."""
    for server_id, count in counts.items():
        if previous.get(server_id) != count:
            yield server_id, count
    for server_id in previous.keys() - counts.keys():
        yield server_id, 0


def signal_messages(
    gate: SendGate, known_server_ids: Container[str], now: float
) -> Iterator[msg.Message]:
    """Yield the messages with what servers have announced to a host itself.

    Departures are sent only for servers that are still in `known_server_ids`: hundreds
    of servers leave each day, and a server that is already gone need not be announced.

    Parameters
    ----------
    gate : SendGate
        Holds the signals of servers.
    known_server_ids : container of str
        Ids of the servers that this host knows from the store.
    now : float
        Monotonic time in seconds.
    """
    departures = gate.departures.own_observations()
    leaving = [server for server in departures if server[0] in known_server_ids]
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


def gossip_message(
    item: GossipItem, ledger: CrashLedger, own_id: str, now: float
) -> msg.Message:
    """Return the message that carries an item of crash gossip of the host `own_id`."""
    if item.answered:
        return _answered_message(item.answered, ledger, own_id)
    requests = sorted(ledger.crash_requests(item.crashed))
    # Without such a request the age does not matter.
    age_s = now - ledger.broke_at(item.crashed) if requests else 0.0
    requests = requests[: msg.MAX_REQUESTS_PER_MESSAGE]
    return msg.ServerEnded(*item.crashed, requests, max(0.0, age_s))


def _answered_message(
    request: str, ledger: CrashLedger, own_id: str
) -> msg.RequestAnswered:
    clearance = ledger.cleared.get(request)
    if clearance is None:
        # Dropped since then; the message clears nothing.
        return msg.RequestAnswered(request, own_id, [])
    by_host = clearance.by_host or own_id
    return msg.RequestAnswered(request, by_host, list(clearance.crashes))
