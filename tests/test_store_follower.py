"""How often a host calls the store, whatever the store answers."""

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from lacewingcross.core.replica import Kind, Replica, Update
from lacewingcross.core.store_position import START, StorePosition
from lacewingcross.core.watch_election import WatchElection
from lacewingcross.errors import PlatformError
from lacewingcross.gateway.store_follower import StoreFollower
from lacewingcross.host.supervisor import Child, Supervisor

# Calls per second and kind of objects that a host may make: 195 hosts that each watch
# four kinds stay below the 6,000 reads a second of a large store.
MAX_CALLS_PER_S = 7.5
RUN_S = 3.0


class ScriptedStore:
    """A store whose answers are functions of the test; counts calls."""

    def __init__(self, listing, watch):
        self.calls = 0
        self.era = 1
        self._listing = listing
        self._watch = watch

    async def read_all(self, kind):
        self.calls += 1
        await asyncio.sleep(0)
        return self._listing(self, kind)

    async def watch(self, kind, since, wait_s):
        self.calls += 1
        await asyncio.sleep(0)
        return await self._watch(self, kind, since, wait_s)


def list_at(revision):
    def listing(store, kind):
        as_of = StorePosition(store.era, revision)
        return Update(kind, START, as_of, [], whole=True)

    return listing


def gone(*_args):
    raise PlatformError("compacted", "status 410")


async def watch_gone(*_args):
    gone()


async def watch_unreadable(*_args):
    raise PlatformError("unreadable", "no end")


async def watch_fails(*_args):
    raise RuntimeError("a fault")


async def watch_waits(store, kind, since, wait_s):
    await asyncio.sleep(wait_s)
    return Update(kind, since, StorePosition(store.era, since.revision), [])


async def watch_at_once(store, kind, since, _wait_s):
    return Update(kind, since, StorePosition(store.era, since.revision), [])


async def watch_of_an_earlier_era(_store, kind, since, _wait_s):
    return Update(kind, since, StorePosition(0, since.revision + 5), [])


async def watch_in_a_new_era(store, kind, since, _wait_s):
    store.era += 1
    return Update(kind, since, StorePosition(store.era, since.revision), [])


def gateway_with(replica, rank=0):
    return SimpleNamespace(
        now=time.monotonic,
        rank=rank,
        roster=SimpleNamespace(is_active=True),
        watch_election=WatchElection(),
        metrics=SimpleNamespace(count=lambda name: None),
        steering=SimpleNamespace(
            rng=random.Random(1),
            replica=replica,
            rejected=[],
            outdated_quarantines=[],
            table=None,
            store_age=lambda now: 0.0,
        ),
        take=lambda update: replica.apply(update),
    )


def calls_per_s(store):
    gateway = gateway_with(Replica())
    follower = StoreFollower(gateway, store, lambda update: None)

    async def run():
        watching = asyncio.ensure_future(follower.watch_loop(Kind.SERVER)())
        await asyncio.sleep(RUN_S)
        assert not watching.done()
        watching.cancel()

    asyncio.run(run())
    return store.calls / RUN_S


# Guards against hosts that call the store thousands of times a second.
@pytest.mark.parametrize(
    ("listing", "watch"),
    [
        (list_at(9), watch_waits),
        (list_at(9), watch_gone),
        (list_at(9), watch_unreadable),
        (gone, watch_gone),
        (list_at(9), watch_at_once),
        (list_at(9), watch_of_an_earlier_era),
        (list_at(9), watch_in_a_new_era),
        (list_at(0), watch_waits),
    ],
    ids=[
        "sound",
        "watches-gone-for-ever",
        "watches-that-cannot-be-read",
        "listings-gone-too",
        "watches-that-do-not-wait",
        "answers-of-an-earlier-era",
        "an-era-that-rises-for-ever",
        "an-empty-store",
    ],
)
def test_calls_are_paced_whatever_the_store_answers(listing, watch):
    assert calls_per_s(ScriptedStore(listing, watch)) <= MAX_CALLS_PER_S


@pytest.mark.parametrize(("peer_lists", "listings"), [(True, 0), (False, 1)])
def test_a_host_of_a_higher_rank_lists_only_if_no_other_host_does(peer_lists, listings):
    # Guards against a listing by every host after an outage in which all of them watch.
    replica = Replica()
    store = ScriptedStore(list_at(3), watch_waits)
    replica.apply(list_at(9)(store, Kind.SERVER))
    store.era = 2
    listed = []
    read_all = store.read_all

    async def count_listing(kind):
        listed.append(kind)
        return await read_all(kind)

    store.read_all = count_listing
    follower = StoreFollower(gateway_with(replica, rank=4), store, lambda update: None)

    async def run():
        watching = asyncio.ensure_future(follower.watch_loop(Kind.SERVER)())
        await asyncio.sleep(0.05)
        if peer_lists:
            replica.apply(list_at(3)(store, Kind.SERVER))
        await asyncio.sleep(1.0)
        watching.cancel()

    asyncio.run(run())
    assert len(listed) == listings
    assert replica.as_of(Kind.SERVER) == StorePosition(2, 3)


def test_changes_that_no_host_can_read_are_no_failure_of_the_store():
    # Guards against hosts that take turns with changes which none of them can read,
    # and of which none reads all objects.
    replica = Replica()
    store = ScriptedStore(list_at(9), watch_unreadable)
    replica.apply(list_at(3)(store, Kind.SERVER))
    gateway = gateway_with(replica)
    follower = StoreFollower(gateway, store, lambda update: None)

    async def run():
        watching = asyncio.ensure_future(follower.watch_loop(Kind.SERVER)())
        await asyncio.sleep(0.3)
        watching.cancel()

    asyncio.run(run())
    assert replica.as_of(Kind.SERVER) == StorePosition(1, 9)
    assert not gateway.watch_election.store_unreachable(time.monotonic())


@pytest.mark.parametrize("watch", [watch_unreadable, watch_fails])
def test_a_host_gets_past_changes_that_it_cannot_apply(watch):
    # Guards against a host that watches from the same position and fails for ever.
    replica = Replica()
    store = ScriptedStore(list_at(9), watch)
    replica.apply(list_at(3)(store, Kind.SERVER))
    follower = StoreFollower(gateway_with(replica), store, lambda update: None)
    tree = Supervisor("test", [Child("servers", follower.watch_loop(Kind.SERVER))])

    async def run():
        running = asyncio.ensure_future(tree.run())
        await asyncio.sleep(1.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    asyncio.run(run())
    assert replica.as_of(Kind.SERVER) == StorePosition(1, 9)
