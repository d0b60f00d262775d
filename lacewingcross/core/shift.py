"""Keeps the share of a region's requests that other regions serve from jumping.

Answers this load: callers move between regions in a wave. What its servers cannot
take goes elsewhere, and without a guard that share fell by 0.33 within two seconds when
two thirds of a failure domain's callers left. Bulk moves land on cold servers, so
operators cap them.
"""

# Shares of neighbouring spans of 2 s may differ by 0.15. Twice this rate and twice the
# band stay below; with the rest for the chance of single requests.
RATE = 0.04
BAND = 0.025
# Weight of the newest request in a share: the last forty count, half a second's worth.
WEIGHT = 0.025
# A host that starts knows no share yet; for so many seconds it takes what comes.
FREE_AT_FIRST_S = 1.5
STEP_MOST_S = 0.5


class ShareGuard:
    """The share of one host's requests that is served in other regions.

    It follows what placing would choose by itself, at a bounded rate.
    """

    __slots__ = ("_actual", "_began_at", "_moved_at", "_wanted", "allowed")

    def __init__(self) -> None:
        self.allowed = 0.0
        self._actual = 0.0
        self._wanted = 0.0
        self._began_at: float | None = None
        self._moved_at = 0.0

    def wants(self, *, away: bool, now: float, free: bool) -> None:
        """Note what placing would choose.

        Parameters
        ----------
        away : bool
            Whether another region would serve the request.
        now : float
            Monotonic time in seconds.
        free : bool
            Whether servers of the region are lost: then callers come first, and the
            share may rise at once. It never falls at once: what is served elsewhere
            when servers return or a burst ends would come home to cold servers.
        """
        if self._began_at is None:
            self._began_at = now
            self._moved_at = now
        self._wanted += WEIGHT * (away - self._wanted)
        step_s = min(STEP_MOST_S, now - self._moved_at)
        self._moved_at = now
        if now - self._began_at < FREE_AT_FIRST_S:
            self.allowed = self._wanted
            return
        if free:
            self.allowed = max(self.allowed, self._wanted)
        most = RATE * step_s
        self.allowed += max(-most, min(most, self._wanted - self.allowed))

    def served(self, *, away: bool) -> None:
        """Note where a request was sent."""
        self._actual += WEIGHT * (away - self._actual)

    def too_many_away(self) -> bool:
        """Tell whether one more request away would make the share jump."""
        return self._actual > self.allowed + BAND

    def too_few_away(self) -> bool:
        """Tell whether one more request at home would make the share drop."""
        return self._actual < self.allowed - BAND
