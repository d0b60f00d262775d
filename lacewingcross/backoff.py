"""Exponential back-off between attempts at a failed operation."""

import asyncio

from .core.randomness import RandomSource

# Shortest and longest pause between attempts before jitter, in seconds. The platform
# answers again within a few tenths of a second after most failures, and a call that it
# refuses is charged for as well, so the shortest pause avoids needless calls. The
# longest pause ensures that a change that happened during the pause is still noticed in
# time.
MIN_RETRY_PAUSE_S = 0.15
MAX_RETRY_PAUSE_S = 0.8


class Backoff:
    """Pauses between attempts, doubled up to a maximum, with jitter.

    Parameters
    ----------
    rng : RandomSource
        Source of the jitter.
    min_s, max_s : float, optional
        Shortest and longest pause in seconds. The jitter then shortens a pause by up to
        one half.
    """

    __slots__ = ("_max_s", "_min_s", "_pause_s", "_rng")

    def __init__(
        self,
        rng: RandomSource,
        min_s: float = MIN_RETRY_PAUSE_S,
        max_s: float = MAX_RETRY_PAUSE_S,
    ) -> None:
        self._rng = rng
        self._min_s = min_s
        self._max_s = max_s
        self._pause_s = min_s

    def reset(self) -> None:
        """Make the next pause the shortest one, after a success."""
        self._pause_s = self._min_s

    async def wait(self) -> None:
        """Sleep for the next pause.

        Hosts that lost the platform at the same moment would otherwise all retry at
        the same moment; the jitter spreads their retries.
        """
        await asyncio.sleep(self._rng.uniform(0.5, 1.0) * self._pause_s)
        self._pause_s = min(self._max_s, self._pause_s * 2)
