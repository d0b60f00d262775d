"""The connection of commands to the platform."""

import getpass
import os
import ssl

from .. import settings
from ..errors import UserError
from ..operations import Operator
from ..platform_client import PlatformClient
from ..tls import TlsFiles

PLATFORM_VARIABLE = "LACEWINGCROSS_PLATFORM"
TLS_VARIABLE = "LACEWINGCROSS_TLS"


def operator_at(platform: str) -> Operator:
    """Return the operations on the platform at an address.

    Parameters
    ----------
    platform : str
        IP:PORT; if empty, the address in the environment variable
        ``LACEWINGCROSS_PLATFORM``.

    Raises
    ------
    UserError
        With code ``no-platform`` when neither `platform` nor the variable is set.
    """
    address = platform or os.environ.get(PLATFORM_VARIABLE, "")
    if not address:
        raise UserError(
            "no-platform", f"give --platform IP:PORT or set {PLATFORM_VARIABLE}"
        )
    writer = f"{getpass.getuser()}/{os.getpid()}"
    return Operator(PlatformClient(address, _client_ssl(), writer))


def _client_ssl() -> ssl.SSLContext | None:
    path = os.environ.get(TLS_VARIABLE, "")
    return TlsFiles(settings.load_tls(path)).client if path else None
