"""What makes two requests the same one, sent again.

Each try of a caller carries an id of its own, so ids cannot tell that a request was
there before. Its method, host name, target, credentials and body can: they are what a
backend server works on. Left out are the caller's address, which changes with networks
and is shared behind proxies, and headers that change with each try.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

# Bytes of a body that count. Uploads that differ have differed long before, and hashing
# so much takes a fraction of a millisecond.
BODY_MOST = 256 * 1024
# Ten thousand requests may be remembered at a time; with 64 bits, the chance that any
# two of them are taken for one is 3 in 10^12.
DIGEST_BYTES = 8


@dataclass(slots=True, frozen=True)
class RequestIdentity:
    """The head of a request, as far as two requests may be the same by it.

    `length` is the length of the body in bytes as far as it is known, else 0.
    """

    method: str
    host_name: str
    target: str
    credentials: str
    length: int


def fingerprint(identity: RequestIdentity, body: Iterable[bytes]) -> str:
    """Return a short name that a request shares with its repeats, in hexadecimal.

    Parameters
    ----------
    identity : RequestIdentity
        Its head.
    body : iterable of bytes
        Its body, in any parts; `BODY_MOST` bytes are read.
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
        # Lengths keep fields apart: what ends one may not begin the next.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    left = BODY_MOST
    for part in body:
        digest.update(part[:left])
        left -= len(part)
        if left <= 0:
            break
    return digest.hexdigest()
