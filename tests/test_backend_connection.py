"""Tests of connections to backend servers: valid and invalid forms of responses."""

import asyncio
import time

import h11
import pytest

from lacewingcross.core.backend_state import ServerEntry
from lacewingcross.gateway.backend_connection import BackendConnection
from lacewingcross.gateway.backends import CONNECTION_LIMIT, Backends
from lacewingcross.http1_client import HttpError
from tests.gateway_parts import ID, ScriptedServer, answer


def request(request_id="r1"):
    return h11.Request(
        method="GET", target="/x", headers=[("Host", "a"), (ID, request_id)]
    )


async def exchange(conn, request_id="r1"):
    conn.send_request(request(request_id), [], end=True)
    head = await conn.read_head(request_id.encode())
    parts = []
    while part := await conn.read_part():
        parts.append(part)
    return head.status, b"".join(parts)


def with_server(behave, check):
    async def run():
        server = await ScriptedServer(behave).start()
        try:
            conn = await BackendConnection.open(server.address, 1.0)
            async with asyncio.timeout(10):
                await check(conn, server)
            conn.close()
        finally:
            await server.close()

    asyncio.run(run())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_framed_answers_leave_the_connection_usable(framing):
    async def behave(received, writer):
        writer.write(answer(received.request_id, b"hello", framing=framing))

    async def check(conn, server):
        for index in range(3):
            assert await exchange(conn, f"r{index}") == (200, b"hello")
            assert conn.prepare_for_reuse()
        assert server.connections == 1

    with_server(behave, check)


def test_a_response_that_ends_with_its_connection_is_complete_and_the_last():
    async def behave(received, writer):
        writer.write(answer(received.request_id, b"hello", framing="close"))
        return False

    async def check(conn, server):
        assert await exchange(conn) == (200, b"hello")
        assert not conn.prepare_for_reuse()

    # The scripted server aborts its connections, so the stream is closed here to end
    # the response cleanly.
    async def closes_cleanly(received, writer):
        await behave(received, writer)
        await writer.drain()
        writer.write_eof()
        await asyncio.sleep(0.1)
        return False

    with_server(closes_cleanly, check)


def test_a_response_without_a_length_that_is_reset_is_not_complete():
    # A server crashes in the middle of a response that ends with its connection. If it
    # were forwarded as complete, a caller would take half a calendar for all of it.
    async def behave(received, writer):
        writer.write(answer(received.request_id, b"half", framing="close"))
        await writer.drain()
        await asyncio.sleep(0.05)
        sock = writer.get_extra_info("socket")
        import socket
        import struct

        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    async def check(conn, server):
        with pytest.raises(HttpError):
            await exchange(conn)

    with_server(behave, check)


def test_a_body_cut_short_is_an_error():
    async def behave(received, writer):
        data = answer(received.request_id, b"0123456789")
        writer.write(data[:-4])
        return False

    async def check(conn, server):
        with pytest.raises(HttpError) as caught:
            await exchange(conn)
        assert caught.value.sent

    with_server(behave, check)


def test_bytes_that_are_no_http_are_an_error():
    async def behave(received, writer):
        writer.write(b"\x00\x01 this is not HTTP\r\n\r\n")

    async def check(conn, server):
        with pytest.raises(HttpError):
            await exchange(conn)

    with_server(behave, check)


def test_a_late_second_response_is_not_used_for_the_next_request():
    # A server sends a response twice. The second copy arrives after the next request
    # was sent on the same connection; its request id shows that it is for an earlier
    # request.
    async def behave(received, writer):
        if received.request_id == "r2":
            writer.write(answer("r1", b"late copy"))
        writer.write(answer(received.request_id, received.request_id.encode()))

    async def check(conn, server):
        assert await exchange(conn, "r1") == (200, b"r1")
        assert conn.prepare_for_reuse()
        assert await exchange(conn, "r2") == (200, b"r2")
        assert conn.prepare_for_reuse()

    with_server(behave, check)


def test_bytes_between_exchanges_end_the_connection():
    async def behave(received, writer):
        writer.write(answer(received.request_id))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(answer(received.request_id))
        await asyncio.sleep(0.2)

    async def check(conn, server):
        await exchange(conn)
        conn.prepare_for_reuse()
        await asyncio.sleep(0.2)
        assert conn.lost
        with pytest.raises(HttpError) as caught:
            conn.send_request(request(), [], end=True)
        assert not caught.value.sent

    with_server(behave, check)


def test_surplus_bytes_with_the_answer_end_the_connection():
    async def behave(received, writer):
        writer.write(answer(received.request_id) + b"surplus")

    async def check(conn, server):
        await exchange(conn)
        assert not conn.prepare_for_reuse()

    with_server(behave, check)


def test_an_answer_before_the_whole_body_ends_the_connection_after_it():
    # A server responds to a long upload early and reads the rest later. It would read
    # another request on the same connection as the rest of the body.
    async def behave(received, writer):
        writer.write(answer(received.request_id, b"enough", status=413))
        await asyncio.sleep(0.2)

    async def check(conn, server):
        head = h11.Request(
            method="POST",
            target="/x",
            headers=[("Host", "a"), (ID, "r1"), ("Content-Length", "100")],
        )
        conn.send_request(head, [b"0123456789"], end=False)
        # The scripted server responds only after the whole body, so the rest is written
        # here without the connection noticing.
        conn.transport.write(b"0" * 90)
        got = await conn.read_head(b"r1")
        assert got.status == 413
        while await conn.read_part():
            pass
        assert not conn.prepare_for_reuse()

    with_server(behave, check)


def test_the_servers_idle_time_is_respected():
    async def behave(received, writer):
        extra = b"Keep-Alive: timeout=10\r\n"
        writer.write(answer(received.request_id, extra=extra))

    async def check(conn, server):
        await exchange(conn)
        assert conn.prepare_for_reuse()
        conn.used_at = 100.0
        assert conn.fresh(105.9, 60.0)
        assert not conn.fresh(106.1, 60.0)
        assert not conn.fresh(103.0, 2.0)

    with_server(behave, check)


def test_connections_to_one_server_stay_within_its_limit():
    async def run():
        server = await ScriptedServer(None).start()
        entry = ServerEntry("i-1", "calendar", server.address, "a1", 4, False, 0.0)
        opened = []
        backends = Backends(time.monotonic, lambda: opened.append(1))
        backends.connection_limit = lambda service: 2
        kept = [await backends.acquire(entry, repeatable=True) for _ in range(2)]
        with pytest.raises(HttpError) as caught:
            await backends.acquire(entry, repeatable=True)
        assert caught.value.reason == CONNECTION_LIMIT
        assert not caught.value.sent
        backends.discard(entry, kept[0])
        backends.discard(entry, await backends.acquire(entry, repeatable=True))
        assert len(opened) == 3
        await server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("sent", "why"), [(b"", "closed"), (b"\x00 not HTTP\r\n\r\n", "not-http")]
)
def test_a_crashed_server_is_told_from_one_that_sends_an_invalid_response(sent, why):
    # A server crashes while it runs a request. If the log called this an invalid
    # response, as from a server that is still alive, engineers could not see the
    # crashes.
    async def behave(received, writer):
        writer.write(sent)
        await writer.drain()
        writer.write_eof()
        await asyncio.sleep(0.05)
        return False

    async def check(conn, server):
        with pytest.raises(HttpError) as caught:
            await exchange(conn)
        assert caught.value.reason == why

    with_server(behave, check)


def test_an_address_where_nothing_listens_is_told_from_a_silent_one():
    async def run():
        server = await ScriptedServer(None).start()
        await server.close()
        with pytest.raises(HttpError) as caught:
            await BackendConnection.open(server.address, 1.0)
        assert (caught.value.reason, caught.value.sent) == ("connect-refused", False)

    asyncio.run(run())
