"""The caller library with fake hosts: look-up lifetimes, retries and outcomes."""

import asyncio
import json
from collections import Counter

from lacewingcross import headers as hd
from lacewingcross.caller import ANSWERED, NOT_RUN, UNKNOWN, Caller
from lacewingcross.clock import ManualClock, SystemClock
from lacewingcross.embedded import free_ports
from lacewingcross.http1_server import HttpServer


class FakeHost:
    """An entry host that answers look-ups from `hosts` and requests from `steps`.

    Each request takes the next step: "break" aborts the connection, "refuse" answers
    "not-run", and "answer" answers normally, as do all requests after the last step.
    """

    def __init__(self, steps=()):
        self.steps = list(steps)
        self.lookups = 0
        self.requests = []
        self.hosts = []
        self.ttl_s = 60.0
        self.server = HttpServer(self._handle, SystemClock().monotonic)
        self.address = ""

    async def start(self):
        port = await self.server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        self.hosts = self.hosts or [self.address]
        return self

    async def _handle(self, exchange):
        if exchange.head.target.startswith("/v1/lookup"):
            self.lookups += 1
            hosts = [{"address": address} for address in self.hosts]
            body = json.dumps({"hosts": hosts, "ttl_s": self.ttl_s}).encode()
            await exchange.respond(200, [], body)
            return
        while await exchange.read():
            pass
        self.requests.append(exchange.head)
        action = self.steps.pop(0) if self.steps else "answer"
        if action == "break":
            exchange.abort()
        elif action == "refuse":
            headers = [(hd.OUTCOME, b"not-run"), (hd.REASON, b"queue-full")]
            headers += hd.retry_after(0.2)
            await exchange.respond(503, headers, b"")
        else:
            await exchange.respond(200, [(hd.OUTCOME, b"answered")], b"whole")


def _run(scenario):
    async def with_timeout():
        async with asyncio.timeout(20):
            return await scenario()

    return asyncio.run(with_timeout())


def test_lookup_result_is_used_for_its_lifetime():
    async def scenario():
        host = await FakeHost().start()
        clock = ManualClock()
        caller = Caller([host.address], caller_id="c", clock=clock)
        counts = []
        for seconds in (0.0, 59.0, 2.0):
            clock.advance(seconds)
            await caller.lookup("s")
            counts.append(host.lookups)
        await host.server.close()
        # When no host answers, the expired result is still returned.
        clock.advance(120.0)
        outdated = await caller.lookup("s")
        caller.close()
        return counts, outdated == [host.address]

    assert _run(scenario) == ([1, 1, 2], True)


def test_post_is_retried_only_after_a_proof_that_it_did_not_run():
    async def scenario():
        results = []
        for steps in (["refuse", "answer"], ["break", "answer"]):
            host = await FakeHost(steps).start()
            caller = Caller([host.address], caller_id="c")
            answer = await caller.request("POST", "/s/x", service="s", body=b"b")
            results.append((answer.outcome, answer.tries, len(host.requests)))
            caller.close()
            await host.server.close()
        return results

    assert _run(scenario) == [(ANSWERED, 2, 2), (UNKNOWN, 1, 1)]


def test_get_is_retried_on_the_next_host_when_one_is_down():
    async def scenario():
        down = f"127.0.0.1:{next(free_ports())}"
        host = await FakeHost().start()
        host.hosts = [down, host.address]
        caller = Caller([host.address], caller_id="c")
        answer = await caller.request("GET", "/s/x", service="s")
        second = await caller.request("GET", "/s/x", service="s")
        caller.close()
        await host.server.close()
        return answer.outcome, answer.tries, second.tries

    assert _run(scenario) == (ANSWERED, 2, 1)


def test_not_run_after_a_broken_attempt_is_reported_as_unknown():
    """The first attempt may have run; the second one is refused with "not-run"."""

    async def scenario():
        host = await FakeHost(["break", "refuse"]).start()
        caller = Caller([host.address], caller_id="c")
        answer = await caller.request("GET", "/s/x", service="s", max_tries=2)
        caller.close()
        await host.server.close()
        return answer.outcome, len(host.requests)

    assert _run(scenario) == (UNKNOWN, 2)


def test_caller_retries_after_the_requested_pause_with_the_same_ids():
    async def scenario():
        host = await FakeHost(["refuse", "refuse", "answer"]).start()
        caller = Caller([host.address], caller_id="c")
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await caller.request(
            "POST", "/s/x", service="s", body=b"b", key="k", request_id="r"
        )
        waited = loop.time() - started
        heads = [dict(head.headers) for head in host.requests]
        caller.close()
        await host.server.close()
        ids = Counter((h[hd.REQUEST_ID], h[hd.IDEMPOTENCY_KEY]) for h in heads)
        deadlines = [int(h[hd.DEADLINE_MS]) for h in heads]
        return answer.outcome, ids, deadlines, waited

    outcome, ids, deadlines, waited = _run(scenario)
    assert outcome == ANSWERED
    assert ids == {(b"r", b"k"): 3}
    assert deadlines == sorted(deadlines, reverse=True)
    assert deadlines[0] - deadlines[2] >= 390
    assert waited >= 0.39


def test_streamed_body_is_never_sent_twice():
    async def scenario():
        host = await FakeHost(["refuse", "answer"]).start()
        caller = Caller([host.address], caller_id="c")

        async def parts():
            yield b"one"
            yield b"two"

        answer = await caller.request("PUT", "/s/x", service="s", body=parts())
        caller.close()
        await host.server.close()
        return answer.outcome, answer.retry_after_s > 0, len(host.requests)

    assert _run(scenario) == (NOT_RUN, True, 1)


def test_request_without_a_reachable_host_is_not_run():
    async def scenario():
        caller = Caller([f"127.0.0.1:{next(free_ports())}"], caller_id="c")
        answer = await caller.request("POST", "/s/x", service="s", deadline_s=0.5)
        caller.close()
        return answer.outcome, answer.reason

    assert _run(scenario) == (NOT_RUN, "connect-failed")
