"""The supervisor restarts a failed child alone and stops on a broken invariant."""

import asyncio

import pytest

from lacewingcross.host.supervisor import Child, Supervisor


class Flaky:
    """A child that fails on its first two starts and then runs until cancelled."""

    def __init__(self):
        self.starts = 0
        self.steady = asyncio.Event()

    async def run(self):
        self.starts += 1
        if self.starts <= 2:
            raise ValueError("again")
        self.steady.set()
        await asyncio.Event().wait()


async def _restart():
    flaky, steady = Flaky(), Flaky()
    steady.starts = 2
    tree = Supervisor("root", [Child("flaky", flaky.run), Child("steady", steady.run)])
    task = asyncio.create_task(tree.run())
    async with asyncio.timeout(10):
        await flaky.steady.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return flaky.starts, steady.starts, tree.restarts


def test_failed_child_is_restarted_alone():
    assert asyncio.run(_restart()) == (3, 3, 2)


async def _invariant():
    async def broken():
        raise AssertionError("two plans at one version")

    inner = Supervisor("inner", [Child("broken", broken)])
    async with asyncio.timeout(10):
        await Supervisor("root", [Child("inner", inner.run)]).run()


def test_broken_invariant_stops_the_whole_tree():
    with pytest.raises(AssertionError):
        asyncio.run(_invariant())
