"""What callers get when a fault of the host itself ends an attempt or a request."""

import pytest

from lacewingcross.gateway import attempt_series, request
from lacewingcross.gateway.backend_connection import BackendConnection
from tests.gateway_parts import answers_at_once, ask, fleet, in_loop, until

ODD_ADDRESSES = ["\ufffd\ufffd\ufffd:8080", "127.0.0.1:99999", "name.example:80"]


async def statuses_of(app, numbers):
    """Return the statuses of bookings with these keys, one after the other."""
    statuses = set()
    for number in numbers:
        name = f"r{number}"
        got = await ask(
            app, f"/unsafe/{name}", name, method="POST", body=b"x", key=name
        )
        statuses.add(got.status)
    return statuses


@in_loop
async def test_an_entry_with_an_unreadable_address_costs_no_request_its_answer():
    # Guards against hosts that take such an entry for an idle server and drop each
    # connection whose request they place there.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        for index, address in enumerate(ODD_ADDRESSES):
            env.register(f"i-odd-{index}", address)
        app = await env.ready(await env.add_host())
        await until(lambda: "i-1" in app.gateway.steering.placement.known.servers)
        assert await statuses_of(app, range(20)) == {200}


@in_loop
async def test_a_fault_while_connecting_is_no_closed_connection(monkeypatch):
    # Guards against an exception of connecting that ends the caller's connection, and
    # that the health of the server learns nothing of.
    opened = BackendConnection.open

    async def fails_at_first(address, timeout_s):
        if address == env.servers[0].address:
            raise UnicodeError("label empty or too long")
        return await opened(address, timeout_s)

    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        app.gateway.backends.connect = fails_at_first
        assert await statuses_of(app, range(20)) == {200}
        assert app.gateway.metrics.counters["requests.faults"] > 0
        choices = app.gateway.metrics.counters["retries.internal-error"]
        assert await statuses_of(app, range(20, 40)) == {200}
        later = app.gateway.metrics.counters["retries.internal-error"] - choices
        assert later < 5


@pytest.mark.parametrize("step", ["read_frame", "check_request", "AttemptSeries"])
@in_loop
async def test_a_fault_before_any_server_is_reached_is_refused_as_not_run(
    monkeypatch, step
):
    # Guards against a caller that may not repeat its booking though it has not run.
    def fails(*_args):
        raise RuntimeError("a fault")

    monkeypatch.setattr(request, step, fails)
    async with fleet() as env:
        env.configure()
        server = await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        got = await ask(app, "/unsafe/a", method="POST", body=b"x")
        assert got.status == 503
        assert b"internal-error" in got.body
        assert server.requests == []


@in_loop
async def test_a_fault_after_the_first_byte_is_not_called_not_run(monkeypatch):
    # Guards against a promise that a booking has not run, though it has.
    def fails(*_args):
        raise RuntimeError("a fault")

    monkeypatch.setattr(attempt_series, "note_head", fails)
    async with fleet() as env:
        env.configure()
        server = await env.add_server(answers_at_once)
        app = await env.ready(await env.add_host())
        got = await ask(app, "/unsafe/a", method="POST", body=b"x")
        assert got.status == 502
        assert len(server.requests) == 1
