"""What one request has to do with servers that ended under it."""

import asyncio

from .. import logs
from ..core.backend_state import ServerEntry
from ..core.fingerprint import fingerprint
from ..core.rendezvous import owner
from ..http1_exchange import RequestHead
from .attempt import CallerBody
from .context import Gateway
from .forwarding import OnBehalf, identity_of
from .frame import Frame


class Repeats:
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
        "_check",
        "_frame",
        "_gateway",
        "_head",
        "_name",
        "_on_behalf",
        "_on_trial",
    )

    def __init__(
        self,
        gateway: Gateway,
        frame: Frame,
        head: RequestHead,
        body: CallerBody,
        on_behalf: OnBehalf,
    ) -> None:
        self._gateway = gateway
        self._frame = frame
        self._head = head
        self._body = body
        self._on_behalf = on_behalf
        self._check: asyncio.Task[None] | None = None
        self._name = ""
        self._on_trial = False

    @property
    def name(self) -> str:
        """Return the request's fingerprint, worked out when it is first needed."""
        if not self._name:
            identity = identity_of(self._frame, self._head, self._body, self._on_behalf)
            self._name = fingerprint(identity, self._body.parts)
        return self._name

    def refused_for(self) -> float:
        """Return for how long the request is refused, in seconds; 0 if it is not."""
        quarantine = self._gateway.crashes.ledger.quarantine
        held = quarantine.get(self.name) if quarantine else None
        if held is None:
            return 0.0
        now = self._gateway.now()
        if quarantine.trial_due(self.name, now) and self._tries_here():
            quarantine.begin_trial(self.name, now)
            self._on_trial = True
            logs.event("request-tried", id=self._frame.request_id, request=self.name)
            return 0.0
        return held.refused_for(now)

    def _tries_here(self) -> bool:
        """Tell whether this host is the one of all that tries the request.

        Failure: a quarantine ends at all hosts at once, and a bad request that is
        repeated some times a second ends a server at each of them before they hear of
        one another.
        """
        roster = self._gateway.roster
        return owner(self.name, roster.active) == roster.own.host_id

    def not_run(self) -> None:
        """Note that the server of the last attempt did not run the request."""
        if self._on_trial:
            self._on_trial = False
            quarantine = self._gateway.crashes.ledger.quarantine
            quarantine.trial_inconclusive(self.name, self._gateway.now())

    def broke(self, entry: ServerEntry) -> None:
        """Note that a server's connection ended under the request."""
        self._check = self._gateway.crashes.broke(entry, self.name)

    async def settle(self) -> None:
        """Wait until it is known whether the server has ended, if that may matter.

        Failure: a request that has ended servers before ends two more within each try
        of its caller, the second while it is being found out about the first. A request
        without such a past is sent to another server at once: most are innocent.
        """
        check = self._check
        self._check = None
        if check is not None and self._gateway.crashes.ledger.crash_count(self.name):
            await asyncio.wait((check,))

    def answered(self) -> None:
        """Note that a server has answered the request."""
        crashes = self._gateway.crashes
        if crashes.ledger.has_suspects:
            crashes.answered(self.name)
