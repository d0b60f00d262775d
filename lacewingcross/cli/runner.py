"""Runs coroutines for commands, with user errors shown as they are."""

import asyncio
from collections.abc import Coroutine


def run(work: Coroutine[object, object, None]) -> None:
    """Run `work` to its end in one event loop."""
    asyncio.run(work)
