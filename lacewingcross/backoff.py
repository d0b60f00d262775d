"""Pauses between tries of something that failed."""

import asyncio

from .core.randomness import RandomSource

# The platform answers again within a few tenths of a second after most failures; calls
# that it refuses are paid for, too. Longest pause: a change that was missed meanwhile
# still comes in time. In seconds.
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.8


class Backoff:
    """Pauses that double up to a bound, with jitter.

    Parameters
    ----------
    rng : RandomSource
        Source of the jitter.
    least_s, most_s : float, optional
        Bounds of the pauses, in seconds.
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
        """Start over after a success."""
        self._pause_s = self._min_s

    async def wait(self) -> None:
        """Sleep for the next pause.

        The jitter keeps a fleet that lost the platform together from coming back
        to it together.
        """
        await asyncio.sleep(self._rng.uniform(0.5, 1.0) * self._pause_s)
        self._pause_s = min(self._max_s, self._pause_s * 2)
