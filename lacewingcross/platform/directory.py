"""What callers and the platform ask an entry host itself: formats of both calls."""

import json
from dataclasses import dataclass
from urllib.parse import parse_qs

READINESS_PATH = "/v1/readiness"
LOOKUP_PATH = "/v1/resolve"


@dataclass(slots=True, frozen=True)
class LookupQuestion:
    """Which entry hosts a caller in `region` should use for a host name.

    The platform calls the caller's failure domain its zone.
    """

    host_name: str
    region: str
    failure_domain: str = ""


def decode_question(target: str) -> LookupQuestion | None:
    """Return the question in a request target, or None when it is another call."""
    path, _, query = target.partition("?")
    if path != LOOKUP_PATH:
        return None
    fields = parse_qs(query)
    name = fields.get("name", [""])[0]
    region = fields.get("region", [""])[0]
    return LookupQuestion(name.lower(), region, fields.get("zone", [""])[0])


def encode_answer(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the body that names entry hosts for `lifetime_s` seconds."""
    return json.dumps({"addresses": addresses, "ttl_s": lifetime_s}).encode()
