"""Socket options that every connection of ours gets."""

import asyncio
import socket

# Data that the other side does not acknowledge for this long ends the connection, in
# milliseconds. Two resends of a lost packet fit in; a partition shows within it.
USER_TIMEOUT_MS = 2500
# Probes on a connection without traffic: seconds until the first, seconds between, and
# how many may stay unanswered.
PROBE_AFTER_S = 2
PROBE_INTERVAL_S = 1
MAX_UNANSWERED_PROBES = 2


def set_silence_timeout(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end a connection whose other side has fallen silent.

    Failure: a host loses power or is cut off; nothing is reset, and both reads and
    writes on its connections wait for ever. The kernel's own probes end them.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
