"""A token bucket: what may be sent or logged at a limited rate."""


class TokenBucket:
    """Tokens that are earned at a constant rate and saved up to a limit; full at first.

    Parameters
    ----------
    rate_per_s : float
        Tokens earned per second.
    capacity : float
        Largest number of tokens saved.
    """

    __slots__ = ("_capacity", "_rate_per_s", "_refilled_at", "_tokens")

    def __init__(self, rate_per_s: float, capacity: float) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._refilled_at = float("-inf")
        self._tokens = 0.0

    def available(self, now: float) -> float:
        """Return the tokens at the monotonic time `now`; below 0 after an overdraft."""
        earned = self._rate_per_s * (now - self._refilled_at)
        self._tokens = min(self._capacity, self._tokens + earned)
        self._refilled_at = now
        return self._tokens

    def spend(self, tokens: float) -> None:
        """Take tokens, also more than there are."""
        self._tokens -= tokens
