"""Repeats a review that calls the store, with pauses after failures."""

import asyncio
from collections.abc import Awaitable, Callable

from ..backoff import Backoff
from ..core.randomness import RandomSource
from ..errors import PlatformError


async def review_repeatedly(
    review: Callable[[], Awaitable[None]],
    interval_s: float,
    rng: RandomSource,
    on_failure: Callable[[PlatformError], None],
) -> None:
    """Review at intervals until cancelled.

    Parameters
    ----------
    review : callable
        Coroutine function that makes the calls which are due.
    interval_s : float
        Time between two reviews in seconds. A pause is added after a failure.
    rng : RandomSource
        Source of the jitter of these pauses.
    on_failure : callable
        Called when the store has refused a call or did not respond.
    """
    backoff = Backoff(rng)
    while True:
        await asyncio.sleep(interval_s)
        try:
            await review()
            backoff.reset()
        except PlatformError as exc:
            on_failure(exc)
            await backoff.wait()
