"""How the hosts of a fleet follow the store, through outages and each other."""

import asyncio

import pytest

from lacewingcross.core.fleet_shares import rank
from lacewingcross.core.replica import Kind
from lacewingcross.core.steering import OUTAGE_S
from tests.gateway_parts import (
    answers_at_once,
    ask,
    fleet,
    free_address,
    in_loop,
    until,
)


async def host_without_store(env, connected):
    """Return a host that does not reach the store and greets a connected one."""
    late = await env.add_host(
        domain="a2", platform=free_address(), seeds=[connected.gateway.cfg.peer]
    )
    return await env.ready(late)


@in_loop
async def test_a_configuration_change_is_in_force_at_every_host():
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        apps = await env.ready_hosts("a1", "a2", "b1")
        env.configure(version=4, path_prefix="/moved/")
        for app in apps:
            await until(lambda app=app: app.gateway.steering.table.config.version == 4)
            assert (await ask(app, "/moved/x")).status == 200
            assert (await ask(app, "/safe/x")).status == 404


@in_loop
@pytest.mark.parametrize("fault", ["busy", "many", "reset", "silent"])
async def test_a_host_that_cannot_reach_the_store_gets_updates_from_its_peers(fault):
    # The store is unreachable for this host and serves the other hosts. This host must
    # not use an old configuration or send requests to servers that have left.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        connected = await env.ready(await env.add_host())
        broken = type(env.store)(env.store.now)
        broken.faults.down = fault
        port = await broken.start()
        isolated = await env.add_host(
            domain="a2",
            platform=f"127.0.0.1:{port}",
            seeds=[connected.gateway.cfg.peer],
        )
        await env.ready(isolated)
        env.configure(version=9)
        await until(lambda: isolated.gateway.steering.table.config.version == 9)
        env.store.delete("servers", "i-1")
        await until(lambda: not isolated.gateway.steering.placement.known.servers)
        await broken.close()


def watching_hosts(apps, kind):
    """Return the hosts that are elected to watch a kind of objects in the store."""
    return [
        app
        for app in apps
        if app.gateway.watch_election.should_watch(
            kind, rank(app.gateway.roster, app.gateway.now()), app.gateway.now()
        )
    ]


@in_loop
async def test_one_host_of_all_regions_watches_the_store_for_the_others():
    # Every call to the store costs money, also one that waits for changes. If each host
    # watched all four kinds of objects, the calls would cost more than all processor
    # time of the hosts.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        apps = await env.ready_hosts("a1", "a2", "b1")
        for kind in Kind:
            await until(lambda kind=kind: len(watching_hosts(apps, kind)) == 1)
        env.configure(version=5)
        for app in apps:
            steering = app.gateway.steering
            await until(lambda known=steering: known.table.config.version == 5)


@in_loop
async def test_another_host_watches_the_store_when_the_elected_one_dies():
    # The host that watches the store loses power with all its streams open, and the
    # operator changes the configuration. The other hosts must get the new one.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        apps = await env.ready_hosts("a1", "a2", "b1")
        await until(lambda: len(watching_hosts(apps, Kind.CONFIG)) == 1)
        dead = watching_hosts(apps, Kind.CONFIG)[0]
        env.tasks[apps.index(dead)].cancel()
        env.configure(version=5)
        for app in apps:
            if app is not dead:
                steering = app.gateway.steering
                await until(lambda known=steering: known.table.config.version == 5)


@in_loop
async def test_a_pull_from_another_host_is_no_contact_with_the_store():
    # The store is unavailable. A starting host pulls from a host whose copy is old. If
    # that counted as contact with the store, neither host would notice how old its copy
    # is.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        connected = await env.ready(await env.add_host())
        env.store.faults.down = "reset"
        late = await host_without_store(env, connected)
        assert late.gateway.steering.store_age(late.gateway.now()) == float("inf")


@in_loop
async def test_servers_whose_entries_lapsed_in_an_outage_are_kept_for_their_return():
    # The store is unavailable for longer than the lifetime of entries. When it returns,
    # all entries are missing for a moment. A host that dropped the servers at once
    # would refuse every request.
    async with fleet() as env:
        env.configure()
        server = await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        env.store.faults.down = "reset"
        outage_s = OUTAGE_S + 0.2
        steering = app.gateway.steering
        await until(lambda: steering.store_age(app.gateway.now()) > outage_s)
        env.store.delete("servers", "i-1")
        env.store.faults.down = ""
        await until(lambda: app.gateway.steering.store_age(app.gateway.now()) < 1.0)
        assert (await ask(app, "/safe/a")).status == 200
        env.register("i-1", server.address)
        await asyncio.sleep(2.5)
        assert (await ask(app, "/safe/a", "r2")).status == 200
        assert "i-1" in app.gateway.steering.placement.known.servers


@in_loop
async def test_a_server_that_left_while_the_history_was_dropped_is_noticed():
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        servers = app.gateway.steering.placement.known.servers
        await until(lambda: len(servers) == 2)
        env.store.delete("servers", "i-2")
        env.store.compact()
        await until(lambda: set(servers) == {"i-1"})


@in_loop
async def test_a_host_finds_the_others_through_a_seed_while_the_store_is_away():
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        connected = await env.ready(await env.add_host())
        env.store.faults.down = "reset"
        late = await host_without_store(env, connected)
        assert (await ask(late, "/safe/a")).status == 200
