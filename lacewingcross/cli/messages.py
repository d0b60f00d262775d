"""The command that shows the messages that a host exchanges with other hosts."""

from ..gateway.gossip_receiver import RECEIVED
from ..gateway.link import SENT, SENT_BYTES
from .metrics_page import fetch_page, figures_by_name
from .output import print_rows

HEADER = ("message", "sent", "bytes sent", "heard")
COLUMN_PREFIXES = (SENT, SENT_BYTES, RECEIVED)


def messages(*, url: str, output: str = "table") -> None:
    """Show the messages between hosts that one host has sent and received, by kind.

    Example: lacewingcross messages --url http://10.1.0.34:9464/metrics

    Parameters
    ----------
    url : str
        Address of the host's metrics page.
    output : str
        ``table`` or ``json``.
    """
    print_rows(HEADER, rows_of(fetch_page(url)), output)


def rows_of(page: str) -> list[tuple[str, int, int, int]]:
    """Return a row for each kind of message in a metrics page, and a row of sums.

    Parameters
    ----------
    page : str
        Lines with the name of a metric and its value.
    """
    rows = [
        (kind, *map(int, figures))
        for kind, figures in figures_by_name(page, COLUMN_PREFIXES)
    ]
    sums = [sum(row[index] for row in rows) for index in range(1, len(HEADER))]
    return [*rows, ("all", *sums)]
