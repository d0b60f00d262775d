"""TCP connections with other hosts and backend servers: opening and socket options."""

import asyncio
import socket
from collections.abc import Coroutine
from typing import TypeVar

T = TypeVar("T", bound=tuple)

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
# Delay of a timer from which this process counts as late, and time in which it then
# takes up what has arrived meanwhile, in seconds.
LATE_TIMER_S = 0.05
TAKE_UP_S = 0.1


async def open_in_time(opening: Coroutine[None, None, T], timeout_s: float) -> T:
    """Return the connection that a coroutine opens.

    Guards against a process without processor time that takes others for unreachable:
    when it runs again, its timer has expired and the connection is open as well. So
    after a late timer the coroutine gets `TAKE_UP_S` more.

    Parameters
    ----------
    opening : coroutine
        Returns a pair whose second part has the attribute `transport`.
    timeout_s : float
        Timeout in seconds.

    Raises
    ------
    TimeoutError
        When the connection is not open in time.
    OSError
        When it cannot be opened.
    """
    loop = asyncio.get_running_loop()
    expires_at = loop.time() + timeout_s
    task = loop.create_task(opening)
    try:
        await asyncio.wait((task,), timeout=timeout_s)
        if not task.done() and loop.time() - expires_at > LATE_TIMER_S:
            await asyncio.wait((task,), timeout=TAKE_UP_S)
    except asyncio.CancelledError:
        if task.done() and not task.cancelled() and task.exception() is None:
            task.result()[1].transport.abort()
        raise
    finally:
        task.cancel()
    if not task.done():
        raise TimeoutError
    return task.result()


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
