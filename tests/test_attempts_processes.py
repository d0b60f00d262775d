"""Attempts with lost, truncated and duplicate messages, with real processes."""

import asyncio
import json
from collections import Counter

from lacewingcross import headers as hd
from lacewingcross.caller import ANSWERED, NOT_RUN, UNKNOWN, Caller
from lacewingcross.http1_client import HttpClient

from .processes import Processes, small_layout, until


def _run_counts(ledger):
    return Counter(item["request_id"] for item in ledger)


async def _every_backend(procs, **switches):
    for cfg in procs.layout.backends:
        await procs.backend(cfg.server_id, **switches)


async def _lost_answers():
    async with Processes(small_layout()) as procs:
        await _every_backend(procs, lose_answer=1)
        caller = Caller(procs.entries(), caller_id="c", address="10.1.0.1")
        post = await caller.request(
            "POST", "/booking/a", service="booking", body=b"x", request_id="post"
        )
        await _every_backend(procs, lose_answer=1)
        get = await caller.request(
            "GET", "/booking/a", service="booking", request_id="get"
        )
        caller.close()
        return post, get, _run_counts(await procs.ledgers())


def test_lost_answer_is_unknown_for_a_booking_and_retried_for_a_read():
    """A backend server runs a booking, and its connection breaks before the answer.

    Guards against a booking that runs twice because the host sends it again, and
    against the outcome "not run" for a booking that ran. A read may be sent again
    and is answered.
    """
    post, get, runs = asyncio.run(_lost_answers())
    assert post.outcome == UNKNOWN
    assert runs["post"] == 1
    assert get.outcome == ANSWERED
    assert runs["get"] >= 2


async def _truncated():
    async with Processes(small_layout()) as procs:
        await _every_backend(procs, truncate=1)
        caller = Caller(procs.entries(), caller_id="c", address="10.1.0.1")
        post = await caller.request(
            "POST", "/booking/a", service="booking", body=b"x", request_id="post"
        )
        caller.close()
        return post, _run_counts(await procs.ledgers())


def test_short_answer_never_passes_as_whole():
    """A backend server crashes in the middle of its answer's body.

    Guards against a caller that takes half of a confirmation for the whole one. The
    host has already forwarded the head, so it must break the caller's connection.
    """
    post, runs = asyncio.run(_truncated())
    assert post.outcome == UNKNOWN
    assert post.body == b""
    assert runs["post"] == 1


async def _send_keyed(address, request_id, key):
    client = HttpClient(address)
    headers = [
        (hd.REQUEST_ID, request_id.encode()),
        (hd.IDEMPOTENCY_KEY, key.encode()),
        (hd.CLIENT_ADDRESS, b"10.1.0.1"),
    ]
    try:
        return await client.request("POST", "/booking/a", headers, b"x")
    finally:
        client.close()


async def _keyed_twice():
    async with Processes(small_layout()) as procs:
        first, second, _ = procs.entries()
        answers = await asyncio.gather(
            *(
                _send_keyed(address, f"{key}-{copy}", key)
                for key in ("k1", "k2", "k3", "k4")
                for copy, address in enumerate((first, second))
            )
        )
        return answers, _run_counts(await procs.ledgers())


def test_key_that_arrives_at_two_hosts_runs_once():
    """A browser sends one booking to two hosts at the same time.

    Guards against two bookings and two charges. Both hosts try to create the claim
    of the key in the platform. One of the two calls fails, and the host that made it
    answers that the key is taken, not that nothing ran.
    """
    answers, runs = asyncio.run(_keyed_twice())
    for key in ("k1", "k2", "k3", "k4"):
        assert runs[f"{key}-0"] + runs[f"{key}-1"] == 1
    statuses = Counter(answer.status for answer in answers)
    assert statuses == {200: 4, 409: 4}
    for answer in answers:
        if answer.status == 409:
            assert hd.find(answer.headers, hd.OUTCOME) == UNKNOWN
            assert hd.find(answer.headers, hd.REASON) == "duplicate-key"


async def _keyed_outage():
    async with Processes(small_layout()) as procs:
        await procs.faults(outage=True)
        refused = await _send_keyed(procs.entries()[0], "r1", "k")
        before = _run_counts(await procs.ledgers())
        await procs.faults(outage=False)
        again = await _send_keyed(procs.entries()[1], "r2", "k")
        return refused, before, again, _run_counts(await procs.ledgers())


def test_keyed_booking_in_an_outage_is_refused_and_runs_later():
    """The platform is down when a booking with an idempotency key arrives.

    The host cannot create the claim, so it sends nothing to a backend server and
    refuses with "not run" and a time to retry after. After the outage the key is free.
    """
    refused, before, again, runs = asyncio.run(_keyed_outage())
    assert refused.status == 503
    assert hd.find(refused.headers, hd.OUTCOME) == NOT_RUN
    assert int(hd.find(refused.headers, hd.RETRY_AFTER)) >= 1
    assert before["r1"] == 0
    assert again.status == 200
    assert runs["r2"] == 1


async def _claim_answer_lost():
    async with Processes(small_layout()) as procs:
        await procs.faults(lose_answers=1)
        answer = await _send_keyed(procs.entries()[0], "r1", "k")
        return answer, _run_counts(await procs.ledgers())


def test_claim_whose_answer_was_lost_still_counts_as_ours():
    """The platform stores the claim of a key, and its answer is lost.

    Guards against a booking that is refused as a duplicate of itself. The host
    repeats the write with the same id, gets a conflict, and recognises its own claim.
    """
    answer, runs = asyncio.run(_claim_answer_lost())
    assert answer.status == 200
    assert runs["r1"] == 1


async def _caller_leaves():
    async with Processes(small_layout()) as procs:
        await _every_backend(procs, service_ms=20_000.0)
        client = HttpClient(procs.entries()[0])
        headers = [(hd.REQUEST_ID, b"gone"), (hd.CLIENT_ADDRESS, b"10.1.0.1")]
        task = asyncio.create_task(
            client.request("POST", "/booking/a", headers, b"x", timeout_s=30.0)
        )

        async def running():
            return any(i["state"] == "running" for i in await procs.ledgers())

        async def cancelled():
            return any(i["state"] == "cancelled" for i in await procs.ledgers())

        await until(running)
        task.cancel()
        await until(cancelled)
        return json.dumps(await procs.ledgers())


def test_cancellation_is_passed_on():
    """A caller closes its connection while the backend server runs the request.

    Guards against slots that are filled with requests whose callers have gone.
    """
    assert "gone" in asyncio.run(_caller_leaves())
