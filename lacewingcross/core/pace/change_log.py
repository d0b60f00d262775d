"""Which changes of servers' paces are logged.

Designed for servers of which dozens change their pace every second: a line for each of
them would be most of the log.
"""

from dataclasses import dataclass

from .token_bucket import TokenBucket

# Lines a second about changed paces.
LINES_PER_S = 1.0
# Lines that can be saved up: a few servers that change together are all named.
MAX_SAVED_LINES = 10.0


@dataclass(slots=True, frozen=True)
class PaceChange:
    """A changed factor of a server that is to be logged.

    `before` and `factor` are the factors before and after the change. `skipped` is the
    number of changes, of any server, that were not logged since the last line.
    """

    before: float
    factor: float
    skipped: int


class ChangeLog:
    """Passes on as many changes as `LINES_PER_S` allows."""

    __slots__ = ("_bucket", "_skipped")

    def __init__(self) -> None:
        self._bucket = TokenBucket(LINES_PER_S, MAX_SAVED_LINES)
        self._skipped = 0

    def change(self, before: float, factor: float, now: float) -> PaceChange | None:
        """Return a change if it is to be logged now, else count it as skipped."""
        if self._bucket.available(now) < 1.0:
            self._skipped += 1
            return None
        self._bucket.spend(1.0)
        skipped, self._skipped = self._skipped, 0
        return PaceChange(before, factor, skipped)
