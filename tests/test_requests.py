"""Outcomes, claims and retries of requests on one host, without I/O."""

import random

from lacewingcross.core import actions as act
from lacewingcross.core.attempts import Ending
from lacewingcross.core.config import Entry
from lacewingcross.core.events import (
    AttemptEnded,
    ConfigSeen,
    FirstByteWritten,
    ObjectsLoaded,
    RequestArrived,
    RequestCancelled,
    Tick,
    WriteEnded,
)
from lacewingcross.core.membership import HostInfo
from lacewingcross.core.node import HostCore
from lacewingcross.core.resources import encode_value

OWN = HostInfo("host-1", "north", "north-1", "127.0.0.1:1", "127.0.0.1:2")


def server(num, region="north"):
    return {
        "id": f"s{num}",
        "address": f"127.0.0.1:{9000 + num}",
        "region": region,
        "failure_domain": f"{region}-1",
        "slots": 2,
    }


def entry(version, kind, spec, name="booking"):
    return Entry(f"{kind}/{name}", version, encode_value({"spec": spec}))


class OneHost:
    """A host core with a configuration; its plan writes succeed immediately."""

    def __init__(self, servers=2):
        self.now = 100.0
        self.core = HostCore(OWN, 7, random.Random(1))
        self.actions = []
        group = {"name": "all", "blocks": [], "weights": {"north": 1}}
        entries = [
            entry(1, "BackendPool", {"servers": [server(n) for n in range(servers)]}),
            entry(2, "SteeringPolicy", {"groups": [group], "deadline_ms": 1000}),
        ]
        self.feed(ConfigSeen(entries, 2))
        self.feed(Tick())
        create = next(a for a in self.of(act.CreateObject) if "Plan" in a.key)
        self.feed(WriteEnded(create.call_id, "ok", 3))
        self.feed(ConfigSeen([entry(3, "Plan", create.spec)], 3))
        self.tick(1.5)
        self.actions.clear()

    def feed(self, event):
        new = self.core.handle(event, self.now)
        self.actions += new
        return new

    def tick(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.feed(Tick())

    def of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def request(self, request_id, method="GET", key="", remaining_s=1.0):
        return self.feed(
            RequestArrived(request_id, "booking", method, "c", None, remaining_s, key)
        )

    def end(self, start, ending, *, sent=True, replayable=True):
        if sent:
            self.feed(FirstByteWritten(start.request_id, start.attempt))
        return self.feed(
            AttemptEnded(start.request_id, start.attempt, ending, 0.01, 0, replayable)
        )


def test_refusal_after_a_lost_response_is_not_reported_as_not_run():
    """The first attempt of a read loses its response; all further attempts are shed.

    Guards against the outcome "not run" for a request that did run. The first attempt
    may have run, so no later attempt can prove that the request did not.
    """
    host = OneHost()
    host.request("r")
    host.end(host.of(act.StartAttempt)[-1], Ending.BROKEN)
    shed = 1
    while not host.of(act.Finish):
        starts = host.of(act.StartAttempt)
        if len(starts) > shed:
            shed += 1
            host.end(starts[-1], Ending.SERVER_NOT_RUN)
        host.tick(0.05)
    (finish,) = host.of(act.Finish)
    assert finish.outcome == act.UNKNOWN


def test_read_that_failed_on_every_server_is_retried():
    """Each server of a region loses one response; the read has time left.

    Guards against a request that excludes every server and so would wait until its
    deadline for a server that does not exist. The keeper skips the excluded servers
    only while another server is usable.
    """
    host = OneHost(servers=2)
    host.request("r")
    for count in (1, 2):
        assert len(host.of(act.StartAttempt)) == count
        host.end(host.of(act.StartAttempt)[-1], Ending.BROKEN)
    assert len(host.of(act.StartAttempt)) == 3


def test_booking_is_not_retried_after_its_first_byte_was_written():
    host = OneHost()
    host.request("r", "POST")
    host.end(host.of(act.StartAttempt)[-1], Ending.BROKEN)
    (finish,) = host.of(act.Finish)
    assert (finish.status, finish.outcome) == (502, act.UNKNOWN)
    assert len(host.of(act.StartAttempt)) == 1


def test_booking_is_retried_after_a_refused_connection():
    host = OneHost()
    host.request("r", "POST")
    host.end(host.of(act.StartAttempt)[-1], Ending.CONNECT_FAILED, sent=False)
    first, second = host.of(act.StartAttempt)
    assert first.server_id != second.server_id


def test_upload_too_large_to_replay_is_refused_and_not_retried():
    host = OneHost()
    host.request("r", "PUT")
    start = host.of(act.StartAttempt)[-1]
    host.end(start, Ending.SERVER_NOT_RUN, replayable=False)
    (finish,) = host.of(act.Finish)
    assert (finish.status, finish.outcome) == (503, act.NOT_RUN)
    assert finish.retry_after_s > 0


def test_overdue_booking_ends_as_unknown_with_its_connection_closed():
    """The deadline passes while a backend server runs a booking."""
    host = OneHost()
    host.request("r", "POST")
    start = host.of(act.StartAttempt)[-1]
    host.feed(FirstByteWritten("r", start.attempt))
    host.tick(1.1)
    (cancel,) = host.of(act.CancelAttempt)
    host.end(start, cancel.ending)
    (finish,) = host.of(act.Finish)
    assert (finish.status, finish.outcome) == (504, act.UNKNOWN)


def test_retry_budget_limits_retries_when_all_servers_fail():
    """Every server breaks off every response.

    Guards against retries of reads that multiply the load of failing servers until all
    of them fail. The budget starts with ten retries and earns one for every ten
    requests.
    """
    host = OneHost()
    attempts = 0
    for num in range(200):
        host.request(f"r{num}")
        while starts := host.of(act.StartAttempt):
            attempts += 1
            host.actions.clear()
            host.end(starts[-1], Ending.BROKEN)
        host.actions.clear()
        host.tick(0.5)
    assert 200 <= attempts + len(host.core.requests.requests) <= 200 + 10 + 20


class Keyed(OneHost):
    """A host whose claims of idempotency keys the test answers as the platform."""

    def head(self):
        return [a for a in self.of(act.CreateObject) if a.key.endswith("/head")][-1]

    def load(self, objects):
        load = self.of(act.LoadObjects)[-1]
        return self.feed(ObjectsLoaded(load.call_id, objects))


def test_keyed_booking_is_sent_only_after_its_claim_is_stored():
    host = Keyed()
    host.request("r", "POST", key="k")
    host.load([])
    assert not host.of(act.StartAttempt)
    assert "k" not in host.head().spec["claimed"]
    host.feed(WriteEnded(host.head().call_id, "ok", 9))
    assert len(host.of(act.StartAttempt)) == 1


def test_key_is_freed_when_the_caller_disconnects_before_its_claim_is_stored():
    """A caller disconnects while its key's claim is being written to the platform.

    Guards against a repeated booking that would be refused as a duplicate of a booking
    that never ran. The next batch frees the key.
    """
    host = Keyed()
    host.request("r", "POST", key="k")
    host.load([])
    first = host.head()
    host.feed(RequestCancelled("r"))
    host.feed(WriteEnded(first.call_id, "ok", 9))
    host.tick(0.2)
    (update,) = [a for a in host.of(act.UpdateObject) if a.key == first.key]
    assert update.spec["claimed"] == {}
    assert not host.of(act.StartAttempt)


def test_keyed_booking_is_refused_as_not_run_when_the_platform_is_unreachable():
    host = Keyed()
    host.request("r", "POST", key="k")
    host.load(None)
    (finish,) = host.of(act.Finish)
    assert (finish.outcome, finish.reason) == (act.NOT_RUN, "store-unavailable")
    assert finish.retry_after_s > 0


def test_waiting_request_is_refused_before_its_deadline():
    """A request waits for a permit that never comes.

    Guards against a refusal that arrives after the caller has timed out, so that the
    caller must consider the outcome unknown although the request did not run. The
    request is refused shortly before its deadline.
    """
    host = OneHost(servers=1)
    for num in range(3):
        host.request(f"r{num}", "POST", remaining_s=1.0)
    host.actions.clear()
    host.tick(0.95)
    host.now += 0.025
    host.feed(Tick())
    finished = {finish.request_id for finish in host.of(act.Finish)}
    assert finished == {"r2"}
