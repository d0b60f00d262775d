"""Health, metrics, status and routing explanations for operators over HTTP."""

import asyncio
from collections import Counter
from urllib.parse import parse_qs

from ...checks import split_address
from ...core.blocks import parse_address
from ...core.plan import bucket_of
from ...http1_exchange import Exchange
from ...http1_json import send_error, send_json
from ...http1_server import HttpServer
from ..runtime import Runtime


class OperatorsListener:
    """Serves operators and their tools on a port of its own, without TLS."""

    __slots__ = ("_address", "_runtime", "server")

    def __init__(self, runtime: Runtime, address: str) -> None:
        self._runtime = runtime
        self._address = address
        self.server = HttpServer(self._handle, runtime.now, max_connections=100)

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self._address)
        await self.server.start(host, port)
        try:
            await asyncio.Event().wait()
        finally:
            await self.server.close()

    async def _handle(self, exchange: Exchange) -> None:
        path, _, query = exchange.head.target.partition("?")
        params = {key: values[0] for key, values in parse_qs(query).items()}
        if path == "/healthz":
            ready = self._runtime.core.view.config.complete
            status = 200 if ready else 503
            await send_json(exchange, status, {"ready": ready})
        elif path == "/metrics":
            body = self._runtime.metrics.render().encode()
            await exchange.respond(200, [(b"content-type", b"text/plain")], body)
        elif path == "/status":
            await send_json(exchange, 200, status_data(self._runtime))
        elif path == "/explain":
            await send_json(exchange, 200, explain(self._runtime, params))
        else:
            paths = "/healthz, /metrics, /status or /explain"
            await send_error(exchange, 404, "not-found", f"expected {paths}")


def status_data(runtime: Runtime) -> dict[str, object]:
    """Return this host's view of members, plans, keepers and planners as JSON data."""
    core = runtime.core
    view = core.view
    now = runtime.now()
    return {
        "host": view.own.host_id,
        "state": view.members.own_state,
        "revision": view.config.revision,
        "requests": len(core.requests.requests),
        "hosts": {
            info.host_id: view.members.state_of(info.host_id, now)
            for info in view.members.hosts()
        },
        "rejected": view.config.rejected,
        "plans": {
            service: {
                group: dict(sorted(Counter(table).items()))
                for group, table in plan.tables.items()
            }
            for service, plan in view.plans.items()
        },
        "keepers": [
            _keeper_data(keeper, now) for keeper in core.keepers.keepers.values()
        ],
        "planners": {
            service: {
                "owner": view.planner_of(service, now),
                "held": planner.hold_reason,
            }
            for service, planner in core.planners.planners.items()
        },
    }


def _keeper_data(keeper, now: float) -> dict[str, object]:
    return {
        "service": keeper.service,
        "region": keeper.region,
        "in_flight": len(keeper.permits),
        "queued": len(keeper.queue),
        "limit": keeper.limit,
        "recovering": keeper.recovering(now),
        "servers": {
            server_id: {
                "granted": state.granted,
                "capacity": state.capacity(now),
                "leaving": state.leaving,
                "unreachable": state.unreachable,
                "ejected": now < state.ejected_until,
            }
            for server_id, state in keeper.servers.states.items()
        },
    }


def explain(runtime: Runtime, params: dict[str, str]) -> dict[str, object]:
    """Return each step that decides where a caller's requests go, as JSON data."""
    view = runtime.core.view
    now = runtime.now()
    service = params.get("service", "")
    address_text = params.get("address", "")
    caller = params.get("caller", "") or address_text
    address = parse_address(address_text) if address_text else None
    region = view.region_of(service, address, caller)
    return {
        "service": service,
        "address": address_text,
        "caller": caller,
        "group": view.config.group_of(service, address),
        "bucket": bucket_of(service, caller),
        "region": region,
        "plan_version": view.config.plan_versions.get(service),
        "slot_keeper": view.keeper_of(service, region, now) if region else None,
        "planner": view.planner_of(service, now),
        "drained_regions": sorted(view.config.drained_regions(service)),
        "leaving_servers": sorted(view.leaving_servers(service)),
        "revision": view.config.revision,
    }
