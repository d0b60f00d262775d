"""Relates one request to server crashes during earlier copies of the same request."""

import asyncio

from .. import logs
from ..core.backend_state import ServerEntry
from ..core.fingerprint import fingerprint as fingerprint_of
from ..core.rendezvous import owner
from ..http1_exchange import RequestHead
from .attempt import CallerBody
from .context import Gateway
from .forwarding import CallerAccount, identity_of
from .frame import Frame


class RepeatedRequest:
    """A request seen as one of several copies that have the same fingerprint.

    Callers repeat a request under new ids; the fingerprint stays the same. Copies that
    crash servers put the fingerprint into quarantine.

    Parameters
    ----------
    gateway : Gateway
        State and services that the parts of this host share.
    frame : Frame
        The request's frame.
    head : RequestHead
        The request's head.
    body : CallerBody
        The request's body. The part that the fingerprint covers must have been read
        before the fingerprint is used.
    caller_account : CallerAccount
        The client account that the request belongs to.
    """

    __slots__ = (
        "_body",
        "_caller_account",
        "_crash_check",
        "_fingerprint",
        "_frame",
        "_gateway",
        "_head",
        "_on_trial",
    )

    def __init__(
        self,
        gateway: Gateway,
        frame: Frame,
        head: RequestHead,
        body: CallerBody,
        caller_account: CallerAccount,
    ) -> None:
        self._gateway = gateway
        self._frame = frame
        self._head = head
        self._body = body
        self._caller_account = caller_account
        self._crash_check: asyncio.Task[None] | None = None
        self._fingerprint = ""
        self._on_trial = False

    @property
    def fingerprint(self) -> str:
        """Return the request's fingerprint, computed when it is first needed."""
        if not self._fingerprint:
            identity = identity_of(
                self._frame, self._head, self._body, self._caller_account
            )
            self._fingerprint = fingerprint_of(identity, self._body.parts)
        return self._fingerprint

    def apply_quarantine(self) -> float:
        """Return for how many seconds the request is refused, 0 if it may run now.

        A quarantined request is refused, unless its trial is due and this is the host
        that runs the trial. In that case this call begins the trial.
        """
        quarantine = self._gateway.crashes.ledger.quarantine
        held = quarantine.get(self.fingerprint) if quarantine else None
        if held is None:
            return 0.0
        now = self._gateway.now()
        if quarantine.trial_due(self.fingerprint, now) and self._runs_trial_here():
            quarantine.begin_trial(self.fingerprint, now)
            self._on_trial = True
            logs.event(
                "request-tried", id=self._frame.request_id, request=self.fingerprint
            )
            return 0.0
        return held.refused_for_s(now)

    def _runs_trial_here(self) -> bool:
        """Return whether this is the one host that runs the request's trial.

        Guards against a trial that becomes due at all hosts at once. A bad request that
        is repeated several times a second would crash a server at each host before the
        hosts receive each other's crash reports. Rendezvous hashing names one active
        host for the request.
        """
        roster = self._gateway.roster
        return owner(self.fingerprint, roster.active) == roster.own.host_id

    def record_not_run(self) -> None:
        """Record that no server ran the request since the latest quarantine check.

        Either the latest attempt did not run it, or no server was chosen. If that was
        the trial of a quarantined request, the trial is repeated soon. Otherwise there
        is nothing to record.
        """
        if self._on_trial:
            self._on_trial = False
            quarantine = self._gateway.crashes.ledger.quarantine
            quarantine.trial_inconclusive(self.fingerprint, self._gateway.now())

    def connection_broke(self, entry: ServerEntry) -> None:
        """Record that the connection to a server broke during the request."""
        self._crash_check = self._gateway.crashes.connection_broke(
            entry, self.fingerprint
        )

    async def wait_for_crash_check(self) -> None:
        """Wait until it is known whether the server crashed, if that may matter.

        Guards against a request that has crashed servers before and crashes two more
        each time that its caller sends it, the second one while the host still checks
        whether the first one crashed. So such a request waits for the check. A request
        without earlier crashes does not wait and is sent to another server at once,
        since most such requests are harmless.
        """
        crash_check = self._crash_check
        self._crash_check = None
        if crash_check is not None and self._gateway.crashes.ledger.crash_count(
            self.fingerprint
        ):
            await asyncio.wait((crash_check,))

    def record_answer(self) -> None:
        """Record that a server has answered the request.

        The request's crash count is reset and its quarantine ends, if it has either.
        """
        if self._body.size:
            # The fingerprint is computed now, so that the body is not kept for it.
            fingerprint = self.fingerprint
            self._gateway.crashes.note_answer(lambda: fingerprint)
        else:
            self._gateway.crashes.note_answer(lambda: self.fingerprint)
