"""The random source that a driver passes in."""

from typing import Protocol


class RandomSource(Protocol):
    """What the core needs of a source, such as a seeded ``random.Random``."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between `a` and `b`."""
        ...
