"""The core of a host: takes in every event and returns the actions to carry out."""

from collections.abc import Iterator

from . import messages as msg
from .actions import Action, Count, Log, SendPeer
from .claims import ClaimKeeper
from .config import Entry
from .events import (
    AttemptEnded,
    ConfigSeen,
    Event,
    FirstByteWritten,
    HeadForwarded,
    HostsListed,
    ObjectsLoaded,
    PeerBroken,
    PeerConnected,
    PeerMessage,
    RequestArrived,
    RequestCancelled,
    ServerProbed,
    ShutdownAsked,
    Tick,
    WriteEnded,
)
from .keeper import KeeperPolicy
from .keeper_set import KeeperSet
from .lookup import LookupAnswer, LookupRefusal, answer
from .membership import LEAVING, HostInfo, Membership, member_fields, member_info
from .planner_set import PlannerSet
from .randomness import RandomSource
from .reports import Reporter
from .requests import RequestTable
from .resources import PLAN, split_key
from .slew import EffectivePlan
from .view import View

# Shortest interval between two requests to other hosts for newer configuration.
PULL_INTERVAL_S = 0.3
# Interval at which the core checks for due heartbeats and reviews the slot keepers.
REVIEW_INTERVAL_S = 0.4


class HostCore:
    """Takes all decisions of one host.

    Any driver can run the core: it passes every event to `handle`, with the time of a
    monotonic clock, and carries out the returned actions in order. The core does no
    I/O, reads no clock and draws random numbers only from the source passed in.

    Parameters
    ----------
    own : HostInfo
        This host.
    incarnation : int
        Random 24-bit number that identifies this run of the process.
    rng : RandomSource
        Source of random numbers, such as for jitter.
    policy : KeeperPolicy, optional
        Admission settings.

    Attributes
    ----------
    epoch : int
        Version of the state that look-ups depend on. It rises with every change that an
        answer could show; answers prepared in an earlier epoch are no longer used.
    """

    __slots__ = (
        "_last_live",
        "_pulled_at",
        "_review_due",
        "_reviewed_at",
        "claims",
        "epoch",
        "keepers",
        "planners",
        "reporter",
        "requests",
        "view",
    )

    def __init__(
        self,
        own: HostInfo,
        incarnation: int,
        rng: RandomSource,
        policy: KeeperPolicy | None = None,
    ) -> None:
        self.view = View(Membership(own), incarnation, rng)
        self.claims = ClaimKeeper(self.view)
        self.requests = RequestTable(self.view, self.claims)
        self.keepers = KeeperSet(self.view, policy or KeeperPolicy())
        self.planners = PlannerSet(self.view)
        self.reporter = Reporter(self.view, self.requests, self.keepers)
        self._reviewed_at = float("-inf")
        self._pulled_at = float("-inf")
        self._review_due = True
        self._last_live: list[HostInfo] = []
        self.epoch = 0

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the actions to carry out, in order.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Seconds on a monotonic clock.

        Returns
        -------
        actions : list of Action
        """
        handler = _HANDLERS[type(event)]
        return list(self._resolve(handler(self, event, now), now))

    def lookup(
        self, service: str, address: int | None, caller: str, now: float
    ) -> LookupAnswer | LookupRefusal:
        """Return the entry hosts for a caller; see `lookup.answer`."""
        view = self.view
        return answer(
            view.config,
            view.members,
            view.plans,
            service,
            address,
            caller,
            view.rng,
            now,
        )

    def idle(self) -> bool:
        """Return whether no caller's request is open on this host."""
        return not self.requests.requests

    def busy(self) -> bool:
        """Return whether ticks are urgent.

        They are while a caller's request is open here, a request waits for a permit of
        a keeper on this host, or a claim or a freed key waits to be written.
        """
        queued = any(keeper.queue for keeper in self.keepers.keepers.values())
        return queued or self.claims.busy() or not self.idle()

    def _resolve(self, actions: Iterator[Action], now: float) -> Iterator[Action]:
        """Deliver messages to this host itself at once; yield all other actions."""
        own = self.view.own.host_id
        for action in actions:
            if isinstance(action, SendPeer) and action.host_id == own:
                yield from self._resolve(
                    self._on_message(own, action.message, now), now
                )
            else:
                yield action

    def _note_membership(self, now: float) -> None:
        """Start a new epoch if the live hosts have changed."""
        live = self.view.members.live(now)
        if live is not self._last_live:
            # `Membership` returns the same list object while the live and leaving hosts
            # are the same.
            self._last_live = live
            self.epoch += 1

    def _tick(self, _event: Tick, now: float) -> Iterator[Action]:
        self._advance_plans(now)
        self._note_membership(now)
        if now - self._reviewed_at >= REVIEW_INTERVAL_S:
            self._reviewed_at = now
            yield from self._heartbeats(now, all_now=False)
            self._review_due = True
        if self._review_due:
            self._review_due = False
            yield from self.keepers.review(now)
        yield from self.requests.tick(now)
        yield from self.keepers.tick(now)
        yield from self.claims.tick(now)
        yield from self.planners.tick(now)
        yield from self.reporter.tick(now)

    def _heartbeats(self, now: float, *, all_now: bool) -> Iterator[Action]:
        view = self.view
        due = view.members.due_heartbeats(now, all_now=all_now)
        if not due:
            return
        heartbeat = msg.Heartbeat(
            view.members.own_state,
            view.config.revision,
            view.buckets_behind(),
            self.keepers.leaving(),
            self.keepers.loads(now),
        )
        for state in due:
            yield SendPeer(state.info.host_id, heartbeat)

    def _advance_plans(self, now: float) -> None:
        for service, plan in self.view.plans.items():
            if plan.advance(self.view.config.cap(service), now):
                self.epoch += 1

    def _connected(self, event: PeerConnected, now: float) -> Iterator[Action]:
        self.view.members.on_hello(event.info, event.incarnation, now)
        self._review_due = True
        known = [member_fields(info) for info in self.view.members.hosts()]
        yield SendPeer(event.info.host_id, msg.Members(known))

    def _broken(self, event: PeerBroken, now: float) -> Iterator[Action]:
        self.view.members.on_broken(event.host_id, now)
        self._review_due = True
        yield from self.keepers.host_down(event.host_id, now)
        yield from self.requests.tick(now)

    def _peer_message(self, event: PeerMessage, now: float) -> Iterator[Action]:
        yield from self._on_message(event.host_id, event.message, now)

    def _on_message(
        self, host_id: str, message: msg.Message, now: float
    ) -> Iterator[Action]:
        handler = _MESSAGE_HANDLERS.get(type(message))
        if handler is not None:
            yield from handler(self, host_id, message, now)

    def _for_keeper(
        self, host_id: str, message: msg.Message, now: float
    ) -> Iterator[Action]:
        yield from self.keepers.on_message(host_id, message, now)

    def _on_grant(self, host_id: str, grant: msg.Grant, now: float) -> Iterator[Action]:
        yield from self.requests.granted(host_id, grant, now)

    def _on_denied(
        self, host_id: str, denied: msg.Denied, now: float
    ) -> Iterator[Action]:
        yield from self.requests.denied(host_id, denied, now)

    def _on_claim(self, host_id: str, claim: msg.Claim, now: float) -> Iterator[Action]:
        yield from self.claims.on_claim(host_id, claim, now)

    def _on_claim_ended(
        self, _host_id: str, ended: msg.ClaimEnded, now: float
    ) -> Iterator[Action]:
        yield from self.requests.claim_ended(ended, now)

    def _on_unclaim(
        self, _host_id: str, unclaim: msg.Unclaim, now: float
    ) -> Iterator[Action]:
        yield from self.claims.on_unclaim(unclaim, now)

    def _on_held_query(
        self, host_id: str, query: msg.HeldQuery, _now: float
    ) -> Iterator[Action]:
        held = self.requests.held(query.service, query.region)
        report = msg.HeldReport(query.service, query.region, query.term, held)
        yield SendPeer(host_id, report)

    def _on_load(
        self, _host_id: str, load: msg.RegionLoad, now: float
    ) -> Iterator[Action]:
        self.planners.on_load(load, now)
        yield from ()

    def _on_push(
        self, _host_id: str, push: msg.ConfigPush, now: float
    ) -> Iterator[Action]:
        entries = [Entry(*item) for item in push.entries]
        yield from self._merge(entries, push.revision, push.complete, now)

    def _on_members(
        self, _host_id: str, members: msg.Members, now: float
    ) -> Iterator[Action]:
        hosts = [member_info(item) for item in members.hosts]
        self.view.members.learn(hosts, now)
        yield from ()

    def _on_heartbeat(
        self, host_id: str, heartbeat: msg.Heartbeat, now: float
    ) -> Iterator[Action]:
        before = self.view.members.state_of(host_id, now)
        self.view.members.on_heartbeat(host_id, heartbeat, now)
        if self.view.members.state_of(host_id, now) != before:
            self._review_due = True
        own = self.view.config.revision
        if heartbeat.revision > own and now - self._pulled_at > PULL_INTERVAL_S:
            # The other host has newer configuration: the platform is down or slow for
            # this host. Entries carry versions, so an entry from another host never
            # replaces a newer one.
            self._pulled_at = now
            yield Count("config.pulls")
            yield SendPeer(host_id, msg.ConfigPull(own))

    def _on_pull(
        self, host_id: str, pull: msg.ConfigPull, _now: float
    ) -> Iterator[Action]:
        config = self.view.config
        if not config.complete:
            return
        entries = [
            (entry.key, entry.version, entry.text) for entry in config.above(pull.above)
        ]
        yield SendPeer(host_id, msg.ConfigPush(config.revision, entries, True))

    def _config_seen(self, event: ConfigSeen, now: float) -> Iterator[Action]:
        yield from self._merge(event.entries, event.revision, True, now)

    def _merge(
        self, entries: list[Entry], revision: int, complete: bool, now: float
    ) -> Iterator[Action]:
        config = self.view.config
        before = config.revision
        changed = config.merge(entries, revision, complete)
        for key in changed:
            kind, name = split_key(key)
            if kind == PLAN:
                self._adopt_plan(name, now)
            yield Log("config-in-force", {"key": key, "revision": config.revision})
            if key in config.rejected:
                yield Count("config.rejected")
                reason = config.rejected[key]
                yield Log("config-rejected", {"key": key, "reason": reason})
        if not changed and config.revision == before:
            return
        self.epoch += 1
        self._apply_host_drains()
        yield from self.keepers.review(now)
        yield from self._heartbeats(now, all_now=True)
        yield from self.reporter.tick(now)

    def _apply_host_drains(self) -> None:
        members = self.view.members
        drained = self.view.config.drained_hosts()
        members.set_drained(drained)
        if members.own.host_id in drained:
            members.leave()

    def _adopt_plan(self, service: str, now: float) -> None:
        plan = self.view.config.plans.get(service)
        if plan is None:
            self.view.plans.pop(service, None)
            return
        cap = self.view.config.cap(service)
        effective = self.view.plans.setdefault(service, EffectivePlan())
        effective.adopt(plan, cap, now)
        self.planners.on_plan(service, now)

    def _hosts_listed(self, event: HostsListed, now: float) -> Iterator[Action]:
        members = self.view.members
        members.on_list(event.hosts, now)
        members.set_drained(self.view.config.drained_hosts())
        own = members.own.host_id
        listed = {info.host_id: info.listed for info in event.hosts}
        if listed.get(own) == LEAVING:
            members.leave()
        if event.leaving_servers != self.view.listed_leaving:
            self.view.listed_leaving = event.leaving_servers
            yield Log("servers-leaving", {"listed": ",".join(event.leaving_servers)})
        yield from self.keepers.review(now)

    def _write_ended(self, event: WriteEnded, now: float) -> Iterator[Action]:
        if self.claims.owns_call(event.call_id):
            yield from self.claims.write_ended(event, now)
        elif self.planners.owns_call(event.call_id):
            yield from self.planners.write_ended(event)
        elif self.reporter.owns_call(event.call_id):
            self.reporter.write_ended(event)

    def _objects_loaded(self, event: ObjectsLoaded, now: float) -> Iterator[Action]:
        if self.claims.owns_call(event.call_id):
            yield from self.claims.loaded(event, now)

    def _request(self, event: RequestArrived, now: float) -> Iterator[Action]:
        yield from self.requests.arrived(event, now)

    def _cancelled(self, event: RequestCancelled, now: float) -> Iterator[Action]:
        yield from self.requests.cancelled(event.request_id, now)

    def _first_byte(self, event: FirstByteWritten, _now: float) -> Iterator[Action]:
        self.requests.first_byte(event.request_id, event.attempt)
        yield from ()

    def _head(self, event: HeadForwarded, _now: float) -> Iterator[Action]:
        self.requests.head_forwarded(event.request_id, event.attempt)
        yield from ()

    def _attempt_ended(self, event: AttemptEnded, now: float) -> Iterator[Action]:
        yield from self.requests.attempt_ended(event, now)

    def _probed(self, event: ServerProbed, now: float) -> Iterator[Action]:
        announced = self.view.announced_leaving
        before = event.server_id in announced
        if event.draining != before and event.reachable:
            (announced.add if event.draining else announced.discard)(event.server_id)
            yield Log(
                "server-signal",
                {"server": event.server_id, "draining": event.draining},
            )
            yield from self.keepers.review(now)
        yield from self.keepers.probed(
            event.service, event.server_id, event.reachable, now
        )

    def _shutdown(self, _event: ShutdownAsked, now: float) -> Iterator[Action]:
        self.view.members.leave()
        yield Log("host-leaving", {"requests": len(self.requests.requests)})
        yield from self._heartbeats(now, all_now=True)
        yield from self.keepers.review(now)


_HANDLERS = {
    Tick: HostCore._tick,
    PeerConnected: HostCore._connected,
    PeerBroken: HostCore._broken,
    PeerMessage: HostCore._peer_message,
    ConfigSeen: HostCore._config_seen,
    HostsListed: HostCore._hosts_listed,
    WriteEnded: HostCore._write_ended,
    ObjectsLoaded: HostCore._objects_loaded,
    RequestArrived: HostCore._request,
    RequestCancelled: HostCore._cancelled,
    FirstByteWritten: HostCore._first_byte,
    HeadForwarded: HostCore._head,
    AttemptEnded: HostCore._attempt_ended,
    ServerProbed: HostCore._probed,
    ShutdownAsked: HostCore._shutdown,
}

_MESSAGE_HANDLERS = {
    msg.Acquire: HostCore._for_keeper,
    msg.Release: HostCore._for_keeper,
    msg.Renew: HostCore._for_keeper,
    msg.Reuse: HostCore._for_keeper,
    msg.Withdraw: HostCore._for_keeper,
    msg.HeldReport: HostCore._for_keeper,
    msg.Grant: HostCore._on_grant,
    msg.Denied: HostCore._on_denied,
    msg.Claim: HostCore._on_claim,
    msg.ClaimEnded: HostCore._on_claim_ended,
    msg.Unclaim: HostCore._on_unclaim,
    msg.HeldQuery: HostCore._on_held_query,
    msg.RegionLoad: HostCore._on_load,
    msg.Heartbeat: HostCore._on_heartbeat,
    msg.ConfigPull: HostCore._on_pull,
    msg.ConfigPush: HostCore._on_push,
    msg.Members: HostCore._on_members,
}
