"""Runs an entry host whose connections to servers go through the soak's proxy."""

import asyncio
import os
import socket

from lacewingcross.checks import split_address
from lacewingcross.gateway import app
from lacewingcross.gateway.backend_connection import (
    REFUSED,
    UNREACHABLE,
    BackendConnection,
)
from lacewingcross.http1_client import HttpError

from .server_path import OPEN

# Environment variable with the address of the proxy.
PROXY_VARIABLE = "SOAK_SERVER_PATH"


async def connect(address: str, timeout_s: float) -> BackendConnection:
    """Open a connection to a server through the proxy."""
    sock = socket.socket()
    sock.setblocking(False)
    try:
        async with asyncio.timeout(timeout_s):
            await _open(sock, address)
    except (ConnectionRefusedError, ConnectionResetError) as exc:
        sock.close()
        raise HttpError(REFUSED, sent=False, detail=repr(exc)) from exc
    except (OSError, TimeoutError) as exc:
        sock.close()
        raise HttpError(UNREACHABLE, sent=False, detail=repr(exc)) from exc
    loop = asyncio.get_running_loop()
    _, conn = await loop.create_connection(BackendConnection, sock=sock)
    return conn


async def _open(sock: socket.socket, address: str) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, split_address(os.environ[PROXY_VARIABLE]))
    await loop.sock_sendall(sock, f"{address}\n".encode())
    if await loop.sock_recv(sock, 1) != OPEN:
        raise ConnectionRefusedError


def main() -> None:
    """Run the host."""
    BackendConnection.open = staticmethod(connect)
    app.main()


if __name__ == "__main__":
    main()
