"""Receives the messages of other entry hosts on the streams that they open."""

import asyncio
import json
from collections.abc import Callable, Iterator

from .. import logs
from ..core import messages as msg
from ..core.catch_up import CatchUp
from ..core.membership import HostInfo, member_info
from ..core.replica import Kind
from ..core.roster import ALIVE_INTERVAL_S, PeerView
from ..core.store_position import START, StorePosition
from ..errors import FrameError, UserError
from ..greeting import host_of, invalid_host
from ..sockets import set_silence_timeout
from ..strict_json import decode
from ..wire import read_message
from .context import Gateway
from .paces import record_peer_paces
from .paths.carrier import Carrier
from .signals import record_peer_signals
from .silence import receive_silence
from .store_follower import log_changes
from .store_messages import changes_message, update_in

# Time without a message after which a stream from another host is closed, in seconds.
# That host then opens a new stream.
SILENCE_TIMEOUT_S = 3 * ALIVE_INTERVAL_S

# Prefix of the counters of messages from other hosts; the name of the message follows.
RECEIVED = "peers.heard."

SendTo = Callable[[HostInfo, msg.Message], None]
Forward = Callable[[HostInfo, msg.StoreChanges], None]


class GossipReceiver:
    """Applies the messages of other hosts to the state of this host.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    carrier : Carrier
        Serves the streams on which other hosts send requests.
    send_to : callable
        Sends a message to a host.
    forward : callable
        Forwards changes of the store, which one host has sent, to other hosts.
    """

    __slots__ = (
        "_accepted",
        "_carrier",
        "_catch_up",
        "_forward",
        "_gateway",
        "_send_to",
        "_version_catch_up",
    )

    def __init__(
        self, gateway: Gateway, carrier: Carrier, send_to: SendTo, forward: Forward
    ) -> None:
        self._accepted: set[asyncio.StreamWriter] = set()
        self._carrier = carrier
        self._catch_up = CatchUp()
        self._version_catch_up = CatchUp()
        self._gateway = gateway
        self._forward = forward
        self._send_to = send_to

    def close(self) -> None:
        """Close all streams."""
        for writer in list(self._accepted):
            writer.transport.abort()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Process the messages of one stream until it ends."""
        self._accepted.add(writer)
        set_silence_timeout(writer.transport)
        try:
            await self._receive(reader, writer)
        except FrameError as exc:
            self._gateway.metrics.count(f"bad-input.{exc.code}")
            logs.event("peer-refused", "WARNING", code=exc.code, why=exc.message)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._gateway.metrics.count("peers.stream-ended")
        except Exception as exc:
            # An error in this program that one message triggers ends only this stream,
            # not the listener.
            logs.event("peer-failed", "ERROR", error=repr(exc))
        finally:
            self._accepted.discard(writer)
            writer.transport.abort()

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            hello = await read_message(reader)
        info = host_of(hello)
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                message = await read_message(reader)
            if isinstance(message, msg.IndirectMessage):
                await self._carrier.serve(info, message, reader, writer)
                return
            self._handle(info, hello.incarnation, message)

    def _handle(self, info: HostInfo, incarnation: int, message: msg.Message) -> None:
        now = self._gateway.now()
        self._gateway.metrics.count(f"{RECEIVED}{type(message).__name__}")
        if isinstance(message, msg.Alive):
            self._handle_alive(info, incarnation, message, now)
        elif isinstance(message, msg.StoreChanges):
            self._handle_changes(info, message, now)
        elif isinstance(message, msg.StorePull):
            self._answer_pull(info, message)
        elif isinstance(message, msg.VersionPull):
            self._answer_version_pull(info, message)
        elif isinstance(message, msg.VersionPush):
            self._handle_version(info, message)
        elif isinstance(message, msg.KnownHosts):
            self._handle_known_hosts(info, message, now)
        elif isinstance(message, msg.ServerEnded | msg.RequestAnswered):
            self._gateway.crashes.receive(info.host_id, message)
        elif isinstance(message, msg.LostDomains):
            self._handle_lost_domains(info, message)
        elif isinstance(message, msg.ServerLimits | msg.ServersLeaving):
            record_peer_signals(self._gateway, info.host_id, message)
        elif isinstance(message, msg.ServerPaces):
            record_peer_paces(self._gateway, info.host_id, message)
        elif isinstance(message, msg.SilentServers):
            receive_silence(self._gateway, info.host_id, message)
        elif isinstance(message, msg.QuotaMessage):
            answer = self._gateway.quota_admission.receive(info, incarnation, message)
            if answer is not None:
                self._send_to(info, answer)

    def _handle_lost_domains(self, info: HostInfo, message: msg.LostDomains) -> None:
        intermediaries = self._gateway.paths.intermediaries
        intermediaries.set_lost_domains(info.host_id, message.domains)
        logs.event("peer-paths", host_id=info.host_id, lost=sorted(message.domains))

    def _handle_alive(
        self, info: HostInfo, incarnation: int, message: msg.Alive, now: float
    ) -> None:
        gateway = self._gateway
        known = gateway.roster.entries.get(info.host_id)
        if known is None or not known.live(now) or known.leaving != message.leaving:
            logs.event(
                "host-heard",
                host_id=info.host_id,
                incarnation=incarnation,
                leaving=message.leaving,
            )
        changed = gateway.roster.note_alive(
            info,
            incarnation,
            now,
            leaving=message.leaving,
            starting=message.starting,
            store_unreachable=message.store_unreachable,
            subscribes=message.subscribes,
        )
        if changed:
            gateway.hosts_changed()
        placement = gateway.steering.placement
        counts = dict(message.counts)
        if message.whole:
            placement.known.set_peer_counts(info.host_id, counts, now)
        else:
            placement.known.change_peer_counts(info.host_id, counts, now)
        if gateway.cfg.policy.warmth_told:
            placement.known.set_handled(message.handled)
        self._pull_missing(info, message.positions, now)
        self._pull_version(info, message, now)

    def _pull_missing(
        self, info: HostInfo, positions: list[StorePosition], now: float
    ) -> None:
        replica = self._gateway.steering.replica
        for kind, peer in zip(Kind, positions, strict=False):
            own = replica.as_of(kind)
            if self._catch_up.should_ask(kind, own, peer, now):
                self._send_to(info, msg.StorePull(int(kind), own))

    def _pull_version(self, info: HostInfo, message: msg.Alive, now: float) -> None:
        """Ask for the configuration of a host with a later version in force.

        Guards against a host that starts after a restore of the store and serves with
        an older version than the other hosts, until the operator writes the newer one
        again. A host that is only behind the store asks for its changes instead.
        """
        steering = self._gateway.steering
        own_version = steering.config_version
        if not 0 < own_version < message.config_version:
            return
        positions = dict(zip(Kind, message.positions, strict=False))
        own = steering.replica.as_of(Kind.CONFIG)
        if own < positions.get(Kind.CONFIG, START):
            return
        if self._version_catch_up.may_ask(Kind.CONFIG, now):
            self._send_to(info, msg.VersionPull(own_version))

    def _answer_version_pull(self, info: HostInfo, message: msg.VersionPull) -> None:
        steering = self._gateway.steering
        if steering.config_version > message.above:
            text = json.dumps(steering.config_spec)
            self._send_to(info, msg.VersionPush(text))

    def _handle_version(self, info: HostInfo, message: msg.VersionPush) -> None:
        gateway = self._gateway
        before = gateway.steering.config_version
        try:
            taken = gateway.take_configuration(decode(message.text.encode()))
        except UserError as exc:
            gateway.metrics.count("peers.version-refused")
            logs.event("version-refused", "ERROR", source=info.host_id, why=repr(exc))
            return
        if taken:
            version = gateway.steering.config_version
            logs.event(
                "version-taken", source=info.host_id, before=before, config=version
            )

    def _handle_known_hosts(
        self, info: HostInfo, message: msg.KnownHosts, now: float
    ) -> None:
        roster = self._gateway.roster
        by_id = {host.host_id: host for host in self._valid_hosts(info, message)}
        roster.take_peer_view(
            info.host_id,
            PeerView(message.active, by_id, frozenset(message.starting)),
            now,
        )
        self._gateway.hosts_changed()

    def _valid_hosts(
        self, sender: HostInfo, message: msg.KnownHosts
    ) -> Iterator[HostInfo]:
        """Yield the hosts that another host reports; an invalid one is logged instead.

        A host that is known with the same fields was checked before.
        """
        entries = self._gateway.roster.entries
        for fields in message.hosts:
            host = member_info(fields)
            known = entries.get(host.host_id)
            expected = "" if known and known.info == host else invalid_host(host)
            if not expected:
                yield host
                continue
            logs.event(
                "reported-host-rejected",
                "ERROR",
                host_id=host.host_id,
                source=sender.host_id,
                why=expected,
            )

    def _handle_changes(
        self, info: HostInfo, message: msg.StoreChanges, now: float
    ) -> None:
        gateway = self._gateway
        steering = gateway.steering
        update = update_in(message, steering.replica)
        new_documents = gateway.take(update, fresh=message.fresh)
        log_changes(gateway, update, new_documents, info.host_id)
        if message.fresh:
            self._forward(info, message)
            if steering.replica.covers(update):
                gateway.watch_election.note_peer_update(update.kind, now)
        own = steering.replica.as_of(update.kind)
        behind = own < message.since or own.era < message.as_of.era
        if behind and self._catch_up.may_ask(update.kind, now):
            self._send_to(info, msg.StorePull(int(update.kind), own))

    def _answer_pull(self, info: HostInfo, message: msg.StorePull) -> None:
        kind = Kind(message.kind)
        replica = self._gateway.steering.replica
        if replica.as_of(kind) > message.above:
            update = replica.update_since(kind, message.above)
            self._send_to(info, changes_message(update, fresh=False))
