"""Another program that stores objects of all kinds which hosts cannot use."""

import json
import random

from lacewingcross.http1_exchange import Exchange
from lacewingcross.http1_json import JSON_TYPE
from lacewingcross.platform.object_api import STORE_ERA
from lacewingcross.standins.object_store import ObjectStoreStandin

DEEP = 2000
# Raw texts that stand in the place of a value.
ODD_VALUES = (
    b"[" * DEEP + b"]" * DEEP,
    b"9" * 5000,
    b"1" + b"0" * 400,
    b"Infinity",
    b'"\\ud800"',
    b'"\xff\xfe\xfd:8080"',
    b'"127.0.0.1:99999"',
    b'"name.example:80"',
    b'"a\\u0000b"',
    b"null",
    b"{}",
)
FIELDS_OF = {
    "servers": {
        "service": "calendar",
        "address": "127.0.0.1:9",
        "zone": "a1",
        "slots": 4,
        "state": "ready",
        "cold_left_s": 0,
    },
    "entry-hosts": {
        "region": "a",
        "failure_domain": "a1",
        "entry": "127.0.0.1:9",
        "peer": "127.0.0.1:9",
        "cores": 1.0,
    },
    "quarantined-requests": {"servers": ["s1"]},
    "evacuations": {"why": "x"},
}
OBJECTS = 3


class StoreWithForeignObjects(ObjectStoreStandin):
    """The stand-in of the store; marks in its objects stand for `ODD_VALUES`."""

    async def _send(self, exchange: Exchange, status: int, data: object) -> None:
        body = json.dumps(data).encode()
        if b'"<odd ' in body:
            for index, raw in enumerate(ODD_VALUES):
                body = body.replace(json.dumps(mark(index)).encode(), raw)
        headers = [*JSON_TYPE, (STORE_ERA, str(self.era).encode())]
        await exchange.respond(status, headers, body)


def mark(index: int) -> str:
    """Return the text that stands for one of `ODD_VALUES`."""
    return f"<odd {index}>"


def draw_objects(target: int) -> list[tuple[str, str, object]]:
    """Return the kind, name and spec of some objects, one field of which is odd."""
    rng = random.Random(target)
    found = []
    for number in range(OBJECTS):
        kind = rng.choice(sorted(FIELDS_OF))
        spec = dict(FIELDS_OF[kind])
        # An odd value in another field of a server may be a valid one, and the address
        # beside it would be used.
        field = "address" if kind == "servers" else rng.choice(sorted(spec))
        value = rng.randrange(len(ODD_VALUES))
        spec[field] = mark(value)
        found.append((kind, f"foreign-{target}-{number}", spec))
    return found
