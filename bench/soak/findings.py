"""What a run of the soak shows to be broken."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Broken:
    """A promise that did not hold."""

    rule: str
    at: float
    what: str
