"""Hosts that shut down while the store still carries out their registration."""

import asyncio

from lacewingcross.gateway import host_directory

from .gateway_parts import answers_at_once, fleet, in_loop, until

KIND = "entry-hosts"
# Delay of the registration, in seconds.
LATE_S = 0.4


async def stopped(env, index):
    """Shut a host down and wait until it has stopped and its writes have arrived."""
    env.stops[index].set()
    await asyncio.wait_for(env.tasks[index], 10)
    await asyncio.sleep(2 * LATE_S)


@in_loop
async def test_a_host_that_leaves_while_it_registers_is_not_listed():
    # Guards against an entry of a host that is gone, which stays in the list for good.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        env.store.faults.late_writes_s[KIND] = LATE_S
        await env.add_host()
        await until(lambda: env.store.creations[KIND])
        await stopped(env, 0)
        assert env.store.names(KIND) == []


@in_loop
async def test_a_host_that_leaves_does_not_register_again(monkeypatch):
    # Guards against a host that reads the list while it finishes its requests, and adds
    # the entry that it has just deleted.
    for name in ("HOST_LIST_INTERVAL_S", "ALONE_INTERVAL_S"):
        monkeypatch.setattr(host_directory, name, 0.1)
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        await env.ready(await env.add_host())
        await until(lambda: env.store.names(KIND))
        await stopped(env, 0)
        assert env.store.names(KIND) == []
