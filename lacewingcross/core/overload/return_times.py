"""Schedule of the times at which refused callers are told to retry.

Designed for surges in which a service gets twice the requests that it can run. Callers
that retry after one service time are refused again and again, and take slots from
requests that could still be in time. A host knows the rate at which it completes
requests of a service. It gives callers a part of the completions to come as times to
retry: soon to callers that can still be in time, and late in their own time to those
that cannot.
"""

from collections import Counter
from math import ceil, exp, inf

from ..randomness import RandomSource
from .caller_times import CallerTimes
from .service_load import ServiceLoad

# Length of the intervals in which return times are counted, in seconds. Callers cannot
# tell apart answers that are less than this apart.
INTERVAL_S = 0.05
# Return times are scheduled this far ahead at most, in seconds. So the schedule is
# empty this long after the last refusal. It is a third of the time that most callers
# wait, 4.5 s.
HORIZON_S = 1.5
# Time constant of the completion rate, in seconds, so that it follows a surge.
RATE_DECAY_S = 1.0
# Below this completion rate, in requests per second, no return times are scheduled. A
# host that has just started knows no rate.
MIN_RATE = 1.0
# A service below this completion rate, in requests per second, is forgotten.
IDLE_RATE = 0.001
# Smallest and largest part of the completion rate that is given as return times. First
# tries need the rest. The part grows with the free slots of the service, up to
# `MANY_FREE_SLOTS` of them.
MIN_SHARE = 0.1
MAX_SHARE = 0.5
MANY_FREE_SLOTS = 0.2
# Callers retry soon only while at least the first part of the service's slots is free,
# more of them up to the second part. With fewer free slots they are refused again,
# since the shortage lasts longer than their target.
FREE_SLOTS_FOR_SOON = (0.2, 0.5)
# Part of each interval's return times that the least urgent callers leave to others.
KEPT_FOR_URGENT = 0.3
# A request is taken for a first try while less than this part of its target has passed.
# Callers retry a few times only, so one early retry is all that a caller is given.
FIRST_TRY_PART = 0.25
# Shortest retry delay, in seconds: long enough to open a connection.
MIN_DELAY_S = 0.01


class CompletionRate:
    """Rate of completed requests, as a mean that decays within `RATE_DECAY_S`."""

    __slots__ = ("_counted_at", "_weight")

    def __init__(self) -> None:
        self._weight = 0.0
        self._counted_at = -inf

    def add(self, now: float) -> None:
        """Count one completion at the monotonic time `now`, in seconds."""
        self._weight = self._decayed(now) + 1.0
        self._counted_at = now

    def per_s(self, now: float) -> float:
        """Return the completions per second."""
        return self._decayed(now) / RATE_DECAY_S

    def _decayed(self, now: float) -> float:
        return self._weight * exp(-max(0.0, now - self._counted_at) / RATE_DECAY_S)


class _Schedule:
    """Return times of one service, counted by intervals of `INTERVAL_S`."""

    __slots__ = ("counts", "rate")

    def __init__(self) -> None:
        self.rate = CompletionRate()
        # Numbers of return times by interval, for future intervals only.
        self.counts: Counter[int] = Counter()

    def expire(self, now: float) -> None:
        """Forget intervals that have passed."""
        for past in [i for i in self.counts if (i + 1) * INTERVAL_S <= now]:
            del self.counts[past]

    def take(
        self,
        earliest_at: float,
        latest_at: float,
        per_interval: float,
        rng: RandomSource,
    ) -> float | None:
        """Take the first free return time between two times; None if there is none.

        With less than one return time for each interval, several intervals share one.
        With less than one in `HORIZON_S`, none is given.

        Parameters
        ----------
        earliest_at, latest_at : float
            Monotonic times in seconds.
        per_interval : float
            Return times that may be given in each interval, 0 or more.
        rng : RandomSource
            Source of jitter.
        """
        if per_interval * HORIZON_S < INTERVAL_S:
            return None
        length = ceil(max(1.0, 1.0 / per_interval))
        most = max(1, int(per_interval * length))
        span_s = length * INTERVAL_S
        first, last = int(earliest_at / span_s), int(latest_at / span_s)
        for block in range(first, last + 1):
            intervals = range(block * length, (block + 1) * length)
            if sum(self.counts[i] for i in intervals if i in self.counts) < most:
                low = max(earliest_at, block * span_s)
                high = min(latest_at, (block + 1) * span_s)
                at = rng.uniform(low, high)
                self.counts[int(at / INTERVAL_S)] += 1
                return at
        return None


class ReturnTimes:
    """Schedules of all services on one host.

    Parameters
    ----------
    rng : RandomSource
        Source of jitter.
    """

    __slots__ = ("_beyond_time", "_handed", "_rng", "_schedules")

    def __init__(self, rng: RandomSource) -> None:
        self._rng = rng
        self._schedules: dict[str, _Schedule] = {}
        self._handed: Counter[str] = Counter()
        self._beyond_time: Counter[str] = Counter()

    def completed(self, service: str, now: float) -> None:
        """Count a request of a service that this host has completed."""
        self._schedules.setdefault(service, _Schedule()).rate.add(now)

    def delay_s(
        self,
        service: str,
        caller: CallerTimes,
        answer_s: float,
        load: ServiceLoad,
        now: float,
    ) -> float | None:
        """Return after how many seconds a refused caller should retry.

        Parameters
        ----------
        service : str
            The service.
        caller : CallerTimes
            Times of the caller.
        answer_s : float
            Time until a response if a slot is free, in seconds.
        load : ServiceLoad
            Load of the service.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        delay_s : float or None
            None if the times of the caller or the completion rate are unknown.
        """
        schedule = self._schedules.get(service)
        if schedule is None or not caller.known:
            return None
        rate = schedule.rate.per_s(now)
        if rate < MIN_RATE:
            return None
        schedule.expire(now)
        allowed = 1.0 - KEPT_FOR_URGENT * (1.0 - caller.urgency)
        per_interval = INTERVAL_S * rate * allowed
        retry_at = self._take_soon(
            schedule, caller, answer_s, per_interval * _soon_share(load), now
        )
        if retry_at is None:
            retry_at = self._take_late(
                schedule, caller, per_interval * _share(load), now
            )
        if retry_at is None:
            self._beyond_time[service] += 1
            return caller.late_delay_s(self._rng)
        self._handed[service] += 1
        return retry_at - now

    def _take_soon(
        self,
        schedule: _Schedule,
        caller: CallerTimes,
        answer_s: float,
        per_interval: float,
        now: float,
    ) -> float | None:
        """Take a return time for a caller that can be in time; None if none is free."""
        soon_s = min(caller.longest_delay_s, caller.in_time_s(answer_s))
        first_try = caller.elapsed_s < FIRST_TRY_PART * caller.target_s
        if not first_try or soon_s <= MIN_DELAY_S:
            return None
        earliest_at, latest_at = now + MIN_DELAY_S, now + min(HORIZON_S, soon_s)
        return schedule.take(earliest_at, latest_at, per_interval, self._rng)

    def _take_late(
        self,
        schedule: _Schedule,
        caller: CallerTimes,
        per_interval: float,
        now: float,
    ) -> float | None:
        """Take a return time for a caller that is late anyway; None if none is free.

        The search begins at a random time of those that suit the caller, so that
        callers refused together do not retry together.
        """
        longest_s = min(HORIZON_S, caller.longest_delay_s)
        first_at, last_at = now + caller.late_part * longest_s, now + longest_s
        start_at = self._rng.uniform(first_at, last_at)
        found = schedule.take(start_at, last_at, per_interval, self._rng)
        if found is None:
            found = schedule.take(first_at, start_at, per_interval, self._rng)
        return found

    def pending(self, now: float) -> dict[str, float]:
        """Return the number of return times to come, for services that have any.

        Services that have completed nothing for some time are forgotten.
        """
        for service, schedule in list(self._schedules.items()):
            schedule.expire(now)
            if not schedule.counts and schedule.rate.per_s(now) < IDLE_RATE:
                del self._schedules[service]
        return {
            service: float(schedule.counts.total())
            for service, schedule in self._schedules.items()
            if schedule.counts
        }

    def take_counts(self) -> dict[str, int]:
        """Return how many times were given since the last call, by counter name."""
        named = {f"returns.handed.{name}": n for name, n in self._handed.items()}
        for name, number in self._beyond_time.items():
            named[f"returns.beyond-time.{name}"] = number
        self._handed.clear()
        self._beyond_time.clear()
        return named


def _share(load: ServiceLoad) -> float:
    """Return the part of the completion rate that is given as return times."""
    free = load.free_slots / load.slots if load.slots else 0.0
    return MIN_SHARE + (MAX_SHARE - MIN_SHARE) * min(1.0, free / MANY_FREE_SLOTS)


def _soon_share(load: ServiceLoad) -> float:
    """Return the part of the completion rate given to callers that retry soon."""
    least, many = FREE_SLOTS_FOR_SOON
    free = load.free_slots / load.slots if load.slots else 0.0
    return MAX_SHARE * min(1.0, max(0.0, (free - least) / (many - least)))
