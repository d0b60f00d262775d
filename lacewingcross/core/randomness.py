"""The random source that the program around the core provides."""

from typing import Protocol


class RandomSource(Protocol):
    """What the core needs from a random source, such as a seeded ``random.Random``."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between `a` and `b`."""
        ...
