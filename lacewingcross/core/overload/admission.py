"""Decides which requests may wait at a server while a service lacks capacity.

Designed for more load than there are slots, with callers that retry after a refusal. A
caller counts its target from its first try. A retried request whose target has passed
is late whenever it is answered, but in a queue it delays requests that can still be in
time. So it takes free slots only, until its time is nearly over. An account that uses
more than its fair share yields in the same way, gradually with the load.

The decision follows an idea of Breakwater: refuse early, before a request has cost
anything. See docs/design/admission.md.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from ..placement.completion import Estimate
from ..placement.placement_types import PlacementRequest
from ..randomness import RandomSource
from .caller_times import CallerTimes
from .fair_shares import FairShares
from .service_load import ServiceLoad, ServiceLoads

# Requests in flight for each slot at which the first requests of accounts above their
# share yield, and at which all do. Below the first, nearly every key has a home with a
# free slot.
YIELD_FROM_OCCUPANCY = 0.8
YIELD_ALL_OCCUPANCY = 0.9
# A request that yields also leaves the last free slot of a server to others if the
# pressure exceeds its drawn number by more than this. Queue places are withheld first,
# since a withheld slot may stay idle.
KEEP_SLOT_MARGIN = 0.5
# At most this many requests in a row are refused for a deadline that cannot be met,
# before one is admitted like any other. Service times are learnt from
# requests that run, so a service that has become faster is found out only by trying.
MAX_REFUSED_IN_A_ROW = 7
# Fraction of an expected wait that surely passes: waits are estimated from counts that
# are a gossip interval old, and from the mean service time.
SURE_WAIT_FRACTION = 0.5


class Reason(StrEnum):
    """Why a request is refused for lack of capacity."""

    FULL = "full"
    LATE = "late-yields"
    OVER_SHARE = "over-share"
    DEADLINE = "deadline-unreachable"


SHORTAGE_REASONS = frozenset(Reason)


@dataclass(slots=True, frozen=True)
class Limits:
    """What a request may take at a server.

    `may_wait` is whether it may wait for a slot, and `kept_slots` are the free slots
    that it leaves to others. `reason` is why it is refused if this leaves it no server.
    """

    reason: Reason = Reason.FULL
    may_wait: bool = True
    kept_slots: int = 0

    def max_requests(self, slots: int, waiting_places: int) -> int:
        """Return the number of requests at a server that leaves no room for this one.

        At a server with a single slot none is kept free, since the request could never
        run there.
        """
        if self.may_wait:
            return slots + waiting_places
        return max(1, slots - self.kept_slots)


USUAL = Limits()


class AdmissionControl:
    """Limits of requests under shortage, and bounds on refusals in a row.

    State is this host's alone: a count for each kind of request that is refused in a
    row, and the use of services by account.

    Parameters
    ----------
    loads : ServiceLoads
        Loads of the services as far as this host knows.
    rng : RandomSource
        Decides which requests of an account above its share yield at a partial load.
    on : bool
        Whether late requests are limited, and requests refused whose deadline cannot be
        met (`Policy.in_time_first`).
    fair : bool
        Whether accounts above their fair share are limited (`Policy.fair_shares`).

    Attributes
    ----------
    shares : FairShares
        Use of the services by account.
    """

    __slots__ = (
        "_fair",
        "_loads",
        "_on",
        "_refused_in_a_row",
        "_rng",
        "shares",
    )

    def __init__(
        self, loads: ServiceLoads, rng: RandomSource, *, on: bool, fair: bool
    ) -> None:
        self._fair = fair
        self._loads = loads
        self._on = on
        self._refused_in_a_row: dict[tuple[str, str], int] = {}
        self._rng = rng
        self.shares = FairShares()

    def limits(
        self, request: PlacementRequest, mean_service_time_s: float, now: float
    ) -> Limits:
        """Return what a request may take at a server now.

        `mean_service_time_s` is that of the request's service, in seconds.
        """
        by_share = self._limits_of_account(request, mean_service_time_s, now)
        if by_share is not USUAL:
            return by_share
        caller = CallerTimes.of(request, now)
        if self._on and caller.late and not caller.at_last_try:
            return Limits(Reason.LATE, may_wait=False)
        return USUAL

    def _limits_of_account(
        self, request: PlacementRequest, mean_service_time_s: float, now: float
    ) -> Limits:
        service, account = request.service, request.account
        if not self._fair:
            return USUAL
        pressure = _pressure(self._loads.of(service, now))
        if not pressure or not self.shares.exceeds(
            service, account, mean_service_time_s, now
        ):
            return USUAL
        drawn = self._rng.uniform(0.0, 1.0) if pressure < 1.0 else 0.0
        if pressure <= drawn:
            return USUAL
        keeps_slot = pressure - drawn > KEEP_SLOT_MARGIN
        return Limits(Reason.OVER_SHARE, may_wait=False, kept_slots=int(keeps_slot))

    def deadline_unreachable(
        self,
        request: PlacementRequest,
        estimates: Iterable[Estimate],
        fastest_run_s: float,
        now: float,
    ) -> bool:
        """Return whether a request is refused since no server answers in its time.

        Parameters
        ----------
        request : PlacementRequest
            The request.
        estimates : iterable of Estimate
            Times expected at the servers that may take it.
        fastest_run_s : float
            The shortest of the recent service times of its kind, in seconds; 0 if
            unknown.
        now : float
            Monotonic time in seconds.
        """
        in_a_row = self._refused_in_a_row.get(_kind_of(request), 0)
        if not self._on or in_a_row >= MAX_REFUSED_IN_A_ROW:
            return False
        left_s = request.time_left_s(now)
        return all(
            left_s < item.network_s + SURE_WAIT_FRACTION * item.wait_s + fastest_run_s
            for item in estimates
        )

    def refused(
        self,
        request: PlacementRequest,
        reason: str,
        mean_service_time_s: float,
        now: float,
    ) -> None:
        """Count a refusal.

        Retries of late requests do not count as further demand of their account.
        """
        if reason not in SHORTAGE_REASONS:
            return
        if not CallerTimes.of(request, now).late:
            self.shares.refused(
                request.service, request.account, mean_service_time_s, now
            )
        if reason == Reason.DEADLINE:
            in_a_row = self._refused_in_a_row.get(_kind_of(request), 0)
            self._refused_in_a_row[_kind_of(request)] = in_a_row + 1

    def began(
        self, request: PlacementRequest, service_time_s: float, now: float
    ) -> None:
        """Record that a request is sent to a server, which ends a row of refusals.

        `service_time_s` is the service time that is expected there, in seconds.
        """
        self.shares.admitted(request.service, request.account, service_time_s, now)
        self._refused_in_a_row.pop(_kind_of(request), None)


def _kind_of(request: PlacementRequest) -> tuple[str, str]:
    """Return the service and the kind of a request."""
    return (request.service, request.kind)


def _pressure(load: ServiceLoad) -> float:
    """Return which part of the requests above a fair share yields, 0 to 1."""
    above = load.occupancy - YIELD_FROM_OCCUPANCY
    return min(1.0, max(0.0, above / (YIELD_ALL_OCCUPANCY - YIELD_FROM_OCCUPANCY)))
