"""Configuration with outages, lost answers and concurrent operators."""

import asyncio
import signal

import pytest

from lacewingcross.caller import ANSWERED, Caller
from lacewingcross.errors import PlatformError
from lacewingcross.operations import Document, Operator
from lacewingcross.platform_client import PlatformClient

from .processes import Processes, small_layout, until


async def _one_read(procs, caller_id="c"):
    caller = Caller(procs.entries(), caller_id=caller_id, address="10.1.0.1")
    answer = await caller.request("GET", "/booking/x", service="booking")
    caller.close()
    return answer


async def _restart_in_outage():
    async with Processes(small_layout()) as procs:
        cap = Document("ShiftCap", "booking", {"fraction": 0.2, "window_s": 9.0})
        applied = await procs.operator.apply(cap)
        await procs.operator.wait_in_force(applied.version, 20.0)
        await procs.faults(outage=True)
        for host_id in ("host-1", "host-2"):
            procs.kill(host_id)
            procs.spawn(host_id, ["host"], procs.host(host_id))

        async def caught_up():
            for cfg in procs.layout.hosts:
                status = await procs.fetch(cfg.operators, "/status")
                if not status or status["revision"] < applied.version:
                    return False
            return True

        await until(caught_up)
        return await _one_read(procs)


def test_hosts_that_start_in_an_outage_get_the_configuration_from_a_peer():
    """All hosts but one are replaced while the platform is down.

    Guards against hosts that refuse every request for hours, or that serve with an
    older configuration. The host that was not replaced sends them the accepted version.
    """
    assert asyncio.run(_restart_in_outage()).outcome == ANSWERED


async def _ambiguous_apply():
    async with Processes(small_layout()) as procs:
        await procs.faults(lose_answers=1)
        cap = Document("ShiftCap", "booking", {"fraction": 0.2, "window_s": 9.0})
        applied = await procs.operator.apply(cap)
        await procs.operator.wait_in_force(applied.version, 20.0)
        stored = await procs.operator.platform.get("ShiftCap/booking")
        return applied, stored


def test_apply_whose_answer_is_lost_is_reported_as_it_happened():
    """The store carries out a write, and its answer is lost.

    Guards against the report "failed" for a change that is in force, and against a
    conflict of an operator with their own write. The reported version must be the
    stored one.
    """
    applied, stored = asyncio.run(_ambiguous_apply())
    assert applied.version == stored.version
    assert stored.spec()["fraction"] == 0.2


async def _race():
    async with Processes(small_layout()) as procs:
        address = procs.layout.platform.listen
        first = Operator(PlatformClient(address, writer="ana"))
        second = Operator(PlatformClient(address, writer="ben"))
        stored = await first.platform.get("ShiftCap/booking")
        spec = {"fraction": 0.3, "window_s": 9.0}
        await first.apply(Document("ShiftCap", "booking", spec, stored.version))
        spec = {"fraction": 0.4, "window_s": 9.0}
        with pytest.raises(PlatformError) as caught:
            await second.apply(Document("ShiftCap", "booking", spec, stored.version))
        stored = await first.platform.get("ShiftCap/booking")
        return caught.value, stored


def test_operator_who_loses_a_race_is_told_who_won_and_what_differs():
    """Two operators edit the same shift cap, both from the same version.

    Guards against one operator's change being overwritten without notice.
    """
    exc, stored = asyncio.run(_race())
    assert exc.code == "conflict"
    assert "ana" in exc.message
    assert "fraction" in exc.message
    assert stored.spec()["fraction"] == 0.3


async def _serve_through(**switches):
    async with Processes(small_layout()) as procs:
        await procs.faults(**switches)
        answers = [
            await _one_read(procs, f"c{caller_index}") for caller_index in range(10)
        ]
        await procs.faults(outage=False, stall=False)
        return answers


@pytest.mark.parametrize("fault", ["outage", "stall"])
def test_requests_are_served_while_the_platform_is_away(fault):
    """The platform refuses calls or does not answer; requests do not depend on it."""
    answers = asyncio.run(_serve_through(**{fault: True}))
    assert all(answer.outcome == ANSWERED for answer in answers)


async def _frozen_host_wakes():
    async with Processes(small_layout()) as procs:
        procs.signal("host-1", signal.SIGSTOP)
        versions = []
        for fraction in (0.2, 0.3):
            spec = {"fraction": fraction, "window_s": 9.0}
            applied = await procs.operator.apply(Document("ShiftCap", "booking", spec))
            versions.append(applied.version)
        await asyncio.sleep(2.0)
        procs.signal("host-1", signal.SIGCONT)
        await procs.operator.wait_in_force(versions[-1], 20.0)
        status = await procs.fetch(procs.host("host-1").operators, "/status")
        return versions, status["revision"]


def test_host_that_was_frozen_catches_up_and_never_goes_back():
    """A host is frozen during two changes; the first arrives when the host runs again.

    Guards against a host that goes back to the first change after the second one.
    """
    versions, revision = asyncio.run(_frozen_host_wakes())
    assert revision >= versions[-1]
