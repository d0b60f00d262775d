"""Quotas of client accounts on one host: its ledger, its keeper and its leases.

No I/O happens here: messages to other hosts are returned, and messages from them are
passed in.

- `holders` decides which hosts own shares of the quotas, so that the shares never
  add up to more than the whole.
- `keeper` grants credit for the accounts that this host keeps.
- `ledger` admits requests on this host. Charges are the requests that it has run
  or will run when they are paid. A receipt acknowledges charges that the keeper has
  paid from its credit. Debt is the requests run and not yet acknowledged as paid.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from .. import messages as msg
from ..accounts import Accounts
from ..messages import MAX_ACCOUNTS_PER_MESSAGE
from ..overload.caller_times import UNKNOWN_TIMES, CallerTimes
from ..randomness import RandomSource
from ..roster import Roster
from .bound import Quota, QuotaBound
from .holders import HolderWatch
from .keeper import LEASE_S, Charge, Incarnation, QuotaKeeper, Receipt
from .ledger import Admission, Outcome, QuotaLedger
from .round_trips import LATE_ROUND_TRIP_S, RoundTrips

T = TypeVar("T")

# Interval at which leases are renewed, in seconds: four times within a lease.
LEASE_RENEWAL_S = 0.3


@dataclass(slots=True, frozen=True)
class ClockReading:
    """One moment on two clocks, in seconds.

    `now` is the monotonic clock, which stops while the machine is suspended. `boot` is
    a clock that also counts suspends.
    """

    now: float
    boot: float


@dataclass(slots=True)
class _Peer:
    """Leases exchanged with another host, which is or was a holder.

    `received_ms` is the newest reading of the other host's clock that has arrived here
    in a lease. `sent_at` is the monotonic time of the last lease that was sent there,
    and `sent_live_mask` the mask of live holders in it.
    """

    incarnation: int = 0
    received_ms: int = 0
    sent_at: float = float("-inf")
    sent_live_mask: int = 0
    # Mask of the live holders in the last lease that was received.
    received_live_mask: int = 0
    # The newest reading of this host's clock that the other host has echoed.
    acked_ms: int = 0
    # Since when the other host may keep accounts, on the clock that counts suspends;
    # None while it may not.
    live_since: float | None = None
    round_trips: RoundTrips = field(default_factory=RoundTrips)
    # Since when this host lends nothing to the other one because it is late, on the
    # clock that counts suspends; None while it is not.
    withdrawn_at: float | None = None


class Quotas:
    """Combines ledger, keeper and leases of one host.

    Parameters
    ----------
    roster : Roster
        The known hosts.
    bound : QuotaBound
        The bound on the requests of all hosts together.
    rng : RandomSource
        Source of jitter.
    first_start : bool
        Whether the whole system starts for the first time.

    Attributes
    ----------
    late_holders : frozenset of str
        Ids of the holders whose messages come too late for them to keep accounts.
    """

    __slots__ = (
        "_accounts",
        "_alive_mask",
        "_bound",
        "_live_mask",
        "_peers",
        "_quotas",
        "_roster",
        "_started_at",
        "keeper",
        "late_holders",
        "ledger",
        "watch",
    )

    def __init__(
        self,
        roster: Roster,
        bound: QuotaBound,
        rng: RandomSource,
        *,
        first_start: bool,
    ) -> None:
        self._accounts: Accounts | None = None
        self._bound = bound
        self._roster = roster
        # Masks of the holders that are alive, and of those that may keep accounts.
        self._alive_mask = 0
        self._live_mask = 0
        self._peers: defaultdict[str, _Peer] = defaultdict(_Peer)
        self._quotas: dict[str, Quota] = {}
        self._started_at: float | None = None
        self.late_holders: frozenset[str] = frozenset()
        self.keeper = QuotaKeeper(roster.own.host_id, bound)
        self.ledger = QuotaLedger(bound, rng)
        self.watch = HolderWatch(roster, first_start=first_start)

    @property
    def in_force(self) -> bool:
        """Return whether any account has a quota."""
        return bool(self._quotas)

    def busy(self, now: float) -> bool:
        """Return whether leases or charges may soon have to be sent.

        If so, `outgoing` must be called again.
        """
        return self.in_force and (
            self.watch.sends_leases(now) or self.ledger.has_unsettled_totals
        )

    def configure(self, accounts: Accounts, at: ClockReading) -> None:
        """Apply the quotas of the accounts in the configuration in force."""
        if accounts is self._accounts:
            return
        self._accounts = accounts
        quotas = {name: a.quota for name, a in accounts.by_name.items() if a.quota}
        if quotas != self._quotas:
            self._quotas = quotas
            self.keeper.configure(quotas, at.boot)
            self.ledger.configure(quotas)
            self._set_keepers()

    def set_bound(self, bound: QuotaBound, at: ClockReading) -> None:
        """Change the bound on the requests of all hosts together."""
        self._bound = bound
        self.keeper.set_bound(bound, at.boot)
        self.ledger.set_bound(bound)

    def review(self, at: ClockReading) -> None:
        """Update the holders, their live mask, and the debt allowed to this host."""
        if self._started_at is None:
            self._started_at = at.now
        holders = self.watch.holders
        self.watch.review(at.now)
        self._alive_mask = self.watch.live_mask(at.now)
        live_mask = self._without_late_holders(at.boot)
        if live_mask != self._live_mask or self.watch.holders is not holders:
            self._live_mask = live_mask
            self._set_keepers()
        self._update_live_since(at.boot)
        self.keeper.remember_view(self.watch.holders)
        self._lend_to_self(at)
        self.ledger.debt_host_count = (
            len(self.watch.holders) if self._may_run_unpaid(at.now) else 0
        )
        self.ledger.caller_host_count = max(1, len(self._roster.active))

    def _without_late_holders(self, boot: float) -> int:
        """Return the mask of the holders that are alive and not late.

        Guards against lending one share twice. A late holder is lent nothing more, but
        it is left out only after it has acknowledged this or its leases have ended.
        """
        mask = self._alive_mask
        late_holders = set()
        for index, host_id in enumerate(self.watch.holders.names):
            peer = self._peers[host_id]
            if not peer.round_trips.late:
                peer.withdrawn_at = None
                continue
            late_holders.add(host_id)
            if peer.withdrawn_at is None:
                peer.withdrawn_at = boot
            leases_ended = boot - peer.withdrawn_at >= LEASE_S
            if leases_ended or peer.acked_ms > peer.withdrawn_at * 1000:
                mask &= ~(1 << index)
        self.late_holders = frozenset(late_holders)
        return mask

    def _may_run_unpaid(self, now: float) -> bool:
        """Return whether this host may run requests that are not paid for.

        Guards against a restart of all hosts that happens twice within the bound's
        window. The debts of the earlier runs are forgotten, so each restart would allow
        the full debt again. A host whose own share counts therefore waits for one
        window after its start, except on the first start of the whole system. A host
        whose own share does not count may run none.
        """
        first = self.watch.first_start
        settled = now - self._started_at >= self._bound.window_s
        return self.watch.own_share_counts and (first or settled)

    def _set_keepers(self) -> None:
        holders = self.watch.holders
        for account in self.ledger.accounts():
            self.ledger.set_keeper(account, holders.keeper(account, self._live_mask))

    def _update_live_since(self, boot: float) -> None:
        for index, host_id in enumerate(self.watch.holders.names):
            peer = self._peers[host_id]
            if not self._live_mask >> index & 1:
                peer.live_since = None
            elif peer.live_since is None:
                peer.live_since = boot

    def _lend_to_self(self, at: ClockReading) -> None:
        """Lend this host's own share to itself, for the accounts that it keeps."""
        own = self._roster.own.host_id
        live_mask = (
            self._live_mask
            if self.watch.own_share_counts and not self._roster.out_of_service
            else 0
        )
        key = self.watch.holders.key
        self.keeper.set_lease(own, key, live_mask, at.boot + LEASE_S, at.boot)

    def leave(self, at: ClockReading) -> None:
        """Stop keeping accounts; call before announcing that this host shuts down."""
        self.keeper.end_leases(at.boot)

    def ask(
        self, account: str, at: ClockReading, caller: CallerTimes = UNKNOWN_TIMES
    ) -> Admission:
        """Decide on a request of an account, see `QuotaLedger.ask`.

        If this host keeps the account itself, a request that would wait is decided
        at once when possible, unless older ones wait.
        """
        admission = self.ledger.ask(account, at.now, caller)
        if self.ledger.keeper(account) != self._roster.own.host_id:
            return admission
        self._charge_own(self.ledger.next_charge(account, at.now), at)
        if admission.outcome is not Outcome.WAITING or self.ledger.waiting(account) > 1:
            return admission
        decided = self.ledger.decide_waiting(account, at.now)
        if decided.admitted:
            return Admission(Outcome.ADMITTED, keeper=admission.keeper)
        if decided.refused:
            return self.ledger.refusal(account, at.now, caller)
        return admission

    def _charge_own(self, charge: Charge, at: ClockReading) -> None:
        """Charge this host's own requests of an account that it keeps itself."""
        own = self._roster.own.host_id
        receipt = self.keeper.charge((own, 0), charge, at.boot)
        if receipt is not None:
            self.ledger.take_receipt(own, receipt, at.now)

    def outgoing(self, at: ClockReading) -> Iterator[tuple[str, msg.Message]]:
        """Yield the messages that are due, each with the id of its receiver."""
        yield from self._leases(at)
        yield from self._receipts(at)
        yield from self._charges(at)

    def _leases(self, at: ClockReading) -> Iterator[tuple[str, msg.Message]]:
        if not self.watch.sends_leases(at.now):
            return
        for index, peer in self._peers_in(self._alive_mask):
            live_mask = self._live_mask_for(index, peer, at.boot)
            if (
                live_mask == peer.sent_live_mask
                and at.now - peer.sent_at < LEASE_RENEWAL_S
            ):
                continue
            peer.sent_live_mask = live_mask
            peer.sent_at = at.now
            sent_ms = int(at.boot * 1000)
            key = self.watch.holders.key
            host_id = self.watch.holders.names[index]
            yield host_id, msg.QuotaLease(key, live_mask, sent_ms, peer.received_ms)

    def _live_mask_for(self, index: int, peer: _Peer, boot: float) -> int:
        """Return the mask of live holders to send to another holder in a lease.

        The mask is 0, which lends nothing, while this host's own share does not count,
        this host is out of service, or the other holder is late.

        Guards against lending one share twice. When a holder becomes alive, this host's
        share of the accounts that the newcomer will keep may still be lent to another
        holder, which does not know of the newcomer yet. So the newcomer gets a mask
        without itself until all other live holders have acknowledged a lease that was
        sent after the newcomer became alive, or every older lease has ended.
        """
        if not self.watch.own_share_counts or self._roster.out_of_service:
            return 0
        if peer.withdrawn_at is not None:
            return 0
        older_leases_ended = boot - peer.live_since >= LEASE_S
        if older_leases_ended or self._all_acknowledged(peer):
            return self._live_mask
        return self._live_mask & ~(1 << index)

    def _all_acknowledged(self, newcomer: _Peer) -> bool:
        """Return whether all other live holders know that `newcomer` is alive.

        A holder knows it once it has echoed a reading of this host's clock that was
        sent in a lease after the newcomer became alive.
        """
        since_ms = newcomer.live_since * 1000
        return all(
            peer is newcomer or peer.acked_ms >= since_ms
            for index, peer in self._peers_in(self._live_mask)
        )

    def _peers_in(self, mask: int) -> Iterator[tuple[int, _Peer]]:
        """Yield the other holders in a mask, each with its index in `Holders.names`."""
        own = self._roster.own.host_id
        for index, host_id in enumerate(self.watch.holders.names):
            if host_id != own and mask >> index & 1:
                yield index, self._peers[host_id]

    def _receipts(self, at: ClockReading) -> Iterator[tuple[str, msg.Message]]:
        own = self._roster.own.host_id
        batches: dict[str, list[Receipt]] = {}
        for host_id, receipt in self.keeper.review(at.boot):
            if host_id == own:
                self.ledger.take_receipt(own, receipt, at.now)
            else:
                batches.setdefault(host_id, []).append(receipt)
        for host_id, receipts in batches.items():
            for batch in _in_batches(receipts):
                yield host_id, receipts_message(batch)

    def _charges(self, at: ClockReading) -> Iterator[tuple[str, msg.Message]]:
        own = self._roster.own.host_id
        batches: dict[str, list[Charge]] = {}
        for keeper, charge in self.ledger.due_charges(at.now):
            if keeper == own:
                self._charge_own(charge, at)
            else:
                batches.setdefault(keeper, []).append(charge)
        for keeper, charges in batches.items():
            for batch in _in_batches(charges):
                items = [(c.account, c.charged, c.returned, c.paid) for c in batch]
                yield keeper, msg.QuotaCharges(items)

    def on_lease(
        self, host: Incarnation, message: msg.QuotaLease, at: ClockReading
    ) -> None:
        """Process a lease of shares from another host."""
        host_id, incarnation = host
        self.watch.note_reported_view(host_id, message.key)
        peer = self._peers[host_id]
        if peer.incarnation != incarnation:
            # If the sender's machine has restarted, its clock has restarted too.
            peer.incarnation = incarnation
            peer.received_ms = 0
            peer.acked_ms = 0
            peer.round_trips = RoundTrips()
        self._note_round_trip(peer, message, at)
        peer.received_ms = max(peer.received_ms, message.sent_ms)
        peer.acked_ms = max(peer.acked_ms, message.echo_ms)
        if peer.received_live_mask != message.live:
            # The sender of the lease waits for an echo of its clock, so this host's
            # next lease to it, which carries the echo, is due at once.
            peer.received_live_mask = message.live
            peer.sent_at = float("-inf")
        ends_at = message.echo_ms / 1000 + LEASE_S
        # A lease that echoes a reading ahead of this host's clock answers a message
        # sent before this machine restarted.
        valid = not self._roster.out_of_service and ends_at <= at.boot + LEASE_S
        live_mask = message.live if valid else 0
        self.keeper.set_lease(host_id, message.key, live_mask, ends_at, at.boot)

    def _note_round_trip(
        self, peer: _Peer, message: msg.QuotaLease, at: ClockReading
    ) -> None:
        """Note how long the newest reading of this host's clock was on its way."""
        round_trip_s = at.boot - message.echo_ms / 1000
        if message.echo_ms <= peer.acked_ms or round_trip_s < 0:
            return
        peer.round_trips.note(round_trip_s, at.now)
        if round_trip_s > LATE_ROUND_TRIP_S:
            # The other host's clock is echoed at once, so that its next round trip is
            # not prolonged by the interval of the leases.
            peer.sent_at = float("-inf")

    def on_charges(
        self, host: Incarnation, message: msg.QuotaCharges, at: ClockReading
    ) -> msg.QuotaReceipts | None:
        """Process the charges of another host; return the receipts, if any."""
        found = (
            self.keeper.charge(host, Charge(*item), at.boot) for item in message.items
        )
        receipts = [receipt for receipt in found if receipt is not None]
        return receipts_message(receipts) if receipts else None

    def on_receipts(
        self, host_id: str, message: msg.QuotaReceipts, at: ClockReading
    ) -> list[str]:
        """Process a keeper's receipts; return the accounts of the valid ones."""
        receipts = [Receipt(*item) for item in message.items]
        return [
            r.account for r in receipts if self.ledger.take_receipt(host_id, r, at.now)
        ]


def _in_batches(items: Sequence[T]) -> Iterator[Sequence[T]]:
    """Yield items in batches that fit into one message."""
    for first in range(0, len(items), MAX_ACCOUNTS_PER_MESSAGE):
        yield items[first : first + MAX_ACCOUNTS_PER_MESSAGE]


def receipts_message(receipts: Sequence[Receipt]) -> msg.QuotaReceipts:
    """Return the message that carries receipts."""
    items = [(r.account, r.returned, r.paid, r.wait_s) for r in receipts]
    return msg.QuotaReceipts(items)
