"""Requests at a server that accepts them and answers no host."""

import asyncio
import itertools

from .gateway_parts import answer, answers_at_once, ask, fleet, in_loop, until

KEYS = 24


async def send_all(app, prefix, kind="safe", **options):
    """Send one request for each key; return the statuses and the longest time."""
    began_at = app.gateway.now()
    requests = (
        ask(app, f"/{kind}/a", f"{prefix}{key}", key=str(key), **options)
        for key in range(KEYS)
    )
    responses = await asyncio.gather(*requests)
    return {item.status for item in responses}, app.gateway.now() - began_at


async def keep_asking(app):
    """Send requests at short intervals, so that the service is heard all the time."""
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            group.create_task(ask(app, "/safe/a", f"k{number}", key=f"k{number}"))
            await asyncio.sleep(0.02)


def silent_at(app):
    servers = app.gateway.steering.placement.known.servers
    return [name for name in servers if servers[name].evidence.is_silent]


@in_loop
async def test_reads_leave_a_silent_server_bookings_wait_and_all_hosts_skip_it():
    # Guards against reads that wait at a server without power until shortly before
    # their deadline, against each host that has to find out by itself, and against a
    # booking that runs twice, once at a server that was only paused.
    mute = asyncio.Event()

    async def goes_mute(received, writer):
        while mute.is_set():
            await asyncio.sleep(0.01)
        writer.write(answer(received.request_id, b"ok"))

    async with fleet() as env:
        env.configure()
        for behave in (goes_mute, answers_at_once, answers_at_once):
            await env.add_server(behave, slots=2 * KEYS)
        first, second = await env.ready_hosts("a1", "a2", first_start=True)
        for app in (first, second):
            known = app.gateway.steering.placement.known.servers
            await until(lambda known=known: len(known) == 3)
            for turn in range(3):
                assert (await send_all(app, f"w{turn}"))[0] == {200}
        mute.set()
        asking = asyncio.ensure_future(keep_asking(first))
        bookings = asyncio.ensure_future(
            send_all(first, "u", "unsafe", method="POST", body=b"x")
        )
        statuses, longest_s = await send_all(first, "s", remaining_ms=3000)
        assert statuses == {200}
        assert longest_s < 1.5
        await until(lambda: silent_at(first) == silent_at(second) == ["i-1"])
        assert first.gateway.metrics.counters["servers.silent.found"] == 1
        assert second.gateway.metrics.counters["servers.silent.told"] == 1
        before = len(env.servers[0].requests)
        assert (await send_all(second, "t", remaining_ms=3000))[0] == {200}
        assert len(env.servers[0].requests) <= before + 3
        mute.clear()
        await until(lambda: not silent_at(first) and not silent_at(second))
        assert (await bookings)[0] == {200}
        asking.cancel()
        ran = [item for server in env.servers for item in server.requests]
        booked = [item.request_id for item in ran if item.method == "POST"]
        assert sorted(booked) == sorted(f"u{key}" for key in range(KEYS))
