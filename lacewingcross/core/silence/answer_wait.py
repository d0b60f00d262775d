"""Decides when a request that may run twice stops waiting for one server's answer."""

from math import inf

from ..backend_state import Server
from .watch import SilenceWatch

# Time between two checks whether the server has been found silent, in seconds. They
# begin when the request has waited for longer than usual.
CHECK_INTERVAL_S = 0.05
# Time until the next check after the retry budget allowed no other attempt, in seconds.
# It is longer, since each such check is logged and counted.
REFUSED_INTERVAL_S = 0.25


class AnswerWait:
    """The wait of one repeatable request for the answer of one server.

    Any answer before the deadline is equally useful. So a server gets all of the time
    left, except one silence timeout that another server would need. A server that is
    known to be silent is left once the request has waited for longer than usual.

    Parameters
    ----------
    watch : SilenceWatch
        Knows the silent servers.
    server : Server
        The server.
    timeout_s : float
        Silence timeout of the server for the request, by this host's attempts alone, in
        seconds.
    direct : bool
        Whether the request was sent on a direct path. Findings of silence say nothing
        about requests that another host carries.
    now : float
        When the wait begins, monotonic, in seconds.
    """

    __slots__ = (
        "_began_at",
        "_direct",
        "_leave_at",
        "_next_check_at",
        "_server",
        "_timeout_s",
        "_watch",
    )

    def __init__(
        self,
        watch: SilenceWatch,
        server: Server,
        timeout_s: float,
        *,
        direct: bool,
        now: float,
    ) -> None:
        self._watch = watch
        self._server = server
        self._timeout_s = timeout_s
        self._direct = direct
        self._began_at = now
        self._leave_at = inf
        self._next_check_at = inf

    def begin(self, time_left_s: float) -> None:
        """Begin to wait; the deadline is in `time_left_s` seconds."""
        now = self._began_at
        self._set_leave_at(now, time_left_s)
        if self._direct:
            self._next_check_at = now + self._watch.check_after_s(self._server, now)

    def refused(self, now: float, time_left_s: float, *, no_room: bool) -> None:
        """Wait on, since no other attempt was allowed.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        time_left_s : float
            Time until the deadline, in seconds.
        no_room : bool
            Whether no other server could take the request. It may do so soon.
        """
        if now >= self._leave_at:
            self._set_leave_at(now, time_left_s)
        pause_s = CHECK_INTERVAL_S if no_room else REFUSED_INTERVAL_S
        self._next_check_at = max(self._next_check_at, now + pause_s)

    def _set_leave_at(self, now: float, time_left_s: float) -> None:
        self._leave_at = now + max(self._timeout_s, time_left_s - self._timeout_s)

    def check_in_s(self, now: float) -> float:
        """Return after what time to call `wants_another`, in seconds."""
        at = max(self._next_check_at, now + CHECK_INTERVAL_S)
        return max(0.0, min(self._leave_at, at) - now)

    def wants_another(self, now: float) -> bool:
        """Return whether the request should go to another server, if one takes it."""
        if now >= self._leave_at:
            return True
        if now < self._next_check_at:
            return False
        return self._watch.may_leave(self._server, self._began_at, now)
