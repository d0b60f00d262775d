"""TLS contexts that are loaded from files and reloaded when the files change."""

import asyncio
import ssl
from pathlib import Path

from . import logs
from .errors import SettingsError
from .settings import TlsSettings

RELOAD_INTERVAL_S = 2.0


class TlsFiles:
    """Server and client contexts of one process, for mutual TLS under one private CA.

    A certificate of the private CA is the proof of membership: a process without such a
    certificate cannot join the fleet, and cannot read from or write to the platform.
    Addresses change whenever a host is replaced, so the names in certificates are
    compared with host ids and not with addresses. The context `open_server` does not
    request a certificate from its clients.

    Parameters
    ----------
    cfg : TlsSettings
        Paths of the certificate chain, its key and the CA.

    Raises
    ------
    SettingsError
        With code ``bad-tls`` when a file cannot be used.
    """

    __slots__ = ("_cfg", "_loaded_times", "client", "mutual_server", "open_server")

    def __init__(self, cfg: TlsSettings) -> None:
        self._cfg = cfg
        self.client = self._context(ssl.PROTOCOL_TLS_CLIENT)
        self.client.check_hostname = False
        self.mutual_server = self._context(ssl.PROTOCOL_TLS_SERVER)
        self.mutual_server.verify_mode = ssl.CERT_REQUIRED
        self.open_server = self._context(ssl.PROTOCOL_TLS_SERVER)
        self._loaded_times = self._modification_times()
        self._load()

    def _context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        return context

    def _modification_times(self) -> tuple[int, ...]:
        names = (self._cfg.cert, self._cfg.key, self._cfg.ca)
        try:
            return tuple(Path(name).stat().st_mtime_ns for name in names)
        except OSError as exc:
            raise SettingsError("bad-tls", f"tls: {exc}") from exc

    def _load(self) -> None:
        try:
            for context in (self.client, self.mutual_server, self.open_server):
                context.load_cert_chain(self._cfg.cert, self._cfg.key)
                context.load_verify_locations(self._cfg.ca)
        except (OSError, ssl.SSLError) as exc:
            raise SettingsError("bad-tls", f"tls: {self._cfg.cert}: {exc}") from exc

    async def run(self) -> None:
        """Reload changed files until cancelled.

        An error in the files is logged, and the reload is tried again after
        `RELOAD_INTERVAL_S`; the contexts that were not reloaded keep their certificate.
        Open connections are kept; new handshakes use the new certificate.
        """
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            try:
                self.reload()
            except SettingsError as exc:
                logs.event("tls-reload-failed", "ERROR", why=exc.message)

    def reload(self) -> bool:
        """Reload the files if they have changed; return whether they have changed."""
        modification_times = self._modification_times()
        if modification_times == self._loaded_times:
            return False
        self._load()
        self._loaded_times = modification_times
        logs.event("tls-reloaded", cert=self._cfg.cert)
        return True


def peer_name(ssl_object: ssl.SSLObject | None) -> str:
    """Return the common name in the peer's certificate, or an empty string."""
    certificate = ssl_object.getpeercert() if ssl_object else None
    for part in (certificate or {}).get("subject", ()):
        for key, value in part:
            if key == "commonName":
                return value
    return ""
