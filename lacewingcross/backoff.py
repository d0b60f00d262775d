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

    __slots__ = ("_least_s", "_most_s", "_pause_s", "_rng")

    def __init__(
        self,
        rng: RandomSource,
        least_s: float = RETRY_MIN_S,
        most_s: float = RETRY_MAX_S,
    ) -> None:
        self._rng = rng
        self._least_s = least_s
        self._most_s = most_s
        self._pause_s = least_s

    def reset(self) -> None:
        """Start over after a success."""
        self._pause_s = self._least_s

    async def wait(self) -> None:
        """Sleep for the next pause.

        The jitter keeps a fleet that lost the platform together from coming back
        to it together.
        """
        await asyncio.sleep(self._rng.uniform(0.5, 1.0) * self._pause_s)
        self._pause_s = min(self._most_s, self._pause_s * 2)
