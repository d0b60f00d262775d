"""When a host asks another one for what it is missing of the store's contents."""

from .replica import Kind

# A copy that stays behind another host's for so long has missed a push, in seconds. The
# same push reaches hosts within a few ways of one another (70 ms between regions).
BEHIND_S = 0.5
# Pause between two questions for one kind, in seconds: an answer is here within it. A
# host that starts hears of everything from each of its peers at once.
ASK_EVERY_S = 0.3


class CatchUp:
    """Compares the revisions that peers tell with this host's own.

    Failure: a push is lost with the stream that carried it, or the store is away and
    nobody pushes. A host that starts, or comes back from behind a partition, would
    keep what it has. Each sign of life tells the sender's revisions, so whoever is
    behind notices from any peer, and asks one of them for everything it lacks.
    """

    __slots__ = ("_asked_at", "_behind_since")

    def __init__(self) -> None:
        self._asked_at: dict[Kind, float] = {}
        self._behind_since: dict[Kind, float] = {}

    def should_ask(self, kind: Kind, own: int, theirs: int, now: float) -> bool:
        """Tell whether to ask a peer that is complete up to revision `theirs`.

        Parameters
        ----------
        kind : Kind
            What is compared.
        own, theirs : int
            Revisions up to which nothing is missing here and there.
        now : float
            Monotonic time in seconds.
        """
        if theirs <= own:
            self._behind_since.pop(kind, None)
            return False
        since = self._behind_since.setdefault(kind, now)
        if own and now - since < BEHIND_S:
            return False
        return self.may_ask(kind, now)

    def may_ask(self, kind: Kind, now: float) -> bool:
        """Tell whether no question for a kind is on its way; note a new one."""
        if now - self._asked_at.get(kind, float("-inf")) < ASK_EVERY_S:
            return False
        self._asked_at[kind] = now
        return True
