"""Requests that servers have answered a moment ago.

A host hears of a crash some tens of milliseconds after it: the server is checked, and
the report travels. A response in this time clears the request of the crash as well.
"""

from collections import deque
from collections.abc import Callable, Iterator

# How long an answer is kept, in seconds: longer than the check of a server and the
# report of its crash take.
ANSWER_KEPT_S = 1.0
# Maximum number of answers that are kept; the oldest are dropped first.
MAX_ANSWERS_KEPT = 256


class RecentAnswers:
    """Answered requests, the oldest first.

    A fingerprint is computed only when it is asked for, since crashes are rare.
    """

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: deque[tuple[float, Callable[[], str]]] = deque(
            maxlen=MAX_ANSWERS_KEPT
        )

    def add(self, fingerprint: Callable[[], str], now: float) -> None:
        """Add a request that was answered at `now`, a monotonic time in seconds."""
        while self._answers and now - self._answers[0][0] > ANSWER_KEPT_S:
            self._answers.popleft()
        self._answers.append((now, fingerprint))

    def later_than(self, at: float) -> Iterator[str]:
        """Yield the fingerprints of the requests that were answered after a time."""
        for answered_at, fingerprint in self._answers:
            if answered_at > at:
                yield fingerprint()
