"""Admits requests under quotas and exchanges quota messages with other hosts.

The keeper of an account is the host that grants credit for its requests. Other hosts
send it charges, the requests that they have run, and it answers with receipts, which
acknowledge paid charges. Requests that are run and not yet acknowledged as paid are
debt.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from .. import logs
from ..core import messages as msg
from ..core.membership import HostInfo
from ..core.overload.caller_times import UNKNOWN_TIMES, CallerTimes
from ..core.quotas.host_quotas import ClockReading, Quotas
from ..core.quotas.ledger import Admission, Outcome
from ..core.roster import Roster
from ..metrics import Metrics

# How often charges and leases that are due are sent, in seconds.
SEND_INTERVAL_S = 0.04
# How often a host checks for due messages, in seconds, if it neither holds nor recently
# held a share of the quotas and has no charges that are to be sent or paid. A request
# ends the pause early. Checks at `SEND_INTERVAL_S`, 25 a second, would be most of the
# work of a standby host.
IDLE_INTERVAL_S = 0.25
# Maximum number of accounts with counters of their own. All other accounts are counted
# together under the name ``others``.
MAX_COUNTED_ACCOUNTS = 100
# How often a holder whose own share does not count logs why, in seconds.
SHARE_LOG_INTERVAL_S = 5.0

SendTo = Callable[[HostInfo, msg.Message], None]


class QuotaAdmission:
    """Admits requests of client accounts and sends quota messages to other hosts.

    Parameters
    ----------
    quotas : Quotas
        Decides on requests and keeps the state of the quotas.
    roster : Roster
        Addresses of other hosts.
    metrics : Metrics
        Counters and gauges of this host.
    times : callable
        Returns the present time on both clocks.
    """

    __slots__ = (
        "_request_arrived",
        "_counted_accounts",
        "_metrics",
        "_quotas",
        "_roster",
        "_share_waits_since",
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
        # When the share was last counted, or last logged to wait, monotonic.
        self._share_waits_since = times().now
        self._waiters: dict[str, deque[asyncio.Future[Outcome]]] = {}
        self._counted_accounts: set[str] = set()
        # Set by each request. It ends the pause of `IDLE_INTERVAL_S` early, so that the
        # charge of the request is sent to the keeper at once.
        self._request_arrived = asyncio.Event()

    async def admit(
        self, account: str, caller: CallerTimes = UNKNOWN_TIMES
    ) -> Admission:
        """Decide whether a request of an account may run, and charge it if it may.

        A request that needs credit from the host that keeps the account (its keeper)
        waits for the credit, at most `Admission.max_wait_s`. If no credit has come by
        then, the request is refused.
        """
        admission = self._quotas.ask(account, self._times(), caller)
        self._request_arrived.set()
        if admission.outcome is Outcome.WAITING:
            admission = await self._wait_for_keeper(account, admission, caller)
        self._count(account, admission.outcome)
        return admission

    async def _wait_for_keeper(
        self, account: str, pending: Admission, caller: CallerTimes
    ) -> Admission:
        fut = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(account, deque())
        waiters.append(fut)
        began_at = self._times().now
        outcome = Outcome.REFUSED
        try:
            async with asyncio.timeout(pending.max_wait_s):
                outcome = await fut
        except TimeoutError:
            outcome = _late_outcome(fut)
        except asyncio.CancelledError:
            # If the request was admitted just when its caller left, its charge is taken
            # back: it never runs.
            if _late_outcome(fut) is Outcome.ADMITTED:
                self._quotas.ledger.cancel(account)
            raise
        finally:
            if fut in waiters:
                index = waiters.index(fut)
                del waiters[index]
                self._quotas.ledger.give_up(account, index)
        if outcome is Outcome.ADMITTED:
            return Admission(outcome, keeper=pending.keeper)
        now = self._times().now
        waited = caller.after(now - began_at) if caller.known else caller
        return self._quotas.ledger.refusal(account, now, waited)

    def cancel(self, account: str) -> None:
        """Undo the admission of a request that was never run."""
        self._quotas.ledger.cancel(account)
        self._wake_decided(account)

    def _wake_decided(self, account: str) -> None:
        """Wake the waiting requests of an account that can be decided now.

        The oldest ones are admitted, as far as the credit allows. The newest ones are
        refused, as far as they cannot get credit in time.
        """
        waiters = self._waiters.get(account)
        if not waiters:
            return
        decided = self._quotas.ledger.decide_waiting(account, self._times().now)
        for _ in range(decided.admitted):
            if not _set_outcome(waiters.popleft(), Outcome.ADMITTED):
                self._quotas.ledger.cancel(account)
        for _ in range(decided.refused):
            _set_outcome(waiters.pop(), Outcome.REFUSED)

    def _count(self, account: str, outcome: Outcome) -> None:
        self._metrics.count(f"quotas.{outcome.value}")
        if (
            account not in self._counted_accounts
            and len(self._counted_accounts) >= MAX_COUNTED_ACCOUNTS
        ):
            account = "others"
        self._counted_accounts.add(account)
        self._metrics.count(f"accounts.{outcome.value}.{account}")

    def measure(self) -> None:
        """Set the gauges of the accounts that have counters of their own.

        The gauges are the debt of an account and the share of its quota that is lent to
        this host. If requests were counted under ``others``, that name has gauges too;
        they do not sum up those accounts.
        """
        ledger = self._quotas.ledger
        for account in self._counted_accounts:
            self._metrics.set_gauge(f"accounts.unpaid.{account}", ledger.debt(account))
            lent_share = self._quotas.keeper.lent_share(account)
            self._metrics.set_gauge(f"accounts.kept.{account}", lent_share)

    def receive(
        self, info: HostInfo, incarnation: int, message: msg.QuotaMessage
    ) -> msg.QuotaReceipts | None:
        """Apply a quota message of another host.

        Parameters
        ----------
        info : HostInfo
            The host that has sent the message.
        incarnation : int
            Incarnation of that host.
        message : QuotaMessage
            The message.

        Returns
        -------
        answer : QuotaReceipts or None
            Receipts to send to that host, if any.
        """
        reading = self._times()
        host = (info.host_id, incarnation)
        if isinstance(message, msg.QuotaCharges):
            return self._quotas.on_charges(host, message, reading)
        if isinstance(message, msg.QuotaLease):
            self._quotas.on_lease(host, message, reading)
            return None
        for account in self._quotas.on_receipts(info.host_id, message, reading):
            self._wake_decided(account)
        return None

    async def send_updates(self, send_to: SendTo) -> None:
        """Send the quota messages that are due until cancelled.

        Parameters
        ----------
        send_to : callable
            Sends a message to a host.
        """
        while True:
            self.send_due(send_to)
            if self._quotas.busy(self._times().now):
                await asyncio.sleep(SEND_INTERVAL_S)
                continue
            self._request_arrived.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(IDLE_INTERVAL_S):
                    await self._request_arrived.wait()

    def send_due(self, send_to: SendTo) -> None:
        """Send the quota messages that are due now, and decide waiting requests.

        Before that, the holders of quota shares and the debt that this host may run up
        are reviewed.
        """
        reading = self._times()
        own_share_counted = self._quotas.watch.own_share_counts
        late_before = self._quotas.late_holders
        self._quotas.review(reading)
        if self._quotas.late_holders != late_before:
            logs.event(
                "quota-holders-late",
                good=not self._quotas.late_holders,
                holders=len(self._quotas.watch.holders),
                late=",".join(sorted(self._quotas.late_holders)),
            )
        if self._quotas.watch.own_share_counts != own_share_counted:
            logs.event(
                "quota-share",
                good=not own_share_counted,
                holders=len(self._quotas.watch.holders),
                key=self._quotas.watch.holders.key,
            )
        if not self._quotas.in_force:
            return
        self._log_waiting_share(reading.now)
        for host_id, message in self._quotas.outgoing(reading):
            entry = self._roster.entries.get(host_id)
            if entry is not None:
                send_to(entry.info, message)
        for account in list(self._waiters):
            self._wake_decided(account)

    def _log_waiting_share(self, now: float) -> None:
        """Log at intervals why this host's own share of the quotas does not count."""
        watch = self._quotas.watch
        waits = self._roster.own.host_id in watch.holders and not watch.own_share_counts
        if not waits:
            self._share_waits_since = now
        elif now - self._share_waits_since >= SHARE_LOG_INTERVAL_S:
            self._share_waits_since = now
            logs.event(
                "quota-share-waits",
                "WARNING",
                listed=self._roster.listed,
                holders=len(watch.holders),
                unconfirmed=",".join(watch.unconfirmed()),
            )

    def measure_shares(self) -> None:
        """Set the gauges of this host's own share of the quotas.

        ``quotas.share_counts`` is 1 while it counts, ``quotas.unconfirmed`` the number
        of hosts whose word it waits for, ``quotas.late_holders`` the number of holders
        that keep no accounts because their messages come late.
        """
        watch = self._quotas.watch
        waits_for = 0 if watch.own_share_counts else len(watch.unconfirmed())
        self._metrics.set_gauge("quotas.share_counts", float(watch.own_share_counts))
        self._metrics.set_gauge("quotas.unconfirmed", waits_for)
        late_holders = len(self._quotas.late_holders)
        self._metrics.set_gauge("quotas.late_holders", late_holders)


def _set_outcome(fut: asyncio.Future[Outcome], outcome: Outcome) -> bool:
    """Set the result of a future; return whether its request was still waiting."""
    if fut.done():
        return False
    fut.set_result(outcome)
    return True


def _late_outcome(fut: asyncio.Future[Outcome]) -> Outcome:
    """Return the decision if one was made while the wait timed out or was cancelled."""
    if fut.done() and not fut.cancelled():
        return fut.result()
    return Outcome.REFUSED
