"""Load and check the JSON settings file of each process."""

import json
from dataclasses import asdict, dataclass, fields
from pathlib import Path

from . import logs
from .checks import Reader
from .errors import SettingsError


@dataclass(slots=True, frozen=True)
class TlsSettings:
    """Paths of the TLS files; all empty means plain TCP."""

    cert: str = ""
    key: str = ""
    ca: str = ""

    @property
    def enabled(self) -> bool:
        """Return whether TLS is enabled."""
        return bool(self.cert)


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Settings of one entry host; all other configuration comes from the platform.

    Attributes
    ----------
    host_id, region, failure_domain : str
        Id of the host, and its place.
    entry, peer, operators : str
        Addresses at which callers, other hosts and operators reach this host.
    platform : str
        Address of the platform.
    seeds : tuple of str
        Peer addresses of some other hosts.
    peer_listen : str
        Address to listen at for other hosts, if it differs from `peer`.
    log_level : str
        Lowest level of logged events.
    trust_client_address : bool
        Whether the client address may come from a header of the request.
    max_connections, max_connections_each : int
        Limits on open connections from callers: in all, and from one client address.
    max_body_bytes : int
        Limit on the declared length of a request body.
    tls : TlsSettings
        TLS files of the host.
    """

    host_id: str
    region: str
    failure_domain: str
    entry: str
    peer: str
    operators: str
    platform: str
    seeds: tuple[str, ...] = ()
    peer_listen: str = ""
    log_level: str = "INFO"
    trust_client_address: bool = False
    max_connections: int = 4000
    max_connections_each: int = 1000
    max_body_bytes: int = 1 << 31
    tls: TlsSettings = TlsSettings()


@dataclass(slots=True, frozen=True)
class KnownHost:
    """One host in the list that the platform stand-in serves."""

    host_id: str
    region: str
    failure_domain: str
    entry: str
    peer: str


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Settings of the platform stand-in.

    `list_lag_s` is the time in seconds after which a change of the host list is
    published.
    """

    listen: str
    hosts: tuple[KnownHost, ...]
    list_lag_s: float = 1.0
    log_level: str = "INFO"
    tls: TlsSettings = TlsSettings()


@dataclass(slots=True, frozen=True)
class BackendSettings:
    """Settings of a backend server stand-in.

    Attributes
    ----------
    slots, connections, queue : int
        Limits on requests that run at the same time, on open connections, and on
        requests that wait for a slot.
    service_ms : float
        Mean service time in milliseconds.
    service_shape : {"exponential", "fixed", "heavy"}
        Distribution of the service times.
    cold_requests, cold_factor : int, float
        The first `cold_requests` requests have a mean service time that is
        `cold_factor` times as long.
    seed : int
        Seed of the random service times.
    """

    server_id: str
    listen: str
    slots: int = 4
    connections: int = 330
    service_ms: float = 20.0
    service_shape: str = "exponential"
    cold_factor: float = 1.0
    cold_requests: int = 0
    queue: int = 0
    seed: int = 1
    log_level: str = "INFO"


def read_json(path: str) -> object:
    """Return the decoded content of the JSON file at `path`.

    Raises
    ------
    SettingsError
        With code ``unreadable`` or ``bad-json``.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError("unreadable", f"{path}: {exc}") from exc
    try:
        return json.loads(text)
    except (json.JSONDecodeError, RecursionError) as exc:
        raise SettingsError("bad-json", f"{path}: expected JSON, {exc}") from exc


def _read_tls(reader: Reader) -> TlsSettings:
    if not reader.has("tls"):
        return TlsSettings()
    return _tls_fields(reader.child("tls"))


def _tls_fields(reader: Reader) -> TlsSettings:
    tls = TlsSettings(reader.text("cert"), reader.text("key"), reader.text("ca"))
    reader.finish()
    return tls


def load_tls(path: str) -> TlsSettings:
    """Read a file with the paths of the certificate, key and CA."""
    return _tls_fields(Reader(read_json(path), path, SettingsError))


def load_host(path: str) -> HostSettings:
    """Read the settings of an entry host.

    Raises
    ------
    SettingsError
        The message names the file, the field and what was expected.
    """
    reader = Reader(read_json(path), path, SettingsError)
    cfg = HostSettings(
        host_id=reader.name("host_id"),
        region=reader.name("region"),
        failure_domain=reader.name("failure_domain"),
        entry=reader.address("entry"),
        peer=reader.address("peer"),
        operators=reader.address("operators"),
        platform=reader.address("platform"),
        seeds=tuple(reader.addresses("seeds", [])),
        peer_listen=reader.address("peer_listen", ""),
        log_level=reader.text("log_level", "INFO", logs.LEVELS),
        trust_client_address=reader.boolean("trust_client_address", False),
        max_connections=reader.integer("max_connections", 4000, low=1),
        max_connections_each=reader.integer("max_connections_each", 1000, low=1),
        max_body_bytes=reader.integer("max_body_bytes", 1 << 31, low=0, high=1 << 40),
        tls=_read_tls(reader),
    )
    reader.finish()
    return cfg


def _read_known_host(reader: Reader) -> KnownHost:
    known = KnownHost(
        reader.name("host_id"),
        reader.name("region"),
        reader.name("failure_domain"),
        reader.address("entry"),
        reader.address("peer"),
    )
    reader.finish()
    return known


def load_platform(path: str) -> PlatformSettings:
    """Read the settings of the platform stand-in."""
    reader = Reader(read_json(path), path, SettingsError)
    cfg = PlatformSettings(
        listen=reader.address("listen"),
        hosts=tuple(_read_known_host(child) for child in reader.children("hosts", [])),
        list_lag_s=reader.number("list_lag_s", 1.0),
        log_level=reader.text("log_level", "INFO", logs.LEVELS),
        tls=_read_tls(reader),
    )
    reader.finish()
    return cfg


def load_backend(path: str) -> BackendSettings:
    """Read the settings of a backend server stand-in."""
    reader = Reader(read_json(path), path, SettingsError)
    cfg = BackendSettings(
        server_id=reader.name("server_id"),
        listen=reader.address("listen"),
        slots=reader.integer("slots", 4, low=1),
        connections=reader.integer("connections", 330, low=1),
        service_ms=reader.number("service_ms", 20.0),
        service_shape=reader.text(
            "service_shape", "exponential", ("exponential", "fixed", "heavy")
        ),
        cold_factor=reader.number("cold_factor", 1.0, low=1.0),
        cold_requests=reader.integer("cold_requests", 0),
        queue=reader.integer("queue", 0),
        seed=reader.integer("seed", 1),
        log_level=reader.text("log_level", "INFO", logs.LEVELS),
    )
    reader.finish()
    return cfg


def as_data(
    cfg: HostSettings | PlatformSettings | BackendSettings,
) -> dict[str, object]:
    """Return settings as JSON data for their loader, without unchanged defaults."""
    default = {item.name: item.default for item in fields(cfg)}
    values = asdict(cfg)
    changed = {
        name: values[name] for name in values if getattr(cfg, name) != default[name]
    }
    return json.loads(json.dumps(changed))
