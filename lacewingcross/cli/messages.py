"""The command that shows what a host tells and hears of others."""

import asyncio
from urllib.parse import urlsplit

from ..checks import is_address
from ..errors import UserError
from ..gateway.hearing import HEARD
from ..gateway.link import SENT, SENT_BYTES
from ..http1_client import HttpClient, HttpError
from .output import print_json, print_table

HEAD = ("message", "sent", "bytes sent", "heard")
# A metrics page comes within milliseconds; a host that needs longer is not there.
PAGE_S = 5.0


def messages(*, url: str, output: str = "table") -> None:
    """Show the messages between hosts that one host has sent and heard, by kind.

    Example: lacewingcross messages --url http://10.1.0.34:9464/metrics

    Parameters
    ----------
    url : str
        The host's metrics page.
    output : str
        ``table`` or ``json``.
    """
    rows = rows_of(asyncio.run(metrics_page(url)))
    if output == "json":
        print_json([dict(zip(HEAD, row, strict=True)) for row in rows])
    else:
        print_table(HEAD, rows)


def rows_of(page: str) -> list[tuple[str, int, int, int]]:
    """Return a row for each kind of message in a metrics page, and their sum.

    Parameters
    ----------
    page : str
        Lines of a name and a figure.
    """
    figures = dict(line.rsplit(" ", 1) for line in page.splitlines() if " " in line)
    columns = (SENT, SENT_BYTES, HEARD)
    kinds = sorted(
        {
            name.removeprefix(column)
            for name in figures
            for column in columns
            if name.startswith(column)
        }
    )
    rows = [
        (kind, *(int(figures.get(column + kind, 0)) for column in columns))
        for kind in kinds
    ]
    sums = [sum(row[index] for row in rows) for index in range(1, len(HEAD))]
    return [*rows, ("all", *sums)]


async def metrics_page(url: str) -> str:
    """Return a host's metrics page.

    Raises
    ------
    UserError
        With code ``bad-address`` or ``unavailable``.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or not is_address(parts.netloc):
        raise UserError("bad-address", f"expected http://IP:PORT/PATH, {url}")
    http = HttpClient(parts.netloc)
    try:
        async with asyncio.timeout(PAGE_S):
            response = await http.request("GET", parts.path or "/")
    except (HttpError, OSError, TimeoutError) as exc:
        raise UserError("unavailable", f"no metrics page at {url}: {exc!r}") from exc
    finally:
        http.close()
    return response.body.decode()
