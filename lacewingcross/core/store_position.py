"""Positions in the history of the store.

The store may come back from an older copy of itself. Its revisions then go back and are
given out again, and its era rises. So a revision alone does not say which of two
reports is newer: positions are ordered by era first.
"""

from typing import Annotated, NamedTuple

from msgspec import Meta

# Larger numbers are errors of the sender.
MAX_NUMBER = 2**53
# Version numbers in one era; a power of ten, so that people can read era and revision.
VERSIONS_PER_ERA = 10**12


class StorePosition(NamedTuple):
    """A revision of the store in one of its eras.

    `era` is 0 if the store does not state its era.
    """

    era: Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
    revision: Annotated[int, Meta(ge=0, le=MAX_NUMBER)]

    @property
    def version(self) -> int:
        """Return one number that orders as positions do.

        Operators' resources carry it as their version.
        """
        return self.era * VERSIONS_PER_ERA + self.revision

    @classmethod
    def from_version(cls, version: int) -> "StorePosition":
        """Return the position of a version number."""
        return cls(*divmod(version, VERSIONS_PER_ERA))

    def __str__(self) -> str:
        return f"{self.era}.{self.revision}"


# Before every change of the store.
START = StorePosition(0, 0)
