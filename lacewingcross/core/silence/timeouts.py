"""How long a backend server may answer nobody before it counts as silent.

Designed for kinds of work of which a few runs in a hundred take many times as long. A
timeout from a high quantile of the response times then exceeds the time that callers
wait. So it is derived from the median time of cold runs (the server has not handled the
object recently), which are the longest usual ones. A single long run is recognised by
the answers of the server to other requests.
"""

from math import inf

from ..backend_state import Server
from ..placement.completion import COLD_SERVER_FACTOR, ExpectedTimes
from ..placement.work_times import KindTimes

# Silence timeout as a multiple of the usual time. A server that is 2.5 times as slow
# while one usual run would take needs 1.6 times the usual time; the rest is margin.
USUAL_FACTOR = 2.0
# Part of the timeout after which a request is withdrawn from a server that is known to
# be silent: the usual time.
USUAL_FRACTION = 1.0 / USUAL_FACTOR
# Part of the timeout for which a second request must be unanswered too: one and a half
# times the usual time, which few requests take. The whole timeout would add the time
# between two requests to that until the finding.
SECOND_FRACTION = 0.75
# Age of other hosts' numbers of requests in flight, in intervals at which these are
# sent.
COUNT_DELAY_INTERVALS = 2
# One-way network delay between two regions, in seconds.
INTER_REGION_DELAY_S = 0.04
# Lower limit of the timeout, in seconds: a lost packet is sent again within this time.
MIN_TIMEOUT_S = 0.35
# Responses of a service after which its usual times are known. Before that, this host
# finds no server silent by them.
MIN_ANSWERS = 50


class SilenceTimeouts:
    """Silence timeouts from the usual times of the kinds of work of each service.

    A server may run requests of any kind of its service for other hosts, so the slowest
    kind counts. A request that waits for a slot needs no allowance: the slots are taken
    by other requests, and each answer to one of them starts the timeout anew.

    Parameters
    ----------
    expectations : ExpectedTimes
        Network round trips to servers.
    """

    __slots__ = ("_expectations", "_kinds", "_count_delay_s")

    def __init__(self, expectations: ExpectedTimes) -> None:
        self._expectations = expectations
        self._kinds: dict[str, set[KindTimes]] = {}
        self._count_delay_s = INTER_REGION_DELAY_S

    def set_counts_interval(self, interval_s: float) -> None:
        """Set the interval at which hosts send their numbers of requests in flight."""
        self._count_delay_s = COUNT_DELAY_INTERVALS * interval_s + INTER_REGION_DELAY_S

    def note_kind(self, service: str, times: KindTimes) -> None:
        """Record that requests of a kind go to a service.

        Kinds are kept for the life of the process: a slow route that is removed keeps
        the timeout long.
        """
        self._kinds.setdefault(service, set()).add(times)

    def of(self, server: Server, now: float) -> float:
        """Return the silence timeout of a server in seconds, infinity if unknown."""
        kinds = self._kinds.get(server.entry.service, ())
        if sum(times.answers for times in kinds) < MIN_ANSWERS:
            return inf
        usual_s = max(times.expected_s(warm=False) for times in kinds)
        if server.cold(now):
            usual_s *= COLD_SERVER_FACTOR
        network_s = self._expectations.network_s(server)
        timeout_s = max(MIN_TIMEOUT_S, USUAL_FACTOR * usual_s + network_s)
        return timeout_s + self._count_delay_s
