"""Settings files that the platform renders from the template in `deploy`."""

import json
import re
from pathlib import Path

import pytest

from lacewingcross.errors import SettingsError
from lacewingcross.platform.settings import load_gateway

TEMPLATE = Path(__file__).parent.parent / "deploy" / "host.json.tmpl"
PLACEHOLDERS = {
    "node": "front-a-1",
    "region": "north",
    "zone": "a",
    "zones": {"a": "north", "b": "south"},
    "listen.front": "10.1.0.1:8548",
    "listen.ready": "10.1.0.1:8542",
    "listen.control": "10.1.0.1:8544",
    "listen.directory": "10.1.0.1:8546",
    "seeds": ["10.1.0.1:8544"],
    "platform.address": "10.2.0.1:8541",
    "bootstrap": True,
    "limits.max_fds": 4100,
    "limits.cpu_share": 0.7,
    "limits.cpu_cores": 3,
    "limits.memory_mb": 300,
    "heartbeat_s": 1.5,
    "bounds": {"drain_s": 3, "cold_over": 1.5, "retry_budget_extra": 64, "new": "x"},
}


def rendered(**changes):
    """Return the template with its JSON placeholders filled in as by the platform."""
    values = {**PLACEHOLDERS, **changes}
    text = TEMPLATE.read_text()
    return re.sub(
        r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(values[match[1]]), text
    )


def load(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    return load_gateway(str(path))


def test_the_template_contains_all_settings_that_a_host_needs(tmp_path):
    cfg = load(tmp_path, rendered())
    assert cfg.host_id == "front-a-1"
    assert cfg.region_of == {"a": "north", "b": "south"}
    assert round(cfg.cores, 3) == 2.1
    assert cfg.peer == "10.1.0.1:8544"
    assert cfg.bounds.drain_s == 3.0
    assert cfg.bounds.retry_extra == 64.0
    assert cfg.bounds.grace_s == 6.0


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("listen.front", "nowhere"),
        ("zones", ["a"]),
        ("bounds", ["drain_s=3"]),
        ("bounds", {"drain_s": "soon"}),
        ("node", ""),
        ("seeds", "10.1.0.1:8544"),
    ],
)
def test_invalid_settings_raise_a_bad_field_error(tmp_path, field, value):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, rendered(**{field: value}))
    assert caught.value.code == "bad-field"


def test_settings_that_are_not_json_have_their_own_error_code(tmp_path):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, "node: x")
    assert caught.value.code == "bad-json"
