"""Slot keepers that crash or freeze, with real processes."""

import asyncio
import signal
from collections import Counter

from lacewingcross.caller import ANSWERED, NOT_RUN

from .processes import Processes, book, small_layout

RUN_S = 6.0


async def _keeper_of(procs, region):
    for cfg in procs.layout.hosts:
        status = await procs.fetch(cfg.operators, "/status")
        if status and any(k["region"] == region for k in status["keepers"]):
            return cfg.host_id
    raise AssertionError("no keeper")


async def _disturb_keeper(signum):
    layout = small_layout()
    for index, cfg in enumerate(layout.hosts):
        # All three hosts are in one region, so that another host can become the keeper
        # of the region's slots.
        layout.hosts[index] = type(cfg)(
            **{**_fields(cfg), "region": "north", "failure_domain": f"north-{index}"}
        )
    known_hosts = tuple(
        type(item)(**{**_fields(item), "region": "north"})
        for item in layout.platform.hosts
    )
    layout.platform = type(layout.platform)(
        **{**_fields(layout.platform), "hosts": known_hosts}
    )
    async with Processes(layout) as procs:
        stop, answers = asyncio.Event(), []
        tasks = [
            asyncio.create_task(book(procs, caller_index, stop, answers))
            for caller_index in range(9)
        ]
        await asyncio.sleep(1.0)
        keeper = await _keeper_of(procs, "north")
        if signum == signal.SIGKILL:
            procs.kill(keeper)
        else:
            procs.signal(keeper, signum)
        answers_before = len(answers)
        await asyncio.sleep(RUN_S / 2)
        if signum == signal.SIGSTOP:
            procs.signal(keeper, signal.SIGCONT)
        await asyncio.sleep(RUN_S / 2)
        stop.set()
        await asyncio.gather(*tasks)
        ledger = await procs.ledgers()
        return answers, answers_before, Counter(item["request_id"] for item in ledger)


def _fields(cfg):
    return {name: getattr(cfg, name) for name in cfg.__slots__}


def _check(answers, answers_before, run_counts):
    outcomes = Counter(answer.outcome for _, answer in answers)
    for request_id, answer in answers:
        assert run_counts[request_id] <= 1, request_id
        if answer.outcome == NOT_RUN:
            assert run_counts[request_id] == 0, (request_id, answer)
    after = [answer for _, answer in answers[answers_before:]]
    assert sum(a.outcome == ANSWERED for a in after) > 100, outcomes


def test_killed_keeper_is_replaced_and_nothing_runs_twice():
    """The host that keeps the region's slots is killed under load.

    Guards against bookings that wait for a permit without end, and against bookings
    that run twice because both the old permit and a new one are used.
    """
    _check(*asyncio.run(_disturb_keeper(signal.SIGKILL)))


def test_frozen_keeper_is_replaced_and_wakes_harmlessly():
    """The keeper freezes for three seconds, its leases expire, and it runs again.

    Guards against old grants of the frozen keeper that are used for slots which its
    successor has granted to other requests.
    """
    _check(*asyncio.run(_disturb_keeper(signal.SIGSTOP)))
