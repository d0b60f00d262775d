"""What a backend server states about itself in the head of a response."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ServerSignals:
    """Signals of one run of a server, decoded.

    Attributes
    ----------
    rate : float or None
        Requests per second that the server accepts from all hosts together; None if it
        states no limit.
    leaving : bool
        Whether the server is shutting down soon and wants no more requests.
    rest_s : float
        Back-off that the server requests from this host, in seconds; 0 for none.
    unreadable : tuple of str
        Names of fields that were present and could not be parsed. Such fields change
        nothing: what was known before stays.
    """

    rate: float | None = None
    leaving: bool = False
    rest_s: float = 0.0
    unreadable: tuple[str, ...] = ()


NO_SIGNALS = ServerSignals()
