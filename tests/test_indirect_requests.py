"""Requests that reach their server through another entry host."""

import asyncio
import contextlib

import pytest

from lacewingcross.core import messages as msg
from lacewingcross.gateway.paths.carrier import Carrier
from lacewingcross.gateway.paths.reasons import NO_ROOM, NOT_ALLOWED
from lacewingcross.gateway.paths.streams import IndirectConnection
from lacewingcross.http1_client import ClientConnection, HttpError
from lacewingcross.wire import encode, read_message

from .gateway_parts import answer, answers_at_once, ask, fleet, headers, until
from .server_links import Cut, ServerLinks

DOMAINS = ("a1", "a2", "b1")
LARGE = bytes(range(256)) * 3000


@contextlib.asynccontextmanager
async def cut_host(behave=answers_at_once, *, hosts=2, servers=1, **route):
    """Run hosts of which the first reaches no server, and knows it."""
    async with fleet() as env:
        env.configure(**route)
        for index in range(servers):
            await env.add_server(behave, domain=DOMAINS[index % 3])
        apps = await env.ready_hosts(*DOMAINS[:hosts], first_start=True)
        await until(
            lambda: all(
                len(app.gateway.roster.direct_peers(app.gateway.now())) == hosts - 1
                for app in apps
            )
        )
        links = ServerLinks()
        links.attach(apps[0])
        try:
            await lose_paths(env, links, apps[0])
            yield env, apps, links
        finally:
            links.close()


async def lose_paths(env, links, app):
    await links.cut(app, Cut.REFUSE, [server.address for server in env.servers])
    reachability = app.gateway.paths.reachability
    for server in app.gateway.steering.placement.known.servers.values():
        now = app.gateway.now()
        reachability.confirm_lost(server.entry, now, "host-1", DOMAINS, now)
        reachability._add_domains({server.entry.failure_domain}, now)


def run(scenario):
    async def limited():
        async with asyncio.timeout(20):
            await scenario()

    asyncio.run(limited())


def holding():
    """Return a server's behaviour that answers nothing, and the event of its start."""
    began = asyncio.Event()

    async def hold(received, writer):
        began.set()
        await asyncio.sleep(10)

    return began, hold


async def refuse_with_back_off(received, writer):
    extra = b"X-Lacewingcross-Not-Executed: 1\r\nRetry-After: 5\r\n"
    writer.write(answer(received.request_id, status=503, extra=extra))


def test_a_response_comes_back_unchanged_through_another_host():
    async def scenario():
        async with cut_host() as (env, apps, _):
            response = await ask(apps[0], "/unsafe/1?q=2", "r7")
            assert (response.status, response.body) == (200, b"/unsafe/1?q=2")
            names = dict(response.headers)
            assert names[b"x-lacewingcross-response-signature"] == b"s1"
            (received,) = env.servers[0].requests
            assert received.request_id == "r7"
            assert received.headers["x-lacewingcross-expected-instance"] == "i-1"
            assert int(received.headers["x-lacewingcross-request-deadline"]) < 2000
            assert apps[1].gateway.metrics.counters["paths.carried.answered"] == 1

    run(scenario)


def test_large_bodies_go_through_another_host_both_ways():
    async def echo(received, writer):
        writer.write(answer(received.request_id, received.body))
        await writer.drain()

    async def scenario():
        async with cut_host(echo) as (_, apps, _links):
            response = await ask(
                apps[0], "/unsafe/1", method="POST", body=LARGE, remaining_ms=9000
            )
            assert response.status == 200
            assert response.body == LARGE

    run(scenario)


def _count_streams(monkeypatch):
    """Return a list that grows by the host of each stream that a carrier serves."""
    sources = []
    serve = Carrier.serve

    async def counted(self, info, *args):
        sources.append(info.host_id)
        await serve(self, info, *args)

    monkeypatch.setattr(Carrier, "serve", counted)
    return sources


def test_a_refused_upload_leaves_its_stream_fit_for_the_next_request(monkeypatch):
    """Guards against an upload's rest that is taken for the next caller's request."""

    def refuse_uploads(self, message):
        return NOT_ALLOWED if message.method == "POST" else ""

    async def scenario():
        monkeypatch.setattr(Carrier, "_refusal_of", refuse_uploads)
        streams = _count_streams(monkeypatch)
        async with cut_host() as (env, apps, _):
            for number in range(6):
                response = await ask(
                    apps[0], f"/unsafe/{number}", method="POST", body=LARGE
                )
                assert response.status == 503
                assert (await ask(apps[0], f"/safe/{number}")).status == 200
            assert {received.method for received in env.servers[0].requests} == {"GET"}
            assert streams == ["host-0"]

    run(scenario)


def test_a_refused_upload_is_not_sent(monkeypatch):
    """Guards against whole uploads that cross a link only to be thrown away."""

    async def scenario():
        monkeypatch.setattr(Carrier, "_refusal_of", lambda *_: NOT_ALLOWED)
        parts = []
        send_more = IndirectConnection.send_more
        monkeypatch.setattr(
            IndirectConnection,
            "send_more",
            lambda self, data: (parts.append(data), send_more(self, data)),
        )
        async with cut_host() as (_, apps, _links):
            response = await ask(apps[0], "/unsafe/1", method="POST", body=LARGE)
            assert response.status == 503
            assert parts == []

    run(scenario)


def test_an_upload_that_one_host_refuses_reaches_its_server_whole(monkeypatch):
    """Guards against a second try that sends only the part that was kept."""
    refusal_of = Carrier._refusal_of

    def refuse_at_first_host(self, message):
        own_id = self._gateway.roster.own.host_id
        return NO_ROOM if own_id == "host-1" else refusal_of(self, message)

    async def scenario():
        monkeypatch.setattr(Carrier, "_refusal_of", refuse_at_first_host)
        async with cut_host(hosts=3, servers=2) as (env, apps, _):
            served = 0
            for number in range(8):
                response = await ask(
                    apps[0], f"/unsafe/{number}", method="POST", body=LARGE
                )
                assert response.status in (200, 503)
                served += response.status == 200
            assert served
            received = [req for server in env.servers for req in server.requests]
            assert len(received) == served
            assert all(req.body == LARGE for req in received)

    run(scenario)


def test_a_server_that_ends_an_upload_early_does_not_discredit_the_host_in_between():
    """Guards against a sound host that is skipped as unreachable."""

    async def close_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    async def scenario():
        async with cut_host() as (env, apps, links):
            server = await asyncio.start_server(close_early, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            env.store.delete("servers", "i-1")
            env.register("i-2", f"127.0.0.1:{port}")
            known = apps[0].gateway.steering.placement.known.servers
            await until(lambda: list(known) == ["i-2"])
            links.attach(apps[0])
            await links.cut(apps[0], Cut.REFUSE, [f"127.0.0.1:{port}"])
            intermediaries = apps[0].gateway.paths.intermediaries
            for number in range(6):
                response = await ask(
                    apps[0], f"/unsafe/{number}", method="POST", body=LARGE
                )
                assert response.status == 502
                info = intermediaries.choose("a1", frozenset(), apps[0].gateway.now())
                assert info.host_id == "host-1"
            server.close()

    run(scenario)


def test_a_response_that_breaks_off_behind_another_host_does_not_look_whole():
    """Guards against a truncated response that the caller takes for complete."""

    async def break_off(received, writer):
        whole = answer(received.request_id, LARGE)
        writer.write(whole[: len(whole) // 2])
        await writer.drain()
        return False

    async def scenario():
        async with cut_host(break_off) as (_, apps, _links):
            with pytest.raises(HttpError):
                await ask(apps[0], "/unsafe/1")

    run(scenario)


def test_a_booking_is_not_called_unrun_when_the_host_in_between_ends():
    """Guards against a booking that is repeated although a server has run it."""

    async def scenario():
        began, hold = holding()
        async with cut_host(hold) as (env, apps, _):
            asking = asyncio.ensure_future(ask(apps[0], "/unsafe/1"))
            await began.wait()
            env.tasks[1].cancel()
            response = await asking
            assert response.status == 502
            assert len(env.servers[0].requests) == 1

    run(scenario)


def test_a_safe_request_goes_on_when_the_host_in_between_ends():
    async def scenario():
        began = asyncio.Event()

        async def hold_first(received, writer):
            if not began.is_set():
                began.set()
                await asyncio.sleep(10)
            writer.write(answer(received.request_id))

        async with cut_host(hold_first, hosts=3, servers=2) as (env, apps, _):
            asking = asyncio.ensure_future(ask(apps[0], "/safe/1"))
            await began.wait()
            streams = [app for app in apps[1:] if app.carrier.running]
            env.tasks[apps.index(streams[0])].cancel()
            assert (await asking).status == 200

    run(scenario)


def test_a_host_that_shuts_down_finishes_what_it_carries():
    """Guards against requests of other hosts that a planned stop cuts off."""

    async def scenario():
        began = asyncio.Event()

        async def work(received, writer):
            began.set()
            await asyncio.sleep(2.5)
            writer.write(answer(received.request_id))

        async with cut_host(work, timeout_s=6.0) as (env, apps, _):
            asking = asyncio.ensure_future(ask(apps[0], "/unsafe/1", remaining_ms=6000))
            await began.wait()
            env.stops[1].set()
            assert (await asking).status == 200

    run(scenario)


def test_a_server_hears_of_a_caller_that_left_behind_another_host():
    """Guards against servers that go on working for callers that have left."""

    async def scenario():
        began, hold = holding()
        async with cut_host(hold) as (env, apps, _):
            conn = await ClientConnection.open(apps[0].gateway.cfg.entry)
            fields = [(b"Host", b"a.example"), *headers("r1")]
            await conn.send_head("GET", "/safe/1", fields)
            await conn.finish()
            await began.wait()
            conn.close()
            await until(lambda: env.servers[0].cut == 1, limit_s=0.5)

    run(scenario)


def test_a_back_off_binds_the_host_in_between():
    """Guards against requests to a server that has asked the sending host for rest."""

    async def scenario():
        async with cut_host(refuse_with_back_off) as (env, apps, _):
            assert (await ask(apps[0], "/unsafe/1")).status == 503
            assert (await ask(apps[1], "/unsafe/2", "r2")).status == 503
            assert (await ask(apps[0], "/unsafe/3", "r3")).status == 503
            assert len(env.servers[0].requests) == 1

    run(scenario)


def test_another_server_is_used_if_the_host_in_between_may_not_send_to_the_first():
    """Guards against a refusal while another server could serve the request."""

    async def scenario():
        async with cut_host() as (env, apps, links):
            await env.add_server(refuse_with_back_off, domain="a1")
            known = apps[0].gateway.steering.placement.known.servers
            await until(lambda: "i-2" in known)
            await lose_paths(env, links, apps[0])
            backoffs = apps[1].gateway.steering.placement.gate.backoffs
            backoffs.observe(known["i-2"].entry.incarnation, 5.0, apps[1].gateway.now())
            for number in range(12):
                response = await ask(apps[0], f"/unsafe/{number}", key=str(number))
                assert response.status == 200
            assert not env.servers[1].requests

    run(scenario)


def test_requests_are_refused_at_once_while_no_host_reaches_the_servers():
    """Guards against callers that wait for the timeout of a connection."""

    async def scenario():
        async with cut_host(servers=3) as (env, apps, links):
            links.attach(apps[1])
            await lose_paths(env, links, apps[1])
            gateways = [app.gateway for app in apps]
            await until(
                lambda: all(
                    g.paths.intermediaries.lost_domains_of(f"host-{1 - index}")
                    for index, g in enumerate(gateways)
                )
            )
            began_at = gateways[0].now()
            response = await ask(apps[0], "/unsafe/1")
            assert response.status == 503
            assert gateways[0].now() - began_at < 0.2
            assert 0.5 < float(dict(response.headers)[b"retry-after"]) < 2.0

    run(scenario)


def test_only_regions_that_may_see_a_request_carry_it():
    """Guards against bodies that are sent to a region outside of the route's homes."""

    async def scenario():
        route = {"home_regions": ["a"]}
        async with cut_host(hosts=3, **route) as (env, apps, _):
            for number in range(6):
                response = await ask(apps[0], f"/unsafe/{number}", f"r{number}")
                assert response.status == 200
            assert "paths.carried.answered" not in apps[2].gateway.metrics.counters
            apps[1].gateway.roster.leaving = True
            await until(lambda: apps[0].gateway.roster.entries["host-1"].leaving)
            assert (await ask(apps[0], "/unsafe/7", "r7")).status == 503

    run(scenario)


async def _stream_to(app, *messages):
    host, _, port = app.gateway.cfg.peer.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for message in messages:
        writer.write(encode(message))
    return reader, writer


def _request(server_id, body=b""):
    fields = [
        (b"host", b"a.example"),
        (b"x-lacewingcross-request-id", b"r1"),
        (b"x-lacewingcross-request-deadline", b"1000"),
    ]
    return msg.IndirectRequest(
        server_id, 0, "GET", "/safe/1", fields, True, body, not body
    )


@pytest.mark.parametrize("with_hello", [False, True])
def test_a_stream_without_a_valid_beginning_reaches_no_server(with_hello):
    async def scenario():
        async with cut_host() as (env, apps, _):
            hello = apps[0].gateway.hello()
            first = [hello, msg.IndirectBody(b"x", True)] if with_hello else []
            reader, writer = await _stream_to(apps[1], *first, _request("i-1"))
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
            assert not env.servers[0].requests

    run(scenario)


def test_a_server_that_the_other_host_does_not_know_gets_nothing():
    """Guards against a host that can be made to connect to any address."""

    async def scenario():
        async with cut_host() as (_, apps, _links):
            hello = apps[0].gateway.hello()
            reader, writer = await _stream_to(apps[1], hello, _request("i-none"))
            failure = await read_message(reader)
            assert failure == msg.IndirectFailure("peer-unknown-server", False, False)
            writer.close()

    run(scenario)
