"""Decodes the objects of the platform's store into the project's types."""

import contextlib
from collections.abc import Iterator
from math import isfinite

from ..checks import is_label, is_remote_address
from ..core.accounts import Accounts, ClientAccount
from ..core.backend_state import ServerEntry
from ..core.quotas.bound import Quota
from ..core.replica import Kind
from ..core.routes import CallerLimits, Configuration, Part, Route, Service
from ..errors import PlatformError, UserError

# Kinds in the paths of the object API.
KIND_PATHS = {
    Kind.CONFIG: "config",
    Kind.EVACUATION: "evacuations",
    Kind.SERVER: "servers",
    Kind.QUARANTINE: "quarantined-requests",
}
HOSTS_PATH = "entry-hosts"
LAST_CONFIGURATIONS_PATH = "last-configurations"
CONFIG_NAME = "main"
# Whether a backend server is draining, by the state in its entry.
DRAINING_BY_STATE = {"ready": False, "draining": True}
# Largest whole number that an entry may hold: what a double represents exactly.
MAX_INTEGER = 2**53
# No server runs this many requests at a time; more is an error of the writer.
MAX_SLOTS = 100_000


def decode_configuration(spec: object) -> Configuration:
    """Return the configuration in ``config/main``.

    Raises
    ------
    PlatformError
        With code ``bad-object`` when a field is missing or cannot be read.
    AccountError
        When two accounts have the same API key.
    """
    with _decoding("configuration"):
        services = {
            name: _service(name, data) for name, data in spec["services"].items()
        }
        routes = tuple(_route(name, data) for name, data in spec["routes"].items())
        return Configuration(
            _version(spec),
            routes,
            services,
            _limits(spec),
            _accounts(spec),
        )


def stored_version(spec: object) -> int:
    """Return the version of a configuration, 0 if it cannot be read."""
    with contextlib.suppress(UserError), _decoding("version"):
        return _version(spec)
    return 0


@contextlib.contextmanager
def _decoding(what: str) -> Iterator[None]:
    """Turn any failure in the block into a `PlatformError` with code ``bad-object``.

    Any program may have stored any value, so any step of a decoder may fail on it.
    """
    try:
        yield
    except UserError:
        raise
    except Exception as exc:
        raise PlatformError("bad-object", f"{what:.80}: {repr(exc)[:200]}") from exc


def _version(spec: dict) -> int:
    version = int(spec["version"].lstrip("r"))
    if not 0 <= version <= MAX_INTEGER:
        raise ValueError(f"version: expected at most {MAX_INTEGER}")
    return version


def _service(name: str, data: dict) -> Service:
    return Service(
        name,
        _text(data, "health_path") if data.get("health_path") else "/health",
        int(_number(data, "max_connections", 100)),
        _number(data, "cold_start_s", 0.0),
        _number(data, "cold_per_s", 0.0),
    )


def _text(data: dict, field: str) -> str:
    value = data[field]
    if not isinstance(value, str):
        raise TypeError(f"{field}: expected a string, got {type(value).__name__}")
    return value


def _regions(data: dict) -> frozenset[str]:
    """Return the home regions of a route or account; none if the field is empty."""
    value = data.get("home_regions") or []
    if not isinstance(value, list) or not all(isinstance(r, str) for r in value):
        # The error must not contain the value, which may be a misplaced key.
        raise TypeError("home_regions: expected a list of strings")
    return frozenset(value)


def _number(data: dict, field: str, default: float) -> float:
    """Return a number of 0 or more; `default` if it is missing or 0."""
    return _non_negative(data, field) if data.get(field) else default


def _route(name: str, data: dict) -> Route:
    if data.get("traffic_split"):
        parts = tuple(
            Part(_text(item, "service"), _non_negative(item, "weight"))
            for item in data["traffic_split"]
        )
    else:
        parts = (Part(_text(data, "service"), 1.0),)
    timeout_s = _non_negative(data, "timeout_s")
    return Route(
        name=name,
        host_name=_text(data, "host").lower(),
        prefix=_text(data, "path_prefix"),
        repeatable=_text(data, "route_type") == "safe",
        parts=parts,
        timeout_s=timeout_s,
        target_s=_number(data, "target_latency_s", timeout_s),
        max_attempts=int(_number(data, "max_attempts", 1)),
        priority=int(_number(data, "priority", 0)),
        affinity=bool(data.get("affinity")),
        home_regions=_regions(data),
        public=bool(data.get("public")),
    )


def _accounts(spec: dict) -> Accounts:
    accounts = []
    for name, data in (spec.get("tenants") or {}).items():
        keys = data.get("api_keys") or []
        # The error must not contain the value, which may be a misplaced key.
        if not isinstance(keys, list) or not all(
            isinstance(k, str) and k for k in keys
        ):
            raise ValueError(
                f"account {name}: expected a list of non-empty strings as keys"
            )
        accounts.append((_account(name, data), keys))
    return Accounts(accounts)


def _account(name: str, data: dict) -> ClientAccount:
    rank = _integer(data, "priority") if data.get("priority") is not None else None
    return ClientAccount(name, rank, _regions(data), _quota(data))


def _quota(data: dict) -> Quota | None:
    rate = _number(data, "rate_per_s", 0.0)
    burst = _number(data, "burst", 0.0)
    return Quota(rate, burst) if rate else None


def _limits(spec: dict) -> CallerLimits:
    data = spec.get("limits") or {}
    default = CallerLimits()
    return CallerLimits(
        int(_number(data, "max_header_bytes", default.max_header_bytes)),
        int(_number(data, "max_body_bytes", default.max_body_bytes)),
        _number(data, "header_timeout_s", default.header_timeout_s),
        _number(data, "idle_timeout_s", default.idle_timeout_s),
    )


def decode_server(name: str, spec: object) -> ServerEntry:
    """Return the entry of a backend server.

    Other programs than the servers can write entries too, so every field is validated.

    Parameters
    ----------
    name : str
        Name of the object, which is the id that the server was given.
    spec : object
        Decoded JSON of the entry.

    Raises
    ------
    PlatformError
        With code ``bad-object`` when a field is missing, of the wrong type or out of
        range, or when the state is not one that the platform defines.
    """
    with _decoding(f"server {name}"):
        return ServerEntry(
            server_id=_header_safe(name),
            service=_label(spec, "service"),
            address=_address(spec, "address"),
            failure_domain=_label(spec, "zone"),
            slots=_integer(spec, "slots", minimum=1, maximum=MAX_SLOTS),
            draining=DRAINING_BY_STATE[_label(spec, "state")],
            cold_left_s=_non_negative(spec, "cold_left_s"),
            # Start of the server in Unix milliseconds; older versions do not send it.
            born_ms=_integer(spec, "born") if "born" in spec else 0,
        )


def _header_safe(name: str) -> str:
    """Return the id of a server, which is sent to it in a header."""
    if not is_label(name) or not name.isascii():
        raise ValueError(f"id: expected printable ASCII, got {name!r:.80}")
    return name


def _label(spec: dict, field: str) -> str:
    value = spec[field]
    if not is_label(value):
        raise ValueError(f"{field}: expected a printable string, got {value!r:.80}")
    return value


def _address(spec: dict, field: str) -> str:
    value = spec[field]
    if not isinstance(value, str) or not is_remote_address(value):
        raise ValueError(f"{field}: expected an address, got {value!r:.80}")
    return value


def _integer(
    spec: dict, field: str, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    value = spec[field]
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{field}: expected a whole number, got {value!r:.80}")
    if not minimum <= value <= maximum:
        raise ValueError(f"{field}: expected {minimum} to {maximum}")
    return value


def _non_negative(spec: dict, field: str) -> float:
    value = spec[field]
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{field}: expected a number, got {value!r:.80}")
    number = float(value)
    if not isfinite(number) or number < 0:
        raise ValueError(f"{field}: expected 0 or more, got {value!r:.80}")
    return number


def decode_quarantine(name: str, spec: object) -> tuple[str, ...]:
    """Return the ids of the servers that crashed while running a quarantined request.

    Parameters
    ----------
    name : str
        Name of the object, which is the fingerprint of the request.
    spec : object
        Decoded JSON of the object.

    Raises
    ------
    PlatformError
        With code ``bad-object`` when the ids are not a list of labels.
    """
    with _decoding(f"quarantine {name}"):
        servers = spec["servers"]
        if not isinstance(servers, list) or not all(map(is_label, servers)):
            raise TypeError(f"servers: expected a list of ids, got {servers!r:.80}")
        return tuple(servers)


class ObjectDecoder:
    """Decodes stored objects; passed to the core, which does not know their format."""

    __slots__ = ()

    def configuration(self, spec: object) -> Configuration:
        """Return the configuration in ``config/main``."""
        return decode_configuration(spec)

    def server(self, name: str, spec: object) -> ServerEntry:
        """Return the entry of a backend server."""
        return decode_server(name, spec)

    def quarantine(self, name: str, spec: object) -> tuple[str, ...]:
        """Return the servers that crashed while running a quarantined request."""
        return decode_quarantine(name, spec)
