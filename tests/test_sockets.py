"""Socket options that detect a silent peer."""

import asyncio
import socket

from lacewingcross import sockets


def test_one_lost_probe_does_not_close_a_connection():
    """Guards against long requests that end when a link loses one packet."""

    async def scenario():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        sockets.set_silence_timeout(writer.transport)
        sock = writer.get_extra_info("socket")

        def option(name):
            return sock.getsockopt(socket.IPPROTO_TCP, name)

        timeout_s = option(socket.TCP_USER_TIMEOUT) / 1000
        probes_at = [
            option(socket.TCP_KEEPIDLE) + number * option(socket.TCP_KEEPINTVL)
            for number in range(option(socket.TCP_KEEPCNT) + 1)
        ]
        assert probes_at[-2] < timeout_s < probes_at[-1]
        writer.close()
        server.close()

    asyncio.run(scenario())
