"""Decides which backend servers may be sent any request at all."""

from collections.abc import Iterable

from ..backend_state import Server
from ..cold_limit import cold_send_limit
from ..fleet_shares import ASSUMED_HOSTS
from ..passive_health import FailureShare
from ..paths.path import Path
from ..paths.selection import Paths
from ..routes import Service
from ..silence.watch import SilenceWatch
from .placement_types import PlacementRequest
from .send_gate import SendGate


class Eligibility:
    """Checks servers for evacuations, their own limits, and failures of attempts.

    Parameters
    ----------
    region : str
        Region of this host.
    cold_over, cold_slack : float
        Bound on requests to cold servers, see `cold_send_limit`.
    gate : SendGate
        Limits that servers request in their responses.

    Attributes
    ----------
    host_region_share : float
        This host's share of what the hosts of its region may send to a cold server.
    paths : Paths or None
        The paths from this host to servers; None if all are direct.
    silence : SilenceWatch or None
        The silent servers; None if none is ever found.
    """

    __slots__ = (
        "_cold_over",
        "_cold_slack",
        "_evacuated",
        "_failures",
        "_region",
        "_services",
        "gate",
        "host_region_share",
        "paths",
        "silence",
    )

    def __init__(
        self, region: str, cold_over: float, cold_slack: float, gate: SendGate
    ) -> None:
        self._region = region
        self._cold_over = cold_over
        self._cold_slack = cold_slack
        self._evacuated: frozenset[str] = frozenset()
        self._failures: dict[str, FailureShare] = {}
        self._services: dict[str, Service] = {}
        self.gate = gate
        self.paths: Paths | None = None
        self.silence: SilenceWatch | None = None
        # The number of hosts is assumed until the shares are reviewed.
        self.host_region_share = 1.0 / ASSUMED_HOSTS

    def set_services(self, services: dict[str, Service]) -> None:
        """Set what operators declare about the services."""
        self._services = services

    def set_cold_bound(self, over: float, slack: float) -> None:
        """Set the bound on requests to cold servers, see `cold_send_limit`."""
        self._cold_over = over
        self._cold_slack = slack

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the failure domains that get no more requests."""
        return self._evacuated

    def set_evacuated(
        self, domains: Iterable[str], servers: Iterable[Server], now: float
    ) -> None:
        """Set the failure domains that get no more requests.

        Servers of a domain that is no longer evacuated have been idle. They count as
        cold for the `cold_start_s` of their service; nothing in their entries says so.
        """
        evacuated = frozenset(domains)
        for server in servers:
            domain = server.entry.failure_domain
            if domain in self._evacuated and domain not in evacuated:
                cold_s = self._cold_start_s(server.entry.service)
                server.cold_until = max(server.cold_until, now + cold_s)
        self._evacuated = evacuated

    def _cold_start_s(self, service: str) -> float:
        declared = self._services.get(service)
        return declared.cold_start_s if declared else 0.0

    def may_take(
        self,
        server: Server,
        request: PlacementRequest,
        now: float,
        *,
        last_resort: bool,
    ) -> Path | None:
        """Return the path on which a server may be sent a request, None for none.

        See `PassiveHealth.usable` for `last_resort`. A request that only the server's
        own limits stop is counted as skipped.
        """
        path = self._usable_path(server, request, now, last_resort=last_resort)
        if path is None or not self.may_send(server, request, now):
            return None
        return path

    def may_send(self, server: Server, request: PlacementRequest, now: float) -> bool:
        """Return whether a server itself allows one more request; count a skip if not.

        The server's limits are checked when it is chosen, and again just before the
        first byte is sent: the request may have waited for a connection or a body in
        between.
        """
        return self.gate.may_send(server.entry.incarnation, now, urgent=request.urgent)

    def wait_s(
        self, servers: Iterable[Server], request: PlacementRequest, now: float
    ) -> float:
        """Return after how many seconds the first of `servers` allows a request.

        Infinity if the end is not known for any server that, apart from its own limits,
        may take the request.
        """
        soonest_s = float("inf")
        for server in servers:
            if self._usable_path(server, request, now, last_resort=True):
                wait_s = self.gate.wait_s(server.entry.incarnation, now)
                soonest_s = min(soonest_s, wait_s)
                if soonest_s <= 0.0:
                    break
        return soonest_s

    def _usable_path(
        self,
        server: Server,
        request: PlacementRequest,
        now: float,
        *,
        last_resort: bool,
    ) -> Path | None:
        """Return the path to a server that may take a request, or None.

        The server's own limits are not checked.
        """
        entry = server.entry
        if request.regions and server.region not in request.regions:
            return None
        if entry.server_id in request.tried or entry.failure_domain in self._evacuated:
            return None
        if request.tried and self._is_doubtful(server, now):
            return None
        path = self._path_to(server, request, now, last_resort=last_resort)
        if path is None or (server.cold(now) and not self._has_cold_room(server, now)):
            return None
        return path

    def _path_to(
        self,
        server: Server,
        request: PlacementRequest,
        now: float,
        *,
        last_resort: bool,
    ) -> Path | None:
        if self.paths is None:
            usable = server.passive_health.usable(now, last_resort=last_resort)
            return Path.DIRECT if usable else None
        return self.paths.path_to(
            server,
            request.regions,
            now,
            last_resort=last_resort,
            indirect_only=request.indirect_only,
        )

    def _is_doubtful(self, server: Server, now: float) -> bool:
        """Return whether a request that lost time elsewhere should avoid a server."""
        return self.silence is not None and self.silence.is_doubtful(server, now)

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether a failure domain gets no more requests."""
        return failure_domain in self._evacuated

    def _has_cold_room(self, server: Server, now: float) -> bool:
        """Return whether a cold server may get one more request from this host now.

        Only hosts of the server's own region may send to it while it is cold.
        """
        declared = self._services.get(server.entry.service)
        if declared is None or server.region != self._region:
            return False
        limit = cold_send_limit(
            declared.cold_rate,
            self._cold_over,
            self._cold_slack,
            self.host_region_share,
        )
        return server.cold_sends.has_room(limit, now)

    def learn_outcome(self, service: str, *, failed: bool) -> None:
        """Add the outcome of an attempt to the service's share of failed attempts."""
        self._failures.setdefault(service, FailureShare()).add(failed)

    def failing_alike(self, service: str) -> bool:
        """Return whether all servers of a service are taken to fail.

        That is so when more than 30 % of this host's recent attempts at the service
        failed, see `FailureShare`. The failures of single servers are not compared: one
        server that gets most of the attempts and fails has the same effect.
        """
        failures = self._failures.get(service)
        return failures is not None and failures.all_taken_to_fail()
