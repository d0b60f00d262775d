"""What is known of the time of one caller, and the latest retry that helps it."""

from dataclasses import dataclass, replace
from math import inf

from ..placement.placement_types import PlacementRequest
from ..randomness import RandomSource

# Part of its time left for which a refused caller honours a retry delay at most.
HONOURED_PART = 1 / 3
# A late caller retries not before a part of the longest delay that it honours. An
# earlier retry gains it nothing, and the load that refused it has less time to pass.
# The parts are those of the most and of the least urgent callers.
MIN_LATE_PARTS = (0.7, 0.85)
# With at most this number of targets left, a further refusal would leave no time for
# another try and its answer: the longest delay that the caller honours is one target.
LAST_TRY_TARGETS = 1 / HONOURED_PART


@dataclass(slots=True, frozen=True)
class CallerTimes:
    """Times of one caller at the moment of its request, in seconds.

    `target_s` is the time within which operators want a response, 0 for none, and
    `elapsed_s` the time since the caller's first try. The caller waits for `left_s`
    more, infinite if unknown. The lower `rank` is, the more urgent is the request.
    """

    target_s: float = 0.0
    elapsed_s: float = 0.0
    left_s: float = inf
    rank: int = 0

    @classmethod
    def of(cls, request: PlacementRequest, now: float) -> "CallerTimes":
        """Return the times of a request's caller at the monotonic time `now`."""
        elapsed_s = request.elapsed_s(now)
        left_s = request.time_left_s(now)
        return cls(request.target_s, elapsed_s, left_s, request.rank)

    def after(self, seconds: float) -> "CallerTimes":
        """Return the times of the same caller some seconds later."""
        elapsed_s = self.elapsed_s + seconds
        left_s = max(0.0, self.left_s - seconds)
        return replace(self, elapsed_s=elapsed_s, left_s=left_s)

    @property
    def known(self) -> bool:
        """Return whether there are a target and a time at which the caller leaves."""
        return self.target_s > 0.0 and self.left_s < inf

    @property
    def late(self) -> bool:
        """Return whether the request is a later try that can only be answered late."""
        return self.known and self.elapsed_s >= self.target_s

    @property
    def at_last_try(self) -> bool:
        """Return whether the caller has no time for one more refusal and retry."""
        return self.left_s <= LAST_TRY_TARGETS * self.target_s

    @property
    def longest_delay_s(self) -> float:
        """Return the longest retry delay that the caller honours, in seconds."""
        return HONOURED_PART * self.left_s

    def in_time_s(self, answer_s: float) -> float:
        """Return the longest delay after which a retry is answered in time, in seconds.

        Below 0 if no retry can be. `answer_s` is the time until a response, in seconds.
        """
        return self.target_s - self.elapsed_s - answer_s

    @property
    def urgency(self) -> float:
        """Return how urgent the request is by its rank: 1 for rank 0, falling to 0."""
        return 1.0 / (1.0 + max(0, self.rank))

    @property
    def late_part(self) -> float:
        """Return the part of the longest delay that a late caller waits at least."""
        most_urgent, least_urgent = MIN_LATE_PARTS
        return least_urgent - self.urgency * (least_urgent - most_urgent)

    def late_delay_s(self, rng: RandomSource) -> float:
        """Return a retry delay near the longest one that the caller honours."""
        return self.longest_delay_s * rng.uniform(self.late_part, 1.0)


UNKNOWN_TIMES = CallerTimes()
