"""Hosts that cannot reach each other, with and without a platform outage."""

import asyncio
import signal
from collections import Counter

import pytest

from lacewingcross.caller import ANSWERED, NOT_RUN, Caller
from lacewingcross.deployments import Ports
from lacewingcross.embedded import free_ports
from lacewingcross.operations import Document

from .processes import Processes, book, small_layout, until
from .relay import put_relays


async def _cut(outage):
    layout = small_layout()
    relays = await put_relays(layout, Ports(free_ports()))
    try:
        async with Processes(layout) as procs:
            stop, answers = asyncio.Event(), []
            tasks = [
                asyncio.create_task(
                    book(
                        procs,
                        caller_index,
                        stop,
                        answers,
                        regions=2,
                        pause_s=0.02,
                        deadline_s=3.0,
                    )
                )
                for caller_index in range(6)
            ]
            await asyncio.sleep(1.0)
            if outage:
                await procs.faults(outage=True)
            for relay in relays.values():
                relay.set_cut(True)
            answers_before = len(answers)
            await asyncio.sleep(4.0)
            during = answers[answers_before:]
            for relay in relays.values():
                relay.set_cut(False)
            await procs.faults(outage=False)

            async def healed():
                for cfg in layout.hosts:
                    status = await procs.fetch(cfg.operators, "/status")
                    if set(status["hosts"].values()) != {"live"}:
                        return False
                return True

            await until(healed)
            stop.set()
            await asyncio.gather(*tasks)
            return answers, during, await procs.ledgers()
    finally:
        for relay in relays.values():
            await relay.close()


@pytest.mark.parametrize("outage", [False, True])
def test_hosts_that_lose_each_other_serve_their_own_region(outage):
    """All links between hosts are cut for four seconds, also in a platform outage.

    Guards against requests that hang because their slot keeper cannot be reached,
    and against bookings that run twice because two keepers grant one slot. Each host
    keeps the slots of its own region, and backend servers shed the requests that exceed
    their slots.
    """
    answers, during, ledger = asyncio.run(_cut(outage))
    run_counts = Counter(item["request_id"] for item in ledger)
    outcomes = Counter(answer.outcome for _, answer in during)
    assert outcomes[ANSWERED] > 0.8 * len(during), outcomes
    for request_id, answer in answers:
        assert run_counts[request_id] <= 1
        if answer.outcome == NOT_RUN:
            assert run_counts[request_id] == 0


async def _frozen_holder():
    async with Processes(small_layout()) as procs:
        for cfg in procs.layout.backends:
            await procs.backend(cfg.server_id, service_ms=300.0)
        stop, answers = asyncio.Event(), []
        tasks = [
            asyncio.create_task(
                book(
                    procs,
                    caller_index,
                    stop,
                    answers,
                    regions=2,
                    pause_s=0.02,
                    deadline_s=3.0,
                )
            )
            for caller_index in range(8)
        ]
        await asyncio.sleep(1.5)
        procs.signal("host-3", signal.SIGSTOP)
        await asyncio.sleep(6.5)
        procs.signal("host-3", signal.SIGCONT)
        await asyncio.sleep(1.5)
        stop.set()
        await asyncio.gather(*tasks)
        return answers, await procs.ledgers()


def test_host_that_is_frozen_past_its_leases_wakes_harmlessly():
    """A host that holds permits and grants freezes for longer than their leases.

    Guards against requests of the frozen host that start on slots granted to other
    requests by then, and against requests that run twice after they timed out at
    another host.
    """
    answers, ledger = asyncio.run(_frozen_holder())
    run_counts = Counter(item["request_id"] for item in ledger)
    for request_id, answer in answers:
        assert run_counts[request_id] <= 1
        if answer.outcome == NOT_RUN:
            assert run_counts[request_id] == 0, (request_id, answer)


async def _replace_all_hosts():
    layout = small_layout()
    async with Processes(layout) as procs:
        applied = await procs.operator.apply(
            Document("ShiftCap", "booking", {"fraction": 0.2, "window_s": 9.0})
        )
        await procs.operator.wait_in_force(applied.version, 20.0)
        for cfg in layout.hosts:
            procs.kill(cfg.host_id)
        for cfg in layout.hosts:
            procs.spawn(cfg.host_id, ["host"], cfg)
        caller = Caller(procs.entries(), caller_id="c", address="10.1.0.1")

        async def served():
            answer = await caller.request(
                "GET", "/booking/x", service="booking", deadline_s=1.0, max_tries=1
            )
            return answer.outcome == ANSWERED

        await until(served)
        state = await procs.operator.wait_in_force(applied.version, 20.0)
        caller.close()
        return len(state.live)


def test_fleet_whose_hosts_are_all_replaced_serves_again():
    """All hosts crash at once, so only the platform still has the configuration."""
    assert asyncio.run(_replace_all_hosts()) == 3
