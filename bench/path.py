"""Measures the cost of the data path.

The figures are the cost of look-ups, the added latency, and requests per second and
core.
"""

import asyncio
from statistics import fmean

import h11

from lacewingcross.deployments import (
    GRUPO_VISITAS,
    Deployment,
    Ports,
    ServiceShape,
    lay_out,
)
from lacewingcross.embedded import free_ports

from .load import closed_loop, get_request
from .processes import BenchProcesses

SECONDS = 4.0
SETTLE_S = 4.0
IDLE_S = 10.0
LOOKUP_CALLERS = 4000
FAST_DEPLOYMENT = Deployment(
    "path",
    ("one",),
    1,
    (ServiceShape("booking", 2, 64, 400, 0.0, 5_000),),
    0.0,
    10,
)


class BareServer(asyncio.Protocol):
    """The naive baseline: a bare h11 server that builds every look-up response anew."""

    BODY = b'{"hosts":[{"id":"h","address":"127.0.0.1:1","region":"r"}],"ttl_s":30}'

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._conn = h11.Connection(h11.SERVER)

    def data_received(self, data: bytes) -> None:
        self._conn.receive_data(data)
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.EndOfMessage):
                self._answer()

    def _answer(self) -> None:
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(self.BODY)).encode()),
        ]
        conn = self._conn
        out = conn.send(h11.Response(status_code=200, headers=headers))
        out += conn.send(h11.Data(data=self.BODY))
        out += conn.send(h11.EndOfMessage())
        self._transport.write(out)
        conn.start_next_cycle()


def _lookups() -> list[bytes]:
    return [
        get_request(f"/v1/lookup?service=booking&address=10.1.{n // 250}.{n % 250}")
        for n in range(LOOKUP_CALLERS)
    ]


async def measure_path() -> dict[str, float]:
    """Return the figures of the path; the baselines are measured in the same run."""
    layout = lay_out(FAST_DEPLOYMENT, Ports(free_ports()), log_level="ERROR")
    async with BenchProcesses(layout) as procs:
        host = layout.hosts[0]
        idle = procs.rss_bytes("host-1")
        result = await _lookup_cost(procs, host.entry)
        result["rss_idle_mb"] = idle / 1e6
        growth_bytes = procs.rss_bytes("host-1") - idle
        result["rss_each_caller_bytes"] = max(0, growth_bytes) / LOOKUP_CALLERS
        result.update(await _request_cost(procs, host.entry))
    result.update(await measure_idle())
    result["bare_h11_us"] = await _bare_cost()
    result["lookup_over_bare"] = result["lookup_cpu_us"] / result["bare_h11_us"]
    return result


async def measure_idle() -> dict[str, float]:
    """Return the share of a core that idle hosts use, in a fleet of twelve."""
    layout = lay_out(
        GRUPO_VISITAS, Ports(free_ports()), worker_divisor=3, log_level="ERROR"
    )
    async with BenchProcesses(layout) as procs:
        await asyncio.sleep(SETTLE_S)
        before = {cfg.host_id: procs.cpu_s(cfg.host_id) for cfg in layout.hosts}
        await asyncio.sleep(IDLE_S)
        shares = [
            100 * (procs.cpu_s(host_id) - used_s) / IDLE_S
            for host_id, used_s in before.items()
        ]
    return {"idle_percent_mean": fmean(shares), "idle_percent_most": max(shares)}


async def _lookup_cost(procs: BenchProcesses, entry: str) -> dict[str, float]:
    first_calls = await _cpu_per_call(procs, entry, _lookups(), 1.0)
    repeated = await _cpu_per_call(procs, entry, _lookups(), SECONDS)
    return {
        "lookup_first_cpu_us": first_calls[0],
        "lookup_cpu_us": repeated[0],
        "lookups_per_core_s": 1e6 / repeated[0],
    }


async def _cpu_per_call(
    procs: BenchProcesses, entry: str, payloads: list[bytes], seconds: float
) -> tuple[float, float]:
    before = procs.cpu_s("host-1")
    load = await closed_loop(entry, payloads, 16, seconds)
    used_s = procs.cpu_s("host-1") - before
    assert load.failed == 0, load.failed
    return used_s / load.done * 1e6, load.percentile_us(50)


async def _request_cost(procs: BenchProcesses, entry: str) -> dict[str, float]:
    headers = [("X-Client-Address", "10.1.0.1"), ("X-Caller-Id", "bench")]
    request = [get_request("/booking/x", headers)]
    backend = procs.layout.backends[0].listen
    direct = await closed_loop(backend, request, 1, SECONDS)
    before = procs.cpu_s("host-1")
    through = await closed_loop(entry, request, 1, SECONDS)
    used_s = procs.cpu_s("host-1") - before
    assert through.failed == 0, through.failed
    return {
        "direct_p50_us": direct.percentile_us(50),
        "direct_p99_us": direct.percentile_us(99),
        "through_p50_us": through.percentile_us(50),
        "through_p99_us": through.percentile_us(99),
        "added_p50_us": through.percentile_us(50) - direct.percentile_us(50),
        "added_p99_us": through.percentile_us(99) - direct.percentile_us(99),
        "request_cpu_us": used_s / through.done * 1e6,
        "requests_per_core_s": through.done / used_s,
    }


async def _bare_cost() -> float:
    """Return the processor time per look-up of the bare server, in microseconds.

    Sender and server run in this process. The sender's share is measured with a server
    that responds without parsing, and is subtracted.
    """
    with_h11 = await _in_process(BareServer)
    without = await _in_process(EchoServer)
    return with_h11 - without + without / 2


class EchoServer(asyncio.Protocol):
    """Responds to any input with the same bytes, to measure the cost of the sender."""

    REPLY = (
        b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(BareServer.BODY)
    ) + BareServer.BODY

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(self.REPLY)


async def _in_process(factory: type[asyncio.Protocol]) -> float:
    import time

    loop = asyncio.get_running_loop()
    server = await loop.create_server(factory, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    before = time.process_time()
    load = await closed_loop(f"127.0.0.1:{port}", _lookups()[:64], 16, 2.0)
    used_s = time.process_time() - before
    server.close()
    return used_s / load.done * 1e6


if __name__ == "__main__":
    for name, value in asyncio.run(measure_path()).items():
        print(f"{name} {value:.1f}")
