"""Converts updates of the store to and from the messages between hosts."""

import json

from ..core import messages as msg
from ..core.replica import UNREADABLE_SPEC, Document, Kind, Replica, Update
from ..core.store_position import StorePosition
from ..errors import UnreadableError
from ..strict_json import decode


def changes_message(update: Update, *, fresh: bool) -> msg.StoreChanges:
    """Return the message that carries an update.

    Parameters
    ----------
    update : Update
        The changes.
    fresh : bool
        Value of the field `fresh` of `StoreChanges`: whether the update has just been
        read from the store rather than requested by a host that was behind.
    """
    packed = [
        (doc.name, doc.position, "" if doc.spec is None else json.dumps(doc.spec))
        for doc in update.documents
    ]
    return msg.StoreChanges(
        int(update.kind), update.since, update.as_of, packed, update.whole, fresh, 0
    )


def update_in(message: msg.StoreChanges, replica: Replica) -> Update:
    """Return the update in a message.

    A document is decoded only when it is new to `replica`: a standby host gets each
    change from two relays, and decoding a configuration of 350 routes takes
    milliseconds each time.
    """
    kind = Kind(message.kind)
    documents = [_document(kind, replica, *fields) for fields in message.documents]
    return Update(kind, message.since, message.as_of, documents, whole=message.whole)


def _document(
    kind: Kind, replica: Replica, name: str, position: StorePosition, text: str
) -> Document:
    if text and replica.has(kind, name, position):
        return replica.get(kind, name)
    return Document(kind, name, position, _spec_in(text) if text else None)


def _spec_in(text: str) -> object:
    """Return the spec that another host sends, or `UNREADABLE_SPEC`."""
    try:
        return decode(text.encode())
    except UnreadableError:
        return UNREADABLE_SPEC
