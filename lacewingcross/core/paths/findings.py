"""What hosts find when they check whether a backend server accepts connections."""

from collections.abc import Iterable
from enum import Enum


class Finding(Enum):
    """The result of a check of one run of a server by one host."""

    # The server accepts connections.
    REACHED = "reached"
    # Its address refuses connections, while the same host reaches another server.
    REFUSED = "refused"
    # It does not answer.
    SILENT = "silent"
    # The host cannot tell, for example because it reaches no server at all.
    UNSURE = "unsure"


def combine(findings: Iterable[Finding]) -> Finding:
    """Return what several hosts together have found.

    A host that reaches the server outweighs all others: a partition keeps hosts from
    servers, but it lets no host reach a server that is gone.
    """
    found = set(findings)
    for finding in (Finding.REACHED, Finding.REFUSED, Finding.SILENT):
        if finding in found:
            return finding
    return Finding.UNSURE
