"""The ways in which an attempt can reach its backend server."""

from enum import Enum


class Path(Enum):
    """How an attempt reaches its server."""

    DIRECT = "direct"
    # Through another entry host.
    INDIRECT = "indirect"
