"""The demo command; what it shows is in `lacewingcross.demo`."""

import asyncio
import sys


def demo(*, seed: int = 1) -> None:
    """Show traffic being steered, all in one process, in under a minute.

    Example: lacewingcross demo

    Parameters
    ----------
    seed : int
        Seed of callers and service times.
    """
    from ..demo import run_demo

    asyncio.run(run_demo(seed))
    sys.stdout.flush()
