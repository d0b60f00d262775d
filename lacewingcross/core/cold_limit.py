"""Limits requests to cold backend servers, summed over all hosts without messages.

A cold server, such as one that has just started, breaks when it gets many more requests
than it can handle. The bound holds over all hosts, including hosts that receive nothing
from each other, so each host has a fixed share: only the hosts of the server's own
region may send to the server while it is cold, each in proportion to its processor
cores.
"""

from collections import deque

# Length of the windows to which the bound of `cold_send_limit` applies, in seconds.
WINDOW_S = 1.0
# Requests that are sent more than one window apart may arrive within one window. So
# requests are counted over a window that is longer by this time, in seconds (the
# longest path inside a region).
ARRIVAL_JITTER_S = 0.1


class ColdSends:
    """Requests that one host sent to one cold server recently.

    These are the requests within `WINDOW_S + ARRIVAL_JITTER_S`.
    """

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        # Created on first use: most servers are never cold at this host, and an
        # empty deque takes 600 bytes.
        self._sent: deque[float] | None = None

    def has_room(self, limit: int, now: float) -> bool:
        """Return whether one more request stays within `limit`; drop old requests."""
        if self._sent is None:
            return limit > 0
        oldest = now - WINDOW_S - ARRIVAL_JITTER_S
        while self._sent and self._sent[0] <= oldest:
            self._sent.popleft()
        return len(self._sent) < limit

    def count(self, now: float) -> None:
        """Count one request that is sent now."""
        if self._sent is None:
            self._sent = deque()
        self._sent.append(now)


def cold_send_limit(per_s: float, over: float, slack: float, share: float) -> int:
    """Return how many requests one host may send to a cold server at a time.

    They count within the last `WINDOW_S + ARRIVAL_JITTER_S`, see `ColdSends.has_room`.

    Parameters
    ----------
    per_s : float
        Requests per second that the server tolerates while it is cold.
    over, slack : float
        The bound over all hosts is ``per_s * over + slack`` requests in any second.
    share : float
        This host's share of what all hosts of the server's region may send, whether the
        hosts are alive or not: the shares add up to at most 1.
    """
    bound = per_s * over + slack
    return int(bound * share)
