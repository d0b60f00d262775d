"""The command that shows the desired configuration and the one in force."""

import asyncio
from dataclasses import dataclass, field

from ..core import resources as res
from ..core.plan import decode_plan
from ..core.reports import REPORT_KIND
from ..operations import InForce, Operator
from ..platform_client import StoredObject
from .connection import operator_at
from .output import Output, print_json, print_table


def status(*, platform: str = "", output: Output = "table") -> None:
    """Show the desired resources, where each is in force, and why not yet elsewhere.

    Example: lacewingcross status

    Parameters
    ----------
    platform : str
        IP:PORT of the platform.
    output
        Form of the output.
    """
    asyncio.run(_status(operator_at(platform), output))


@dataclass(slots=True)
class _Reported:
    """The content of all failure domains' reports, merged.

    Attributes
    ----------
    hosts : dict of str to dict
        For each host id: state, revision, and the buckets by which the host is behind
        the plans.
    last_refusals : dict of str to str
        Reason of the last refusal for each service.
    rejected : dict of str to str
        Reason for each resource that hosts rejected, by key.
    leaving : dict of str to int
        Requests in flight on each leaving backend server, by ``service/server``.
    loads : dict of str to dict
        Load by ``service/region``.
    """

    hosts: dict[str, dict] = field(default_factory=dict)
    last_refusals: dict[str, str] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)
    leaving: dict[str, int] = field(default_factory=dict)
    loads: dict[str, dict] = field(default_factory=dict)

    def add(self, spec: object) -> None:
        """Merge one report into this one."""
        for name in self.__slots__:
            section = spec.get(name) if isinstance(spec, dict) else None
            getattr(self, name).update(section or {})


async def _status(operator: Operator, output: Output) -> None:
    items = await operator.resources(*res.OPERATOR_KINDS, res.PLAN)
    reported = _Reported()
    for report in await operator.resources(REPORT_KIND):
        reported.add(report.spec())
    state = await operator.in_force(0)
    rows = [_status_row(item, state, reported) for item in items]
    if output == "json":
        data = {"resources": rows, "hosts": reported.hosts, "leaving": reported.leaving}
        print_json({**data, "loads": reported.loads})
        return
    columns = ("resource", "version", "in_force", "why_not", "progress", "last_refusal")
    cells = [[row[column] or "-" for column in columns] for row in rows]
    print_table([column.upper() for column in columns], cells)
    _print_hosts(reported)


def _status_row(
    item: StoredObject, state: InForce, reported: _Reported
) -> dict[str, object]:
    # `in_force` was read once for all resources; only the wanted version differs.
    state.wanted = item.version
    behind = state.behind()
    in_force = len(state.live) - len(behind)
    return {
        "resource": item.key,
        "version": item.version,
        "in_force": f"{in_force}/{len(state.live)}",
        "why_not": reported.rejected.get(item.key) or ",".join(behind),
        "progress": _progress(item, reported.leaving),
        "last_refusal": reported.last_refusals.get(res.split_key(item.key)[1], ""),
    }


def _print_hosts(reported: _Reported) -> None:
    print()
    rows = [
        (host_id, host.get("state"), host.get("revision"), host.get("behind"))
        for host_id, host in sorted(reported.hosts.items())
    ]
    print_table(("HOST", "STATE", "IN-FORCE", "BUCKETS-BEHIND"), rows)
    print()
    rows = [
        (name, load["in_flight"], load["queued"], load["limit"], _headroom(load))
        for name, load in sorted(reported.loads.items())
    ]
    print_table(("SERVICE/REGION", "IN-FLIGHT", "QUEUED", "LIMIT", "HEADROOM"), rows)


def _headroom(load: dict[str, float]) -> str:
    """Return the unused part of the limit on requests in flight, as a percentage."""
    if load["limit"] <= 0:
        return "no usable server"
    return f"{100 * max(0.0, 1 - load['in_flight'] / load['limit']):.0f}%"


def _progress(item: StoredObject, leaving: dict[str, int]) -> str:
    """Return a plan's share of buckets in each region, or how far a server drain is.

    Empty for any other resource, including the drain of a region, failure domain or
    host.
    """
    kind, name = res.split_key(item.key)
    if kind == res.PLAN:
        plan = decode_plan(name, item.spec())
        counts = plan.region_buckets()
        total = sum(counts.values()) or 1
        return " ".join(
            f"{region}={100 * count / total:.1f}%"
            for region, count in sorted(counts.items())
        )
    if kind != res.DRAIN:
        return ""
    spec = item.spec() or {}
    if "server" not in spec:
        return ""
    in_flight_counts = [
        in_flight
        for key, in_flight in leaving.items()
        if key.endswith("/" + spec["server"])
    ]
    if not in_flight_counts:
        return "waiting for the slot keeper"
    return "idle" if not any(in_flight_counts) else f"{sum(in_flight_counts)} in flight"
