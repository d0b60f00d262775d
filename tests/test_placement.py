"""Choice of backend server: one home for a key, refusal before spreading."""

import random

from lacewingcross.core.placement import (
    HOME_MORE,
    Ask,
    Choice,
    Placement,
    Refusal,
    ServerEntry,
)
from lacewingcross.core.routes import Service

REGION_OF = {"a1": "a", "a2": "a", "b1": "b"}
NOW = 100.0


def entry(server_id, domain, slots=2, cold_left_s=0.0, *, draining=False):
    address = f"127.0.0.1:{9000 + hash(server_id) % 100}"
    return ServerEntry(
        server_id, "calendar", address, domain, slots, draining, cold_left_s
    )


def placement(*entries, region="a"):
    placed = Placement(region, REGION_OF, random.Random(1), 1.5, 5.0)
    placed.set_services({"calendar": Service("calendar", "/health", 100, 3.0, 14.0)})
    for item in entries:
        placed.put_server(item, NOW)
    return placed


def ask(key="7", *, regions=(), urgent=False, tried=(), target_s=0.0):
    regions = frozenset(regions)
    return Ask("calendar", key, regions, urgent, frozenset(tried), target_s)


def fill(server, count):
    for number in range(count):
        server.evidence.sent(number, NOW)
        server.own += 1


def chosen(placed, now=NOW, **kwargs):
    choice = placed.choose(ask(**kwargs), now)
    assert isinstance(choice, Choice), choice
    return choice.server.entry


def six():
    return [entry(f"a{i}", "a1" if i % 2 else "a2") for i in range(4)] + [
        entry("b0", "b1"),
        entry("b1", "b1"),
    ]


def test_a_key_keeps_its_server_while_there_is_room():
    placed = placement(*six())
    assert len({chosen(placed).server_id for _ in range(20)}) == 1
    assert len({chosen(placed, key=str(i)).server_id for i in range(50)}) == 4


def test_a_key_whose_server_is_full_goes_to_its_one_server_elsewhere():
    # Every caller wakes on the hour. Spread over all servers of the region the key
    # would be cold on each of them, and cold work takes three times the slots.
    placed = placement(*six())
    home = placed.servers[chosen(placed).server_id]
    fill(home, 3)
    assert chosen(placed).failure_domain == "b1"
    fill(placed.servers[chosen(placed).server_id], 3)
    refusal = placed.choose(ask(), NOW)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == "full"
    assert 0 < refusal.retry_after_s < 1


def test_what_peers_have_in_flight_fills_a_server_too():
    placed = placement(*six())
    home = chosen(placed).server_id
    placed.set_peer_counts("host-2", {home: 3})
    assert chosen(placed).server_id != home
    placed.set_peer_counts("host-2", {})
    assert chosen(placed).server_id == home


def test_a_load_report_counts_for_a_moment_only():
    placed = placement(*six())
    home = placed.servers[chosen(placed).server_id]
    placed.learn_load(home, 3, NOW)
    assert chosen(placed).server_id != home.entry.server_id
    assert chosen(placed, now=NOW + 0.2).server_id == home.entry.server_id


def test_urgent_requests_may_wait_for_a_slot():
    placed = placement(*six())
    home = placed.servers[chosen(placed).server_id]
    fill(home, 3)
    assert chosen(placed, urgent=True).server_id == home.entry.server_id


def test_draining_gone_and_tried_servers_are_not_chosen():
    placed = placement(*six())
    first = chosen(placed).server_id
    assert chosen(placed, tried=[first]).server_id != first
    placed.put_server(
        entry(first, placed.servers[first].entry.failure_domain, draining=True), NOW
    )
    second = chosen(placed).server_id
    assert second != first
    placed.drop_server(second)
    assert chosen(placed).server_id not in (first, second)


def test_an_evacuated_failure_domain_gets_nothing():
    placed = placement(*six())
    placed.set_evacuated(["a1", "a2"], NOW)
    assert {chosen(placed, key=str(i)).failure_domain for i in range(30)} == {"b1"}
    placed.set_evacuated(["a1", "a2", "b1"], NOW)
    assert isinstance(placed.choose(ask(), NOW), Refusal)


def test_a_failure_domain_that_is_taken_back_is_cold():
    # An evacuation ends and the domain's keys all return at once. Its servers have
    # stood idle; nothing in their entries says that they are cold.
    placed = placement(*six())
    placed.region_part = 1.0
    placed.set_evacuated(["a1", "a2"], NOW)
    placed.set_evacuated([], NOW)
    sent = {}
    for number in range(300):
        server = placed.choose(ask(key=str(number)), NOW).server
        placed.began(server, number, NOW)
        placed.ended(server)
        server.evidence.forgotten(number)
        sent[server.entry.server_id] = sent.get(server.entry.server_id, 0) + 1
    assert all(sent[name] <= 26 for name in ("a0", "a1", "a2", "a3"))


def test_cold_servers_of_another_region_get_nothing():
    placed = placement(*[entry("b0", "b1", cold_left_s=3.0)])
    assert isinstance(placed.choose(ask(), NOW), Refusal)
    assert chosen(placed, now=NOW + 3.1).server_id == "b0"


def test_requests_bound_to_regions_stay_there():
    placed = placement(*six())
    assert chosen(placed, regions=["b"]).failure_domain == "b1"
    only_a = placement(*[entry("a0", "a1")])
    assert isinstance(only_a.choose(ask(regions=["b"]), NOW), Refusal)


def test_failing_servers_are_used_when_no_other_is_left():
    # All servers of a service shed half of what they get. Passing all of them over
    # would refuse every request; using them answers half.
    placed = placement(*six())
    for server in placed.servers.values():
        for number in range(20):
            server.evidence.sent(number, NOW)
            server.evidence.failed(number, NOW)
    assert chosen(placed)


def test_without_a_key_the_least_loaded_server_is_chosen():
    # What the other hosts have in flight counts too: by own counts alone a route
    # without keys was sent to a server with ten requests on six slots.
    placed = placement(*six())
    fill(placed.servers["a0"], 1)
    fill(placed.servers["a1"], 1)
    placed.set_peer_counts("host-2", {"a2": 1})
    assert chosen(placed, key="").server_id == "a3"


def test_requests_wait_at_their_warm_server_while_the_target_stays_in_reach():
    # A warm answer takes 50 ms and operators aim at 200 ms. Two requests more than
    # slots wait 50 ms each; cold work elsewhere would take three times as long.
    placed = placement(*six())
    home = placed.servers[chosen(placed).server_id]
    for _ in range(60):
        placed.learn_latency(home, 0.05)
    fill(home, 3)
    assert chosen(placed, target_s=0.2).server_id == home.entry.server_id
    fill(home, 1)
    assert chosen(placed, target_s=0.2).server_id != home.entry.server_id
    for _ in range(300):
        placed.learn_latency(home, 0.3)
    home.own = 3
    assert chosen(placed, target_s=0.2).server_id != home.entry.server_id


def few_at_home():
    """One server in this region, three in the other one, two slots each."""
    return placement(
        entry("a0", "a1"), *(entry(f"b{number}", "b1") for number in range(3))
    )


class OpenGuard:
    """A guard that lets the share jump."""

    allowed = 0.0

    def wants(self, *, away, now, free):
        """Take no note."""

    def served(self, *, away):
        """Take no note."""

    def too_many_away(self):
        """Never hold anything back."""
        return False

    too_few_away = too_many_away


def at_home(placed, keys=1000):
    """Return the part of many keys that this region keeps while all is idle."""
    placed.guard = OpenGuard()
    names = map(str, range(keys))
    domains = [chosen(placed, key=name).failure_domain for name in names]
    return sum(REGION_OF[domain] == "a" for domain in domains) / keys


def test_a_region_keeps_the_keys_that_its_slots_would_bear():
    # A region has two of eight slots and half of the callers. Serving keys at home
    # whenever there happens to be room makes each of them cold at home and elsewhere.
    placed = few_at_home()
    assert at_home(placed) == 1.0
    placed.set_demand(0.5)
    kept = at_home(placed)
    assert abs(kept - HOME_MORE * 0.25 / 0.5) < 0.05


def test_a_region_with_slots_enough_keeps_all_its_keys():
    placed = few_at_home()
    placed.set_demand(0.2)
    assert at_home(placed) == 1.0


def test_a_settled_key_has_the_same_place_each_time():
    placed = few_at_home()
    placed.guard = OpenGuard()
    placed.set_demand(0.5)
    for number in range(100):
        key = str(number)
        assert len({chosen(placed, key=key).server_id for _ in range(5)}) == 1


def test_a_key_settled_elsewhere_is_served_at_home_when_all_else_is_full():
    placed = few_at_home()
    placed.set_demand(0.5)
    for server in placed.servers.values():
        if server.region == "b":
            fill(server, 3)
    assert {chosen(placed, key=str(number)).server_id for number in range(30)} == {"a0"}


def test_settled_keys_move_away_no_faster_than_the_share_may_rise():
    # Callers of a whole failure domain arrive at once and the region's part of all
    # requests doubles. What its slots would not bear leaves over seconds, not at once.
    placed = few_at_home()
    for number in range(400):
        server = placed.choose(ask(key=str(number)), NOW + number / 100).server
        placed.guard.served(away=server.region != "a")
    placed.set_demand(0.5)
    away = 0
    for number in range(200):
        server = placed.choose(ask(key=str(number)), NOW + 4 + number / 100).server
        placed.guard.served(away=server.region != "a")
        away += server.region != "a"
    assert away / 200 < 0.15


def test_the_slots_of_an_evacuated_domain_bear_nothing():
    placed = placement(
        entry("a0", "a1"), entry("a1", "a2"), entry("b0", "b1"), entry("b1", "b1")
    )
    placed.set_demand(0.5)
    assert at_home(placed) == 1.0
    placed.set_evacuated(["a2"], NOW)
    placed.set_demand(0.5)
    kept = at_home(placed)
    assert abs(kept - HOME_MORE * (1 / 3) / 0.5) < 0.05


class FallingGuard(OpenGuard):
    """A guard whose share served elsewhere may not fall any further."""

    allowed = 0.5

    def too_few_away(self):
        """Always keep some away."""
        return True


def test_the_keys_kept_elsewhere_for_a_while_are_the_settled_ones_first():
    # A wave of callers leaves, and what was served elsewhere comes home over seconds.
    # If other keys than the settled ones were kept away, they would be cold there.
    placed = few_at_home()
    placed.set_demand(0.5)
    placed.guard = OpenGuard()
    keys = [str(number) for number in range(200)]
    settled = {key for key in keys if chosen(placed, key=key).failure_domain == "b1"}
    placed.set_demand(0.0)
    placed.guard = FallingGuard()
    kept = {key for key in keys if chosen(placed, key=key).failure_domain == "b1"}
    assert settled
    assert kept
    assert settled >= kept or kept >= settled
