"""What a backend server says of itself in the head of one answer."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ServerSignals:
    """Signals of one run of a server, decoded.

    Attributes
    ----------
    rate : float or None
        Requests a second that it takes from all hosts together; None if it names no
        limit.
    leaving : bool
        Whether it leaves: it ends soon and wants nothing more.
    rest_s : float
        Time for which it wants nothing more from this host, in seconds; 0 for none.
    unreadable : tuple of str
        Names of fields that were there and could not be read. They say nothing: what
        was believed before stays.
    """

    rate: float | None = None
    leaving: bool = False
    rest_s: float = 0.0
    unreadable: tuple[str, ...] = ()


NO_SIGNALS = ServerSignals()
