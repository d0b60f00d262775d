"""Load generator with closed-loop HTTP connections that cost the sender little."""

import asyncio
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

MAX_RECORDED_US = 60_000_000


class RawLoop(asyncio.Protocol):
    """Sends prepared requests one after the other on one connection.

    It parses only the status and the Content-Length, which every response must have.
    """

    def __init__(self, payloads: Sequence[bytes], hist: HdrHistogram) -> None:
        self._payloads = payloads
        self._hist = hist
        self._next_index = 0
        self._buffer = b""
        self._sent_at = 0.0
        self._transport: asyncio.Transport | None = None
        self.done = 0
        self.failed = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._send()

    def _send(self) -> None:
        payload = self._payloads[self._next_index % len(self._payloads)]
        self._next_index += 1
        self._sent_at = time.perf_counter()
        self._transport.write(payload)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        if len(body) < length:
            return
        elapsed = int((time.perf_counter() - self._sent_at) * 1e6)
        self._hist.record_value(max(1, elapsed))
        self._buffer = b""
        self.done += 1
        if not head.startswith(b"HTTP/1.1 200"):
            self.failed += 1
        self._send()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class LoadResult:
    """The figures of one load run.

    Attributes
    ----------
    done, failed : int
        Number of responses, and of those with a status other than 200.
    seconds : float
        Duration of the run.
    hist : HdrHistogram
        Response times in microseconds.
    """

    def __init__(self, done: int, failed: int, seconds: float, hist: HdrHistogram):
        self.done = done
        self.failed = failed
        self.seconds = seconds
        self.hist = hist

    def percentile_us(self, pct: float) -> int:
        return self.hist.get_value_at_percentile(pct)


async def closed_loop(
    address: str, payloads: Sequence[bytes], connections: int, seconds: float
) -> LoadResult:
    """Send requests on `connections` connections to `address` for `seconds`."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    hist = HdrHistogram(1, MAX_RECORDED_US, 3)
    protocols = []
    for connection_index in range(connections):
        own_payloads = payloads[connection_index::connections] or payloads
        _, protocol = await loop.create_connection(
            lambda own_payloads=own_payloads: RawLoop(own_payloads, hist),
            host,
            int(port),
        )
        protocols.append(protocol)
    started = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed = time.perf_counter() - started
    for protocol in protocols:
        protocol.close()
    done = sum(protocol.done for protocol in protocols)
    failed = sum(protocol.failed for protocol in protocols)
    return LoadResult(done, failed, elapsed, hist)


def get_request(target: str, headers: Sequence[tuple[str, str]] = ()) -> bytes:
    """Return the bytes of a GET request."""
    lines = [f"GET {target} HTTP/1.1", "Host: bench"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
