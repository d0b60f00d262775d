"""Each host's copy of the platform's store.

Changes come from this host's own watch of the store or from peers, in any order and
more than once. The position of an object in the copy never goes back, so an old version
does not come back into force, whichever host sends it and however late it arrives. What
the store says after it was restored is newer than all that it said before.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from .store_position import START, StorePosition

# Spec of an object that exists and whose spec cannot be read. It is no dictionary, so
# no decoder takes it for a valid spec. It can be sent to other hosts like any spec.
UNREADABLE_SPEC = "unreadable"


class Kind(IntEnum):
    """Kinds of objects that hosts watch in the store."""

    CONFIG = 1
    EVACUATION = 2
    SERVER = 3
    # Requests that crash backend servers; written by the hosts themselves.
    QUARANTINE = 4


@dataclass(slots=True, frozen=True)
class Document:
    """One object at one position; `spec` is None if the object was deleted at it."""

    kind: Kind
    name: str
    position: StorePosition
    spec: object


@dataclass(slots=True, frozen=True)
class Update:
    """The changes that bring a copy from position `since` to `as_of`.

    If `whole` is true, `documents` are all objects of the kind that exist at `as_of`,
    so any other object was deleted. Changes since a position of an earlier era do not
    show what the store lost when it was restored.
    """

    kind: Kind
    since: StorePosition
    as_of: StorePosition
    documents: list[Document]
    whole: bool = False


@dataclass(slots=True)
class _Copy:
    # Position of the last listing. Deletions up to it may be unknown here.
    listed_at: StorePosition = START
    # Position of the store up to which no change is missing here.
    as_of: StorePosition = START
    documents: dict[str, Document] = field(default_factory=dict)


class Replica:
    """Documents of all kinds, each at its newest known position."""

    __slots__ = ("_copies",)

    def __init__(self) -> None:
        self._copies = {kind: _Copy() for kind in Kind}

    def as_of(self, kind: Kind) -> StorePosition:
        """Return the store's position up to which no change of `kind` is missing."""
        return self._copies[kind].as_of

    @property
    def era(self) -> int:
        """Return the latest era of the store of which a copy here is complete."""
        return max(copy.as_of.era for copy in self._copies.values())

    def covers(self, update: Update) -> bool:
        """Return whether no change of an update's kind up to its end is missing here.

        An update of another era than that of the copy is not covered.
        """
        own = self._copies[update.kind].as_of
        return own.era == update.as_of.era and own >= update.as_of

    def restored_by(self, update: Update) -> bool:
        """Return whether an update shows that the store was restored since the copy."""
        own = self._copies[update.kind].as_of
        return update.whole and own > START and own.era < update.as_of.era

    def documents(self, kind: Kind) -> dict[str, Document]:
        """Return the documents of a kind by name, those of deleted objects included."""
        return dict(self._copies[kind].documents)

    def known(self, kind: Kind) -> list[Document]:
        """Return the documents of a kind that exist."""
        documents = self._copies[kind].documents.values()
        return [doc for doc in documents if doc.spec is not None]

    def has(self, kind: Kind, name: str, position: StorePosition) -> bool:
        """Return whether an object is known at `position` or a later one."""
        known = self._copies[kind].documents.get(name)
        return known is not None and known.position >= position

    def get(self, kind: Kind, name: str) -> Document:
        """Return the document of a known object, which may be a deleted one."""
        return self._copies[kind].documents[name]

    def update_since(self, kind: Kind, position: StorePosition) -> Update:
        """Return the update for a host that is complete up to `position`.

        Guards against a deletion that this host does not know. A listing shows a
        deletion only by the absence of the object, so this host has no record that an
        object was deleted which it never knew. Another host that did know the object
        would keep it forever if it received only changes. So a host whose position is
        older than the last listing here receives all documents.
        """
        copy = self._copies[kind]
        if position < copy.listed_at:
            return Update(kind, START, copy.as_of, self.known(kind), whole=True)
        newer = [doc for doc in copy.documents.values() if doc.position > position]
        return Update(kind, position, copy.as_of, newer)

    def apply(self, update: Update) -> list[Document]:
        """Apply an update; return the documents that were new, deletions included."""
        if update.whole:
            return self._apply_whole(update.kind, update.as_of, update.documents)
        return self._apply_changes(update)

    def _apply_changes(self, update: Update) -> list[Document]:
        """Apply the changes between two positions.

        The position `as_of` of the copy advances only if it is not before the update's
        `since`, so that no change between the two can be missing: a host that lost a
        push must not consider itself up to date. Unless the copy is empty, it does not
        advance to another era, since only a listing shows what the store lost.
        """
        copy = self._copies[update.kind]
        new_documents = [
            doc for doc in update.documents if self._store_if_newer(copy, doc)
        ]
        same_era = copy.as_of.era == update.as_of.era
        if copy.as_of >= update.since and (same_era or copy.as_of == START):
            copy.as_of = max(copy.as_of, update.as_of)
        return new_documents

    def _apply_whole(
        self, kind: Kind, as_of: StorePosition, documents: Iterable[Document]
    ) -> list[Document]:
        """Apply a listing of all documents that exist at a position.

        An object that is missing from the listing was deleted at some position up to
        `as_of`, unless the document here was written later than that.
        """
        copy = self._copies[kind]
        listed = list(documents)
        names = {doc.name for doc in listed}
        deleted = [
            Document(kind, doc.name, as_of, None)
            for doc in copy.documents.values()
            if doc.name not in names and doc.spec is not None and doc.position <= as_of
        ]
        new_documents = [
            doc for doc in [*listed, *deleted] if self._store_if_newer(copy, doc)
        ]
        copy.listed_at = max(copy.listed_at, as_of)
        copy.as_of = max(copy.as_of, as_of)
        return new_documents

    def _store_if_newer(self, copy: _Copy, doc: Document) -> bool:
        if doc.spec is not None and doc.position <= copy.as_of:
            # Guards against an object that was deleted before this host listed the
            # store, while an older push of its creation arrives after the listing. No
            # change up to `as_of` is missing here, so an existing document of that time
            # is either known already or outdated.
            return False
        known = copy.documents.get(doc.name)
        if known is not None and known.position > doc.position:
            return False
        same_position = known is not None and known.position == doc.position
        # A deletion inferred from a listing may have the same position as the last
        # change of the object; the deletion is the later of the two.
        if same_position and (known.spec is None or doc.spec is not None):
            return False
        copy.documents[doc.name] = doc
        # A restored store lists most objects as they were known before.
        crosses_era = known is not None and known.position.era < doc.position.era
        return not (crosses_era and known.spec == doc.spec)
