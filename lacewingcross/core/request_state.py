"""What a host knows of one request while it is on its way."""

from dataclasses import dataclass, field
from enum import Enum

from .attempts import Attempt
from .events import RequestArrived


class Phase(Enum):
    """What a request waits for."""

    CLAIM = "claim"
    PERMIT = "permit"
    PAUSE = "pause"
    ATTEMPT = "attempt"


@dataclass(slots=True)
class HeldPermit:
    """A permit in use."""

    number: int
    server_id: str
    keeper: str
    reuses: int = 0


@dataclass(slots=True)
class RequestState:
    """One request from arrival to its final answer."""

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
