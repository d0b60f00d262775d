"""Whether a host passes a change of the store on to other hosts.

Designed for a fleet whose hosts are late for each other, as after a start of all of
them on few processors. Each host that hears no changes for two seconds reads the store
itself and tells all others, every second and for each kind of object, also that nothing
has changed. If each of these messages were passed on to all standby hosts, the work of
passing on would grow with the number of reading hosts, make the hosts later still, and
so keep itself up.
"""

from .replica import Kind
from .store_position import START, StorePosition

# Minimum time between two messages of a kind without news that are passed on, in
# seconds. A standby host takes them as a sign that the store is being watched, and
# would read it itself after 1.5 s without one.
MIN_REPEAT_S = 0.5


class ForwardLimit:
    """Bounds the messages without news that are passed on.

    A message is news if it reaches further than all that were passed on before.
    """

    __slots__ = ("_passed_at", "_passed_on")

    def __init__(self) -> None:
        self._passed_at: dict[tuple[Kind, int], float] = {}
        self._passed_on: dict[tuple[Kind, int], StorePosition] = {}

    def may_pass(self, kind: Kind, hops: int, as_of: StorePosition, now: float) -> bool:
        """Return whether to pass a message on, and note it if so.

        Parameters
        ----------
        kind : Kind
            Kind of the objects in the message.
        hops : int
            How often it was passed on before; messages with another number of hops go
            to other hosts.
        as_of : StorePosition
            Position up to which it reaches.
        now : float
            Monotonic time in seconds.
        """
        key = (kind, hops)
        is_news = as_of > self._passed_on.get(key, START)
        passed_at = self._passed_at.get(key, float("-inf"))
        if not is_news and now - passed_at < MIN_REPEAT_S:
            return False
        if is_news:
            self._passed_on[key] = as_of
        self._passed_at[key] = now
        return True
