"""Faults of this host itself that end an attempt or a request."""

from .. import logs
from ..metrics import Metrics

# Stable code of a failure that no other code describes.
INTERNAL_ERROR = "internal-error"


def note_fault(metrics: Metrics, request_id: str, exc: Exception) -> None:
    """Log and count an exception that nobody expected.

    Parameters
    ----------
    metrics : Metrics
        Counters of this host.
    request_id : str
        Id of the request that it concerns.
    exc : Exception
        The exception.
    """
    metrics.count("requests.faults")
    logs.event(
        "request-fault",
        "ERROR",
        id=request_id,
        error=repr(exc)[:500],
        where=logs.place_of(exc),
    )
