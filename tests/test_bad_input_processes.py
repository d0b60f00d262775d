"""Invalid input on every interface gives an error code; the process keeps running."""

import asyncio
import json
import struct

import msgpack
import pytest

from lacewingcross import wire
from lacewingcross.caller import ANSWERED, Caller
from lacewingcross.core import messages as msg
from lacewingcross.errors import PlatformError, ResourceError
from lacewingcross.operations import read_documents
from lacewingcross.settings import load_host

from .processes import Processes, small_layout, until

BAD_HTTP = [
    (b"NONSENSE\r\n\r\n", b"400"),
    (b"GET / HTTP/1.1\r\nHost: a\r\nBad Header\r\n\r\n", b"400"),
    (b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\n", b"431"),
    (
        b"POST /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"400",
    ),
    (b"GET /v1/lookup HTTP/1.1\r\nHost: a\r\n\r\n", b"400"),
    (b"GET /v1/lookup?service=booking&address=x HTTP/1.1\r\nHost: a\r\n\r\n", b"400"),
    (b"DELETE /v1/lookup?service=booking HTTP/1.1\r\nHost: a\r\n\r\n", b"405"),
    (b"GET /v1/other HTTP/1.1\r\nHost: a\r\n\r\n", b"404"),
    (b"GET /nobody/x HTTP/1.1\r\nHost: a\r\n\r\n", b"404"),
    (b"GET /booking/x HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: soon\r\n\r\n", b"400"),
    (b"GET /booking/x HTTP/1.1\r\nHost: a\r\nX-Repeatable: maybe\r\n\r\n", b"400"),
    (b"GET /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", b"400"),
    (
        b"PUT /booking/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999\r\n\r\n",
        b"413",
    ),
]


def _address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


async def _raw(address, data):
    reader, writer = await asyncio.open_connection(*_address(address))
    writer.write(data)
    async with asyncio.timeout(10):
        answer = await reader.read(400)
    writer.close()
    return answer


def _frames():
    hello = wire.encode(
        msg.Hello("evil", 1, wire.PROTOCOL, "r", "d", "127.0.0.1:1", "127.0.0.1:2")
    )
    body = msgpack.packb([5, "booking"])
    return [
        b"\xff" * 64,
        struct.pack(">I", 1 << 30),
        struct.pack(">I", (1 << 31) + 4) + b"abcd",
        struct.pack(">I", 5) + b"\xc1" * 5,
        struct.pack(">I", len(body)) + body,
        hello + struct.pack(">I", 3) + b"abc",
        wire.encode(msg.Hello("", 1, wire.PROTOCOL, "r", "d", "x", "y")),
        wire.encode(msg.Hello("e", 1, 99, "r", "d", "127.0.0.1:1", "127.0.0.1:2")),
        wire.encode(msg.Heartbeat("live", 1, 0, [], [])),
    ]


async def _bad_input():
    async with Processes(small_layout()) as procs:
        host = procs.layout.hosts[0]
        statuses = []
        for data, _ in BAD_HTTP:
            answer = await _raw(host.entry, data)
            statuses.append(answer.split(b" ")[1])
        for frame in _frames():
            reader, writer = await asyncio.open_connection(*_address(host.peer))
            writer.write(frame)
            async with asyncio.timeout(10):
                assert await reader.read() == b""
            writer.close()
        assert procs.alive(host.host_id)
        caller = Caller([host.entry], caller_id="c", address="10.1.0.1")
        answer = await caller.request("GET", "/booking/x", service="booking")
        caller.close()
        return statuses, answer, procs.log_of(host.host_id)


def test_bad_http_and_bad_frames_get_a_code_and_the_host_keeps_running():
    """Malformed and hostile input on the ports for callers and for other hosts.

    Guards against one broken client or scanner that stops the host for all callers.
    """
    statuses, answer, log = asyncio.run(_bad_input())
    assert statuses == [status for _, status in BAD_HTTP]
    assert answer.outcome == ANSWERED
    assert "Traceback" not in log
    for code in ("frame-too-large", "bad-frame", "bad-hello", "bad-protocol"):
        assert f"code={code}" in log


async def _bad_objects():
    async with Processes(small_layout()) as procs:
        platform = procs.operator.platform
        with pytest.raises(PlatformError) as too_large:
            await platform.create("Drain/big", {"server": "x" * 1_100_000})
        await platform.create("Drain/odd", {"nonsense": True})
        await platform.create("BackendPool/odd", [1, 2])
        host = procs.layout.hosts[0]

        async def rejected():
            status = await procs.fetch(host.operators, "/status")
            return len(status["rejected"]) == 2

        await until(rejected)
        caller = Caller(procs.entries(), caller_id="c", address="10.1.0.1")
        answer = await caller.request("GET", "/booking/x", service="booking")
        caller.close()
        return too_large.value, answer


def test_invalid_objects_leave_the_other_objects_in_force():
    """Another program stores invalid objects of Lacewingcross kinds.

    Guards against one invalid object that keeps the valid ones from being applied.
    """
    too_large, answer = asyncio.run(_bad_objects())
    assert too_large.code == "too-large"
    assert answer.outcome == ANSWERED


def _resource(kind, name, spec):
    return read_documents({"kind": kind, "name": name, "spec": spec}, "file.json")


@pytest.mark.parametrize(
    ("kind", "name", "spec", "expected"),
    [
        ("Nothing", "a", {}, "kind"),
        ("ShiftCap", "a b", {}, "name"),
        ("ShiftCap", "v1", {"fraction": 1, "window_s": 1}, "reserved"),
        ("ShiftCap", "a", {"fraction": 2, "window_s": 1}, "fraction"),
        ("ShiftCap", "a", {"fraction": True, "window_s": 1}, "fraction"),
        ("ShiftCap", "a", {"fraction": 0.1, "window_s": 1, "colour": 1}, "colour"),
        ("ShiftCap", "a", {"fraction": float("nan"), "window_s": 1}, "fraction"),
        ("Drain", "a", {}, "exactly one"),
        ("Drain", "a", {"server": "s", "host": "h"}, "exactly one"),
        ("Drain", "a", [], "an object"),
        ("SteeringPolicy", "a", {"groups": []}, "groups"),
        ("SteeringPolicy", "a", {"groups": [{"name": "g", "weights": {}}]}, "weights"),
        (
            "SteeringPolicy",
            "a",
            {"groups": [{"name": "g", "weights": {"r": 1}, "blocks": ["10.0.0.1/8"]}]},
            "networks",
        ),
        ("BackendPool", "a", {"servers": [{"id": "s"}]}, "address"),
        ("BackendPool", "a", {"servers": {}}, "list"),
    ],
)
def test_resource_errors_name_the_place_and_what_was_expected(
    kind, name, spec, expected
):
    with pytest.raises(ResourceError) as caught:
        _resource(kind, name, spec)
    assert "file.json[0]" in caught.value.message
    assert expected in caught.value.message


def test_settings_errors_name_file_field_and_expectation(tmp_path):
    path = tmp_path / "host.json"
    for data, expected in [
        ("{", "expected JSON"),
        (json.dumps([]), "an object"),
        (json.dumps({"host_id": "h"}), "region"),
        (json.dumps({"host_id": 7}), "host_id"),
    ]:
        path.write_text(data)
        with pytest.raises(Exception) as caught:
            load_host(str(path))
        assert str(path) in caught.value.message
        assert expected in caught.value.message
