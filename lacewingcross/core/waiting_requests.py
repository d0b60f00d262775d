"""A host's own requests that wait for a permit, oldest first."""

from collections import defaultdict, deque
from collections.abc import Callable

from .request_state import HeldPermit, Phase, RequestState


class WaitingRequests:
    """Requests that wait for a permit, in one queue for each service and region.

    The region is the one to which a request is steered. An entry of a request that no
    longer waits stays in its queue until it comes to the front, and is dropped there.
    So adding and taking cost the same however many requests wait.

    Parameters
    ----------
    is_open : callable
        Returns whether the host still handles a request, given its state.
    """

    __slots__ = ("_is_open", "_queues")

    def __init__(self, is_open: Callable[[RequestState], bool]) -> None:
        self._is_open = is_open
        # Requests and when each of them asked for its permit.
        self._queues: dict[tuple[str, str], deque[tuple[RequestState, float]]] = (
            defaultdict(deque)
        )

    def add(self, state: RequestState) -> None:
        """Add a request that has just asked for a permit."""
        queue = self._queues[state.req.service, state.region]
        queue.append((state, state.asked_at))

    def _still_waits(self, state: RequestState, asked_at: float) -> bool:
        """Return whether a request still waits for what it asked for at `asked_at`."""
        waits = state.phase is Phase.PERMIT and state.asked_at == asked_at
        return waits and self._is_open(state)

    def _front(self, queue: deque[tuple[RequestState, float]]) -> RequestState | None:
        """Return the oldest request that still waits; drop the entries before it."""
        while queue and not self._still_waits(*queue[0]):
            queue.popleft()
        return queue[0][0] if queue else None

    def take_for(
        self, service: str, region: str, held: HeldPermit, now: float
    ) -> RequestState | None:
        """Remove and return the oldest waiting request if it can use the permit.

        Return None if no request waits, if the oldest one is to be refused by now, if
        it waits for another keeper, or if it must avoid the server of the permit.
        """
        queue = self._queues[service, region]
        state = self._front(queue)
        if state is None or now >= state.give_up_at:
            return None
        if state.keeper != held.keeper or held.server_id in state.exclude:
            return None
        queue.popleft()
        return state

    def sweep(self) -> None:
        """Drop entries at the front that no longer wait, so that none accumulate."""
        for queue in self._queues.values():
            self._front(queue)
