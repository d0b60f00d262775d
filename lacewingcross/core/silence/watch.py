"""Decides which backend servers are silent, from what all hosts see of them.

Designed for a server that loses power with its connections open, in a fleet where each
host sees each server answer only every few seconds. Requests sent there would wait for
nearly all of their callers' time. A long request at a server that answers others must
not be taken for that.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf

from ..backend_state import Incarnation, Server
from ..placement.completion import ExpectedTimes
from ..placement.work_times import KindTimes
from .reports import Item, Report, SilenceReports
from .timeouts import (
    MIN_TIMEOUT_S,
    SECOND_FRACTION,
    USUAL_FRACTION,
    SilenceTimeouts,
)
from .withdrawn import WithdrawnRequests

# A time between two reviews that is longer than both `MIN_PAUSE_S` seconds and
# `PAUSE_INTERVALS` intervals means that this process was paused. Responses that arrived
# meanwhile have not been read yet, so all requests look old. A busy event loop delays a
# review by less.
MIN_PAUSE_S = 0.4
PAUSE_INTERVALS = 4
# Largest share of the servers of a service that may count as silent. With more of them
# the host that takes them for silent may itself be cut off.
MAX_SILENT_SHARE = 0.5
# Part of the silence timeout after which a server that nobody has heard may be silent,
# so that a withdrawn request must not look answered.
QUIET_FRACTION = 0.25
# Silence timeouts for which other hosts are told of a withdrawn request at most. The
# request may end before the server dies, and the finding takes one timeout from then.
WITHDRAWN_TIMEOUTS = 2
FOUND = "found"
TOLD = "told"
REFUTED = "refuted"
HEARD = "heard"


@dataclass(slots=True, frozen=True)
class SilenceEvent:
    """A change of what counts as silent, or a report that changed nothing.

    Attributes
    ----------
    what : str
        `FOUND` by this host; `TOLD` by another host and believed; `REFUTED` for a
        report of another host about a server that was heard since; `HEARD` for a server
        that answers again.
    server : Server
        The server.
    source : str
        Id of the host that reported it, empty for this host.
    unanswered_s : float
        Time since the server last answered anybody, or since the oldest request in
        flight was sent if that is later, in seconds. 0 for a server that answers again.
    timeout_s : float
        Silence timeout of the server, in seconds; infinity if this host knows none.
    own, others : int
        Requests that this host and the other hosts have in flight there.
    """

    what: str
    server: Server
    source: str
    unanswered_s: float
    timeout_s: float
    own: int
    others: int


class SilenceWatch:
    """The silent servers, and what is reported of them to other hosts.

    Parameters
    ----------
    servers : dict of str to Server
        All known servers by id.
    servers_of : callable
        Returns the servers of a service that take requests.
    expectations : ExpectedTimes
        Network round trips to servers.
    enabled : bool
        Whether any server is ever found silent.

    Attributes
    ----------
    reports : SilenceReports
        What is sent to other hosts.
    """

    __slots__ = (
        "_resumed_at",
        "_enabled",
        "_pending",
        "_reviewed_at",
        "_servers",
        "_servers_of",
        "_silent",
        "_timeouts",
        "_withdrawn",
        "reports",
    )

    def __init__(
        self,
        servers: dict[str, Server],
        servers_of: Callable[[str], list[Server]],
        expectations: ExpectedTimes,
        *,
        enabled: bool,
    ) -> None:
        self._enabled = enabled
        self._servers = servers
        self._servers_of = servers_of
        self._timeouts = SilenceTimeouts(expectations)
        # Servers with attempts of this host: only these can be found silent by it.
        self._pending: dict[Incarnation, Server] = {}
        self._silent: dict[Incarnation, Server] = {}
        self._withdrawn = WithdrawnRequests()
        self._reviewed_at = -inf
        self._resumed_at = -inf
        self.reports = SilenceReports()

    def began(self, server: Server, times: KindTimes, now: float) -> None:
        """Record an attempt of this host, already counted, and its kind of work."""
        self._timeouts.note_kind(server.entry.service, times)
        self._pending[server.entry.incarnation] = server
        server.note_in_flight(now)

    def heard(self, server: Server, now: float) -> SilenceEvent | None:
        """Record the head of a response; return an event if it ends a silence."""
        server.evidence.own_at = now
        self._withdrawn.clear(server)
        if not server.evidence.is_silent:
            return None
        self.reports.put(server.entry.incarnation, Report(now, answers=True))
        return self._end(server, "", now)

    def reported_pace(
        self, server: Server, host_id: str, at: float, now: float
    ) -> SilenceEvent | None:
        """Record that a server reported its pace to another host at the time `at`.

        The pace comes with the head of a response, so it shows that the server answers.
        An event is returned if it ends a silence.
        """
        if server.evidence.is_silent:
            return self._take_answers(host_id, server, at, now)
        if at > server.evidence.heard_at:
            server.evidence.ended_at_peer(host_id, at)
        return None

    def withdrew(self, server: Server, now: float) -> None:
        """Record that a request of this host ended without an answer.

        Other hosts would take the lower number of requests in flight for an answer. So
        they are told of the request as before until somebody hears from the server, or
        for so long that it would have been found silent.
        """
        timeout_s = self._timeouts.of(server, now)
        quiet_s = now - server.evidence.heard_at
        is_quiet = quiet_s >= QUIET_FRACTION * timeout_s
        if not self._enabled or timeout_s == inf or not is_quiet:
            return
        self._withdrawn.add(server, now, WITHDRAWN_TIMEOUTS * timeout_s)

    def trial_failed(self, server: Server, now: float) -> bool:
        """Skip a silent server again, since its trial request got no answer either.

        Returns
        -------
        is_silent : bool
            Whether the server was known to be silent.
        """
        if server.evidence.is_silent:
            server.skip_silent(now)
        return server.evidence.is_silent

    def check_after_s(self, server: Server, now: float) -> float:
        """Return after what time a pending request may be withdrawn, in seconds.

        That is longer than requests usually take, and only at a silent server.
        """
        return USUAL_FRACTION * self._timeouts.of(server, now)

    def may_leave(self, server: Server, sent_at: float, now: float) -> bool:
        """Return whether a request that may run twice should go to another server."""
        waited_s = now - max(sent_at, self._resumed_at)
        silent = server.evidence.is_silent
        return silent and waited_s >= self.check_after_s(server, now)

    def is_doubtful(self, server: Server, now: float) -> bool:
        """Return whether a server is silent, or several requests wait for long there.

        Servers that die together are found one after the other. A request that leaves
        one of them must not lose its time at the next one.
        """
        if not self._enabled:
            return False
        if server.evidence.is_silent:
            return True
        several_s = self._several_unanswered_s(server, now)
        return several_s > 0.0 and several_s > self.check_after_s(server, now)

    def review(self, now: float, interval_s: float) -> list[SilenceEvent]:
        """Find servers that have become silent.

        A review that comes much too late shows that this process was paused, and the
        time before does not count as silence.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        interval_s : float
            Interval between reviews, and between the numbers of requests in flight that
            other hosts send, in seconds.
        """
        self._timeouts.set_counts_interval(interval_s)
        if now - self._reviewed_at > max(MIN_PAUSE_S, PAUSE_INTERVALS * interval_s):
            self._resumed_at = now
        self._reviewed_at = now
        self._forget_gone(now)
        self._withdrawn.release(self._known, now)
        if not self._enabled:
            return []
        overdue = [item for item in self._pending.values() if self._overdue(item, now)]
        counts = Counter(server.entry.service for server in overdue)
        return [
            self._find(server, now)
            for server in overdue
            if self._is_newly_silent(server, counts[server.entry.service], now)
        ]

    def _forget_gone(self, now: float) -> None:
        self._pending = {
            key: item
            for key, item in self._pending.items()
            if item.own and self._is_known(key)
        }
        if self._silent:
            self._silent = {
                key: item for key, item in self._silent.items() if self._is_known(key)
            }
        self.reports.forget_old(self._is_known, now)

    def _known(self, incarnation: Incarnation) -> Server | None:
        """Return the known run of a server, None if there is none or another one."""
        known = self._servers.get(incarnation[0])
        return known if known and known.entry.incarnation == incarnation else None

    def _is_known(self, incarnation: Incarnation) -> bool:
        return self._known(incarnation) is not None

    def _unanswered_since(self, server: Server) -> float:
        """Return since when a direct attempt of this host and all others wait.

        Infinity if no direct attempt of this host is in flight.
        Attempts through other hosts do not count, since the other host may be at fault.
        """
        oldest_at = server.passive_health.oldest_pending_at()
        if oldest_at is None:
            return inf
        return max(oldest_at, server.evidence.heard_at, self._resumed_at)

    def _several_unanswered_s(self, server: Server, now: float) -> float:
        """Return for how long two requests have waited there, without pauses of ours.

        Zero or less if fewer are in flight.
        """
        several_s = server.evidence.several_unanswered_s(now)
        return min(several_s, now - self._resumed_at)

    def _overdue(self, server: Server, now: float) -> bool:
        unanswered_s = now - self._unanswered_since(server)
        # Avoids computing the timeouts of servers that have answered just now.
        if unanswered_s < MIN_TIMEOUT_S:
            return False
        return unanswered_s > self._timeouts.of(server, now)

    def _is_newly_silent(self, server: Server, overdue: int, now: float) -> bool:
        """Return whether an overdue server is silent and was not known to be.

        A single request in flight may be a long one. A second one, which is unanswered
        for longer than usual as well, is not likely to be long too.

        Parameters
        ----------
        server : Server
            A server with an overdue request of this host.
        overdue : int
            Number of servers of the same service with overdue requests of this host.
        now : float
            Monotonic time in seconds.
        """
        if server.evidence.is_silent:
            return False
        timeout_s = self._timeouts.of(server, now)
        several_s = self._several_unanswered_s(server, now)
        if several_s < SECOND_FRACTION * timeout_s:
            return False
        service = server.entry.service
        return self._may_add(service) and overdue <= self._heard_lately(
            service, now - timeout_s
        )

    def _heard_lately(self, service: str, since: float) -> int:
        """Return how many servers of a service have answered this host itself."""
        servers = self._servers_of(service)
        return sum(server.evidence.own_at >= since for server in servers)

    def _may_add(self, service: str) -> bool:
        """Return whether one more server of a service may count as silent."""
        silent = sum(item.entry.service == service for item in self._silent.values())
        return silent + 1 <= MAX_SILENT_SHARE * len(self._servers_of(service))

    def _find(self, server: Server, now: float) -> SilenceEvent:
        since = self._unanswered_since(server)
        self.reports.put(server.entry.incarnation, Report(since, answers=False))
        return self._begin(FOUND, server, "", since, now)

    def _begin(
        self, what: str, server: Server, source: str, since: float, now: float
    ) -> SilenceEvent:
        server.evidence.is_silent = True
        self._silent[server.entry.incarnation] = server
        server.skip_silent(now)
        return self._event(what, server, source, since, now)

    def _end(self, server: Server, source: str, now: float) -> SilenceEvent:
        server.evidence.is_silent = False
        self._silent.pop(server.entry.incarnation, None)
        server.answers_again(now)
        return self._event(HEARD, server, source, now, now)

    def _event(
        self, what: str, server: Server, source: str, since: float, now: float
    ) -> SilenceEvent:
        timeout_s = self._timeouts.of(server, now)
        counts = (server.own, server.peer_requests)
        return SilenceEvent(what, server, source, now - since, timeout_s, *counts)

    def receive(
        self, host_id: str, items: Iterable[Item], now: float
    ) -> list[SilenceEvent]:
        """Take the reports of another host; return what they changed, or why not.

        Reports on runs of servers that this host does not know are ignored.
        """
        events = []
        for server_id, born_ms, age_s, answers in items:
            if not self._enabled or not self._is_known((server_id, born_ms)):
                continue
            server = self._servers[server_id]
            if answers:
                event = self._take_answers(host_id, server, now - max(0.0, age_s), now)
            else:
                # No host finds a server silent sooner, so a lower age is invalid.
                since = now - max(MIN_TIMEOUT_S, age_s)
                event = self._take_silence(host_id, server, since, now)
            if event is not None:
                events.append(event)
        return events

    def _take_silence(
        self, host_id: str, server: Server, since: float, now: float
    ) -> SilenceEvent | None:
        """Accept a report of silence, unless the server was heard since."""
        evidence = server.evidence
        if evidence.is_silent:
            return None
        if evidence.heard_at_without(host_id) > since:
            incarnation = server.entry.incarnation
            already_told = self.reports.says_answers(incarnation, since)
            if evidence.own_at > since and not already_told:
                report = Report(evidence.own_at, answers=True)
                self.reports.put(incarnation, report)
            return self._event(REFUTED, server, host_id, since, now)
        if not self._may_add(server.entry.service):
            return None
        return self._begin(TOLD, server, host_id, since, now)

    def _take_answers(
        self, host_id: str, server: Server, at: float, now: float
    ) -> SilenceEvent | None:
        """End a silence, unless it began after the answer that was reported."""
        evidence = server.evidence
        if not evidence.is_silent or at <= evidence.heard_at:
            return None
        self.reports.withdraw_silence(server.entry.incarnation)
        event = self._end(server, host_id, now)
        evidence.ended_at_peer(host_id, at)
        return event
