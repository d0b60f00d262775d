"""Reads the settings file that the platform renders from the template in `deploy`."""

import os
from dataclasses import fields

from ..checks import Reader
from ..core.policy import Policy
from ..errors import SettingsError
from ..gateway.settings import Bounds, GatewaySettings
from ..settings import read_json

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "LACEWINGCROSS_BOOT"

# Fields of `Bounds` by the platform's names for these guarantees. The platform may add
# names and requires that a host ignores names that it does not know.
_BOUND_FIELDS = {
    "drain_s": "drain_s",
    "grace_s": "grace_s",
    "config_apply_s": "config_apply_s",
    "evacuation_s": "evacuation_s",
    "ttl_max_s": "lookup_ttl_max_s",
    "stable_window_s": "stable_window_s",
    "retry_budget_ratio": "retry_ratio",
    "budget_window_s": "retry_window_s",
    "retry_budget_extra": "retry_extra",
    "cold_over": "cold_over",
    "cold_slack": "cold_slack",
    "max_shift": "max_shift",
    "quota_window_s": "quota_window_s",
    "quota_excess": "quota_excess",
    "quota_slack": "quota_slack",
}


def settings_path() -> str:
    """Return the path in `SETTINGS_VARIABLE`, or an empty string if it is not set."""
    return os.environ.get(SETTINGS_VARIABLE, "")


def load_gateway(path: str) -> GatewaySettings:
    """Read the settings of an entry host.

    Parameters
    ----------
    path : str
        Path of the settings file.

    Raises
    ------
    SettingsError
        With a message that names the file, the field and the expected value.
    """
    reader = Reader(read_json(path), path, SettingsError)
    cfg = GatewaySettings(
        host_id=reader.name("host_id"),
        region=reader.name("region"),
        failure_domain=reader.name("failure_domain"),
        region_of=_read_regions(reader),
        entry=reader.address("entry"),
        readiness=reader.address("readiness"),
        peer=reader.address("peer"),
        peer_listen=reader.text("peer_listen", ""),
        directory=reader.address("directory"),
        platform=reader.address("platform"),
        seeds=tuple(reader.addresses("seeds", [])),
        first_start=reader.boolean("first_start", False),
        max_descriptors=reader.integer("max_descriptors", 4096, low=64),
        cores=_read_cores(reader),
        memory_mb=reader.integer("memory_mb", 256, low=32),
        heartbeat_s=reader.number("heartbeat_s", 1.5),
        metrics_port=reader.integer("metrics_port", 9464, low=0, high=65535),
        log_level=reader.text("log_level", "INFO"),
        bounds=_read_bounds(reader),
        policy=_read_policy(reader),
    )
    reader.finish()
    return cfg


def _read_cores(reader: Reader) -> float:
    """Return the processor time of a host, in seconds of an ordinary core a second.

    It is the share of a core that the host gets, times the speed of that core.
    """
    share = reader.number("processor_share", 1.0, low=0.01)
    return share * reader.number("processor_speed", 1.0, low=0.01)


def _read_regions(reader: Reader) -> dict[str, str]:
    value = reader.raw("failure_domains")
    valid = isinstance(value, dict) and all(
        isinstance(region, str) for region in value.values()
    )
    if not valid:
        raise reader.fail("failure_domains", "an object of domain: region", value)
    return dict(value)


def _read_bounds(reader: Reader) -> Bounds:
    data = reader.raw("bounds", {})
    if not isinstance(data, dict):
        raise reader.fail("bounds", "an object of name: number", data)
    values = {}
    for name, field in _BOUND_FIELDS.items():
        if name in data:
            values[field] = _number(reader, name, data[name])
    return Bounds(**values)


def _read_policy(reader: Reader) -> Policy:
    data = reader.raw("policy", {})
    field_names = {field.name for field in fields(Policy)}
    valid = isinstance(data, dict) and all(
        name in field_names and isinstance(value, bool) for name, value in data.items()
    )
    if not valid:
        expected = "an object of switch: true or false, with " + ", ".join(
            sorted(field_names)
        )
        raise reader.fail("policy", expected, data)
    return Policy(**data)


def _number(reader: Reader, name: str, value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise reader.fail(f"bounds.{name}", "a number", value)
    return float(value)
