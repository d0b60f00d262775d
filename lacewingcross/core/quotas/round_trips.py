"""Whether messages to another holder and back take too long for it to keep accounts.

Designed for fleets whose hosts are short of processor time, as after a restart of all
of them on few processors, and for links with long queues. A request waits for its
keeper for a quarter of a second, and a lease counts from a reading of the keeper's
clock that is one round trip old. So a keeper that is late for all can admit next to
nothing, while shares of the quotas that hosts use themselves still admit most requests.
"""

from collections import deque

# Round trip from which a holder is late, in seconds. It is longer than a request waits
# for its keeper, and a reading of the clock is echoed up to 0.3 s after it arrived.
LATE_ROUND_TRIP_S = 0.4
# Number of the newest round trips that have to be late, so that a pause of one of the
# two hosts makes neither late.
LATE_SAMPLES = 4
# Time in which no holder is late before it is used again, in seconds. Each change of
# keepers costs the credit that the former ones have.
TIMELY_S = 5.0


class RoundTrips:
    """The newest round trips to one holder.

    Attributes
    ----------
    late : bool
        Whether the holder is late.
    """

    __slots__ = ("_newest_s", "_timely_since", "late")

    def __init__(self) -> None:
        self._newest_s: deque[float] = deque(maxlen=LATE_SAMPLES)
        self._timely_since: float | None = None
        self.late = False

    def note(self, round_trip_s: float, now: float) -> None:
        """Note one round trip in seconds, at the monotonic time `now`."""
        self._newest_s.append(round_trip_s)
        if self._all_are_late():
            self._timely_since = None
            self.late = True
            return
        if self._timely_since is None:
            self._timely_since = now
        if now - self._timely_since >= TIMELY_S:
            self.late = False

    def _all_are_late(self) -> bool:
        full = len(self._newest_s) == LATE_SAMPLES
        return full and min(self._newest_s) > LATE_ROUND_TRIP_S
