"""Pipelined requests on one connection of a caller."""

import asyncio

from lacewingcross.checks import split_address
from tests.gateway_parts import answer, fleet, in_loop


def request(path, request_id):
    head = f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
    return f"{head}X-Lacewingcross-Request-Id: {request_id}\r\n\r\n".encode()


async def connect(app):
    """Open a connection to the entry address of a host."""
    return await asyncio.open_connection(*split_address(app.gateway.cfg.entry))


async def answers_first_request_last(received, writer):
    """Answer with the request path; delay the answer to the first request."""
    await asyncio.sleep(0.2 if received.target.endswith("1") else 0.0)
    writer.write(answer(received.request_id, received.target.encode()))
    return True


@in_loop
async def test_answers_come_in_the_order_of_the_requests():
    # Guards against responses in the order in which pipelined requests complete. The
    # caller would take the response to the second request for the first response.
    async with fleet() as made:
        made.configure()
        await made.add_server(answers_first_request_last)
        app = await made.ready(await made.add_host())
        reader, writer = await connect(app)
        writer.write(b"".join(request(f"/safe/{n}", f"r{n}") for n in (1, 2, 3)))
        seen = []
        for _ in range(3):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            seen.append(await reader.readexactly(length))
        writer.close()
        assert seen == [b"/safe/1", b"/safe/2", b"/safe/3"]


@in_loop
async def test_requests_after_a_closing_response_are_not_run():
    # The response of a host that is shutting down closes the connection. The caller
    # then sends the pipelined requests after it again, whatever their method. If the
    # host had run them as well, a request such as a booking would run twice.
    async with fleet() as made:
        made.configure()
        server = await made.add_server(answers_first_request_last)
        app = await made.ready(await made.add_host())
        reader, writer = await connect(app)
        writer.write(request("/safe/1", "r1") + request("/safe/2", "r2"))
        while not server.requests:
            await asyncio.sleep(0.01)
        app.gateway.roster.leaving = True
        received_bytes = await reader.read()
        writer.close()
        assert received_bytes.lower().count(b"connection: close") == 1
        assert received_bytes.endswith(b"/safe/1")
        await asyncio.sleep(0.1)
        assert [got.request_id for got in server.requests] == ["r1"]


async def never_answers(received, writer):
    """Keep the request running for longer than any test waits."""
    await asyncio.sleep(20)
    return True


@in_loop
async def test_disconnect_of_a_caller_with_pipelined_requests_is_noticed():
    # A caller pipelines two requests and then closes the connection. If reading were
    # paused while the second request waits, the close would not be noticed and the
    # server would run the first request to its end.
    async with fleet() as made:
        made.configure()
        server = await made.add_server(never_answers)
        app = await made.ready(await made.add_host())
        _, writer = await connect(app)
        writer.write(request("/safe/1", "r1") + request("/safe/2", "r2"))
        while not server.requests:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(0.5):
            while not server.cut:
                await asyncio.sleep(0.01)
        assert [got.request_id for got in server.requests] == ["r1"]
