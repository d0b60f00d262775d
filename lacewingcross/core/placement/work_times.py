"""Service times of one kind of request, warm and cold, estimated from responses.

A kind is a route: its requests ask for the same sort of work. Times of a whole service
say little, since one service may answer status checks in 80 ms and histories in 500 ms.
A run is warm if the server has handled the object recently, and cold otherwise.
"""

from math import inf

from ..estimate import ServiceTimes

# Service times assumed for a kind before any response, as fractions of the operators'
# target. A target is set for warm runs, which take a bit less than half of it, and cold
# runs miss it.
WARM_TARGET_FRACTION = 0.45
COLD_TARGET_FACTOR = 1.6
# The assumed service times are used until this number of times has been measured.
MIN_SAMPLES = 5
# A server is silent for a request that gets no response within `SILENCE_FACTOR` times
# the 98th percentile of the response times of its kind. With 1.3 times the percentile
# of the whole service, runs that were merely slow were aborted halfway and started
# again, cold, elsewhere.
SILENCE_QUANTILE = 0.98
SILENCE_FACTOR = 2.0
# With fewer responses than `SILENCE_MIN_ANSWERS`, the silence timeout is
# `SILENCE_TARGETS` times the target: a cold run takes 1.6 targets, and twice as long,
# 3.2 targets, on a server that has just started. The rest is for the wait before the
# run, which may take nearly as long again.
SILENCE_MIN_ANSWERS = 50
SILENCE_TARGETS = 6.0


class KindTimes:
    """Service times, and times until the response, of one kind of request.

    Parameters
    ----------
    target_s : float
        Time within which operators want a response, in seconds.
    """

    __slots__ = ("_answers", "_cold", "_target_s", "_warm")

    def __init__(self, target_s: float) -> None:
        self._target_s = target_s
        self._answers = ServiceTimes()
        self._cold = ServiceTimes()
        self._warm = ServiceTimes()

    @property
    def answers(self) -> int:
        """Return the number of recent responses from which the times are known."""
        return len(self._answers)

    @property
    def usual_answer_s(self) -> float:
        """Return the time that nearly all responses take, in seconds.

        It is infinite while few responses are known.
        """
        if len(self._answers) < MIN_SAMPLES:
            return inf
        return self._answers.quantile(SILENCE_QUANTILE)

    def learn_answer(self, latency_s: float) -> None:
        """Record how long one response took, network and waiting included."""
        self._answers.add(latency_s)

    def learn_service_time(self, service_time_s: float, *, warm: bool) -> None:
        """Record the service time of a request that did not wait."""
        (self._warm if warm else self._cold).add(service_time_s)

    def expected_s(self, *, warm: bool) -> float:
        """Return the expected service time of a request, in seconds."""
        warm_s = _median(self._warm, WARM_TARGET_FRACTION * self._target_s)
        if warm:
            return warm_s
        return max(warm_s, _median(self._cold, COLD_TARGET_FACTOR * self._target_s))

    @property
    def fastest_run_s(self) -> float:
        """Return the shortest recent service time, in seconds; 0 if few are known."""
        known = [times for times in (self._warm, self._cold) if len(times)]
        if sum(len(times) for times in known) < MIN_SAMPLES:
            return 0.0
        return min(times.quantile(0.0) for times in known)

    def silence_timeout_s(self, min_s: float) -> float:
        """Return how long a server may send no response, at least `min_s` seconds."""
        if len(self._answers) < SILENCE_MIN_ANSWERS:
            return max(min_s, SILENCE_TARGETS * self._target_s)
        usual_s = self._answers.quantile(SILENCE_QUANTILE)
        return max(min_s, SILENCE_FACTOR * usual_s)


def _median(times: ServiceTimes, assumed_s: float) -> float:
    return times.quantile(0.5) if len(times) >= MIN_SAMPLES else assumed_s
