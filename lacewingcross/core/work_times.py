"""How long requests of one kind take a server, warm and cold, as learnt from answers.

A kind is a route: its requests ask for the same sort of work. Times of a whole service
say little, since one service may answer status checks in 80 ms and histories in 500.
"""

from .estimate import ServiceTimes

# Assumed of a kind before any answer, in parts of the operators' target: a target is
# set for warm work, which takes a bit less than half of it, and cold work misses it.
WARM_OF_TARGET = 0.45
COLD_OF_TARGET = 1.6
# Times of answers from which on they count in place of what is assumed.
ANSWERS_LEAST = 5
# A server is silent when it answers nothing for this many times the time that 98 of
# 100 answers of the kind stay under. With 1.3 times those of the whole service, work
# that was merely slow was cut in the middle and began again, cold, elsewhere.
PATIENCE_PART = 0.98
PATIENCE_TIMES = 2.0
# Before so many answers, patience is this many targets: cold work takes 1.6, twice
# that on a server that has just started, and it may wait for as much again.
PATIENCE_ANSWERS = 50
PATIENCE_TARGETS = 6.0


class WorkTimes:
    """Times of one kind of request.

    Parameters
    ----------
    target_s : float
        Time within which operators want an answer, in seconds.
    """

    __slots__ = ("_answers", "_cold", "_target_s", "_warm")

    def __init__(self, target_s: float) -> None:
        self._target_s = target_s
        self._answers = ServiceTimes()
        self._cold = ServiceTimes()
        self._warm = ServiceTimes()

    def learn_answer(self, latency_s: float) -> None:
        """Take in how long one answer took, waiting included."""
        self._answers.add(latency_s)

    def learn_work(self, work_s: float, *, warm: bool) -> None:
        """Take in how long a server worked on a request that did not wait."""
        (self._warm if warm else self._cold).add(work_s)

    def expected_s(self, *, warm: bool) -> float:
        """Return how long a server will work on a request, in seconds."""
        warm_s = _median(self._warm, WARM_OF_TARGET * self._target_s)
        if warm:
            return warm_s
        return max(warm_s, _median(self._cold, COLD_OF_TARGET * self._target_s))

    def silence_timeout_s(self, least_s: float) -> float:
        """Return for how long a server may answer nothing, in seconds."""
        if len(self._answers) < PATIENCE_ANSWERS:
            return max(least_s, PATIENCE_TARGETS * self._target_s)
        usual_s = self._answers.quantile(PATIENCE_PART)
        return max(least_s, PATIENCE_TIMES * usual_s)


def _median(times: ServiceTimes, assumed_s: float) -> float:
    return times.quantile(0.5) if len(times) >= ANSWERS_LEAST else assumed_s
