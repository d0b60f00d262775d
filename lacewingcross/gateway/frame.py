"""The frame of a caller's request: the part of its head that steering uses."""

from dataclasses import dataclass

from .. import headers as hd
from ..http1_exchange import Exchange
from ..platform import headers as ph


@dataclass(slots=True, frozen=True)
class Frame:
    """The part of a request's head that steering uses.

    `key` is the affinity key, empty if there is none. `remaining_s` is the time until
    the caller's deadline, in seconds, 0 if the caller sent none.
    """

    request_id: str
    key: str
    host_name: str
    path: str
    remaining_s: float


class FrameError(Exception):
    """The target or a header of the request's frame is missing or unusable."""


def read_frame(exchange: Exchange) -> Frame:
    """Return the frame of a request.

    Raises
    ------
    FrameError
        The message says what was expected of the target or of the header that it names.
    """
    headers = exchange.head.headers
    target = exchange.head.target
    if not target.startswith("/"):
        raise FrameError("expected a path as request target")
    request_id = hd.find(headers, ph.REQUEST_ID)
    if not request_id:
        raise FrameError(f"expected {ph.REQUEST_ID.decode()}")
    try:
        remaining_s = hd.milliseconds(headers, ph.REMAINING_MS)
    except ValueError as exc:
        raise FrameError(str(exc)) from exc
    host_name = hd.find(headers, b"host").partition(":")[0].lower()
    path = target.partition("?")[0]
    key = hd.find(headers, ph.AFFINITY_KEY)
    return Frame(request_id, key, host_name, path, remaining_s or 0.0)
