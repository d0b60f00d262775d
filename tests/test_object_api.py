"""The object API and the operators' client on top of it, against the stand-in."""

import asyncio
import time

import pytest

from lacewingcross.core.store_position import StorePosition
from lacewingcross.errors import PlatformError
from lacewingcross.platform.object_api import ObjectApi
from lacewingcross.platform_client import PlatformClient
from lacewingcross.standins.object_store import ObjectStoreStandin


def with_api(check):
    async def run():
        standin = ObjectStoreStandin(time.monotonic)
        port = await standin.start()
        address = f"127.0.0.1:{port}"
        api, client = ObjectApi(address), PlatformClient(address, writer="ana")
        try:
            async with asyncio.timeout(20):
                await check(standin, api, client)
        finally:
            api.close()
            client.close()
            await standin.close()

    asyncio.run(run())


def error_code(caught):
    return caught.value.code


def test_a_write_at_an_old_revision_conflicts_and_changes_nothing():
    # Two operators change one object. The second operator has not seen the change of
    # the first one and must not undo it.
    async def check(_standin, api, _client):
        first = await api.create("notes", "n", 1)
        second = await api.replace("notes", "n", 2, first.position.revision)
        with pytest.raises(PlatformError) as caught:
            await api.replace("notes", "n", 3, first.position.revision)
        assert error_code(caught) == "conflict"
        with pytest.raises(PlatformError) as caught:
            await api.delete("notes", "n", first.position.revision)
        assert error_code(caught) == "conflict"
        assert (await api.get("notes", "n")).spec == 2
        assert (
            await api.delete("notes", "n", second.position.revision) > second.position
        )
        with pytest.raises(PlatformError) as caught:
            await api.get("notes", "n")
        assert error_code(caught) == "not-found"

    with_api(check)


def test_an_object_without_a_spec_is_not_a_deleted_one():
    # An evacuation may consist of its name alone. If it were treated as deleted,
    # requests would still go to the failure domain that is being evacuated.
    async def check(standin, api, _client):
        standin.put("evacuations", "a1", None)
        found = await api.list("evacuations")
        assert [(item.name, item.spec) for item in found.items] == [("a1", {})]
        changes = await api.watch("evacuations", 0, 1.0)
        assert [(item.name, item.spec) for item in changes.items] == [("a1", {})]

    with_api(check)


def test_names_with_special_characters_are_returned_unchanged():
    async def check(_standin, api, _client):
        await api.create("notes", "a/b c:d", 1)
        assert (await api.get("notes", "a/b c:d")).name == "a/b c:d"

    with_api(check)


def test_one_watch_returns_changes_of_several_kinds():
    async def check(standin, _api, client):
        await client.create("ShiftCap/booking", {"fraction": 0.1})
        await client.create("HostReport/host-1", {"in_flight": 1})
        seen = await client.watch(("ShiftCap", "Drain"), 0)
        assert [item.key for item in seen.objects] == ["ShiftCap/booking"]
        listed = await client.list("ShiftCap", "HostReport")
        keys = {item.key for item in listed.objects}
        assert keys == {"ShiftCap/booking", "HostReport/host-1"}
        assert standin.names("HostReport") == ["host-1"]

    with_api(check)


def test_an_object_without_a_key_does_not_hide_the_resources_beside_it():
    # Guards against another writer's object of the kind that all hosts watch.
    async def check(standin, _api, client):
        standin.put("lacewingcross", "nokey", {"spec": {}})
        await client.create("ShiftCap/booking", {"fraction": 0.1})
        listed = await client.list("ShiftCap")
        assert [item.key for item in listed.objects] == ["ShiftCap/booking"]

    with_api(check)


def test_a_watch_does_not_skip_changes_that_came_with_other_kinds():
    async def check(_standin, _api, client):
        first = await client.create("ShiftCap/booking", {"fraction": 0.1})
        await client.create("Drain/d", {"server": "s"})
        seen = await client.watch(("Drain",), first.version)
        assert [item.key for item in seen.objects] == ["Drain/d"]
        assert seen.revision > first.version

    with_api(check)


def test_a_write_whose_response_was_lost_is_recognised_by_its_id():
    # The store creates the object and its response is lost. Creating it again conflicts
    # with the operator's own write. That is a success and not the change of another
    # operator.
    async def check(standin, _api, client):
        standin.faults.lose_answers = 1
        stored = await client.create("ShiftCap/booking", {"fraction": 0.1})
        assert stored.spec() == {"fraction": 0.1}
        assert stored.writer() == "ana"
        assert standin.revision == 1

    with_api(check)


def test_watches_fail_as_compacted_after_many_deletions():
    async def check(standin, api, _client):
        standin.put("claims", "first", 1)
        for value in range(5001):
            standin.put("claims", "c", value)
            standin.delete("claims", "c")
        with pytest.raises(PlatformError) as caught:
            await api.watch("claims", 1, 1.0)
        assert error_code(caught) == "compacted"

    with_api(check)


def test_an_era_that_cannot_be_read_counts_as_the_latest_known():
    # Guards against a call that fails, or an era of many digits that outlives all
    # others, because of a header of an intermediary.
    async def check(standin, api, _client):
        await api.list("notes")
        for era in (None, "x", "-1", "", "9" * 400, "²"):
            standin.era = era
            assert (await api.list("notes")).as_of.era == 1
        standin.era = 3
        assert (await api.list("notes")).as_of.era == 3

    with_api(check)


def test_a_store_without_eras_is_read_as_before():
    async def check(standin, api, _client):
        standin.era = None
        standin.put("notes", "n", 1)
        assert (await api.list("notes")).as_of == StorePosition(0, 1)
        assert (await api.watch("notes", 0, 0.1)).as_of == StorePosition(0, 1)

    with_api(check)


def test_an_error_tells_the_era():
    async def check(standin, api, _client):
        standin.era = 4
        with pytest.raises(PlatformError):
            await api.get("notes", "missing")
        assert api.era == 4

    with_api(check)


def test_a_write_acknowledged_in_an_earlier_era_has_an_unknown_outcome():
    # Guards against a registration that counts as done although the store lost it.
    async def check(standin, api, _client):
        api.era = 2
        with pytest.raises(PlatformError) as caught:
            await api.create("notes", "n", 1)
        assert error_code(caught) == "unknown-outcome"

    with_api(check)


def test_a_listing_whose_pages_are_of_two_eras_is_begun_again():
    # Guards against a listing that mixes objects from before and after a restore.
    async def check(standin, api, _client):
        standin.page = 1
        for name in ("a", "b"):
            standin.put("notes", name, "old")
        backup = standin.backup()
        standin.faults.slow_s = 0.02
        listing = asyncio.ensure_future(api.list("notes"))
        while standin.calls < 2:
            await asyncio.sleep(0)
        standin.restore(backup)
        standin.put("notes", "a", "new")
        found = await listing
        assert [item.spec for item in found.items] == ["new", "old"]
        assert {item.position.era for item in found.items} == {found.as_of.era} == {2}

    with_api(check)


def test_a_change_between_two_pages_of_a_listing_is_not_missed():
    # Guards against a change that never takes effect: it is to an object of a page that
    # was read already, and the watch goes on from the revision of a later page.
    async def check(standin, api, _client):
        standin.page = 1
        for name in ("a", "b"):
            standin.put("notes", name, "old")
        standin.faults.slow_s = 0.02
        listing = asyncio.ensure_future(api.list("notes"))
        while standin.calls < 2:
            await asyncio.sleep(0)
        standin.put("notes", "a", "new")
        found = await listing
        changes = await api.watch("notes", found.as_of.revision, 0.1)
        assert [(item.name, item.spec) for item in changes.items] == [("a", "new")]

    with_api(check)


def test_versions_rise_when_the_store_is_restored():
    # Guards against hosts and operators that take what is written after a restore for
    # older than what they know.
    async def check(standin, _api, client):
        backup = standin.backup()
        first = await client.create("ShiftCap/a", {"fraction": 0.1})
        second = await client.update("ShiftCap/a", {"fraction": 0.2}, first.version)
        standin.restore(backup)
        again = await client.create("ShiftCap/a", {"fraction": 0.3})
        assert again.version > second.version
        assert (await client.list("ShiftCap")).revision >= again.version

    with_api(check)


def test_a_watch_across_a_restore_fails_as_compacted():
    # Guards against an object of the lost time that stays in force for good.
    async def check(standin, _api, client):
        backup = standin.backup()
        lost = await client.create("Drain/lost", {"server": "s1"})
        standin.restore(backup)
        for name in ("b", "c"):
            await client.create(f"Drain/{name}", {"server": "s2"})
        with pytest.raises(PlatformError) as caught:
            await client.watch(("Drain",), lost.version, 0.1)
        assert error_code(caught) == "compacted"

    with_api(check)


def test_a_write_conditional_on_a_version_of_an_earlier_era_conflicts():
    # Guards against an operator who undoes the change of another: the revision that was
    # read before a restore was given out again.
    async def check(standin, _api, client):
        backup = standin.backup()
        read = await client.create("ShiftCap/a", {"fraction": 0.1})
        standin.restore(backup)
        other = await client.create("ShiftCap/a", {"fraction": 0.2})
        with pytest.raises(PlatformError) as caught:
            await client.update("ShiftCap/a", {"fraction": 0.3}, read.version)
        assert error_code(caught) == "conflict"
        assert (await client.get("ShiftCap/a")).version == other.version

    with_api(check)
