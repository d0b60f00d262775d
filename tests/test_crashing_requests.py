"""Tests of requests that crash the backend servers which run them."""

import asyncio
import contextlib
import time

import pytest

from .crashing_servers import crashing_servers
from .gateway_parts import answer, ask, fleet, header, in_loop, until

# The users' bound: hosts that are connected may go on sending such a request for this
# long after it has crashed its third server, in seconds.
WINDOW_S = 3.0
# How many times the hosts together may send such a request to servers after the window.
MAX_LATE_ARRIVALS = 3
REPEAT_S = 0.05
BAD = "/safe/bad"


async def three_hosts(env):
    return await env.ready_hosts("a1", "a2", "b1")


async def repeat(apps, target, duration_s):
    """Send one request repeatedly to all hosts in rotation, under new ids."""
    end_at = time.monotonic() + duration_s
    statuses = []
    while time.monotonic() < end_at:
        index = len(statuses)
        got = await ask(apps[index % len(apps)], target, f"again-{index}")
        statuses.append(got.status)
        await asyncio.sleep(REPEAT_S)
    return statuses


async def quarantine_bad_request(apps):
    """Send a bad request until every host refuses it."""
    await repeat(apps, BAD, 0.5)
    for app in apps:
        await until(lambda app=app: app.gateway.crashes.ledger.quarantine)


@contextlib.asynccontextmanager
async def refusing_fleet():
    """Yield a fleet, its servers and its three hosts, which refuse a bad request."""
    async with fleet() as env, crashing_servers(env, 8) as servers:
        env.configure()
        apps = await three_hosts(env)
        await quarantine_bad_request(apps)
        yield env, servers, apps


@in_loop
async def test_a_request_that_ends_its_servers_reaches_few_of_them():
    # Servers of one service crash one after the other while a caller repeats one
    # request, and other callers lose their answers with each server. The request has a
    # new id and goes to another host each time, so a host that forgets the request
    # after each attempt cannot recognise it. In one case 24 servers crashed in nine
    # seconds, and each had lost a connection just before, during a request with the
    # same method, path and body.
    async with fleet() as env:
        env.configure(max_attempts=3)
        async with crashing_servers(env, 12) as servers:
            apps = await three_hosts(env)
            await repeat(apps, BAD, WINDOW_S + 6.0)
            assert len(servers.ends) >= 3
            late = servers.late_arrivals(WINDOW_S)
            assert len(late) <= MAX_LATE_ARRIVALS, (
                f"{len(late)} late, {len(servers.ends)} crashes"
            )


@in_loop
async def test_the_caller_is_told_that_nothing_ran_and_when_to_come_back():
    async with refusing_fleet() as (_, servers, apps):
        arrived = len(servers.arrivals)
        got = await ask(apps[0], BAD, "r-late")
        assert got.status == 503
        assert b"quarantined" in got.body
        assert float(header(got, "retry-after")) > 0
        assert len(servers.arrivals) == arrived
        assert apps[0].gateway.metrics.counters["requests.503.quarantined"]


@in_loop
async def test_other_requests_are_served_meanwhile():
    # A request is identified by path, credentials and body. Other requests are served.
    async with refusing_fleet() as (env, _, apps):
        await until(lambda: len(env.servers) > 8)
        for app in apps:
            assert (await ask(app, "/safe/good")).status == 200
            assert (await ask(app, BAD)).status == 503


@in_loop
async def test_the_same_upload_is_refused_and_another_one_is_not():
    async with fleet() as env:
        env.configure()
        async with crashing_servers(env, 10) as servers:
            servers.bad_word = b"bad"
            apps = await three_hosts(env)
            for index in range(3):
                body = b"a bad page"
                await ask(apps[index], "/unsafe/x", method="POST", body=body)
                await asyncio.sleep(0.2)
            got = await ask(apps[0], "/unsafe/x", method="POST", body=b"a bad page")
            assert got.status == 503
            got = await ask(apps[0], "/unsafe/x", method="POST", body=b"a good page")
            assert got.status == 200


@in_loop
async def test_a_host_that_starts_later_refuses_it_too():
    async with refusing_fleet() as (env, servers, _):
        joined = await env.ready(await env.add_host(domain="b1"))
        arrived = len(servers.arrivals)
        assert (await ask(joined, BAD)).status == 503
        assert len(servers.arrivals) == arrived


@in_loop
async def test_hosts_that_all_start_again_still_refuse_it():
    # All hosts lose power while a request is quarantined and keep nothing in memory. If
    # the quarantine were not stored, the request would crash three more servers before
    # it is refused again.
    async with refusing_fleet() as (env, servers, _):
        await until(lambda: env.store.names("quarantined-requests"))
        for task in env.tasks:
            task.cancel()
        await asyncio.gather(*env.tasks, return_exceptions=True)
        again = await three_hosts(env)
        arrived = len(servers.arrivals)
        for app in again:
            assert (await ask(app, BAD)).status == 503
        assert len(servers.arrivals) == arrived


@in_loop
async def test_hosts_tell_each_other_while_the_store_is_away():
    async with fleet() as env, crashing_servers(env, 8):
        env.configure()
        apps = await three_hosts(env)
        env.store.faults.down = "busy"
        await quarantine_bad_request(apps)
        for app in apps:
            assert (await ask(app, BAD)).status == 503


@in_loop
async def test_an_operator_releases_a_request():
    async with refusing_fleet() as (env, servers, apps):
        await until(lambda: env.store.names("quarantined-requests"))
        # From now on no request crashes a server, as after a fix of the service.
        servers.bad_word = b"/nothing"
        await until(lambda: len(servers.running) >= 6)
        for name in env.store.names("quarantined-requests"):
            env.store.delete("quarantined-requests", name)
        for app in apps:
            ledger = app.gateway.crashes.ledger
            await until(lambda ledger=ledger: not ledger.quarantine)
            assert (await ask(app, BAD)).status == 200


@in_loop
async def test_servers_that_drop_connections_and_live_bring_nothing_into_quarantine():
    # A server closes the connection instead of responding and stays alive, as if the
    # response were lost. If that counted as a crash, a request that meets three such
    # servers would be refused for minutes.
    async def drops(received, writer):
        if "/bad" in received.target:
            return False
        writer.write(answer(received.request_id))
        return True

    async with fleet() as env:
        env.configure(max_attempts=3)
        for _ in range(6):
            await env.add_server(drops)
        apps = await three_hosts(env)
        await repeat(apps, BAD, 1.0)
        for app in apps:
            assert not app.gateway.crashes.ledger.has_suspects


@pytest.mark.parametrize("size", [1_000, 1_200_000])
def test_a_server_that_ends_within_its_answer_counts(size):
    # A server crashes in the middle of a response. A small response is buffered until
    # it is complete, a large one is forwarded as it arrives.
    @in_loop
    async def run():
        async with fleet() as env:
            env.configure()

            async def crashes_midway(received, writer):
                whole = answer(received.request_id, bytes(size))
                writer.write(whole[: len(whole) // 2])
                await writer.drain()
                await asyncio.sleep(0.05)
                server.cut_off()
                return False

            server = await env.add_server(crashes_midway)
            app = await env.ready(await env.add_host())
            try:
                got = await ask(app, BAD)
            except Exception as exc:
                assert size > 1_000, repr(exc)
            else:
                assert got.status == 502
            ledger = app.gateway.crashes.ledger
            await until(lambda: ledger.has_crashed(("i-1", 0)))
            assert ledger.has_suspects

    run()


@in_loop
async def test_a_server_that_one_host_saw_end_is_passed_over_by_the_others():
    # A server crashes. If each host had to find out by a request of its own that the
    # server no longer listens, callers would be refused while servers crash one after
    # the other, since both servers tried for a request may have crashed.
    async with fleet() as env:
        env.configure()
        async with crashing_servers(env, 4) as servers:
            apps = await three_hosts(env)
            await ask(apps[0], BAD)
            for app in apps:
                counters = app.gateway.metrics.counters
                await until(lambda c=counters: c["servers.ended"] == len(servers.ends))
            for index in range(12):
                for app in apps[1:]:
                    got = await ask(app, f"/safe/{index}", key=str(index))
                    assert got.status == 200
            for app in apps[1:]:
                assert not app.gateway.metrics.counters["retries.connect-refused"]
