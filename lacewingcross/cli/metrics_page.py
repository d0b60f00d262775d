"""Fetches a host's metrics page and reads it as the rows of a table."""

import asyncio
from collections.abc import Iterator, Sequence
from urllib.parse import urlsplit

from ..checks import is_address
from ..errors import UserError
from ..http1_client import HttpClient, HttpError

# A host sends its metrics page within milliseconds. A host that needs longer than this
# is considered unavailable.
PAGE_TIMEOUT_S = 5.0


def fetch_page(url: str) -> str:
    """Return the text of a host's metrics page.

    Raises
    ------
    UserError
        With code ``bad-address`` or ``unavailable``.
    """
    return asyncio.run(_fetch(url))


async def _fetch(url: str) -> str:
    parts = urlsplit(url)
    if parts.scheme != "http" or not is_address(parts.netloc):
        raise UserError("bad-address", f"expected http://IP:PORT/PATH, {url}")
    http = HttpClient(parts.netloc)
    try:
        async with asyncio.timeout(PAGE_TIMEOUT_S):
            response = await http.request("GET", parts.path or "/")
    except (HttpError, OSError, TimeoutError) as exc:
        raise UserError("unavailable", f"no metrics page at {url}: {exc!r}") from exc
    finally:
        http.close()
    return response.body.decode()


def figures_by_name(
    page: str, prefixes: Sequence[str]
) -> Iterator[tuple[str, list[float]]]:
    """Yield the values of some counters or gauges for each object, sorted by object.

    Parameters
    ----------
    page : str
        Lines with the name of a metric and its value.
    prefixes : sequence of str
        Prefixes of metric names, one for each column. The rest of a metric's name is
        the name of the object that it describes, such as an account or a server.

    Yields
    ------
    name : str
        Name of the object.
    figures : list of float
        One value for each prefix, 0 where the page has none.
    """
    figures = dict(line.rsplit(" ", 1) for line in page.splitlines() if " " in line)
    names = {
        name.removeprefix(prefix)
        for name in figures
        for prefix in prefixes
        if name.startswith(prefix)
    }
    for name in sorted(names):
        yield name, [float(figures.get(prefix + name, 0)) for prefix in prefixes]
