"""Status reports for operators on the hosts of a failure domain."""

from collections.abc import Iterator

from .actions import Action, CreateObject, UpdateObject
from .events import WriteEnded
from .keeper_set import KeeperSet
from .membership import DOWN
from .requests import RequestTable
from .view import View

REPORT_KIND = "Report"
CHANGED_S = 0.25
EACH_DOMAIN_S = 0.01
IDLE_S = 10.0
LOADS_S = 5.0
CALL_BASE = 1 << 50


class Reporter:
    """Writes the status of all hosts of this host's failure domain to the platform.

    With thousands of hosts, a write of each host for each heartbeat would exceed the
    write rate of the platform, which is the object store that all hosts share. So one
    host of each failure domain, chosen by rendezvous hashing, writes one object for all
    of them.

    Parameters
    ----------
    view : View
        Shared state.
    requests : RequestTable
        Source of the last refusals.
    keepers : KeeperSet
        Source of the loads and of the leaving servers.
    """

    __slots__ = (
        "_call",
        "_keepers",
        "_last",
        "_loads",
        "_loads_at",
        "_requests",
        "_version",
        "_view",
        "_written_at",
    )

    def __init__(self, view: View, requests: RequestTable, keepers: KeeperSet) -> None:
        self._view = view
        self._requests = requests
        self._keepers = keepers
        self._call = 0
        self._version: int | None = None
        self._last: object = None
        self._written_at = float("-inf")
        self._loads: dict[str, dict[str, float]] = {}
        self._loads_at = float("-inf")

    def owns_call(self, call_id: int) -> bool:
        """Return whether a write was made by the reporter."""
        return call_id == self._call != 0

    def write_ended(self, ended: WriteEnded) -> None:
        """Record the version for the next conditional update."""
        self._call = 0
        if ended.outcome in ("ok", "conflict"):
            self._version = ended.version or None
        if ended.outcome != "ok":
            self._last = None

    def tick(self, now: float) -> Iterator[Action]:
        """Write the report after a change, and every `IDLE_S` seconds without one."""
        own = self._view.own
        waited = now - self._written_at
        if self._call or waited < CHANGED_S:
            return
        self._review_loads(now)
        if self._view.reporter_of(own.failure_domain, now) != own.host_id:
            return
        if waited < self._pause(now):
            return
        spec = self._spec(now)
        if spec == self._last and waited < IDLE_S:
            return
        self._last = spec
        self._written_at = now
        self._call = CALL_BASE + int(now * 1000)
        key = f"{REPORT_KIND}/{own.failure_domain}"
        if self._version is None:
            yield CreateObject(self._call, key, spec)
        else:
            yield UpdateObject(self._call, key, spec, self._version)

    def _review_loads(self, now: float) -> None:
        """Refresh the loads every `LOADS_S` seconds only: they change all the time."""
        if now - self._loads_at < LOADS_S:
            return
        self._loads_at = now
        view = self._view
        loads = list(self._keepers.loads(now))
        for state in view.members.others():
            if state.info.failure_domain == view.own.failure_domain:
                loads += state.loads
        self._loads = {
            name: {"in_flight": in_flight, "queued": queued, "limit": limit}
            for name, in_flight, queued, limit in loads
        }

    def _pause(self, now: float) -> float:
        """Return the shortest time between two writes.

        Every failure domain writes after every change. The time grows with the number
        of failure domains, so that all of them stay within the platform's write rate.
        """
        domains = self._view.members.live_domains(now)
        return max(CHANGED_S, EACH_DOMAIN_S * domains)

    def _spec(self, now: float) -> dict[str, object]:
        view = self._view
        leaving = list(self._keepers.leaving())
        hosts = {
            view.own.host_id: {
                "state": view.members.own_state,
                "revision": view.config.revision,
                "behind": view.behind(),
            }
        }
        for state in view.members.others():
            if state.info.failure_domain != view.own.failure_domain:
                continue
            said = view.members.state_of(state.info.host_id, now)
            if said != DOWN:
                leaving += state.leaving
                hosts[state.info.host_id] = {
                    "state": said,
                    "revision": state.revision,
                    "behind": state.behind,
                }
        return {
            "hosts": hosts,
            "leaving": dict(leaving),
            "loads": self._loads,
            "last_refusals": dict(self._requests.last_refusals),
            "rejected": dict(view.config.rejected),
        }
