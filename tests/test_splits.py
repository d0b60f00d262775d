"""Split routes: proportions kept, keys kept together."""

import pytest

from lacewingcross.core.routes import Part
from lacewingcross.core.splits import Splitter
from tests.test_routes import route


def splitter(*weights):
    parts = tuple(Part(f"s{i}", weight) for i, weight in enumerate(weights))
    plain = route("r")
    plain = type(plain)(
        **{name: getattr(plain, name) for name in plain.__slots__ if name != "parts"},
        parts=parts,
    )
    return Splitter(plain)


def shares(split, keys):
    picked = [split.pick(key) for key in keys]
    return {name: picked.count(name) / len(picked) for name in set(picked)}


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2, 7)])
@pytest.mark.parametrize("objects", [3, 24, 500])
def test_proportions_hold_however_few_keys_there_are(weights, objects):
    # An operator sends a tenth of a route to a new service. With few objects, a split
    # by key alone gives a service all or nothing of its share.
    keys = [str(number % objects) for number in range(3000)]
    got = shares(splitter(*weights), keys)
    for index, weight in enumerate(weights):
        expected = weight / sum(weights)
        assert got.get(f"s{index}", 0) == pytest.approx(expected, abs=0.05)


def test_one_hot_key_does_not_exceed_the_weight_of_its_service():
    got = shares(splitter(50, 50), ["hot"] * 1000)
    assert got["s0"] == pytest.approx(0.5, abs=0.05)


def test_most_keys_keep_to_one_service():
    split = splitter(50, 50)
    seen = {}
    for number in range(4000):
        seen.setdefault(str(number % 400), []).append(split.pick(str(number % 400)))
    kept = sum(max(p.count("s0"), p.count("s1")) for p in seen.values())
    assert kept / 4000 > 0.9
