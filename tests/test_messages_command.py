"""The command that shows the messages that a host sends and receives."""

import asyncio

import pytest

from lacewingcross.cli.messages import messages, rows_of
from lacewingcross.errors import UserError

from .gateway_parts import answers_at_once, fleet, free_port, until


def test_rows_are_kinds_with_their_figures_and_add_up():
    page = (
        "peers.heard.Alive 3\nother 9\npeers.sent-bytes.Alive 120\n"
        "peers.sent.Alive 2\npeers.sent.StorePull 1\npeers.sent-bytes.StorePull 20\n"
    )
    assert rows_of(page) == [
        ("Alive", 2, 120, 3),
        ("StorePull", 1, 20, 0),
        ("all", 3, 140, 3),
    ]


def test_two_hosts_count_what_they_tell_each_other():
    async def run():
        async with fleet() as made:
            made.configure()
            await made.add_server(answers_at_once)
            first = await made.ready(await made.add_host())
            second = await made.ready(await made.add_host(domain="a2"))

            def row(app, kind):
                rows = rows_of(app.gateway.metrics.render())
                return next((row for row in rows if row[0] == kind), (kind, 0, 0, 0))

            await until(lambda: row(first, "Alive")[3] > 0)
            await until(lambda: row(second, "Alive")[3] > 0)
            for app in (first, second):
                _, sent, size, _ = row(app, "Alive")
                assert sent > 0
                assert size > sent

    asyncio.run(run())


@pytest.mark.parametrize(
    ("url", "code"),
    [
        ("10.1.0.34:9464", "bad-address"),
        ("https://10.1.0.34:9464/metrics", "bad-address"),
        (f"http://127.0.0.1:{free_port()}/metrics", "unavailable"),
    ],
    ids=["no scheme", "other scheme", "no listener"],
)
def test_a_page_that_cannot_be_had_is_a_coded_error(url, code):
    with pytest.raises(UserError) as caught:
        messages(url=url)
    assert caught.value.code == code
