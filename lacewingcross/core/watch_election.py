"""Whether this host follows the store itself or hears of it from another one.

Every call of the store is paid for, a waiting watch as one, so a single host follows
it and tells all others, also that nothing has changed. The others step in by
themselves when nobody has told them anything for longer than they can afford: what
operators write must be in force everywhere within 2.5 s, also at a host that the
others cannot reach.
"""

from .replica import Kind

# Quarantines reach all hosts without the store, and hosts that start read them. Whoever
# watches them waits longer than for other kinds, in seconds: no call a second for what
# hardly ever changes. An operator's deletion counts at once, as any change does.
QUARANTINE_WATCH_S = 10.0
# How long a watch waits for a change, in seconds; every return is told to all hosts as
# a sign of life. Longer ones would be cheaper, but the silence of a follower that died
# has to be noticed well within the time that a change may take.
WATCH_WAIT_S = 1.0
# The first watch of a host that steps in waits no longer than this, in seconds: the
# others wait for its word, too, and must not all step in.
FIRST_WAIT_S = 0.05
# Silence after which the second-ranked host steps in, in seconds: one watch, and half a
# second for a slow store (sixty times its usual 4 ms) and a packet that was lost.
PATIENCE_S = 1.5
# The hosts after it wait this much longer each, in seconds, so that one steps in and
# not all: its word reaches the others within a way between regions (35 ms).
PATIENCE_EACH_S = 0.1
# Longest silence that any host bears, in seconds. A change made right after the last
# word is then in force 2.1 s later.
MAX_SILENCE_TIMEOUT_S = 2.0
# The same for a host that has nothing yet and that callers are sent to, in seconds: a
# peer that has everything tells it within that time of its start. A fleet that has lost
# power, and whose first host comes back last, would serve that much later.
EMPTY_S = 0.06
# The same when the whole system starts for the first time, in seconds, later for each
# rank: nobody has anything, and callers come later.
FIRST_EMPTY_S = 0.4
FIRST_EMPTY_MAX_S = 0.8
# A host that the store turned away counts as unable to follow it for this long, in
# seconds; then it may try again when its rank says so.
TURNED_AWAY_S = 5.0


class WatchElection:
    """Decides for each kind of object whether this host follows it now.

    Parameters
    ----------
    started_at : float
        When the host started, a monotonic time in seconds.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    __slots__ = ("_failed_at", "_first_start", "_started_at", "_told_at")

    def __init__(
        self, started_at: float = float("-inf"), *, first_start: bool = False
    ) -> None:
        self._failed_at = float("-inf")
        self._first_start = first_start
        self._started_at = started_at
        self._told_at: dict[Kind, float] = {}

    def note_peer_update(self, kind: Kind, now: float) -> None:
        """Note that another host told all there is of a kind at this moment."""
        self._told_at[kind] = now

    def failed(self, now: float) -> None:
        """Note that the store turned this host away, or did not answer."""
        self._failed_at = now

    def succeeded(self) -> None:
        """Note that the store answered this host."""
        self._failed_at = float("-inf")

    def store_unreachable(self, now: float) -> bool:
        """Tell whether other hosts should follow the store rather than this one."""
        return now - self._failed_at < TURNED_AWAY_S

    def should_watch(
        self, kind: Kind, rank: int | None, now: float, *, empty: bool = False
    ) -> bool:
        """Tell whether this host has to follow a kind itself.

        Failure: the host that follows the store dies, is cut off or finds the store
        deaf. The others hear nothing more and would keep an old configuration. Each
        of them goes by what it was *told*, not by what it read itself, so one that
        has stepped in goes on until somebody tells it something again.

        Parameters
        ----------
        kind : Kind
            What is followed.
        rank : int or None
            This host's place among those that may follow the store, 0 first; None
            when another host tells it everything.
        now : float
            Monotonic time in seconds.
        empty : bool
            Whether callers are sent to this host, and it has nothing of the kind yet.
        """
        if rank is None:
            return False
        if rank == 0:
            return True
        bears_s = self._empty_patience(rank) if empty else silence_timeout(rank, kind)
        return self._silence(kind, now) > bears_s

    def _empty_patience(self, rank: int) -> float:
        """Return for how long a host that cannot serve yet bears silence, in seconds.

        Failure: all hosts lose power, and the one whose turn it is to read the store
        comes back last. The others would refuse callers until then.
        """
        if not self._first_start:
            return EMPTY_S
        later_s = (rank - 1) * PATIENCE_EACH_S
        return min(FIRST_EMPTY_MAX_S, FIRST_EMPTY_S + later_s)

    def _silence(self, kind: Kind, now: float) -> float:
        return now - self._told_at.get(kind, self._started_at)


def watch_wait_s(kind: Kind) -> float:
    """Return how long a watch of a kind waits for a change, in seconds."""
    return QUARANTINE_WATCH_S if kind is Kind.QUARANTINE else WATCH_WAIT_S


def silence_timeout(rank: int, kind: Kind = Kind.CONFIG) -> float:
    """Return how long a host of this rank bears silence on a kind, in seconds."""
    usual = min(MAX_SILENCE_TIMEOUT_S, PATIENCE_S + (rank - 1) * PATIENCE_EACH_S)
    return usual + QUARANTINE_WATCH_S if kind is Kind.QUARANTINE else usual
