"""Limits requests to cold backend servers, summed over all hosts without messages.

A server that has just started breaks when it gets much more than it can bear. The
bound holds over all hosts, also those that hear nothing of each other, so each host
keeps a fixed share: only the hosts of the server's own region may send to it while it
is cold, and each of them a part by its size.
"""

from collections import deque

# The bound counts requests in any span of this length, in seconds.
WINDOW_S = 1.0
# Sends that leave a little later than their neighbours may arrive in one span; the
# window is counted this much longer, in seconds (the longest path inside a region).
ARRIVAL_SPREAD_S = 0.1


class ColdShare:
    """Sends of one host to one cold server within the last second."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        # Most servers are never cold here, and an empty deque takes 600 bytes.
        self._sent: deque[float] | None = None

    def room(self, limit: int, now: float) -> bool:
        """Tell whether one more send stays within `limit` in the window."""
        if self._sent is None:
            return limit > 0
        oldest = now - WINDOW_S - ARRIVAL_SPREAD_S
        while self._sent and self._sent[0] <= oldest:
            self._sent.popleft()
        return len(self._sent) < limit

    def count(self, now: float) -> None:
        """Count one send."""
        if self._sent is None:
            self._sent = deque()
        self._sent.append(now)


def share_of(per_s: float, over: float, slack: float, part: float) -> int:
    """Return how many requests a second one host may send to a cold server.

    Parameters
    ----------
    per_s : float
        Requests a second that the server bears while it is cold.
    over, slack : float
        The bound is ``per_s * over + slack`` in any second.
    part : float
        This host's part of what all hosts of the server's region may send, living or
        not: their parts add up to 1 at most.
    """
    bound = per_s * over + slack
    return int(bound * part)
