"""Each host's copy of the platform's store.

Changes come from this host's own watch of the store or from peers, in any order and
more than once. The revision of an object in the copy never decreases, so an old version
does not come back into force, whichever host sends it and however late it arrives.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum


class Kind(IntEnum):
    """Kinds of objects that hosts watch in the store."""

    CONFIG = 1
    EVACUATION = 2
    SERVER = 3
    # Requests that crash backend servers; written by the hosts themselves.
    QUARANTINE = 4


@dataclass(slots=True, frozen=True)
class Document:
    """One object at one revision; `spec` is None if the object was deleted at it."""

    kind: Kind
    name: str
    revision: int
    spec: object


@dataclass(slots=True, frozen=True)
class Update:
    """The changes that bring a copy from revision `since` to `as_of`.

    If `whole` is true, `documents` are all objects of the kind that exist at `as_of`,
    so any other object was deleted.
    """

    kind: Kind
    since: int
    as_of: int
    documents: list[Document]
    whole: bool = False


@dataclass(slots=True)
class _Copy:
    # Revision of the last listing. Deletions up to this revision may be unknown here.
    listed_revision: int = 0
    # Revision of the store up to which no change is missing here.
    as_of: int = 0
    documents: dict[str, Document] = field(default_factory=dict)


class Replica:
    """Documents of all kinds, each at its newest known revision."""

    __slots__ = ("_copies",)

    def __init__(self) -> None:
        self._copies = {kind: _Copy() for kind in Kind}

    def as_of(self, kind: Kind) -> int:
        """Return the store's revision up to which no change of `kind` is missing."""
        return self._copies[kind].as_of

    def known(self, kind: Kind) -> list[Document]:
        """Return the documents of a kind that exist."""
        documents = self._copies[kind].documents.values()
        return [doc for doc in documents if doc.spec is not None]

    def has(self, kind: Kind, name: str, revision: int) -> bool:
        """Return whether an object is known at `revision` or a later one."""
        known = self._copies[kind].documents.get(name)
        return known is not None and known.revision >= revision

    def get(self, kind: Kind, name: str) -> Document:
        """Return the document of a known object, which may be a deleted one."""
        return self._copies[kind].documents[name]

    def update_since(self, kind: Kind, revision: int) -> Update:
        """Return the update for a host that is complete up to `revision`.

        Guards against a deletion that this host does not know. A listing shows a
        deletion only by the absence of the object, so this host has no record that an
        object was deleted which it never knew. Another host that did know the object
        would keep it forever if it received only changes. So a host whose revision is
        older than the last listing here receives all documents.
        """
        copy = self._copies[kind]
        if revision < copy.listed_revision:
            return Update(kind, 0, copy.as_of, self.known(kind), whole=True)
        newer = [doc for doc in copy.documents.values() if doc.revision > revision]
        return Update(kind, revision, copy.as_of, newer)

    def apply(self, update: Update) -> list[Document]:
        """Apply an update; return the documents that were new, deletions included."""
        if update.whole:
            return self._apply_whole(update.kind, update.as_of, update.documents)
        return self._apply_changes(update)

    def _apply_changes(self, update: Update) -> list[Document]:
        """Apply the changes between two revisions.

        The revision `as_of` of the copy increases only if it is not below the update's
        `since`, so that no change between the two can be missing: a host that lost a
        push must not consider itself up to date.
        """
        copy = self._copies[update.kind]
        new_documents = [
            doc for doc in update.documents if self._store_if_newer(copy, doc)
        ]
        if copy.as_of >= update.since:
            copy.as_of = max(copy.as_of, update.as_of)
        return new_documents

    def _apply_whole(
        self, kind: Kind, as_of: int, documents: Iterable[Document]
    ) -> list[Document]:
        """Apply a listing of all documents that exist at a revision.

        An object that is missing from the listing was deleted at some revision up to
        `as_of`, unless the document here was written later than that.
        """
        copy = self._copies[kind]
        listed = list(documents)
        names = {doc.name for doc in listed}
        deleted = [
            Document(kind, doc.name, as_of, None)
            for doc in copy.documents.values()
            if doc.name not in names and doc.spec is not None and doc.revision <= as_of
        ]
        new_documents = [
            doc for doc in [*listed, *deleted] if self._store_if_newer(copy, doc)
        ]
        copy.listed_revision = max(copy.listed_revision, as_of)
        copy.as_of = max(copy.as_of, as_of)
        return new_documents

    def _store_if_newer(self, copy: _Copy, doc: Document) -> bool:
        if doc.spec is not None and doc.revision <= copy.as_of:
            # Guards against an object that was deleted before this host listed the
            # store, while an older push of its creation arrives after the listing. No
            # change up to `as_of` is missing here, so an existing document of that time
            # is either known already or outdated.
            return False
        known = copy.documents.get(doc.name)
        if known is not None and known.revision > doc.revision:
            return False
        same_revision = known is not None and known.revision == doc.revision
        # A deletion inferred from a listing may have the same revision as the last
        # change of the object; the deletion is the later of the two.
        if same_revision and (known.spec is None or doc.spec is not None):
            return False
        copy.documents[doc.name] = doc
        return True
