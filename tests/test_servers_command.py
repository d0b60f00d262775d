"""The command that shows what backend servers request of a host in their answers."""

import asyncio

from lacewingcross.cli.servers import rows_of, servers
from tests.gateway_parts import ask, fleet, until
from tests.test_rate_limits_gateway import naming


def test_rows_are_servers_that_ask_for_something():
    page = "servers.limit.i-1 6\nservers.limit-here.i-1 0.5\nservers.known 9\n"
    assert rows_of(page) == [("i-1", 6, 0.5, 0, 0)]


def test_a_host_shows_the_limit_that_a_server_names(capsys):
    async def run():
        async with fleet() as made:
            made.configure()
            await made.add_server(naming(6.0, []))
            app = await made.ready(await made.add_host())
            await ask(app, "/safe/a")
            await until(lambda: "servers.limit.i-1" in app.gateway.metrics.gauges)
            url = f"http://127.0.0.1:{app.gateway.cfg.metrics_port}/metrics"
            await asyncio.to_thread(servers, url=url)

    asyncio.run(run())
    assert "i-1" in capsys.readouterr().out
