"""Large and slow bodies are streamed with backpressure and bounded memory."""

import asyncio
import os
from pathlib import Path

from lacewingcross.caller import ANSWERED, Caller

from .processes import Processes, small_layout

PART = b"v" * 100_000
PARTS = 2_000
# Limit on the growth of each process's memory during the upload.
MAX_GROWTH_BYTES = 8_000_000


def _rss(pid):
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def _video():
    for _ in range(PARTS):
        yield PART


async def _upload():
    async with Processes(small_layout()) as procs:
        caller = Caller(procs.entries(), caller_id="yard", address="10.1.0.1")
        await caller.request("GET", "/booking/x", service="booking")
        pids = {name: proc.pid for name, proc in procs._running.items()}
        before = {name: _rss(pid) for name, pid in pids.items()}
        peak = dict(before)
        done = asyncio.Event()

        async def watch():
            while not done.is_set():
                for name, pid in pids.items():
                    peak[name] = max(peak[name], _rss(pid))
                await asyncio.sleep(0.05)

        watcher = asyncio.create_task(watch())
        answer = await caller.request(
            "PUT",
            "/booking/video",
            service="booking",
            body=_video(),
            deadline_s=100.0,
        )
        done.set()
        await watcher
        caller.close()
        return answer, {name: peak[name] - before[name] for name in pids}


def test_large_upload_does_not_grow_any_process():
    """A caller uploads 200 MB; a host that buffered it all could run out of memory."""
    answer, growth = asyncio.run(_upload())
    assert answer.outcome == ANSWERED
    assert f'"body_bytes": {len(PART) * PARTS}'.encode() in answer.body
    assert all(size <= MAX_GROWTH_BYTES for size in growth.values()), growth


async def _refused_upload():
    async with Processes(small_layout()) as procs:
        host, _, port = procs.entries()[0].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        size = 20_000_000
        head = f"PUT /nobody/x HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
        writer.write(head.encode())
        for _ in range(size // len(PART)):
            writer.write(PART)
            await writer.drain()
        answer = await reader.read(200)
        target = b"/v1/lookup?service=booking&caller=c"
        writer.write(b"GET " + target + b" HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"HTTP/1.1 ")
        second_status = await reader.read(3)
        writer.close()
        return answer, second_status


def test_refusal_reaches_a_caller_that_is_still_sending():
    """A request is refused early while the caller sends its whole body before it reads.

    Guards against a reset connection: the caller would see an unknown outcome in place
    of the proof that the request did not run.
    """
    answer, second_status = asyncio.run(_refused_upload())
    assert answer.startswith(b"HTTP/1.1 404")
    assert second_status == b"200"


async def _expecting():
    async with Processes(small_layout()) as procs:
        host, _, port = procs.entries()[0].rpartition(":")
        answers = []
        for service in ("nobody", "booking"):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"PUT /{service}/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                "X-Client-Address: 10.1.0.1\r\nExpect: 100-continue\r\n\r\n"
            )
            writer.write(head.encode())
            first = await reader.readuntil(b"\r\n\r\n")
            answers.append(first.split(b" ")[1])
            if answers[-1] == b"100":
                writer.write(b"hello")
                answers.append((await reader.readuntil(b"\r\n")).split(b" ")[1])
            writer.close()
        return answers


def test_100_continue_is_sent_only_when_the_body_is_read():
    assert asyncio.run(_expecting()) == [b"404", b"100", b"200"]


async def _stalled():
    async with Processes(small_layout()) as procs:
        address = procs.entries()[0]
        host, _, port = address.rpartition(":")
        writers = []
        for num in range(30):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n"
                b"X-Client-Address: 10.1.0.1\r\nX-Caller-Id: s%d\r\n\r\nabc" % num
            )
            writers.append(writer)
        await asyncio.sleep(0.5)
        caller = Caller([address], caller_id="c", address="10.1.0.1")
        answer = await caller.request("GET", "/booking/x", service="booking")
        caller.close()
        ledger = await procs.ledgers()
        for writer in writers:
            writer.close()
        return answer, ledger


def test_stalled_senders_hold_no_slots():
    """Thirty callers each send three of a hundred bytes and stop.

    Guards against a service whose slots are all occupied by stalled requests.
    """
    answer, ledger = asyncio.run(_stalled())
    assert answer.outcome == ANSWERED
    assert len(ledger) == 1
