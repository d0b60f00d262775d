"""The frame of a caller's request: what steering needs to know of it."""

from dataclasses import dataclass

from .. import headers as hd
from ..http1_exchange import Exchange
from ..platform import headers as ph


@dataclass(slots=True, frozen=True)
class Frame:
    """What steering needs to know of a request; `remaining_s` is 0 when unsaid."""

    request_id: str
    key: str
    host_name: str
    path: str
    remaining_s: float


class FrameError(Exception):
    """A header of the request's frame is not usable."""


def read_frame(exchange: Exchange) -> Frame:
    """Return the frame of a request.

    Raises
    ------
    FrameError
        Names the header and what was expected.
    """
    headers = exchange.head.headers
    target = exchange.head.target
    if not target.startswith("/"):
        raise FrameError("expected a path as request target")
    request_id = hd.find(headers, ph.REQUEST_ID)
    if not request_id:
        raise FrameError(f"expected {ph.REQUEST_ID.decode()}")
    try:
        remaining = hd.milliseconds(headers, ph.REMAINING_MS)
    except ValueError as exc:
        raise FrameError(str(exc)) from exc
    host_name = hd.find(headers, b"host").partition(":")[0].lower()
    path = target.partition("?")[0]
    key = hd.find(headers, ph.AFFINITY_KEY)
    return Frame(request_id, key, host_name, path, remaining or 0.0)
