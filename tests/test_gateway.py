"""Tests of the gateway from the view of callers, backend servers and operators."""

import asyncio
import json

from lacewingcross.core.retry_budgets import RetryAllowance
from lacewingcross.core.store_position import START
from lacewingcross.gateway.settings import Bounds
from tests.gateway_parts import (
    answer,
    answers_at_once,
    ask,
    fleet,
    free_address,
    header,
    in_loop,
    resolve,
    until,
)
from tests.test_platform_settings import rendered


@in_loop
async def test_a_request_goes_through_unchanged():
    async with fleet() as env:
        env.configure()
        server = await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        got = await ask(app, "/safe/a?b=c", "r9")
        assert (got.status, got.body) == (200, b"/safe/a?b=c")
        assert header(got, "x-lacewingcross-response-signature") == "s1"
        assert header(got, "x-lacewingcross-request-id") == "r9"
        seen = server.requests[0]
        assert seen.headers["x-lacewingcross-expected-instance"] == "i-1"
        assert 1000 < int(seen.headers["x-lacewingcross-request-deadline"]) <= 2000


@in_loop
async def test_a_posted_body_goes_through_whole():
    async with fleet() as env:
        env.configure()
        server = await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        body = bytes(range(256)) * 1000
        got = await ask(app, "/unsafe/a", method="POST", body=body)
        assert got.status == 200
        assert server.requests[0].body == body


@in_loop
async def test_no_route_is_404_and_no_configuration_is_503():
    async with fleet() as env:
        app = await env.add_host()
        await until(lambda: app.entry.server.listening)
        got = await ask(app, "/safe/a")
        assert got.status == 503
        assert float(header(got, "retry-after")) > 0
        env.configure()
        await until(lambda: app.gateway.steering.table is not None)
        assert (await ask(app, "/other/")).status == 404


@in_loop
async def test_a_booking_that_may_have_run_is_not_reported_as_not_run():
    # A server accepts a booking and its connection breaks. If the host answered that
    # the request has not run, the caller would book again and the family would pay
    # twice.
    async def breaks(received, writer):
        return False

    async with fleet() as env:
        env.configure()
        server = await env.add_server(breaks)
        app = await env.ready(await env.add_host())
        got = await ask(app, "/unsafe/a", method="POST", body=b"x")
        assert got.status == 502
        assert len(server.requests) == 1


@in_loop
async def test_a_read_that_breaks_is_tried_at_another_server():
    async def breaks(received, writer):
        return False

    async with fleet() as env:
        env.configure()
        await env.add_server(breaks)
        good = await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host(first_start=True))
        await until(lambda: len(app.gateway.steering.placement.known.servers) == 2)
        for index in range(6):
            got = await ask(app, "/safe/a", f"r{index}", key=str(index))
            assert got.status == 200
        assert len(good.requests) == 6


@in_loop
async def test_a_booking_that_the_server_did_not_run_is_tried_elsewhere_or_refused():
    async def sheds(received, writer):
        extra = b"X-Lacewingcross-Not-Executed: 1\r\n"
        writer.write(answer(received.request_id, status=503, extra=extra))

    async with fleet() as env:
        env.configure()
        await env.add_server(sheds)
        app = await env.ready(await env.add_host(first_start=True))
        got = await ask(app, "/unsafe/a", method="POST", body=b"x")
        assert got.status == 503
        assert float(header(got, "retry-after")) > 0
        assert not header(got, "x-lacewingcross-response-signature")
        good = await env.add_server(answers_at_once)
        await until(lambda: len(app.gateway.steering.placement.known.servers) == 2)
        got = await ask(app, "/unsafe/a", "r2", method="POST", body=b"x")
        assert got.status == 200
        assert len(good.requests) == 1


@in_loop
async def test_a_success_without_signature_is_not_passed_on():
    # Another process has taken the server's address, or the response was damaged on its
    # way. In both cases it is not the response of the server.
    async def unsigned(received, writer):
        data = answer(received.request_id)
        writer.write(data.replace(b"X-Lacewingcross-Response-Signature: s1\r\n", b""))

    async with fleet() as env:
        env.configure()
        await env.add_server(unsigned)
        app = await env.ready(await env.add_host())
        assert (await ask(app, "/unsafe/a", method="POST", body=b"x")).status == 502


@in_loop
async def test_the_operators_time_limit_ends_in_504():
    async def hangs(received, writer):
        await asyncio.sleep(20)

    async with fleet() as env:
        env.configure(timeout_s=0.3)
        server = await env.add_server(hangs)
        app = await env.ready(await env.add_host())
        got = await ask(app, "/unsafe/a", method="POST", body=b"x")
        assert got.status == 504
        await until(lambda: server.cut == 1)


@in_loop
async def test_a_read_leaves_a_silent_server():
    async def hangs(received, writer):
        await asyncio.sleep(20)

    async with fleet() as env:
        env.configure()
        silent = await env.add_server(hangs)
        await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        await until(lambda: len(app.gateway.steering.placement.known.servers) == 2)
        statuses = [
            (await ask(app, "/safe/a", f"r{index}", key=str(index))).status
            for index in range(8)
        ]
        assert statuses == [200] * 8
        assert len(silent.requests) <= 2


@in_loop
async def test_a_read_is_stopped_when_its_caller_leaves():
    # Callers give up and send the request again. If servers went on with the requests
    # of callers that have gone, they would have no slots for the remaining callers.
    async def hangs(received, writer):
        await asyncio.sleep(20)

    async with fleet() as env:
        env.configure()
        server = await env.add_server(hangs)
        app = await env.ready(await env.add_host())
        asking = asyncio.ensure_future(ask(app, "/safe/a"))
        await until(lambda: len(server.requests) == 1)
        asking.cancel()
        await until(lambda: server.cut == 1)
        (only,) = app.gateway.steering.placement.known.servers.values()
        await until(lambda: only.own == 0)


@in_loop
async def test_an_evacuated_failure_domain_gets_no_more_requests():
    async with fleet() as env:
        env.configure()
        left = await env.add_server(answers_at_once, domain="a1")
        await env.add_server(answers_at_once, domain="a2")
        app = await env.ready(await env.add_host())
        await until(lambda: len(app.gateway.steering.placement.known.servers) == 2)
        env.store.put("evacuations", "a1", {})
        steering = app.gateway.steering
        await until(lambda: len(steering.replica.update_since(2, START).documents) == 1)
        before = len(left.requests)
        for index in range(10):
            got = await ask(app, "/safe/a", f"r{index}", key=str(index))
            assert got.status == 200
        assert len(left.requests) == before


@in_loop
async def test_an_error_in_one_greeting_does_not_stop_a_hosts_gossip(monkeypatch):
    # A programming error makes one greeting to another host fail. If the stream to that
    # host were never opened again, that host would consider this one dead.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        first = await env.ready(await env.add_host())
        sender = first._peers._gossip_sender
        greeting = type(sender).greeting
        broken = [True, True]

        def fails_to_greet(gossip_sender, link):
            if broken and gossip_sender is sender:
                broken.pop()
                raise TypeError("not iterable")
            return greeting(gossip_sender, link)

        monkeypatch.setattr(type(sender), "greeting", fails_to_greet)
        second = await env.ready(await env.add_host())
        entries = second.gateway.roster.entries
        await until(lambda: any(e.live(second.gateway.now()) for e in entries.values()))
        assert not broken


@in_loop
async def test_lookups_name_live_hosts_only():
    async with fleet() as env:
        env.configure()
        apps = [await env.add_host(domain=domain) for domain in ("a1", "a2", "b1")]
        first = apps[0]
        entries = first.gateway.roster.entries
        await until(
            lambda: (
                len(entries) == 2
                and all(entry.live(first.gateway.now()) for entry in entries.values())
                and not any(entry.starting for entry in entries.values())
                and not first.gateway.roster.starting
            )
        )
        got = json.loads((await resolve(first)).body)
        assert set(got["addresses"]) == {app.gateway.cfg.entry for app in apps[:2]}
        env.tasks[1].cancel()
        await until(lambda: len(first.gateway.roster.live(first.gateway.now())) == 2)
        got = json.loads((await resolve(first)).body)
        assert got["addresses"] == [first.gateway.cfg.entry]


@in_loop
async def test_a_leaving_host_finishes_its_requests():
    # A host is stopped while a server runs an upload. The caller still gets its answer,
    # the other hosts leave this host out of look-ups, and its entry is deleted.
    release = asyncio.Event()

    async def waits(received, writer):
        await release.wait()
        writer.write(answer(received.request_id, b"done"))

    async with fleet() as env:
        env.configure()
        server = await env.add_server(waits)
        leaving = await env.ready(await env.add_host())
        other = await env.ready(await env.add_host(domain="a2"))
        entries = other.gateway.roster.entries
        await until(
            lambda: "host-0" in entries and entries["host-0"].last_message_at > 0
        )
        asking = asyncio.ensure_future(
            ask(leaving, "/unsafe/a", method="POST", body=b"x")
        )
        await until(lambda: len(server.requests) == 1)
        env.stops[0].set()
        await until(lambda: entries["host-0"].leaving)
        assert leaving.gateway.cfg.entry.encode() not in (await resolve(other)).body
        release.set()
        got = await asking
        assert (got.status, got.body) == (200, b"done")
        late = await ask(leaving, "/unsafe/b", "r2", method="POST", body=b"x")
        assert late.status == 200
        assert header(late, "connection") == "close"
        await env.tasks[0]
        assert env.store.names("entry-hosts") == ["host-1"]


@in_loop
async def test_without_servers_callers_are_refused_at_once():
    async with fleet() as env:
        env.configure()
        app = await env.add_host()
        await until(lambda: app.gateway.steering.table is not None)
        await until(lambda: app.entry.server.listening)
        got = await ask(app, "/safe/a")
        assert got.status == 503
        assert json.loads(got.body)["error"] == "no-server"


@in_loop
async def test_a_read_that_a_server_ran_is_not_reported_as_not_run():
    # A server runs a read and fails with 500; no other server can take it. If the host
    # reported the request as not run, readers of the logs would be misled.
    async def fails(received, writer):
        writer.write(answer(received.request_id, b"oops", status=500))

    async with fleet() as env:
        env.configure()
        await env.add_server(fails)
        app = await env.ready(await env.add_host())
        got = await ask(app, "/safe/a")
        assert got.status == 500
        assert header(got, "x-lacewingcross-response-signature") == "s1"


@in_loop
async def test_settings_are_read_again_and_bad_ones_are_refused(tmp_path):
    # An operator changes the settings file and sends SIGHUP. The second change has a
    # syntax error, and the host must keep the settings that it has.
    path = tmp_path / "settings.json"
    path.write_text(rendered())
    async with fleet() as env:
        app = await env.add_host(settings=str(path))
        await until(lambda: app.entry.server.listening)
        bounds = {"cold_over": 3.0, "retry_budget_ratio": 0.1}
        path.write_text(rendered(bounds=bounds))
        app.reload()
        expected = Bounds(cold_over=3.0, retry_ratio=0.1)
        await until(lambda: app.gateway.cfg.bounds == expected)
        budgets = app.gateway.steering.retry_budgets
        assert budgets.allowance == RetryAllowance(0.1, 64.0, 10.0)
        path.write_text("{")
        app.reload()
        await asyncio.sleep(0.1)
        assert app.gateway.cfg.bounds == expected


@in_loop
async def test_a_host_without_retries_goes_on_to_another_server_if_it_cannot_connect():
    # Guards against requests that a host refuses although no server has got them yet.
    async with fleet() as env:
        env.configure()
        env.register("dead", free_address())
        good = await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        await until(lambda: len(app.gateway.steering.placement.known.servers) == 2)
        for index in range(12):
            got = await ask(app, "/safe/a", f"r{index}", key=str(index))
            assert got.status == 200
        assert len(good.requests) == 12
        assert not app.gateway.metrics.counters["retries-refused.budget"]
