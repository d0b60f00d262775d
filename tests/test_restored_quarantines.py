"""Quarantines when the store comes back from an older copy."""

import asyncio

from lacewingcross.core.replica import Kind
from lacewingcross.platform.object_api import CALL_TIMEOUT_S

from .gateway_parts import fleet, in_loop, until
from .test_restored_store_gateway import restore, started

KIND = "quarantined-requests"
# Time after which a host of each rank would have stored a quarantine again, in seconds.
ALL_STEPPED_IN_S = 3.5
# Delay of a late watch, in seconds; after `CALL_TIMEOUT_S` a host gives a call up.
LATE_S = 0.8 * CALL_TIMEOUT_S


def ledgers(apps):
    return [app.gateway.crashes.ledger for app in apps]


def quarantine_everywhere(apps, request):
    for app in apps:
        now = app.gateway.now()
        ledger = app.gateway.crashes.ledger
        ledger.quarantine.add(request, ("i-1",), now, own=True)


async def known_everywhere(apps):
    for app in apps:
        replica = app.gateway.steering.replica
        await until(lambda replica=replica: replica.known(Kind.QUARANTINE))


@in_loop
async def test_a_quarantine_that_the_store_lost_stays_and_is_stored_again_once():
    # Guards against a request that crashes three servers again after a restore, and
    # against a write by every host of the fleet.
    async with fleet() as made:
        apps = await started(made)
        backup = made.store.backup()
        quarantine_everywhere(apps, "bad")
        await known_everywhere(apps)
        made.store.creations.clear()
        await restore(made, backup)
        await until(lambda: made.store.names(KIND) == ["bad"])
        await asyncio.sleep(ALL_STEPPED_IN_S)
        assert made.store.creations[KIND] == 1
        assert all("bad" in ledger.quarantine for ledger in ledgers(apps))


@in_loop
async def test_a_quarantine_that_was_released_is_not_taken_back_from_the_copy():
    # Guards against callers that are refused for an hour although their request was
    # cleared.
    async with fleet() as made:
        apps = await started(made)
        quarantine_everywhere(apps, "cleared")
        await until(lambda: made.store.names(KIND) == ["cleared"])
        await known_everywhere(apps)
        backup = made.store.backup()
        for ledger in ledgers(apps):
            ledger.release("cleared")
        await until(lambda: made.store.names(KIND) == [])
        for app in apps:
            replica = app.gateway.steering.replica
            await until(lambda replica=replica: not replica.known(Kind.QUARANTINE))
        await restore(made, backup)
        await until(lambda: made.store.era == 2 and made.store.names(KIND) == [])
        assert not any(ledger.quarantine for ledger in ledgers(apps))


@in_loop
async def test_calls_are_not_repeated_while_the_watch_is_late():
    # Guards against ten calls a second by each host that saw one of the crashes, and by
    # the host that deletes the quarantine.
    async with fleet() as made:
        apps = await started(made)
        made.store.faults.late_watches_s[KIND] = LATE_S
        made.store.creations.clear()
        quarantine_everywhere(apps, "bad")
        await known_everywhere(apps)
        assert made.store.names(KIND) == ["bad"]
        assert made.store.creations[KIND] <= 2 * len(apps)
        for ledger in ledgers(apps):
            ledger.release("bad")
        await until(lambda: made.store.names(KIND) == [])
        await asyncio.sleep(2.0)
        assert made.store.deletions[KIND] <= 2
