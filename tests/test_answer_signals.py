"""Signals of servers in the heads of their responses."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingcross.core import messages as msg
from lacewingcross.core.server_signals import NO_SIGNALS
from lacewingcross.platform.answer_signals import read_signals
from lacewingcross.wire import decode, encode
from tests.gateway_parts import answer, ask, fleet, in_loop


@pytest.mark.parametrize(("text", "rate"), [(b"7.6", 7.6), (b"0", 0.0), (b" 12 ", 12)])
def test_a_limit_is_a_decimal_number(text, rate):
    assert read_signals(200, [(b"server-limit", text)]).rate == rate


@pytest.mark.parametrize(
    "text", [b"", b"-1", b"nan", b"inf", b"1e9", b"7,6", b"9" * 99]
)
def test_an_unreadable_limit_is_reported_and_ignored(text):
    signals = read_signals(200, [(b"server-limit", text)])
    assert (signals.rate, signals.unreadable) == (None, ("limit",))


@pytest.mark.parametrize(("text", "leaving"), [(b"1", True), (b"0", False)])
def test_a_server_announces_that_it_is_leaving(text, leaving):
    assert read_signals(200, [(b"server-leaving", text)]).leaving is leaving


@pytest.mark.parametrize(("status", "rest_s"), [(503, 3.5), (429, 3.5), (200, 0.0)])
def test_a_server_that_refuses_requests_may_request_a_backoff(status, rest_s):
    assert read_signals(status, [(b"retry-after", b"3.5")]).rest_s == rest_s


def test_a_backoff_may_end_at_a_date_by_the_servers_own_clock():
    headers = [
        (b"retry-after", b"Fri, 31 Dec 1999 23:59:59 GMT"),
        (b"date", b"Fri, 31 Dec 1999 23:59:55 GMT"),
    ]
    assert read_signals(503, headers).rest_s == 4.0
    assert read_signals(503, headers[:1]).unreadable == ("rest",)


@pytest.mark.parametrize("text", [b"-3", b"inf", b"soon", b""])
def test_an_unreadable_backoff_is_reported_and_ignored(text):
    signals = read_signals(503, [(b"retry-after", text)])
    assert (signals.rest_s, signals.unreadable) == (0.0, ("rest",))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [b"server-limit", b"server-leaving", b"retry-after", b"date"]
            ),
            st.binary(),
        )
    )
)
def test_any_head_can_be_read(headers):
    read_signals(503, headers)


def test_other_hosts_can_read_the_largest_limit_that_a_server_may_announce():
    for digits in range(1, 25):
        rate = read_signals(200, [(b"server-limit", b"9" * digits)]).rate
        if rate is not None:
            message = msg.ServerLimits([("i-1", 0, rate, 0.0)])
            assert decode(encode(message)[4:]) == message


def test_a_head_without_signals_gives_no_signals():
    assert read_signals(200, [(b"content-length", b"2")]) is NO_SIGNALS


def rate_of(app):
    """Return the rate limit that a host has recorded for any server, or None."""
    rates = app.gateway.steering.placement.gate.rates
    return next((limit.rate for _, limit in rates.in_force()), None)


@in_loop
async def test_signals_are_read_from_responses_of_every_status():
    for status in (200, 404, 500, 503):
        async with fleet() as env:
            env.configure()

            async def announces_limit(received, writer, status=status):
                extra = b"Server-Limit: 3.5\r\n"
                writer.write(answer(received.request_id, status=status, extra=extra))

            await env.add_server(announces_limit)
            app = await env.ready(await env.add_host())
            await ask(app, "/safe/a")
            assert rate_of(app) == 3.5


@in_loop
async def test_signals_of_another_process_at_the_same_address_are_ignored():
    async def misdirected(received, writer):
        extra = b"Server-Limit: 3.5\r\n"
        writer.write(answer(received.request_id, status=421, extra=extra))

    async with fleet() as env:
        env.configure()
        await env.add_server(misdirected)
        app = await env.ready(await env.add_host())
        await ask(app, "/safe/a")
        assert rate_of(app) is None
