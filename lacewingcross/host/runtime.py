"""Passes events to the core and has the adapters carry out the core's actions."""

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
    """The only place that passes events to the core.

    Each adapter registers a performer for the action types that it carries out.
    A performer must not block; its later results come back as events through
    `dispatch`.

    Parameters
    ----------
    core : HostCore
        Makes all decisions; does no input or output itself.
    clock : Clock
        Source of time.
    metrics : Metrics
        Metrics of this process.
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
        """Register the only performer for actions of these types."""
        for kind in kinds:
            self._performers[kind] = performer

    def dispatch(self, event: Event) -> None:
        """Handle an event, and then, in order, the events that its actions dispatch.

        A nested call only queues its event, so the core is never re-entered.
        """
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
