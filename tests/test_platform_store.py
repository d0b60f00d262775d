"""The client of the platform's store, against a stand-in of its protocol."""

import asyncio
import time

import pytest

from lacewingcross.core.membership import HostInfo
from lacewingcross.core.replica import Kind
from lacewingcross.core.store_position import START, StorePosition
from lacewingcross.errors import PlatformError
from lacewingcross.platform.objects import decode_configuration, decode_server
from lacewingcross.platform.store import ObjectStore
from lacewingcross.standins.object_store import ObjectStoreStandin
from tests.gateway_parts import Fleet

SINCE = StorePosition(1, 1)
HOST = HostInfo("host-1", "a", "a1", "10.0.0.1:1", "10.0.0.1:2")
SERVER = {
    "service": "s",
    "address": "10.0.0.9:1",
    "zone": "a1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_s": 0,
    "seq": 7,
}


def with_store(check, **options):
    async def run():
        standin = ObjectStoreStandin(time.monotonic, **options)
        port = await standin.start()
        client = ObjectStore(f"127.0.0.1:{port}")
        try:
            async with asyncio.timeout(20):
                await check(standin, client)
        finally:
            client.close()
            await standin.close()

    asyncio.run(run())


def test_all_pages_of_a_listing_are_read():
    async def check(standin, client):
        for index in range(7):
            standin.put("servers", f"i-{index}", SERVER)
        update = await client.read_all(Kind.SERVER)
        assert [doc.name for doc in update.documents] == [f"i-{i}" for i in range(7)]
        assert (update.whole, update.as_of) == (True, StorePosition(1, 7))

    with_store(check, page=3)


def test_a_watch_returns_a_deletion_as_soon_as_it_happens():
    async def check(standin, client):
        standin.put("servers", "i-1", SERVER)
        watching = asyncio.ensure_future(client.watch(Kind.SERVER, SINCE, 5.0))
        await asyncio.sleep(0.05)
        standin.delete("servers", "i-1")
        update = await watching
        assert [(doc.name, doc.spec) for doc in update.documents] == [("i-1", None)]
        assert (update.since, update.as_of) == (SINCE, StorePosition(1, 2))

    with_store(check)


def test_a_watch_without_changes_ends_by_itself():
    async def check(standin, client):
        update = await client.watch(Kind.EVACUATION, START, 0.05)
        assert update.documents == []

    with_store(check)


def test_a_watch_from_before_the_kept_history_fails_as_compacted():
    async def check(standin, client):
        standin.put("servers", "i-1", SERVER)
        standin.compact()
        with pytest.raises(PlatformError) as caught:
            await client.watch(Kind.SERVER, START, 1.0)
        assert caught.value.code == "compacted"

    with_store(check)


def test_only_the_main_configuration_is_read():
    async def check(standin, client):
        standin.put("config", "main", {"version": "r1"})
        standin.put("config", "draft", {"version": "r9"})
        update = await client.read_all(Kind.CONFIG)
        assert [doc.name for doc in update.documents] == ["main"]

    with_store(check)


def test_a_host_registers_again_after_a_crash():
    async def check(standin, client):
        await client.put_host(HOST)
        moved = HostInfo("host-1", "a", "a1", "10.0.0.2:1", "10.0.0.2:2")
        await client.put_host(moved)
        assert (await client.hosts()).hosts == [moved]
        await client.delete_host("host-1")
        await client.delete_host("host-1")
        assert (await client.hosts()).hosts == []

    with_store(check)


def test_a_stale_listing_may_lack_new_hosts_and_a_full_one_does_not():
    # The replicas of the store are seconds behind. The list of hosts is read stale
    # after the first time. A host that is missing there must not be missing from a full
    # listing.
    async def check(standin, client):
        await client.put_host(HOST)
        standin.faults.stale_since = standin.revision
        late = HostInfo("host-2", "a", "a1", "10.0.0.2:1", "10.0.0.2:2")
        await client.put_host(late)
        assert (await client.hosts(stale=True)).hosts == [HOST]
        assert (await client.hosts()).hosts == [HOST, late]

    with_store(check)


@pytest.mark.parametrize(
    ("down", "code"),
    [("busy", "unavailable"), ("many", "too-many-calls"), ("reset", "unavailable")],
)
def test_an_outage_raises_an_error_with_a_code(down, code):
    async def check(standin, client):
        standin.faults.down = down
        with pytest.raises(PlatformError) as caught:
            await client.read_all(Kind.SERVER)
        assert caught.value.code == code

    with_store(check)


def test_a_write_without_a_response_has_an_unknown_outcome():
    # The store carries out the write and its response is lost. If that counted as a
    # failure, the object would be written twice or never be deleted.
    async def check(standin, client):
        standin.faults.lost_writes = True
        with pytest.raises(PlatformError) as caught:
            await client.put_host(HOST)
        assert caught.value.code == "unknown-outcome"
        assert standin.names("entry-hosts") == ["host-1"]

    with_store(check)


def test_a_call_to_a_silent_store_times_out():
    async def check(standin, client):
        standin.faults.down = "silent"
        started = time.monotonic()
        with pytest.raises(PlatformError):
            await client.read_all(Kind.SERVER)
        assert time.monotonic() - started < 5.0

    with_store(check)


def test_a_configuration_is_decoded_into_the_projects_types():
    standin = ObjectStoreStandin(time.monotonic)
    env = Fleet(standin, "")
    env.configure(
        version=12,
        traffic_split=[{"service": "a", "weight": 9}, {"service": "b", "weight": 1}],
    )
    spec = standin._objects["config"]["main"].spec
    config = decode_configuration(spec)
    route = next(route for route in config.routes if route.name == "safe")
    assert config.version == 12
    assert [(part.service, part.weight) for part in route.parts] == [
        ("a", 9.0),
        ("b", 1.0),
    ]
    assert config.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    "spec",
    [None, {}, {"version": "r1"}, {"version": 3, "routes": {}, "services": {}}, []],
)
def test_an_invalid_configuration_raises_an_error_with_a_code(spec):
    with pytest.raises(PlatformError) as caught:
        decode_configuration(spec)
    assert caught.value.code == "bad-object"


BAD_ENTRIES = [
    None,
    {},
    {"service": "s", "slots": "x"},
    7,
    "\ufffd\ufffd",
    {**SERVER, "state": "resting"},
    {**SERVER, "state": None},
    {**SERVER, "service": 5},
    {**SERVER, "address": ["10.0.0.9", 1]},
    {**SERVER, "address": "nowhere"},
    {**SERVER, "zone": ""},
    {**SERVER, "slots": True},
    {**SERVER, "slots": "4"},
    {**SERVER, "slots": 0},
    {**SERVER, "cold_left_s": "0"},
    {**SERVER, "cold_left_s": float("nan")},
    {**SERVER, "born": "1790000000000"},
    {**SERVER, "born": 1.5},
    {key: value for key, value in SERVER.items() if key != "cold_left_s"},
]


@pytest.mark.parametrize("spec", BAD_ENTRIES)
def test_an_invalid_server_entry_raises_an_error_with_a_code(spec):
    with pytest.raises(PlatformError) as caught:
        decode_server("i-1", spec)
    assert caught.value.code == "bad-object"


def test_incarnations_of_a_server_differ_by_their_start_time():
    assert decode_server("i-1", SERVER).born_ms == 0
    assert decode_server("i-1", {**SERVER, "born": 1790000000000}).born_ms > 0
    first, second = ({**SERVER, "born": at} for at in (1, 2))
    incarnations = {decode_server("i-1", spec).incarnation for spec in (first, second)}
    assert len(incarnations) == 2


def test_an_object_without_a_name_does_not_hide_the_others():
    # Another writer stores an entry without metadata, and one with bytes that are not
    # UTF-8. If listings failed on them, hosts that start would not know any server.
    body = (
        b'{"items":[7,{"spec":{}},{"metadata":{"name":"i-1","revision":"x"}},'
        b'{"metadata":{"name":"i-2","revision":4},"spec":{"service":"\xff\xfe"}},'
        b'{"metadata":{"name":"i-3","revision":5},"spec":{"service":"s"}}],'
        b'"has_more":false,"as_of":9}'
    )

    async def answer_all(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def check():
        server = await asyncio.start_server(answer_all, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = ObjectStore(f"127.0.0.1:{port}")
        async with asyncio.timeout(10):
            update = await client.read_all(Kind.SERVER)
        client.close()
        server.close()
        assert [doc.name for doc in update.documents] == ["i-2", "i-3"]

    asyncio.run(check())
