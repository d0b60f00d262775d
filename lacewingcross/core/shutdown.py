"""Which requests a host that shuts down may still take.

The platform kills the process a fixed time after it has asked it to shut down. A
request that the host takes and cannot end before that is cut, and its caller does not
learn whether it has run. A caller that is refused at once can use another host.
"""

from dataclasses import dataclass

# How long before the platform kills the process the host stops waiting for requests, in
# seconds.
KILL_MARGIN_S = 0.3
# How long after the shutdown began the usual time of a request is enough to take it, in
# seconds. By then callers have had two lifetimes of a look-up to learn of the shutdown.
# Later only requests whose deadline is early enough are taken.
USUAL_TIME_COUNTS_S = 2.9
# A request is taken if this many times the usual time of its kind is left.
USUAL_TIME_FACTOR = 1.25


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The shutdown of this host; times are monotonic, in seconds.

    The host ends at `end_at` at the latest, whether or not requests are running.
    """

    began_at: float
    end_at: float

    @classmethod
    def begin(cls, now: float, grace_s: float) -> "Shutdown":
        """Return a shutdown that begins now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        grace_s : float
            Time until the platform kills the process, in seconds.
        """
        return cls(now, now + max(0.0, grace_s - KILL_MARGIN_S))

    def allows(self, now: float, deadline_at: float, usual_s: float) -> bool:
        """Return whether a request can end before the host does.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        deadline_at : float
            When the host answers the request at the latest, monotonic, in seconds.
        usual_s : float
            Time within which nearly all requests of its kind are answered, in seconds;
            infinite if it is not known.
        """
        if deadline_at <= self.end_at:
            return True
        if now - self.began_at > USUAL_TIME_COUNTS_S:
            return False
        return now + USUAL_TIME_FACTOR * usual_s <= self.end_at
