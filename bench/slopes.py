"""Measures the slopes behind docs/CAPACITY.md.

A slope is the cost for each further block, site, peer, change or look-up. Each is
measured at four sizes or more, in processor time and not in wall time.
"""

import asyncio
import json
import random
import time
import tracemalloc
from dataclasses import asdict
from pathlib import Path

from lacewingcross import wire
from lacewingcross.cli.blocks import shards
from lacewingcross.core import messages as msg
from lacewingcross.core.blocks import BlockIndex
from lacewingcross.core.config import Config, Entry
from lacewingcross.core.events import ConfigSeen, HostsListed, PeerMessage, Tick
from lacewingcross.core.keeper import SlotKeeper
from lacewingcross.core.membership import HostInfo
from lacewingcross.core.neighbours import Place, neighbours
from lacewingcross.core.node import HostCore
from lacewingcross.core.plan import Plan, apportion, encode_plan, fresh_table
from lacewingcross.core.planner import Planner, PlannerInput
from lacewingcross.core.resources import (
    BackendPool,
    BackendServer,
    ClientGroup,
    ShiftCap,
    SteeringPolicy,
    encode_value,
)

from .fit import fit

RESULT = Path(__file__).parent / "results" / "slopes.json"
BLOCK_SIZES = (10_000, 40_000, 80_000, 160_000)
TABLE_SIZES = (5_000, 10_000, 20_000, 39_000)
SITE_SIZES = (500, 1_000, 2_000, 4_200)
PEER_SIZES = (8, 16, 32, 64)
REGION_SIZES = (4, 14, 28, 56)
HOST_SIZES = (100, 500, 1_500, 4_500)
CHANGE_SIZES = (200, 400, 800, 1_600)
PERMIT_SIZES = (1_000, 2_000, 4_000, 8_000)
SERVICES = 3
REGIONS = 56
DOMAINS = 203


def cpu_of(function, *args) -> tuple[float, object]:
    """Return the processor seconds of one call, and its result."""
    before = time.process_time()
    result = function(*args)
    return time.process_time() - before, result


def memory_of(function, *args) -> tuple[int, object]:
    """Return the bytes that one call leaves allocated, and its result."""
    tracemalloc.start()
    result = function(*args)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, result


def networks(count: int) -> list[tuple[str, int]]:
    """Return `count` neighbouring /24 blocks over all regions."""
    return [
        (f"{1 + num // 65536}.{num // 256 % 256}.{num % 256}.0/24", num % REGIONS)
        for num in range(count)
    ]


def block_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return build time, size and look-up time by number of blocks."""
    build, size, find = [], [], []
    rng = random.Random(1)
    for count in BLOCK_SIZES:
        nets = networks(count)
        seconds, index = cpu_of(BlockIndex, nets)
        build.append((count, seconds * 1e6))
        size.append((count, index.nbytes))
        probes = [rng.randrange(1 << 24, 1 << 26) for _ in range(100_000)]
        seconds, _ = cpu_of(lambda ix=index, ps=probes: [ix.find(p) for p in ps])
        find.append((count, seconds / len(probes) * 1e6))
    return {"block_build_us": build, "block_bytes": size, "block_find_us": find}


def table_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return decoding time and stored size of packed shards by number of blocks."""
    decode, stored = [], []
    for count in TABLE_SIZES:
        pairs = [(net, f"group-{group}") for net, group in networks(count)]
        (item,) = list(shards(pairs, "clients"))
        text = encode_value({"spec": item["spec"]})
        stored.append((count, len(text)))
        entry = Entry(f"BlockTable/{item['name']}", 1, text)
        seconds, _ = cpu_of(_merge_one, entry)
        decode.append((count, seconds * 1e6))
    return {"table_decode_us": decode, "table_stored_bytes": stored}


def servers(count: int) -> tuple[BackendServer, ...]:
    """Return `count` backend servers over all regions."""
    return tuple(
        BackendServer(
            f"site-{num}",
            f"10.0.{num // 250}.{num % 250}:80",
            f"region-{num % REGIONS}",
            f"domain-{num % DOMAINS}",
            8,
            400,
        )
        for num in range(count)
    )


def pool_text(count: int) -> str:
    """Return the stored form of a pool with `count` backend servers."""
    items = [
        {
            "id": srv.server_id,
            "address": srv.address,
            "region": srv.region,
            "failure_domain": srv.failure_domain,
            "slots": srv.slots,
        }
        for srv in servers(count)
    ]
    return encode_value({"spec": {"servers": items}})


def site_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return parse time, memory and stored bytes by number of sites."""
    parse, size, stored = [], [], []
    for count in SITE_SIZES:
        text = pool_text(count)
        stored.append((count, len(text)))
        entry = Entry("BackendPool/all", 1, text)
        seconds, _ = cpu_of(_merge_one, entry)
        parse.append((count, seconds * 1e6))
        nbytes, _ = memory_of(_merge_one, entry)
        size.append((count, nbytes))
    return {"site_parse_us": parse, "site_bytes": size, "site_stored_bytes": stored}


def _merge_one(entry: Entry) -> Config:
    config = Config()
    config.merge([entry], 1, True)
    return config


def host_list(count: int) -> list[HostInfo]:
    """Return `count` hosts over all regions and failure domains."""
    return [
        HostInfo(
            f"host-{num}",
            f"region-{num % DOMAINS % REGIONS}",
            f"domain-{num % DOMAINS}",
            "10.0.0.1:80",
            "10.0.0.1:81",
        )
        for num in range(count)
    ]


def fleet_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return memory, host-list time and live-set time by number of hosts."""
    size, listing, live, degree = [], [], [], []
    for count in HOST_SIZES:
        hosts = host_list(count)
        nbytes, core = memory_of(_core_with, hosts)
        size.append((count, nbytes))
        seconds, _ = cpu_of(core.handle, HostsListed(hosts), 2.0)
        listing.append((count, seconds * 1e6))
        seconds, _ = cpu_of(_live_sets, core)
        live.append((count, seconds / 5 * 1e6))
        places = [Place(h.host_id, h.region, h.failure_domain) for h in hosts]
        max_neighbours = max(len(neighbours(place, places)) for place in places[:60])
        degree.append((count, max_neighbours))
    return {
        "host_bytes": size,
        "host_list_us": listing,
        "live_set_us": live,
        "most_neighbours": degree,
    }


def _live_sets(core: HostCore) -> None:
    """Compute the live set five times, without a cached result."""
    for num in range(5):
        core.view.members.set_drained({core.view.own.host_id, f"host-{num + 1}"})
        core.view.members.live(2.0 + num * 0.01)


def _core_with(hosts: list[HostInfo]) -> HostCore:
    core = HostCore(hosts[0], 1, random.Random(1))
    core.handle(HostsListed(hosts), 1.0)
    return core


def change_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return the cost of putting changes into force, by their number."""
    cpu = []
    for count in CHANGE_SIZES:
        core = _core_with(host_list(4_500))
        spec = {"server": "site-1"}
        entries = [
            Entry(f"Drain/d{num % 50}", num + 1, encode_value({"spec": spec}))
            for num in range(count)
        ]
        core.handle(ConfigSeen([Entry("BackendPool/all", 1, pool_text(4_200))], 1), 1.0)

        def apply(entries=entries, core=core) -> None:
            for item in entries:
                core.handle(ConfigSeen([item], item.version), 2.0)

        seconds, _ = cpu_of(apply)
        cpu.append((count, seconds * 1e6))
    return {"change_us": cpu}


def push_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return the bytes on the wire of a change by the size of its JSON."""
    points = []
    for count in (10, 20, 40, 80):
        text = pool_text(count)
        push = msg.ConfigPush(9, [("BackendPool/all", 9, text)], True)
        points.append((len(text), len(wire.encode(push))))
    return {"push_bytes": points}


def keeper_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return the cost of permits: request, grant and release, encoded and decoded."""
    cpu = []
    for count in PERMIT_SIZES:
        keeper = SlotKeeper("s", "region-0", 1, random.Random(1))
        keeper.servers.declare(iter(servers(75)), set(), 0.0)
        keeper.limit = 600.0
        seconds, _ = cpu_of(_permits, keeper, count)
        cpu.append((count, seconds * 1e6))
    return {"permit_us": cpu}


def _permits(keeper: SlotKeeper, count: int) -> None:
    for num in range(count):
        now = num * 0.001
        acquire_message = msg.Acquire("s", "region-0", f"r{num}", 2.0, [])
        acquire_message = wire.decode(wire.encode(acquire_message)[4:])
        (reply,) = keeper.acquire("h", acquire_message, now)
        grant = wire.decode(wire.encode(reply.message)[4:])
        release = msg.Release(
            "s", "region-0", grant.permit, grant.server_id, "answered", 0.01
        )
        list(keeper.release(wire.decode(wire.encode(release)[4:]), now))


def planner_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return the time of a planning step and the plan's size by number of regions."""
    cpu, stored = [], []
    for count in REGION_SIZES:
        names = [f"region-{num}" for num in range(count)]
        groups = tuple(ClientGroup(name, (), {name: 1.0}) for name in names)
        tables = {name: fresh_table(apportion({name: 1.0})) for name in names}
        planner = Planner("s", "p.1")
        pool = BackendPool("s", servers(75 * count))
        planner_input = PlannerInput(
            SteeringPolicy("s", groups),
            pool,
            ShiftCap("s"),
            frozenset((names[0],)),
            frozenset(),
        )
        plan = Plan("s", tables)
        for name in names:
            load = msg.RegionLoad("s", name, 50, 0, 600.0, 100.0)
            planner.on_load(load, 10.0)
        seconds, step = cpu_of(planner.step, plan, planner_input, 11.5)
        cpu.append((count, seconds * 1e6))
        stored.append((count, len(encode_value(encode_plan(step.plan)))))
    return {"plan_step_us": cpu, "plan_bytes": stored}


async def peer_slopes() -> dict[str, list[tuple[float, float]]]:
    """Return processor time and bytes of heartbeats on real loopback streams."""
    cpu, size = [], []
    heartbeat = msg.Heartbeat("live", 123_456, 0, [], [])
    for count in PEER_SIZES:
        seconds = await _heartbeat_streams_s(count, heartbeat)
        cpu.append((count, seconds * 1e6))
        size.append((count, count * len(wire.encode(heartbeat))))
    return {"heartbeat_us": cpu, "heartbeat_bytes": size}


HEARTBEATS = 40


async def _heartbeat_streams_s(count: int, heartbeat: msg.Heartbeat) -> float:
    """Return the processor seconds to send and receive one heartbeat for each peer."""
    hosts = host_list(count + 1)
    core = _core_with(hosts)
    received = 0
    done = asyncio.Event()

    async def accept(reader: asyncio.StreamReader, _writer) -> None:
        nonlocal received
        hello = await wire.read_message(reader)
        while received < count * HEARTBEATS:
            message = await wire.read_message(reader)
            core.handle(PeerMessage(hello.host_id, message), 2.0)
            received += 1
            if received == count * HEARTBEATS:
                done.set()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    writers = []
    for info in hosts[1:]:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        fields = (info.region, info.failure_domain, info.entry, info.peer)
        writer.write(wire.encode(msg.Hello(info.host_id, 1, wire.PROTOCOL, *fields)))
        writers.append(writer)
    before = time.process_time()
    for _ in range(HEARTBEATS):
        for writer in writers:
            writer.write(wire.encode(heartbeat))
        await asyncio.sleep(0)
    await done.wait()
    seconds = (time.process_time() - before) / HEARTBEATS
    for writer in writers:
        writer.close()
    server.close()
    return seconds


def tick_cost() -> dict[str, list[tuple[float, float]]]:
    """Return the time of an idle tick by the number of hosts."""
    points = []
    for count in HOST_SIZES:
        core = _core_with(host_list(count))
        seconds, _ = cpu_of(
            lambda c=core: [c.handle(Tick(), 3.0 + n * 0.1) for n in range(20)]
        )
        points.append((count, seconds / 20 * 1e6))
    return {"tick_us": points}


def plan_tick_cost() -> dict[str, list[tuple[float, float]]]:
    """Return the time of a tick of a host that has plans, by their number of groups."""
    points = []
    for count in REGION_SIZES:
        core = _core_with(host_list(200))
        names = [f"region-{num}" for num in range(count)]
        tables = {name: fresh_table(apportion({name: 1.0})) for name in names}
        spec = encode_plan(Plan("s", tables))
        entries = [
            Entry(f"Plan/s{num}", num + 1, encode_value({"spec": spec}))
            for num in range(SERVICES)
        ]
        core.handle(ConfigSeen(entries, SERVICES), 2.0)
        seconds, _ = cpu_of(
            lambda c=core: [c.handle(Tick(), 3.0 + n * 0.1) for n in range(20)]
        )
        points.append((count * SERVICES, seconds / 20 * 1e6))
    return {"plan_tick_us": points}


def main() -> None:
    """Measure all slopes and write the JSON file."""
    points = block_slopes()
    points.update(table_slopes())
    points.update(site_slopes())
    points.update(fleet_slopes())
    points.update(change_slopes())
    points.update(push_slopes())
    points.update(keeper_slopes())
    points.update(planner_slopes())
    points.update(tick_cost())
    points.update(plan_tick_cost())
    points.update(asyncio.run(peer_slopes()))
    from .path import measure_path

    result = {
        "points": points,
        "slopes": {name: asdict(fit(pairs)) for name, pairs in points.items()},
        "path": asyncio.run(measure_path()),
    }
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=1, sort_keys=True) + "\n")
    for name, slope in sorted(result["slopes"].items()):
        print(
            f"{name} fixed={slope['fixed']:.3f} each={slope['each']:.5f} "
            f"worst_residual={slope['worst_residual']:.2f}"
        )


if __name__ == "__main__":
    main()
