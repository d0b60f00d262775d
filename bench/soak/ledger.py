"""What callers and backend servers saw, and which promises that breaks."""

import hashlib
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from .accounts import USUAL, broken_accounts, broken_keys, broken_quota
from .findings import Broken
from .signals import (
    DRAIN_S,
    SignalLedger,
    broken_limits,
    broken_rests,
    broken_words,
)

# The promises of the deployment that the soak settings give, in seconds.
EVACUATION_S = 5.0
CONFIG_APPLY_S = 2.5
STABLE_S = 3.0
# A route of an older version may be seen this long after a newer one, in seconds: two
# requests may cross.
REVERT_SLACK_S = 0.25
RETRY_RATIO = 0.2
RETRY_EXTRA = 64
RETRY_WINDOW_S = 10.0
# Part of the reads of the last calm seconds that must succeed. The users ask for a
# quarter of what was served before.
RECOVERED = 0.8
# Callers' deadline, in seconds.
DEADLINE_S = 2.0
# Answers that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# A read that ends each server which begins to run it, and its kind.
BAD = "bad"
BAD_TARGET = "/calendar/ends-servers"
REPEATABLE = ("read", BAD)
# Servers that may end under one request, and its runs that may come later than
# `STABLE_S` after that from hosts that nothing has disturbed.
QUARANTINE_CRASHES = 3
LATE_MOST = 3
# Time bounds are judged while the soak's own loop is late by less, in seconds.
OWN_LAG_S = 0.25


def signature(server_id: str, request_id: str, status: int, body: bytes) -> str:
    """Return what a server signs its answer with."""
    text = f"{server_id}.{request_id}.{status}.".encode() + body
    return f"{server_id}.{hashlib.blake2b(text, digest_size=8).hexdigest()}"


@dataclass(slots=True, frozen=True)
class Sent:
    """One request as its caller sent it; `version` for those that probe it."""

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
    """How a request ended for its caller; status 0 when there was no whole answer."""

    request_id: str
    status: int
    signed: str
    body: bytes
    at: float
    why: str = ""


@dataclass(slots=True, frozen=True)
class Run:
    """One request that a server began to work on.

    `account` is what the server was told, `key_claims` whether it got credentials.
    """

    request_id: str
    server_id: str
    target: str
    body: bytes
    at: float
    account: str = ""
    keyed: bool = False


@dataclass(slots=True)
class Spans:
    """Spans of time in which something was disturbed."""

    spans: list[tuple[float, float, str]] = field(default_factory=list)

    def add(self, begin: float, end: float, why: str) -> None:
        """Note a disturbance."""
        self.spans.append((begin, end, why))

    def near(self, begin: float, end: float) -> set[str]:
        """Return what was disturbed between two moments or shortly before."""
        return {
            why
            for start, stop, why in self.spans
            if start <= end and stop >= begin - STABLE_S
        }


@dataclass(slots=True)
class Ledger:
    """Everything that was seen in one run."""

    sent: dict[str, Sent] = field(default_factory=dict)
    replies: list[Reply] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    ends: list[tuple[float, str]] = field(default_factory=list)
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    left: dict[str, float] = field(default_factory=dict)
    evacuated: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    domain_of: dict[str, str] = field(default_factory=dict)
    service_of: dict[str, str] = field(default_factory=dict)
    accepted: dict[int, float] = field(default_factory=dict)
    hosts: dict[int, Spans] = field(default_factory=lambda: defaultdict(Spans))
    core: Spans = field(default_factory=Spans)
    own_lags: list[tuple[float, float]] = field(default_factory=list)
    ended_alone: list[tuple[float, int, int]] = field(default_factory=list)
    signals: SignalLedger = field(default_factory=SignalLedger)
    calm_from: float = float("inf")
    calm_to: float = float("inf")
    unjudged: int = 0

    def broken(self) -> list[Broken]:
        """Return every promise that did not hold, in order of time."""
        found: list[Broken] = []
        for reply in self.replies:
            found += self._of_reply(reply)
        for runs in self.runs.values():
            found += self._of_runs(runs)
        found += self._configuration()
        found += self._retries()
        found += self._recovery()
        found += self._late_bad_runs()
        found += broken_accounts(self)
        found += broken_keys(self)
        found += broken_quota(self)
        found += broken_limits(self)
        found += broken_words(self)
        found += broken_rests(self)
        found += [
            Broken("ENDED", at, f"host {host} ended by itself with {code}")
            for at, host, code in self.ended_alone
        ]
        return sorted(found, key=lambda item: item.at)

    # Requests and answers

    def _of_reply(self, reply: Reply) -> list[Broken]:
        sent = self.sent[reply.request_id]
        found = []
        if 200 <= reply.status < 300 and not reply.signed:
            found.append(self._say("MIXED", reply, "success without signature"))
        if reply.signed and reply.signed != self._expected(reply):
            found.append(self._say("MIXED", reply, "the answer is not the server's"))
        ran = self.runs.get(reply.request_id, [])
        refused = reply.status in NOT_RUN and sent.kind not in REPEATABLE
        if refused and ran:
            found.append(self._say("REFUSED", reply, f"{reply.status}, and it ran"))
        if reply.why == "held":
            found.append(self._say("HELD", reply, "no answer by its deadline"))
        if reply.why == "cut" and ran and self._only_leaving(sent, reply):
            found.append(self._say("LOST", reply, "cut by a planned stop"))
        return found

    def _say(self, rule: str, reply: Reply, what: str) -> Broken:
        sent = self.sent[reply.request_id]
        return Broken(rule, reply.at, f"{reply.request_id} at host {sent.host}: {what}")

    def _expected(self, reply: Reply) -> str:
        server_id = reply.signed.partition(".")[0]
        return signature(server_id, reply.request_id, reply.status, reply.body)

    def _only_leaving(self, sent: Sent, reply: Reply) -> bool:
        return self.hosts[sent.host].near(sent.at, reply.at) == {"host-term"}

    def _of_runs(self, runs: list[Run]) -> list[Broken]:
        found = []
        for run in runs:
            sent = self.sent.get(run.request_id)
            if sent is None or (sent.target, sent.body) != (run.target, run.body):
                text = f"{run.request_id} at {run.server_id}"
                found.append(Broken("UNASKED", run.at, text))
                continue
            if sent.service != self.service_of[run.server_id]:
                text = f"{run.request_id} for {sent.service} at {run.server_id}"
                found.append(Broken("ROUTE", run.at, text))
            found += self._late(sent, run)
        sent = self.sent.get(runs[0].request_id)
        if len(runs) > 1 and sent is not None and sent.kind not in REPEATABLE:
            servers = ", ".join(run.server_id for run in runs)
            text = f"{runs[0].request_id} ran at {servers}"
            found.append(Broken("TWICE", runs[1].at, text))
        return found

    def _late(self, sent: Sent, run: Run) -> list[Broken]:
        """Return work that came to a server long after it had left or was evacuated."""
        found = []
        left = self.left.get(run.server_id)
        if left is not None and self._bound_over(sent, left, DRAIN_S, run.at):
            text = f"{run.request_id}: {run.server_id} left {run.at - left:.2f} s ago"
            found.append(Broken("DRAIN", run.at, text))
        domain = self.domain_of[run.server_id]
        for begin, end in self.evacuated.get(domain, []):
            inside = run.at < end
            if inside and self._bound_over(sent, begin, EVACUATION_S, run.at):
                text = f"{run.request_id}: {domain} evacuated at {begin:.2f}"
                found.append(Broken("EVAC", run.at, text))
        return found

    # Time bounds

    def _bound_over(self, sent: Sent, since: float, bound_s: float, at: float) -> bool:
        """Tell whether an undisturbed host is past a bound that began at `since`."""
        if at <= since + bound_s:
            return False
        calm = self._undisturbed(sent.host, since, at)
        if calm and self._own_lag(since, at) > OWN_LAG_S:
            self.unjudged += 1
            return False
        return calm

    def _undisturbed(self, host: int, begin: float, end: float) -> bool:
        return not self.hosts[host].near(begin, end) and not self.core.near(begin, end)

    def versions_at(self, sent: Sent) -> set[int]:
        """Return the versions that a host may have gone by when a request came.

        These are all that were accepted since its bound, and the one before them; any
        at a host that was disturbed.
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

    def _own_lag(self, begin: float, end: float) -> float:
        low = bisect_left(self.own_lags, (begin, 0.0))
        high = bisect_right(self.own_lags, (end + 1.0, 0.0))
        return max((lag for _, lag in self.own_lags[low:high]), default=0.0)

    def _configuration(self) -> list[Broken]:
        found = []
        newest: dict[tuple[int, int], tuple[int, float]] = {}
        for reply in self.replies:
            sent = self.sent[reply.request_id]
            if not sent.version:
                continue
            found += self._stale(sent, reply)
            key = (sent.host, sent.incarnation)
            version, seen_at = newest.get(key, (0, 0.0))
            disturbed = self.hosts[sent.host].near(seen_at, reply.at)
            slack = REVERT_SLACK_S * (8 if disturbed else 1)
            if reply.status != 200:
                continue
            if sent.version < version and sent.at > seen_at + slack:
                text = f"host {sent.host}: version {sent.version} after {version}"
                found.append(Broken("REVERT", reply.at, text))
            elif sent.version > version:
                newest[key] = (sent.version, reply.at)
        return found

    def _stale(self, sent: Sent, reply: Reply) -> list[Broken]:
        """Return whether a version was in force too late, or too long."""
        text = f"host {sent.host}, version {sent.version}: {reply.status}"
        since = self.accepted.get(sent.version)
        after = self.accepted.get(sent.version + 1)
        newest = after is None or sent.at < after
        missing = reply.status == 404 and newest and since is not None
        if missing and self._bound_over(sent, since, CONFIG_APPLY_S, sent.at):
            return [Broken("CONFIG", reply.at, f"{text}, accepted at {since:.2f}")]
        kept = reply.status == 200 and after is not None
        if kept and self._bound_over(sent, after, CONFIG_APPLY_S, sent.at):
            return [Broken("CONFIG", reply.at, f"{text}, dropped at {after:.2f}")]
        return []

    # Over the whole run

    def _retries(self) -> list[Broken]:
        found = []
        asked: dict[str, list[float]] = defaultdict(list)
        for sent in self.sent.values():
            asked[sent.service].append(sent.at)
        repeats: dict[str, list[float]] = defaultdict(list)
        seen: set[str] = set()
        for at, service, request_id in sorted(self.arrivals):
            if request_id in seen:
                repeats[service].append(at)
            seen.add(request_id)
        for service, times in repeats.items():
            asked[service].sort()
            for index, end in enumerate(times):
                begin = end - RETRY_WINDOW_S
                count = index + 1 - bisect_left(times, begin)
                requests = bisect_right(asked[service], end)
                requests -= bisect_left(asked[service], begin - RETRY_WINDOW_S / 2)
                if count > RETRY_RATIO * requests + RETRY_EXTRA:
                    text = f"{service}: {count} repeats of {requests} requests"
                    found.append(Broken("BUDGET", end, text))
                    break
        return found

    def _late_bad_runs(self) -> list[Broken]:
        """Return whether a request that ends servers went on reaching them."""
        if len(self.ends) < QUARANTINE_CRASHES:
            return []
        since = self.ends[QUARANTINE_CRASHES - 1][0] + STABLE_S
        late = [
            at
            for at, request_id in self.ends
            if at > since and self._sent_undisturbed(self.sent[request_id])
        ]
        if len(late) <= LATE_MOST:
            return []
        text = f"{len(late)} late, {len(self.ends)} servers ended under one request"
        return [Broken("ENDS", late[LATE_MOST], text)]

    def _sent_undisturbed(self, sent: Sent) -> bool:
        return self._undisturbed(sent.host, sent.at, sent.at)

    def _recovery(self) -> list[Broken]:
        ends = {reply.request_id: reply.status for reply in self.replies}
        calm = [
            ends.get(sent.request_id, 0)
            for sent in self.sent.values()
            if sent.kind == "read"
            and not sent.version
            and sent.account in ("", USUAL)
            and self.calm_from <= sent.at < self.calm_to
        ]
        served = sum(status == 200 for status in calm)
        if calm and served < RECOVERED * len(calm):
            text = f"{served} of {len(calm)} reads served in the calm at the end"
            return [Broken("RECOVER", self.calm_from, text)]
        return []
