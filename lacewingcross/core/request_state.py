"""State of a request that is open on its entry host."""

from dataclasses import dataclass, field
from enum import Enum

from .attempts import Attempt
from .events import RequestArrived


class Phase(Enum):
    """What an open request waits for."""

    CLAIM = "claim"
    PERMIT = "permit"
    PAUSE = "pause"
    ATTEMPT = "attempt"


@dataclass(slots=True)
class HeldPermit:
    """A permit for a slot of a backend server, used by one request at a time."""

    permit_id: int
    server_id: str
    keeper: str
    reuses: int = 0


@dataclass(slots=True)
class RequestState:
    """One request from arrival to its final answer.

    Attributes
    ----------
    deadline, give_up_at : float
        When the caller times out, and the earlier time at which a request without an
        attempt under way is refused, in seconds on the monotonic clock.
    exclude : set of str
        Backend servers to avoid in further attempts.
    key_hash, claim : str
        Hash of the idempotency key and id of its claim; empty without a claim.
    may_have_run : bool
        Whether an earlier attempt may have run on a backend server.
    """

    req: RequestArrived
    deadline: float
    region: str
    repeatable: bool
    phase: Phase = Phase.PERMIT
    keeper: str = ""
    asked_at: float = 0.0
    ask_again_at: float = 0.0
    resume_at: float = 0.0
    held: HeldPermit | None = None
    attempt: Attempt | None = None
    attempts: int = 0
    exclude: set[str] = field(default_factory=set)
    key_hash: str = ""
    claim: str = ""
    may_have_run: bool = False
    give_up_at: float = 0.0
