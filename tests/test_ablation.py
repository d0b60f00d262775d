"""The ablation command: the switch in a copy's settings, and the table of worths."""

import json
from pathlib import Path

import pytest

from bench.ablation import (
    ALL_ON,
    TEMPLATE,
    Play,
    PlayResult,
    switch_off,
    table,
    worth_of,
)
from lacewingcross.core.policy import Policy
from lacewingcross.errors import SettingsError
from lacewingcross.platform.settings import load_gateway
from tests.test_platform_settings import rendered

SITE = Path("a/site.toml")


def settings(tmp_path, policy):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**json.loads(rendered()), "policy": policy}))
    return str(path)


def test_a_switch_is_read_from_the_settings(tmp_path):
    cfg = load_gateway(settings(tmp_path, {"fastest": False}))
    assert cfg.policy == Policy(fastest=False)


@pytest.mark.parametrize("policy", [{"speed": False}, {"fastest": 0}, [], "fastest"])
def test_a_switch_that_does_not_exist_is_refused_by_field(tmp_path, policy):
    with pytest.raises(SettingsError) as caught:
        load_gateway(settings(tmp_path, policy))
    assert "policy" in str(caught.value)


def test_the_template_of_a_copy_gets_the_switch(tmp_path):
    path = tmp_path / TEMPLATE
    path.parent.mkdir()
    path.write_text('{\n  "host_id": "h"\n}\n')
    switch_off(tmp_path, "fastest")
    assert json.loads(path.read_text()) == {
        "host_id": "h",
        "policy": {"fastest": False},
    }


def test_the_table_tells_what_each_mechanism_is_worth():
    plays = [(ALL_ON, 0.6), (ALL_ON, 0.7), ("fastest", 0.6), ("fastest", None)]
    results = [PlayResult(Play(name, SITE, "day", 0), worth) for name, worth in plays]
    assert list(table(results)) == [
        "| off | site |",
        "|---|---|",
        "| (nothing) | 0.650 |",
        "| fastest | 0.600 (-0.050) |",
    ]


def test_the_worth_is_read_from_what_a_play_prints():
    assert worth_of("day\n\nworth 0.631 = whole day 0.77\n") == 0.631
    assert worth_of("the day was given up") is None
