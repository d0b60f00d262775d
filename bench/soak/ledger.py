"""Records what callers and backend servers observed, and finds violated guarantees."""

import hashlib
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from .accounts import UNLIMITED, account_violations, key_violations, quota_violations
from .configuration import CONFIG_APPLY_S, configuration_violations
from .findings import Violation
from .popular import POPULAR, QUARANTINE_CRASHES, popular_violations
from .retries import retry_violations
from .signals import (
    DRAIN_S,
    SignalLedger,
    back_off_violations,
    leaving_violations,
    limit_violations,
)

# Time bounds in seconds that the soak's settings and the deployment guarantee.
EVACUATION_S = 5.0
STABLE_S = 3.0
# Share of the reads in the last, undisturbed seconds that must succeed. The users
# require only a quarter of what was served before the faults.
MIN_RECOVERED_SHARE = 0.8
# Deadline of the callers' requests, in seconds.
DEADLINE_S = 2.0
# Status codes that guarantee that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Kind and target of a read that crashes each server which begins to run it.
CRASHING = "bad"
CRASHING_TARGET = "/calendar/ends-servers"
# Kind of bookings that take longer than usual, and may take longer than a stop.
LONG = "long"
# A request that was sent at most this long after the SIGTERM may be cut in the last
# part of the time that a host has to end.
CUT_IF_SENT_S = 3.0
LAST_PART = 5 / 6
REPEATABLE = ("read", CRASHING, POPULAR)
# How many more runs of a request undisturbed hosts may cause later than `STABLE_S`
# after the crash that quarantines it.
MAX_LATE_CRASHES = 3
# Connections that undisturbed hosts may close without an answer to the request on them.
MAX_CUT_UNDISTURBED = 3
# Seconds from the start of a run in which hosts may still be starting: they have 2.5 s
# before the first request, and `STABLE_S` after it.
STARTING_S = 5.5
# Time bounds are judged only while the soak's own event loop is late by at most this
# many seconds.
MAX_LOOP_LAG_S = 0.25


def signature(server_id: str, request_id: str, status: int, body: bytes) -> str:
    """Return the signature of a response: the server's id and a hash."""
    text = f"{server_id}.{request_id}.{status}.".encode() + body
    return f"{server_id}.{hashlib.blake2b(text, digest_size=8).hexdigest()}"


@dataclass(slots=True, frozen=True)
class Sent:
    """One request as its caller sent it.

    Attributes
    ----------
    host, incarnation : int
        Index of the host, and how often its process had been started.
    at : float
        When it was sent, in seconds from the start of the run.
    version : int
        The configuration version that the request probes, or 0.
    """

    request_id: str
    kind: str
    service: str
    target: str
    body: bytes
    host: int
    incarnation: int
    at: float
    version: int = 0
    account: str = ""


@dataclass(slots=True, frozen=True)
class Reply:
    """The outcome of a request for its caller.

    `status` is 0 when no complete response arrived; `failure` then names the failure.
    """

    request_id: str
    status: int
    response_signature: str
    body: bytes
    at: float
    failure: str = ""


@dataclass(slots=True, frozen=True)
class Run:
    """One request that a server began to run.

    `account` is the account named to the server. `has_credentials` says whether the
    server received the caller's credentials.
    """

    request_id: str
    server_id: str
    target: str
    body: bytes
    at: float
    account: str = ""
    has_credentials: bool = False


@dataclass(slots=True)
class Disturbances:
    """Periods of time in which faults disturbed a host or the store."""

    periods: list[tuple[float, float, str]] = field(default_factory=list)

    def add(self, begin: float, end: float, cause: str) -> None:
        """Record a disturbance and its cause."""
        self.periods.append((begin, end, cause))

    def causes_near(self, begin: float, end: float) -> set[str]:
        """Return the causes of disturbances in a period or up to `STABLE_S` before."""
        return {
            cause
            for start, stop, cause in self.periods
            if start <= end and stop >= begin - STABLE_S
        }


@dataclass(slots=True)
class Ledger:
    """The observations of one run.

    Attributes
    ----------
    sent : dict of str to Sent
        The callers' requests by id.
    runs : dict of str to list of Run
        The runs of each request at servers.
    crashes : list of tuple
        Time and request id of each crash of a server by a request.
    server_ends : list of tuple
        Time and server id of each server that was stopped, by a request or not.
    arrivals : list of tuple
        Time, service and request id of each request that reached a server.
    left_at : dict of str to float
        For each server, when the store accepted that it is draining or dropped its
        entry.
    evacuated : dict of str to list of tuple
        For each failure domain, begin and end of its evacuations.
    accepted : dict of int to float
        When each configuration version was stored.
    host_disturbances : dict of int to Disturbances
        Disturbances of each host.
    store_disturbances : Disturbances
        Disturbances of the store.
    loop_lags : list of tuple
        Time and lag in seconds whenever the soak's own event loop was late.
    unexpected_exits : list of tuple
        Time, host and exit code of each process that exited without a fault.
    grace_s : float
        How long after SIGTERM a host that still runs is killed, in seconds.
    calm_from, calm_to : float
        The undisturbed period at the end, in which reads must succeed.
    unjudged : int
        Time bounds that were not judged because the event loop was late.
    """

    sent: dict[str, Sent] = field(default_factory=dict)
    replies: list[Reply] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    crashes: list[tuple[float, str]] = field(default_factory=list)
    server_ends: list[tuple[float, str]] = field(default_factory=list)
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    left_at: dict[str, float] = field(default_factory=dict)
    evacuated: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    domain_of: dict[str, str] = field(default_factory=dict)
    service_of: dict[str, str] = field(default_factory=dict)
    accepted: dict[int, float] = field(default_factory=dict)
    host_disturbances: dict[int, Disturbances] = field(
        default_factory=lambda: defaultdict(Disturbances)
    )
    store_disturbances: Disturbances = field(default_factory=Disturbances)
    loop_lags: list[tuple[float, float]] = field(default_factory=list)
    unexpected_exits: list[tuple[float, int, int]] = field(default_factory=list)
    signals: SignalLedger = field(default_factory=SignalLedger)
    grace_s: float = 6.0
    calm_from: float = float("inf")
    calm_to: float = float("inf")
    unjudged: int = 0

    def violations(self) -> list[Violation]:
        """Return every violation of a guarantee, in order of time."""
        found: list[Violation] = []
        for reply in self.replies:
            found += self._reply_violations(reply)
        for runs in self.runs.values():
            found += self._run_violations(runs)
        found += configuration_violations(self)
        found += retry_violations(self)
        found += self._cut_violations()
        found += self._recovery_violations()
        found += self._crash_violations()
        found += popular_violations(self)
        found += account_violations(self)
        found += key_violations(self)
        found += quota_violations(self)
        found += limit_violations(self)
        found += leaving_violations(self)
        found += back_off_violations(self)
        found += [
            Violation("ENDED", at, f"host {host} ended by itself with {code}")
            for at, host, code in self.unexpected_exits
        ]
        return sorted(found, key=lambda item: item.at)

    def _reply_violations(self, reply: Reply) -> list[Violation]:
        sent = self.sent[reply.request_id]
        found = []
        if 200 <= reply.status < 300 and not reply.response_signature:
            found.append(self._violation("MIXED", reply, "success without signature"))
        if (
            reply.response_signature
            and reply.response_signature != self._expected_signature(reply)
        ):
            found.append(
                self._violation("MIXED", reply, "the answer is not the server's")
            )
        ran = self.runs.get(reply.request_id, [])
        refused = reply.status in NOT_RUN and sent.kind not in REPEATABLE
        if refused and ran:
            found.append(
                self._violation("REFUSED", reply, f"{reply.status}, and it ran")
            )
        if reply.failure == "held" and self._loop_was_on_time(sent.at, reply.at):
            found.append(self._violation("HELD", reply, "no answer by its deadline"))
        if (
            reply.failure == "cut"
            and ran
            and self._only_terminated(sent, reply)
            and not self._may_be_cut(sent, reply)
        ):
            found.append(self._violation("LOST", reply, "cut by a planned stop"))
        return found

    def _violation(self, rule: str, reply: Reply, what: str) -> Violation:
        sent = self.sent[reply.request_id]
        return Violation(
            rule, reply.at, f"{reply.request_id} at host {sent.host}: {what}"
        )

    def _expected_signature(self, reply: Reply) -> str:
        server_id = reply.response_signature.partition(".")[0]
        return signature(server_id, reply.request_id, reply.status, reply.body)

    def _only_terminated(self, sent: Sent, reply: Reply) -> bool:
        return self.host_disturbances[sent.host].causes_near(sent.at, reply.at) == {
            "host-term"
        }

    def _may_be_cut(self, sent: Sent, reply: Reply) -> bool:
        """Return whether a stop may cut a request, see `CUT_IF_SENT_S`."""
        return any(
            start <= reply.at <= stop
            and sent.at <= start + CUT_IF_SENT_S
            and reply.at >= start + LAST_PART * self.grace_s
            for start, stop, cause in self.host_disturbances[sent.host].periods
            if cause == "host-term"
        )

    def _run_violations(self, runs: list[Run]) -> list[Violation]:
        found = []
        for run in runs:
            sent = self.sent.get(run.request_id)
            if sent is None or (sent.target, sent.body) != (run.target, run.body):
                text = f"{run.request_id} at {run.server_id}"
                found.append(Violation("UNASKED", run.at, text))
                continue
            if sent.service != self.service_of[run.server_id]:
                text = f"{run.request_id} for {sent.service} at {run.server_id}"
                found.append(Violation("ROUTE", run.at, text))
            found += self._late_run_violations(sent, run)
        sent = self.sent.get(runs[0].request_id)
        if len(runs) > 1 and sent is not None and sent.kind not in REPEATABLE:
            servers = ", ".join(run.server_id for run in runs)
            text = f"{runs[0].request_id} ran at {servers}"
            found.append(Violation("TWICE", runs[1].at, text))
        return found

    def _late_run_violations(self, sent: Sent, run: Run) -> list[Violation]:
        """Return runs at a server too long after it left or was evacuated."""
        found = []
        left_at = self.left_at.get(run.server_id)
        if left_at is not None and self.exceeds_bound(sent, left_at, DRAIN_S, run.at):
            text = (
                f"{run.request_id}: {run.server_id} left {run.at - left_at:.2f} s ago"
            )
            found.append(Violation("DRAIN", run.at, text))
        domain = self.domain_of[run.server_id]
        for begin, end in self.evacuated.get(domain, []):
            during_evacuation = run.at < end
            if during_evacuation and self.exceeds_bound(
                sent, begin, EVACUATION_S, run.at
            ):
                text = f"{run.request_id}: {domain} evacuated at {begin:.2f}"
                found.append(Violation("EVAC", run.at, text))
        return found

    def exceeds_bound(
        self, sent: Sent, since: float, bound_s: float, at: float
    ) -> bool:
        """Return whether an undisturbed host exceeded a bound that began at `since`."""
        if at <= since + bound_s:
            return False
        undisturbed = self._undisturbed(sent.host, since, at)
        return undisturbed and self._loop_was_on_time(since, at)

    def _loop_was_on_time(self, begin: float, end: float) -> bool:
        """Return whether a time bound may be judged; if not, count that.

        The proxies of all callers, the servers and the store run in the soak's own
        event loop, so their messages are as late as the loop.
        """
        on_time = self._max_loop_lag(begin, end) <= MAX_LOOP_LAG_S
        self.unjudged += not on_time
        return on_time

    def _undisturbed(self, host: int, begin: float, end: float) -> bool:
        return not self.host_disturbances[host].causes_near(
            begin, end
        ) and not self.store_disturbances.causes_near(begin, end)

    def versions_at(self, sent: Sent) -> set[int]:
        """Return the versions that may have been in force at the host of a request.

        These are all versions that were accepted within `CONFIG_APPLY_S` before the
        request or before its deadline, and the newest one before them. At a disturbed
        host it may be any version.
        """
        if not self._undisturbed(sent.host, sent.at - CONFIG_APPLY_S, sent.at):
            return set(self.accepted)
        before = [
            version
            for version, at in self.accepted.items()
            if at <= sent.at - CONFIG_APPLY_S
        ]
        since = {
            version
            for version, at in self.accepted.items()
            if sent.at - CONFIG_APPLY_S < at <= sent.at + DEADLINE_S
        }
        return since | {max(before, default=1)}

    def _max_loop_lag(self, begin: float, end: float) -> float:
        first_index = bisect_left(self.loop_lags, (begin, 0.0))
        end_index = bisect_right(self.loop_lags, (end + 1.0, 0.0))
        return max(
            (lag for _, lag in self.loop_lags[first_index:end_index]), default=0.0
        )

    def _crash_violations(self) -> list[Violation]:
        """Return a violation if a request that crashes servers kept reaching them."""
        if len(self.crashes) < QUARANTINE_CRASHES:
            return []
        since = self.crashes[QUARANTINE_CRASHES - 1][0] + STABLE_S
        late = [
            at
            for at, request_id in self.crashes
            if at > since and self.sent_undisturbed(self.sent[request_id])
        ]
        if len(late) <= MAX_LATE_CRASHES:
            return []
        text = f"{len(late)} late, {len(self.crashes)} servers ended under one request"
        return [Violation("ENDS", late[MAX_LATE_CRASHES], text)]

    def host_undisturbed(self, sent: Sent) -> bool:
        """Return whether the host was undisturbed when a request was sent to it."""
        return not self.host_disturbances[sent.host].causes_near(sent.at, sent.at)

    def sent_undisturbed(self, sent: Sent) -> bool:
        """Return whether host and store were undisturbed when a request was sent."""
        return self._undisturbed(sent.host, sent.at, sent.at)

    def _cut_violations(self) -> list[Violation]:
        """Return a violation if undisturbed hosts left several callers unanswered."""
        cut = [
            reply
            for reply in self.replies
            if reply.failure == "cut" and self._was_undisturbed(reply)
        ]
        if len(cut) <= MAX_CUT_UNDISTURBED:
            return []
        text = f"{len(cut)} connections closed without an answer by undisturbed hosts"
        return [Violation("LOST", cut[MAX_CUT_UNDISTURBED].at, text)]

    def _was_undisturbed(self, reply: Reply) -> bool:
        """Return whether nothing disturbed the host of a request until its end."""
        sent = self.sent[reply.request_id]
        disturbances = self.host_disturbances[sent.host]
        return sent.at > STARTING_S and not disturbances.causes_near(sent.at, reply.at)

    def _recovery_violations(self) -> list[Violation]:
        status_of = {reply.request_id: reply.status for reply in self.replies}
        statuses = [
            status_of.get(sent.request_id, 0)
            for sent in self.sent.values()
            if sent.kind == "read"
            and not sent.version
            and sent.account in ("", UNLIMITED)
            and self.calm_from <= sent.at < self.calm_to
        ]
        served = sum(status == 200 for status in statuses)
        if statuses and served < MIN_RECOVERED_SHARE * len(statuses):
            text = f"{served} of {len(statuses)} reads served in the calm at the end"
            return [Violation("RECOVER", self.calm_from, text)]
        return []
