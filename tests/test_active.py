"""Choice of the active hosts: by load and size, spread over failure domains."""

from hypothesis import given
from hypothesis import strategies as st

from lacewingcross.core.active import active_hosts, cores_needed
from lacewingcross.core.backend_state import Server, ServerEntry
from lacewingcross.core.membership import HostInfo
from lacewingcross.core.routes import CallerLimits, Configuration, Part, Route

# Processor time of a large and of a small host, in cores.
LARGE = 2.15
SMALL = 0.43


def host(name, region="a", domain="a1", cores=1.0):
    return HostInfo(name, region, domain, f"{name}:1", f"{name}:2", cores=cores)


def fleet(large=3, small=18, domains=("a1", "a2", "a3")):
    """Return one region like those of the largest deployment."""
    return [
        host(f"{domain}-{index}", "a", domain, LARGE if index < large else SMALL)
        for domain in domains
        for index in range(large + small)
    ]


def server(index, service="calendar", slots=5):
    entry = ServerEntry(f"i-{index}", service, "10.0.0.1:1", "a1", slots, False, 0.0)
    return Server(entry, "a", 0.0)


def config(target_s):
    route = Route(
        name="r",
        host_name="h",
        prefix="/",
        repeatable=True,
        parts=(Part("calendar", 1.0),),
        timeout_s=3.0,
        target_s=target_s,
        max_attempts=2,
        priority=1,
        affinity=True,
        home_regions=frozenset(),
    )
    return Configuration(1, (route,), {}, CallerLimits())


def test_the_large_hosts_of_a_mixed_fleet_are_active():
    # Nine of 63 hosts have nearly half of the processor time. If all 63 were active,
    # each server's requests would be spread over 63 hosts that know little of each
    # other's load.
    chosen = active_hosts(fleet(), 8.0)
    assert all(info.cores == LARGE for info in chosen)
    domains = [info.failure_domain for info in chosen]
    assert all(domains.count(domain) >= 2 for domain in ("a1", "a2", "a3"))


def test_more_load_makes_more_hosts_active_until_half_of_the_processor_time():
    sizes = [len(active_hosts(fleet(), needed)) for needed in (0.0, 15.0, 30.0, 1e9)]
    assert sizes == sorted(sizes)
    assert sizes[0] == 6
    assert sizes[1] == 7
    assert sizes[-1] == 63


def test_a_lost_failure_domain_leaves_enough_without_small_hosts():
    # A failure domain loses power. The remaining large hosts carry the region; small
    # ones that callers choose with the same probability would be overloaded first.
    remaining = [info for info in fleet() if info.failure_domain != "a1"]
    chosen = active_hosts(remaining, 8.0)
    assert {info.cores for info in chosen} == {LARGE}
    assert len(chosen) * LARGE >= 8.0


def test_small_hosts_become_active_when_all_large_ones_are_lost():
    remaining = [info for info in fleet() if info.cores == SMALL]
    chosen = active_hosts(remaining, 3.0)
    assert len(chosen) == 7


def test_all_hosts_of_equal_size_are_active_under_full_load():
    hosts = [host(f"h{index}", "a", f"a{index % 3}", 0.86) for index in range(9)]
    assert len(active_hosts(hosts, 20.0)) == 9


def test_each_region_has_active_hosts_of_its_own():
    hosts = [host("a", "a", "a1"), host("b", "b", "b1"), host("c", "b", "b2")]
    assert {info.region for info in active_hosts(hosts, 1.0)} == {"a", "b"}
    assert active_hosts([], 1.0) == []


def test_needed_cores_follow_slots_and_targets():
    servers = [server(index) for index in range(10)]
    assert cores_needed(None, servers) == 0.0
    fast = cores_needed(config(0.2), servers)
    slow = cores_needed(config(1.0), servers)
    # 50 slots at 0.45 x 0.2 s are 556 requests a second of 3 ms each, times a headroom
    # of 2.
    assert abs(fast - 50 / 0.09 * 0.003 * 2) < 1e-9
    assert abs(fast - 5 * slow) < 1e-9
    unknown = cores_needed(config(0.2), [server(1, "other")])
    assert unknown > 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from("ab"),
            st.sampled_from("12"),
            st.sampled_from([0.43, 0.86, 2.15]),
        ),
        min_size=1,
        max_size=40,
    ),
    st.floats(min_value=0.0, max_value=100.0),
    st.randoms(use_true_random=False),
)
def test_all_hosts_choose_alike_and_the_loss_of_one_that_stands_by_changes_nothing(
    specs, needed, rng
):
    # Every host chooses the active hosts on its own. If two hosts chose differently
    # from the same information, the shares would add up to more than the whole.
    hosts = [
        host(f"h{index}", region, region + domain, cores)
        for index, (region, domain, cores) in enumerate(specs)
    ]
    chosen = active_hosts(hosts, needed)
    shuffled = list(hosts)
    rng.shuffle(shuffled)
    names = {info.host_id for info in chosen}
    assert {info.host_id for info in active_hosts(shuffled, needed)} == names
    assert {info.region for info in chosen} == {info.region for info in hosts}
    # The loss of a standby host must not make another host active.
    for lost in [info for info in hosts if info.host_id not in names][:1]:
        rest = [info for info in hosts if info is not lost]
        assert {info.host_id for info in active_hosts(rest, needed)} <= names
