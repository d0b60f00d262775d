"""Reads the API key that a caller sends with its request."""

import re

from .. import headers as hd

SCHEME = "bearer"
# Longer keys are refused without a search for their account; the keys that operators
# configure have about 20 characters.
MAX_KEY_CHARS = 512
# The syntax of a bearer token (RFC 6750).
_TOKEN = re.compile(r"[A-Za-z0-9\-._~+/]+=*")


class CredentialsError(Exception):
    """Credentials that cannot be read; the message contains no part of them."""


def read_key(headers: hd.HeaderList) -> str:
    """Return the key in a request's credentials, empty if it sends no credentials.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        The caller's headers.

    Raises
    ------
    CredentialsError
        When the Authorization header is sent more than once, or is not a bearer token
        of at most `MAX_KEY_CHARS` characters.
    """
    values = [value for name, value in headers if name == hd.AUTHORIZATION]
    if not values:
        return ""
    if len(values) > 1:
        raise CredentialsError("expected credentials once")
    scheme, _, key = values[0].decode("latin-1").strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME:
        raise CredentialsError("expected a bearer token")
    if len(key) > MAX_KEY_CHARS or not _TOKEN.fullmatch(key):
        raise CredentialsError(
            f"expected a bearer token of at most {MAX_KEY_CHARS} characters"
        )
    return key
