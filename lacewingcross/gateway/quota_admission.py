"""Quotas on this host: requests that wait for a keeper's word, and the messages."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from .. import logs
from ..core import messages as msg
from ..core.membership import HostInfo
from ..core.quota_ledger import MAX_WAIT_S, Admission, Outcome
from ..core.quotas import ClockReading, Quotas
from ..core.roster import Roster
from ..metrics import Metrics

# How often charges and leases that are due are told, in seconds.
TELL_EVERY_S = 0.04
# The same at a host that holds no share and has nothing open: 25 idle turns a second
# would be most of what a host that stands by does.
IDLE_S = 0.25
# Accounts with counters of their own; all others share one.
COUNTED_MOST = 100

SendTo = Callable[[HostInfo, msg.Message], None]


class QuotaAdmission:
    """Admits requests of client accounts.

    Parameters
    ----------
    quotas : Quotas
        Decisions.
    roster : Roster
        Addresses of other hosts.
    metrics : Metrics
        Figures of this host.
    times : callable
        Returns the moment on both clocks.
    """

    __slots__ = (
        "_asked",
        "_counted",
        "_metrics",
        "_quotas",
        "_roster",
        "_times",
        "_waiters",
    )

    def __init__(
        self,
        quotas: Quotas,
        roster: Roster,
        metrics: Metrics,
        times: Callable[[], ClockReading],
    ) -> None:
        self._quotas = quotas
        self._roster = roster
        self._metrics = metrics
        self._times = times
        self._waiters: dict[str, deque[asyncio.Future[Outcome]]] = {}
        self._counted: set[str] = set()
        # Set by each request, so that a keeper is asked at once.
        self._asked = asyncio.Event()

    async def admit(self, account: str) -> Admission:
        """Return whether a request of an account may run; it waits moments at most."""
        found = self._quotas.ask(account, self._times())
        self._asked.set()
        if found.outcome is Outcome.WAITING:
            found = await self._wait(account, found)
        self._count(account, found.outcome)
        return found

    async def _wait(self, account: str, asked: Admission) -> Admission:
        fut = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(account, deque())
        waiters.append(fut)
        outcome = Outcome.REFUSED
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                outcome = await fut
        except TimeoutError:
            outcome = _decision(fut)
        except asyncio.CancelledError:
            # The caller has left in the moment in which its request was admitted.
            if _decision(fut) is Outcome.ADMITTED:
                self._quotas.ledger.cancel(account)
            raise
        finally:
            if fut in waiters:
                waiters.remove(fut)
                self._quotas.ledger.give_up(account)
        if outcome is Outcome.ADMITTED:
            return Admission(outcome, keeper=asked.keeper)
        return self._quotas.ledger.refusal(account, self._times().now)

    def cancel(self, account: str) -> None:
        """Take back a request that was admitted and never ran."""
        self._quotas.ledger.cancel(account)
        self._decide(account)

    def _decide(self, account: str) -> None:
        """Wake the requests that were decided."""
        waiters = self._waiters.get(account)
        if not waiters:
            return
        decided = self._quotas.ledger.decided(account, self._times().now)
        for _ in range(decided.admitted):
            if not _wake(waiters.popleft(), Outcome.ADMITTED):
                self._quotas.ledger.cancel(account)
        for _ in range(decided.refused):
            _wake(waiters.pop(), Outcome.REFUSED)

    def _count(self, account: str, outcome: Outcome) -> None:
        self._metrics.count(f"quotas.{outcome.value}")
        if account not in self._counted and len(self._counted) >= COUNTED_MOST:
            account = "others"
        self._counted.add(account)
        self._metrics.count(f"accounts.{outcome.value}.{account}")

    def measure(self) -> None:
        """Set the gauges of the accounts that have counters of their own."""
        ledger = self._quotas.ledger
        for account in self._counted:
            self._metrics.set_gauge(f"accounts.unpaid.{account}", ledger.debt(account))
            lent_share = self._quotas.keeper.lent_share(account)
            self._metrics.set_gauge(f"accounts.kept.{account}", lent_share)

    # Other hosts

    def heard(
        self, info: HostInfo, incarnation: int, message: msg.QuotaMessage
    ) -> msg.QuotaReceipts | None:
        """Take in what another host tells of quotas; return the answer, if any."""
        at = self._times()
        host = (info.host_id, incarnation)
        if isinstance(message, msg.QuotaCharges):
            return self._quotas.on_charges(host, message, at)
        if isinstance(message, msg.QuotaLease):
            self._quotas.on_lease(host, message, at)
            return None
        for account in self._quotas.on_receipts(info.host_id, message, at):
            self._decide(account)
        return None

    async def tell(self, send_to: SendTo) -> None:
        """Tell other hosts what is due until cancelled."""
        while True:
            self.tell_now(send_to)
            if self._quotas.busy(self._times().now):
                await asyncio.sleep(TELL_EVERY_S)
                continue
            self._asked.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(IDLE_S):
                    await self._asked.wait()

    def tell_now(self, send_to: SendTo) -> None:
        """Tell other hosts what is due."""
        at = self._times()
        good = self._quotas.watch.good
        self._quotas.review(at)
        if self._quotas.watch.good != good:
            logs.event(
                "quota-share",
                good=not good,
                holders=len(self._quotas.watch.holders),
                key=self._quotas.watch.holders.key,
            )
        if not self._quotas.in_force:
            return
        for host_id, message in self._quotas.outgoing(at):
            entry = self._roster.entries.get(host_id)
            if entry is not None:
                send_to(entry.info, message)
        for account in list(self._waiters):
            self._decide(account)


def _wake(fut: asyncio.Future[Outcome], outcome: Outcome) -> bool:
    """Hand a decision over; return whether anybody still waits for it."""
    if fut.done():
        return False
    fut.set_result(outcome)
    return True


def _decision(fut: asyncio.Future[Outcome]) -> Outcome:
    """Return what was decided while its waiting was being broken off."""
    if fut.done() and not fut.cancelled():
        return fut.result()
    return Outcome.REFUSED
