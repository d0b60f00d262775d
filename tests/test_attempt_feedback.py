"""What a host assumes about servers after attempts that no server has answered."""

from .gateway_parts import answer, answers_at_once, ask, fleet, in_loop, until


async def belongs_to_another(received, writer):
    """Answer like a server that now has the address of the one that was asked."""
    writer.write(answer(received.request_id, status=421))


@in_loop
async def test_a_server_whose_address_another_one_has_is_asked_once():
    # Guards against callers who are refused in turn at an address that was given to
    # another service, while the entry of the server that had it is still stored.
    async with fleet() as env:
        env.configure()
        for behave in (belongs_to_another, answers_at_once):
            await env.add_server(behave)
        (app,) = await env.ready_hosts("a1", first_start=True)
        known = app.gateway.steering.placement.known.servers
        await until(lambda: len(known) == 2)
        for key in range(20):
            got = await ask(app, "/safe/a", f"r{key}", key=str(key))
            assert got.status == 200
        assert len(env.servers[0].requests) == 1
        assert app.gateway.metrics.counters["servers.misdirected"] == 1
