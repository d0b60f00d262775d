"""A host's own requests that wait for a permit, oldest first."""

from collections import defaultdict, deque
from collections.abc import Callable

from .request_state import HeldPermit, Phase, RequestState


class WaitingRequests:
    """Waiting requests for each service and region.

    Entries stay in their queue when a request stops waiting and are dropped when they
    come to the front, so that adding and taking cost the same however many wait.

    Parameters
    ----------
    is_open : callable
        Returns whether a request state is still one of the host's requests.
    """

    __slots__ = ("_is_open", "_queues")

    def __init__(self, is_open: Callable[[RequestState], bool]) -> None:
        self._is_open = is_open
        self._queues: dict[tuple[str, str], deque[tuple[RequestState, float]]] = (
            defaultdict(deque)
        )

    def add(self, state: RequestState) -> None:
        """Add a request that has just asked for a permit."""
        queue = self._queues[state.req.service, state.region]
        queue.append((state, state.asked_at))

    def _still_waits(self, state: RequestState, asked_at: float) -> bool:
        waits = state.phase is Phase.PERMIT and state.asked_at == asked_at
        return waits and self._is_open(state)

    def _front(self, queue: deque[tuple[RequestState, float]]) -> RequestState | None:
        while queue and not self._still_waits(*queue[0]):
            queue.popleft()
        return queue[0][0] if queue else None

    def take_for(
        self, service: str, region: str, held: HeldPermit, now: float
    ) -> RequestState | None:
        """Remove and return the oldest request if it can use the permit, else None."""
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
