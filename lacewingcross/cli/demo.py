"""The demo command; the demo itself is in `lacewingcross.demo`."""

import asyncio
import sys


def demo(*, seed: int = 1) -> None:
    """Show how traffic is steered, in one process and in under a minute.

    Example: lacewingcross demo

    Parameters
    ----------
    seed : int
        Random seed of callers and service times.
    """
    from ..demo import run_demo

    asyncio.run(run_demo(seed))
    sys.stdout.flush()
