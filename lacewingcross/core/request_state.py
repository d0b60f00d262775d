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
    """A permit for a slot of a backend server, used by one request at a time.

    `keeper` is the host that gets the release, and `reuse_count` how often the permit
    was passed on to another request.
    """

    permit_id: int
    server_id: str
    keeper: str
    reuse_count: int = 0


@dataclass(slots=True)
class RequestState:
    """One request from arrival to its final answer.

    Attributes
    ----------
    deadline_at, give_up_at : float
        When the caller times out, and the earlier time at which a request without an
        attempt under way is refused, in seconds on the monotonic clock.
    region : str
        Region whose slots the request uses.
    repeatable : bool
        Whether running the request twice does no harm.
    keeper : str
        Host that was asked last: the keeper of the region's slots, or in the phase
        `CLAIM` the owner of the key's shard.
    asked_at, ask_again_at, resume_at : float
        When the claim was last sent or the wait for the permit began, when the request
        for the permit is repeated, and when the phase `PAUSE` is over, in seconds on
        the monotonic clock.
    held : HeldPermit or None
        The permit that the current attempt uses.
    attempt, attempt_count : Attempt or None, int
        The current or last attempt, and the number of attempts so far.
    exclude : set of str
        Ids of the backend servers to avoid in further attempts.
    key_hash, claim : str
        Hash of the idempotency key and id of its claim; empty without a claim.
    may_have_run : bool
        Whether an earlier attempt may have run on a backend server.
    """

    req: RequestArrived
    deadline_at: float
    region: str
    repeatable: bool
    phase: Phase = Phase.PERMIT
    keeper: str = ""
    asked_at: float = 0.0
    ask_again_at: float = 0.0
    resume_at: float = 0.0
    held: HeldPermit | None = None
    attempt: Attempt | None = None
    attempt_count: int = 0
    exclude: set[str] = field(default_factory=set)
    key_hash: str = ""
    claim: str = ""
    may_have_run: bool = False
    give_up_at: float = 0.0
