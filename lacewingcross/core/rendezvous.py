"""Rendezvous hashing: with the same members, all hosts pick the same owner of a key."""

from collections.abc import Iterable
from hashlib import blake2b

HASH_RANGE = float(1 << 64)


def hash64(*parts: str) -> int:
    """Return a stable 64-bit hash of `parts`."""
    data = "\x00".join(parts).encode()
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member that owns `key`, or None when there are no members."""
    return max(members, key=lambda member: hash64(key, member), default=None)


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` sorted by their hash with `key`, its owner first."""
    return sorted(members, key=lambda member: hash64(key, member), reverse=True)
