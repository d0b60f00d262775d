"""Socket options for the TCP connections with other hosts and backend servers."""

import asyncio
import socket

# TCP_USER_TIMEOUT in milliseconds: the kernel closes a connection whose sent data stays
# unacknowledged for this long. It also decides when keep-alive gives up, instead of
# `MAX_UNANSWERED_PROBES`: after the first unanswered probe past this time. So it ends
# between the last two probes that may stay unanswered.
USER_TIMEOUT_MS = 3500
# TCP keep-alive on a connection without traffic: seconds until the first probe, seconds
# between probes, and the unanswered probes after which the connection is closed.
PROBE_AFTER_S = 2
PROBE_INTERVAL_S = 1
MAX_UNANSWERED_PROBES = 2


def set_silence_timeout(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close a connection whose other side no longer responds.

    Guards against a host that loses power or is cut off from the network. Its
    connections are not reset, so reads and writes on them would wait for ever. The
    kernel closes them after unanswered keep-alive probes, or when sent data stays
    unacknowledged for `USER_TIMEOUT_MS`. Sockets other than TCP are left as they are.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
