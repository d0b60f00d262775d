"""Quotas of client accounts on one host: its ledger, what it keeps, what it lends.

No I/O: what others are to be told is returned as messages, and what they tell is handed
in. `quota_holders` says how the promise holds, `quota_keeper` and `quota_ledger` how it
is kept on each side.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

from . import messages as msg
from .accounts import Accounts
from .messages import MAX_ACCOUNTS_PER_MESSAGE
from .quota import Quota, QuotaBound
from .quota_holders import HolderWatch
from .quota_keeper import LEASE_S, Charge, Incarnation, QuotaKeeper, Receipt
from .quota_ledger import Admission, Outcome, QuotaLedger
from .randomness import RandomSource
from .roster import Roster

T = TypeVar("T")

# How often shares are lent again, in seconds: four times within a lease.
LEND_EVERY_S = 0.3


@dataclass(slots=True, frozen=True)
class ClockReading:
    """One moment: `now` on the ordinary clock, `boot` on one that counts suspends."""

    now: float
    boot: float


@dataclass(slots=True)
class _Peer:
    """What another holder has said, and what it was told."""

    incarnation: int = 0
    heard_ms: int = 0
    told_at: float = float("-inf")
    told_live: int = 0
    # The holders that it goes by, as it told last.
    said_live: int = 0
    # This host's clock as it had heard it when it spoke last.
    acked_ms: int = 0
    # Since when this host sees it live, on the clock that counts suspends.
    live_since: float | None = None


class Quotas:
    """All that one host does about quotas.

    Parameters
    ----------
    roster : Roster
        The known hosts.
    bound : QuotaBound
        What all hosts keep to.
    rng : RandomSource
        Source of spreads.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    __slots__ = (
        "_accounts",
        "_bound",
        "_live",
        "_peers",
        "_quotas",
        "_roster",
        "_started_at",
        "keeper",
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
        self._live = 0
        self._peers: dict[str, _Peer] = {}
        self._quotas: dict[str, Quota] = {}
        self._started_at: float | None = None
        self.keeper = QuotaKeeper(roster.own.host_id, bound)
        self.ledger = QuotaLedger(bound, rng)
        self.watch = HolderWatch(roster, first_start=first_start)

    @property
    def in_force(self) -> bool:
        """Tell whether any account has a quota."""
        return bool(self._quotas)

    def busy(self, now: float) -> bool:
        """Tell whether anything may be due within moments."""
        return self.in_force and (self.watch.tells(now) or self.ledger.has_open)

    # What is known

    def configure(self, accounts: Accounts, at: ClockReading) -> None:
        """Take over the accounts of the configuration in force."""
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
        """Take over what all hosts keep to."""
        self._bound = bound
        self.keeper.set_bound(bound, at.boot)
        self.ledger.set_bound(bound)

    def review(self, at: ClockReading) -> None:
        """Take over who holds shares, who lives, and what this host may run unpaid."""
        if self._started_at is None:
            self._started_at = at.now
        holders = self.watch.holders
        self.watch.review(at.now)
        live = self.watch.live(at.now)
        if live != self._live or self.watch.holders is not holders:
            self._live = live
            self._set_keepers()
        self._note_live(at.boot)
        self.keeper.know(self.watch.holders)
        self._lend_own(at)
        self.ledger.holders = len(self.watch.holders) if self._may_owe(at.now) else 0
        self.ledger.callers_parts = max(1, len(self._roster.active))

    def _may_owe(self, now: float) -> bool:
        """Tell whether this host may run requests that are not paid for.

        Failure: all hosts are killed and start again, twice within a window. Each time
        they would owe as much anew, and nobody knows what the earlier runs owed.
        """
        first = self.watch.first_start
        settled = now - self._started_at >= self._bound.window_s
        return self.watch.good and (first or settled)

    def _set_keepers(self) -> None:
        holders = self.watch.holders
        for account in self.ledger.accounts():
            self.ledger.set_keeper(account, holders.keeper(account, self._live))

    def _note_live(self, boot: float) -> None:
        for place, host_id in enumerate(self.watch.holders.names):
            peer = self._peers.setdefault(host_id, _Peer())
            if not self._live >> place & 1:
                peer.live_since = None
            elif peer.live_since is None:
                peer.live_since = boot

    def _lend_own(self, at: ClockReading) -> None:
        own = self._roster.own.host_id
        live = self._live if self.watch.good and not self._roster.out_of_service else 0
        key = self.watch.holders.key
        self.keeper.lend(own, key, live, at.boot + LEASE_S, at.boot)

    def leave(self, at: ClockReading) -> None:
        """Keep nothing any more: this host is about to say that it leaves."""
        self.keeper.give_up(at.boot)

    # Requests

    def ask(self, account: str, at: ClockReading) -> Admission:
        """Decide on a request of an account, see `QuotaLedger.ask`."""
        found = self.ledger.ask(account, at.now)
        if self.ledger.keeper(account) != self._roster.own.host_id:
            return found
        self._charge_own(self.ledger.next_charge(account, at.now), at)
        if found.outcome is not Outcome.WAITING:
            return found
        decided = self.ledger.decided(account, at.now)
        if decided.admitted:
            return Admission(Outcome.ADMITTED, keeper=found.keeper)
        if decided.refused:
            return self.ledger.refusal(account, at.now)
        return found

    def _charge_own(self, charge: Charge, at: ClockReading) -> None:
        """Charge what this host runs for an account that it keeps itself."""
        own = self._roster.own.host_id
        receipt = self.keeper.charge((own, 0), charge, at.boot)
        if receipt is not None:
            self.ledger.paid(own, receipt, at.now)

    # What others are told

    def outgoing(self, at: ClockReading) -> Iterator[tuple[str, msg.Message]]:
        """Yield the messages that are due, and to whom."""
        yield from self._leases(at)
        yield from self._receipts(at)
        yield from self._charges(at)

    def _leases(self, at: ClockReading) -> Iterator[tuple[str, msg.Message]]:
        if not self.watch.tells(at.now):
            return
        for place, peer in self._living_peers():
            live = self._lent_to(place, peer, at.boot)
            if live == peer.told_live and at.now - peer.told_at < LEND_EVERY_S:
                continue
            peer.told_live = live
            peer.told_at = at.now
            sent_ms = int(at.boot * 1000)
            key = self.watch.holders.key
            host_id = self.watch.holders.names[place]
            yield host_id, msg.QuotaLease(key, live, sent_ms, peer.heard_ms)

    def _lent_to(self, place: int, peer: _Peer, boot: float) -> int:
        """Return the holders that another one is told to go by.

        Failure: a holder appears, and its accounts were lent to another one that has
        not heard of it yet. So the newcomer is told to go by the holders without itself
        until all others have heard, or every lease to them has ended.
        """
        if not self.watch.good or self._roster.out_of_service:
            return 0
        ended = boot - peer.live_since >= LEASE_S
        if ended or self._all_heard_of(peer):
            return self._live
        return self._live & ~(1 << place)

    def _all_heard_of(self, newcomer: _Peer) -> bool:
        since_ms = newcomer.live_since * 1000
        return all(
            peer is newcomer or peer.acked_ms >= since_ms
            for place, peer in self._living_peers()
        )

    def _living_peers(self) -> Iterator[tuple[int, _Peer]]:
        """Yield the other holders that live, and their places."""
        own = self._roster.own.host_id
        for place, host_id in enumerate(self.watch.holders.names):
            if host_id != own and self._live >> place & 1:
                yield place, self._peers[host_id]

    def _receipts(self, at: ClockReading) -> Iterator[tuple[str, msg.Message]]:
        own = self._roster.own.host_id
        told: dict[str, list[Receipt]] = {}
        for host_id, receipt in self.keeper.review(at.boot):
            if host_id == own:
                self.ledger.paid(own, receipt, at.now)
            else:
                told.setdefault(host_id, []).append(receipt)
        for host_id, receipts in told.items():
            for some in _in_parts(receipts):
                yield host_id, receipts_message(some)

    def _charges(self, at: ClockReading) -> Iterator[tuple[str, msg.Message]]:
        own = self._roster.own.host_id
        told: dict[str, list[Charge]] = {}
        for keeper, charge in self.ledger.to_tell(at.now):
            if keeper == own:
                self._charge_own(charge, at)
            else:
                told.setdefault(keeper, []).append(charge)
        for keeper, charges in told.items():
            for some in _in_parts(charges):
                items = [(c.account, c.charged, c.returned, c.paid) for c in some]
                yield keeper, msg.QuotaCharges(items)

    # What others tell

    def on_lease(
        self, host: Incarnation, message: msg.QuotaLease, at: ClockReading
    ) -> None:
        """Take over the shares that a host lends."""
        host_id, incarnation = host
        self.watch.counted(host_id, message.key)
        peer = self._peers.setdefault(host_id, _Peer())
        if peer.incarnation != incarnation:
            # Its clock may have started again with its machine.
            peer.incarnation = incarnation
            peer.heard_ms = 0
            peer.acked_ms = 0
        peer.heard_ms = max(peer.heard_ms, message.sent_ms)
        peer.acked_ms = max(peer.acked_ms, message.echo_ms)
        if peer.said_live != message.live:
            # It waits to hear that this is known here.
            peer.said_live = message.live
            peer.told_at = float("-inf")
        until = message.echo_ms / 1000 + LEASE_S
        # An echo from the future is one of an earlier start of this machine.
        valid = not self._roster.out_of_service and until <= at.boot + LEASE_S
        live = message.live if valid else 0
        self.keeper.lend(host_id, message.key, live, until, at.boot)

    def on_charges(
        self, host: Incarnation, message: msg.QuotaCharges, at: ClockReading
    ) -> msg.QuotaReceipts | None:
        """Take in what a host runs; return the receipts for it, if any."""
        found = (
            self.keeper.charge(host, Charge(*item), at.boot) for item in message.items
        )
        receipts = [receipt for receipt in found if receipt is not None]
        return receipts_message(receipts) if receipts else None

    def on_receipts(
        self, host_id: str, message: msg.QuotaReceipts, at: ClockReading
    ) -> list[str]:
        """Take in what is paid; return the accounts that it concerns."""
        receipts = [Receipt(*item) for item in message.items]
        return [r.account for r in receipts if self.ledger.paid(host_id, r, at.now)]


def _in_parts(items: Sequence[T]) -> Iterator[Sequence[T]]:
    """Yield items in parts that one message carries."""
    for first in range(0, len(items), MAX_ACCOUNTS_PER_MESSAGE):
        yield items[first : first + MAX_ACCOUNTS_PER_MESSAGE]


def receipts_message(receipts: Sequence[Receipt]) -> msg.QuotaReceipts:
    """Return the message that carries receipts."""
    items = [(r.account, r.returned, r.paid, r.wait_s) for r in receipts]
    return msg.QuotaReceipts(items)
