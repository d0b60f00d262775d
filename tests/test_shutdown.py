"""Which requests a host that shuts down still takes, and how they end."""

import asyncio
import math

from hypothesis import given
from hypothesis import strategies as st

from lacewingcross.core.shutdown import KILL_MARGIN_S, USUAL_TIME_COUNTS_S, Shutdown
from lacewingcross.http1_client import HttpError
from tests.gateway_parts import answer, ask, fleet, in_loop, until

SECONDS = st.floats(0.0, 20.0)


@given(SECONDS, SECONDS, SECONDS, st.floats(KILL_MARGIN_S, 20.0))
def test_what_is_taken_late_is_answered_before_the_kill(now, left_s, usual_s, grace_s):
    # Guards against a request that is taken when its work can outlast the process.
    shutdown = Shutdown.begin(0.0, grace_s)
    if not shutdown.allows(now, now + left_s, usual_s):
        return
    ends_at = now + left_s if now > USUAL_TIME_COUNTS_S else now + usual_s
    assert min(ends_at, now + left_s) <= shutdown.end_at


def test_a_request_of_unknown_work_is_taken_by_its_deadline_only():
    shutdown = Shutdown.begin(10.0, 10.0)
    assert shutdown.end_at == 10.0 + 10.0 - KILL_MARGIN_S
    assert shutdown.allows(11.0, 19.7, math.inf)
    assert not shutdown.allows(11.0, 19.8, math.inf)


async def book(app, name, remaining_ms):
    """Return the status of one booking, 0 if it was cut."""
    try:
        got = await ask(
            app, "/unsafe/a", name, method="POST", body=b"x", remaining_ms=remaining_ms
        )
    except HttpError:
        return 0
    return got.status


@in_loop
async def test_a_planned_stop_cuts_no_booking_that_the_leaving_host_accepted():
    # Guards against a leaving host that accepts a booking whose work outlasts the
    # process: the booking runs, and its caller gets no answer.
    async def works_long(received, writer):
        await asyncio.sleep(4.0)
        writer.write(answer(received.request_id))

    async with fleet() as env:
        env.configure(timeout_s=9.0)
        server = await env.add_server(works_long, slots=20)
        app = await env.ready(await env.add_host())
        env.stops[0].set()
        await until(lambda: app.gateway.roster.leaving)
        books = []
        for number in range(15):
            books.append(
                asyncio.ensure_future(book(app, f"b{number}", remaining_ms=9000))
            )
            await asyncio.sleep(0.1)
        statuses = await asyncio.gather(*books)
        ran = {received.request_id for received in server.requests}
        assert 0 not in statuses
        refused = {f"b{n}" for n, status in enumerate(statuses) if status == 503}
        assert not refused & ran


@in_loop
async def test_a_leaving_host_takes_what_it_can_end():
    # Guards against a leaving host that refuses callers without need.
    async def works_briefly(received, writer):
        await asyncio.sleep(0.1)
        writer.write(answer(received.request_id))

    async with fleet() as env:
        env.configure(timeout_s=9.0)
        await env.add_server(works_briefly, slots=20)
        app = await env.ready(await env.add_host())
        for number in range(6):
            assert await book(app, f"a{number}", remaining_ms=9000) == 200
        env.stops[0].set()
        await until(lambda: app.gateway.roster.leaving)
        await asyncio.sleep(1.0)
        assert await book(app, "usual", remaining_ms=9000) == 200
        assert await book(app, "by-deadline", remaining_ms=2000) == 200
