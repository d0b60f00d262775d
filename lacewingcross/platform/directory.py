"""Formats of the two calls that an entry host answers itself: readiness and look-up."""

import json
from dataclasses import dataclass
from urllib.parse import parse_qs

READINESS_PATH = "/v1/readiness"
LOOKUP_PATH = "/v1/resolve"


@dataclass(slots=True, frozen=True)
class LookupQuestion:
    """Asks which entry hosts a caller should use for a host name.

    Attributes
    ----------
    host_name : str
        Host name of the service, in lower case.
    region : str
        Region of the caller.
    failure_domain : str
        Failure domain of the caller, which the platform calls its zone. Empty if it is
        unknown.
    """

    host_name: str
    region: str
    failure_domain: str = ""


def decode_question(target: str) -> LookupQuestion | None:
    """Return the look-up in a request target, None if its path is no `LOOKUP_PATH`."""
    path, _, query = target.partition("?")
    if path != LOOKUP_PATH:
        return None
    fields = parse_qs(query)
    name = fields.get("name", [""])[0]
    region = fields.get("region", [""])[0]
    return LookupQuestion(name.lower(), region, fields.get("zone", [""])[0])


def encode_answer(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the body of the answer to a look-up.

    Parameters
    ----------
    addresses : list of str
        Addresses of the entry hosts that the caller should use.
    lifetime_s : float
        How long the caller may use the answer, in seconds.
    """
    return json.dumps({"addresses": addresses, "ttl_s": lifetime_s}).encode()
