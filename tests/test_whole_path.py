"""The whole path in separate processes, with a host and a backend server killed."""

import asyncio
import json
from collections import Counter

from lacewingcross.caller import ANSWERED, NOT_RUN, Caller

from .processes import Processes, small_layout

CALLERS = 12
REQUESTS = 25


async def _caller_run(procs, caller_index, answers):
    region = caller_index % 3 + 1
    caller = Caller(
        procs.entries(),
        caller_id=f"c{caller_index}",
        address=f"10.{region}.0.{caller_index + 1}",
    )
    for index in range(REQUESTS):
        request_id = f"c{caller_index}-{index}"
        method = "POST" if index % 2 else "GET"
        body = b"seat" * caller_index if method == "POST" else b""
        answer = await caller.request(
            method,
            f"/booking/{request_id}",
            service="booking",
            body=body,
            request_id=request_id,
        )
        answers.append((request_id, f"c{caller_index}", method, len(body), answer))
    caller.close()


async def _run_with_kills():
    async with Processes(small_layout()) as procs:
        answers = []
        tasks = [
            asyncio.create_task(_caller_run(procs, caller_index, answers))
            for caller_index in range(CALLERS)
        ]
        while len(answers) < CALLERS * REQUESTS // 4:
            await asyncio.sleep(0.01)
        procs.kill("host-2")
        while len(answers) < CALLERS * REQUESTS // 2:
            await asyncio.sleep(0.01)
        killed_server = procs.layout.backends[3].server_id
        procs.kill(killed_server)
        await asyncio.gather(*tasks)
        return answers, await procs.ledgers(), killed_server


def test_whole_path_survives_a_host_and_a_backend_server():
    """Callers of three regions read and book while processes are killed.

    Guards against a booking that runs twice, a booking that is refused as "not run" and
    still ran, and a response that belongs to another caller. First host-2 is killed
    with requests in flight, then a backend server. The ledgers of the remaining servers
    show what ran.
    """
    answers, ledger, killed_server = asyncio.run(_run_with_kills())
    ran = Counter(item["request_id"] for item in ledger)
    assert len(answers) == CALLERS * REQUESTS
    outcomes = Counter(answer.outcome for *_, answer in answers)
    assert outcomes[ANSWERED] > 0.8 * len(answers), outcomes
    for request_id, caller, method, size, answer in answers:
        if answer.outcome == ANSWERED and answer.status == 200:
            body = json.loads(answer.body)
            assert body["request_id"] == request_id
            assert body["caller"] == caller
            assert body["body_bytes"] == size
            assert ran[request_id] or body["server_id"] == killed_server
        if answer.outcome == NOT_RUN:
            assert ran[request_id] == 0, (request_id, answer)
        if method == "POST":
            assert ran[request_id] <= 1, request_id
