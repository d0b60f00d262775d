"""Membership: the platform's lagging list, heartbeats, and the choice of neighbours."""

from lacewingcross.core.membership import DOWN, LEAVING, LIVE, HostInfo, Membership
from lacewingcross.core.messages import Heartbeat
from lacewingcross.core.neighbours import Place, neighbours


def host(name, region="r1", domain="d1", listed=LIVE):
    return HostInfo(name, region, domain, "127.0.0.1:1", "127.0.0.1:2", listed)


def heartbeat(state="live", revision=1):
    return Heartbeat(state, revision, 0, [], [])


def new_membership():
    result = Membership(host("own"))
    result.on_list([host("own"), host("h1"), host("h2")], 0.0)
    return result


def test_broken_connection_removes_a_host_at_once_despite_the_list():
    """The platform's list names a host as live for seconds after its crash.

    Guards against look-ups that would send callers to the crashed host: the broken
    connection has precedence over the list.
    """
    membership = new_membership()
    membership.on_heartbeat("h1", heartbeat(), 1.0)
    assert {info.host_id for info in membership.live(1.0)} == {"own", "h1", "h2"}
    membership.on_broken("h1", 1.1)
    membership.on_list([host("own"), host("h1"), host("h2")], 1.2)
    assert membership.state_of("h1", 1.2) == DOWN
    membership.on_heartbeat("h1", heartbeat(), 2.0)
    assert membership.state_of("h1", 2.0) == LIVE


def test_silence_timeout_removes_a_host():
    membership = new_membership()
    membership.on_heartbeat("h1", heartbeat(), 1.0)
    assert membership.state_of("h1", 2.4) == LIVE
    assert membership.state_of("h1", 2.6) == DOWN
    assert "h1" not in {info.host_id for info in membership.live(2.6)}


def test_host_missing_from_a_stale_list_stays_while_its_heartbeats_arrive():
    membership = new_membership()
    membership.on_heartbeat("h1", heartbeat(), 10.0)
    membership.on_list([host("own")], 10.1)
    assert membership.state_of("h1", 10.2) == LIVE
    assert membership.on_list([host("own")], 20.0) == ["h1"]


def test_leaving_by_heartbeat_list_or_drain():
    membership = new_membership()
    membership.on_heartbeat("h1", heartbeat("leaving"), 1.0)
    assert membership.state_of("h1", 1.0) == LEAVING
    membership.on_list([host("own"), host("h1"), host("h2", listed=LEAVING)], 1.0)
    assert membership.state_of("h2", 1.0) == LEAVING
    membership = new_membership()
    membership.set_drained({"h2"})
    assert [info.host_id for info in membership.leaving(1.0)] == ["h2"]
    membership.set_drained(set())
    assert membership.leaving(1.0) == []


def test_host_missing_from_the_list_joins_by_its_hello():
    """A host that starts during a platform outage is missing from the list."""
    membership = new_membership()
    membership.on_hello(host("new"), 5, 1.0)
    assert membership.state_of("new", 1.0) == LIVE


def test_cached_live_set_changes_when_time_alone_changes_it():
    membership = new_membership()
    membership.on_heartbeat("h1", heartbeat(), 1.0)
    membership.on_heartbeat("h2", heartbeat(), 1.9)
    assert len(membership.live(2.0)) == 3
    assert {info.host_id for info in membership.live(2.6)} == {"own", "h2"}
    assert {info.host_id for info in membership.live(3.5)} == {"own"}


def test_hosts_with_invalid_addresses_are_not_added():
    membership = new_membership()
    invalid = HostInfo("odd", "r1", "d1", "nowhere", "127.0.0.1:99999")
    membership.learn([invalid, host("h3")], 1.0)
    assert membership.info("odd") is None
    assert membership.info("h3") is not None


def test_derived_cache_is_emptied_when_the_live_set_changes():
    """Owners are cached for speed; a crashed host must not remain an owner."""
    membership = new_membership()
    membership.on_heartbeat("h1", heartbeat(), 1.0)
    membership.on_heartbeat("h2", heartbeat(), 1.0)
    membership.owner_cache(1.1)["planner/s"] = "h1"
    membership.on_heartbeat("h1", heartbeat(revision=2), 2.0)
    membership.on_heartbeat("h2", heartbeat(revision=2), 2.0)
    assert membership.owner_cache(2.6) == {"planner/s": "h1"}
    membership.on_broken("h1", 2.7)
    assert membership.owner_cache(2.7) == {}


def _fleet(count, domains, regions):
    return [
        Place(f"h{index}", f"r{index % domains % regions}", f"d{index % domains}")
        for index in range(count)
    ]


def test_neighbours_are_symmetric_few_and_connected():
    """In a fleet of any size, both neighbours must expect each other's heartbeats."""
    for count, domains, regions in ((5, 2, 1), (64, 6, 3), (65, 6, 3), (400, 20, 5)):
        places = _fleet(count, domains, regions)
        chosen = {place.host_id: neighbours(place, places) for place in places}
        for host_id, others in chosen.items():
            for other, seconds in others.items():
                assert chosen[other][host_id] == seconds
        reached, todo = {"h0"}, ["h0"]
        while todo:
            for other in chosen[todo.pop()]:
                if other not in reached:
                    reached.add(other)
                    todo.append(other)
        assert len(reached) == count
        if count > 64:
            assert max(map(len, chosen.values())) < count / 2
