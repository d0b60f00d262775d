"""The HTTP listener alone: stalled heads and bodies, connection limits."""

import asyncio
from collections import Counter

from lacewingcross.clock import ManualClock
from lacewingcross.http1_server import HttpServer


class Listener:
    """A listener on a clock that the test moves."""

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


def _run(work):
    async def bounded():
        async with asyncio.timeout(20):
            return await work()

    return asyncio.run(bounded())


async def _arrived(listener, count=1):
    while listener.server.connections < count:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)


def test_head_that_never_ends_is_answered_with_a_code():
    """A client sends half a head and stops; it must not hold a connection for ever."""

    async def work():
        listener = Listener()
        reader, _ = await listener.open(b"GET / HTTP/1.1\r\nHost: a\r\n")
        await _arrived(listener)
        listener.clock.advance(11.0)
        answer = await reader.read()
        await listener.server.close()
        return answer, listener.bad

    answer, bad = _run(work)
    assert answer.startswith(b"HTTP/1.1 408")
    assert b"head-timeout" in answer
    assert bad == {"head-timeout": 1}


def test_body_that_stalls_ends_its_connection():
    async def work():
        listener = Listener()
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"
        reader, _ = await listener.open(head)
        await _arrived(listener)
        listener.clock.advance(31.0)
        try:
            answer = await reader.read()
        except ConnectionResetError:
            answer = b""
        await listener.server.close()
        return answer, listener.bad

    answer, bad = _run(work)
    assert answer == b""
    assert bad == {"stalled": 1}


def test_connections_above_the_limits_are_refused_with_when_to_come_back():
    async def work():
        answers = []
        for limits in ({"max_connections": 2}, {"max_connections_each": 2}):
            listener = Listener(**limits)
            kept = [await listener.open() for _ in range(2)]
            await _arrived(listener, 2)
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

    full, after, each, again = _run(work)
    for answer, reason in ((full, b"too-many-connections"), (each, b"too-many-from")):
        assert answer.startswith(b"HTTP/1.1 503")
        assert reason in answer
        assert b"retry-after" in answer.lower()
    assert after == again == b"HTTP/1.1 200 \r\n"
