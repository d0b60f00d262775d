"""Feeds events to the core and carries out its actions through the adapters."""

from collections import deque
from collections.abc import Callable

from .. import logs
from ..clock import Clock
from ..core import actions as act
from ..core.events import Event
from ..core.node import HostCore
from ..metrics import Metrics

Performer = Callable[[act.Action], None]


class Runtime:
    """The one place where the core is called.

    Adapters register who performs which action. Performers must not block; what
    they learn later comes back as events through `dispatch`.

    Parameters
    ----------
    core : HostCore
        The decisions.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counters of this process.
    """

    __slots__ = ("_dispatching", "_events", "_performers", "clock", "core", "metrics")

    def __init__(self, core: HostCore, clock: Clock, metrics: Metrics) -> None:
        self.core = core
        self.clock = clock
        self.metrics = metrics
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._performers: dict[type, Performer] = {
            act.Count: self._count,
            act.Log: self._log,
        }

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic()

    def register_performer(self, performer: Performer, *kinds: type) -> None:
        """Let `performer` carry out actions of these types."""
        for kind in kinds:
            self._performers[kind] = performer

    def dispatch(self, event: Event) -> None:
        """Handle an event, and those that its actions bring about, in order."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                for action in self.core.handle(self._events.popleft(), self.now()):
                    self._performers[type(action)](action)
        finally:
            self._dispatching = False

    def _count(self, action: act.Count) -> None:
        self.metrics.count(action.name)

    def _log(self, action: act.Log) -> None:
        logs.event(action.name, **action.pairs)
