"""What one host knows of whether a run of a backend server answers requests."""

from math import inf

# No host, and the time of an answer that was never seen.
NEVER = ("", -inf)


class AnswerEvidence:
    """When a server last answered, and since when several requests are in flight.

    Other hosts do not report answers, but numbers of requests in flight: a lower number
    shows that a request has ended. Of the reports only the latest ones of two hosts are
    kept, since a report of silence is compared with what any other host has seen.

    Attributes
    ----------
    own_at : float
        When this host last received the head of a response, minus infinity for never.
    is_silent : bool
        Whether the server counts as silent. Then lower numbers of other hosts show
        nothing, since hosts withdraw requests from a silent server.
    """

    __slots__ = ("_latest", "_second", "_several_since", "is_silent", "own_at")

    def __init__(self) -> None:
        self.own_at = -inf
        self.is_silent = False
        # The host with the latest lower number and when it came, and the same for the
        # latest one of any further host.
        self._latest = NEVER
        self._second = NEVER
        self._several_since = inf

    @property
    def heard_at(self) -> float:
        """Return when the server last answered any host, as far as is known."""
        return max(self.own_at, self._latest[1])

    def heard_at_without(self, host_id: str) -> float:
        """Return when the server last answered any host but `host_id`."""
        other = self._second if self._latest[0] == host_id else self._latest
        return max(self.own_at, other[1])

    def ended_at_peer(self, host_id: str, now: float) -> None:
        """Record that another host has fewer requests in flight there than before."""
        if self.is_silent:
            return
        if host_id != self._latest[0]:
            self._second = self._latest
        self._latest = (host_id, now)

    def counted(self, in_flight: int, now: float) -> None:
        """Record how many requests of all hosts are in flight at the server."""
        self.fewer(in_flight)
        if in_flight > 1:
            self._several_since = min(self._several_since, now)

    def fewer(self, in_flight: int) -> None:
        """Record that only so many requests are left in flight."""
        if in_flight < 2:
            self._several_since = inf

    def several_unanswered_s(self, now: float) -> float:
        """Return for how long two or more requests have waited without an answer.

        Zero or less if fewer are in flight.
        """
        return now - max(self._several_since, self.heard_at)
