"""Entries of other writers: what one of them holds never changes what others say."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingcross.checks import is_address
from lacewingcross.core.placement.placement_types import Choice, PlacementRequest
from lacewingcross.core.replica import Kind
from lacewingcross.core.store_position import START, StorePosition
from lacewingcross.errors import PlatformError, UnreadableError
from lacewingcross.gateway.store_messages import changes_message, update_in
from lacewingcross.http1_client import Response
from lacewingcross.platform.store import ObjectStore
from lacewingcross.platform.stored_items import read_item, read_page
from lacewingcross.wire import encode, read_message

from .gateway_parts import Fleet
from .raw_objects import DEEP, changes, item, odd_configuration, odd_object, page
from .test_steering import ENTRY, make_steering

HOST = {
    "region": "a",
    "failure_domain": "a1",
    "entry": "10.0.0.1:1",
    "peer": "10.0.0.1:2",
    "cores": 1.0,
}
REQUEST = PlacementRequest("calendar", "", frozenset(), False)


class CannedHttp:
    """Answers each call with the next body."""

    def __init__(self, *bodies):
        self._bodies = list(bodies)

    async def request(self, *_args):
        return Response(200, [], self._bodies.pop(0))

    def close(self):
        pass


class OneObjectStore:
    """Keeps the spec of the object that was put last."""

    def __init__(self):
        self.spec = None

    def put(self, _kind, _name, spec):
        self.spec = spec


def configuration():
    """Return the spec of the configuration that the fleet of the tests has."""
    store = OneObjectStore()
    Fleet(store, "").configure()
    return store.spec


SPECS = {
    Kind.SERVER: ENTRY,
    Kind.EVACUATION: {},
    Kind.CONFIG: configuration(),
    Kind.QUARANTINE: {"servers": ["i-7"]},
}


def through_store(kind, body, *, watched):
    """Return the update that a response of the store holds."""
    store = ObjectStore("127.0.0.1:1")
    store._api._http = CannedHttp(body)
    since = StorePosition(0, 1)
    call = store.watch(kind, since, 1.0) if watched else store.read_all(kind)
    return asyncio.run(call)


def told(update):
    """Return the message that tells another host of an update."""

    async def read():
        reader = asyncio.StreamReader()
        reader.feed_data(encode(changes_message(update, fresh=True)))
        return await read_message(reader)

    return asyncio.run(read())


def neighbours():
    """Return two entries of servers, as raw texts."""
    spec = json.dumps(ENTRY).encode()
    return [item(b'"i-1"', b"11", spec), item(b'"i-2"', b"12", spec)]


def host_with_servers():
    """Return the state of a host with two servers and a configuration."""
    steering = make_steering()
    server = json.dumps(ENTRY).encode()
    for kind, names in ((Kind.SERVER, ["i-1", "i-odd"]), (Kind.CONFIG, ["main"])):
        spec = server if kind is Kind.SERVER else json.dumps(SPECS[kind]).encode()
        objects = [item(json.dumps(n).encode(), b"1", spec) for n in names]
        update = through_store(kind, page(objects, 1), watched=False)
        steering.take(update, 0.0)
    return steering


@given(st.data(), st.booleans())
def test_no_entry_of_another_writer_hides_the_servers_beside_it(data, watched):
    # Guards against one entry that cannot be read and ends the requests placed there,
    # or stops the list of servers on all hosts.
    odd = odd_object(data.draw, ENTRY)
    first, second = neighbours()
    body = (changes if watched else page)([first, odd, second])
    update = through_store(Kind.SERVER, body, watched=watched)
    sender, receiver = host_with_servers(), host_with_servers()
    sender.take(update, 0.0)
    receiver.take(update_in(told(update), receiver.replica), 0.0)
    for steering in (sender, receiver):
        servers = steering.placement.known.servers
        assert {"i-1", "i-2"} <= servers.keys()
        assert all(is_address(server.entry.address) for server in servers.values())
        assert isinstance(steering.placement.choose(REQUEST, 1.0), Choice)
    assert sender.placement.known.servers.keys() == (
        receiver.placement.known.servers.keys()
    )
    whole = told(sender.replica.update_since(Kind.SERVER, START))
    starting = make_steering()
    starting.take(update_in(whole, starting.replica), 0.0)
    assert {"i-1", "i-2"} <= starting.placement.known.servers.keys()


@given(st.data(), st.booleans())
def test_no_object_of_another_writer_ends_what_is_in_force(data, watched):
    # Guards against a configuration, evacuation or quarantine of another writer that
    # ends the reading of its kind, or changes what the readable ones say.
    kind = data.draw(st.sampled_from([Kind.CONFIG, Kind.EVACUATION, Kind.QUARANTINE]))
    is_config = kind is Kind.CONFIG
    draw = odd_configuration if is_config else odd_object
    odd = draw(data.draw, SPECS[kind])
    good_name = b'"main"' if is_config else b'"i-1"'
    good = item(good_name, b"12", json.dumps(SPECS[kind]).encode())
    body = (changes if watched else page)([odd, good])
    update = through_store(kind, body, watched=watched)
    sender, receiver = host_with_servers(), host_with_servers()
    sender.take(update, 0.0)
    receiver.take(update_in(told(update), receiver.replica), 0.0)
    for steering in (sender, receiver):
        assert steering.config_version >= 1
        assert good_name.strip(b'"').decode() in {
            doc.name for doc in steering.replica.known(kind)
        }
        choice = steering.placement.choose(REQUEST, 1.0)
        assert isinstance(choice, Choice)
        steering.tick(10.0)


@given(st.data())
def test_no_entry_of_another_writer_is_handed_to_callers_as_a_host(data):
    # Guards against a registered host whose address no caller can use.
    odd = odd_object(data.draw, HOST)
    good = json.dumps(HOST).encode()
    store = ObjectStore("127.0.0.1:1")
    body = page([item(b'"h-1"', b"11", good), odd, item(b'"h-2"', b"12", good)])
    store._api._http = CannedHttp(body)
    hosts = asyncio.run(store.hosts()).hosts
    assert {"h-1", "h-2"} <= {info.host_id for info in hosts}
    for info in hosts:
        assert is_address(info.entry)
        assert is_address(info.peer)
        assert 0 < info.cores < float("inf")


@given(st.data())
def test_an_object_is_read_in_one_way_whatever_stands_beside_it(data):
    # Guards against two ways to read an object that do not agree.
    raw = odd_object(data.draw, ENTRY)
    beside = item(b'"i-2"', b"12", b"[" * DEEP + b"]" * DEEP)
    alone, together = (read_page(page(items)) for items in ([raw], [raw, beside]))
    first, second = (read(page_.items[0]) for page_ in (alone, together))
    assert first == second


def read(raw):
    try:
        return read_item(bytes(raw))
    except UnreadableError:
        return None


def test_a_page_without_a_name_does_not_end_a_listing():
    # Guards against a listing that ends too early and so shows servers as deleted.
    store = ObjectStore("127.0.0.1:1")
    body = page([b"7"]).replace(b"false", b"true")
    store._api._http = CannedHttp(body)
    with pytest.raises(PlatformError) as caught:
        asyncio.run(store.read_all(Kind.SERVER))
    assert caught.value.code == "unreadable"


def test_a_server_whose_entry_becomes_unreadable_is_gone():
    # Guards against requests to a server at an address that its entry no longer names.
    steering = host_with_servers()
    body = changes([item(b'"i-1"', b"12", b"[" * DEEP + b"]" * DEEP)])
    steering.take(through_store(Kind.SERVER, body, watched=True), 0.0)
    assert steering.placement.known.servers.keys() == {"i-odd"}
    assert [rejected.document.name for rejected in steering.rejected] == ["i-1"]
