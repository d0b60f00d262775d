"""Components of the core compared with naive versions of them.

Events are reordered, duplicated and lost.
"""

import random
from collections import Counter
from ipaddress import IPv4Address, IPv4Network

import hypothesis.strategies as st
from hypothesis import given
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lacewingcross.core import messages as msg
from lacewingcross.core.blocks import NO_GROUP, BlockIndex
from lacewingcross.core.config import Config, Entry
from lacewingcross.core.keeper import SlotKeeper
from lacewingcross.core.plan import (
    BUCKETS,
    Plan,
    apportion,
    decode_plan,
    encode_plan,
    fresh_table,
    move_towards,
)
from lacewingcross.core.planner import Planner, PlannerInput
from lacewingcross.core.resources import (
    BackendPool,
    BackendServer,
    ClientGroup,
    ShiftCap,
    SteeringPolicy,
    encode_value,
)
from lacewingcross.core.slew import EffectivePlan

REGIONS = ("a", "b", "c")


def _network(base, length):
    return str(IPv4Network((base, length), strict=False))


networks = st.builds(_network, st.integers(0, 2**32 - 1), st.integers(4, 30))


@given(
    st.lists(networks, max_size=12, unique=True), st.lists(st.integers(0, 2**32 - 1))
)
def test_block_index_finds_what_a_scan_finds(nets, probes):
    pairs = [(net, index) for index, net in enumerate(nets)]
    index = BlockIndex(pairs)
    edges = [int(IPv4Network(net)[0]) for net in nets]
    edges += [int(IPv4Network(net)[-1]) for net in nets]
    for address in probes + edges:
        holding = [
            (IPv4Network(net).prefixlen, group)
            for net, group in pairs
            if IPv4Address(address) in IPv4Network(net)
        ]
        expected = max(holding)[1] if holding else NO_GROUP
        assert index.find(address) == expected


@given(st.data())
def test_config_merge_is_the_highest_version_whatever_the_order(data):
    keys = [f"ShiftCap/s{num}" for num in range(3)]
    history = []
    for version in range(1, data.draw(st.integers(1, 12)) + 1):
        key = data.draw(st.sampled_from(keys))
        deleted = data.draw(st.booleans())
        spec = {"fraction": version / 100, "window_s": 5.0}
        text = "" if deleted else encode_value({"spec": spec})
        history.append(Entry(key, version, text))
    delivered = data.draw(st.lists(st.sampled_from(history), max_size=30))
    config = Config()
    highest = {}
    for entry in delivered:
        before = dict(highest)
        config.merge([entry], 0, False)
        known = highest.get(entry.key)
        if known is None or known.version < entry.version:
            highest[entry.key] = entry
        for key, old in before.items():
            assert config.entries[key].version >= old.version
    assert config.entries == highest
    live = {key.partition("/")[2] for key, entry in highest.items() if entry.text}
    assert set(config.caps) == live


@given(st.dictionaries(st.sampled_from(REGIONS), st.floats(0, 100), min_size=1))
def test_apportion_gives_every_bucket_once(weights):
    counts = apportion(weights)
    if any(weight > 0 for weight in weights.values()):
        assert sum(counts.values()) == BUCKETS
    else:
        assert not counts


counts = st.lists(st.integers(0, BUCKETS), min_size=2, max_size=2).map(
    lambda cuts: Counter(
        dict(
            zip(
                REGIONS,
                (
                    min(cuts),
                    max(cuts) - min(cuts),
                    BUCKETS - max(cuts),
                ),
                strict=True,
            )
        )
    )
)


@given(counts, counts, st.integers(0, BUCKETS))
def test_move_towards_moves_as_few_as_possible(current, target, budget):
    table = fresh_table(current)
    moved_table, moved = move_towards(table, target, budget)
    changed = sum(x != y for x, y in zip(table, moved_table, strict=True))
    needed = sum(max(0, target[reg] - current[reg]) for reg in REGIONS)
    assert changed == moved == min(budget, needed)
    plan = Plan("s", {"g": moved_table})
    assert decode_plan("s", encode_plan(plan)).tables == plan.tables


@given(st.data())
def test_host_limit_holds_for_any_plans_and_times(data):
    cap = ShiftCap("s", 0.1, 5.0)
    effective = EffectivePlan()
    now = 0.0
    effective.adopt(Plan("s", {"g": fresh_table({"a": BUCKETS})}), cap, now)
    series = [(now, list(effective.tables["g"]))]
    for _ in range(data.draw(st.integers(1, 15))):
        now += data.draw(st.floats(0, 4))
        if data.draw(st.booleans()):
            table = fresh_table(data.draw(counts))
            effective.adopt(Plan("s", {"g": table}), cap, now)
        else:
            effective.advance(cap, now)
        series.append((now, list(effective.tables["g"])))
        pairs = zip(effective.tables["g"], effective.wanted.tables["g"], strict=True)
        assert effective.behind() == sum(current != want for current, want in pairs)
    for index, (at, table) in enumerate(series):
        for later, later_table in series[index:]:
            if later - at <= cap.window_s:
                moved = sum(x != y for x, y in zip(table, later_table, strict=True))
                assert moved <= 100


class Planners(RuleBasedStateMachine):
    """Two planners on one store: restarts, stale views, lost responses, any target."""

    WINDOW_S = 5.0

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.target = "b"
        self.stored = Plan("s", {"g": fresh_table({"a": BUCKETS})})
        self.version = 1
        self.views = {}
        self.planners = {}
        self.starts = 0
        self.history = [(self.now, list(self.stored.tables["g"]))]
        for name in ("p", "q"):
            self._start(name)

    def _start(self, name):
        self.starts += 1
        self.planners[name] = Planner("s", f"{name}.{self.starts}")
        self._read(name)

    def _read(self, name):
        self.views[name] = (self.version, self.stored)
        self.planners[name].on_plan(self.stored, self.now)

    @rule(seconds=st.floats(0.1, 6))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from("pq"))
    def read(self, name):
        self._read(name)

    @rule(name=st.sampled_from("pq"))
    def restart(self, name):
        self._start(name)

    @rule(region=st.sampled_from(REGIONS))
    def operator_changes_mind(self, region):
        self.target = region

    @rule(name=st.sampled_from("pq"), seconds=st.sampled_from((1.0, 1.5, 2.5)))
    def wait_read_and_plan(self, name, seconds):
        self.now += seconds
        self._read(name)
        self.plan(name)

    @rule(name=st.sampled_from("pq"))
    def plan(self, name):
        planner = self.planners[name]
        for region in REGIONS:
            load = msg.RegionLoad("s", region, 1, 0, 1000.0, 1.0)
            planner.on_load(load, self.now)
        version, plan = self.views[name]
        step = planner.step(plan, self._given(), self.now)
        if step is not None and version == self.version:
            # The response to the write is lost: the writer may receive the new plan
            # later from its watch, or never.
            self.version += 1
            self.stored = step.plan
            self.history.append((self.now, list(step.plan.tables["g"])))

    def _given(self):
        servers = tuple(
            BackendServer(f"s{reg}", "127.0.0.1:1", reg, reg, 1000, 400)
            for reg in REGIONS
        )
        policy = SteeringPolicy("s", (ClientGroup("g", (), {self.target: 1.0}),))
        return PlannerInput(
            policy,
            BackendPool("s", servers),
            ShiftCap("s", 0.1, self.WINDOW_S),
            frozenset(),
            frozenset(),
        )

    @invariant()
    def stored_plans_stay_under_the_cap(self):
        newest_at, newest = self.history[-1]
        for at, table in self.history:
            if newest_at - at <= self.WINDOW_S:
                moved = sum(x != y for x, y in zip(table, newest, strict=True))
                assert moved <= 100


TestPlanners = Planners.TestCase


class Keepers(RuleBasedStateMachine):
    """One slot keeper compared with a naive count of the slots that hosts may use."""

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.keeper = SlotKeeper("s", "r", 1, random.Random(1))
        self.slots = {"s0": 2, "s1": 3}
        self.leaving = set()
        self.keeper.limit = 4.0
        self._declare()
        self.waiting = {}
        self.granted = {}
        self.answered = Counter()
        self.asked = 0

    def _declare(self):
        servers = [
            BackendServer(name, "127.0.0.1:1", "r", "d", slots, 400)
            for name, slots in self.slots.items()
        ]
        self.keeper.servers.declare(iter(servers), self.leaving, self.now)

    def _check_replies(self, replies):
        for reply in replies:
            message = reply.message
            self.answered[message.request_id] += 1
            self.waiting.pop(message.request_id, None)
            if isinstance(message, msg.Grant):
                assert message.server_id not in self.leaving
                self.granted[message.permit] = (message.server_id, self.now + 5.0)
            else:
                assert message.retry_after_s > 0

    @rule(remaining=st.floats(0.05, 3.0))
    def ask(self, remaining):
        self.asked += 1
        request_id = f"r{self.asked}"
        self.waiting[request_id] = self.now + remaining
        ask = msg.Acquire("s", "r", request_id, remaining, [])
        self._check_replies(self.keeper.acquire("h", ask, self.now))

    @precondition(lambda self: self.granted)
    @rule(data=st.data(), result=st.sampled_from(["answered", "failed", "shed"]))
    def release(self, data, result):
        permit = data.draw(st.sampled_from(sorted(self.granted)))
        server_id, _ = self.granted.pop(permit)
        done = msg.Release("s", "r", permit, server_id, result, 0.05)
        for _ in range(data.draw(st.integers(1, 2))):
            self._check_replies(self.keeper.release(done, self.now))

    @rule(seconds=st.floats(0.01, 2.0))
    def pass_time(self, seconds):
        self.now += seconds
        held = [(server, permit) for permit, (server, _) in self.granted.items()]
        self.keeper.renew("h", held, self.now)
        self._check_replies(self.keeper.tick(self.now))

    @rule(name=st.sampled_from(["s0", "s1"]))
    def drain_or_return(self, name):
        self.leaving ^= {name}
        self._declare()

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def caller_leaves(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        self.keeper.withdraw("h", request_id)
        del self.waiting[request_id]
        self.answered[request_id] += 1

    @invariant()
    def no_server_is_given_more_than_its_slots(self):
        used = Counter(server for server, _ in self.granted.values())
        for name, count in used.items():
            assert count <= self.slots[name]
        assert len(self.granted) <= 4

    @invariant()
    def every_ask_has_one_answer_or_waits(self):
        assert all(count == 1 for count in self.answered.values())
        queued = {item.request_id for item in self.keeper.queue}
        assert queued == set(self.waiting)

    @invariant()
    def nothing_waits_past_its_deadline_after_a_tick(self):
        self._check_replies(self.keeper.tick(self.now))
        for deadline in self.waiting.values():
            assert deadline >= self.now


TestKeepers = Keepers.TestCase
