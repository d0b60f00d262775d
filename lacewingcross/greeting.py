"""Validate the hello, the first message that a host sends on a connection."""

from .checks import is_address, is_name
from .core import messages as msg
from .core.membership import HostInfo
from .errors import FrameError
from .wire import PROTOCOL

# No host has this many processor cores; this value or a larger one is an error of the
# sender.
MAX_CORES = 10_000.0


def host_of(hello: msg.Message) -> HostInfo:
    """Return the host that a hello describes.

    Raises
    ------
    FrameError
        With code ``bad-hello`` when a field is invalid or the message is no hello, or
        ``bad-protocol`` when the sender uses another protocol version.
    """
    if not isinstance(hello, msg.Hello):
        raise FrameError("bad-hello", "expected a hello as the first message")
    if hello.protocol != PROTOCOL:
        raise FrameError(
            "bad-protocol", f"expected protocol {PROTOCOL}, got {hello.protocol}"
        )
    names = (hello.host_id, hello.region, hello.failure_domain)
    if not all(is_name(name) for name in names):
        raise FrameError(
            "bad-hello", "expected names for host, region and failure domain"
        )
    if not (is_address(hello.entry) and is_address(hello.peer)):
        raise FrameError("bad-hello", "expected addresses like 127.0.0.1:8080")
    if not 0 < hello.cores < MAX_CORES:
        raise FrameError(
            "bad-hello",
            f"expected a plausible number of cores above 0, got {hello.cores}",
        )
    return HostInfo(
        hello.host_id,
        hello.region,
        hello.failure_domain,
        hello.entry,
        hello.peer,
        cores=hello.cores,
    )
