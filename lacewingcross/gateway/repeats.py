"""What one request has to do with servers that ended under it."""

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
    """A request as one of several repeats that share a fingerprint.

    Parameters
    ----------
    gateway : Gateway
        What the parts of this host share.
    frame : Frame
        Its frame.
    head : RequestHead
        Its head.
    body : CallerBody
        Its body; all of it that counts has been read before anything is asked here.
    on_behalf : OnBehalf
        Whose request it is.
    """

    __slots__ = (
        "_body",
        "_crash_check",
        "_frame",
        "_gateway",
        "_head",
        "_fingerprint",
        "_caller_account",
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
        """Return the request's fingerprint, worked out when it is first needed."""
        if not self._fingerprint:
            identity = identity_of(
                self._frame, self._head, self._body, self._caller_account
            )
            self._fingerprint = fingerprint_of(identity, self._body.parts)
        return self._fingerprint

    def refused_for_s(self) -> float:
        """Return for how long the request is refused, in seconds; 0 if it is not."""
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
        return held.refused_for(now)

    def _runs_trial_here(self) -> bool:
        """Tell whether this host is the one of all that tries the request.

        Failure: a quarantine ends at all hosts at once, and a bad request that is
        repeated some times a second ends a server at each of them before they hear of
        one another.
        """
        roster = self._gateway.roster
        return owner(self.fingerprint, roster.active) == roster.own.host_id

    def record_not_run(self) -> None:
        """Note that the server of the last attempt did not run the request."""
        if self._on_trial:
            self._on_trial = False
            quarantine = self._gateway.crashes.ledger.quarantine
            quarantine.trial_void(self.fingerprint, self._gateway.now())

    def connection_broke(self, entry: ServerEntry) -> None:
        """Note that a server's connection ended under the request."""
        self._crash_check = self._gateway.crashes.broke(entry, self.fingerprint)

    async def wait_for_crash_check(self) -> None:
        """Wait until it is known whether the server has ended, if that may matter.

        Failure: a request that has ended servers before ends two more within each try
        of its caller, the second while it is being found out about the first. A request
        without such a past is sent to another server at once: most are innocent.
        """
        crash_check = self._crash_check
        self._crash_check = None
        if crash_check is not None and self._gateway.crashes.ledger.crash_count(
            self.fingerprint
        ):
            await asyncio.wait((crash_check,))

    def record_answer(self) -> None:
        """Note that a server has answered the request."""
        crashes = self._gateway.crashes
        if crashes.ledger.watches:
            crashes.answered(self.fingerprint)
