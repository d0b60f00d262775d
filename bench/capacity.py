"""Fills in the tables of docs/CAPACITY.md from the measured slopes."""

import json
import re
from dataclasses import dataclass
from pathlib import Path

from lacewingcross.cli.blocks import SHARD_BLOCKS

from .fit import Slope
from .slopes import RESULT

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
NODES = 4_500
BLOCKS = 160_000
SITES = 4_200
LOOKUPS_PER_S = 8_500_000
REGIONS = 56
DOMAINS = 203
CHANGES_PER_S = 27_000 / 86_400
CORE_LIMIT_PERCENT = 2.9
MEMORY_LIMIT_MB = 256
BYTES_LIMIT_PER_S = 7_000
PACKET_BYTES = 52
CHANGE_BYTES = 2_000
RELAYS = DOMAINS * 2
SERVICES = 3
HOSTS_PER_DOMAIN = NODES // DOMAINS
TICKS_PER_S = 5
WATCH_WAIT_S = 20
HOST_LIST_INTERVAL_S = 10
HOST_ENTRY_BYTES = 150
REPORT_INTERVAL_S = 5
STEP_PAUSE_S = max(1.0, 0.04 * REGIONS)
LOAD_PAUSE_S = max(0.5, 0.03 * REGIONS)
CACHED_CALLERS = 50_000


@dataclass(slots=True, frozen=True)
class Measurements:
    """The contents of the measured JSON file."""

    slopes: dict[str, Slope]
    path: dict[str, float]


def load(path: Path = RESULT) -> Measurements:
    """Read the measured JSON."""
    data = json.loads(path.read_text())
    slopes = {name: Slope(**value) for name, value in data["slopes"].items()}
    return Measurements(slopes, data["path"])


def slopes_table(measured: Measurements) -> str:
    """Return the table of slopes, with the error of each fit."""
    lines = ["| slope | fixed | for each | worst residual |", "|---|---|---|---|"]
    for name, slope in sorted(measured.slopes.items()):
        lines.append(
            f"| {name} | {slope.fixed:.4g} | {slope.each:.4g} "
            f"| {100 * slope.worst_residual:.0f}% |"
        )
    return "\n".join(lines)


def path_table(measured: Measurements) -> str:
    """Return the table of the path's figures."""
    lines = ["| figure | value |", "|---|---|"]
    for name, value in sorted(measured.path.items()):
        lines.append(f"| {name} | {value:.4g} |")
    return "\n".join(lines)


def _heartbeats_per_s(measured: Measurements) -> tuple[float, float]:
    """Return the heartbeats per second of an ordinary host and of a region's relay."""
    remote_peers = measured.slopes["most_neighbours"].at(NODES) - HOSTS_PER_DOMAIN
    return float(HOSTS_PER_DOMAIN), HOSTS_PER_DOMAIN + remote_peers / 5.0


def roles_table(measured: Measurements) -> str:
    """Return the table of processor time, bytes and memory of each role.

    The fleet has the target size.
    """
    slopes = measured.slopes
    ordinary, relay = _heartbeats_per_s(measured)
    heartbeat_us = slopes["heartbeat_us"].each
    heartbeat_bytes = slopes["heartbeat_bytes"].each + PACKET_BYTES
    change_us = slopes["change_us"].each
    site_us = slopes["site_parse_us"].each
    step_us = slopes["plan_step_us"].at(REGIONS)
    loads_per_s = REGIONS / LOAD_PAUSE_S
    members_mb = slopes["host_bytes"].at(NODES) / 1e6
    sites_mb = slopes["site_bytes"].at(SITES) / 1e6
    blocks_mb = slopes["block_bytes"].at(BLOCKS) / 1e6
    tick_us = slopes["tick_us"].at(NODES) * TICKS_PER_S
    pushed = slopes["push_bytes"].at(CHANGE_BYTES)
    change_bytes = CHANGES_PER_S * (pushed + PACKET_BYTES)
    announce = CHANGES_PER_S * HOSTS_PER_DOMAIN * heartbeat_bytes
    lookups = LOOKUPS_PER_S / NODES
    lookup_us = measured.path["lookup_cpu_us"]
    callers_mb = measured.path["rss_each_caller_bytes"] * CACHED_CALLERS / 1e6
    rows = [
        ("clock of the core", tick_us, 0.0, 0.0, "one tick, kept live set"),
        (
            "membership, ordinary host",
            ordinary * heartbeat_us,
            ordinary * heartbeat_bytes,
            members_mb,
            "heartbeats inside a failure domain",
        ),
        (
            "membership, relay of a region",
            relay * heartbeat_us,
            relay * heartbeat_bytes,
            members_mb,
            "relays beat relays every 5 s",
        ),
        (
            "configuration, follower",
            CHANGES_PER_S * change_us,
            announce,
            sites_mb + blocks_mb,
            "pull from a peer by version, tell neighbours at once",
        ),
        (
            "configuration, relay",
            CHANGES_PER_S * change_us,
            announce + change_bytes * HOSTS_PER_DOMAIN / 2,
            sites_mb + blocks_mb,
            "watch; two relays answer the pulls of a failure domain",
        ),
        (
            "planner of one service",
            step_us / STEP_PAUSE_S + loads_per_s * heartbeat_us,
            loads_per_s * (60 + PACKET_BYTES),
            0.0,
            "a step each 2.2 s, loads of 56 keepers (bytes received)",
        ),
        (
            "slot keeper, each 100 requests/s",
            100 * slopes["permit_us"].each,
            100 * (180 + 3 * PACKET_BYTES),
            0.0,
            "ask, grant, release (data path)",
        ),
        (
            "look-up (data path)",
            lookups * lookup_us,
            0.0,
            callers_mb,
            "remembered heads, prepared answers",
        ),
    ]
    lines = [
        "| role | % of a core | bytes/s sent | MB | mechanism |",
        "|---|---|---|---|---|",
    ]
    for name, micros, sent, memory, mechanism in rows:
        lines.append(
            f"| {name} | {micros / 1e4:.2f} | {sent:.0f} | {memory:.1f} | {mechanism} |"
        )
    whole_pool = site_us * SITES / 1e3
    block_build = slopes["block_build_us"].at(BLOCKS) / 1e6
    shard = slopes["table_decode_us"].at(SHARD_BLOCKS) / 1e3
    lines.append("")
    lines.append(
        f"A pool of all {SITES} sites takes {whole_pool:.0f} ms to read at once. "
        f"{BLOCKS} blocks take {block_build:.2f} s to index from networks, which is "
        f"done once by pack-blocks; a host reads a packed shard of {SHARD_BLOCKS} in "
        f"{shard:.0f} ms."
    )
    return "\n".join(lines)


def _idle_us_per_s(measured: Measurements) -> float:
    """Return the processor time of an idle host at the target size, in µs per second.

    It is the highest share of a whole process in a fleet of twelve, plus the additional
    cost of a tick with the target's number of hosts and groups.
    """
    slopes = measured.slopes
    hosts = slopes["tick_us"].each * NODES
    groups = max(0.0, slopes["plan_tick_us"].each) * SERVICES * REGIONS
    return measured.path["idle_percent_most"] * 1e4 + (hosts + groups) * TICKS_PER_S


def node_table(measured: Measurements) -> str:
    """Return the table of a whole node's control costs, compared with the limits."""
    slopes = measured.slopes
    ordinary, relay = _heartbeats_per_s(measured)
    heartbeat_us = slopes["heartbeat_us"].each
    heartbeat_bytes = slopes["heartbeat_bytes"].each + PACKET_BYTES
    base = _idle_us_per_s(measured) + CHANGES_PER_S * slopes["change_us"].each
    pushed = slopes["push_bytes"].at(CHANGE_BYTES)
    change_bytes = CHANGES_PER_S * (pushed + PACKET_BYTES)
    memory = (
        measured.path["rss_idle_mb"]
        + slopes["host_bytes"].at(NODES) / 1e6
        + slopes["site_bytes"].at(SITES) / 1e6
        + slopes["block_bytes"].at(BLOCKS) / 1e6
    )
    list_bytes = NODES * HOST_ENTRY_BYTES / HOST_LIST_INTERVAL_S
    loads_per_s = REGIONS / LOAD_PAUSE_S
    plan = (
        slopes["plan_step_us"].at(REGIONS) / STEP_PAUSE_S + loads_per_s * heartbeat_us
    )
    announce = CHANGES_PER_S * HOSTS_PER_DOMAIN * heartbeat_bytes
    pushes = change_bytes * HOSTS_PER_DOMAIN / 2
    rows = [
        (
            "ordinary host",
            base + ordinary * heartbeat_us,
            ordinary * heartbeat_bytes + announce,
        ),
        (
            "relay of a failure domain and region",
            base + relay * heartbeat_us,
            relay * heartbeat_bytes + announce + pushes,
        ),
        (
            "the same, with today's whole host list",
            base
            + relay * heartbeat_us
            + slopes["host_list_us"].at(NODES) / HOST_LIST_INTERVAL_S,
            relay * heartbeat_bytes + announce + pushes + list_bytes,
        ),
        (
            "ordinary host that plans one service",
            base + ordinary * heartbeat_us + plan,
            ordinary * heartbeat_bytes + announce + loads_per_s * (60 + PACKET_BYTES),
        ),
    ]
    lines = [
        f"| node | % of a core (limit {CORE_LIMIT_PERCENT}) "
        f"| bytes/s (limit {BYTES_LIMIT_PER_S}) "
        f"| MB (limit {MEMORY_LIMIT_MB}) | within |",
        "|---|---|---|---|---|",
    ]
    for name, micros, sent, *_ in rows:
        fits = micros / 1e4 <= CORE_LIMIT_PERCENT and sent <= BYTES_LIMIT_PER_S
        fits = fits and memory <= MEMORY_LIMIT_MB
        verdict = "yes" if fits else "**no**"
        lines.append(
            f"| {name} | {micros / 1e4:.2f} | {sent:.0f} | {memory:.0f} | {verdict} |"
        )
    return "\n".join(lines)


def platform_table(_measured: Measurements) -> str:
    """Return the table of the platform's calls per second at the target size."""
    report_pause = max(0.25, 0.01 * DOMAINS)
    burst = DOMAINS / report_pause
    rows = [
        ("watches that end by a change", RELAYS * CHANGES_PER_S, "reads"),
        ("watches that time out", RELAYS / WATCH_WAIT_S, "reads"),
        ("host list", RELAYS / HOST_LIST_INTERVAL_S, "reads"),
        ("reports, loads renewed", DOMAINS / REPORT_INTERVAL_S, "writes"),
        ("reports, changes without pause (bound)", burst, "writes"),
        ("plans, every service in a shift", SERVICES * 1.0, "writes"),
        ("operators' changes", CHANGES_PER_S, "writes"),
    ]
    lines = ["| call | a second | kind |", "|---|---|---|"]
    for name, rate, kind in rows:
        lines.append(f"| {name} | {rate:.1f} | {kind} |")
    reads = sum(rate for _, rate, kind in rows if kind == "reads")
    writes = sum(rate for _, rate, kind in rows if kind == "writes")
    lines.append(f"| **all reads** (about 2,000 are given) | {reads:.0f} | |")
    lines.append(f"| **all writes** (several hundred are given) | {writes:.0f} | |")
    lines.append(f"| waiting watches | {RELAYS} | held |")
    return "\n".join(lines)


def replacement_table(measured: Measurements) -> str:
    """Return the table of the data that a replaced node needs before it serves."""
    slopes = measured.slopes
    blocks = BLOCKS / SHARD_BLOCKS * slopes["table_stored_bytes"].at(SHARD_BLOCKS)
    sites = slopes["site_stored_bytes"].at(SITES)
    plans = SERVICES * slopes["plan_bytes"].at(REGIONS)
    hosts = NODES * HOST_ENTRY_BYTES
    total = blocks + sites + plans + hosts
    parse_s = (
        BLOCKS / SHARD_BLOCKS * slopes["table_decode_us"].at(SHARD_BLOCKS)
        + slopes["site_parse_us"].at(SITES)
        + slopes["host_list_us"].at(NODES)
    ) / 1e6
    lines = ["| part of a snapshot | KB |", "|---|---|"]
    for name, size in (
        ("blocks, packed shards", blocks),
        ("sites, JSON", sites),
        ("plans, runs", plans),
        ("hosts", hosts),
        ("**all**", total),
    ):
        lines.append(f"| {name} | {size / 1e3:.0f} |")
    mean = 740 / 86_400 * total
    lines.append("")
    lines.append(
        f"Reading it takes {parse_s:.1f} s of processor time. 740 replacements a day "
        f"move {mean / 1e3:.1f} KB/s over the whole fleet; "
        f"a failure domain of {HOSTS_PER_DOMAIN} "
        f"hosts at once moves {HOSTS_PER_DOMAIN * total / 1e6:.0f} MB."
    )
    return "\n".join(lines)


TABLES = {
    "slopes": slopes_table,
    "path": path_table,
    "roles": roles_table,
    "node": node_table,
    "platform": platform_table,
    "replacement": replacement_table,
}


def fill(text: str, measured: Measurements) -> str:
    """Return the page with every table replaced by a newly computed one."""
    for name, make in TABLES.items():
        block = f"<!-- table:{name} -->\n{make(measured)}\n<!-- end -->"
        pattern = rf"<!-- table:{name} -->.*?<!-- end -->"
        text, count = re.subn(pattern, lambda _m, b=block: b, text, flags=re.DOTALL)
        assert count == 1, name
    return text


def main() -> None:
    """Update the tables of the page."""
    PAGE.write_text(fill(PAGE.read_text(), load()))


if __name__ == "__main__":
    main()
