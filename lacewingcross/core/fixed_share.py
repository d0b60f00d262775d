"""The fixed share: what a host may start while its region's keeper is silent."""

from collections import Counter

from .rendezvous import hash64
from .request_state import HeldPermit, RequestState
from .view import View


class FixedShare:
    """Slots that this host may use without a keeper's permit.

    Guards against a keeper that is frozen but not yet detected as failed: if hosts
    waited for its permits, all requests of the region would be refused for a second or
    more. The shares of all hosts of the region together stay under the region's limit
    on requests in flight, unless the hosts are as many as the limit or more: a share is
    at least one slot. With the permits that the silent keeper had granted besides, more
    requests may go to backend servers than these have slots. The backend servers then
    shed requests and answer "not run".

    Parameters
    ----------
    view : View
        Shared state.
    """

    __slots__ = ("_last_sequence", "_view")

    def __init__(self, view: View) -> None:
        self._view = view
        self._last_sequence = 0

    def take(
        self, state: RequestState, in_use: list[tuple[str, int]], now: float
    ) -> HeldPermit | None:
        """Return a permit of the share for a request, or None if the share is used up.

        None also for a request of another region, and without a server to use.

        Parameters
        ----------
        state : RequestState
            The request.
        in_use : list of (str, int)
            Server id and permit id of each slot that this host uses for the service and
            region of the request.
        now : float
            Monotonic time in seconds.
        """
        service = state.req.service
        if state.region != self._view.own.region:
            return None
        if len(in_use) >= self._size(service, state.region, now):
            return None
        server_id = self._least_used(state, Counter(server for server, _ in in_use))
        if server_id is None:
            return None
        self._last_sequence += 1
        permit_id = (self._view.incarnation << 32) + self._last_sequence
        return HeldPermit(permit_id, server_id, state.keeper)

    def _size(self, service: str, region: str, now: float) -> int:
        host_count = len(self._view.members.live(now, region)) or 1
        limit = self._view.config.pools[service].limit(region)
        return max(1, int(limit / (host_count + 1)))

    def _least_used(self, state: RequestState, in_use: Counter[str]) -> str | None:
        service = state.req.service
        skipped = self._view.leaving_servers(service) | state.exclude
        servers = self._view.region_servers(service, state.region)
        usable = [srv.server_id for srv in servers if srv.server_id not in skipped]
        key = state.req.request_id
        return min(
            usable,
            key=lambda server_id: (in_use[server_id], hash64(key, server_id)),
            default=None,
        )
