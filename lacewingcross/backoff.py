"""Exponential back-off between attempts at a failed operation."""

import asyncio

from .core.randomness import RandomSource

# Bounds of the pause between attempts, in seconds. The platform answers again within a
# few tenths of a second after most failures, and a call that it refuses is charged for
# as well, so the minimum avoids needless calls. The maximum ensures that a change that
# happened during the pause is still noticed in time.
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.8


class Backoff:
    """Pauses that double up to an upper bound, with jitter.

    Parameters
    ----------
    rng : RandomSource
        Source of the jitter.
    min_s, max_s : float, optional
        Shortest and longest pause before jitter, in seconds.
    """

    __slots__ = ("_max_s", "_min_s", "_pause_s", "_rng")

    def __init__(
        self,
        rng: RandomSource,
        min_s: float = RETRY_MIN_S,
        max_s: float = RETRY_MAX_S,
    ) -> None:
        self._rng = rng
        self._min_s = min_s
        self._max_s = max_s
        self._pause_s = min_s

    def reset(self) -> None:
        """Return to the shortest pause, after a success."""
        self._pause_s = self._min_s

    async def wait(self) -> None:
        """Sleep for the next pause.

        Hosts that lost the platform at the same moment would otherwise all retry at
        the same moment; the jitter spreads their retries.
        """
        await asyncio.sleep(self._rng.uniform(0.5, 1.0) * self._pause_s)
        self._pause_s = min(self._max_s, self._pause_s * 2)
