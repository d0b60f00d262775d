"""Each attempt gives its connection to the server back, whatever its outcome."""

import pytest

from tests.gateway_parts import ID, answer, answers_at_once, ask, fleet, in_loop, until

REQUESTS = 40


async def unsigned(received, writer):
    head = f"HTTP/1.1 200 OK\r\n{ID}: {received.request_id}\r\n"
    writer.write(f"{head}Content-Length: 2\r\n\r\nok".encode())


async def unsigned_and_large(received, writer):
    head = f"HTTP/1.1 200 OK\r\n{ID}: {received.request_id}\r\n"
    writer.write(f"{head}Content-Length: 600000\r\n\r\n".encode() + b"x" * 300_000)
    return False


async def large_error(received, writer):
    writer.write(answer(received.request_id, b"x" * 600_000, status=500))


async def large_refusal(received, writer):
    extra = b"X-Lacewingcross-Not-Executed: 1\r\n"
    body = b"x" * 600_000
    writer.write(answer(received.request_id, body, status=503, extra=extra))


@pytest.mark.parametrize(
    "behave", [unsigned, unsigned_and_large, large_error, large_refusal]
)
@in_loop
async def test_answers_that_are_not_used_take_no_connections_away(behave):
    # Guards against a host that refuses a service for good after some hundred of them.
    async with fleet() as env:
        env.configure()
        bad = await env.add_server(behave, slots=40)
        await env.add_server(answers_at_once, slots=40)
        app = await env.ready(await env.add_host())
        app.gateway.backends.connection_limit = lambda service: REQUESTS // 4
        for number in range(REQUESTS):
            name = f"r{number}"
            await ask(app, f"/unsafe/{name}", name, method="POST", body=b"x", key=name)
        backends = app.gateway.backends
        kept = sum(len(idle) for idle in backends._idle.values())
        await until(lambda: sum(backends._open_counts.values()) == kept)
        await until(lambda: len(bad.writers) <= kept)
