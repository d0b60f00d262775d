"""Which requests backend servers end under, and when that is the request's fault.

Answers this load: one request, repeated by its caller, that ends each server which
begins to run it. Every end costs the other requests at that server their answers and
leaves a cold server behind. No single host sees enough of it, since each repeat may
come in at another one; so hosts tell each other of each server that ended, and of the
requests that it was running then.

A server that ends takes innocent requests with it. What tells them apart is that they
are answered elsewhere: a good answer clears a request of all ends before it.
"""

from dataclasses import dataclass, field

from .backend_state import Incarnation
from .quarantine import QuarantineList

# Servers that may end under a request before it is quarantined. An innocent request is
# at two ends in a row when a service is being killed server by server; for three it
# would have to meet each of them within the few tries that its caller makes.
MAX_CRASHES_PER_REQUEST = 3
# How long an end counts against the requests that were there, in seconds. A caller that
# repeats a request by hand or by schedule does so within minutes.
REMEMBERED_S = 300.0
# Ends that are remembered at most, so that they take some megabytes; the oldest goes
# first.
MAX_CRASHES_KEPT = 512


@dataclass(slots=True, frozen=True)
class ServerCrash:
    """One run of a backend server has ended, with these requests at it.

    `requests` holds fingerprints; it may be empty, and several hosts may each tell the
    requests that they had sent.
    """

    server: Incarnation
    requests: frozenset[str] = frozenset()


@dataclass(slots=True)
class _Ended:
    at: float
    own: bool = False
    requests: set[str] = field(default_factory=set)
    # Requests that a server has answered since, so that a late report of them is void.
    cleared: set[str] = field(default_factory=set)


class CrashLedger:
    """Ends of servers, the requests that they count against, and quarantines."""

    __slots__ = ("_against", "_ends", "quarantine")

    def __init__(self) -> None:
        self._ends: dict[Incarnation, _Ended] = {}
        self._against: dict[str, set[Incarnation]] = {}
        self.quarantine = QuarantineList()

    # Questions

    @property
    def has_suspects(self) -> bool:
        """Tell whether anything is held against any request."""
        return bool(self._against or self.quarantine)

    def has_crashed(self, server: Incarnation) -> bool:
        """Tell whether a run of a server is known to have ended."""
        return server in self._ends

    def crash_count(self, request: str) -> int:
        """Return how many servers have ended under a request and count against it."""
        return len(self._against.get(request, ()))

    def crash_requests(self, server: Incarnation) -> frozenset[str]:
        """Return the requests that the end of a server counts against."""
        ended = self._ends.get(server)
        return frozenset(ended.requests) if ended else frozenset()

    # What happens

    def record_crash(
        self, end: ServerCrash, now: float, *, own: bool = False
    ) -> tuple[bool, list[str]]:
        """Take in that a server has ended.

        Parameters
        ----------
        end : ServerEnd
            What ended, and under which requests.
        now : float
            Monotonic time in seconds.
        own : bool
            Whether this host has seen it itself.

        Returns
        -------
        news : bool
            Whether any of it was not known here.
        quarantined : list of str
            Requests that are quarantined from now on.
        """
        known = self._ends.get(end.server)
        first = known is None
        if known is None:
            known = self._remember(end.server, now)
        known.own = known.own or own
        new = end.requests - known.requests - known.cleared
        known.requests |= new
        guilty = []
        for request in sorted(new):
            self._against.setdefault(request, set()).add(end.server)
            if request in self.quarantine:
                self.quarantine.ended_again(request, end.server[0], now)
            elif self.crash_count(request) >= MAX_CRASHES_PER_REQUEST:
                self._convict(request, now)
                guilty.append(request)
        return first or bool(new), guilty

    def _remember(self, server: Incarnation, now: float) -> _Ended:
        while len(self._ends) >= MAX_CRASHES_KEPT:
            self._forget(next(iter(self._ends)))
        ended = _Ended(now)
        self._ends[server] = ended
        return ended

    def _forget(self, server: Incarnation) -> None:
        for request in self._ends.pop(server).requests:
            against = self._against[request]
            against.discard(server)
            if not against:
                del self._against[request]

    def _convict(self, request: str, now: float) -> None:
        against = sorted(self._against[request])
        own = any(self._ends[server].own for server in against)
        servers = tuple(server_id for server_id, _ in against)
        self.quarantine.add(request, servers, now, own=own)
        self.quarantine.doubt(request, now)

    def answered(self, request: str) -> bool:
        """Clear a request that a server has answered; return whether that is news.

        Failure: a server ends three times under load while a popular request is always
        at it. Everybody who asks for the same would be refused for minutes.
        """
        if request not in self._against and request not in self.quarantine:
            return False
        self.release(request)
        return True

    def release(self, request: str) -> None:
        """Hold nothing against a request any more."""
        self.quarantine.release(request)
        for server in self._against.pop(request, ()):
            self._ends[server].requests.discard(request)
            self._ends[server].cleared.add(request)

    def add_stored_quarantine(
        self, request: str, servers: tuple[str, ...], now: float
    ) -> None:
        """Take over a quarantine that a host has stored."""
        if request not in self.quarantine:
            self.quarantine.add(request, servers, now)

    def review(self, now: float) -> list[str]:
        """Forget what is too old; return requests that are no longer refused."""
        old = [s for s, ended in self._ends.items() if now - ended.at > REMEMBERED_S]
        for server in old:
            self._forget(server)
        over = self.quarantine.over(now)
        for request in over:
            self.release(request)
        return over
