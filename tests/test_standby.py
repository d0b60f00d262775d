"""Standby hosts: a fleet of two large hosts and three small ones."""

import asyncio
import json

from .crashing_servers import crashing_servers
from .gateway_parts import answers_at_once, ask, fleet, in_loop, resolve, until

# Processor time of a large and of a small host, in cores.
LARGE = 2.0
SMALL = 0.4


async def mixed_fleet(made, *, servers=1, **route):
    """Start two large and three small hosts; return them once they agree."""
    made.configure(**route)
    for _ in range(servers):
        await made.add_server(answers_at_once)
    large = [await made.add_host(cores=LARGE) for _ in range(2)]
    for app in large:
        await made.ready(app)
    small = [await made.add_host(cores=SMALL) for _ in range(3)]
    for app in small:
        await made.ready(app)
    names = {app.gateway.cfg.host_id for app in large}
    for app in large + small:
        roster = app.gateway.roster
        await until(lambda roster=roster: set(roster.active) == names)
    return large, small


async def named_by(app):
    return set(json.loads((await resolve(app)).body)["addresses"])


def version(app):
    return app.gateway.steering.table.config.version


@in_loop
async def test_any_host_names_the_large_ones_and_serves_requests_itself():
    async with fleet() as made:
        large, small = await mixed_fleet(made)
        expected = {app.gateway.cfg.entry for app in large}
        for app in large + small:
            assert await named_by(app) == expected
            assert (await ask(app, "/safe/x")).status == 200


@in_loop
async def test_the_metrics_distinguish_known_hosts_from_active_ones():
    # Engineers compare the numbers of hosts that are known, alive and active. Guards
    # against metrics that show a fleet of five hosts as one of two.
    async with fleet() as made:
        large, _ = await mixed_fleet(made)
        gauges = large[0].gateway.metrics.gauges
        await until(lambda: gauges.get("hosts.active") == 2)
        await until(lambda: gauges.get("hosts.known") == 5)


@in_loop
async def test_changes_reach_standby_hosts_without_calls_to_the_store():
    # Each call to the store costs money. A standby host writes its own entry, reads the
    # list of hosts and makes no further call, whatever operators change.
    async with fleet() as made:
        _, small = await mixed_fleet(made)
        calls = [app._store.calls for app in small]
        assert max(calls) <= 4
        for target in (3, 5, 9):
            made.configure(version=target)
            for app in small:
                await until(lambda app=app, target=target: version(app) == target)
        assert [app._store.calls for app in small] == calls


@in_loop
async def test_standby_hosts_take_over():
    # Both large hosts lose power. The small hosts must serve callers, be named by
    # look-ups, and watch the store themselves: an operator's change comes right after
    # the loss.
    async with fleet() as made:
        large, small = await mixed_fleet(made)
        for app in large:
            made.tasks[made.apps.index(app)].cancel()
        made.configure(version=7)
        for app in small:
            await until(lambda app=app: version(app) == 7)
        await until(lambda: any(app.gateway.roster.is_active for app in small))
        lost_addresses = {app.gateway.cfg.entry for app in large}
        for app in small:
            async with asyncio.timeout(10):
                while lost_addresses & await named_by(app):
                    await asyncio.sleep(0.05)
            assert (await ask(app, "/safe/x")).status == 200


@in_loop
async def test_crashes_seen_by_standby_hosts_count_everywhere():
    # A request that crashes servers arrives at small hosts, which exchange messages
    # only with the two large ones. Each small host sees one crash, too few to refuse
    # the request on its own.
    async with fleet() as made, crashing_servers(made, 8) as servers:
        large, small = await mixed_fleet(made, servers=0, max_attempts=1)
        for app in small:
            crashes_before = len(servers.ends)
            while len(servers.ends) == crashes_before:
                await ask(app, "/safe/bad")
        for app in large + small:
            ledger = app.gateway.crashes.ledger
            await until(lambda ledger=ledger: ledger.quarantine)
            assert (await ask(app, "/safe/bad")).status == 503
