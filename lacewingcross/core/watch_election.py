"""Whether this host watches the store itself or receives updates from another host.

Every call to the store costs money, and a waiting watch counts as one call. So a single
host watches the store and sends all other hosts the changes, or a message that nothing
has changed. If another host receives no such message within its silence timeout, it
watches the store itself: an operator's change must be in force on all hosts within
2.5 s, also on a host that the others cannot reach.
"""

from .replica import Kind

# How long a watch of quarantines waits for a change, in seconds. It is longer than for
# other kinds, because one call per second would be too much for objects that hardly
# ever change. New quarantines reach all running hosts without the store; hosts that
# start read them from the store. An operator's deletion takes effect at once, since any
# change ends the watch.
QUARANTINE_WATCH_S = 10.0
# How long a watch of other kinds waits for a change, in seconds. Whenever it returns,
# all hosts receive a message, which shows that the watching host is alive. A longer
# wait would be cheaper, but the failure of the watching host has to be noticed well
# within the time in which a change must be in force.
WATCH_WAIT_S = 1.0
# Maximum wait of the first watch after a host has begun to watch, in seconds. The other
# hosts wait for the message that follows this watch, and must not begin to watch as
# well.
FIRST_WAIT_S = 0.05
# Silence timeout of the host of rank 1, the first to replace the watching host, in
# seconds: one watch, and half a second for a slow store (sixty times its usual 4 ms)
# and a lost packet.
SILENCE_TIMEOUT_S = 1.5
# The host of each further rank waits this much longer, in seconds, so that one host
# begins to watch and not all: the message of that host reaches the other hosts within
# the delay between regions (35 ms).
SILENCE_TIMEOUT_STEP_S = 0.1
# Maximum silence timeout of any host, in seconds, for all kinds but quarantines. A
# change made right after the last message is then in force 2.1 s later.
MAX_SILENCE_TIMEOUT_S = 2.0
# Silence timeout of an active host, which callers use, while it has no objects of a
# kind yet, in seconds. Within this time of the host's start, a peer that has the
# objects sends them. If a fleet loses power and the host of rank 0 restarts last, the
# other hosts start to serve this much later.
EMPTY_TIMEOUT_S = 0.06
# Used in place of `EMPTY_TIMEOUT_S` at the first start of the whole system, for the
# host of rank 1, in seconds. The timeout is `SILENCE_TIMEOUT_STEP_S` longer for each
# further rank, up to `MAX_FIRST_START_EMPTY_TIMEOUT_S`. It is longer than
# `EMPTY_TIMEOUT_S`, because no peer has objects to send yet and callers come later: the
# host of rank 0 has time to read the store and send its objects before other hosts read
# the store too.
FIRST_START_EMPTY_TIMEOUT_S = 0.4
MAX_FIRST_START_EMPTY_TIMEOUT_S = 0.8
# After a failed call of this host, the store counts as unreachable for this host for
# this time, in seconds. Then the host may try again when its rank allows it.
STORE_UNREACHABLE_S = 5.0


class WatchElection:
    """Decides for each kind of object whether this host watches it now.

    Parameters
    ----------
    started_at : float
        When the host started, a monotonic time in seconds.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    __slots__ = ("_failed_at", "_first_start", "_peer_update_at", "_started_at")

    def __init__(
        self, started_at: float = float("-inf"), *, first_start: bool = False
    ) -> None:
        self._failed_at = float("-inf")
        self._first_start = first_start
        self._started_at = started_at
        self._peer_update_at: dict[Kind, float] = {}

    def note_peer_update(self, kind: Kind, now: float) -> None:
        """Note that another host has just sent a complete update of a kind."""
        self._peer_update_at[kind] = now

    def failed(self, now: float) -> None:
        """Note that the store refused a call of this host, or did not respond."""
        self._failed_at = now

    def succeeded(self) -> None:
        """Note that the store responded to this host."""
        self._failed_at = float("-inf")

    def store_unreachable(self, now: float) -> bool:
        """Return whether the store is unreachable for this host.

        Other hosts should then watch the store instead.
        """
        return now - self._failed_at < STORE_UNREACHABLE_S

    def should_watch(
        self, kind: Kind, rank: int | None, now: float, *, empty: bool = False
    ) -> bool:
        """Return whether this host has to watch a kind itself.

        Guards against a failure of the watching host: it crashes, is partitioned, or
        the store does not respond to it. The other hosts receive no updates and would
        keep an old configuration. So each of them watches the store after its silence
        timeout. The silence counts from the last update of another host, and not from
        this host's own reading of the store. So a host that has begun to watch
        continues until another host sends an update again.

        Parameters
        ----------
        kind : Kind
            The kind of object to watch.
        rank : int or None
            This host's rank among the hosts that may watch the store, 0 first; None if
            a relay sends this host everything.
        now : float
            Monotonic time in seconds.
        empty : bool
            Whether callers use this host and it has no objects of the kind yet.
        """
        if rank is None:
            return False
        if rank == 0:
            return True
        timeout_s = (
            self._empty_timeout_s(rank) if empty else silence_timeout_s(rank, kind)
        )
        return self._silence_s(kind, now) > timeout_s

    def _empty_timeout_s(self, rank: int) -> float:
        """Return the silence timeout of a host without objects, in seconds.

        Guards against a power loss of all hosts after which the host of rank 0 restarts
        last: with the usual timeout, the other hosts would refuse callers for longer
        than with this shorter timeout.
        """
        if not self._first_start:
            return EMPTY_TIMEOUT_S
        extra_s = (rank - 1) * SILENCE_TIMEOUT_STEP_S
        return min(
            MAX_FIRST_START_EMPTY_TIMEOUT_S, FIRST_START_EMPTY_TIMEOUT_S + extra_s
        )

    def _silence_s(self, kind: Kind, now: float) -> float:
        """Return the time since the last update of a kind by a peer, in seconds.

        Before the first such update, it is the time since this host started.
        """
        return now - self._peer_update_at.get(kind, self._started_at)


def watch_wait_s(kind: Kind) -> float:
    """Return how long a watch of a kind waits for a change, in seconds."""
    return QUARANTINE_WATCH_S if kind is Kind.QUARANTINE else WATCH_WAIT_S


def silence_timeout_s(rank: int, kind: Kind = Kind.CONFIG) -> float:
    """Return the silence timeout of a host of rank 1 or more for a kind, in seconds.

    A watch of quarantines is longer, so the timeout is longer by as much.
    """
    timeout_s = min(
        MAX_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_S + (rank - 1) * SILENCE_TIMEOUT_STEP_S
    )
    return timeout_s + QUARANTINE_WATCH_S if kind is Kind.QUARANTINE else timeout_s
