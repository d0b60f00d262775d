"""A fleet whose store comes back from an older copy, with revisions that go back."""

import asyncio

from lacewingcross.core.replica import Kind
from lacewingcross.core.watch_election import MAX_SILENCE_TIMEOUT_S
from lacewingcross.platform.objects import KIND_PATHS

from .gateway_parts import answers_at_once, fleet, in_loop, until

# Time within which a configuration has to be in force and a leaving server left, in
# seconds.
BOUND_S = 2.5
# Number of changes that the store loses when it is restored.
LOST_CHANGES = 30
# How long the store is away when it is restored, in seconds.
AWAY_S = 0.8


def version(app):
    return app.gateway.steering.table.config.version


def known(app):
    return app.gateway.steering.placement.known.servers


def seq(app):
    return app.gateway.steering.replica.get(Kind.SERVER, "i-1").spec["seq"]


async def started(made, hosts=4):
    """Start hosts that know a configuration and two servers."""
    made.configure()
    for _ in range(2):
        await made.add_server(answers_at_once)
    apps = [await made.add_host() for _ in range(hosts)]
    for app in apps:
        await made.ready(app)
        await until(lambda app=app: len(known(app)) == 2)
    return apps


async def backup_then_changes(made, apps):
    """Copy the store, change it, and wait until all hosts know the last change."""
    backup = made.store.backup()
    for change in range(2, 2 + LOST_CHANGES):
        made.register("i-1", made.servers[0].address, seq=change)
    for app in apps:
        await until(lambda app=app: seq(app) == 1 + LOST_CHANGES)
    return backup


async def restore(made, backup, away_s=AWAY_S):
    """Take the store away for a moment, and bring it back from a copy."""
    made.store.faults.down = "reset"
    made.store.wake_watches()
    await asyncio.sleep(away_s)
    made.store.restore(backup)
    made.store.faults.down = ""


@in_loop
async def test_changes_after_a_restore_are_in_force_within_their_bound():
    # Guards against hosts that take the lower revisions after a restore for old ones.
    async with fleet() as made:
        apps = await started(made)
        await restore(made, await backup_then_changes(made, apps))
        made.configure(version=9)
        made.register("i-2", made.servers[1].address, state="draining")
        for app in apps:
            await until(lambda app=app: version(app) == 9, BOUND_S)
            await until(lambda app=app: known(app)["i-2"].entry.draining, BOUND_S)


@in_loop
async def test_no_host_serves_an_older_version_while_the_store_has_one():
    # Guards against hosts that go back to the version in the copy, and against one that
    # starts with it, until the operator writes the newer version again.
    async with fleet() as made:
        apps = await started(made, hosts=3)
        backup = made.store.backup()
        made.configure(version=7)
        for app in apps:
            await until(lambda app=app: version(app) == 7)
        await restore(made, backup)
        for app in apps:
            await until(lambda app=app: app.gateway.steering.replica.era == 2)
        late = await made.add_host()
        await made.ready(late)
        await until(lambda: version(late) == 7, BOUND_S)
        assert [version(app) for app in apps] == [7, 7, 7]
        made.configure(version=9)
        for app in [*apps, late]:
            await until(lambda app=app: version(app) == 9, BOUND_S)


@in_loop
async def test_a_restore_is_read_by_one_host_although_all_have_begun_to_watch():
    # Guards against a burst of listings from every host to every other one.
    async with fleet() as made:
        apps = await started(made)
        backup = await backup_then_changes(made, apps)
        made.store.listings.clear()
        await restore(made, backup, away_s=MAX_SILENCE_TIMEOUT_S + 1.0)
        for app in apps:
            replica = app.gateway.steering.replica
            await until(
                lambda replica=replica: (
                    {replica.as_of(kind).era for kind in Kind} == {2}
                )
            )
        await asyncio.sleep(1.0)
        listings = {kind: made.store.listings[KIND_PATHS[kind]] for kind in Kind}
        assert max(listings.values()) <= 2, listings
