"""When a host asks another host for contents of the store that it is missing."""

from .replica import Kind
from .store_position import START, StorePosition

# A copy that is behind another host's for this time, in seconds, has missed a push. One
# push reaches all hosts within a few network round trips (70 ms between regions).
MISSED_PUSH_AFTER_S = 0.5
# Minimum time between two requests for one kind of object, in seconds; the response to
# the first arrives within this time. A host that starts receives the positions of all
# its peers at once, and must not ask each of them.
MIN_ASK_INTERVAL_S = 0.3


class CatchUp:
    """Compares the positions that peers announce with this host's own.

    Guards against a push that is lost with its stream, and against an outage of the
    store, during which no host pushes. A host that starts, or that was partitioned,
    would keep its old copy. Each `Alive` message carries the sender's positions, so a
    host that is behind notices it from any peer, and asks one peer for everything that
    it is missing.
    """

    __slots__ = ("_asked_at", "_behind_since")

    def __init__(self) -> None:
        self._asked_at: dict[Kind, float] = {}
        self._behind_since: dict[Kind, float] = {}

    def should_ask(
        self, kind: Kind, own: StorePosition, peer: StorePosition, now: float
    ) -> bool:
        """Return whether to ask a peer for changes, and note the request if so.

        A host without a copy (`own` is `START`) asks at once; any other host only
        after its copy has been behind for `MISSED_PUSH_AFTER_S`. In both cases
        `may_ask` limits the requests.

        Parameters
        ----------
        kind : Kind
            Kind of object whose positions are compared.
        own, peer : StorePosition
            Positions up to which this host's and the peer's copies are complete.
        now : float
            Monotonic time in seconds.
        """
        if peer <= own:
            self._behind_since.pop(kind, None)
            return False
        since = self._behind_since.setdefault(kind, now)
        if own > START and now - since < MISSED_PUSH_AFTER_S:
            return False
        return self.may_ask(kind, now)

    def may_ask(self, kind: Kind, now: float) -> bool:
        """Return whether a request for a kind may be sent, and note the request if so.

        It may unless one was sent within `MIN_ASK_INTERVAL_S`.
        """
        if now - self._asked_at.get(kind, float("-inf")) < MIN_ASK_INTERVAL_S:
            return False
        self._asked_at[kind] = now
        return True
