"""What a host believes of a server's state: the keys it has at hand, and its pace.

Answers this load: a server that has just handled an object needs a third of the time
for it, so a request is best sent where its key was handled before, also by requests of
other hosts, and away from servers that have turned slow.
"""

from collections import OrderedDict
from math import exp

# Keys remembered for each server, so that memory stays bounded (some 100 bytes each).
# Servers keep fewer themselves; a key that was handled long ago is dropped first.
KEYS_MOST = 512
# Weight of the newest answer in a server's pace: the last three or four count.
PACE_WEIGHT = 0.3
# A server's pace is believed less and less while nothing is heard of it, in seconds:
# one that was left alone for being slow is tried again.
PACE_FADES_S = 2.0


class Warmth:
    """Keys that one run of a server has handled, as far as this host knows."""

    __slots__ = ("_keys",)

    def __init__(self) -> None:
        self._keys: OrderedDict[str, None] = OrderedDict()

    def holds(self, key: str) -> bool:
        """Tell whether the server has handled the key of late."""
        return key in self._keys

    def handled(self, key: str) -> bool:
        """Note that the server handled a key; return whether that is news."""
        news = key not in self._keys
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > KEYS_MOST:
            self._keys.popitem(last=False)
        return news

    def forget(self, key: str) -> None:
        """Note that the server did not handle a key after all."""
        self._keys.pop(key, None)


class Pace:
    """How many times as long as expected a server's work has taken lately."""

    __slots__ = ("_learnt_at", "_times")

    def __init__(self) -> None:
        self._times = 1.0
        self._learnt_at = 0.0

    def learn(self, took_s: float, expected_s: float, now: float) -> None:
        """Take in one answer."""
        if expected_s <= 0.0:
            return
        known = self.times(now)
        self._times = known + PACE_WEIGHT * (took_s / expected_s - known)
        self._learnt_at = now

    def times(self, now: float) -> float:
        """Return the pace, 1 for a server as fast as its service."""
        faded = exp(-max(0.0, now - self._learnt_at) / PACE_FADES_S)
        return 1.0 + (self._times - 1.0) * faded
