"""The command that shows how many requests of each account a host admitted."""

import asyncio

from lacewingcross.cli.accounts import accounts, rows_of
from tests.gateway_parts import answers_at_once, fleet, until
from tests.test_quotas_gateway import accounts as stored
from tests.test_quotas_gateway import flood


def test_rows_are_accounts_the_most_refused_first():
    page = (
        "accounts.admitted.a 3\naccounts.refused.b 2\nother.a 9\n"
        "accounts.unpaid.a 1\naccounts.kept.b 0.5\n"
    )
    assert rows_of(page) == [("b", 0, 2, 0, 0.5), ("a", 3, 0, 1, 0)]


def test_a_host_shows_what_it_admitted_and_refused(capsys):
    async def run():
        async with fleet() as made:
            made.configure(accounts=stored(5, 5))
            await made.add_server(answers_at_once)
            app = await made.ready(await made.add_host())
            await until(lambda: app.gateway.quotas.keeper.lent_share("school") == 1.0)
            await flood([app], 80)
            counted = app.gateway.metrics
            await until(lambda: "accounts.kept.school" in counted.gauges)
            ((name, admitted, refused, _, kept),) = rows_of(counted.render())
            assert (name, kept) == ("school", 1.0)
            assert admitted + refused == 80
            assert refused > 0
            port = app.gateway.cfg.metrics_port
            url = f"http://127.0.0.1:{port}/metrics"
            await asyncio.to_thread(accounts, url=url)

    asyncio.run(run())
    assert "school" in capsys.readouterr().out
