"""TLS between all processes, with keys made on the fly."""

import asyncio
import dataclasses
import datetime
import ssl

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from lacewingcross import wire
from lacewingcross.caller import ANSWERED, Caller
from lacewingcross.core import messages as msg
from lacewingcross.errors import PlatformError, SettingsError
from lacewingcross.platform_client import PlatformClient
from lacewingcross.settings import TlsSettings
from lacewingcross.tls import TlsFiles

from .processes import Processes, small_layout, until


class Authority:
    """A private CA that issues certificates into a folder."""

    def __init__(self, folder, name="ca"):
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.path = folder / f"{name}.pem"
        certificate = self._sign(self.name, self.key, authority=True)
        self._write(self.path, certificate)

    def _sign(self, subject, key, *, authority):
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(minutes=1))
            .not_valid_after(now + datetime.timedelta(hours=1))
            .add_extension(x509.BasicConstraints(authority, None), critical=True)
            .sign(self.key, hashes.SHA256())
        )

    def _write(self, path, certificate):
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name):
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        cert_path = self.folder / f"{name}.pem"
        key_path = self.folder / f"{name}.key"
        self._write(cert_path, self._sign(subject, key, authority=False))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsSettings(str(cert_path), str(key_path), str(self.path))


def _layout(authority):
    layout = small_layout()
    for index, cfg in enumerate(layout.hosts):
        tls = authority.issue(cfg.host_id)
        layout.hosts[index] = dataclasses.replace(cfg, tls=tls)
    layout.platform = dataclasses.replace(
        layout.platform, tls=authority.issue("platform")
    )
    return layout


async def _is_refused(address, context, host_id):
    """Return whether a hello from an outsider is refused."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
        fields = ("north", "north-9", "127.0.0.1:1", "127.0.0.1:2")
        writer.write(wire.encode(msg.Hello(host_id, 9, wire.PROTOCOL, *fields)))
        async with asyncio.timeout(10):
            ended = await reader.read() == b""
        writer.close()
        return ended
    except (OSError, ssl.SSLError):
        return True


async def _attempt_access_without_our_certificates(folder):
    authority = Authority(folder)
    operator = TlsFiles(authority.issue("operator"))
    stranger = TlsFiles(Authority(folder, "other-ca").issue("host-9"))
    layout = _layout(authority)
    async with Processes(layout, operator.client) as procs:
        caller = Caller(
            procs.entries(), caller_id="c", address="10.1.0.1", ssl=operator.client
        )
        answer = await caller.request("POST", "/booking/x", service="booking")
        caller.close()
        plain = Caller(procs.entries(), caller_id="p", address="10.1.0.1")
        refused = await plain.request(
            "GET", "/booking/x", service="booking", deadline_s=2.0
        )
        plain.close()
        peer = layout.hosts[0].peer
        stranger.client.verify_mode = ssl.CERT_NONE
        joins_refused = [
            await _is_refused(peer, None, "host-9"),
            await _is_refused(peer, stranger.client, "host-9"),
            await _is_refused(peer, operator.client, "host-9"),
        ]
        writer = PlatformClient(layout.platform.listen, stranger.client)
        with pytest.raises(PlatformError):
            await writer.create("Drain/evil", {"server": "booking-1"})

        async def connected():
            for cfg in layout.hosts:
                status = await procs.fetch(cfg.operators, "/status")
                if set(status["hosts"].values()) != {"live"}:
                    return False
            return "host-9" not in status["hosts"]

        await until(connected)
        return answer, refused, joins_refused


def test_only_holders_of_our_certificates_may_join_write_or_send_requests(tmp_path):
    """Somebody on the network speaks to the hosts and to the platform.

    What a user would see: a foreign process that joins as a host and grants slots, or
    a drain that no operator wrote.
    """
    answer, refused, joins_refused = asyncio.run(
        _attempt_access_without_our_certificates(tmp_path)
    )
    assert answer.outcome == ANSWERED
    assert refused.outcome != ANSWERED
    assert joins_refused == [True, True, True]


def test_changed_files_are_reloaded_and_invalid_ones_are_rejected(tmp_path):
    """A certificate is renewed under a running process."""
    authority = Authority(tmp_path)
    cfg = authority.issue("host-1")
    files = TlsFiles(cfg)
    assert not files.reload()
    authority.issue("host-1")
    assert files.reload()
    (tmp_path / "host-1.key").write_text("nonsense")
    with pytest.raises(SettingsError) as caught:
        files.reload()
    assert caught.value.code == "bad-tls"
