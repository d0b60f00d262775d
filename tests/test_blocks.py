"""Block tables in shards: they give an address the same group as its network."""

import json

import hypothesis.strategies as st
import pytest
from hypothesis import given

from lacewingcross.cli import blocks as command
from lacewingcross.core.blocks import BlockIndex, pack
from lacewingcross.core.config import Config, Entry
from lacewingcross.core.resources import encode_value, parse
from lacewingcross.errors import ResourceError, UserError

GROUPS = ("north", "south", "west")


def policy(table):
    groups = [{"name": name, "blocks": [], "weights": {name: 1}} for name in GROUPS]
    return {"groups": groups, "block_table": table}


def config_with(items, table="clients"):
    config = Config()
    entries = [Entry("SteeringPolicy/s", 1, encode_value({"spec": policy(table)}))]
    for version, item in enumerate(items, 2):
        text = encode_value({"spec": item["spec"]})
        entries.append(Entry(f"BlockTable/{item['name']}", version, text))
    config.merge(entries, 100, True)
    assert not config.rejected
    return config


blocks = st.tuples(st.integers(0, 2**24 - 1), st.sampled_from(GROUPS))


@given(st.lists(blocks, max_size=20), st.lists(st.integers(0, 2**32 - 1)))
def test_shards_give_the_same_groups_as_one_index(pairs, probes):
    named = {}
    for block, group in pairs:
        address = block << 8
        text = ".".join(str(address >> shift & 255) for shift in (24, 16, 8, 0))
        named[f"{text}/24"] = group
    index = BlockIndex((net, GROUPS.index(group)) for net, group in named.items())
    before = command.SHARD_BLOCKS
    command.SHARD_BLOCKS = 3
    try:
        config = config_with(list(command.shards(list(named.items()), "clients")))
    finally:
        command.SHARD_BLOCKS = before
    for address in [*probes, *(block << 8 for block, _ in pairs)]:
        found = index.find(address)
        expected = GROUPS[found] if found < len(GROUPS) else GROUPS[0]
        assert config.group_of("s", address) == expected


def test_a_shard_can_be_replaced_and_deleted():
    first, *_ = command.shards([("10.0.0.0/8", "south")], "clients")
    config = config_with([first])
    assert config.group_of("s", 10 << 24) == "south"
    second, *_ = command.shards([("10.0.0.0/8", "west")], "clients")
    text = encode_value({"spec": second["spec"]})
    config.merge([Entry(f"BlockTable/{first['name']}", 200, text)], 200, True)
    assert config.group_of("s", 10 << 24) == "west"
    config.merge([Entry(f"BlockTable/{first['name']}", 201, "")], 201, True)
    assert config.group_of("s", 10 << 24) == "north"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"starts": "!"}, "base64"),
        ({"starts": pack("I", [5, 4])}, "rising"),
        ({"starts": pack("I", [1])}, "one a start"),
        ({"members": pack("H", [0, 7])}, "below the number"),
        ({"first": "10.0.0.1.2"}, "IPv4"),
    ],
)
def test_invalid_shards_are_refused_with_the_reason(change, reason):
    spec = {
        "first": "0.0.0.4",
        "groups": ["a"],
        "starts": pack("I", [4, 5]),
        "members": pack("H", [0, 0]),
    }
    assert parse("BlockTable", "t-0", spec)
    with pytest.raises(ResourceError) as caught:
        parse("BlockTable", "t-0", {**spec, **change})
    assert reason in caught.value.message


def test_command_writes_valid_shards_and_names_invalid_lines(tmp_path):
    source = tmp_path / "clients.csv"
    target = tmp_path / "clients.json"
    source.write_text("10.1.0.0/16,north\n\n10.1.2.0/24, south\n")
    command.pack_blocks(str(source), table="clients", to=str(target))
    (item,) = json.loads(target.read_text())["items"]
    shard = parse(item["kind"], item["name"], item["spec"])
    assert shard.group((10 << 24) + (1 << 16) + (2 << 8)) == "south"
    source.write_text("10.1.0.0/16,north\n10.1.2.3/24,south\n")
    with pytest.raises(UserError) as caught:
        command.pack_blocks(str(source), table="clients", to=str(target))
    assert "clients.csv:2" in caught.value.message
