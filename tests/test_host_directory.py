"""Store calls that a host makes to register itself.

Every call of the store is paid for, so the tests compare all calls.
"""

import asyncio
import random
from types import SimpleNamespace

from lacewingcross.core.membership import HostInfo
from lacewingcross.core.replica import Replica
from lacewingcross.core.roster import Roster
from lacewingcross.gateway.host_directory import HostDirectory
from lacewingcross.platform.store import RegisteredHosts

OWN = HostInfo("host-0", "a", "a1", "10.0.0.1:1", "10.0.0.1:2")
OTHER = HostInfo("host-1", "a", "a1", "10.0.0.2:1", "10.0.0.2:2")
MOVED = HostInfo("host-0", "a", "a1", "10.0.0.9:1", "10.0.0.9:2")


class CountingStore:
    """Keeps the list of hosts in memory and records each call."""

    def __init__(self, *registered):
        self.registered = {info.host_id: info for info in registered}
        self.calls = []
        self.era = 1

    async def hosts(self, *, stale=False):
        self.calls.append("stale-list" if stale else "list")
        return RegisteredHosts(self.era, list(self.registered.values()))

    async def put_host(self, info):
        self.calls.append("put")
        self.registered[info.host_id] = info


def roster_after_registration(store, *, first_start):
    gateway = SimpleNamespace(
        cfg=SimpleNamespace(first_start=first_start),
        roster=Roster(OWN),
        steering=SimpleNamespace(rng=random.Random(1), replica=Replica()),
        now=lambda: 0.0,
        review_rank=lambda now: None,
        hosts_changed=lambda: None,
    )

    async def run():
        running = asyncio.ensure_future(HostDirectory(gateway, store).run())
        while not (gateway.roster.listed and OWN in store.registered.values()):
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        running.cancel()

    asyncio.run(run())
    return gateway.roster


def test_a_host_that_was_killed_finds_its_entry_and_writes_nothing():
    # All hosts lose power and start again. Registering again would cost each of them a
    # creation that conflicts and a replacement that changes nothing.
    store = CountingStore(OWN, OTHER)
    roster = roster_after_registration(store, first_start=False)
    assert store.calls == ["list"]
    assert set(roster.entries) == {"host-1"}


def test_a_host_whose_entry_has_an_old_address_writes_the_new_one():
    store = CountingStore(MOVED)
    roster_after_registration(store, first_start=False)
    assert store.calls == ["list", "put", "list"]


def test_a_first_start_registers_the_host_before_it_reads_the_list():
    store = CountingStore()
    roster_after_registration(store, first_start=True)
    assert store.calls == ["put", "list"]
