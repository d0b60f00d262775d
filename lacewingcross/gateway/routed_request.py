"""A caller's request whose route is known."""

from dataclasses import dataclass

from ..core.routes import Route
from ..core.terms import Terms
from ..http1_exchange import Exchange
from .attempt import CallerBody
from .forwarding import CallerAccount
from .frame import Frame


@dataclass(slots=True, frozen=True)
class RoutedRequest:
    """A caller's request whose route is known.

    All times are monotonic, in seconds. `deadline_at` is when this host answers at the
    latest, by the route's timeout or the caller's deadline. `caller_deadline_at` is
    when the caller stops waiting, infinite if it does not say, and `first_asked_at`
    when it has probably sent its first try.
    """

    exchange: Exchange
    frame: Frame
    route: Route
    terms: Terms
    caller_account: CallerAccount
    body: CallerBody
    deadline_at: float
    caller_deadline_at: float
    first_asked_at: float

    def time_left_s(self, now: float) -> float:
        """Return the time until the deadline, in seconds."""
        return max(0.0, self.deadline_at - now)
