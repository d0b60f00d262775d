"""What other entry hosts say on the streams that they open."""

import asyncio
from collections.abc import Callable

from .. import logs
from ..core import messages as msg
from ..core.catch_up import CatchUp
from ..core.membership import HostInfo, member_info
from ..core.replica import Kind
from ..core.roster import ALIVE_EVERY_S, PeerView
from ..errors import FrameError
from ..greeting import host_of
from ..sockets import set_silence_timeout
from ..wire import read_message
from .context import Gateway
from .signals import take_told
from .store_follower import log_changes
from .store_messages import changes_message, update_in

# A stream that brings nothing for this long has gone silent, in seconds; its sender
# dials again.
QUIET_S = 3 * ALIVE_EVERY_S

# Beginning of the counters of messages from other hosts; the message's name follows.
HEARD = "peers.heard."

SendTo = Callable[[HostInfo, msg.Message], None]
PassOn = Callable[[HostInfo, msg.StoreChanges], None]


class GossipReceiver:
    """Takes what other hosts say into what this host believes.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    send_to : callable
        Sends a message to a host.
    pass_on : callable
        Tells further hosts what one has said of the store.
    """

    __slots__ = ("_accepted", "_catch_up", "_gateway", "_pass_on", "_send_to")

    def __init__(self, gateway: Gateway, send_to: SendTo, pass_on: PassOn) -> None:
        self._accepted: set[asyncio.StreamWriter] = set()
        self._catch_up = CatchUp()
        self._gateway = gateway
        self._pass_on = pass_on
        self._send_to = send_to

    def close(self) -> None:
        """End all streams."""
        for writer in list(self._accepted):
            writer.transport.abort()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take what one stream brings until it ends."""
        self._accepted.add(writer)
        set_silence_timeout(writer.transport)
        try:
            await self._receive(reader)
        except FrameError as exc:
            self._gateway.metrics.count(f"bad-input.{exc.code}")
            logs.event("peer-refused", "WARNING", code=exc.code, why=exc.message)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._gateway.metrics.count("peers.stream-ended")
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
        now = self._gateway.now()
        self._gateway.metrics.count(f"{HEARD}{type(message).__name__}")
        if isinstance(message, msg.Alive):
            self._take_alive(info, incarnation, message, now)
        elif isinstance(message, msg.StoreChanges):
            self._take_changes(info, message, now)
        elif isinstance(message, msg.StorePull):
            self._answer_pull(info, message)
        elif isinstance(message, msg.KnownHosts):
            self._take_hosts(info, message, now)
        elif isinstance(message, msg.ServerEnded | msg.RequestAnswered):
            self._gateway.crashes.heard(info.host_id, message)
        elif isinstance(message, msg.ServerLimits | msg.ServersLeaving):
            take_told(self._gateway, info.host_id, message)
        elif isinstance(message, msg.QuotaMessage):
            answer = self._gateway.quota_admission.heard(info, incarnation, message)
            if answer is not None:
                self._send_to(info, answer)

    def _take_alive(
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
        self._compare(info, message.revisions, now)

    def _compare(self, info: HostInfo, revisions: list[int], now: float) -> None:
        replica = self._gateway.steering.replica
        for kind, theirs in zip(Kind, revisions, strict=False):
            own = replica.as_of(kind)
            if self._catch_up.should_ask(kind, own, theirs, now):
                self._send_to(info, msg.StorePull(int(kind), own))

    def _take_hosts(self, info: HostInfo, message: msg.KnownHosts, now: float) -> None:
        roster = self._gateway.roster
        hosts = [member_info(fields) for fields in message.hosts]
        by_id = {host.host_id: host for host in hosts}
        roster.take_peer_view(
            info.host_id,
            PeerView(message.active, by_id, frozenset(message.starting)),
            now,
        )
        self._gateway.hosts_changed()

    def _take_changes(
        self, info: HostInfo, message: msg.StoreChanges, now: float
    ) -> None:
        gateway = self._gateway
        steering = gateway.steering
        update = update_in(message, steering.replica)
        known = gateway.take(update, fresh=message.fresh)
        log_changes(gateway, update, known, info.host_id)
        own = steering.replica.as_of(update.kind)
        if message.fresh:
            self._pass_on(info, message)
            if own >= message.as_of:
                gateway.watch_election.note_peer_update(update.kind, now)
        if own < message.since and self._catch_up.may_ask(update.kind, now):
            self._send_to(info, msg.StorePull(int(update.kind), own))

    def _answer_pull(self, info: HostInfo, message: msg.StorePull) -> None:
        kind = Kind(message.kind)
        replica = self._gateway.steering.replica
        if replica.as_of(kind) > message.above:
            update = replica.update_since(kind, message.above)
            self._send_to(info, changes_message(update, fresh=False))
