"""Drains, draining signals and a host's shutdown, with real processes."""

import asyncio
import signal

import pytest

from lacewingcross.caller import ANSWERED, Caller
from lacewingcross.operations import Document

from .processes import Processes, small_layout, until

# Time for requests that were granted a slot before the drain to arrive, in seconds.
SETTLE_S = 0.5


async def _steady(procs, stop, answers, caller_index):
    caller = Caller(procs.entries(), caller_id=f"c{caller_index}", address="10.1.0.1")
    while not stop.is_set():
        answers.append(await caller.request("GET", "/booking/x", service="booking"))
        await asyncio.sleep(0.01)
    caller.close()


async def _leaving_seen(procs, server):
    """Return whether the slot keeper counts the server as leaving."""
    for cfg in procs.layout.hosts:
        status = await procs.fetch(cfg.operators, "/status")
        for keeper in status["keepers"] if status else []:
            if keeper["servers"].get(server, {}).get("leaving"):
                return True
    return False


async def _read_first_ledger(procs):
    """Return the size of the first backend server's ledger, and the ledger."""
    ledger = await procs.fetch(procs.layout.backends[0].listen, "/control/ledger")
    return len(ledger["entries"]), ledger


async def _under_load(procs, action):
    """Run `action` under load.

    Returns
    -------
    tuple
        All answers, the number of requests in the server's ledger soon after the server
        is counted as leaving, that number some time later, and the ledger at that later
        time.
    """
    stop = asyncio.Event()
    answers = []
    tasks = [
        asyncio.create_task(_steady(procs, stop, answers, caller_index))
        for caller_index in range(6)
    ]
    await until(lambda: len(answers) > 50)
    await action()
    server = procs.layout.backends[0].server_id
    await until(lambda: _leaving_seen(procs, server))
    # Requests with a recent grant may still arrive at the server. After `SETTLE_S`, no
    # request may start there.
    await asyncio.sleep(SETTLE_S)
    settled, _ = await _read_first_ledger(procs)
    before = len(answers)
    await until(lambda: len(answers) > before + 100)
    stop.set()
    await asyncio.gather(*tasks)
    later, ledger = await _read_first_ledger(procs)
    return answers, settled, later, ledger


async def _drain_under_load(trigger):
    async with Processes(small_layout()) as procs:
        server = procs.layout.backends[0].server_id

        async def by_operator():
            await procs.operator.apply(Document("Drain", "d", {"server": server}))

        async def by_signal():
            await procs.backend(server, draining=True)

        async def by_list():
            address = procs.layout.platform.listen
            data = {"servers": [server]}
            await procs.fetch(address, "/control/leaving-servers", data)

        triggers = {"operator": by_operator, "signal": by_signal, "list": by_list}
        return await _under_load(procs, triggers[trigger])


def _check(result):
    answers, settled, later, ledger = result
    assert later == settled
    assert ledger["busy"] == 0
    assert all(item["state"] == "done" for item in ledger["entries"])
    assert all(answer.outcome == ANSWERED for answer in answers)


def test_drained_server_gets_no_new_work_by_operator():
    """An operator drains a backend server under load.

    Guards against requests that are cut when the server stops. Once the keeper counts
    the server as leaving, no request may start there, and the requests that ran there
    must have ended completely.
    """
    _check(asyncio.run(_drain_under_load("operator")))


def test_drained_server_gets_no_new_work_by_its_own_signal():
    """A backend server reports in its health answer that it is draining."""
    _check(asyncio.run(_drain_under_load("signal")))


def test_drained_server_gets_no_new_work_by_the_platform_list():
    """The platform's host list, which lags, names a backend server as leaving."""
    _check(asyncio.run(_drain_under_load("list")))


async def _drain_while(disturb):
    async with Processes(small_layout()) as procs:
        server = procs.layout.backends[0].server_id

        async def drain():
            await procs.operator.apply(Document("Drain", "d", {"server": server}))
            await until(lambda: _leaving_seen(procs, server))
            await disturb(procs)

        return await _under_load(procs, drain)


async def _kill_keeper(procs):
    for cfg in procs.layout.hosts:
        status = await procs.fetch(cfg.operators, "/status")
        if any(keeper["region"] == "north" for keeper in status["keepers"]):
            procs.kill(cfg.host_id)
            procs.spawn(cfg.host_id, ["host"], cfg)
            return


async def _platform_goes(procs):
    await procs.faults(outage=True)


def test_drain_holds_when_the_slot_keeper_dies():
    """A backend server drains; then the host that keeps its region's slots crashes.

    Guards against a successor that sends new requests to the leaving server, which
    are cut when the server stops.
    """
    answers, settled, later, ledger = asyncio.run(_drain_while(_kill_keeper))
    assert later == settled
    assert ledger["busy"] == 0


def test_drain_holds_through_a_platform_outage():
    """A drain is accepted; then the platform fails.

    Guards against hosts that forget the drain while they cannot read the platform.
    """
    _check(asyncio.run(_drain_while(_platform_goes)))


async def _upload_through_shutdown(disturb):
    async with Processes(small_layout()) as procs:
        caller = Caller(procs.entries(), caller_id="yard", address="10.1.0.1")
        address = (await caller.lookup("booking"))[0]
        host = next(c for c in procs.layout.hosts if c.entry == address)
        sent = 0

        async def video():
            nonlocal sent
            for _ in range(60):
                sent += 50_000
                yield b"v" * 50_000
                await asyncio.sleep(0.1)

        upload = asyncio.create_task(
            caller.request(
                "PUT",
                "/booking/video",
                service="booking",
                body=video(),
                deadline_s=60.0,
            )
        )
        await until(lambda: sent > 200_000)
        await disturb(procs)
        procs.signal(host.host_id, signal.SIGTERM)
        others = [cfg for cfg in procs.layout.hosts if cfg is not host]

        async def left_lookups():
            for cfg in others:
                status = await procs.fetch(cfg.operators, "/status")
                if status and status["hosts"][host.host_id] == "live":
                    return False
            return True

        await until(left_lookups)
        during = sent
        answer = await upload
        status = await procs.wait_exit(host.host_id)
        caller.close()
        return during, sent, answer, status


async def _undisturbed(_procs):
    pass


async def _kill_another_host(procs):
    procs.kill("host-2")


@pytest.mark.parametrize(
    "disturb",
    [_undisturbed, _platform_goes, _kill_another_host],
    ids=lambda function: function.__name__.strip("_"),
)
def test_sigterm_cuts_no_upload_and_leaves_lookups_first(disturb):
    """A caller uploads a video through a host that gets SIGTERM.

    Guards against an upload that is cut by the shutdown. The host must leave the
    look-up answers while the upload goes on, and then exit with status 0; also while
    the platform is down, and when another host has just crashed.
    """
    during, sent, answer, status = asyncio.run(_upload_through_shutdown(disturb))
    assert during < sent
    assert answer.outcome == ANSWERED
    assert b'"body_bytes": 3000000' in answer.body
    assert status == 0
