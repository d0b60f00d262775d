"""A violation of a guarantee, as found by a run of the soak."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Violation:
    """A guarantee that did not hold.

    Attributes
    ----------
    rule : str
        Short name of the guarantee.
    at : float
        When it was violated, in seconds from the start of the run.
    what : str
        Description of the violation.
    """

    rule: str
    at: float
    what: str
