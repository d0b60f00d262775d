"""The HTTP listener by itself: stalled heads and bodies, connection limits."""

import asyncio
from collections import Counter

from lacewingcross.clock import ManualClock
from lacewingcross.http1_server import HttpServer


class Listener:
    """A listener with a clock that the test controls."""

    def __init__(self, **limits):
        self.clock = ManualClock()
        self.bad = Counter()
        self.server = HttpServer(
            self._handle,
            self.clock.monotonic,
            on_bad_input=lambda reason: self.bad.update([reason]),
            **limits,
        )
        self.port = 0

    async def _handle(self, exchange):
        while await exchange.read():
            pass
        await exchange.respond(200, [], b"ok")

    async def open(self, data=b""):
        if not self.port:
            self.port = await self.server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        await writer.drain()
        return reader, writer


def _run(scenario):
    async def bounded():
        async with asyncio.timeout(20):
            return await scenario()

    return asyncio.run(bounded())


async def _wait_for_connections(listener, count=1):
    while listener.server.connections < count:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)


def test_unfinished_head_is_answered_with_an_error_code():
    """A client that sends half a head must not occupy a connection for ever."""

    async def scenario():
        listener = Listener()
        reader, _ = await listener.open(b"GET / HTTP/1.1\r\nHost: a\r\n")
        await _wait_for_connections(listener)
        # Past the head timeout of 10 s.
        listener.clock.advance(11.0)
        answer = await reader.read()
        await listener.server.close()
        return answer, listener.bad

    answer, bad = _run(scenario)
    assert answer.startswith(b"HTTP/1.1 408")
    assert b"head-timeout" in answer
    assert bad == {"head-timeout": 1}


def test_stalled_body_closes_the_connection():
    async def scenario():
        listener = Listener()
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"
        reader, _ = await listener.open(head)
        await _wait_for_connections(listener)
        # Past the stall timeout of 30 s.
        listener.clock.advance(31.0)
        try:
            answer = await reader.read()
        except ConnectionResetError:
            answer = b""
        await listener.server.close()
        return answer, listener.bad

    answer, bad = _run(scenario)
    assert answer == b""
    assert bad == {"stalled": 1}


def test_connections_above_the_limits_are_refused_with_a_retry_time():
    async def scenario():
        answers = []
        for limits in ({"max_connections": 2}, {"max_connections_each": 2}):
            listener = Listener(**limits)
            kept = [await listener.open() for _ in range(2)]
            await _wait_for_connections(listener, 2)
            reader, _ = await listener.open()
            answers.append(await reader.read())
            for _, writer in kept:
                writer.close()
            while listener.server.connections:
                await asyncio.sleep(0.01)
            reader, writer = await listener.open(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            answers.append(await reader.read(15))
            await listener.server.close()
        return answers

    full, after_full, from_one_client, after_each = _run(scenario)
    for answer, reason in (
        (full, b"too-many-connections"),
        (from_one_client, b"too-many-from"),
    ):
        assert answer.startswith(b"HTTP/1.1 503")
        assert reason in answer
        assert b"retry-after" in answer.lower()
    assert after_full == after_each == b"HTTP/1.1 200 \r\n"
