"""Probes the health of backend servers in the regions whose slots this host keeps."""

import asyncio
import json

from ...core.events import ServerProbed
from ...core.resources import BackendServer
from ...http1_client import HttpClient, HttpError
from ..runtime import Runtime

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
HEALTH_PATH = "/-/health"


class Prober:
    """Probes the backend servers of the regions whose slots this host keeps.

    A round of probes sends one probe to each server, and starts `PROBE_INTERVAL_S`
    after the end of the round before. A probe costs the server a few milliseconds, so
    only the host that runs the slot keeper of a region probes its servers. A probe
    takes a server out of service when the server reports that it is draining, or
    accepts no connection. A later probe ends that state when it reaches the server and
    the server no longer reports that it is draining. Beyond this, a report of good
    health proves nothing and brings the server no traffic.
    """

    __slots__ = ("_clients", "_runtime")

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._clients: dict[str, HttpClient] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            targets = list(self._targets())
            await asyncio.gather(*(self._probe(*target) for target in targets))
            addresses = {server.address for _, server in targets}
            for address in [addr for addr in self._clients if addr not in addresses]:
                self._clients.pop(address).close()
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _targets(self) -> list[tuple[str, BackendServer]]:
        """Return the service and server of each probe of a round."""
        core = self._runtime.core
        return [
            (service, server)
            for service, region in list(core.keepers.keepers)
            for server in core.view.region_servers(service, region)
        ]

    async def _probe(self, service: str, server: BackendServer) -> None:
        client = self._clients.get(server.address)
        if client is None:
            client = HttpClient(server.address)
            self._clients[server.address] = client
        reachable = True
        draining = False
        try:
            response = await client.request(
                "GET", HEALTH_PATH, timeout_s=PROBE_TIMEOUT_S
            )
            draining = _reports_draining(response.body)
        except HttpError as exc:
            # A timeout after the probe was sent proves nothing. Only a connection
            # that could not be opened shows that the server is unreachable.
            reachable = exc.sent
        self._runtime.dispatch(
            ServerProbed(service, server.server_id, reachable, draining)
        )


def _reports_draining(body: bytes) -> bool:
    try:
        data = json.loads(body)
    except ValueError:
        return False
    return isinstance(data, dict) and data.get("state") == "draining"
