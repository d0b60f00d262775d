"""The platform's store: the project's stand-in, with entries from another writer."""

import json
import time
from dataclasses import dataclass, field

from lacewingcross.http1_exchange import Exchange
from lacewingcross.http1_json import JSON_TYPE
from lacewingcross.standins.object_store import ObjectStoreStandin


@dataclass(slots=True)
class Store(ObjectStoreStandin):
    """The project's stand-in of the store, which can send stored bytes as they are.

    The store states no era, as on the users' pages.

    Attributes
    ----------
    raw : dict of str to bytes
        Bytes that replace a placeholder in the JSON of an answer: what another program
        has stored, which the store returns unchanged.
    """

    raw: dict[str, bytes] = field(default_factory=dict)

    async def _send(self, exchange: Exchange, status: int, data: object) -> None:
        body = json.dumps(data, separators=(",", ":")).encode() + b"\n"
        for placeholder, stored in self.raw.items():
            body = body.replace(placeholder.encode(), stored)
        await exchange.respond(status, list(JSON_TYPE), body)


def new_store() -> Store:
    """Return an empty store."""
    return Store(time.monotonic, era=None)
