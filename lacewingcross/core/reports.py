"""Status reports for operators on the hosts of one failure domain.

A report has the states and configuration revisions of the hosts, leaving servers,
loads, the last refusals and rejected configuration.
"""

from collections.abc import Iterator

from .actions import Action, CreateObject, UpdateObject
from .events import WriteEnded
from .keeper_set import KeeperSet
from .membership import DOWN
from .requests import RequestTable
from .view import View

REPORT_KIND = "Report"
MIN_WRITE_PERIOD_S = 0.25
WRITE_S_PER_DOMAIN = 0.01
UNCHANGED_WRITE_PERIOD_S = 10.0
LOAD_REFRESH_PERIOD_S = 5.0
# Call ids of claims and plans start at other bases, so that all ids differ.
CALL_ID_BASE = 1 << 50


class Reporter:
    """Writes the report on all hosts of this host's failure domain to the platform.

    With thousands of hosts, a write of each host for each heartbeat would exceed the
    write rate of the platform, which is the object store that all hosts share. So one
    host of each failure domain, chosen by rendezvous hashing, writes one object for all
    of them.

    Parameters
    ----------
    view : View
        Shared state.
    requests : RequestTable
        Source of the reason of the last refused request of each service.
    keepers : KeeperSet
        Source of the loads and of the leaving servers.
    """

    __slots__ = (
        "_call_id",
        "_keepers",
        "_last_spec",
        "_loads",
        "_loads_refreshed_at",
        "_requests",
        "_version",
        "_view",
        "_written_at",
    )

    def __init__(self, view: View, requests: RequestTable, keepers: KeeperSet) -> None:
        self._view = view
        self._requests = requests
        self._keepers = keepers
        self._call_id = 0
        self._version: int | None = None
        self._last_spec: object = None
        self._written_at = float("-inf")
        self._loads: dict[str, dict[str, float]] = {}
        self._loads_refreshed_at = float("-inf")

    def owns_call(self, call_id: int) -> bool:
        """Return whether a call is the reporter's write that has not ended."""
        return call_id == self._call_id != 0

    def write_ended(self, ended: WriteEnded) -> None:
        """Record the version for the next conditional update.

        After a failed write the report is written again even if it has not changed.
        """
        self._call_id = 0
        if ended.outcome in ("ok", "conflict"):
            self._version = ended.version or None
        if ended.outcome != "ok":
            self._last_spec = None

    def tick(self, now: float) -> Iterator[Action]:
        """Write the report after a change, or if the last write is long ago.

        Only the host that rendezvous hashing chooses for the failure domain writes it.
        """
        own = self._view.own
        elapsed_s = now - self._written_at
        if self._call_id or elapsed_s < MIN_WRITE_PERIOD_S:
            return
        self._refresh_loads(now)
        if self._view.reporter_of(own.failure_domain, now) != own.host_id:
            return
        if elapsed_s < self._write_period_s(now):
            return
        spec = self._spec(now)
        if spec == self._last_spec and elapsed_s < UNCHANGED_WRITE_PERIOD_S:
            return
        self._last_spec = spec
        self._written_at = now
        self._call_id = CALL_ID_BASE + int(now * 1000)
        key = f"{REPORT_KIND}/{own.failure_domain}"
        if self._version is None:
            yield CreateObject(self._call_id, key, spec)
        else:
            yield UpdateObject(self._call_id, key, spec, self._version)

    def _refresh_loads(self, now: float) -> None:
        """Refresh the loads every `LOAD_REFRESH_PERIOD_S`.

        The loads change all the time, and each change would lead to a write.
        """
        if now - self._loads_refreshed_at < LOAD_REFRESH_PERIOD_S:
            return
        self._loads_refreshed_at = now
        view = self._view
        loads = list(self._keepers.loads(now))
        for state in view.members.others():
            if state.info.failure_domain == view.own.failure_domain:
                loads += state.loads
        self._loads = {
            name: {"in_flight": in_flight, "queued": queued, "limit": limit}
            for name, in_flight, queued, limit in loads
        }

    def _write_period_s(self, now: float) -> float:
        """Return the shortest time between two writes in seconds.

        Every failure domain writes after every change. The time grows with the number
        of failure domains, so that all of them stay within the platform's write rate.
        """
        domain_count = self._view.members.live_domain_count(now)
        return max(MIN_WRITE_PERIOD_S, WRITE_S_PER_DOMAIN * domain_count)

    def _spec(self, now: float) -> dict[str, object]:
        view = self._view
        leaving = list(self._keepers.leaving())
        hosts = {
            view.own.host_id: {
                "state": view.members.own_state,
                "revision": view.config.revision,
                "behind": view.buckets_behind(),
            }
        }
        for state in view.members.others():
            if state.info.failure_domain != view.own.failure_domain:
                continue
            host_state = view.members.state_of(state.info.host_id, now)
            if host_state != DOWN:
                leaving += state.leaving
                hosts[state.info.host_id] = {
                    "state": host_state,
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
