"""Clocks, injected wherever time matters so that tests can control it."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Source of time for adapters; the core receives only its readings."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back; a suspend may stop it."""
        ...

    def boottime(self) -> float:
        """Return seconds on a clock that never goes back and runs during a suspend."""
        ...

    def wall(self) -> datetime:
        """Return the time of day for display; no decision depends on it."""
        ...


class SystemClock:
    """The operating system's clocks."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return seconds on a clock that never goes back and runs during a suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime:
        """Return the time of day in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when `advance` is called.

    Parameters
    ----------
    start : float, default=1000.0
        First reading in seconds.
    """

    __slots__ = ("_now",)

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def boottime(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def wall(self) -> datetime:
        """Return the reading as a time of day in UTC."""
        return datetime.fromtimestamp(self._now, UTC)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._now += seconds
