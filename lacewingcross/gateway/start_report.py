"""What a host waits for from its start until it serves, for logs and metrics."""

import time

from .. import logs
from ..core.steering import NEEDED, Steering
from ..metrics import Metrics

# How often a host that cannot serve yet logs what it waits for, in seconds.
WAITING_LOG_INTERVAL_S = 2.0


class StartReport:
    """Times of a host's start.

    ``start.cpu_s`` is the processor time that the process had used when it could serve,
    imports included, and ``start.serving_after_s`` and ``start.first_success_after_s``
    are the seconds from `started_at` until then and until its first 2xx answer.

    Parameters
    ----------
    steering : Steering
        Holds what has been read so far.
    metrics : Metrics
        Gets the gauges.
    started_at : float
        When the host started, a monotonic time in seconds.
    """

    __slots__ = (
        "_logged_at",
        "_metrics",
        "_read_after_s",
        "_started_at",
        "_steering",
        "_succeeded",
    )

    def __init__(self, steering: Steering, metrics: Metrics, started_at: float) -> None:
        self._steering = steering
        self._metrics = metrics
        self._started_at = started_at
        self._logged_at = started_at
        # Seconds from the start until each of `NEEDED` was read.
        self._read_after_s: dict[str, float] = {}
        self._succeeded = False

    def review(self, now: float) -> None:
        """Note what has been read since; log at intervals what is still missing."""
        missing = self._steering.unread()
        for name in NEEDED:
            if name not in missing:
                self._read_after_s.setdefault(name, now - self._started_at)
        if missing and now - self._logged_at >= WAITING_LOG_INTERVAL_S:
            self._logged_at = now
            logs.event(
                "host-not-ready",
                "WARNING",
                waits_for=",".join(sorted(missing)),
                age_s=now - self._started_at,
            )

    def serving(self, now: float) -> None:
        """Log that the host serves from now on, and what it waited for until then."""
        after_s = now - self._started_at
        cpu_s = time.process_time()
        self._metrics.set_gauge("start.serving_after_s", after_s)
        self._metrics.set_gauge("start.cpu_s", cpu_s)
        read_ms = {
            f"{name}_ms": int(read_after_s * 1000)
            for name, read_after_s in self._read_after_s.items()
        }
        logs.event(
            "host-serving",
            config=self._steering.config_version,
            after_ms=int(after_s * 1000),
            cpu_ms=int(cpu_s * 1000),
            **read_ms,
        )

    def note_success(self, now: float) -> None:
        """Note a 2xx answer to a caller."""
        if self._succeeded:
            return
        self._succeeded = True
        after_s = now - self._started_at
        self._metrics.set_gauge("start.first_success_after_s", after_s)
