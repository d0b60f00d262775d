"""Claims of idempotency keys: two owners, lost responses and platform outages.

No key is claimed twice.
"""

import random
from collections import Counter

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lacewingcross.core import actions as act
from lacewingcross.core import claims as cl
from lacewingcross.core import messages as msg
from lacewingcross.core.events import ObjectsLoaded, StoredSpec, WriteEnded
from lacewingcross.core.membership import HostInfo, Membership
from lacewingcross.core.store_position import StorePosition
from lacewingcross.core.view import View

OWN = HostInfo("own", "r", "d", "127.0.0.1:1", "127.0.0.1:2")
KEYS = [cl.hash_key("s", f"key-{num}") for num in range(400)]
SHARD = cl.shard_of(KEYS[0])
KEYS = [key for key in KEYS if cl.shard_of(key) == SHARD][:6]


def keeper():
    return cl.ClaimKeeper(View(Membership(OWN), 1, random.Random(1)))


class Owners(RuleBasedStateMachine):
    """Two hosts that both consider themselves the owner of one shard."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = {}
        self.version = 0
        self.keepers = {"a": keeper(), "b": keeper()}
        self.calls = {"a": [], "b": []}
        self.asked = 0
        self.keys = {}
        self.outcomes = {}
        self.freed = set()
        self.refused = set()
        self.writes = 0

    def _take(self, name, actions):
        for action in actions:
            if isinstance(action, act.SendPeer):
                message = action.message
                if message.outcome == cl.UNAVAILABLE:
                    # The host must refuse the request and free its key.
                    self.refused.add(message.claim)
                self.outcomes.setdefault(message.claim, []).append(message.outcome)
            elif isinstance(action, act.DeleteObject):
                self.store.pop(action.key, None)
            elif not isinstance(action, act.Count | act.Log):
                self.calls[name].append(action)

    @rule(name=st.sampled_from("ab"), key=st.sampled_from(KEYS))
    def claim(self, name, key):
        self.asked += 1
        claim = f"c{self.asked}"
        self.keys[claim] = key
        message = msg.Claim("s", f"r{self.asked}", key, claim)
        self._take(name, self.keepers[name].on_claim("h", message, self.now))

    @precondition(lambda self: self.keys)
    @rule(data=st.data(), name=st.sampled_from("ab"))
    def free(self, data, name):
        claim = data.draw(st.sampled_from(sorted(self.keys)))
        self.freed.add(claim)
        message = msg.Unclaim("s", self.keys[claim], claim)
        self._take(name, self.keepers[name].on_unclaim(message, self.now))

    @rule(seconds=st.floats(0.02, 1.0))
    def pass_time(self, seconds):
        self.now += seconds
        for name, owner in self.keepers.items():
            self._take(name, owner.tick(self.now))

    @rule(name=st.sampled_from("ab"), key=st.sampled_from(KEYS))
    def claim_and_settle(self, name, key):
        """Complete a claim without faults, so that runs reach more states."""
        self.claim(name, key)
        for _ in range(6):
            self.pass_time(0.6)
            while self.calls[name]:
                self._answer(name, "done")

    @precondition(lambda self: any(self.calls.values()))
    @rule(data=st.data(), result=st.sampled_from(["done", "done", "lost", "down"]))
    def platform_answers(self, data, result):
        name = data.draw(st.sampled_from([n for n in "ab" if self.calls[n]]))
        self._answer(name, result)

    def _answer(self, name, result):
        action = self.calls[name].pop(0)
        if isinstance(action, act.LoadObjects):
            objects = None if result == "down" else self._listed()
            event = ObjectsLoaded(action.call_id, objects)
            self._take(name, self.keepers[name].loaded(event, self.now))
            return
        outcome = "unavailable" if result == "down" else self._write(action)
        version = self.version if outcome == "ok" else 0
        if result == "lost":
            outcome = "unavailable"
        ended = WriteEnded(action.call_id, outcome, version)
        self._take(name, self.keepers[name].write_ended(ended, self.now))

    def _listed(self):
        return [
            StoredSpec(key.partition("/")[2], version, spec)
            for key, (version, spec) in self.store.items()
        ]

    def _write(self, action):
        known = self.store.get(action.key)
        if isinstance(action, act.CreateObject):
            if known is not None:
                return "conflict"
        elif known is None or known[0] != action.if_version:
            return "conflict"
        self.version += 1
        self.writes += 1
        self.store[action.key] = (self.version, action.spec)
        return "ok"

    @invariant()
    def a_key_is_claimed_by_one_request_unless_it_was_freed(self):
        holders = Counter()
        for claim, outcomes in self.outcomes.items():
            assert len(set(outcomes)) == 1
            if outcomes[0] == cl.CLAIMED and claim not in self.freed:
                holders[self.keys[claim]] += 1
        assert all(count <= 1 for count in holders.values())


TestOwners = Owners.TestCase
TestOwners.settings = settings(max_examples=60, stateful_step_count=40)


class SmallHeads(Owners):
    """The same with heads that move to segments after two claims."""

    def __init__(self):
        super().__init__()
        cl.MAX_HEAD_CLAIMS = 2

    def teardown(self):
        cl.MAX_HEAD_CLAIMS = 400


TestSmallHeads = SmallHeads.TestCase
TestSmallHeads.settings = settings(max_examples=60, stateful_step_count=40)


class Faultless:
    """One owner and a platform without faults."""

    def __init__(self):
        self.owner = keeper()
        self.now = 0.0
        self.writes = 0
        self.store = {}
        self.answers = []

    def take(self, actions):
        todo = list(actions)
        while todo:
            action = todo.pop(0)
            if isinstance(action, act.SendPeer):
                self.answers.append(action.message.outcome)
            elif isinstance(action, act.LoadObjects):
                loaded = ObjectsLoaded(action.call_id, [])
                todo += self.owner.loaded(loaded, self.now)
            elif isinstance(action, act.CreateObject | act.UpdateObject):
                self.writes += 1
                self.store[action.key] = action.spec
                ended = WriteEnded(action.call_id, "ok", self.writes)
                todo += self.owner.write_ended(ended, self.now)

    def claim(self, key, claim):
        message = msg.Claim("s", claim, key, claim)
        self.take(self.owner.on_claim("h", message, self.now))

    def free(self, key, claim):
        message = msg.Unclaim("s", key, claim)
        self.take(self.owner.on_unclaim(message, self.now))

    def tick(self, seconds=0.1):
        self.now += seconds
        self.take(self.owner.tick(self.now))


def test_many_claims_cost_few_writes():
    """An hourly surge of keyed bookings; the platform takes a few hundred writes."""
    platform = Faultless()
    for num in range(2_000):
        platform.claim(cl.hash_key("s", f"surge-{num}"), f"c{num}")
        platform.now += 0.002
        if num % 10 == 0:
            platform.tick(0.0)
    platform.tick(1.0)
    assert platform.answers == [cl.CLAIMED] * 2_000
    assert platform.writes < 700
    assert all(len(str(spec)) < 60_000 for spec in platform.store.values())


def test_key_claimed_again_stays_claimed_in_segments(monkeypatch):
    """A key is freed and claimed again, and both claims have moved to segments.

    Guards against a second run of a booking: the first request's host frees its key
    again, and a third copy of the booking would run if the second request's claim
    counted as freed. A key is freed only from the claim that the message names.
    """
    monkeypatch.setattr(cl, "MAX_HEAD_CLAIMS", 2)
    platform = Faultless()

    def claim(key, name):
        platform.answers.clear()
        platform.claim(key, name)
        platform.tick()
        return platform.answers[:]

    key, *others = KEYS
    assert claim(key, "first") == [cl.CLAIMED]
    for index, other in enumerate(others[:3]):
        claim(other, f"x{index}")
    platform.free(key, "first")
    platform.tick()
    assert claim(key, "second") == [cl.CLAIMED]
    for index, other in enumerate(KEYS[4:] + others[:1]):
        platform.free(other, f"x{index}")
        platform.tick()
        claim(other, f"y{index}")
    assert len([name for name in platform.store if "/s" in name]) >= 2
    platform.free(key, "first")
    platform.tick()
    assert claim(key, "third") == [cl.TAKEN]


def test_a_claim_that_the_store_lost_still_holds_and_is_written_again():
    # Guards against a booking that runs twice: the store was restored from a copy from
    # before the claim of its key.
    model = Owners()
    model.claim_and_settle("a", KEYS[0])
    backup = dict(model.store)
    model.claim_and_settle("a", KEYS[1])
    model.version = StorePosition(1, model.version).version
    model.store = {
        key: (StorePosition(1, version).version, spec)
        for key, (version, spec) in backup.items()
    }
    model.claim_and_settle("a", KEYS[2])
    model.claim_and_settle("a", KEYS[1])
    assert [model.outcomes[f"c{num}"] for num in (1, 2, 3, 4)] == [
        [cl.CLAIMED],
        [cl.CLAIMED],
        [cl.CLAIMED],
        [cl.TAKEN],
    ]
    model.claim_and_settle("b", KEYS[1])
    assert model.outcomes["c5"] == [cl.TAKEN]
