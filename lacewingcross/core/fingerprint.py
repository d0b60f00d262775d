"""Recognizes a request that is sent again.

Each try of a caller carries a new request id, so ids do not show that a request was
seen before. Its method, host name, target, credentials and body do: they are what a
backend server works on. The caller's address is left out, since it changes with
networks and is shared behind proxies, and so are headers that change with each try.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

# Maximum number of body bytes that are hashed. Uploads that differ do so long before
# this point, and hashing this many bytes takes a fraction of a millisecond.
MAX_BODY_BYTES = 256 * 1024
# Size of a fingerprint. Ten thousand requests may be remembered at a time. With 64
# bits, the probability that any two of them have the same fingerprint is 3 in 10^12.
DIGEST_BYTES = 8


@dataclass(slots=True, frozen=True)
class RequestIdentity:
    """The parts of a request's head that its repeats have in common.

    `length` is the length of the body in bytes, 0 if it is not known.
    """

    method: str
    host_name: str
    target: str
    credentials: str
    length: int


def fingerprint(identity: RequestIdentity, body: Iterable[bytes]) -> str:
    """Return a hash that a request shares with its repeats, in hexadecimal.

    Parameters
    ----------
    identity : RequestIdentity
        The head of the request.
    body : iterable of bytes
        The body in chunks of any size; only the first `MAX_BODY_BYTES` bytes are
        hashed.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    fields = (
        identity.method,
        identity.host_name,
        identity.target,
        identity.credentials,
        str(identity.length),
    )
    for text in fields:
        data = text.encode("utf-8", "surrogateescape")
        # The length before each field keeps the fields apart: text must not move from
        # one field to the next without a change of the hash.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    bytes_left = MAX_BODY_BYTES
    for chunk in body:
        digest.update(chunk[:bytes_left])
        bytes_left -= len(chunk)
        if bytes_left <= 0:
            break
    return digest.hexdigest()
