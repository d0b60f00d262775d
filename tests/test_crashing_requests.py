"""Requests that end the backend servers which run them."""

import asyncio
import contextlib
import time

import pytest

from .crashing_servers import crashing_servers
from .gateway_parts import answer, ask, fleet, until
from .test_gateway import header, in_loop

# Hosts in touch may go on sending such a request for so long after it has ended its
# third server, in seconds, and three times afterwards (the users' bound).
WINDOW_S = 3.0
LATE_MOST = 3
REPEAT_S = 0.05
BAD = "/safe/bad"


async def three_hosts(made):
    apps = [await made.add_host(domain=domain) for domain in ("a1", "a2", "b1")]
    for app in apps:
        await made.ready(app)
    return apps


async def repeat(apps, target, seconds):
    """Send one request again and again, at any host, under a new id each time."""
    ends = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < ends:
        number = len(statuses)
        got = await ask(apps[number % len(apps)], target, f"again-{number}")
        statuses.append(got.status)
        await asyncio.sleep(REPEAT_S)
    return statuses


async def end_three(apps):
    """Send a bad request until every host refuses it."""
    await repeat(apps, BAD, 0.5)
    for app in apps:
        await until(lambda app=app: app.gateway.crashes.ledger.quarantine)


@contextlib.asynccontextmanager
async def refusing_fleet():
    """Yield a fleet, its servers and its three hosts, which refuse a bad request."""
    async with fleet() as made, crashing_servers(made, 8) as servers:
        made.configure()
        apps = await three_hosts(made)
        await end_three(apps)
        yield made, servers, apps


@in_loop
async def test_a_request_that_ends_its_servers_reaches_few_of_them():
    # Servers of one service end one after the other, for as long as one caller repeats
    # one request; callers beside it lose their answers with each of them. The request
    # comes under a new id and at another host each time, and what a host learnt of it
    # ended with each try. Evidence: of 24 servers that ended in nine seconds, each had
    # a connection closed under the same method, path and body just before.
    async with fleet() as made:
        made.configure(max_attempts=3)
        async with crashing_servers(made, 12) as servers:
            apps = await three_hosts(made)
            await repeat(apps, BAD, WINDOW_S + 6.0)
            assert len(servers.ends) >= 3
            late = servers.late_arrivals(WINDOW_S)
            assert len(late) <= LATE_MOST, f"{len(late)} late, {len(servers.ends)} ends"


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
    # Path, credentials and body make a request; its neighbours are not refused for it.
    async with refusing_fleet() as (made, _, apps):
        await until(lambda: len(made.servers) > 8)
        for app in apps:
            assert (await ask(app, "/safe/good")).status == 200
            assert (await ask(app, BAD)).status == 503


@in_loop
async def test_the_same_upload_is_refused_and_another_one_is_not():
    async with fleet() as made:
        made.configure()
        async with crashing_servers(made, 10) as servers:
            servers.word = b"bad"
            apps = await three_hosts(made)
            for number in range(3):
                body = b"a bad page"
                await ask(apps[number], "/unsafe/x", method="POST", body=body)
                await asyncio.sleep(0.2)
            got = await ask(apps[0], "/unsafe/x", method="POST", body=b"a bad page")
            assert got.status == 503
            got = await ask(apps[0], "/unsafe/x", method="POST", body=b"a good page")
            assert got.status == 200


@in_loop
async def test_a_host_that_starts_later_refuses_it_too():
    async with refusing_fleet() as (made, servers, _):
        joined = await made.ready(await made.add_host(domain="b1"))
        arrived = len(servers.arrivals)
        assert (await ask(joined, BAD)).status == 503
        assert len(servers.arrivals) == arrived


@in_loop
async def test_hosts_that_all_start_again_still_refuse_it():
    # All hosts lose power while a request is refused. None of them remembers anything,
    # and it would end three more servers before it is refused again.
    async with refusing_fleet() as (made, servers, _):
        await until(lambda: made.store.names("quarantined-requests"))
        for task in made.tasks:
            task.cancel()
        await asyncio.gather(*made.tasks, return_exceptions=True)
        again = await three_hosts(made)
        arrived = len(servers.arrivals)
        for app in again:
            assert (await ask(app, BAD)).status == 503
        assert len(servers.arrivals) == arrived


@in_loop
async def test_hosts_tell_each_other_while_the_store_is_away():
    async with fleet() as made, crashing_servers(made, 8):
        made.configure()
        apps = await three_hosts(made)
        made.store.faults.down = "busy"
        await end_three(apps)
        for app in apps:
            assert (await ask(app, BAD)).status == 503


@in_loop
async def test_an_operator_releases_a_request():
    async with refusing_fleet() as (made, servers, apps):
        await until(lambda: made.store.names("quarantined-requests"))
        # The service is repaired.
        servers.word = b"/nothing"
        await until(lambda: len(servers.running) >= 6)
        for name in made.store.names("quarantined-requests"):
            made.store.delete("quarantined-requests", name)
        for app in apps:
            ledger = app.gateway.crashes.ledger
            await until(lambda ledger=ledger: not ledger.quarantine)
            assert (await ask(app, BAD)).status == 200


@in_loop
async def test_servers_that_drop_connections_and_live_bring_nothing_into_quarantine():
    # A server closes the connection in place of an answer, as lost answers show, and
    # goes on. A request that met three of them would be refused for minutes.
    async def drops(received, writer):
        if "/bad" in received.target:
            return False
        writer.write(answer(received.request_id))
        return True

    async with fleet() as made:
        made.configure(max_attempts=3)
        for _ in range(6):
            await made.add_server(drops)
        apps = await three_hosts(made)
        await repeat(apps, BAD, 1.0)
        for app in apps:
            assert not app.gateway.crashes.ledger.has_suspects


@pytest.mark.parametrize("size", [1_000, 1_200_000])
def test_a_server_that_ends_within_its_answer_counts(size):
    # A server ends in the middle of an answer, be it held back until it is whole or
    # passed on as it comes.
    @in_loop
    async def play():
        async with fleet() as made:
            made.configure()

            async def ends_midway(received, writer):
                whole = answer(received.request_id, bytes(size))
                writer.write(whole[: len(whole) // 2])
                await writer.drain()
                await asyncio.sleep(0.05)
                server.cut_off()
                return False

            server = await made.add_server(ends_midway)
            app = await made.ready(await made.add_host())
            try:
                got = await ask(app, BAD)
            except Exception as exc:
                assert size > 1_000, repr(exc)
            else:
                assert got.status == 502
            ledger = app.gateway.crashes.ledger
            await until(lambda: ledger.has_crashed(("i-1", 0)))
            assert ledger.has_suspects

    play()


@in_loop
async def test_a_server_that_one_host_saw_end_is_passed_over_by_the_others():
    # A server ends. Each host found out by a request of its own that nobody listens
    # there any more, and while servers end one after the other, callers were refused
    # since both servers that were tried for them had ended.
    async with fleet() as made:
        made.configure()
        async with crashing_servers(made, 4) as servers:
            apps = await three_hosts(made)
            await ask(apps[0], BAD)
            for app in apps:
                counters = app.gateway.metrics.counters
                await until(lambda c=counters: c["servers.ended"] == len(servers.ends))
            for number in range(12):
                for app in apps[1:]:
                    got = await ask(app, f"/safe/{number}", key=str(number))
                    assert got.status == 200
            for app in apps[1:]:
                assert not app.gateway.metrics.counters["retries.connect-refused"]
