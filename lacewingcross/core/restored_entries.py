"""Server entries that a restored store shows in a state older than a host knows.

The store may come back from a copy that is some seconds old. Servers that left in these
seconds are in the copy as if they were still there.
"""

from collections.abc import Iterator

from .replica import Document

# An entry that the store still has after this time, in seconds, belongs to a server
# that is alive: the store drops that of a server which has been silent for 4.6 s, and
# hosts learn of it within 2.1 s also if the watching host fails.
PROVEN_ALIVE_S = 7.0


class RestoredEntries:
    """Entries of servers that were gone before the store was restored.

    Guards against requests to a server that has left, whose address may belong to
    another service by now: the copy of the store still shows it as ready. Such an entry
    is withheld until the server writes it again, or the store has kept it for longer
    than that of a silent server.
    """

    __slots__ = ("_withheld",)

    def __init__(self) -> None:
        # Each entry, and the time at which it is to be used, by id of the server.
        self._withheld: dict[str, tuple[Document, float]] = {}

    def __len__(self) -> int:
        return len(self._withheld)

    def withhold(self, doc: Document, now: float) -> None:
        """Withhold an entry; a later one of the same server replaces it."""
        self._withheld[doc.name] = (doc, now + PROVEN_ALIVE_S)

    def restart(self, now: float) -> None:
        """Restart the time of all entries: the store was restored once more."""
        for doc, _ in list(self._withheld.values()):
            self.withhold(doc, now)

    def discard(self, name: str) -> None:
        """Forget the entry of a server that has written or lost it since."""
        self._withheld.pop(name, None)

    def take_proven(self, now: float) -> Iterator[Document]:
        """Yield and forget the entries that the store has kept for long enough."""
        proven = [doc for doc, until in self._withheld.values() if now >= until]
        for doc in proven:
            del self._withheld[doc.name]
            yield doc
