"""The list of hosts when the store comes back from an older copy."""

from lacewingcross.gateway import host_directory

from .gateway_parts import fleet, in_loop, until
from .test_restored_store_gateway import restore
from .test_standby import mixed_fleet

KIND = "entry-hosts"


@in_loop
async def test_hosts_that_the_store_lost_register_again_and_the_others_do_not(
    monkeypatch,
):
    # Guards against standby hosts that are missing from the list for good, so that
    # hosts which start later do not find them.
    monkeypatch.setattr(host_directory, "CHECK_SPREAD_S", 1.0)
    async with fleet() as made:
        _, small = await mixed_fleet(made)
        names = made.store.names(KIND)
        assert len(names) == 5
        backup = made.store.backup()
        for app in small:
            del backup.objects[KIND][app.gateway.cfg.host_id]
        made.store.creations.clear()
        await restore(made, backup)
        await until(lambda: made.store.names(KIND) == names)
        assert made.store.creations[KIND] == len(small)
