"""Validate what a host says of itself, or another program says of a host."""

from .checks import is_name, is_remote_address
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
    info = HostInfo(
        hello.host_id,
        hello.region,
        hello.failure_domain,
        hello.entry,
        hello.peer,
        cores=hello.cores,
    )
    expected = invalid_host(info)
    if expected:
        raise FrameError("bad-hello", f"expected {expected}")
    return info


def invalid_host(info: HostInfo) -> str:
    """Return what was expected of a host's fields, empty if all of them are valid.

    Every host that another program describes is checked here: in a greeting, in the
    list of the store, and in what other hosts report.
    """
    names = (info.host_id, info.region, info.failure_domain)
    if not all(is_name(name) for name in names):
        return "names for host, region and failure domain"
    if not (is_remote_address(info.entry) and is_remote_address(info.peer)):
        return "addresses like 127.0.0.1:8080"
    if not 0 < info.cores < MAX_CORES:
        return f"a plausible number of cores above 0, got {info.cores:g}"
    return ""
